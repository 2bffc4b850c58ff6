// When each record server started, on this process's monotonic clock.
//
// Discovery tells a start as Unix time. This process's wall clock may be wrong by seconds or hours and may be
// stepped, so its distance from the monotonic clock is only an estimate. What is certain bounds it from both
// sides: a server has started before it is first told, and one that appears after a list without it has
// started after that list. Inside these bounds the wall clock is believed; once it lies outside of them it is
// not believed any more, and the bound that makes a server younger is taken. Too young costs some of a
// server's use for the time of its slow start; too old would flood it.
//
// What cannot be known: of servers that were there in the first list of all, a clock that is ahead makes each
// look older by as much, and nothing contradicts it.
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
  /// Where a list comes from: `remembered` ones may be of any age.
  enum class Source { remembered, discovery };

  explicit ServerStartTimes(const Clocks& atStart);

  /// The starts of the servers in this list, in its order; zero = long past. A start once given stays the
  /// same for as long as the server's boot_ms does. To be called for each answer of discovery, empty ones
  /// too.
  std::vector<balancer::Time> of(const EndpointList& list, Source source, const Clocks& now);

 private:
  struct Known {
    std::int64_t bootMs = 0;
    balancer::Time start{};
  };
  using Offset = std::chrono::nanoseconds;  // of the monotonic clock from Unix time

  void bound(const ListedHost& host, const Clocks& now);
  Offset offset(const Clocks& now) const;
  void forgetAllBut(const EndpointList& list);

  Offset offsetAtStart_;
  Offset most_ = Offset::max();
  std::optional<Offset> least_;
  std::optional<balancer::Time> lastAnswer_;
  std::unordered_map<std::string, Known> known_;
};

}  // namespace hollyrun::gateway
