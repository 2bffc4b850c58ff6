/// Measures the fraction of the recent traffic that each key accounts for.
#pragma once

#include <algorithm>
#include <cstdint>
#include <deque>

namespace hollyrun::balancer {

class KeyFrequency {
 public:
  void record(std::uint64_t key) {
    recent_.push_back(key);
    if (recent_.size() > kWindow)
      recent_.pop_front();
  }

  /// Fraction of the recent requests that had this key, 0 to 1.
  double fractionOf(std::uint64_t key) const {
    const auto seen = static_cast<double>(std::count(recent_.begin(), recent_.end(), key));
    // The lower bound on the divisor: the very first requests say little about the frequency of their keys.
    return seen / static_cast<double>(std::max(recent_.size(), kWindow / 4));
  }

 private:
  // Number of recent requests: enough to detect a key with one percent of the traffic.
  static constexpr std::size_t kWindow = 256;
  std::deque<std::uint64_t> recent_;
};

}  // namespace hollyrun::balancer
