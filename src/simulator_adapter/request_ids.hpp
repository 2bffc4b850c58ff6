/// Maps the protocol's request names to the balancer's request ids. A name is kept until its request and all
/// attempts have ended, since the simulator and the balancer may refer to it until then.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "hollyrun/balancer.hpp"
#include "simulator_adapter/text_map.hpp"

namespace hollyrun::simulator_adapter {

class RequestIds {
 public:
  /// Assigns a new id to a name; `find` must not know the name.
  balancer::RequestId add(std::string_view name);
  std::optional<balancer::RequestId> find(std::string_view name) const;
  /// Returns the name of an id; empty after its release.
  const std::string& name(balancer::RequestId id) const { return slots_[slotOf(id)].name; }

  void countAttemptSent(balancer::RequestId id) { ++slots_[slotOf(id)].attemptsInFlight; }
  void countAttemptEnded(balancer::RequestId id);
  void markEnded(balancer::RequestId id) { slots_[slotOf(id)].ended = true; }
  /// Releases the name if the request has ended and no attempt is in flight. Does nothing if the name was
  /// released before.
  void releaseIfEnded(balancer::RequestId id);

 private:
  struct Slot {
    std::string name;  // empty while the slot is free
    std::uint32_t generation = 0;
    std::uint32_t attemptsInFlight = 0;
    bool ended = false;
  };

  /// An id holds the slot's generation in the upper half and its index in the lower half, so that a reused
  /// slot yields a new id.
  static std::uint32_t slotOf(balancer::RequestId id) { return static_cast<std::uint32_t>(id); }
  balancer::RequestId idOf(std::uint32_t slot) const;
  std::uint32_t acquireSlot();

  std::vector<Slot> slots_;
  std::vector<std::uint32_t> freeSlots_;
  TextMap<std::uint32_t> slotByName_;
};

}  // namespace hollyrun::simulator_adapter
