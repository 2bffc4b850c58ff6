/// Counters of requests by class and outcome since the start of the process, as the operators' pages show
/// them.
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
  /// How a request ended, as its client saw it. The texts that nameOf() returns are label values of /metrics.
  enum class Outcome { success, busy, failure };
  enum class ReloadResult { applied, rejected };
  static constexpr std::size_t kNoClass = SIZE_MAX;

  /// Read from their owners when the text is rendered.
  struct Gauges {
    std::uint64_t upstreamAttempts = 0;  ///< attempts written up to their last byte
    std::size_t endpointsListed = 0;
    std::size_t endpointsUnavailable = 0;  ///< of the listed ones
  };

  /// The class is reported from here on, also once no settings name it any more.
  void registerClass(std::string_view name);
  /// kNoClass if it was never registered.
  std::size_t findClass(std::string_view name) const;

  /// "-" for kNoClass.
  const std::string& nameOf(std::size_t classIndex) const;
  static const char* nameOf(Outcome outcome);

  void incrementInFlight() { ++inFlight_; }
  void decrementInFlight() { --inFlight_; }
  /// `duration`: from the request's last byte to its answer's last; none for a request that was rejected by
  /// validation.
  void recordOutcome(std::size_t classIndex, Outcome outcome,
                     std::optional<std::chrono::nanoseconds> duration);
  void recordReload(ReloadResult result) {
    ++(result == ReloadResult::applied ? reloadsApplied_ : reloadsRejected_);
  }

  /// A line app.NAME[.CLASS]=N for each figure.
  std::string render(const Gauges& gauges) const;
  /// The same and the durations as Prometheus text, together with the families of other components.
  std::string metrics(const Gauges& gauges, std::vector<prometheus::MetricFamily> families = {}) const;

 private:
  struct ClassStatistics {
    std::string name;
    std::uint64_t success = 0, busy = 0, failure = 0;
    std::array<std::unique_ptr<prometheus::Histogram>, 3> durations;  // by Outcome, in seconds
  };
  std::vector<ClassStatistics> classes_;
  std::unordered_map<std::string, std::size_t> classIndexByName_;
  std::uint64_t inFlight_ = 0;
  std::uint64_t reloadsApplied_ = 0, reloadsRejected_ = 0;
};

}  // namespace hollyrun::gateway
