#include "gateway/config_schema.hpp"

#include <array>

namespace hollyrun::gateway {
namespace {

constexpr double kNanosecondsPerMs = 1e6;
constexpr double kYearMs = 366.0 * 24 * 3600 * 1000;
constexpr double kMaxNumber = 1e9;
constexpr double kMaxUint32 = 4294967295.0;
constexpr double kMaxSockets = 1 << 30;

constexpr SettingKey stringKey(std::string_view toml, std::string_view json, std::string_view variable = {}) {
  return {.toml = toml, .json = json, .type = ValueType::string, .variable = variable};
}

constexpr SettingKey endpointKey(std::string_view toml, std::string_view json, std::string_view variable) {
  return {.toml = toml, .json = json, .type = ValueType::endpoint, .variable = variable};
}

constexpr SettingKey stringListKey(std::string_view toml, std::string_view json,
                                   std::string_view variable = {}) {
  return {.toml = toml, .json = json, .type = ValueType::stringList, .variable = variable};
}

constexpr SettingKey booleanKey(std::string_view toml, std::string_view json) {
  return {.toml = toml, .json = json, .type = ValueType::boolean};
}

constexpr SettingKey enumerationKey(std::string_view toml, std::string_view json,
                                    std::span<const AllowedValue> allowedValues) {
  return {.toml = toml, .json = json, .type = ValueType::enumeration, .allowedValues = allowedValues};
}

constexpr SettingKey integerKey(std::string_view toml, std::string_view json, double minimum,
                                double maximum) {
  return {.toml = toml, .json = json, .type = ValueType::integer, .minimum = minimum, .maximum = maximum};
}

constexpr SettingKey numberKey(std::string_view toml, std::string_view json, double minimum, double maximum) {
  return {.toml = toml, .json = json, .type = ValueType::number, .minimum = minimum, .maximum = maximum};
}

// A duration: milliseconds in TOML, whole nanoseconds in JSON.
constexpr SettingKey durationKey(std::string_view toml, std::string_view json, double minimumMs,
                                 double maximumMs = kYearMs) {
  return {.toml = toml,
          .json = json,
          .type = ValueType::integer,
          .minimum = minimumMs,
          .maximum = maximumMs,
          .jsonScale = kNanosecondsPerMs};
}

constexpr auto kLogLevels = std::to_array<AllowedValue>(
    {{"debug", "debug"}, {"info", "info"}, {"warning", "warning"}, {"error", "error"}, {"off", "off"}});
constexpr auto kLogFormats = std::to_array<AllowedValue>({{"text", "text"}, {"json", "json"}});
constexpr auto kWeightModes = std::to_array<AllowedValue>(
    {{"none", "none"}, {"live", "live"}, {"nominal", "nominal"}, {"rough", "rough"}});
constexpr auto kIdempotencies =
    std::to_array<AllowedValue>({{"safe", "retryable"}, {"keyed", "dedup"}, {"unsafe", "fragile"}});
constexpr auto kDeduplicationScopes =
    std::to_array<AllowedValue>({{"all", "all"}, {"zone", "zone"}, {"cell", "cell"}});

constexpr auto kGlobalKeys = std::to_array<SettingKey>({
    stringKey("name", "/name", "GW_NAME"),
    endpointKey("listen", "/listen", "GW_LISTEN"),
    endpointKey("discovery", "/discovery", "GW_DISCOVERY"),
    endpointKey("management", "/management", "GW_MANAGEMENT"),
    stringKey("seed", "/seed"),

    numberKey("limits.cores", "/limits/cores", 0.01, kMaxNumber),
    numberKey("limits.memory_mb", "/limits/memory_mb", 1, kMaxNumber),
    integerKey("limits.sockets", "/limits/sockets", 64, kMaxSockets),

    enumerationKey("log.level", "/log/level", kLogLevels),
    enumerationKey("log.format", "/log/format", kLogFormats),
    booleanKey("log.access", "/log/access"),
    integerKey("log.most_per_s", "/log/mostPerSecond", 0, 1000000),

    endpointKey("membership.listen", "/membership/listen", "GW_MEMBERSHIP"),
    endpointKey("membership.advertise", "/membership/advertise", "GW_MEMBERSHIP_ADVERTISE"),
    stringKey("membership.fleet", "/membership/fleet"),
    stringKey("membership.region", "/membership/region"),
    stringListKey("membership.seeds", "/membership/seeds", "GW_SEEDS"),
    durationKey("membership.period_ms", "/membership/periodNs", 10, 60000),

    integerKey("fleet.gateways", "/settings/groupSize", 1, kMaxUint32),
    integerKey("fleet.number", "/settings/myNumber", 0, kMaxUint32),
    stringKey("fleet.zone", "/settings/zone"),
    enumerationKey("fleet.weights", "/settings/weights", kWeightModes),
    booleanKey("fleet.warm_keys", "/settings/domain/warmKeys"),
    integerKey("fleet.candidates", "/settings/candidates", 0, kMaxUint32),
    durationKey("fleet.step_ms", "/settings/stepNs", 0),
    numberKey("fleet.over_share_worth", "/settings/overShareWorth", 0, 1),

    integerKey("attempts.most", "/settings/ceilings/maxAttempts", 1, kMaxUint32),
    booleanKey("attempts.second_copies", "/settings/ceilings/parallelTries"),
    booleanKey("attempts.cancel", "/settings/ceilings/cancel"),
    durationKey("attempts.connect_timeout_ms", "/settings/ceilings/connectTimeoutNs", 1),
    durationKey("attempts.idle_close_ms", "/settings/ceilings/idleCloseNs", 0),

    booleanKey("answers.retry_after", "/settings/ceilings/retryAfter"),
    durationKey("answers.max_retry_after_ms", "/settings/ceilings/maxRetryAfterNs", 0),

    durationKey("rules.ask_within_ms", "/settings/rules/askWithinNs", 0),
    durationKey("rules.cold_ms", "/settings/rules/coldNs", 0),
    numberKey("rules.cold_share", "/settings/rules/coldShare", 0.001, 1),
    numberKey("rules.fall_multiple", "/settings/rules/fallMultiple", 0.001, kMaxNumber),
    durationKey("rules.fall_ms", "/settings/rules/fallNs", 0),
    durationKey("rules.key_rest_ms", "/settings/rules/keyRestNs", 0),
});

constexpr auto kClassKeys = std::to_array<SettingKey>({
    stringKey("name", "/name"),
    durationKey("aim_ms", "/aimNs", 0.001),
    durationKey("give_up_ms", "/giveUpNs", 0.001),
    durationKey("window_ms", "/windowNs", 0),
    numberKey("worth", "/points", 0, kMaxNumber),
    numberKey("late_share", "/lateShare", 0, 1),
    numberKey("aim_stretch", "/aimStretch", 0, kMaxNumber),
    booleanKey("in_turn", "/inTurn"),
    enumerationKey("effect", "/effect", kIdempotencies),
    enumerationKey("group", "/group", kDeduplicationScopes),
    stringListKey("zones", "/staysIn"),
    stringListKey("kinds", "/boundTo"),
});

constexpr auto kTenantKeys = std::to_array<SettingKey>({
    stringKey("name", "/name"),
    numberKey("quota_per_s", "/quotaRps", 0, kMaxNumber),
});

}  // namespace

std::span<const SettingKey> globalKeys() {
  return kGlobalKeys;
}

std::span<const SettingKey> classKeys() {
  return kClassKeys;
}

std::span<const SettingKey> tenantKeys() {
  return kTenantKeys;
}

}  // namespace hollyrun::gateway
