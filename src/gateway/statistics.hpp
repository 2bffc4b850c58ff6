// Counters from the start of the process, kept where a thing ends and rendered when asked for.
#pragma once

#include <prometheus/histogram.h>
#include <prometheus/metric_family.h>

#include <array>
#include <chrono>
#include <cstddef>
#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace hollyrun::gateway {

class Statistics {
 public:
  enum class End { success, busy, failure };  // as the client received it
  static constexpr std::size_t kNoClass = SIZE_MAX;

  struct Gauges {  // read from their owners when the text is rendered
    std::uint64_t backendCalls = 0;
    std::size_t hostsListed = 0, hostsDown = 0;
  };

  // Each class shows from here on with its counts, also once no settings name it any more.
  void show(std::string_view name);
  std::size_t classOf(std::string_view name) const;  // kNoClass if never shown

  const std::string& nameOf(std::size_t cls) const;  // "-" for kNoClass
  static const char* nameOf(End end);

  void taken() { ++inflight_; }
  void ended() { --inflight_; }  // one that was taken
  /// `took`: from the request's last byte to its answer's last; none for what was turned away for its form.
  void answered(std::size_t cls, End end, std::optional<std::chrono::nanoseconds> took);
  void reconfigured(bool taken) { ++(taken ? reconfigOk_ : reconfigFailed_); }

  std::string render(const Gauges& gauges) const;  // a line app.NAME[.CLASS]=N for each
  // The same and the times, as Prometheus text, with what other parts have to show.
  std::string metrics(const Gauges& gauges, std::vector<prometheus::MetricFamily> more = {}) const;

 private:
  struct Class {
    std::string name;
    std::uint64_t success = 0, busy = 0, failure = 0;
    std::array<std::unique_ptr<prometheus::Histogram>, 3> times;  // by End, in seconds
  };
  std::vector<Class> classes_;
  std::unordered_map<std::string, std::size_t> byName_;
  std::uint64_t inflight_ = 0, reconfigOk_ = 0, reconfigFailed_ = 0;
};

}  // namespace hollyrun::gateway
