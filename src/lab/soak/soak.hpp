// A randomised soak test: gateway processes run between the soak's own clients, servers and discovery under
// overlapping faults, and an oracle checks what these peers observe.
#pragma once

#include <chrono>
#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "lab/soak/fault_schedule.hpp"
#include "lab/soak/oracle.hpp"

namespace hollyrun::lab {

struct SoakPlan {
  std::string program;  ///< path of the hollyrun executable
  std::string library;  ///< path of the fault library; empty: no system call or clock faults
  std::uint64_t seed = 1;
  std::chrono::milliseconds length{20000};
  std::size_t gateways = 10, servers = 8;
  double rate = 300;              ///< requests per second, summed over all gateways
  std::vector<std::size_t> only;  ///< indices of the faults to inject; empty: all
  bool keepLogs = false;
};

enum class SoakVerdict { pass, broken, voided };

struct SoakResult {
  SoakVerdict verdict = SoakVerdict::pass;
  std::vector<SoakFault> soakFaults;  ///< the injected faults, in order of their start
  std::vector<SoakViolation> violations;
  std::size_t requests = 0, served = 0, refused = 0;
  double lagMs = 0;          ///< longest delay of the soak's own event loop
  std::string logDirectory;  ///< empty unless the logs are kept
};

/// Runs the soak with one seed. Every process that it started has ended when it returns. Throws
/// std::runtime_error if the program cannot be started.
SoakResult playSoak(const SoakPlan& plan);

/// Counts, for each pair of fault kinds, how often the two overlapped in time.
std::map<std::string, std::size_t> overlaps(const std::vector<SoakFault>& soakFaults);

}  // namespace hollyrun::lab
