#include "net/statistics.hpp"

namespace cairnjunction {

void Statistics::show(std::string_view name) {
  if (byName_.emplace(std::string(name), classes_.size()).second) classes_.push_back({std::string(name)});
}

std::size_t Statistics::classOf(std::string_view name) const {
  const auto it = byName_.find(std::string(name));
  return it == byName_.end() ? kNoClass : it->second;
}

void Statistics::answered(std::size_t cls, End end) {
  if (cls == kNoClass) return;
  Class& c = classes_[cls];
  ++(end == End::success ? c.success : end == End::busy ? c.busy : c.failure);
}

std::string Statistics::render(const Gauges& gauges) const {
  std::string text;
  const auto line = [&](const std::string& name, std::uint64_t value) {
    text += "app." + name + "=" + std::to_string(value) + "\n";
  };
  for (const Class& c : classes_) line("success." + c.name, c.success);
  for (const Class& c : classes_) line("busy." + c.name, c.busy);
  for (const Class& c : classes_) line("failure." + c.name, c.failure);
  line("backend_calls", gauges.backendCalls);
  line("inflight", inflight_);
  line("hosts_listed", gauges.hostsListed);
  line("hosts_down", gauges.hostsDown);
  line("reconfig_ok", reconfigOk_);
  line("reconfig_failed", reconfigFailed_);
  return text;
}

}  // namespace cairnjunction
