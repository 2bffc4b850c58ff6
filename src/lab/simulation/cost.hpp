// Measures the cost of the decision module alone: processor time per request, sweep, endpoint list and
// settings change, and its memory, for one gateway of a fleet of a given size.
#pragma once

#include <cstddef>
#include <cstdint>
#include <string>
#include <vector>

namespace hollyrun::lab {

/// The simulated size.
struct CostSettings {
  std::size_t gateways = 410, hosts = 200, tenants = 0, classes = 3;
  double rate = 80;              ///< requests per second of this gateway
  std::uint32_t candidates = 0;  ///< see balancer::Settings::candidates
  std::size_t requests = 4000;
  std::uint64_t seed = 1;
};

/// One row of the table. Times are processor time of this process.
struct CostRow {
  CostSettings size;
  double requestMedianNs = 0, requestP99Ns = 0;  ///< one request with all its events
  double sweepUs = 0;                            ///< median of the wakes with a sweep
  double listMs = 0, updateUs = 0;               ///< a snapshot; the median update of one host
  double startMs = 0, reloadMs = 0;              ///< the first settings; settings with one changed class
  double memoryMb = 0;                           ///< memory of the module at the end of the run
  std::uint64_t actions = 0, rejected = 0;
  std::uint64_t digest = 0;  ///< of all actions: equal for builds that make the same decisions
};

/// Runs the module of one gateway in virtual time with keyed and unkeyed requests of all classes and tenants,
/// servers that fail, restart and change, and one reload of the settings. Equal settings give equal actions.
CostRow measureCost(const CostSettings& settings);
std::string textOf(const std::vector<CostRow>& rows);

}  // namespace hollyrun::lab
