#include "gateway/server_start_times.hpp"

#include <algorithm>
#include <unordered_set>

namespace hollyrun::gateway {
namespace {

using balancer::Time;

// A start that is known but lies before the balancer's clock began.
constexpr Time kBeforeAll{1};

std::chrono::nanoseconds unixTimeOf(std::int64_t bootMs) {
  return std::chrono::milliseconds(bootMs);
}

}  // namespace

ServerStartTimes::ServerStartTimes(const Clocks& atStart)
    : offsetAtStart_(atStart.monotonic - atStart.unix) {}

std::vector<Time> ServerStartTimes::of(const EndpointList& list, Source source, const Clocks& now) {
  for (const ListedHost& host : list.hosts)
    bound(host, now);
  std::vector<Time> starts;
  starts.reserve(list.hosts.size());
  for (const ListedHost& host : list.hosts) {
    if (host.bootMs <= 0) {
      known_.erase(host.uid);
      starts.push_back(Time{});
      continue;
    }
    const auto [it, fresh] = known_.try_emplace(host.uid);
    if (fresh || it->second.bootMs != host.bootMs) {
      const Time start = std::clamp(unixTimeOf(host.bootMs) + offset(now), kBeforeAll, now.monotonic);
      it->second = {host.bootMs, start};
    }
    starts.push_back(it->second.start);
  }
  if (list.full)
    forgetAllBut(list);
  if (source == Source::discovery)
    lastAnswer_ = now.monotonic;
  return starts;
}

// What a start that is told now says of the distance of the two clocks.
void ServerStartTimes::bound(const ListedHost& host, const Clocks& now) {
  if (host.bootMs <= 0)
    return;
  most_ = std::min(most_, now.monotonic - unixTimeOf(host.bootMs));
  const auto known = known_.find(host.uid);
  const bool appears = known == known_.end() || known->second.bootMs != host.bootMs;
  if (!appears || !lastAnswer_)
    return;
  const Offset least = *lastAnswer_ - unixTimeOf(host.bootMs);
  least_ = std::max(least_.value_or(least), least);
}

// Of the distance at the start and the one now, which differ once the wall clock was stepped, the one that
// makes servers younger.
ServerStartTimes::Offset ServerStartTimes::offset(const Clocks& now) const {
  const Offset wall = std::max(offsetAtStart_, now.monotonic - now.unix);
  const bool contradicted = least_ && wall < *least_;
  return contradicted ? most_ : std::min(wall, most_);
}

void ServerStartTimes::forgetAllBut(const EndpointList& list) {
  std::unordered_set<std::string_view> listed;
  for (const ListedHost& host : list.hosts)
    listed.insert(host.uid);
  std::erase_if(known_, [&](const auto& entry) { return !listed.contains(entry.first); });
}

}  // namespace hollyrun::gateway
