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
constexpr double kMost = std::numeric_limits<double>::max();

std::string placeOf(const toml::node* node) {
  if (!node || !node->source().path)
    return "command line";
  const auto line = node->source().begin.line;
  return *node->source().path + (line > 0 ? ":" + std::to_string(line) : "");
}

struct Faults {
  std::vector<std::string> lines;
  void add(const toml::node* node, const std::string& key, const std::string& what) {
    lines.push_back(placeOf(node) + ": " + key + ": " + what);
  }
};

// One table of the file. Each key is asked for once; what nobody asked for is a fault, so that a misspelt key
// cannot pass for its default.
class Section {
 public:
  Section(const toml::table* table, std::string path, Faults& faults)
      : table_(table), path_(std::move(path)), faults_(faults) {}
  Section(const Section&) = delete;
  Section& operator=(const Section&) = delete;

  void number(const char* key, double& out, double least = 0, double most = kMost) {
    if (const toml::node* node = take(key)) {
      const auto value = node->value<double>();
      if (!value || !node->is_number())
        return fault(node, key, "has to be a number");
      if (inside(node, key, *value, least, most))
        out = *value;
    }
  }
  void range(const char* key, Range& out, double least = 0, double most = kMost) {
    const toml::node* node = take(key);
    if (!node)
      return;
    if (node->is_number()) {
      const double value = *node->value<double>();
      if (inside(node, key, value, least, most))
        out = value;
      return;
    }
    const toml::array* pair = node->as_array();
    if (!pair || pair->size() != 2 || !pair->get(0)->is_number() || !pair->get(1)->is_number())
      return fault(node, key, "has to be a number or [low, high]");
    const double low = *pair->get(0)->value<double>(), high = *pair->get(1)->value<double>();
    if (inside(node, key, low, least, most) && inside(node, key, high, least, most))
      out = {low, high};
  }
  void count(const char* key, unsigned& out, unsigned least, unsigned most) {
    if (const toml::node* node = take(key)) {
      const auto value = node->value_exact<std::int64_t>();
      if (!value)
        return fault(node, key, "has to be a whole number");
      if (inside(node, key, static_cast<double>(*value), least, most))
        out = static_cast<unsigned>(*value);
    }
  }
  void flag(const char* key, bool& out) {
    if (const toml::node* node = take(key)) {
      const auto value = node->value_exact<bool>();
      if (value)
        out = *value;
      else
        fault(node, key, "has to be true or false");
    }
  }
  void text(const char* key, std::string& out, const std::vector<std::string>& allowed = {}) {
    if (const toml::node* node = take(key)) {
      const auto value = node->value_exact<std::string>();
      if (!value)
        return fault(node, key, "has to be a text");
      if (!allowed.empty() && std::find(allowed.begin(), allowed.end(), *value) == allowed.end()) {
        std::string list;
        for (const std::string& a : allowed)
          list += (list.empty() ? "" : ", ") + a;
        return fault(node, key, "'" + *value + "' is none of " + list);
      }
      out = *value;
    }
  }
  void texts(const char* key, std::vector<std::string>& out) {
    const toml::node* node = take(key);
    if (!node)
      return;
    const toml::array* list = node->as_array();
    if (!list || list->empty() || !list->is_homogeneous(toml::node_type::string))
      return fault(node, key, "has to be a list of texts, not empty");
    out.clear();
    for (const toml::node& item : *list)
      out.push_back(*item.value<std::string>());
  }
  void numbers(const char* key, std::vector<std::size_t>& out) {
    const toml::node* node = take(key);
    if (!node)
      return;
    const toml::array* list = node->as_array();
    if (!list || !list->is_homogeneous(toml::node_type::integer))
      return fault(node, key, "has to be a list of whole numbers");
    out.clear();
    for (const toml::node& item : *list) {
      const auto value = *item.value<std::int64_t>();
      if (value < 0)
        return fault(node, key, "has to be a list of whole numbers from 0");
      out.push_back(static_cast<std::size_t>(value));
    }
  }
  const toml::table* table(const char* key) {
    const toml::node* node = take(key);
    if (node && !node->is_table())
      fault(node, key, "has to be a table");
    return node ? node->as_table() : nullptr;
  }
  /// The tables of `[[key]]`, or null if the file has none.
  const toml::array* tables(const char* key) {
    const toml::node* node = take(key);
    if (!node)
      return nullptr;
    const toml::array* list = node->as_array();
    if (!list || !(list->empty() || list->is_homogeneous(toml::node_type::table))) {
      fault(node, key, "has to be a list of tables, [[" + std::string(key) + "]]");
      return nullptr;
    }
    return list;
  }
  void fault(const toml::node* node, const std::string& key, const std::string& what) {
    faults_.add(node ? node : table_, path_ + key, what);
  }
  void done() {
    if (!table_)
      return;
    for (const auto& [key, node] : *table_)
      if (!asked_.count(std::string(key.str())))
        fault(&node, std::string(key.str()), "unknown key");
  }

 private:
  const toml::node* take(const char* key) {
    asked_.insert(key);
    return table_ ? table_->get(key) : nullptr;
  }
  bool inside(const toml::node* node, const char* key, double value, double least, double most) {
    if (std::isfinite(value) && value >= least && value <= most)
      return true;
    std::string text = "has to be " + trimmed(least) + " or more";
    if (most < kMost)
      text = "has to lie in " + trimmed(least) + " to " + trimmed(most);
    fault(node, key, text);
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
  Faults& faults_;
  std::set<std::string> asked_;
};

balancer::Duration millis(double ms) {
  return balancer::Duration(static_cast<std::int64_t>(std::llround(ms * 1e6)));
}

void readKind(const toml::table* table, std::size_t at, Scenario& s, Faults& faults) {
  Section in(table, "kind[" + std::to_string(at) + "].", faults);
  MachineKind k;
  in.text("name", k.name);
  if (k.name.empty())
    in.fault(table, "name", "is missing");
  in.range("share", k.share);
  in.range("cores", k.cores, 1, 64);
  in.range("speed", k.speed, 0.01, 100);
  in.range("speed_cv", k.speedCv, 0, 1);
  in.range("slots_per_core", k.slots, 1, 1000);
  in.range("queue_per_core", k.queue, 0, 100000);
  in.range("thrash", k.thrash, 0, 1);
  in.range("thrash_at", k.thrashAt);
  in.range("cold_from", k.coldFrom, 0.01, 1);
  in.range("cold_s", k.coldS);
  in.range("error_rate", k.errorRate, 0, 1);
  in.range("drops_expired", k.dropsExpired, 0, 1);
  in.range("drops_cancelled", k.dropsCancelled, 0, 1);
  in.done();
  s.kinds.push_back(k);
}

void readClass(const toml::table* table, std::size_t at, Scenario& s, Faults& faults) {
  Section in(table, "class[" + std::to_string(at) + "].", faults);
  RequestClass c;
  double latencyObjective = 400, giveUp = 1000, window = 0;
  std::string idempotency = "unsafe", deduplicationScope = "all";
  in.text("name", c.set.name);
  if (c.set.name.empty())
    in.fault(table, "name", "is missing");
  in.range("share", c.share);
  in.range("work_ms", c.workMs, 0.001);
  in.range("cv", c.cv, 0, 10);
  in.range("attempt_noise", c.attemptNoise, 0, 10);
  in.number("aim_ms", latencyObjective, 1);
  in.number("give_up_ms", giveUp, 1);
  in.number("window_ms", window);
  in.number("worth", c.set.priorityWeight);
  in.number("late_share", c.set.lateValueFraction, 0, 1);
  in.text("effect", idempotency, {"safe", "keyed", "unsafe"});
  in.text("group", deduplicationScope, {"all", "zone", "cell"});
  if (giveUp < latencyObjective)
    in.fault(table, "give_up_ms", "must not be below aim_ms");
  in.done();
  c.set.latencyObjective = millis(latencyObjective);
  c.set.clientTimeout = millis(giveUp);
  c.set.deduplicationWindow = millis(window);
  c.set.idempotency = effectNamed(idempotency);
  c.set.deduplicationScope = deduplicationScope == "all"    ? DeduplicationScope::all
                             : deduplicationScope == "zone" ? DeduplicationScope::zone
                                                            : DeduplicationScope::cell;
  s.classes.push_back(c);
}

void readFaultSpec(const toml::table* table, std::size_t at, Scenario& s, Faults& faults) {
  Section in(table, "trouble[" + std::to_string(at) + "].", faults);
  FaultSpec t;
  in.text("kind", t.kind,
          {"slow", "pauses", "deploy", "zone", "cut", "kill", "silence", "resets", "errors", "lost_answers",
           "settings", "surge", "late_lists"});
  if (!table->contains("kind"))
    in.fault(table, "kind", "is missing");
  in.range("chance", t.chance, 0, 1);
  in.range("at_s", t.atS);
  in.range("length_s", t.lengthS);
  in.range("part", t.part, 0, 1);
  in.range("size", t.size);
  in.range("every_s", t.everyS, 0.01);
  t.place = placeOf(table);
  in.text("zone", t.zone);
  in.text("effect", t.idempotency, {"safe", "keyed", "unsafe"});
  in.text("class", t.className);
  in.done();
  s.faultSpecs.push_back(t);
}

void readFault(const toml::table* table, std::size_t at, Scenario& s, Faults& faults) {
  Section in(table, "fault[" + std::to_string(at) + "].", faults);
  Fault f;
  in.text("kind", f.kind,
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
    in.fault(table, "kind", "is missing");
  in.number("at_s", f.atS, 0, 3600);
  in.number("length_s", f.lengthS, 0, 3600);
  in.number("size", f.size);
  in.numbers("gateways", f.gateways);
  in.numbers("servers", f.servers);
  in.text("zone", f.zone);
  in.text("file", f.file, {"same", "changed", "broken"});
  if (f.kind == "hup" && f.file.empty())
    in.fault(table, "file", "is missing: same, changed or broken");
  f.place = placeOf(table);
  in.done();
  s.faults.push_back(f);
}

void apply(const toml::table& root, Scenario& s, Faults& faults) {
  Section top(&root, "", faults);
  std::string base;
  top.text("extends", base);
  top.text("name", s.name);
  top.text("description", s.description);
  const auto section = [&](const char* key, auto&& read) {
    Section in(top.table(key), std::string(key) + ".", faults);
    read(in);
    in.done();
  };
  section("day", [&](Section& in) {
    in.number("length_s", s.lengthS, 0.1, 86400);
    in.number("tick_ms", s.tickMs, 0, 1000);
    in.number("warm_s", s.warmS);
    in.range("pace", s.pace, 0.01, 100);
  });
  section("fleet", [&](Section& in) {
    in.texts("zones", s.zones);
    in.range("gateways", s.gateways, 1, 1000);
    in.range("servers", s.servers, 1, 5000);
    in.range("cell_size", s.cellSize, 1, 5000);
    in.range("start_spread_ms", s.startSpreadMs);
  });
  section("load", [&](Section& in) {
    in.range("level", s.level, 0, 20);
    in.text("shape", s.shape, {"flat", "wave", "bursty"});
    in.range("swing", s.swing, 0, 1);
    in.range("period_s", s.periodS, 0.1);
    in.range("zone_skew", s.zoneSkew, 0, 1);
    in.range("keys", s.keys, 0, 1e6);
    in.range("key_zipf", s.keyZipf, 0, 5);
  });
  section("net", [&](Section& in) {
    in.range("same_ms", s.sameMs);
    in.range("cross_ms", s.crossMs);
    in.range("client_ms", s.clientMs);
    in.range("jitter", s.jitter, 0, 10);
  });
  section("clients", [&](Section& in) {
    in.range("retries", s.retries, 0, 20);
    in.range("try_share", s.tryShare, 0.01, 1);
    in.range("backoff_ms", s.backoffMs);
    in.range("honour", s.honour, 0, 1);
    in.range("notice_s", s.frontNoticeS);
  });
  section("discovery", [&](Section& in) {
    in.range("notice_s", s.noticeS);
    in.range("silent_notice_s", s.silentNoticeS);
    in.range("add_s", s.addS);
    in.range("spread_ms", s.spreadMs);
    in.range("period_ms", s.periodMs);
  });
  section("limits", [&](Section& in) {
    in.count("max_attempts", s.maxAttempts, 1, 8);
    in.count("candidates", s.candidates, 0, 100000);
    in.flag("second_copies", s.secondCopies);
    in.flag("cancel", s.cancel);
    in.flag("retry_after", s.retryAfter);
    in.flag("warm_keys", s.keyAffinity);
    in.number("max_retry_after_ms", s.maxRetryAfterMs);
    in.number("idle_s", s.idleS);
    in.number("connect_timeout_ms", s.connectTimeoutMs, 1);
  });
  section("rules", [&](Section& in) {
    in.number("drain_grace_ms", s.drainGraceMs);
    in.number("fall_multiple", s.overloadMultiple, 0.1);
    in.number("fall_ms", s.fallMs, 1);
    in.number("cold_share", s.slowStartInitialFraction, 0.01, 1);
    in.number("cold_s", s.coldRuleS);
    in.number("answer_slack_ms", s.answerSlackMs);
  });
  section("goal", [&](Section& in) {
    in.number("whole", s.goalWhole, 0, 1);
    in.number("worst_window", s.goalWorstWindow, 0, 1);
    in.number("worst_class", s.goalWorstClass, 0, 1);
  });
  section("prices", [&](Section& in) {
    in.number("cross_zone", s.priceCrossZone);
    in.number("waste", s.priceWaste);
    in.number("late_fail", s.priceLateFail);
    in.number("handshake", s.priceHandshake);
    in.number("choke", s.priceChoke);
  });
  section("connections", [&](Section& in) {
    in.range("handshake_rtts", s.handshakeRtts);
    in.range("handshake_us", s.handshakeUs);
    in.range("cap_per_core", s.capPerCore, 1);
    in.range("full_tax", s.fullTax, 0, 0.99);
  });
  section("choke", [&](Section& in) {
    in.range("share", s.chokeShare, 0, 1);
    in.range("at", s.chokeAt);
    in.range("over_s", s.chokeOverS);
    in.range("slower", s.chokeSlower, 1);
    in.range("rest_s", s.chokeRestS);
    in.range("below", s.chokeBelow, 0, 1);
    in.range("most_s", s.chokeMostS);
  });
  section("warmth", [&](Section& in) {
    in.range("gain", s.warmGain, 0, 1);
    in.range("keep_s", s.warmKeepS);
    in.range("keys_per_core", s.warmKeysPerCore);
  });
  const auto list = [&](const char* key, auto& into, auto read) {
    const toml::array* tables = top.tables(key);
    if (!tables)
      return;
    into.clear();
    for (std::size_t i = 0; i < tables->size(); ++i)
      read(tables->get(i)->as_table(), i, s, faults);
  };
  list("kind", s.kinds, readKind);
  list("class", s.classes, readClass);
  list("trouble", s.faultSpecs, readFaultSpec);
  list("fault", s.faults, readFault);
  section("membership", [&](Section& in) {
    in.number("period_ms", s.membershipPeriodMs, 0, 60000);
    in.number("configured_gateways", s.configuredGateways, 0, 100000);
  });
  section("expect", [&](Section& in) {
    in.number("goodput", s.expectGoodput, 0, 1);
    in.number("agree_s", s.expectAgreeS, 0, 3600);
  });
  top.done();
}

void load(const std::string& file, Scenario& s, Faults& faults, int depth) {
  toml::table root;
  try {
    root = toml::parse_file(file);
  } catch (const toml::parse_error& e) {
    const auto line = e.source().begin.line;
    faults.lines.push_back(file + (line > 0 ? ":" + std::to_string(line) : "") + ": " +
                           std::string(e.description()));
    return;
  }
  if (const auto base = root["extends"].value<std::string>()) {
    if (depth > 8)
      return faults.add(root.get("extends"), "extends", "goes in a circle, or too deep");
    load((std::filesystem::path(file).parent_path() / *base).string(), s, faults, depth + 1);
    s.name = s.description = {};
  }
  apply(root, s, faults);
}

void checkWhole(const Scenario& s, Faults& faults) {
  if (s.kinds.empty())
    faults.lines.push_back(s.file + ": kind: at least one [[kind]] is needed");
  if (s.classes.empty())
    faults.lines.push_back(s.file + ": class: at least one [[class]] is needed");
  for (std::size_t i = 0; i < s.faultSpecs.size(); ++i) {
    const FaultSpec& t = s.faultSpecs[i];
    const auto fault = [&](const std::string& key, const std::string& what) {
      faults.lines.push_back(t.place + ": trouble[" + std::to_string(i) + "]." + key + ": " + what);
    };
    if (!t.zone.empty() && std::find(s.zones.begin(), s.zones.end(), t.zone) == s.zones.end())
      fault("zone", "'" + t.zone + "' is none of fleet.zones");
    const bool known = std::any_of(s.classes.begin(), s.classes.end(),
                                   [&](const RequestClass& c) { return c.set.name == t.className; });
    if (!t.className.empty() && !known)
      fault("class", "'" + t.className + "' is no [[class]]");
  }
  for (std::size_t i = 0; i < s.faults.size(); ++i) {
    const Fault& f = s.faults[i];
    const auto fault = [&](const std::string& key, const std::string& what) {
      faults.lines.push_back(f.place + ": fault[" + std::to_string(i) + "]." + key + ": " + what);
    };
    if (!f.zone.empty() && std::find(s.zones.begin(), s.zones.end(), f.zone) == s.zones.end())
      fault("zone", "'" + f.zone + "' is none of fleet.zones");
    if (f.kind.starts_with("net_") && s.membershipPeriodMs == 0)
      fault("kind", "the processes send no datagrams: membership.period_ms is not set");
    for (std::size_t g : f.gateways)
      if (static_cast<double>(g) >= s.gateways.low)
        fault("gateways", std::to_string(g) + " is none of them");
    for (std::size_t server : f.servers)
      if (static_cast<double>(server) >= s.servers.low)
        fault("servers", std::to_string(server) + " is none of them");
  }
}

}  // namespace

Idempotency effectNamed(const std::string& name) {
  return name == "safe" ? Idempotency::idempotent : name == "keyed" ? Idempotency::keyed : Idempotency::none;
}

Scenario readScenario(const std::string& file, const std::vector<std::string>& set) {
  Scenario s;
  s.file = file;
  Faults faults;
  load(file, s, faults, 0);
  for (const std::string& one : set) {
    try {
      apply(toml::parse(one, std::string_view("--set " + one)), s, faults);
    } catch (const toml::parse_error& e) {
      faults.lines.push_back("--set " + one + ": " + std::string(e.description()));
    }
  }
  if (faults.lines.empty())
    checkWhole(s, faults);
  if (!faults.lines.empty()) {
    std::string all;
    for (const std::string& line : faults.lines)
      all += (all.empty() ? "" : "\n") + line;
    throw ScenarioError(all);
  }
  if (s.name.empty())
    s.name = std::filesystem::path(file).stem().string();
  return s;
}

}  // namespace hollyrun::lab
