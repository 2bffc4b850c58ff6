// The fault schedule of a soak, drawn from its seed: kind, target, start and duration of each fault. Faults
// overlap in time.
#pragma once

#include <chrono>
#include <cstdint>
#include <string>
#include <vector>

namespace hollyrun::lab {

enum class SoakFaultKind : std::uint8_t {
  gatewayTerm,       ///< SIGTERM, in half of the cases SIGKILL at the earliest time that the platform allows;
                     ///< a new process is started once the old one has ended
  gatewayKill,       ///< SIGKILL; a new process is started
  gatewayPause,      ///< SIGSTOP for up to 0.15 s
  gatewayStop,       ///< SIGSTOP for up to 1.5 s
  gatewayReload,     ///< SIGHUP with a valid configuration file, which in half of the cases names another
                     ///< address of discovery
  gatewayBadReload,  ///< SIGHUP with a truncated configuration file
  clockStep,         ///< steps the wall clock of one gateway
  shortCalls,        ///< send and receive move only a few bytes at a time
  interruptedCalls,  ///< receive, poll and epoll_wait fail with EINTR
  acceptFails,       ///< accept fails with one errno
  dialFails,         ///< socket and connect fail
  serverDrain,       ///< announced as draining, then as removed, then restarted
  serverHang,        ///< accepts requests and never answers
  serverReset,       ///< resets the connection when a request arrives
  serverRefuse,      ///< answers 503 with X-Not-Run
  discoverySilent,   ///< withholds responses from one gateway until the fault ends, in half of the cases for
                     ///< good
  discoveryClosed,   ///< closes the watch connections of one gateway
  clientsLeave,      ///< some clients disconnect early: by close, half-close or reset
  discoveryRefuses,  ///< refuses the calls of one gateway
  discoveryFails,    ///< answers the calls of one gateway with an error or something that is not a list
  discoveryLate,     ///< answers the calls of one gateway late
  discoveryOutage,   ///< fails all calls of all gateways; a server begins to drain shortly before the return
  signalSeries,      ///< several signals to one gateway, one shortly after the other
  idleCrowd,         ///< idle clients fill the descriptors of one gateway
  slowCrowd,         ///< a crowd of slow clients of one kind, or of all kinds, at one gateway
  flood,             ///< a client floods one connection to one gateway
  count
};
inline constexpr std::size_t kSoakFaultKinds = static_cast<std::size_t>(SoakFaultKind::count);
const char* nameOf(SoakFaultKind kind);

struct SoakFault {
  SoakFaultKind kind{};
  std::size_t target = 0;                ///< index of the gateway or server, modulo their number
  std::chrono::milliseconds at{};        ///< since the start of the load
  std::chrono::milliseconds duration{};  ///< until the fault is reverted
  std::uint64_t randomValue = 0;         ///< selects further parameters, such as the errno
};

/// Returns the faults in order of their start, about two per second.
std::vector<SoakFault> drawSoakFaults(std::uint64_t seed, std::chrono::milliseconds length);
std::string textOf(const SoakFault& soakFault);

}  // namespace hollyrun::lab
