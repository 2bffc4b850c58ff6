#include "balancer/settings.hpp"

#include <cmath>
#include <set>
#include <stdexcept>
#include <string>
#include <tuple>

namespace hollyrun::balancer {
namespace {

// The texts name the keys of the configuration, which is what an operator can change.
void require(bool good, const std::string& what) {
  if (!good)
    throw std::invalid_argument("balancer settings: " + what);
}

}  // namespace

void validate(const Settings& s) {
  require(s.replicaCount >= 1, "groupSize must be at least 1");
  require(s.replicaIndex < s.replicaCount, "number must be below groupSize");
  require(!s.classes.empty(), "at least one class is needed");
  require(s.maxAttempts >= 1, "maxAttempts must be at least 1");
  require(s.candidates == 0 || s.candidates >= 4, "candidates must be 0 or at least 4");
  require(s.streamsPerConnection >= 1, "streamsPerConnection must be at least 1");
  require(s.slowStartInitialFraction > 0 && s.slowStartInitialFraction <= 1, "coldShare must lie in (0, 1]");
  require(s.overloadMultiple > 0, "fallMultiple must be above 0");
  require(s.overQuotaWeight >= 0 && s.overQuotaWeight <= 1, "overShareWorth must lie in [0, 1]");
  for (Duration d : {s.maxRetryAfter, s.maxDiscoverySilence, s.step, s.slowStartDuration, s.overloadWindow,
                     s.keyCooldown, s.idleTimeout})
    require(d >= Duration::zero(), "durations must not be negative");
  std::set<std::string> names;
  for (const ClassSettings& c : s.classes) {
    require(!c.name.empty(), "a class has no name");
    require(names.insert(c.name).second, "two classes are called " + c.name);
    require(c.latencyObjective > Duration::zero(), "class " + c.name + ": aim must be above 0");
    require(c.clientTimeout >= c.latencyObjective, "class " + c.name + ": giveUp must not be below aim");
    require(std::isfinite(c.priorityWeight) && c.priorityWeight >= 0,
            "class " + c.name + ": worth must be 0 or more");
    require(c.lateValueFraction >= 0 && c.lateValueFraction <= 1,
            "class " + c.name + ": lateShare must lie in [0, 1]");
    require(c.objectiveStretch >= 0, "class " + c.name + ": aimStretch must be 0 or more");
    require(c.deduplicationWindow >= Duration::zero(), "class " + c.name + ": window must not be negative");
  }
  for (const TenantSettings& t : s.tenants)
    require(std::isfinite(t.quotaPerSecond) && t.quotaPerSecond >= 0, "tenant " + t.name + ": bad quota");
}

bool operator==(const ClassSettings& a, const ClassSettings& b) {
  const auto all = [](const ClassSettings& c) {
    return std::tie(c.name, c.latencyObjective, c.clientTimeout, c.deduplicationWindow, c.idempotency,
                    c.deduplicationScope, c.priorityWeight, c.lateValueFraction, c.objectiveStretch,
                    c.orderedPerKey, c.zones, c.machineTypes);
  };
  return all(a) == all(b);
}

}  // namespace hollyrun::balancer
