/// When each upstream host started, on this process's monotonic clock.
///
/// Discovery states a start as Unix time. This process's wall clock may be wrong by seconds or hours and may
/// be stepped, so its offset from the monotonic clock is only an estimate. What is certain bounds it from
/// both sides: a host has started before it is first listed, and one that appears after a list without it has
/// started after that list. Inside these bounds the wall clock is used; once it lies outside of them, the
/// bound that makes a host younger is used instead. Too young costs some of a host's capacity for the
/// duration of its slow start; too old would overload it.
///
/// What cannot be detected: for hosts of the very first list, a clock that is ahead makes each look older by
/// the same amount, and nothing contradicts it.
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
  /// Both clocks, read together.
  struct Clocks {
    balancer::Time monotonic{};       ///< that of the balancer
    std::chrono::nanoseconds unix{};  ///< since 1970, as the wall clock has it
  };
  /// Where a list comes from: `cached` ones may be of any age.
  enum class Source { cached, discovery };

  explicit ServerStartTimes(const Clocks& atStart);

  /// The starts of the hosts in this list, in its order; zero = long past. A start once returned stays the
  /// same for as long as the host's boot_ms does. To be called for each answer of discovery, empty ones too.
  std::vector<balancer::Time> startTimesOf(const EndpointList& list, Source source, const Clocks& now);

 private:
  struct KnownStart {
    std::int64_t startUnixMs = 0;
    balancer::Time start{};
  };
  using Offset = std::chrono::nanoseconds;  // of the monotonic clock from Unix time

  void updateOffsetBounds(const ListedEndpoint& endpoint, const Clocks& now);
  Offset estimateOffset(const Clocks& now) const;
  void forgetUnlisted(const EndpointList& list);

  Offset offsetAtStart_;
  Offset maxOffset_ = Offset::max();
  std::optional<Offset> minOffset_;
  std::optional<balancer::Time> lastDiscoveryAnswer_;
  std::unordered_map<std::string, KnownStart> startByUid_;
};

}  // namespace hollyrun::gateway
