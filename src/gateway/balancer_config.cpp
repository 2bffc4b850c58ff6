#include "gateway/balancer_config.hpp"

#include <algorithm>
#include <nlohmann/json.hpp>
#include <optional>
#include <string>
#include <vector>

#include "gateway/config_fields.hpp"

namespace hollyrun::gateway {
namespace {

using balancer::Duration;
using nlohmann::json;

balancer::Idempotency parseIdempotency(const std::string& text) {
  if (text == "retryable")
    return balancer::Idempotency::idempotent;
  if (text == "dedup")
    return balancer::Idempotency::keyed;
  if (text == "fragile")
    return balancer::Idempotency::none;
  throw ConfigError(ConfigErrorCode::unknownValue, "effect",
                    "effect: unknown value '" + text + "', expected one of: retryable, dedup, fragile");
}

balancer::DeduplicationScope parseDeduplicationScope(const std::string& text) {
  if (text == "zone")
    return balancer::DeduplicationScope::zone;
  if (text == "cell")
    return balancer::DeduplicationScope::cell;
  if (text == "all")
    return balancer::DeduplicationScope::all;
  throw ConfigError(ConfigErrorCode::unknownValue, "group",
                    "group: unknown value '" + text + "', expected one of: zone, cell, all");
}

// An absent list allows everything; an empty list and null allow nothing.
std::optional<std::vector<std::string>> readAllowList(const json& object, const char* name) {
  if (!object.contains(name))
    return std::nullopt;
  std::vector<std::string> names;
  readField(object, name, names);
  return names;
}

balancer::ClassSettings readClass(const json& entry) {
  if (!entry.is_object())
    throw ConfigError(
        ConfigErrorCode::wrongType, "grades",
        std::string("grades: expected a list of objects, got an entry of type ") + entry.type_name());
  balancer::ClassSettings settings;
  std::string idempotency = "fragile";
  std::string deduplicationScope = "all";
  readField(entry, "name", settings.name);
  readField(entry, "aimNs", settings.latencyObjective);
  readField(entry, "giveUpNs", settings.clientTimeout);
  readField(entry, "windowNs", settings.deduplicationWindow);
  readField(entry, "points", settings.priorityWeight);
  readField(entry, "lateShare", settings.lateValueFraction);
  readField(entry, "aimStretch", settings.objectiveStretch);
  readField(entry, "inTurn", settings.orderedPerKey);
  readField(entry, "effect", idempotency);
  readField(entry, "group", deduplicationScope);
  settings.idempotency = parseIdempotency(idempotency);
  settings.deduplicationScope = parseDeduplicationScope(deduplicationScope);
  settings.zones = readAllowList(entry, "staysIn");
  settings.machineTypes = readAllowList(entry, "boundTo");
  if (entry.contains("giveUpNs") && settings.clientTimeout <= Duration{})
    throw ConfigError(ConfigErrorCode::outOfRange, "giveUpNs", "giveUpNs: must be greater than 0");
  settings.clientTimeout = std::max(settings.clientTimeout, settings.latencyObjective);
  return settings;
}

balancer::TenantSettings readTenant(const json& entry) {
  if (!entry.is_object())
    throw ConfigError(
        ConfigErrorCode::wrongType, "tenants",
        std::string("tenants: expected a list of objects, got an entry of type ") + entry.type_name());
  balancer::TenantSettings settings;
  readField(entry, "name", settings.name);
  readField(entry, "quotaRps", settings.quotaPerSecond);
  return settings;
}

void readFleet(const json& object, balancer::Settings& settings) {
  std::string weights;
  readField(object, "groupSize", settings.replicaCount);
  readField(object, "myNumber", settings.replicaIndex);
  readField(object, "zone", settings.zone);
  readField(object, "candidates", settings.candidates);
  readField(object, "overShareWorth", settings.overQuotaWeight);
  readField(object, "weights", weights);
  readField(object, "stepNs", settings.step);
  settings.loadAdjustedWeights = weights == "live";
  readField(objectField(object, "domain"), "warmKeys", settings.keyAffinity);
}

void readAttempts(const json& ceilings, balancer::Settings& settings) {
  readField(ceilings, "parallelTries", settings.allowHedging);
  readField(ceilings, "retryAfter", settings.retryAfter);
  readField(ceilings, "cancel", settings.cancel);
  readField(ceilings, "maxAttempts", settings.maxAttempts);
  readField(ceilings, "idleCloseNs", settings.idleTimeout);
  readField(ceilings, "maxRetryAfterNs", settings.maxRetryAfter);
}

void readRules(const json& rules, balancer::Settings& settings) {
  readField(rules, "askWithinNs", settings.maxDiscoverySilence);
  readField(rules, "coldNs", settings.slowStartDuration);
  readField(rules, "coldShare", settings.slowStartInitialFraction);
  readField(rules, "fallMultiple", settings.overloadMultiple);
  readField(rules, "fallNs", settings.overloadWindow);
  readField(rules, "keyRestNs", settings.keyCooldown);
}

}  // namespace

balancer::Settings readBalancerSettings(const json& object) {
  balancer::Settings settings;
  readFleet(object, settings);
  // Over sockets the endpoint list is only available by polling discovery, even if the file was written for
  // the simulator, which may push the list to the gateways.
  settings.pollDiscovery = true;
  readAttempts(objectField(object, "ceilings"), settings);
  // Over sockets a connection carries one request at a time, whatever the simulator's setting says. With a
  // higher value the balancer would treat a busy connection as available.
  settings.streamsPerConnection = 1;
  readRules(objectField(object, "rules"), settings);
  const json* classes = listField(object, "grades");
  if (!classes)
    throw ConfigError(ConfigErrorCode::missingKey, "grades", "grades: required key is missing");
  for (const json& entry : *classes)
    settings.classes.push_back(readClass(entry));
  if (const json* tenants = listField(object, "tenants"))
    for (const json& entry : *tenants)
      settings.tenants.push_back(readTenant(entry));
  return settings;
}

}  // namespace hollyrun::gateway
