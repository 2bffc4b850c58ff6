#include "gateway/config.hpp"

#include <algorithm>
#include <charconv>
#include <chrono>
#include <cstdint>
#include <nlohmann/json.hpp>
#include <sstream>
#include <string_view>

#include "gateway/balancer_config.hpp"
#include "gateway/config_fields.hpp"
#include "gateway/config_reader.hpp"
#include "gateway/config_reload.hpp"
#include "gateway/endpoint_text.hpp"
#include "membership/message.hpp"

namespace hollyrun::gateway {
namespace {

using balancer::Duration;
using nlohmann::json;

constexpr std::size_t kMinSockets = 64;
constexpr double kBytesPerMegabyte = 1 << 20;
constexpr auto kDefaultConnectTimeout = std::chrono::milliseconds(250);
constexpr auto kMinMembershipPeriod = std::chrono::milliseconds(10);

/// An object of the configuration whose fields can be overridden by environment variables.
class OverridableObject {
 public:
  OverridableObject(const json& object, const Environment& environment)
      : object_(object), environment_(environment) {}

  /// Returns an empty string if neither the variable nor the field is set.
  std::string text(const char* name, const char* variable) const {
    if (const char* value = environment_(variable))
      return value;
    std::string text;
    readField(object_, name, text);
    return text;
  }

  std::optional<tcp::endpoint> endpoint(const char* name, const char* variable) const {
    const std::string endpointText = text(name, variable);
    if (endpointText.empty())
      return std::nullopt;
    try {
      return parseEndpoint(endpointText);
    } catch (const std::invalid_argument& error) {
      throw ConfigError(ConfigErrorCode::malformedValue, variable,
                        std::string(variable) + ": " + error.what());
    }
  }

  tcp::endpoint requiredEndpoint(const char* name, const char* variable) const {
    const auto found = endpoint(name, variable);
    if (!found)
      throw ConfigError(ConfigErrorCode::missingKey, variable,
                        std::string(variable) + " is not set, and its key is missing in the configuration");
    return *found;
  }

 private:
  const json& object_;
  const Environment& environment_;
};

std::uint64_t parseSeed(const std::string& text) {
  std::uint64_t seed = 0;
  const char* const last = text.data() + text.size();
  const auto [end, error] = std::from_chars(text.data(), last, seed, 16);
  if (error != std::errc{} || end != last)
    throw ConfigError(ConfigErrorCode::malformedValue, "seed",
                      "seed: expected a hexadecimal number of up to 64 bits, got '" + text + "'");
  return seed;
}

// The platform enforces the limits on cores and memory, so they are only checked for plausibility.
void readLimits(const json& limits, Config& config) {
  readField(limits, "sockets", config.sockets);
  if (config.sockets < kMinSockets)
    throw ConfigError(ConfigErrorCode::outOfRange, "sockets",
                      "sockets: must be at least " + std::to_string(kMinSockets) + ", got " +
                          std::to_string(config.sockets));
  double cores = 1;
  double megabytes = 64;
  readField(limits, "cores", cores);
  readField(limits, "memory_mb", megabytes);
  if (cores <= 0)
    throw ConfigError(ConfigErrorCode::outOfRange, "cores", "cores: must be greater than 0");
  if (megabytes <= 0)
    throw ConfigError(ConfigErrorCode::outOfRange, "memory_mb", "memory_mb: must be greater than 0");
  config.memoryBytes = static_cast<std::size_t>(megabytes * kBytesPerMegabyte);
}

LogLevel parseLogLevel(const std::string& text) {
  if (text == "debug")
    return LogLevel::debug;
  if (text == "info")
    return LogLevel::info;
  if (text == "warning")
    return LogLevel::warning;
  if (text == "error")
    return LogLevel::error;
  if (text == "off")
    return LogLevel::off;
  throw ConfigError(
      ConfigErrorCode::unknownValue, "level",
      "log.level: unknown value '" + text + "', expected one of: debug, info, warning, error, off");
}

LogSettings readLog(const json& log) {
  LogSettings settings;
  std::string level = "info";
  std::string format = "text";
  readField(log, "level", level);
  readField(log, "format", format);
  readField(log, "access", settings.accessLog);
  readField(log, "mostPerSecond", settings.maxLinesPerSecond);
  settings.level = parseLogLevel(level);
  if (format != "text" && format != "json")
    throw ConfigError(ConfigErrorCode::unknownValue, "format",
                      "log.format: unknown value '" + format + "', expected one of: text, json");
  settings.format = format == "json" ? LogFormat::json : LogFormat::text;
  return settings;
}

// Member records only support IPv4 addresses. Another address would terminate a serving gateway when it
// reloads its configuration.
udp::endpoint requireIpv4(const tcp::endpoint& endpoint) {
  if (!endpoint.address().is_v4())
    throw ConfigError(ConfigErrorCode::malformedValue, "membership",
                      "membership: expected an IPv4 address, got '" + textOf(endpoint) + "'");
  return udp::endpoint(endpoint.address(), endpoint.port());
}

std::vector<std::string> splitAtCommas(const std::string& text) {
  std::vector<std::string> parts;
  std::istringstream stream(text);
  for (std::string part; std::getline(stream, part, ',');)
    if (!part.empty())
      parts.push_back(part);
  return parts;
}

std::vector<udp::endpoint> readSeedMembers(const json& membership, const Environment& environment) {
  std::vector<std::string> texts;
  readField(membership, "seeds", texts);
  if (const char* variable = environment("GW_SEEDS"))
    texts = splitAtCommas(variable);
  std::vector<udp::endpoint> seeds;
  for (const std::string& text : texts) {
    try {
      seeds.push_back(requireIpv4(parseEndpoint(text)));
    } catch (const std::invalid_argument& error) {
      throw ConfigError(ConfigErrorCode::malformedValue, "seeds",
                        std::string("membership seeds: ") + error.what());
    }
  }
  return seeds;
}

std::optional<MembershipConfig> readMembership(const json& membership, const Environment& environment) {
  const OverridableObject addresses(membership, environment);
  const auto listen = addresses.endpoint("listen", "GW_MEMBERSHIP");
  if (!listen)
    return std::nullopt;
  MembershipConfig config;
  config.listen = requireIpv4(*listen);
  if (const auto advertise = addresses.endpoint("advertise", "GW_MEMBERSHIP_ADVERTISE"))
    config.advertise = requireIpv4(*advertise);
  readField(membership, "fleet", config.fleet);
  readField(membership, "region", config.region);
  readField(membership, "periodNs", config.period);
  if (config.period < kMinMembershipPeriod)
    throw ConfigError(ConfigErrorCode::outOfRange, "periodNs", "periodNs: must be at least 10 ms");
  config.seeds = readSeedMembers(membership, environment);
  return config;
}

// Strings that gateways exchange are short and printable, because one datagram carries many of them.
void requireMembershipText(const char* name, const std::string& text, std::size_t minLength) {
  const bool hasControlCharacters =
      std::any_of(text.begin(), text.end(), [](unsigned char c) { return c < 0x20 || c == 0x7f; });
  if (text.size() >= minLength && text.size() <= membership::kMaxTextBytes && !hasControlCharacters)
    return;
  throw ConfigError(ConfigErrorCode::outOfRange, name,
                    std::string(name) + ": must be a string of " + std::to_string(minLength) + " to " +
                        std::to_string(membership::kMaxTextBytes) +
                        " bytes without control characters if membership is enabled");
}

void checkMembershipTexts(const Config& config) {
  if (!config.membership)
    return;
  requireMembershipText("name", config.name, 1);
  requireMembershipText("zone", config.balancer.zone, 0);
  requireMembershipText("region", config.membership->region, 0);
  requireMembershipText("fleet", config.membership->fleet, 1);
}

void readAddresses(const json& root, const Environment& environment, Config& config) {
  const OverridableObject addresses(root, environment);
  config.name = addresses.text("name", "GW_NAME");
  config.listen = addresses.requiredEndpoint("listen", "GW_LISTEN");
  config.discovery = addresses.requiredEndpoint("discovery", "GW_DISCOVERY");
  config.management = addresses.endpoint("management", "GW_MANAGEMENT");
  const char* directory = environment("TMPDIR");
  if (directory && *directory)
    config.temporaryDirectory = directory;
}

void readSeed(const json& root, Config& config) {
  std::string seed;
  readField(root, "seed", seed);
  if (!seed.empty())
    config.balancer.seed = parseSeed(seed);
}

Duration readConnectTimeout(const json& ceilings) {
  Duration timeout = kDefaultConnectTimeout;
  readField(ceilings, "connectTimeoutNs", timeout);
  if (timeout <= Duration{})
    throw ConfigError(ConfigErrorCode::outOfRange, "connectTimeoutNs",
                      "connectTimeoutNs: must be greater than 0");
  return timeout;
}

std::optional<EndpointList> readCachedEndpoints(const json& root) {
  const json* known = findField(root, "known");
  if (!known)
    return std::nullopt;
  try {
    return parseEndpointList(*known);
  } catch (const std::invalid_argument& error) {
    throw ConfigError(ConfigErrorCode::malformedValue, "known", std::string("known: ") + error.what());
  }
}

// Constructs a temporary Balancer, because its constructor validates the settings.
void checkBalancerSettings(const balancer::Settings& settings) {
  try {
    balancer::Balancer probe(settings, Duration{});
  } catch (const std::invalid_argument& error) {
    throw ConfigError(ConfigErrorCode::rejected, "settings", error.what());
  }
}

void requireNoErrors(const ParsedConfigFile& file) {
  if (file.errors.empty())
    return;
  std::string message;
  for (const Diagnostic& error : file.errors)
    message += (message.empty() ? "" : "; ") + error.text();
  const Diagnostic& first = file.errors.front();
  throw ConfigError(first.code, first.key, message, first.location);
}

Config parseFile(const ParsedConfigFile& file, const std::string& path, const Environment& environment,
                 const Config* running) {
  requireNoErrors(file);
  try {
    return parseConfig(file.json, environment, running);
  } catch (const ConfigError& error) {
    throw ConfigError(error.code(), error.key(), error.what(), path);
  }
}

}  // namespace

Config parseConfig(const json& root, const Environment& environment, const Config* running) {
  if (!root.is_object())
    throw ConfigError(ConfigErrorCode::wrongType, "",
                      std::string("configuration: expected a JSON object, got ") + root.type_name());
  if (running)
    requireRunningKeys(*running->source, root);
  Config config;
  config.source = std::make_shared<const json>(root);
  readAddresses(root, environment, config);
  const json& settings = objectField(root, "settings");
  config.balancer = readBalancerSettings(settings);
  config.log = readLog(objectField(root, "log"));
  config.membership = readMembership(objectField(root, "membership"), environment);
  checkMembershipTexts(config);
  readSeed(root, config);
  readLimits(objectField(root, "limits"), config);
  config.connectTimeout = readConnectTimeout(objectField(settings, "ceilings"));
  config.cachedEndpoints = readCachedEndpoints(root);
  checkBalancerSettings(config.balancer);
  return config;
}

Config readConfig(const Environment& environment, const Config* running) {
  const char* path = environment("GW_CONFIG");
  if (!path)
    throw ConfigError(ConfigErrorCode::missingKey, "GW_CONFIG", "GW_CONFIG is not set");
  const ParsedConfigFile file = readConfigFile(path);
  // GW_DISCOVERY has the address of discovery at the start; a reloaded file may have a new one.
  const bool fileNamesDiscovery = running && file.json.contains("discovery");
  const Environment overrides = [&](const char* name) -> const char* {
    if (fileNamesDiscovery && std::string_view(name) == "GW_DISCOVERY")
      return nullptr;
    return environment(name);
  };
  Config config = parseFile(file, path, overrides, running);
  for (const Diagnostic& warning : file.warnings)
    config.warnings.push_back(warning.text());
  return config;
}

}  // namespace hollyrun::gateway
