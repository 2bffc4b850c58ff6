// Every order of messages, losses, delays and crashes that three members can meet, to a stated depth.
#pragma once

#include <cstdint>
#include <string>
#include <vector>

namespace hollyrun::lab {

struct Explored {
  std::uint64_t states = 0;         ///< different ones, told apart by what decides the members' next steps
  std::uint64_t steps = 0;          ///< ways between them that were taken
  std::uint64_t healed = 0;         ///< states from which a calm network was played on until all agreed
  std::vector<std::string> broken;  ///< invariants that failed, with the way there; at most a few
};

/// From three members that agree: at each step one datagram under way arrives or is lost, or time passes to
/// the next timer (what is under way stays there), or one member crashes, leaves or starts again (`crashes`
/// of these at most on a way). `depth` steps. One state in `healEvery` is played on.
Explored exploreMembers(unsigned depth, unsigned crashes, std::uint64_t healEvery);

}  // namespace hollyrun::lab
