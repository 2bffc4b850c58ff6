#include "gateway/server_start_times.hpp"

#include <algorithm>
#include <unordered_set>

namespace hollyrun::gateway {
namespace {

using balancer::Time;

// A start that is known but lies before the balancer's clock began.
constexpr Time kEarliestStart{1};

std::chrono::nanoseconds toUnixTime(std::int64_t startUnixMs) {
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
          std::clamp(toUnixTime(endpoint.startUnixMs) + estimateOffset(now), kEarliestStart, now.monotonic);
      it->second = {endpoint.startUnixMs, start};
    }
    starts.push_back(it->second.start);
  }
  if (list.snapshot)
    forgetUnlisted(list);
  if (source == Source::discovery)
    lastDiscoveryAnswer_ = now.monotonic;
  return starts;
}

// What a start that is listed now implies for the offset of the two clocks.
void ServerStartTimes::updateOffsetBounds(const ListedEndpoint& endpoint, const Clocks& now) {
  if (endpoint.startUnixMs <= 0)
    return;
  maxOffset_ = std::min(maxOffset_, now.monotonic - toUnixTime(endpoint.startUnixMs));
  const auto known = startByUid_.find(endpoint.uid);
  const bool isNewProcess = known == startByUid_.end() || known->second.startUnixMs != endpoint.startUnixMs;
  if (!isNewProcess || !lastDiscoveryAnswer_)
    return;
  const Offset bound = *lastDiscoveryAnswer_ - toUnixTime(endpoint.startUnixMs);
  minOffset_ = std::max(minOffset_.value_or(bound), bound);
}

// Of the offset at the start and the one now, which differ once the wall clock was stepped, the one that
// makes hosts younger.
ServerStartTimes::Offset ServerStartTimes::estimateOffset(const Clocks& now) const {
  const Offset wall = std::max(offsetAtStart_, now.monotonic - now.unix);
  const bool contradicted = minOffset_ && wall < *minOffset_;
  return contradicted ? maxOffset_ : std::min(wall, maxOffset_);
}

void ServerStartTimes::forgetUnlisted(const EndpointList& list) {
  std::unordered_set<std::string_view> listed;
  for (const ListedEndpoint& endpoint : list.endpoints)
    listed.insert(endpoint.uid);
  std::erase_if(startByUid_, [&](const auto& entry) { return !listed.contains(entry.first); });
}

}  // namespace hollyrun::gateway
