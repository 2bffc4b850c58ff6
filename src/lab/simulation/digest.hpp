// A digest of the decision module's actions, to tell whether two builds of it decide alike.
#pragma once

#include <bit>
#include <cstdint>
#include <string_view>

#include "hollyrun/balancer.hpp"

namespace hollyrun::lab {

/// FNV-1a over what each action does, in the order in which they were given out. The text of log actions and
/// the reasons for the operator are left out: they may be reworded without a change of decisions.
class ActionDigest {
 public:
  void add(std::uint32_t gateway, const balancer::Action& action) {
    addNumber(gateway);
    addNumber(static_cast<std::uint64_t>(action.kind));
    addNumber(action.request);
    addNumber(action.attempt);
    addNumber(action.host);
    // At most one of the three is set.
    addNumber(std::bit_cast<std::uint64_t>((action.timeLimit + action.retryAfter + action.wakeAt).count()));
    // Zero in a log action: so it was in the digests of earlier versions.
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
