/// Counts requests by class and outcome since the start of the process, and renders the counters for /metrics
/// and /ops/stats.
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
  /// The outcome of a request as seen by the client. nameOf() returns the label values of /metrics.
  enum class Outcome { success, busy, failure };
  enum class ReloadResult { applied, rejected };
  static constexpr std::size_t kNoClass = SIZE_MAX;

  /// Values that other components own, sampled when the text is rendered.
  struct Gauges {
    std::uint64_t upstreamAttempts = 0;  ///< Attempts whose last byte was written.
    std::size_t endpointsListed = 0;
    std::size_t endpointsUnavailable = 0;  ///< Of the listed endpoints.
  };

  /// Reports the class from now on, even after it has been removed from the settings.
  void registerClass(std::string_view name);
  /// Returns kNoClass if the class was never registered.
  std::size_t findClass(std::string_view name) const;

  /// Returns "-" for kNoClass.
  const std::string& nameOf(std::size_t classIndex) const;
  static const char* nameOf(Outcome outcome);

  void incrementInFlight() { ++inFlight_; }
  void decrementInFlight() { --inFlight_; }
  /// `duration` runs from the last byte of the request to the last byte of the response. It is empty if the
  /// request was not received completely or was rejected before the balancer received it.
  void recordOutcome(std::size_t classIndex, Outcome outcome,
                     std::optional<std::chrono::nanoseconds> duration);
  void recordReload(ReloadResult result) {
    ++(result == ReloadResult::applied ? reloadsApplied_ : reloadsRejected_);
  }

  /// Returns one line app.NAME[.CLASS]=VALUE for each counter and gauge.
  std::string render(const Gauges& gauges) const;
  /// Returns the same values and the durations as Prometheus text, together with the families of other
  /// components.
  std::string metrics(const Gauges& gauges, std::vector<prometheus::MetricFamily> families = {}) const;

 private:
  struct ClassStatistics {
    std::string name;
    std::uint64_t success = 0, busy = 0, failure = 0;
    std::array<std::unique_ptr<prometheus::Histogram>, 3> durations;  // Indexed by Outcome, in seconds.
  };
  std::vector<ClassStatistics> classes_;
  std::unordered_map<std::string, std::size_t> classIndexByName_;
  std::uint64_t inFlight_ = 0;
  std::uint64_t reloadsApplied_ = 0, reloadsRejected_ = 0;
};

}  // namespace hollyrun::gateway
