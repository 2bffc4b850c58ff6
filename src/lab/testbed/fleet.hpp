// Runs real processes of the gateway against the emulated platform and a load, with a schedule of faults. The
// checker verifies the rules on what the testbed's own clients and servers observed.
#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/signal_set.hpp>
#include <boost/asio/steady_timer.hpp>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "lab/testbed/load.hpp"
#include "lab/testbed/platform.hpp"

namespace hollyrun::lab {

struct FleetPlan {
  std::string program;  ///< path of the built hollyrun
  std::string dir;      ///< for configurations and temporary folders; empty: a folder removed at the end
  std::uint64_t seed = 1;
  double rate = 0;  ///< calls per second, without retries; 0: from the scenario's load level
};

enum class Verdict { pass, fail, interrupted, voided };

struct FleetResult {
  Verdict verdict = Verdict::fail;
  Result result;
  std::vector<std::string> timeline;  ///< faults and output lines of the processes, in order of time
  double lagMs = 0;                   ///< longest delay of the testbed's own event loop
  double cpuS = 0;                    ///< processor time of all processes
  double memoryMb = 0;                ///< peak resident memory of the largest process
};

/// Returns the TOML configuration of one gateway of the scenario. `membership` is the text of its
/// [membership] section.
std::string configOf(const Scenario& scenario, const DrawnDay& day, std::uint32_t number,
                     std::uint32_t gateways, const std::string& listen, const std::string& discovery,
                     const std::string& management, const std::string& membership = {});

/// Plays the scenario to its end and ends every process that it started. Throws std::runtime_error if the
/// program does not exist or the scenario has events for virtual time only.
FleetResult playFleet(const Scenario& scenario, const FleetPlan& plan);

/// Formats the result as an HTML page: the verdict, calls and outcomes by second, and the timeline.
std::string pageOf(const FleetResult& result);
/// Formats the result as text: a line for each second, then the breaches and the verdict.
std::string textOf(const FleetResult& result);

}  // namespace hollyrun::lab
