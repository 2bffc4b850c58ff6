// A randomised soak: real processes of the program between clients, servers and a discovery of its own, with
// faults that overlap, judged by what the peers saw.
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
  std::string program;  ///< the built hollyrun
  std::string library;  ///< the fault library; empty: no faults of system calls and clocks
  std::uint64_t seed = 1;
  std::chrono::milliseconds length{20000};
  std::size_t gateways = 10, servers = 8;
  double rate = 300;              ///< requests a second, over all gateways
  std::vector<std::size_t> only;  ///< the faults to play, by number; empty: all
  bool keepLogs = false;
};

enum class SoakVerdict { pass, broken, voided };

struct SoakResult {
  SoakVerdict verdict = SoakVerdict::pass;
  std::vector<SoakFault> soakFaults;  ///< as played, in order
  std::vector<SoakBreak> breaks;
  std::size_t requests = 0, served = 0, refused = 0;
  double lagMs = 0;  ///< the longest that the soak's own loop was late
  std::string folder;
};

/// Plays one seed; every process that it started has ended when it returns. Throws std::runtime_error if the
/// program cannot be started.
SoakResult playSoak(const SoakPlan& plan);

/// Which pairs of kinds were on at one time, and how often.
std::map<std::string, std::size_t> overlaps(const std::vector<SoakFault>& soakFaults);

}  // namespace hollyrun::lab
