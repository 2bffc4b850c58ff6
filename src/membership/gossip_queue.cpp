#include "membership/gossip_queue.hpp"

#include <algorithm>
#include <cmath>
#include <tuple>

#include "membership/message.hpp"

namespace hollyrun::membership {
namespace {

// With 3 log2 n transmissions, an update fails to reach all members with a probability of 1/n^2.
constexpr unsigned kRetransmitMultiplier = 3;

}  // namespace

unsigned GossipQueue::retransmitLimit(std::size_t presentCount) {
  return kRetransmitMultiplier *
         static_cast<unsigned>(std::ceil(std::log2(static_cast<double>(presentCount + 1))));
}

void GossipQueue::add(const std::string& name) {
  updates_[name] = {0, ++lastOrder_};
}

void GossipQueue::removeAllExcept(const std::string& name) {
  std::erase_if(updates_, [&](const auto& entry) { return entry.first != name; });
}

std::vector<const std::string*> GossipQueue::select(const Receiver& receiver,
                                                    const SuspicionTracker& suspicions, unsigned limit) {
  struct Candidate {
    const std::string* name;
    GossipUpdate update;
  };
  std::vector<Candidate> candidates;
  const auto& excluded = receiver.excluded;
  for (auto entry = updates_.begin(); entry != updates_.end();) {
    auto& [name, update] = *entry;
    if (receiver.hasSameView && !suspicions.isSuspect(name)) {
      const bool isFullyTransmitted = ++update.transmissions >= limit;
      entry = isFullyTransmitted ? updates_.erase(entry) : std::next(entry);
      continue;
    }
    if (std::find(excluded.begin(), excluded.end(), name) == excluded.end())
      candidates.push_back({&name, update});
    ++entry;
  }
  const std::size_t count = std::min(kMaxUpdatesPerDatagram, candidates.size());
  const auto isBefore = [](const Candidate& left, const Candidate& right) {
    return std::tie(left.update.transmissions, right.update.order) <
           std::tie(right.update.transmissions, left.update.order);
  };
  const auto selectedEnd = candidates.begin() + static_cast<std::ptrdiff_t>(count);
  std::partial_sort(candidates.begin(), selectedEnd, candidates.end(), isBefore);
  std::vector<const std::string*> names;
  for (auto candidate = candidates.begin(); candidate != selectedEnd; ++candidate)
    names.push_back(candidate->name);
  return names;
}

void GossipQueue::onTransmitted(const std::string& name, unsigned limit) {
  const auto found = updates_.find(name);
  if (found != updates_.end() && ++found->second.transmissions >= limit)
    updates_.erase(found);
}

void GossipQueue::addTo(Fingerprint& fingerprint) const {
  for (const auto& [name, update] : updates_) {
    fingerprint.add(name);
    fingerprint.add(update.transmissions);
  }
  fingerprint.endPart();
}

}  // namespace hollyrun::membership
