// The faults of a soak, drawn from its seed: what, whom, when and for how long. Several overlap in time.
#pragma once

#include <chrono>
#include <cstdint>
#include <string>
#include <vector>

namespace hollyrun::lab {

enum class SoakFaultKind : std::uint8_t {
  gatewayTerm,       ///< SIGTERM, and a new process after its end
  gatewayKill,       ///< SIGKILL, and a new process
  gatewayPause,      ///< SIGSTOP for up to 0.15 s
  gatewayStop,       ///< SIGSTOP for up to 1.5 s
  gatewayReload,     ///< SIGHUP with a file that is well
  gatewayBadReload,  ///< SIGHUP with half a file
  clockStep,         ///< the wall clock of one gateway
  shortCalls,        ///< sends and receives of few bytes
  interruptedCalls,  ///< EINTR of receives, polls and waits
  acceptFails,       ///< one errno of accept(2)
  dialFails,         ///< socket and connect
  serverDrain,       ///< told as draining, then gone, then a new process
  serverHang,        ///< answers nothing
  serverReset,       ///< resets connections under requests
  serverRefuse,      ///< answers 503 with X-Not-Run
  discoverySilent,   ///< answers nothing to one gateway, and tells afterwards
  discoveryClosed,   ///< closes its watches
  clientsLeave,      ///< clients leave early, in three ways
  count
};
inline constexpr std::size_t kSoakFaultKinds = static_cast<std::size_t>(SoakFaultKind::count);
const char* nameOf(SoakFaultKind kind);

struct SoakFault {
  SoakFaultKind kind{};
  std::size_t whom = 0;              ///< the number of a gateway or a server, modulo how many there are
  std::chrono::milliseconds at{};    ///< from the soak's start
  std::chrono::milliseconds span{};  ///< until it is undone
  std::uint64_t draw = 0;            ///< for what else is drawn
};

/// In the order of their starts; about two begin each second.
std::vector<SoakFault> drawSoakFaults(std::uint64_t seed, std::chrono::milliseconds length);
std::string textOf(const SoakFault& soakFault);

}  // namespace hollyrun::lab
