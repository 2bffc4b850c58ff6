/// The request classes of the settings and the statistics about each of them.
#pragma once

#include <cstdint>
#include <memory>
#include <unordered_map>
#include <vector>

#include "balancer/client_wait.hpp"

namespace hollyrun::balancer {

/// Each group of fields is written only by the component that its comment names.
struct RequestClass {
  ClassSettings settings;
  ClientWaitEstimator clientWait;  // Balancer

  // ServiceTimeModel
  double expectedServiceTime = 0;  // seconds; zero until the first answer
  double answers = 0;              // number of samples of expectedServiceTime
  double meanCost = 0;             // seconds, mean of the cost hints

  // OutlierDetector
  double failureRate = 0;                                   // of recent attempts at all endpoints, 0 to 1
  std::unordered_map<HostId, double> endpointFailureRates;  // only of endpoints where an attempt failed
};

class RequestClassTable {
 public:
  /// Open requests keep the class settings that they arrived with: a class whose settings have changed gets a
  /// new record with a copy of the statistics, except clientWait, which starts anew.
  void applySettings(const Settings& settings);

  /// An index out of range returns the unknown class.
  const std::shared_ptr<RequestClass>& at(std::uint32_t classIndex) const {
    return classes_[std::min<std::size_t>(classIndex, classes_.size() - 1)];
  }

  auto begin() const { return classes_.begin(); }
  auto end() const { return classes_.end(); }

 private:
  std::vector<std::shared_ptr<RequestClass>> classes_;  // the classes of the settings, then the unknown class
};

}  // namespace hollyrun::balancer
