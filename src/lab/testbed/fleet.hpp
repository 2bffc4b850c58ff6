// Real processes of the program under the emulated platform and a load, with a schedule of faults: what its
// own clients and servers saw is the evidence, and the rules' checker judges it.
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
  std::string program;  ///< the built hollyrun
  std::string dir;      ///< configurations and temporary folders of the processes; empty: one that goes again
  std::uint64_t seed = 1;
  double rate = 0;  ///< first tries a second; 0: by the scenario's level
};

enum class Verdict { pass, fail, interrupted, voided };

struct FleetResult {
  Verdict verdict = Verdict::fail;
  Result result;
  std::vector<std::string> timeline;  ///< faults and the processes' own lines on one time line
  double lagMs = 0;                   ///< the testbed's own: the longest that its loop was late
  double cpuS = 0;                    ///< processor time of all the processes
  double memoryMb = 0;                ///< the most that one of them held
};

/// The TOML that a gateway of this scenario is started with; `membership` is that section's text.
std::string configOf(const Scenario& scenario, const DrawnDay& day, std::uint32_t number,
                     std::uint32_t gateways, const std::string& listen, const std::string& discovery,
                     const std::string& management, const std::string& membership = {});

/// Plays the scenario; it ends by itself, and every process that it started has ended with it. Throws
/// std::runtime_error if the program cannot be started at all.
FleetResult playFleet(const Scenario& scenario, const FleetPlan& plan);

/// A page for a person: the verdict, what was asked and served by second, and the time line.
std::string pageOf(const FleetResult& result);
/// The same as text: a line a second, then the breaches and the verdict.
std::string textOf(const FleetResult& result);

}  // namespace hollyrun::lab
