#include "gateway/statistics.hpp"

#include <prometheus/metric_family.h>
#include <prometheus/text_serializer.h>

#include <sstream>
#include <utility>

namespace hollyrun::gateway {
namespace {

// Seconds. From a warm answer to the longest that a client waits, doubled each time.
const prometheus::Histogram::BucketBoundaries kBuckets{0.002, 0.004, 0.008, 0.016, 0.032, 0.064,
                                                       0.128, 0.256, 0.512, 1.024, 2.048};
constexpr const char* kEnds[] = {"success", "busy", "failure"};

prometheus::MetricFamily family(const char* name, const char* help, prometheus::MetricType type) {
  prometheus::MetricFamily f;
  f.name = std::string("hollyrun_") + name;
  f.help = help;
  f.type = type;
  return f;
}

}  // namespace

void Statistics::show(std::string_view name) {
  if (!byName_.emplace(std::string(name), classes_.size()).second)
    return;
  Class& c = classes_.emplace_back();
  c.name = name;
  for (auto& times : c.times)
    times = std::make_unique<prometheus::Histogram>(kBuckets);
}

std::size_t Statistics::classOf(std::string_view name) const {
  const auto it = byName_.find(std::string(name));
  return it == byName_.end() ? kNoClass : it->second;
}

const std::string& Statistics::nameOf(std::size_t cls) const {
  static const std::string none = "-";
  return cls < classes_.size() ? classes_[cls].name : none;
}

const char* Statistics::nameOf(End end) {
  return kEnds[static_cast<std::size_t>(end)];
}

void Statistics::answered(std::size_t cls, End end, std::optional<std::chrono::nanoseconds> took) {
  if (cls == kNoClass)
    return;
  Class& c = classes_[cls];
  if (took)
    c.times[static_cast<std::size_t>(end)]->Observe(std::chrono::duration<double>(*took).count());
  ++(end == End::success ? c.success : end == End::busy ? c.busy : c.failure);
}

std::string Statistics::render(const Gauges& gauges) const {
  std::string text;
  const auto line = [&](const std::string& name, std::uint64_t value) {
    text += "app." + name + "=" + std::to_string(value) + "\n";
  };
  for (const Class& c : classes_)
    line("success." + c.name, c.success);
  for (const Class& c : classes_)
    line("busy." + c.name, c.busy);
  for (const Class& c : classes_)
    line("failure." + c.name, c.failure);
  line("backend_calls", gauges.backendCalls);
  line("inflight", inflight_);
  line("hosts_listed", gauges.hostsListed);
  line("hosts_down", gauges.hostsDown);
  line("reconfig_ok", reconfigOk_);
  line("reconfig_failed", reconfigFailed_);
  return text;
}

std::string Statistics::metrics(const Gauges& gauges, std::vector<prometheus::MetricFamily> more) const {
  using prometheus::MetricType;
  std::vector<prometheus::MetricFamily>& families = more;
  auto requests = family("requests_total", "Requests answered, by class and outcome.", MetricType::Counter);
  auto times =
      family("request_seconds", "From a request's last byte to its answer's last.", MetricType::Histogram);
  for (const Class& c : classes_) {
    const std::uint64_t counts[] = {c.success, c.busy, c.failure};
    for (std::size_t end = 0; end < c.times.size(); ++end) {
      prometheus::ClientMetric counted, timed = c.times[end]->Collect();
      counted.label = timed.label = {{"class", c.name}, {"outcome", kEnds[end]}};
      counted.counter.value = static_cast<double>(counts[end]);
      requests.metric.push_back(std::move(counted));
      times.metric.push_back(std::move(timed));
    }
  }
  families.push_back(std::move(requests));
  families.push_back(std::move(times));
  const auto one = [&](const char* name, const char* help, MetricType type, std::uint64_t value) {
    auto f = family(name, help, type);
    prometheus::ClientMetric& metric = f.metric.emplace_back();
    (type == MetricType::Counter ? metric.counter.value : metric.gauge.value) = static_cast<double>(value);
    families.push_back(std::move(f));
  };
  one("backend_calls_total", "Attempts written whole to record servers.", MetricType::Counter,
      gauges.backendCalls);
  one("inflight", "Requests taken and not ended.", MetricType::Gauge, inflight_);
  one("hosts_listed", "Record servers in the list.", MetricType::Gauge, gauges.hostsListed);
  one("hosts_down", "Of these, the ones that are avoided now.", MetricType::Gauge, gauges.hostsDown);
  one("reconfig_ok_total", "Files taken at SIGHUP.", MetricType::Counter, reconfigOk_);
  one("reconfig_failed_total", "Files turned down at SIGHUP.", MetricType::Counter, reconfigFailed_);
  std::ostringstream out;
  prometheus::TextSerializer().Serialize(out, families);
  return out.str();
}

}  // namespace hollyrun::gateway
