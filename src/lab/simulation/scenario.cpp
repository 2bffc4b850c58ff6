#include "lab/simulation/scenario.hpp"

#define TOML_EXCEPTIONS 1
#include <toml++/toml.h>

#include <algorithm>
#include <cmath>
#include <filesystem>
#include <limits>
#include <set>

namespace hollyrun::lab {
namespace {

using balancer::DeduplicationScope;
using balancer::Idempotency;
constexpr double kUnbounded = std::numeric_limits<double>::max();
constexpr int kMaxExtendsDepth = 8;

std::string locationOf(const toml::node* node) {
  if (!node || !node->source().path)
    return "command line";
  const auto line = node->source().begin.line;
  return *node->source().path + (line > 0 ? ":" + std::to_string(line) : "");
}

struct ErrorList {
  std::vector<std::string> lines;
  void add(const toml::node* node, const std::string& key, const std::string& message) {
    lines.push_back(locationOf(node) + ": " + key + ": " + message);
  }
};

// One table of the file. done() reports each key that was not read, so that a misspelt key is an error
// instead of silently leaving the default.
class Section {
 public:
  Section(const toml::table* table, std::string path, ErrorList& errors)
      : table_(table), path_(std::move(path)), errors_(errors) {}
  Section(const Section&) = delete;
  Section& operator=(const Section&) = delete;

  void number(const char* key, double& out, double minimum = 0, double maximum = kUnbounded) {
    if (const toml::node* node = read(key)) {
      const auto value = node->value<double>();
      if (!value || !node->is_number())
        return error(node, key, "expected a number");
      if (checkRange(node, key, *value, minimum, maximum))
        out = *value;
    }
  }
  void range(const char* key, Range& out, double minimum = 0, double maximum = kUnbounded) {
    const toml::node* node = read(key);
    if (!node)
      return;
    if (node->is_number()) {
      const double value = *node->value<double>();
      if (checkRange(node, key, value, minimum, maximum))
        out = value;
      return;
    }
    const toml::array* pair = node->as_array();
    if (!pair || pair->size() != 2 || !pair->get(0)->is_number() || !pair->get(1)->is_number())
      return error(node, key, "expected a number or [low, high]");
    const double low = *pair->get(0)->value<double>(), high = *pair->get(1)->value<double>();
    if (checkRange(node, key, low, minimum, maximum) && checkRange(node, key, high, minimum, maximum))
      out = {low, high};
  }
  void count(const char* key, unsigned& out, unsigned minimum, unsigned maximum) {
    if (const toml::node* node = read(key)) {
      const auto value = node->value_exact<std::int64_t>();
      if (!value)
        return error(node, key, "expected an integer");
      if (checkRange(node, key, static_cast<double>(*value), minimum, maximum))
        out = static_cast<unsigned>(*value);
    }
  }
  void flag(const char* key, bool& out) {
    if (const toml::node* node = read(key)) {
      const auto value = node->value_exact<bool>();
      if (value)
        out = *value;
      else
        error(node, key, "expected true or false");
    }
  }
  void text(const char* key, std::string& out, const std::vector<std::string>& allowed = {}) {
    if (const toml::node* node = read(key)) {
      const auto value = node->value_exact<std::string>();
      if (!value)
        return error(node, key, "expected a string");
      if (!allowed.empty() && std::find(allowed.begin(), allowed.end(), *value) == allowed.end()) {
        std::string list;
        for (const std::string& name : allowed)
          list += (list.empty() ? "" : ", ") + name;
        return error(node, key, "unknown value '" + *value + "', expected one of " + list);
      }
      out = *value;
    }
  }
  void texts(const char* key, std::vector<std::string>& out) {
    const toml::node* node = read(key);
    if (!node)
      return;
    const toml::array* list = node->as_array();
    if (!list || list->empty() || !list->is_homogeneous(toml::node_type::string))
      return error(node, key, "expected a list of strings that is not empty");
    out.clear();
    for (const toml::node& item : *list)
      out.push_back(*item.value<std::string>());
  }
  void numbers(const char* key, std::vector<std::size_t>& out) {
    const toml::node* node = read(key);
    if (!node)
      return;
    const toml::array* list = node->as_array();
    if (!list || !list->is_homogeneous(toml::node_type::integer))
      return error(node, key, "expected a list of integers");
    out.clear();
    for (const toml::node& item : *list) {
      const auto value = *item.value<std::int64_t>();
      if (value < 0)
        return error(node, key, "expected a list of integers from 0");
      out.push_back(static_cast<std::size_t>(value));
    }
  }
  const toml::table* table(const char* key) {
    const toml::node* node = read(key);
    if (node && !node->is_table())
      error(node, key, "expected a table");
    return node ? node->as_table() : nullptr;
  }
  /// The tables of `[[key]]`; null if the file has none.
  const toml::array* tables(const char* key) {
    const toml::node* node = read(key);
    if (!node)
      return nullptr;
    const toml::array* list = node->as_array();
    if (!list || !(list->empty() || list->is_homogeneous(toml::node_type::table))) {
      error(node, key, "expected a list of tables, [[" + std::string(key) + "]]");
      return nullptr;
    }
    return list;
  }
  void error(const toml::node* node, const std::string& key, const std::string& message) {
    errors_.add(node ? node : table_, path_ + key, message);
  }
  void done() {
    if (!table_)
      return;
    for (const auto& [key, node] : *table_)
      if (!readKeys_.count(std::string(key.str())))
        error(&node, std::string(key.str()), "unknown key");
  }

 private:
  const toml::node* read(const char* key) {
    readKeys_.insert(key);
    return table_ ? table_->get(key) : nullptr;
  }
  bool checkRange(const toml::node* node, const char* key, double value, double minimum, double maximum) {
    if (std::isfinite(value) && value >= minimum && value <= maximum)
      return true;
    std::string text = "is " + trimmed(value) + ", expected " + trimmed(minimum) + " or more";
    if (maximum < kUnbounded)
      text = "is " + trimmed(value) + ", expected " + trimmed(minimum) + " to " + trimmed(maximum);
    error(node, key, text);
    return false;
  }
  static std::string trimmed(double value) {
    std::string text = std::to_string(value);
    text.erase(text.find_last_not_of('0') + 1);
    if (text.back() == '.')
      text.pop_back();
    return text;
  }

  const toml::table* table_;
  std::string path_;
  ErrorList& errors_;
  std::set<std::string> readKeys_;
};

balancer::Duration milliseconds(double ms) {
  return balancer::Duration(static_cast<std::int64_t>(std::llround(ms * 1e6)));
}

void readMachineKind(const toml::table* table, std::size_t at, Scenario& scenario, ErrorList& errors) {
  Section in(table, "kind[" + std::to_string(at) + "].", errors);
  MachineKind machineKind;
  in.text("name", machineKind.name);
  if (machineKind.name.empty())
    in.error(table, "name", "is missing");
  in.range("share", machineKind.share);
  in.range("cores", machineKind.cores, 1, 64);
  in.range("speed", machineKind.speed, 0.01, 100);
  in.range("speed_cv", machineKind.speedCv, 0, 1);
  in.range("slots_per_core", machineKind.slotsPerCore, 1, 1000);
  in.range("queue_per_core", machineKind.queuePerCore, 0, 100000);
  in.range("thrash", machineKind.thrashing, 0, 1);
  in.range("thrash_at", machineKind.thrashingThreshold);
  in.range("cold_from", machineKind.initialCapacity, 0.01, 1);
  in.range("cold_s", machineKind.warmupS);
  in.range("error_rate", machineKind.errorRate, 0, 1);
  in.range("drops_expired", machineKind.dropsExpired, 0, 1);
  in.range("drops_cancelled", machineKind.dropsCancelled, 0, 1);
  in.done();
  scenario.kinds.push_back(machineKind);
}

void readClass(const toml::table* table, std::size_t at, Scenario& scenario, ErrorList& errors) {
  Section in(table, "class[" + std::to_string(at) + "].", errors);
  RequestClass requestClass;
  double latencyObjectiveMs = 400, clientTimeoutMs = 1000, deduplicationWindowMs = 0;
  std::string idempotency = "unsafe", deduplicationScope = "all";
  in.text("name", requestClass.settings.name);
  if (requestClass.settings.name.empty())
    in.error(table, "name", "is missing");
  in.range("share", requestClass.share);
  in.range("work_ms", requestClass.workMs, 0.001);
  in.range("cv", requestClass.workCv, 0, 10);
  in.range("attempt_noise", requestClass.attemptNoise, 0, 10);
  in.number("aim_ms", latencyObjectiveMs, 1);
  in.number("give_up_ms", clientTimeoutMs, 1);
  in.number("window_ms", deduplicationWindowMs);
  in.number("worth", requestClass.settings.priorityWeight);
  in.number("late_share", requestClass.settings.lateValueFraction, 0, 1);
  in.text("effect", idempotency, {"safe", "keyed", "unsafe"});
  in.text("group", deduplicationScope, {"all", "zone", "cell"});
  if (clientTimeoutMs < latencyObjectiveMs)
    in.error(table, "give_up_ms", "is below aim_ms, expected aim_ms or more");
  in.done();
  requestClass.settings.latencyObjective = milliseconds(latencyObjectiveMs);
  requestClass.settings.clientTimeout = milliseconds(clientTimeoutMs);
  requestClass.settings.deduplicationWindow = milliseconds(deduplicationWindowMs);
  requestClass.settings.idempotency = effectNamed(idempotency);
  requestClass.settings.deduplicationScope = deduplicationScope == "all"    ? DeduplicationScope::all
                                             : deduplicationScope == "zone" ? DeduplicationScope::zone
                                                                            : DeduplicationScope::cell;
  scenario.classes.push_back(requestClass);
}

void readFaultSpec(const toml::table* table, std::size_t at, Scenario& scenario, ErrorList& errors) {
  Section in(table, "trouble[" + std::to_string(at) + "].", errors);
  FaultSpec spec;
  in.text("kind", spec.kind,
          {"slow", "pauses", "deploy", "zone", "cut", "kill", "silence", "resets", "errors", "lost_answers",
           "settings", "surge", "late_lists"});
  if (!table->contains("kind"))
    in.error(table, "kind", "is missing");
  in.range("chance", spec.probability, 0, 1);
  in.range("at_s", spec.atS);
  in.range("length_s", spec.durationS);
  in.range("part", spec.affectedShare, 0, 1);
  in.range("size", spec.size);
  in.range("every_s", spec.intervalS, 0.01);
  spec.location = locationOf(table);
  in.text("zone", spec.zone);
  in.text("effect", spec.idempotency, {"safe", "keyed", "unsafe"});
  in.text("class", spec.className);
  in.done();
  scenario.faultSpecs.push_back(spec);
}

void readFault(const toml::table* table, std::size_t at, Scenario& scenario, ErrorList& errors) {
  Section in(table, "fault[" + std::to_string(at) + "].", errors);
  Fault fault;
  in.text("kind", fault.kind,
          {"kill",
           "term",
           "stop",
           "upgrade",
           "hup",
           "slow",
           "jam",
           "lost",
           "cut",
           "drain",
           "discovery_silent",
           "discovery_late",
           "discovery_split",
           "net_loss",
           "net_delay",
           "net_copies",
           "net_spoils",
           "net_mute",
           "net_deaf",
           "net_split"});
  if (!table->contains("kind"))
    in.error(table, "kind", "is missing");
  in.number("at_s", fault.atS, 0, 3600);
  in.number("length_s", fault.durationS, 0, 3600);
  in.number("size", fault.size);
  in.numbers("gateways", fault.gateways);
  in.numbers("servers", fault.servers);
  in.text("zone", fault.zone);
  in.text("file", fault.file, {"same", "changed", "broken"});
  if (fault.kind == "hup" && fault.file.empty())
    in.error(table, "file", "is missing, expected one of same, changed, broken");
  fault.location = locationOf(table);
  in.done();
  scenario.faults.push_back(fault);
}

void apply(const toml::table& root, Scenario& scenario, ErrorList& errors) {
  Section top(&root, "", errors);
  std::string base;
  top.text("extends", base);
  top.text("name", scenario.name);
  top.text("description", scenario.description);
  const auto section = [&](const char* key, auto&& read) {
    Section in(top.table(key), std::string(key) + ".", errors);
    read(in);
    in.done();
  };
  section("day", [&](Section& in) {
    in.number("length_s", scenario.durationS, 0.1, 86400);
    in.number("tick_ms", scenario.gatewayTickMs, 0, 1000);
    in.number("warm_s", scenario.warmupS);
    in.range("pace", scenario.timeScale, 0.01, 100);
  });
  section("fleet", [&](Section& in) {
    in.texts("zones", scenario.zones);
    in.range("gateways", scenario.gateways, 1, 1000);
    in.range("servers", scenario.servers, 1, 5000);
    in.range("cell_size", scenario.cellSize, 1, 5000);
    in.range("start_spread_ms", scenario.startSpreadMs);
  });
  section("load", [&](Section& in) {
    in.range("level", scenario.loadLevel, 0, 20);
    in.text("shape", scenario.loadShape, {"flat", "wave", "bursty"});
    in.range("swing", scenario.loadAmplitude, 0, 1);
    in.range("period_s", scenario.loadPeriodS, 0.1);
    in.range("zone_skew", scenario.zoneSkew, 0, 1);
    in.range("keys", scenario.keyCount, 0, 1e6);
    in.range("key_zipf", scenario.keyZipfExponent, 0, 5);
  });
  section("net", [&](Section& in) {
    in.range("same_ms", scenario.sameZoneMs);
    in.range("cross_ms", scenario.crossZoneMs);
    in.range("client_ms", scenario.clientLinkMs);
    in.range("jitter", scenario.jitter, 0, 10);
  });
  section("clients", [&](Section& in) {
    in.range("retries", scenario.maxRetries, 0, 20);
    in.range("try_share", scenario.requestTimeoutShare, 0.01, 1);
    in.range("backoff_ms", scenario.backoffMs);
    in.range("honour", scenario.retryAfterCompliance, 0, 1);
    in.range("notice_s", scenario.frontendDetectionS);
  });
  section("discovery", [&](Section& in) {
    in.range("notice_s", scenario.removalNoticeS);
    in.range("silent_notice_s", scenario.silenceDetectionS);
    in.range("add_s", scenario.additionNoticeS);
    in.range("spread_ms", scenario.notificationSpreadMs);
    in.range("period_ms", scenario.discoveryPollMs);
  });
  section("limits", [&](Section& in) {
    in.count("max_attempts", scenario.maxAttempts, 1, 8);
    in.count("candidates", scenario.candidates, 0, 100000);
    in.flag("second_copies", scenario.allowHedging);
    in.flag("cancel", scenario.cancel);
    in.flag("retry_after", scenario.retryAfter);
    in.flag("warm_keys", scenario.keyAffinity);
    in.number("max_retry_after_ms", scenario.maxRetryAfterMs);
    in.number("idle_s", scenario.idleTimeoutS);
    in.number("connect_timeout_ms", scenario.connectTimeoutMs, 1);
  });
  section("rules", [&](Section& in) {
    in.number("drain_grace_ms", scenario.drainGraceMs);
    in.number("fall_multiple", scenario.overloadMultiple, 0.1);
    in.number("fall_ms", scenario.overloadWindowMs, 1);
    in.number("cold_share", scenario.slowStartInitialFraction, 0.01, 1);
    in.number("cold_s", scenario.slowStartS);
    in.number("answer_slack_ms", scenario.answerSlackMs);
  });
  section("goal", [&](Section& in) {
    in.number("whole", scenario.goodputWeight, 0, 1);
    in.number("worst_window", scenario.worstWindowWeight, 0, 1);
    in.number("worst_class", scenario.worstClassWeight, 0, 1);
  });
  section("prices", [&](Section& in) {
    in.number("cross_zone", scenario.priceCrossZone);
    in.number("waste", scenario.priceWaste);
    in.number("late_fail", scenario.priceLateFail);
    in.number("handshake", scenario.priceHandshake);
    in.number("choke", scenario.priceChoke);
  });
  section("connections", [&](Section& in) {
    in.range("handshake_rtts", scenario.handshakeRtts);
    in.range("handshake_us", scenario.handshakeUs);
    in.range("cap_per_core", scenario.connectionsPerCore, 1);
    in.range("full_tax", scenario.fullTableOverhead, 0, 0.99);
  });
  section("choke", [&](Section& in) {
    in.range("share", scenario.chokeProbability, 0, 1);
    in.range("at", scenario.chokeThreshold);
    in.range("over_s", scenario.chokeDelayS);
    in.range("slower", scenario.chokeSlowdown, 1);
    in.range("rest_s", scenario.chokeRecoveryS);
    in.range("below", scenario.chokeRecoveryUtilization, 0, 1);
    in.range("most_s", scenario.maxChokeS);
  });
  section("warmth", [&](Section& in) {
    in.range("gain", scenario.keyCacheGain, 0, 1);
    in.range("keep_s", scenario.keyCacheTtlS);
    in.range("keys_per_core", scenario.cachedKeysPerCore);
  });
  const auto list = [&](const char* key, auto& into, auto read) {
    const toml::array* tables = top.tables(key);
    if (!tables)
      return;
    into.clear();
    for (std::size_t i = 0; i < tables->size(); ++i)
      read(tables->get(i)->as_table(), i, scenario, errors);
  };
  list("kind", scenario.kinds, readMachineKind);
  list("class", scenario.classes, readClass);
  list("trouble", scenario.faultSpecs, readFaultSpec);
  list("fault", scenario.faults, readFault);
  section("membership", [&](Section& in) {
    in.number("period_ms", scenario.membershipPeriodMs, 0, 60000);
    in.number("configured_gateways", scenario.configuredGateways, 0, 100000);
  });
  section("expect", [&](Section& in) {
    in.number("goodput", scenario.expectGoodput, 0, 1);
    in.number("agree_s", scenario.expectAgreeS, 0, 3600);
  });
  top.done();
}

void load(const std::string& file, Scenario& scenario, ErrorList& errors, int depth) {
  toml::table root;
  try {
    root = toml::parse_file(file);
  } catch (const toml::parse_error& e) {
    const auto line = e.source().begin.line;
    errors.lines.push_back(file + (line > 0 ? ":" + std::to_string(line) : "") + ": " +
                           std::string(e.description()));
    return;
  }
  if (const auto base = root["extends"].value<std::string>()) {
    if (depth > kMaxExtendsDepth)
      return errors.add(root.get("extends"), "extends", "is cyclic or nested too deeply");
    load((std::filesystem::path(file).parent_path() / *base).string(), scenario, errors, depth + 1);
    scenario.name = scenario.description = {};
  }
  apply(root, scenario, errors);
}

void checkConsistency(const Scenario& scenario, ErrorList& errors) {
  if (scenario.kinds.empty())
    errors.lines.push_back(scenario.file + ": kind: is missing, expected at least one [[kind]]");
  if (scenario.classes.empty())
    errors.lines.push_back(scenario.file + ": class: is missing, expected at least one [[class]]");
  for (std::size_t i = 0; i < scenario.faultSpecs.size(); ++i) {
    const FaultSpec& spec = scenario.faultSpecs[i];
    const auto error = [&](const std::string& key, const std::string& message) {
      errors.lines.push_back(spec.location + ": trouble[" + std::to_string(i) + "]." + key + ": " + message);
    };
    if (!spec.zone.empty() &&
        std::find(scenario.zones.begin(), scenario.zones.end(), spec.zone) == scenario.zones.end())
      error("zone", "unknown zone '" + spec.zone + "', expected one of fleet.zones");
    const bool known = std::any_of(
        scenario.classes.begin(), scenario.classes.end(),
        [&](const RequestClass& requestClass) { return requestClass.settings.name == spec.className; });
    if (!spec.className.empty() && !known)
      error("class", "unknown class '" + spec.className + "', expected the name of a [[class]]");
  }
  for (std::size_t i = 0; i < scenario.faults.size(); ++i) {
    const Fault& fault = scenario.faults[i];
    const auto error = [&](const std::string& key, const std::string& message) {
      errors.lines.push_back(fault.location + ": fault[" + std::to_string(i) + "]." + key + ": " + message);
    };
    if (!fault.zone.empty() &&
        std::find(scenario.zones.begin(), scenario.zones.end(), fault.zone) == scenario.zones.end())
      error("zone", "unknown zone '" + fault.zone + "', expected one of fleet.zones");
    if (fault.kind.starts_with("net_") && scenario.membershipPeriodMs == 0)
      error("kind", "needs the gateways' membership, but membership.period_ms is not set");
    for (std::size_t gateway : fault.gateways)
      if (static_cast<double>(gateway) >= scenario.gateways.low)
        error("gateways", "there is no gateway " + std::to_string(gateway) + ", see fleet.gateways");
    for (std::size_t server : fault.servers)
      if (static_cast<double>(server) >= scenario.servers.low)
        error("servers", "there is no server " + std::to_string(server) + ", see fleet.servers");
  }
}

}  // namespace

Idempotency effectNamed(const std::string& name) {
  return name == "safe" ? Idempotency::idempotent : name == "keyed" ? Idempotency::keyed : Idempotency::none;
}

Scenario readScenario(const std::string& file, const std::vector<std::string>& overrides) {
  Scenario scenario;
  scenario.file = file;
  ErrorList errors;
  load(file, scenario, errors, 0);
  for (const std::string& line : overrides) {
    try {
      apply(toml::parse(line, std::string_view("--set " + line)), scenario, errors);
    } catch (const toml::parse_error& e) {
      errors.lines.push_back("--set " + line + ": " + std::string(e.description()));
    }
  }
  if (errors.lines.empty())
    checkConsistency(scenario, errors);
  if (!errors.lines.empty()) {
    std::string all;
    for (const std::string& line : errors.lines)
      all += (all.empty() ? "" : "\n") + line;
    throw ScenarioError(all);
  }
  if (scenario.name.empty())
    scenario.name = std::filesystem::path(file).stem().string();
  return scenario;
}

}  // namespace hollyrun::lab
