#include "gateway/statistics.hpp"

#include <prometheus/metric_family.h>
#include <prometheus/text_serializer.h>

#include <sstream>
#include <utility>

namespace hollyrun::gateway {
namespace {

// In seconds, from the response time of a warm host to the longest client timeout, each bound twice the
// previous.
const prometheus::Histogram::BucketBoundaries kDurationBuckets{0.002, 0.004, 0.008, 0.016, 0.032, 0.064,
                                                               0.128, 0.256, 0.512, 1.024, 2.048};
constexpr const char* kOutcomeNames[] = {"success", "busy", "failure"};

prometheus::MetricFamily makeFamily(const char* name, const char* help, prometheus::MetricType type) {
  prometheus::MetricFamily family;
  family.name = std::string("hollyrun_") + name;
  family.help = help;
  family.type = type;
  return family;
}

}  // namespace

void Statistics::registerClass(std::string_view name) {
  if (!classIndexByName_.emplace(std::string(name), classes_.size()).second)
    return;
  ClassStatistics& added = classes_.emplace_back();
  added.name = name;
  for (auto& histogram : added.durations)
    histogram = std::make_unique<prometheus::Histogram>(kDurationBuckets);
}

std::size_t Statistics::findClass(std::string_view name) const {
  const auto it = classIndexByName_.find(std::string(name));
  return it == classIndexByName_.end() ? kNoClass : it->second;
}

const std::string& Statistics::nameOf(std::size_t classIndex) const {
  static const std::string noClassName = "-";
  return classIndex < classes_.size() ? classes_[classIndex].name : noClassName;
}

const char* Statistics::nameOf(Outcome outcome) {
  return kOutcomeNames[static_cast<std::size_t>(outcome)];
}

void Statistics::recordOutcome(std::size_t classIndex, Outcome outcome,
                               std::optional<std::chrono::nanoseconds> duration) {
  if (classIndex == kNoClass)
    return;
  ClassStatistics& statistics = classes_[classIndex];
  if (duration)
    statistics.durations[static_cast<std::size_t>(outcome)]->Observe(
        std::chrono::duration<double>(*duration).count());
  switch (outcome) {
    case Outcome::success:
      ++statistics.success;
      break;
    case Outcome::busy:
      ++statistics.busy;
      break;
    case Outcome::failure:
      ++statistics.failure;
      break;
  }
}

std::string Statistics::render(const Gauges& gauges) const {
  std::string text;
  const auto addLine = [&](const std::string& name, std::uint64_t value) {
    text += "app." + name + "=" + std::to_string(value) + "\n";
  };
  for (const ClassStatistics& requestClass : classes_)
    addLine("success." + requestClass.name, requestClass.success);
  for (const ClassStatistics& requestClass : classes_)
    addLine("busy." + requestClass.name, requestClass.busy);
  for (const ClassStatistics& requestClass : classes_)
    addLine("failure." + requestClass.name, requestClass.failure);
  addLine("backend_calls", gauges.upstreamAttempts);
  addLine("inflight", inFlight_);
  addLine("hosts_listed", gauges.endpointsListed);
  addLine("hosts_down", gauges.endpointsUnavailable);
  addLine("reconfig_ok", reloadsApplied_);
  addLine("reconfig_failed", reloadsRejected_);
  return text;
}

std::string Statistics::metrics(const Gauges& gauges, std::vector<prometheus::MetricFamily> families) const {
  using prometheus::MetricType;
  auto requests =
      makeFamily("requests_total", "Requests answered, by class and outcome.", MetricType::Counter);
  auto times = makeFamily("request_seconds", "From a request's last byte to its answer's last.",
                          MetricType::Histogram);
  for (const ClassStatistics& requestClass : classes_) {
    const std::uint64_t counts[] = {requestClass.success, requestClass.busy, requestClass.failure};
    for (std::size_t outcome = 0; outcome < requestClass.durations.size(); ++outcome) {
      prometheus::ClientMetric counted, timed = requestClass.durations[outcome]->Collect();
      counted.label = timed.label = {{"class", requestClass.name}, {"outcome", kOutcomeNames[outcome]}};
      counted.counter.value = static_cast<double>(counts[outcome]);
      requests.metric.push_back(std::move(counted));
      times.metric.push_back(std::move(timed));
    }
  }
  families.push_back(std::move(requests));
  families.push_back(std::move(times));
  const auto addSingle = [&](const char* name, const char* help, MetricType type, std::uint64_t value) {
    auto family = makeFamily(name, help, type);
    prometheus::ClientMetric& metric = family.metric.emplace_back();
    (type == MetricType::Counter ? metric.counter.value : metric.gauge.value) = static_cast<double>(value);
    families.push_back(std::move(family));
  };
  addSingle("backend_calls_total", "Attempts written whole to record servers.", MetricType::Counter,
            gauges.upstreamAttempts);
  addSingle("inflight", "Requests taken and not ended.", MetricType::Gauge, inFlight_);
  addSingle("hosts_listed", "Record servers in the list.", MetricType::Gauge, gauges.endpointsListed);
  addSingle("hosts_down", "Of these, the ones that are avoided now.", MetricType::Gauge,
            gauges.endpointsUnavailable);
  addSingle("reconfig_ok_total", "Files taken at SIGHUP.", MetricType::Counter, reloadsApplied_);
  addSingle("reconfig_failed_total", "Files turned down at SIGHUP.", MetricType::Counter, reloadsRejected_);
  std::ostringstream out;
  prometheus::TextSerializer().Serialize(out, families);
  return out.str();
}

}  // namespace hollyrun::gateway
