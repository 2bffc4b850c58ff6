// What large faults cost the members of a fleet, in virtual time: how long their views differ, and what they
// send, receive and compute meanwhile.
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
  zone,      ///< one of seven zones dies at once, and comes back at once
  cut,       ///< three zones of seven and the others hear nothing of each other
  restarts,  ///< five of six members leave and start again, in ten waves
};
/// None if there is no fault of this name.
std::optional<MemberFault> memberFaultNamed(std::string_view name);

struct MemberFaultRun {
  MemberFault fault = MemberFault::zone;
  std::size_t members = 0;
  membership::Duration apart{};  ///< length of the cut
  std::uint64_t seed = 1;
};

/// One phase of a fault. Bytes are those of datagrams, without the headers of IP and UDP.
struct MemberFaultRow {
  std::string phase;
  std::size_t members = 0, affected = 0;
  bool agreed = false;      ///< whether all views were equal in the end
  double agreedMedian = 0;  ///< periods until all views were equal
  double agreedMost = 0;    ///< the longest of them
  double sentMean = 0;      ///< bytes a member and period
  double sentPeak = 0;      ///< the same in the period with the most
  double sentMost = 0;      ///< bytes of one member in one period, the most
  double receivedMost = 0;  ///< likewise
  double microsMean = 0;    ///< processor time a member and period
  double microsPeak = 0;    ///< the same in the period with the most
};

std::vector<MemberFaultRow> measureMemberFault(const MemberFaultRun& run);
std::string textOf(const std::vector<MemberFaultRow>& rows);

}  // namespace hollyrun::lab
