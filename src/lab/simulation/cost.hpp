// What the decision module alone costs: processor time a request, of its sweeps, of lists and of settings,
// and its memory, for one gateway of a fleet of a given size.
#pragma once

#include <cstddef>
#include <cstdint>
#include <string>
#include <vector>

namespace hollyrun::lab {

/// The size that is played.
struct CostSettings {
  std::size_t gateways = 410, hosts = 200, tenants = 0, classes = 3;
  double rate = 80;              ///< requests a second of this gateway
  std::uint32_t candidates = 0;  ///< of Settings
  std::size_t requests = 4000;
  std::uint64_t seed = 1;
};

/// One row: times are processor time of this process.
struct CostRow {
  CostSettings size;
  double requestMedianNs = 0, requestP99Ns = 0;  ///< of a request with all its events
  double sweepUs = 0;                            ///< of one wake with a sweep, in the median
  double listMs = 0, updateUs = 0;               ///< of a whole list; of an update of one host, in the median
  double startMs = 0, reloadMs = 0;  ///< of the first settings; of settings with one class changed
  double memoryMb = 0;               ///< allocated by the module at the end
  std::uint64_t actions = 0, refused = 0;
  std::uint64_t digest = 0;  ///< of all its actions: equal for builds that decide alike
};

/// Plays one gateway's module in virtual time: keyed and unkeyed requests of all classes and tenants, servers
/// that fail, restart and change, and one reload of the settings. The same settings give the same actions.
CostRow measureCost(const CostSettings& settings);
std::string textOf(const std::vector<CostRow>& rows);

}  // namespace hollyrun::lab
