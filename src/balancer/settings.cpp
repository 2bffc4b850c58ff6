#include "balancer/settings.hpp"

#include <cmath>
#include <set>
#include <stdexcept>
#include <string>
#include <tuple>

namespace hollyrun::balancer {
namespace {

// The messages name the keys of the configuration, since those are what an operator can change.
void require(bool valid, const std::string& message) {
  if (!valid)
    throw std::invalid_argument("balancer settings: " + message);
}

void validateClass(const ClassSettings& settings) {
  const std::string prefix = "class " + settings.name + ": ";
  require(settings.latencyObjective > Duration::zero(), prefix + "aim must be above 0");
  require(settings.clientTimeout >= settings.latencyObjective, prefix + "giveUp must not be below aim");
  require(std::isfinite(settings.priorityWeight) && settings.priorityWeight >= 0,
          prefix + "worth must be 0 or more");
  require(settings.lateValueFraction >= 0 && settings.lateValueFraction <= 1,
          prefix + "lateShare must lie in [0, 1]");
  require(settings.objectiveStretch >= 0, prefix + "aimStretch must be 0 or more");
  require(settings.deduplicationWindow >= Duration::zero(), prefix + "window must not be negative");
}

}  // namespace

void validate(const Settings& settings) {
  require(settings.replicaCount >= 1, "groupSize must be at least 1");
  require(settings.replicaIndex < settings.replicaCount, "number " + std::to_string(settings.replicaIndex) +
                                                             " must be below groupSize " +
                                                             std::to_string(settings.replicaCount));
  require(!settings.classes.empty(), "at least one class is needed");
  require(settings.maxAttempts >= 1, "maxAttempts must be at least 1");
  require(settings.candidates == 0 || settings.candidates >= 4,
          "candidates must be 0 or at least 4, not " + std::to_string(settings.candidates));
  require(settings.streamsPerConnection >= 1, "streamsPerConnection must be at least 1");
  require(settings.slowStartInitialFraction > 0 && settings.slowStartInitialFraction <= 1,
          "coldShare must lie in (0, 1]");
  require(settings.overloadMultiple > 0, "fallMultiple must be above 0");
  require(settings.overQuotaWeight >= 0 && settings.overQuotaWeight <= 1,
          "overShareWorth must lie in [0, 1]");
  for (Duration duration :
       {settings.maxRetryAfter, settings.maxDiscoverySilence, settings.step, settings.slowStartDuration,
        settings.overloadWindow, settings.keyCooldown, settings.idleTimeout})
    require(duration >= Duration::zero(), "durations must not be negative");
  std::set<std::string> names;
  for (const ClassSettings& requestClass : settings.classes) {
    require(!requestClass.name.empty(), "the name of a class must not be empty");
    require(names.insert(requestClass.name).second,
            "class " + requestClass.name + ": the name must be unique");
    validateClass(requestClass);
  }
  for (const TenantSettings& tenant : settings.tenants)
    require(std::isfinite(tenant.quotaPerSecond) && tenant.quotaPerSecond >= 0,
            "tenant " + tenant.name + ": quotaRps must be a finite number, 0 or more");
}

bool operator==(const ClassSettings& left, const ClassSettings& right) {
  const auto allFields = [](const ClassSettings& settings) {
    return std::tie(settings.name, settings.latencyObjective, settings.clientTimeout,
                    settings.deduplicationWindow, settings.idempotency, settings.deduplicationScope,
                    settings.priorityWeight, settings.lateValueFraction, settings.objectiveStretch,
                    settings.orderedPerKey, settings.zones, settings.machineTypes);
  };
  return allFields(left) == allFields(right);
}

}  // namespace hollyrun::balancer
