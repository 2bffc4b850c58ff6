#include "gateway/config.hpp"

#include <algorithm>
#include <charconv>
#include <limits>
#include <nlohmann/json.hpp>
#include <sstream>
#include <type_traits>

#include "gateway/json_number.hpp"
#include "gateway/keys.hpp"
#include "membership/message.hpp"

namespace hollyrun::gateway {
namespace {

using balancer::Duration;
using nlohmann::json;

// What no setting reaches; far below where sums of the clock or of worths would overflow.
constexpr std::int64_t kLongestNs = std::int64_t{366} * 24 * 3600 * 1000000000;
constexpr std::int64_t kMostDescriptors = std::int64_t{1} << 30;
constexpr double kMostNumber = 1e9;

// Leaves the default where the value is absent or null.
template <class T>
void read(const json& object, const char* name, T& into) {
  const auto it = object.find(name);
  if (it == object.end() || it->is_null())
    return;
  try {
    if constexpr (std::is_same_v<T, Duration>)
      into = Duration(wholeNumber(*it, kLongestNs));
    else if constexpr (std::is_same_v<T, std::uint32_t>)
      into = static_cast<std::uint32_t>(wholeNumber(*it, std::numeric_limits<std::uint32_t>::max()));
    else if constexpr (std::is_same_v<T, std::size_t>)
      into = static_cast<std::size_t>(wholeNumber(*it, kMostDescriptors));
    else if constexpr (std::is_same_v<T, double>)
      into = realNumber(*it, kMostNumber);
    else
      into = it->get<T>();
  } catch (const std::exception& bad) {
    throw BadConfig(std::string(name) + ": " + bad.what());
  }
}

const json& part(const json& object, const char* name) {
  static const json none = json::object();
  const auto it = object.find(name);
  if (it == object.end() || it->is_null())
    return none;
  if (!it->is_object())
    throw BadConfig(std::string(name) + " is no object");
  return *it;
}

// Null where the list is absent.
const json* list(const json& object, const char* name) {
  const auto it = object.find(name);
  if (it == object.end() || it->is_null())
    return nullptr;
  if (!it->is_array())
    throw BadConfig(std::string(name) + " is no list");
  return &*it;
}

balancer::ClassSettings readClass(const json& grade) {
  if (!grade.is_object())
    throw BadConfig("grades: an entry is no object");
  balancer::ClassSettings c;
  std::string idempotency = "fragile", deduplicationScope = "all";
  read(grade, "name", c.name);
  read(grade, "aimNs", c.latencyObjective);
  read(grade, "giveUpNs", c.clientTimeout);
  read(grade, "windowNs", c.deduplicationWindow);
  read(grade, "points", c.priorityWeight);
  read(grade, "lateShare", c.lateValueFraction);
  read(grade, "aimStretch", c.objectiveStretch);
  read(grade, "inTurn", c.orderedPerKey);
  read(grade, "effect", idempotency);
  read(grade, "group", deduplicationScope);
  if (idempotency == "retryable")
    c.idempotency = balancer::Idempotency::idempotent;
  else if (idempotency == "dedup")
    c.idempotency = balancer::Idempotency::keyed;
  else if (idempotency != "fragile")
    throw BadConfig("effect: unknown '" + idempotency + "'");
  if (deduplicationScope == "zone")
    c.deduplicationScope = balancer::DeduplicationScope::zone;
  else if (deduplicationScope == "cell")
    c.deduplicationScope = balancer::DeduplicationScope::cell;
  else if (deduplicationScope != "all")
    throw BadConfig("group: unknown '" + deduplicationScope + "'");
  std::vector<std::string> names;
  if (grade.contains("staysIn"))
    read(grade, "staysIn", names), c.zones = names;
  names.clear();
  if (grade.contains("boundTo"))
    read(grade, "boundTo", names), c.machineTypes = names;
  if (grade.contains("giveUpNs") && c.clientTimeout <= Duration{})
    throw BadConfig("giveUpNs: must be above 0");
  c.clientTimeout = std::max(c.clientTimeout, c.latencyObjective);
  return c;
}

balancer::Settings readSettings(const json& settings) {
  balancer::Settings s;
  std::string weights;
  read(settings, "groupSize", s.replicaCount);
  read(settings, "myNumber", s.replicaIndex);
  read(settings, "zone", s.zone);
  read(settings, "candidates", s.candidates);
  read(settings, "overShareWorth", s.overQuotaWeight);
  read(settings, "weights", weights);
  read(settings, "stepNs", s.step);
  // On sockets the list comes by a watch only, also where the simulator pushes it to the instances.
  s.pollDiscovery = true;
  s.loadAdjustedWeights = weights == "live";
  read(part(settings, "domain"), "warmKeys", s.keyAffinity);
  const json& ceilings = part(settings, "ceilings");
  read(ceilings, "parallelTries", s.allowHedging);
  read(ceilings, "retryAfter", s.retryAfter);
  read(ceilings, "cancel", s.cancel);
  read(ceilings, "maxAttempts", s.maxAttempts);
  read(ceilings, "idleCloseNs", s.idleTimeout);
  read(ceilings, "maxRetryAfterNs", s.maxRetryAfter);
  // A connection carries one request at a time on sockets, whatever the simulator's setting says: with more
  // the module would take a busy connection for a free one.
  s.streamsPerConnection = 1;
  const json& rules = part(settings, "rules");
  read(rules, "askWithinNs", s.maxDiscoverySilence);
  read(rules, "coldNs", s.slowStartDuration);
  read(rules, "coldShare", s.slowStartInitialFraction);
  read(rules, "fallMultiple", s.overloadMultiple);
  read(rules, "fallNs", s.overloadWindow);
  read(rules, "keyRestNs", s.keyCooldown);
  const json* grades = list(settings, "grades");
  if (!grades)
    throw BadConfig("grades: missing");
  for (const json& grade : *grades)
    s.classes.push_back(readClass(grade));
  if (const json* tenants = list(settings, "tenants"))
    for (const json& tenant : *tenants) {
      if (!tenant.is_object())
        throw BadConfig("tenants: an entry is no object");
      balancer::TenantSettings t;
      read(tenant, "name", t.name);
      read(tenant, "quotaRps", t.quotaPerSecond);
      s.tenants.push_back(t);
    }
  return s;
}

std::uint64_t readSeed(const std::string& text) {
  std::uint64_t seed = 0;
  const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), seed, 16);
  if (error != std::errc{} || end != text.data() + text.size())
    throw BadConfig("seed: '" + text + "' is no hexadecimal number");
  return seed;
}

// The platform sets the limits on cores and memory; here they only have to make sense.
void readLimits(const json& limits, Config& config) {
  read(limits, "sockets", config.sockets);
  if (config.sockets < 64)
    throw BadConfig("sockets: at least 64 are needed");
  double cores = 1, megabytes = 64;
  read(limits, "cores", cores);
  read(limits, "memory_mb", megabytes);
  if (cores <= 0)
    throw BadConfig("cores: must be above 0");
  if (megabytes <= 0)
    throw BadConfig("memory_mb: must be above 0");
  config.memoryBytes = static_cast<std::size_t>(megabytes * (1 << 20));
}

LogSettings readLog(const json& log) {
  LogSettings s;
  std::string level = "info", format = "text";
  read(log, "level", level);
  read(log, "format", format);
  read(log, "access", s.access);
  read(log, "mostPerSecond", s.mostPerSecond);
  if (level == "debug")
    s.level = LogLevel::debug;
  else if (level == "warning")
    s.level = LogLevel::warning;
  else if (level == "error")
    s.level = LogLevel::error;
  else if (level == "off")
    s.level = LogLevel::off;
  else if (level != "info")
    throw BadConfig("log: unknown level '" + level + "'");
  if (format != "text" && format != "json")
    throw BadConfig("log: unknown format '" + format + "'");
  s.json = format == "json";
  return s;
}

// The variable goes before the file's entry.
std::string told(const json& config, const char* name, const char* variable, const Environment& environment) {
  std::string text;
  if (const char* value = environment(variable))
    text = value;
  else
    read(config, name, text);
  return text;
}

std::optional<tcp::endpoint> endpointIfTold(const json& config, const char* name, const char* variable,
                                            const Environment& environment) {
  const std::string text = told(config, name, variable, environment);
  if (text.empty())
    return std::nullopt;
  try {
    return parseEndpoint(text);
  } catch (const std::invalid_argument& bad) {
    throw BadConfig(std::string(variable) + ": " + bad.what());
  }
}

tcp::endpoint toldEndpoint(const json& config, const char* name, const char* variable,
                           const Environment& environment) {
  const auto endpoint = endpointIfTold(config, name, variable, environment);
  if (!endpoint)
    throw BadConfig(std::string(variable) + " is not set");
  return *endpoint;
}

std::optional<MembershipConfig> readMembership(const json& config, const Environment& environment) {
  const json& part = gateway::part(config, "membership");
  // Danger: a record holds an IPv4 address; another kind would end a gateway that serves, at SIGHUP.
  const auto endpoint = [](const tcp::endpoint& e) {
    if (!e.address().is_v4())
      throw BadConfig("membership: only IPv4 addresses");
    return udp::endpoint(e.address(), e.port());
  };
  const auto listen = endpointIfTold(part, "listen", "GW_MEMBERSHIP", environment);
  if (!listen)
    return std::nullopt;
  MembershipConfig m;
  m.listen = endpoint(*listen);
  if (const auto advertise = endpointIfTold(part, "advertise", "GW_MEMBERSHIP_ADVERTISE", environment))
    m.advertise = endpoint(*advertise);
  read(part, "fleet", m.fleet);
  read(part, "region", m.region);
  read(part, "periodNs", m.period);
  if (m.period < std::chrono::milliseconds(10))
    throw BadConfig("periodNs: must be at least 10 ms");
  std::vector<std::string> seeds;
  read(part, "seeds", seeds);
  if (const char* told = environment("GW_SEEDS")) {
    seeds.clear();
    std::istringstream all(told);
    for (std::string one; std::getline(all, one, ',');)
      if (!one.empty())
        seeds.push_back(one);
  }
  for (const std::string& seed : seeds)
    try {
      m.seeds.push_back(endpoint(parseEndpoint(seed)));
    } catch (const std::invalid_argument& bad) {
      throw BadConfig(std::string("membership seeds: ") + bad.what());
    }
  return m;
}

// Texts that travel between gateways are short and can be shown.
void needShort(const char* what, const std::string& text, bool needed) {
  const bool plain =
      std::none_of(text.begin(), text.end(), [](unsigned char c) { return c < 0x20 || c == 0x7f; });
  if (text.size() > membership::kMostText || !plain || (needed && text.empty()))
    throw BadConfig(std::string(what) + ": for membership it has to be a text of " + (needed ? "1" : "0") +
                    " to " + std::to_string(membership::kMostText) + " bytes with no control characters");
}

// What a file may leave out though the running one had it: WIRE says so, or it counts at a start only.
bool optional(const std::string& key) {
  for (const char* name : {"aimStretch", "staysIn", "boundTo", "passesDeadline", "warmKeys", "known", "seed",
                           "name", "management", "log", "membership"})
    if (key == name)
      return true;
  return false;
}

// The keys that all classes have.
json commonKeys(const json& grades) {
  if (grades.empty())
    return json::object();
  json common = grades.front();
  for (const json& grade : grades)
    for (const auto& [key, value] : grades.front().items())
      if (!grade.contains(key))
        common.erase(key);
  return common;
}

// Every needed key of `running` must be there, and no null, in objects within it too. Danger: what is missing
// would quietly fall back to a default, on a gateway that serves.
void needKeys(const json& running, const json& given) {
  if (!given.is_object())
    throw BadConfig("an entry is no object");
  for (const auto& [key, value] : running.items()) {
    if (optional(key) || value.is_null())
      continue;
    const auto it = given.find(key);
    if (it == given.end() || it->is_null())
      throw BadConfig(key + ": missing");
    if (value.is_object())
      needKeys(value, *it);
    if (key != "grades")
      continue;
    if (!it->is_array() || it->empty())
      throw BadConfig("grades: no class");
    const json needed = commonKeys(value);
    for (const json& grade : *it)
      needKeys(needed, grade);
  }
}

}  // namespace

Config parseConfig(const json& json, const Environment& environment, const Config* running) {
  if (!json.is_object())
    throw BadConfig("the configuration is no object");
  if (running)
    needKeys(*running->source, json);
  Config config;
  config.source = std::make_shared<const nlohmann::json>(json);
  config.name = told(json, "name", "GW_NAME", environment);
  config.listen = toldEndpoint(json, "listen", "GW_LISTEN", environment);
  config.discovery = toldEndpoint(json, "discovery", "GW_DISCOVERY", environment);
  config.management = endpointIfTold(json, "management", "GW_MANAGEMENT", environment);
  if (const char* tmp = environment("TMPDIR"); tmp && *tmp)
    config.tmp = tmp;
  config.module = readSettings(part(json, "settings"));
  config.log = readLog(part(json, "log"));
  config.membership = readMembership(json, environment);
  if (config.membership) {
    needShort("name", config.name, true);
    needShort("zone", config.module.zone, false);
    needShort("region", config.membership->region, false);
    needShort("fleet", config.membership->fleet, true);
  }
  std::string seed;
  read(json, "seed", seed);
  if (!seed.empty())
    config.module.seed = readSeed(seed);
  readLimits(part(json, "limits"), config);
  config.connectTimeout = std::chrono::milliseconds(250);
  read(part(part(json, "settings"), "ceilings"), "connectTimeoutNs", config.connectTimeout);
  if (config.connectTimeout <= Duration{})
    throw BadConfig("connectTimeoutNs: must be above 0");
  if (json.contains("known") && !json.at("known").is_null())
    try {
      config.known = parseEndpointList(json.at("known"));
    } catch (const std::invalid_argument& bad) {
      throw BadConfig(std::string("known: ") + bad.what());
    }
  try {  // the module judges its own settings
    balancer::Balancer probe(config.module, Duration{});
  } catch (const std::invalid_argument& bad) {
    throw BadConfig(bad.what());
  }
  return config;
}

Config readConfig(const Environment& environment, const Config* running) {
  const char* path = environment("GW_CONFIG");
  if (!path)
    throw BadConfig("GW_CONFIG is not set");
  const ReadFile read = readFile(path);
  std::string faults;
  for (const Remark& fault : read.faults)
    faults += (faults.empty() ? "" : "; ") + fault.text();
  if (!faults.empty())
    throw BadConfig(faults);
  // Once running, the file goes before the variable: that still names where discovery was at the start.
  const bool moves = running && read.json.contains("discovery");
  Config config = parseConfig(
      read.json,
      [&](const char* name) {
        return moves && std::string_view(name) == "GW_DISCOVERY" ? nullptr : environment(name);
      },
      running);
  for (const Remark& warning : read.warnings)
    config.warnings.push_back(warning.text());
  return config;
}

}  // namespace hollyrun::gateway
