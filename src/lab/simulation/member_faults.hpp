// Measures large faults of a fleet's membership in virtual time: how long the members' views differ, and how
// much they send, receive and compute meanwhile.
#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "membership/membership.hpp"

namespace hollyrun::lab {

enum class MemberFault {
  zone,      ///< all members of one of seven zones die at the same moment and later start at the same moment
  cut,       ///< a network partition between three zones and the other four
  restarts,  ///< five of six members leave and restart, in ten waves
};
/// Returns nullopt for an unknown name.
std::optional<MemberFault> memberFaultNamed(std::string_view name);

struct MemberFaultRun {
  MemberFault fault = MemberFault::zone;
  std::size_t members = 0;
  membership::Duration partitionDuration{};
  std::uint64_t seed = 1;
};

/// One phase of a fault. Bytes are those of datagrams, without IP and UDP headers.
struct MemberFaultRow {
  std::string phase;
  std::size_t members = 0, affected = 0;
  bool agreed = false;      ///< whether all views became equal
  double agreedMedian = 0;  ///< median over the phase's faults of the periods until all views were equal
  double agreedMax = 0;     ///< the longest of these times
  double sentMean = 0;      ///< bytes per member and period
  double sentPeak = 0;      ///< the same in the busiest period
  double sentMax = 0;       ///< maximum bytes of one member in one period
  double receivedMax = 0;   ///< the same for received bytes
  double microsMean = 0;    ///< processor time per member and period
  double microsPeak = 0;    ///< the same in the busiest period
};

std::vector<MemberFaultRow> measureMemberFault(const MemberFaultRun& run);
std::string textOf(const std::vector<MemberFaultRow>& rows);

}  // namespace hollyrun::lab
