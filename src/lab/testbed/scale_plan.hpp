// What a scale run plays: the size of the fleet, the one dimension that it steps through, and the times.
#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "lab/simulation/scenario.hpp"

namespace hollyrun::lab {

/// The dimension that a scale run steps through.
enum class Dimension { gateways, stubs, servers, tenants, classes, rate, changes };

inline constexpr Dimension kDimensions[] = {Dimension::gateways, Dimension::stubs,   Dimension::servers,
                                            Dimension::tenants,  Dimension::classes, Dimension::rate,
                                            Dimension::changes};
const char* nameOf(Dimension dimension);

struct ScaleSize {
  std::size_t gateways = 1;  ///< real processes
  std::size_t stubs = 0;     ///< gateways without clients, many to a process
  std::size_t servers = 200;
  std::size_t tenants = 0;
  std::size_t classes = 0;  ///< 0: the scenario's own
  double rate = 400;        ///< requests a second at each real gateway
  double changes = 0;       ///< of the list, a second

  void set(Dimension dimension, double value);
  double get(Dimension dimension) const;
};

struct ScalePlan {
  Scenario scenario;    ///< classes, keys and zones of the load
  std::string program;  ///< the built hollyrun
  std::string lab;      ///< the built hollyrun-lab, for the stub processes
  ScaleSize size;       ///< of all steps, but for the dimension
  Dimension dimension = Dimension::servers;
  std::vector<double> values;  ///< of the dimension, one a step
  unsigned rounds = 1;         ///< of all the steps
  unsigned voidTries = 3;      ///< a step that is void is played so often
  double idleS = 5, loadS = 8, warmS = 2;
  double answerMs = 2;       ///< until a stub server answers
  unsigned hangups = 3;      ///< SIGHUPs measured a step
  unsigned listChanges = 5;  ///< followed to all stub gateways
  double outageS = 2;        ///< of discovery, before its watches begin anew; 0: none is played
  std::size_t configuredGateways =
      410;                        ///< fleet.gateways of the settings, or all of the size if those are more
  double membershipPeriodMs = 0;  ///< 0: no membership
  double joinTimeoutS = 60;       ///< waited for until all members see all
  // Beyond these a step is void: the testbed would show as latency of the gateway, or be itself what is
  // measured.
  double lagMostMs = 100;   ///< that the loop of one of the testbed's processes was late under a load
  double shareMost = 0.85;  ///< of a core that one of them took under a load
  std::uint64_t seed = 1;
};

/// Throws std::invalid_argument that says which bound the plan goes beyond.
void checkPlan(const ScalePlan& plan);

/// The scenario that a step of that size is played by: a flat load without troubles, retries or choking, and
/// as many classes as the size asks for.
Scenario scenarioOf(const ScalePlan& plan, const ScaleSize& size);

}  // namespace hollyrun::lab
