#include "gateway/discovery_monitor.hpp"

#include <string_view>
#include <utility>

#include "gateway/endpoint_text.hpp"
#include "gateway/metric_families.hpp"

namespace hollyrun::gateway {
namespace {

using balancer::EndpointState;

constexpr std::string_view kNone = "-";  // a field without a value

std::string_view nameOf(EndpointState state) {
  switch (state) {
    case EndpointState::serving:
      return "serving";
    case EndpointState::draining:
      return "draining";
    case EndpointState::removed:
      return "removed";
  }
  return kNone;
}

std::string textOrNone(const std::optional<std::int64_t>& value) {
  return value ? std::to_string(*value) : std::string(kNone);
}

std::string millisecondsOrNone(const std::optional<std::chrono::milliseconds>& duration) {
  return duration ? std::to_string(duration->count()) : std::string(kNone);
}

}  // namespace

void DiscoveryMonitor::recordCallEnd(const DiscoveryCallReport& report) {
  ++calls_[static_cast<std::size_t>(report.result)];
  if (report.result == DiscoveryCallResult::list) {
    listConfirmedAt_ = Clock::now();
    listVersion_ = report.version;
  }
  const bool isExpected =
      report.result == DiscoveryCallResult::list || report.result == DiscoveryCallResult::abandoned;
  log_.write(isExpected ? LogLevel::info : LogLevel::warning, "discovery", "call ended",
             {{"server", textOf(report.server)},
              {"type", std::string(gateway::nameOf(report.type))},
              {"result", std::string(gateway::nameOf(report.result))},
              {"detail", report.detail.empty() ? std::string(kNone) : report.detail},
              {"ms", std::to_string(report.duration.count())},
              {"version", textOrNone(report.version)},
              {"endpoints", std::to_string(report.listedEndpoints)},
              {"list_age_ms", std::to_string(static_cast<long long>(listAge().count() * 1000))},
              {"next_call_ms", millisecondsOrNone(report.nextCallIn)}});
}

void DiscoveryMonitor::recordStateChange(const EndpointStateChange& change) {
  ++stateChanges_[static_cast<std::size_t>(change.to)];
  log_.write(LogLevel::info, "endpoint", "state changed",
             {{"host", change.uid},
              {"from", std::string(change.from ? nameOf(*change.from) : kNone)},
              {"to", std::string(nameOf(change.to))},
              {"version", std::to_string(change.listVersion)}});
}

std::vector<prometheus::MetricFamily> DiscoveryMonitor::collectMetrics() const {
  auto calls = counterFamily("hollyrun_discovery_calls_total", "Calls to discovery that ended, by result.");
  for (std::size_t i = 0; i < kDiscoveryCallResults; ++i)
    addCounter(calls, "result", gateway::nameOf(static_cast<DiscoveryCallResult>(i)), calls_[i]);
  auto changes =
      counterFamily("hollyrun_endpoint_changes_total", "Changes of endpoints, by their new state.");
  for (const EndpointState state : {EndpointState::serving, EndpointState::draining, EndpointState::removed})
    addCounter(changes, "state", nameOf(state), stateChanges_[static_cast<std::size_t>(state)]);
  auto age = gaugeFamily("hollyrun_discovery_list_age_seconds",
                         "Time since discovery last confirmed the endpoint list.", listAge().count());
  auto version =
      gaugeFamily("hollyrun_discovery_list_version", "Version of discovery's last list; 0: none yet.",
                  static_cast<double>(listVersion_.value_or(0)));
  return {std::move(calls), std::move(changes), std::move(age), std::move(version)};
}

}  // namespace hollyrun::gateway
