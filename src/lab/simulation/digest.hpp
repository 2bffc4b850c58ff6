// A digest of the decision module's actions, to check whether two builds of it make the same decisions.
#pragma once

#include <bit>
#include <cstdint>
#include <string_view>

#include "hollyrun/balancer.hpp"

namespace hollyrun::lab {

/// FNV-1a over the effect of each action, in the order in which the module issued them. The text of log
/// actions and the reasons for the operator are excluded, since rewording them changes no decision.
class ActionDigest {
 public:
  void add(std::uint32_t gateway, const balancer::Action& action) {
    addNumber(gateway);
    addNumber(static_cast<std::uint64_t>(action.kind));
    addNumber(action.request);
    addNumber(action.attempt);
    addNumber(action.host);
    // At most one of these three durations is set.
    addNumber(std::bit_cast<std::uint64_t>((action.timeLimit + action.retryAfter + action.wakeAt).count()));
    // Log actions count as zero to keep digests comparable with those of earlier versions.
    const bool log = action.kind == balancer::ActionKind::log;
    addNumber(log ? 0 : std::bit_cast<std::uint64_t>(action.latestStart.count()));
  }
  std::uint64_t value() const { return value_; }

 private:
  void addNumber(std::uint64_t number) {
    for (int shift = 0; shift < 64; shift += 8)
      addByte(static_cast<unsigned char>(number >> shift));
  }
  void addByte(unsigned char byte) { value_ = (value_ ^ byte) * 0x100000001b3ULL; }

  std::uint64_t value_ = 0xcbf29ce484222325ULL;
};

}  // namespace hollyrun::lab
