/// Maps the protocol's names of requests to the balancer's ids. A name is kept until its request has ended
/// and all its attempts are over, since both sides may refer to it until then.
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
  /// A new id for a name that `find` doesn't know.
  balancer::RequestId add(std::string_view name);
  std::optional<balancer::RequestId> find(std::string_view name) const;
  /// The name behind an id; empty once it is released.
  const std::string& name(balancer::RequestId id) const { return slots_[slotOf(id)].name; }

  void countAttemptSent(balancer::RequestId id) { ++slots_[slotOf(id)].attemptsInFlight; }
  void countAttemptEnded(balancer::RequestId id);
  void markEnded(balancer::RequestId id) { slots_[slotOf(id)].ended = true; }
  /// Releases the name if the request has ended and no attempt is in flight. No effect on a released id.
  void releaseIfOver(balancer::RequestId id);

 private:
  struct Slot {
    std::string name;  // empty: free
    std::uint32_t generation = 0;
    std::uint32_t attemptsInFlight = 0;
    bool ended = false;
  };

  /// An id is the slot's generation (upper half) and index (lower half), so that a reused slot gives a new
  /// id.
  static std::uint32_t slotOf(balancer::RequestId id) { return static_cast<std::uint32_t>(id); }
  balancer::RequestId idOf(std::uint32_t slot) const;
  std::uint32_t acquireSlot();

  std::vector<Slot> slots_;
  std::vector<std::uint32_t> freeSlots_;
  TextMap<std::uint32_t> slotByName_;
};

}  // namespace hollyrun::simulator_adapter
