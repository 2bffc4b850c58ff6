#include "gateway/config_printer.hpp"

#include <map>
#include <nlohmann/json.hpp>
#include <optional>
#include <span>
#include <sstream>
#include <string_view>
#include <utility>

#include "gateway/config_schema.hpp"
#include "gateway/endpoint_text.hpp"
#include "gateway/number_text.hpp"

namespace hollyrun::gateway {
namespace {

using nlohmann::json;
using ValueMap = std::map<std::string_view, std::string>;  // TOML key -> value in TOML syntax

// TOML has no null, so a key with one of these values is printed as a comment.
constexpr const char* kOff = "off";
constexpr const char* kAny = "any";

constexpr double kNanosecondsPerMs = 1e6;
constexpr double kBytesPerMegabyte = 1 << 20;

std::string millisecondsText(balancer::Duration duration) {
  return numberText(static_cast<double>(duration.count()) / kNanosecondsPerMs);
}

std::string booleanText(bool value) {
  return value ? "true" : "false";
}

std::string quoted(const std::string& text) {
  return json(text).dump();
}

template <class Protocol>
std::string endpointText(const boost::asio::ip::basic_endpoint<Protocol>& endpoint) {
  return quoted(textOf(endpoint));
}

template <class Endpoint>
std::string endpointOrOff(const std::optional<Endpoint>& endpoint) {
  return endpoint ? endpointText(*endpoint) : kOff;
}

std::string listOrAny(const std::optional<std::vector<std::string>>& list) {
  return list ? json(*list).dump() : kAny;
}

std::string hexadecimalText(std::uint64_t number) {
  std::ostringstream out;
  out << std::hex << number;
  return out.str();
}

const char* levelText(LogLevel level) {
  switch (level) {
    case LogLevel::debug:
      return "debug";
    case LogLevel::info:
      return "info";
    case LogLevel::warning:
      return "warning";
    case LogLevel::error:
      return "error";
    case LogLevel::off:
      return "off";
  }
  return "info";
}

const char* idempotencyText(balancer::Idempotency idempotency) {
  switch (idempotency) {
    case balancer::Idempotency::idempotent:
      return "safe";
    case balancer::Idempotency::keyed:
      return "keyed";
    case balancer::Idempotency::none:
      return "unsafe";
  }
  return "unsafe";
}

const char* scopeText(balancer::DeduplicationScope scope) {
  switch (scope) {
    case balancer::DeduplicationScope::all:
      return "all";
    case balancer::DeduplicationScope::zone:
      return "zone";
    case balancer::DeduplicationScope::cell:
      return "cell";
  }
  return "cell";
}

void addProcessValues(const Config& config, ValueMap& values) {
  values["name"] = quoted(config.name);
  values["listen"] = endpointText(config.listen);
  values["discovery"] = endpointText(config.discovery);
  values["management"] = endpointOrOff(config.management);
  values["seed"] = quoted(hexadecimalText(config.balancer.seed));
  // The platform enforces the limit on cores, so Config does not store it.
  values["limits.cores"] = config.source->value("/limits/cores"_json_pointer, json(1.0)).dump();
  values["limits.memory_mb"] = numberText(static_cast<double>(config.memoryBytes) / kBytesPerMegabyte);
  values["limits.sockets"] = std::to_string(config.sockets);
}

void addLogValues(const LogSettings& log, ValueMap& values) {
  values["log.level"] = quoted(levelText(log.level));
  values["log.format"] = quoted(log.format == LogFormat::json ? "json" : "text");
  values["log.access"] = booleanText(log.accessLog);
  values["log.most_per_s"] = std::to_string(log.maxLinesPerSecond);
}

void addMembershipValues(const std::optional<MembershipConfig>& configured, ValueMap& values) {
  const MembershipConfig membership = configured.value_or(MembershipConfig{});
  json seeds = json::array();
  for (const udp::endpoint& seed : membership.seeds)
    seeds.push_back(textOf(seed));
  values["membership.listen"] = configured ? endpointText(membership.listen) : kOff;
  values["membership.advertise"] = endpointOrOff(membership.advertise);
  values["membership.fleet"] = quoted(membership.fleet);
  values["membership.region"] = quoted(membership.region);
  values["membership.seeds"] = seeds.dump();
  values["membership.period_ms"] = millisecondsText(membership.period);
}

void addFleetValues(const balancer::Settings& settings, ValueMap& values) {
  values["fleet.gateways"] = std::to_string(settings.replicaCount);
  values["fleet.number"] = std::to_string(settings.replicaIndex);
  values["fleet.zone"] = quoted(settings.zone);
  values["fleet.weights"] = quoted(settings.loadAdjustedWeights ? "live" : "none");
  values["fleet.warm_keys"] = booleanText(settings.keyAffinity);
  values["fleet.candidates"] = std::to_string(settings.candidates);
  values["fleet.step_ms"] = millisecondsText(settings.step);
  values["fleet.over_share_worth"] = numberText(settings.overQuotaWeight);
}

void addAttemptValues(const Config& config, ValueMap& values) {
  const balancer::Settings& settings = config.balancer;
  values["attempts.most"] = std::to_string(settings.maxAttempts);
  values["attempts.second_copies"] = booleanText(settings.allowHedging);
  values["attempts.cancel"] = booleanText(settings.cancel);
  values["attempts.connect_timeout_ms"] = millisecondsText(config.connectTimeout);
  values["attempts.idle_close_ms"] = millisecondsText(settings.idleTimeout);
  values["answers.retry_after"] = booleanText(settings.retryAfter);
  values["answers.max_retry_after_ms"] = millisecondsText(settings.maxRetryAfter);
}

void addRuleValues(const balancer::Settings& settings, ValueMap& values) {
  values["rules.ask_within_ms"] = millisecondsText(settings.maxDiscoverySilence);
  values["rules.cold_ms"] = millisecondsText(settings.slowStartDuration);
  values["rules.cold_share"] = numberText(settings.slowStartInitialFraction);
  values["rules.fall_multiple"] = numberText(settings.overloadMultiple);
  values["rules.fall_ms"] = millisecondsText(settings.overloadWindow);
  values["rules.key_rest_ms"] = millisecondsText(settings.keyCooldown);
}

ValueMap globalValues(const Config& config) {
  ValueMap values;
  addProcessValues(config, values);
  addLogValues(config.log, values);
  addMembershipValues(config.membership, values);
  addFleetValues(config.balancer, values);
  addAttemptValues(config, values);
  addRuleValues(config.balancer, values);
  return values;
}

ValueMap classValues(const balancer::ClassSettings& settings) {
  return {
      {"name", quoted(settings.name)},
      {"aim_ms", millisecondsText(settings.latencyObjective)},
      {"give_up_ms", millisecondsText(settings.clientTimeout)},
      {"window_ms", millisecondsText(settings.deduplicationWindow)},
      {"worth", numberText(settings.priorityWeight)},
      {"late_share", numberText(settings.lateValueFraction)},
      {"aim_stretch", numberText(settings.objectiveStretch)},
      {"in_turn", booleanText(settings.orderedPerKey)},
      {"effect", quoted(idempotencyText(settings.idempotency))},
      {"group", quoted(scopeText(settings.deduplicationScope))},
      {"zones", listOrAny(settings.zones)},
      {"kinds", listOrAny(settings.machineTypes)},
  };
}

ValueMap tenantValues(const balancer::TenantSettings& settings) {
  return {{"name", quoted(settings.name)}, {"quota_per_s", numberText(settings.quotaPerSecond)}};
}

/// Collects the settings in effect and determines the origin of each.
class SettingCollector {
 public:
  SettingCollector(const ParsedConfigFile& file, const Environment& environment)
      : file_(file), environment_(environment) {}

  /// Adds the settings of `keys`. `prefix` is prepended to each key; `jsonPart` is the part of the platform's
  /// JSON that contains these keys.
  void add(std::span<const SettingKey> keys, const ValueMap& values, const std::string& prefix,
           const json& jsonPart) {
    for (const SettingKey& key : keys) {
      const std::string name = prefix + std::string(key.toml);
      settings_.push_back({name, values.at(key.toml), originOf(key, name, jsonPart)});
    }
  }

  std::vector<EffectiveSetting> settings() && { return std::move(settings_); }

 private:
  std::string originOf(const SettingKey& key, const std::string& name, const json& jsonPart) const {
    const std::string variable(key.variable);
    if (!variable.empty() && environment_(variable.c_str()))
      return "variable " + variable;
    if (const auto location = file_.locations.find(name); location != file_.locations.end())
      return location->second;
    const bool isToml = !file_.locations.empty();
    std::string pointer(key.json);
    if (!isToml && jsonPart.contains(json::json_pointer(pointer)))
      return pointer;
    return "default";
  }

  const ParsedConfigFile& file_;
  const Environment& environment_;
  std::vector<EffectiveSetting> settings_;
};

std::string entryPrefix(const char* list, std::size_t index) {
  return std::string(list) + "[" + std::to_string(index) + "].";
}

// Returns "[fleet]" for the section "fleet" and "[[class]]" for "class[0]".
std::string sectionHeader(const std::string& section) {
  const std::size_t bracket = section.find('[');
  if (bracket == std::string::npos)
    return "[" + section + "]";
  return "[[" + section.substr(0, bracket) + "]]";
}

}  // namespace

std::vector<EffectiveSetting> effectiveSettings(const Config& config, const ParsedConfigFile& file,
                                                const Environment& environment) {
  static const json kEmptyJson = json::array();
  SettingCollector collector(file, environment);
  collector.add(globalKeys(), globalValues(config), "", file.json);
  const json& settings = file.json.contains("settings") ? file.json.at("settings") : kEmptyJson;
  const json& classes = settings.contains("grades") ? settings.at("grades") : kEmptyJson;
  for (std::size_t i = 0; i < config.balancer.classes.size(); ++i) {
    const json& classJson = i < classes.size() ? classes[i] : kEmptyJson;
    collector.add(classKeys(), classValues(config.balancer.classes[i]), entryPrefix("class", i), classJson);
  }
  for (std::size_t i = 0; i < config.balancer.tenants.size(); ++i)
    collector.add(tenantKeys(), tenantValues(config.balancer.tenants[i]), entryPrefix("tenant", i),
                  kEmptyJson);
  return std::move(collector).settings();
}

std::string tomlText(const std::vector<EffectiveSetting>& settings) {
  std::string out;
  std::string currentSection;
  for (const EffectiveSetting& setting : settings) {
    const std::size_t dot = setting.key.rfind('.');
    const std::string section = dot == std::string::npos ? "" : setting.key.substr(0, dot);
    if (section != currentSection) {
      out += "\n" + sectionHeader(section) + "\n";
      currentSection = section;
    }
    const std::string name = dot == std::string::npos ? setting.key : setting.key.substr(dot + 1);
    const bool hasNoTomlValue = setting.value == kOff || setting.value == kAny;
    if (hasNoTomlValue)
      out += "# " + name + " = " + setting.value + ", " + setting.origin + "\n";
    else
      out += name + " = " + setting.value + "  # " + setting.origin + "\n";
  }
  return out;
}

}  // namespace hollyrun::gateway
