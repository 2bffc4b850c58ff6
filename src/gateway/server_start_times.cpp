#include "gateway/server_start_times.hpp"

#include <algorithm>
#include <unordered_set>

namespace hollyrun::gateway {
namespace {

using balancer::Time;

// Lower bound of the start time of a host whose start is stated. A start before the epoch of the monotonic
// clock is raised to this bound, because zero is reserved for hosts without a stated start.
constexpr Time kEarliestStart{1};

std::chrono::nanoseconds unixTimeOf(std::int64_t startUnixMs) {
  return std::chrono::milliseconds(startUnixMs);
}

}  // namespace

ServerStartTimes::ServerStartTimes(const Clocks& atStart)
    : offsetAtStart_(atStart.monotonic - atStart.unix) {}

std::vector<Time> ServerStartTimes::startTimesOf(const EndpointList& list, Source source, const Clocks& now) {
  for (const ListedEndpoint& endpoint : list.endpoints)
    updateOffsetBounds(endpoint, now);
  std::vector<Time> starts;
  starts.reserve(list.endpoints.size());
  for (const ListedEndpoint& endpoint : list.endpoints) {
    if (endpoint.startUnixMs <= 0) {
      startByUid_.erase(endpoint.uid);
      starts.push_back(Time{});
      continue;
    }
    const auto [it, isNew] = startByUid_.try_emplace(endpoint.uid);
    if (isNew || it->second.startUnixMs != endpoint.startUnixMs) {
      const Time start =
          std::clamp(unixTimeOf(endpoint.startUnixMs) + estimateOffset(now), kEarliestStart, now.monotonic);
      it->second = {endpoint.startUnixMs, start};
    }
    starts.push_back(it->second.start);
  }
  if (list.snapshot)
    removeUnlisted(list);
  if (source == Source::discovery)
    lastDiscoveryResponse_ = now.monotonic;
  return starts;
}

// Narrows the bounds of the clock offset, using the start time of one listed host.
void ServerStartTimes::updateOffsetBounds(const ListedEndpoint& endpoint, const Clocks& now) {
  if (endpoint.startUnixMs <= 0)
    return;
  maxOffset_ = std::min(maxOffset_, now.monotonic - unixTimeOf(endpoint.startUnixMs));
  const auto known = startByUid_.find(endpoint.uid);
  const bool isNewProcess = known == startByUid_.end() || known->second.startUnixMs != endpoint.startUnixMs;
  if (!isNewProcess || !lastDiscoveryResponse_)
    return;
  const Offset bound = *lastDiscoveryResponse_ - unixTimeOf(endpoint.startUnixMs);
  minOffset_ = std::max(minOffset_.value_or(bound), bound);
}

// If the wall clock was stepped, the offset at the start of this process differs from the offset now. Uses
// the one that makes hosts younger, or the upper bound if that offset lies outside of the bounds.
ServerStartTimes::Offset ServerStartTimes::estimateOffset(const Clocks& now) const {
  const Offset wallClockOffset = std::max(offsetAtStart_, now.monotonic - now.unix);
  const bool isContradicted = minOffset_ && wallClockOffset < *minOffset_;
  return isContradicted ? maxOffset_ : std::min(wallClockOffset, maxOffset_);
}

void ServerStartTimes::removeUnlisted(const EndpointList& list) {
  std::unordered_set<std::string_view> listed;
  for (const ListedEndpoint& endpoint : list.endpoints)
    listed.insert(endpoint.uid);
  std::erase_if(startByUid_, [&](const auto& entry) { return !listed.contains(entry.first); });
}

}  // namespace hollyrun::gateway
