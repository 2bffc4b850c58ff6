#include "balancer/request_table.hpp"

namespace hollyrun::balancer {

PendingRequest& RequestTable::insert(RequestId id) {
  if (freeSlots_.empty()) {
    freeSlots_.push_back(static_cast<std::uint32_t>(slots_.size()));
    slots_.emplace_back();
  }
  const std::uint32_t slot = freeSlots_.back();
  freeSlots_.pop_back();
  slotById_.emplace(id, slot);
  return slots_[slot] = PendingRequest{.id = id, .slot = slot};
}

}  // namespace hollyrun::balancer
