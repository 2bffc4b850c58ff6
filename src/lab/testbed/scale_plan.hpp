// The plan of a scale run: the size of the fleet, the dimension that varies from step to step, and durations.
#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "lab/simulation/scenario.hpp"

namespace hollyrun::lab {

/// A dimension of the size that a scale run can vary.
enum class Dimension { gateways, stubs, servers, tenants, classes, rate, changes };

inline constexpr Dimension kDimensions[] = {Dimension::gateways, Dimension::stubs,   Dimension::servers,
                                            Dimension::tenants,  Dimension::classes, Dimension::rate,
                                            Dimension::changes};
const char* nameOf(Dimension dimension);

struct ScaleSize {
  std::size_t gateways = 1;  ///< real gateway processes
  std::size_t stubs = 0;     ///< stub gateways, which have no clients; many in one process
  std::size_t servers = 200;
  std::size_t tenants = 0;
  std::size_t classes = 0;  ///< 0: the classes of the scenario
  double rate = 400;        ///< requests per second for each real gateway
  double changes = 0;       ///< changes of the endpoint list per second

  void set(Dimension dimension, double value);
  double get(Dimension dimension) const;
};

struct ScalePlan {
  Scenario scenario;    ///< classes, keys and zones of the load
  std::string program;  ///< path of the built hollyrun
  std::string lab;      ///< path of the built hollyrun-lab, for the stub processes
  ScaleSize size;       ///< of all steps, except in the varied dimension
  Dimension dimension = Dimension::servers;
  std::vector<double> values;    ///< sizes in the varied dimension, one for each step
  unsigned rounds = 1;           ///< how often all steps are run
  unsigned maxTriesPerStep = 3;  ///< void steps are repeated up to this many tries
  double idleS = 5, loadS = 8, warmS = 2;
  double answerMs = 2;       ///< response time of a stub server
  unsigned hangups = 3;      ///< SIGHUPs measured in each step
  unsigned listChanges = 5;  ///< per step, each timed until all stub gateways have it
  double outageS = 2;        ///< duration of the discovery outage; 0: no outage
  std::size_t configuredGateways =
      410;  ///< fleet.gateways of the configurations; at least the gateways and stub gateways of the step
  double membershipPeriodMs = 0;  ///< 0: no membership
  double joinTimeoutS = 60;       ///< time allowed until all members see each other
  // A step is void beyond these limits, because the testbed's own delays or load would be measured instead of
  // the gateway's.
  double maxHelperLagMs = 100;   ///< delay of the event loop of the testbed or a stub process under load
  double maxHelperShare = 0.85;  ///< processor time of one of these processes, share of a core
  std::uint64_t seed = 1;
};

/// Throws std::invalid_argument that names the bound which the plan exceeds.
void checkPlan(const ScalePlan& plan);

/// Returns the scenario of a step of that size: a flat load without troubles, retries or choking, with as
/// many classes as the size has.
Scenario scenarioOf(const ScalePlan& plan, const ScaleSize& size);

}  // namespace hollyrun::lab
