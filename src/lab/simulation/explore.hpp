// Explores every order of messages, losses, delays and crashes of three members, up to a given depth.
#pragma once

#include <cstdint>
#include <string>
#include <vector>

namespace hollyrun::lab {

struct Explored {
  std::uint64_t states = 0;  ///< distinct states, by everything that affects the members' next steps
  std::uint64_t steps = 0;   ///< transitions taken between states
  std::uint64_t convergenceChecks = 0;  ///< states continued on a lossless network until all members agreed
  std::vector<std::string> violations;  ///< violated invariants, each with its path; at most a few
};

/// Explores `depth` steps from three members that agree. In each step one datagram in flight arrives or is
/// lost, or time advances to the next timer (datagrams stay in flight), or one member crashes, leaves or
/// restarts (at most `crashes` of these on a path). One state in `checkConvergenceEvery` is continued on a
/// lossless network to check that all members agree again.
Explored exploreMembers(unsigned depth, unsigned crashes, std::uint64_t checkConvergenceEvery);

}  // namespace hollyrun::lab
