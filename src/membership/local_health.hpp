/// Local health awareness (Lifeguard): a member that hears or answers late probes and accuses more slowly.
#pragma once

#include <algorithm>

#include "membership/time.hpp"

namespace hollyrun::membership {

class LocalHealth {
 public:
  void improve() { score_ -= score_ > 0 ? 1 : 0; }
  void degrade() { score_ = std::min(score_ + 1, kMaxScore); }
  /// 0: healthy; at most kMaxScore.
  unsigned score() const { return score_; }
  Duration scaled(Duration duration) const { return duration * (score_ + 1); }

 private:
  static constexpr unsigned kMaxScore = 8;  // as published: probes are nine times slower at the most
  unsigned score_ = 0;
};

}  // namespace hollyrun::membership
