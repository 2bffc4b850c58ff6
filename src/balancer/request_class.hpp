/// The request classes of the settings and what was learned about each of them.
#pragma once

#include <cstdint>
#include <memory>
#include <unordered_map>
#include <vector>

#include "balancer/client_wait.hpp"

namespace hollyrun::balancer {

/// Written by the part that is named at each group of fields.
struct RequestClass {
  ClassSettings settings;
  ClientWaitEstimator clientWait;  // the Balancer

  // ServiceTimeModel
  double expectedServiceTime = 0;  // seconds; zero until the first answer
  double answers = 0;              // from which it was estimated
  double meanCost = 0;             // seconds, of the cost hints

  // OutlierDetector
  double failureRate = 0;                                   // of the recent attempts, over all endpoints
  std::unordered_map<HostId, double> endpointFailureRates;  // only of endpoints where an attempt failed
};

class RequestClassTable {
 public:
  /// Requests under way keep the class that they came with; a class whose settings changed gets a new record
  /// with a copy of what was learned.
  void applySettings(const Settings& settings);

  /// An index beyond the settings' classes stands for the class of unknown requests.
  const std::shared_ptr<RequestClass>& at(std::uint32_t classIndex) const {
    return classes_[std::min<std::size_t>(classIndex, classes_.size() - 1)];
  }

  auto begin() const { return classes_.begin(); }
  auto end() const { return classes_.end(); }

 private:
  std::vector<std::shared_ptr<RequestClass>> classes_;  // those of the settings; last the unknown class
};

}  // namespace hollyrun::balancer
