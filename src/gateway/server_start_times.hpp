/// Estimates when each upstream host started, on this process's monotonic clock.
///
/// Discovery states start times as Unix time. The wall clock of this process may be wrong by seconds or hours
/// and may be stepped, so the offset between the wall clock and the monotonic clock is only an estimate. Two
/// facts bound the offset: a host has started before it is first listed, and a host that is missing from one
/// list and present in the next has started after the former. Within these bounds the offset of the wall
/// clock is used. If that offset lies outside of them, the bound that makes hosts younger is used instead: an
/// estimate that is too young costs some of a host's capacity for the duration of its slow start, whereas one
/// that is too old would overload the host.
///
/// One error cannot be detected: if the wall clock is ahead, each host of the first list appears older by the
/// same amount, and no bound contradicts that when these start times are estimated.
#pragma once

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

#include "gateway/endpoint_list.hpp"
#include "hollyrun/balancer.hpp"

namespace hollyrun::gateway {

class ServerStartTimes {
 public:
  /// Readings of both clocks at the same moment.
  struct Clocks {
    balancer::Time monotonic{};       ///< The clock of the balancer.
    std::chrono::nanoseconds unix{};  ///< Unix time according to the wall clock.
  };
  /// The origin of a list. A `cached` list may be of any age.
  enum class Source { cached, discovery };

  explicit ServerStartTimes(const Clocks& atStart);

  /// Returns the start times of the hosts in this list, in the order of the list. Zero means long ago
  /// and is returned for hosts without a stated start. The result for a host stays the same as long as its
  /// boot_ms does. Must be called for every response of discovery, also for one without hosts.
  std::vector<balancer::Time> startTimesOf(const EndpointList& list, Source source, const Clocks& now);

 private:
  struct KnownStart {
    std::int64_t startUnixMs = 0;
    balancer::Time start{};
  };
  using Offset = std::chrono::nanoseconds;  // Monotonic time minus Unix time.

  void updateOffsetBounds(const ListedEndpoint& endpoint, const Clocks& now);
  Offset estimateOffset(const Clocks& now) const;
  void removeUnlisted(const EndpointList& list);

  Offset offsetAtStart_;
  Offset maxOffset_ = Offset::max();
  std::optional<Offset> minOffset_;
  std::optional<balancer::Time> lastDiscoveryResponse_;
  std::unordered_map<std::string, KnownStart> startByUid_;
};

}  // namespace hollyrun::gateway
