#include "simulator_adapter/request_ids.hpp"

namespace hollyrun::simulator_adapter {

using balancer::RequestId;

namespace {
constexpr int kGenerationShift = 32;
}  // namespace

RequestId RequestIds::idOf(std::uint32_t slot) const {
  return (static_cast<RequestId>(slots_[slot].generation) << kGenerationShift) | slot;
}

std::uint32_t RequestIds::acquireSlot() {
  if (freeSlots_.empty()) {
    slots_.emplace_back();
    return static_cast<std::uint32_t>(slots_.size() - 1);
  }
  const std::uint32_t slot = freeSlots_.back();
  freeSlots_.pop_back();
  return slot;
}

RequestId RequestIds::add(std::string_view name) {
  const std::uint32_t index = acquireSlot();
  Slot& slot = slots_[index];
  slot.name.assign(name);
  ++slot.generation;
  slot.attemptsInFlight = 0;
  slot.ended = false;
  slotByName_.emplace(slot.name, index);
  return idOf(index);
}

std::optional<RequestId> RequestIds::find(std::string_view name) const {
  const auto found = slotByName_.find(name);
  if (found == slotByName_.end())
    return std::nullopt;
  return idOf(found->second);
}

void RequestIds::countAttemptEnded(RequestId id) {
  Slot& slot = slots_[slotOf(id)];
  if (slot.attemptsInFlight > 0)
    --slot.attemptsInFlight;
}

void RequestIds::releaseIfEnded(RequestId id) {
  Slot& slot = slots_[slotOf(id)];
  if (slot.name.empty() || !slot.ended || slot.attemptsInFlight > 0)
    return;
  slotByName_.erase(slot.name);
  slot.name.clear();
  freeSlots_.push_back(slotOf(id));
}

}  // namespace hollyrun::simulator_adapter
