/// Local health awareness (Lifeguard): a member that receives or answers messages late probes and suspects
/// others more slowly.
#pragma once

#include <algorithm>

#include "membership/time.hpp"

namespace hollyrun::membership {

class LocalHealth {
 public:
  void improve() { score_ -= score_ > 0 ? 1 : 0; }
  void degrade() { score_ = std::min(score_ + 1, kMaxScore); }
  /// From 0 (healthy) to kMaxScore.
  unsigned score() const { return score_; }
  Duration scaled(Duration duration) const { return duration * (score_ + 1); }

 private:
  static constexpr unsigned kMaxScore = 8;  // the published value: timeouts grow to nine times their length
  unsigned score_ = 0;
};

}  // namespace hollyrun::membership
