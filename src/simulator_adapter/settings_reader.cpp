#include "simulator_adapter/settings_reader.hpp"

#include <algorithm>
#include <iterator>
#include <string>
#include <vector>

#include "simulator_adapter/line_parser.hpp"

namespace hollyrun::simulator_adapter {

using balancer::ClassSettings;
using balancer::DeduplicationScope;
using balancer::Idempotency;
using balancer::Settings;
using balancer::TenantSettings;

namespace {

/// Keys with a larger index are ignored, so that one key cannot make a list arbitrarily large.
constexpr std::size_t kMaxListIndex = 1000;

/// A key of the protocol and the function that stores its value in `Target`.
template <class Target>
struct Entry {
  std::string_view key;
  void (*store)(Target&, const Field&);
};

template <auto member, auto parse, class Target>
void storeAs(Target& target, const Field& field) {
  target.*member = parse(field);
}

std::string parseText(const Field& field) {
  return std::string(field.value);
}

std::uint64_t parseSeed(const Field& field) {
  return static_cast<std::uint64_t>(parseNumber<std::int64_t>(field));
}

bool isLive(const Field& field) {
  return field.value == "live";
}

bool isAsk(const Field& field) {
  return field.value == "ask";
}

/// Parses names separated by commas; an empty value yields an empty list.
std::vector<std::string> parseNames(const Field& field) {
  std::vector<std::string> names;
  std::string_view rest = field.value;
  while (!rest.empty()) {
    const std::size_t end = std::min(rest.find(','), rest.size());
    if (end > 0)
      names.emplace_back(rest.substr(0, end));
    rest.remove_prefix(std::min(end + 1, rest.size()));
  }
  return names;
}

Idempotency parseIdempotency(const Field& field) {
  if (field.value == "retryable")
    return Idempotency::idempotent;
  if (field.value == "dedup")
    return Idempotency::keyed;
  return Idempotency::none;
}

DeduplicationScope parseDeduplicationScope(const Field& field) {
  if (field.value == "all")
    return DeduplicationScope::all;
  if (field.value == "zone")
    return DeduplicationScope::zone;
  return DeduplicationScope::cell;
}

constexpr Entry<Settings> kSettings[] = {
    {"rngSeed", storeAs<&Settings::seed, parseSeed>},
    {"groupSize", storeAs<&Settings::replicaCount, parseNumber<std::uint32_t>>},
    {"myNumber", storeAs<&Settings::replicaIndex, parseNumber<std::uint32_t>>},
    {"zone", storeAs<&Settings::zone, parseText>},
    {"weights", storeAs<&Settings::loadAdjustedWeights, isLive>},
    {"registryMode", storeAs<&Settings::pollDiscovery, isAsk>},
    {"overShareWorth", storeAs<&Settings::overQuotaWeight, parseNumber<double>>},
    {"stepNs", storeAs<&Settings::step, parseDuration>},
    {"domain.warmKeys", storeAs<&Settings::keyAffinity, parseBool>},
    {"ceilings.parallelTries", storeAs<&Settings::allowHedging, parseBool>},
    {"ceilings.retryAfter", storeAs<&Settings::retryAfter, parseBool>},
    {"ceilings.cancel", storeAs<&Settings::cancel, parseBool>},
    {"ceilings.maxAttempts", storeAs<&Settings::maxAttempts, parseNumber<std::uint32_t>>},
    {"ceilings.streamsPerConn", storeAs<&Settings::streamsPerConnection, parseNumber<std::uint32_t>>},
    {"ceilings.idleCloseNs", storeAs<&Settings::idleTimeout, parseDuration>},
    {"ceilings.maxRetryAfterNs", storeAs<&Settings::maxRetryAfter, parseDuration>},
    {"rules.askWithinNs", storeAs<&Settings::maxDiscoverySilence, parseDuration>},
    {"rules.coldNs", storeAs<&Settings::slowStartDuration, parseDuration>},
    {"rules.coldShare", storeAs<&Settings::slowStartInitialFraction, parseNumber<double>>},
    {"rules.fallMultiple", storeAs<&Settings::overloadMultiple, parseNumber<double>>},
    {"rules.fallNs", storeAs<&Settings::overloadWindow, parseDuration>},
    {"rules.keyRestNs", storeAs<&Settings::keyCooldown, parseDuration>},
};

constexpr Entry<ClassSettings> kClassSettings[] = {
    {"name", storeAs<&ClassSettings::name, parseText>},
    {"aimNs", storeAs<&ClassSettings::latencyObjective, parseDuration>},
    {"giveUpNs", storeAs<&ClassSettings::clientTimeout, parseDuration>},
    {"windowNs", storeAs<&ClassSettings::deduplicationWindow, parseDuration>},
    {"points", storeAs<&ClassSettings::priorityWeight, parseNumber<double>>},
    {"lateShare", storeAs<&ClassSettings::lateValueFraction, parseNumber<double>>},
    {"aimStretch", storeAs<&ClassSettings::objectiveStretch, parseNumber<double>>},
    {"inTurn", storeAs<&ClassSettings::orderedPerKey, parseBool>},
    {"staysIn", storeAs<&ClassSettings::zones, parseNames>},
    {"boundTo", storeAs<&ClassSettings::machineTypes, parseNames>},
    {"effect", storeAs<&ClassSettings::idempotency, parseIdempotency>},
    {"group", storeAs<&ClassSettings::deduplicationScope, parseDeduplicationScope>},
};

constexpr Entry<TenantSettings> kTenantSettings[] = {
    {"name", storeAs<&TenantSettings::name, parseText>},
    {"quotaRps", storeAs<&TenantSettings::quotaPerSecond, parseNumber<double>>},
};

/// Stores the field if the table contains `key`; returns whether it does.
template <class Target, std::size_t size>
bool store(const Entry<Target> (&table)[size], std::string_view key, Target& target, const Field& field) {
  const auto entry = std::find_if(std::begin(table), std::end(table),
                                  [key](const Entry<Target>& candidate) { return candidate.key == key; });
  if (entry == std::end(table))
    return false;
  entry->store(target, field);
  return true;
}

struct ListKey {
  std::size_t index = 0;
  std::string_view key;
};

/// Splits a path of the form `<list>.<index>.<key>`; returns nothing for any other form.
std::optional<ListKey> parseListKey(std::string_view path, std::string_view list) {
  if (!path.starts_with(list) || path.size() <= list.size() || path[list.size()] != '.')
    return std::nullopt;
  path.remove_prefix(list.size() + 1);
  const std::size_t dot = path.find('.');
  ListKey parsed;
  if (dot == std::string_view::npos || !parseWhole(path.substr(0, dot), parsed.index) ||
      parsed.index > kMaxListIndex)
    return std::nullopt;
  parsed.key = path.substr(dot + 1);
  return parsed;
}

/// Stores a field of one element of `list`, which is extended to hold the element's index.
template <class Target, std::size_t size>
void storeInList(const Entry<Target> (&table)[size], std::string_view listName, std::vector<Target>& list,
                 const Field& field) {
  const std::optional<ListKey> listKey = parseListKey(field.key, listName);
  if (!listKey)
    return;
  if (list.size() <= listKey->index)
    list.resize(listKey->index + 1);
  store(table, listKey->key, list[listKey->index], field);
}

}  // namespace

Settings readSettings(std::string_view fields) {
  Settings settings;
  FieldReader reader(fields);
  while (const std::optional<Field> field = reader.next()) {
    if (store(kSettings, field->key, settings, *field))
      continue;
    storeInList(kClassSettings, "grades", settings.classes, *field);
    storeInList(kTenantSettings, "tenants", settings.tenants, *field);
  }
  for (ClassSettings& classSettings : settings.classes)
    classSettings.clientTimeout = std::max(classSettings.clientTimeout, classSettings.latencyObjective);
  return settings;
}

}  // namespace hollyrun::simulator_adapter
