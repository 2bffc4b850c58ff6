#include "gateway/keys.hpp"

#define TOML_EXCEPTIONS 1
#include <toml++/toml.h>

#include <algorithm>
#include <cmath>
#include <fstream>
#include <functional>
#include <iterator>
#include <optional>
#include <set>
#include <sstream>

#include "gateway/endpoint_list.hpp"
#include "gateway/endpoint_text.hpp"

namespace hollyrun::gateway {
namespace {

using nlohmann::json;

constexpr double kMs = 1e6;  // in nanoseconds
constexpr double kYearMs = 366.0 * 24 * 3600 * 1000;
constexpr double kMostNumber = 1e9, kMostWhole = 4294967295.0;

constexpr const char *kOff = "off", *kAny = "any";

// What a variable stands before.
std::string_view variableOf(std::string_view key) {
  if (key == "name")
    return "GW_NAME";
  if (key == "listen")
    return "GW_LISTEN";
  if (key == "discovery")
    return "GW_DISCOVERY";
  if (key == "management")
    return "GW_MANAGEMENT";
  if (key == "membership.listen")
    return "GW_MEMBERSHIP";
  if (key == "membership.advertise")
    return "GW_MEMBERSHIP_ADVERTISE";
  if (key == "membership.seeds")
    return "GW_SEEDS";
  return {};
}

std::string plain(double value) {
  std::ostringstream out;
  out.precision(15);
  out << value;
  return out.str();
}

class Reader {
 public:
  Reader(std::string path, ReadFile& out) : path_(std::move(path)), out_(out) {}

  void table(const toml::table& table, const std::vector<Key>& keys, const std::string& prefix, json& into) {
    std::set<std::string, std::less<>> known;
    for (const Key& key : keys) {
      const toml::node_view<const toml::node> found = table.at_path(key.toml);
      known.insert(std::string(key.toml));
      if (!found)
        continue;
      const std::string name = prefix + std::string(key.toml);
      out_.places[name] = place(found.node());
      if (const auto value = valueOf(key, *found.node(), name))
        into[json::json_pointer(std::string(key.json))] = *value;
    }
    unknown(table, known, prefix, "");
  }

  void list(const toml::table& root, const char* name, const std::vector<Key>& keys, json& into) {
    const toml::node* node = root.get(name);
    if (!node)
      return;
    out_.places[name] = place(node);
    const toml::array* all = node->as_array();
    if (!all || !all->is_homogeneous(toml::node_type::table))
      return fault(node, name, "has to be a list of tables, [[" + std::string(name) + "]]");
    into = json::array();
    std::set<std::string> seen;
    for (std::size_t i = 0; i < all->size(); ++i) {
      const std::string prefix = std::string(name) + "[" + std::to_string(i) + "].";
      json entry = json::object();
      const toml::table& one = *all->get(i)->as_table();
      table(one, keys, prefix, entry);
      if (!entry.contains("name"))
        fault(&one, prefix + "name", "is missing");
      else if (!seen.insert(entry["name"]).second)
        fault(&one, prefix + "name", "is there twice");
      into.push_back(entry);
    }
  }

  void fault(const toml::node* node, const std::string& key, const std::string& what) {
    out_.faults.push_back({place(node), key, what});
  }

 private:
  std::string place(const toml::node* node) const {
    return node && node->source().begin.line > 0 ? path_ + ":" + std::to_string(node->source().begin.line)
                                                 : path_;
  }

  void unknown(const toml::table& table, const std::set<std::string, std::less<>>& known,
               const std::string& prefix, const std::string& within) {
    for (const auto& [key, node] : table) {
      const std::string name = within + std::string(key.str());
      if (known.count(name) || (prefix.empty() && (name == "class" || name == "tenant")))
        continue;
      const bool section = std::any_of(known.begin(), known.end(),
                                       [&](const std::string& k) { return k.starts_with(name + "."); });
      if (section && node.is_table())
        unknown(*node.as_table(), known, prefix, name + ".");
      else if (section)
        fault(&node, prefix + name, "has to be a table");
      else
        out_.warnings.push_back({place(&node), prefix + name, "unknown key, passed over"});
    }
  }

  std::optional<json> valueOf(const Key& key, const toml::node& node, const std::string& name) {
    const auto wrong = [&](const std::string& what) {
      fault(&node, name, what);
      return std::nullopt;
    };
    switch (key.holds) {
      case Holds::flag:
        if (const auto flag = node.value_exact<bool>())
          return json(*flag);
        return wrong("has to be true or false");
      case Holds::whole:
      case Holds::real: {
        if (!node.is_number())
          return wrong("has to be a number");
        const double value = *node.value<double>();
        const bool whole = key.holds == Holds::real || value * key.scale == std::floor(value * key.scale);
        if (!std::isfinite(value) || value < key.least || value > key.most || !whole)
          return wrong(std::string("has to be a ") +
                       (key.holds == Holds::whole && key.scale == 1 ? "whole " : "") + "number from " +
                       plain(key.least) + " to " + plain(key.most));
        if (key.holds == Holds::real)
          return json(value * key.scale);
        return json(static_cast<std::int64_t>(std::llround(value * key.scale)));
      }
      case Holds::texts: {
        const toml::array* list = node.as_array();
        if (!list || !(list->empty() || list->is_homogeneous(toml::node_type::string)))
          return wrong("has to be a list of texts");
        json all = json::array();
        for (const toml::node& text : *list)
          all.push_back(*text.value<std::string>());
        return all;
      }
      case Holds::text:
      case Holds::word:
      case Holds::endpoint:
        break;
    }
    const auto text = node.value_exact<std::string>();
    if (!text)
      return wrong("has to be a text");
    if (key.holds == Holds::endpoint) {
      try {
        parseEndpoint(*text);
      } catch (const std::invalid_argument& bad) {
        return wrong(bad.what());
      }
    }
    if (key.holds != Holds::word)
      return json(*text);
    std::string allowed;
    for (std::size_t i = 0; i < key.words.size(); i += 2) {
      if (*text == key.words[i])
        return json(std::string(key.words[i + 1]));
      allowed += (i ? ", " : "") + std::string(key.words[i]);
    }
    return wrong("'" + *text + "' is none of " + allowed);
  }

  std::string path_;
  ReadFile& out_;
};

// What no single key shows.
void checkWhole(const std::string& path, ReadFile& out) {
  const json& settings = out.json.value("settings", json::object());
  const auto fault = [&](const std::string& key, const std::string& what) {
    const auto place = out.places.find(key);
    out.faults.push_back({place == out.places.end() ? path : place->second, key, what});
  };
  if (settings.value("myNumber", 0u) >= settings.value("groupSize", 1u))
    fault("fleet.number", "has to be below fleet.gateways");
  const json grades = settings.value("grades", json::array());
  if (grades.empty() && out.places.count("class") == 0)
    fault("class", "at least one [[class]] is needed");
  for (std::size_t i = 0; i < grades.size(); ++i) {
    const std::string prefix = "class[" + std::to_string(i) + "].";
    const std::int64_t latencyObjective = grades[i].value("aimNs", std::int64_t{0});
    if (latencyObjective == 0 && out.places.count(prefix + "aim_ms") == 0)
      fault(prefix + "aim_ms", "is missing");
    if (grades[i].contains("giveUpNs") && grades[i].value("giveUpNs", std::int64_t{0}) < latencyObjective)
      fault(prefix + "give_up_ms", "must not be below aim_ms");
  }
}

// None if not all of it could be read. Danger: a parser that reads the file itself takes an error in its
// middle for its end, or throws what nobody expects.
std::optional<std::string> contentsOf(const std::string& path) {
  try {
    std::ifstream file(path);
    file.exceptions(std::ios::badbit);
    if (!file)
      return std::nullopt;
    return std::string(std::istreambuf_iterator<char>(file), {});
  } catch (const std::ios_base::failure&) {
    return std::nullopt;
  }
}

ReadFile unreadable(const std::string& path) {
  ReadFile out;
  out.json = json::object();
  out.faults.push_back({path, "file", "cannot be read"});
  return out;
}

ReadFile readToml(const std::string& path) {
  const std::optional<std::string> text = contentsOf(path);
  if (!text)
    return unreadable(path);
  ReadFile out;
  try {
    const toml::table root = toml::parse(*text, path);
    Reader reader(path, out);
    reader.table(root, topKeys(), "", out.json);
    reader.list(root, "class", classKeys(), out.json["settings"]["grades"]);
    if (root.contains("tenant"))
      reader.list(root, "tenant", tenantKeys(), out.json["settings"]["tenants"]);
    checkWhole(path, out);
  } catch (const toml::parse_error& bad) {
    const auto line = bad.source().begin.line;
    out.faults.push_back(
        {line > 0 ? path + ":" + std::to_string(line) : path, "syntax", std::string(bad.description())});
  }
  return out;
}

ReadFile readJson(const std::string& path) {
  const std::optional<std::string> text = contentsOf(path);
  if (!text)
    return unreadable(path);
  ReadFile out;
  out.json = json::parse(*text, nullptr, false);
  if (out.json.is_discarded() || !out.json.is_object())
    out.faults.push_back({path, "file", "holds no JSON object"}), out.json = json::object();
  return out;
}

std::string inMs(balancer::Duration d) {
  return plain(static_cast<double>(d.count()) / kMs);
}
std::string yes(bool flag) {
  return flag ? "true" : "false";
}
std::string quoted(const std::string& text) {
  return json(text).dump();
}

std::string_view wordOf(const Key& key, std::string_view form) {
  for (std::size_t i = 0; i + 1 < key.words.size(); i += 2)
    if (key.words[i + 1] == form)
      return key.words[i];
  return form;
}

std::string classValue(const Key& key, const balancer::ClassSettings& c) {
  const std::string_view name = key.toml;
  if (name == "name")
    return quoted(c.name);
  if (name == "aim_ms")
    return inMs(c.latencyObjective);
  if (name == "give_up_ms")
    return inMs(c.clientTimeout);
  if (name == "window_ms")
    return inMs(c.deduplicationWindow);
  if (name == "worth")
    return plain(c.priorityWeight);
  if (name == "late_share")
    return plain(c.lateValueFraction);
  if (name == "aim_stretch")
    return plain(c.objectiveStretch);
  if (name == "in_turn")
    return yes(c.orderedPerKey);
  using balancer::DeduplicationScope;
  using balancer::Idempotency;
  if (name == "effect")
    return quoted(std::string(wordOf(key, c.idempotency == Idempotency::idempotent ? "retryable"
                                          : c.idempotency == Idempotency::keyed    ? "dedup"
                                                                                   : "fragile")));
  if (name == "group")
    return quoted(c.deduplicationScope == DeduplicationScope::all    ? "all"
                  : c.deduplicationScope == DeduplicationScope::zone ? "zone"
                                                                     : "cell");
  if (name == "zones")
    return c.zones ? json(*c.zones).dump() : kAny;
  if (name == "kinds")
    return c.machineTypes ? json(*c.machineTypes).dump() : kAny;
  return {};
}

std::string topValue(std::string_view name, const Config& c) {
  const auto address = [](const auto& e) { return quoted(textOf(e)); };
  const MembershipConfig member = c.membership.value_or(MembershipConfig{});
  const balancer::Settings& s = c.module;
  const std::map<std::string_view, std::function<std::string()>> values{
      {"name", [&] { return quoted(c.name); }},
      {"listen", [&] { return address(c.listen); }},
      {"discovery", [&] { return address(c.discovery); }},
      {"management", [&] { return c.management ? address(*c.management) : std::string(kOff); }},
      {"seed",
       [&] {
         std::ostringstream o;
         o << std::hex << s.seed;
         return quoted(o.str());
       }},
      {"limits.cores", [&] { return c.source->value("/limits/cores"_json_pointer, json(1.0)).dump(); }},
      {"limits.memory_mb", [&] { return plain(static_cast<double>(c.memoryBytes) / (1 << 20)); }},
      {"limits.sockets", [&] { return std::to_string(c.sockets); }},
      {"log.level",
       [&] {
         static const char* const names[] = {"debug", "info", "warning", "error", "off"};
         return quoted(names[static_cast<int>(c.log.level)]);
       }},
      {"log.format", [&] { return quoted(c.log.json ? "json" : "text"); }},
      {"log.access", [&] { return yes(c.log.access); }},
      {"log.most_per_s", [&] { return std::to_string(c.log.mostPerSecond); }},
      {"membership.listen", [&] { return c.membership ? address(member.listen) : std::string(kOff); }},
      {"membership.advertise",
       [&] { return member.advertise ? address(*member.advertise) : std::string(kOff); }},
      {"membership.fleet", [&] { return quoted(member.fleet); }},
      {"membership.region", [&] { return quoted(member.region); }},
      {"membership.seeds",
       [&] {
         json seeds = json::array();
         for (const udp::endpoint& seed : member.seeds)
           seeds.push_back(textOf(seed));
         return seeds.dump();
       }},
      {"membership.period_ms", [&] { return inMs(member.period); }},
      {"fleet.gateways", [&] { return std::to_string(s.replicaCount); }},
      {"fleet.number", [&] { return std::to_string(s.replicaIndex); }},
      {"fleet.zone", [&] { return quoted(s.zone); }},
      {"fleet.weights", [&] { return quoted(s.loadAdjustedWeights ? "live" : "none"); }},
      {"fleet.warm_keys", [&] { return yes(s.keyAffinity); }},
      {"fleet.candidates", [&] { return std::to_string(s.candidates); }},
      {"fleet.step_ms", [&] { return inMs(s.step); }},
      {"fleet.over_share_worth", [&] { return plain(s.overQuotaWeight); }},
      {"attempts.most", [&] { return std::to_string(s.maxAttempts); }},
      {"attempts.second_copies", [&] { return yes(s.allowHedging); }},
      {"attempts.cancel", [&] { return yes(s.cancel); }},
      {"attempts.connect_timeout_ms", [&] { return inMs(c.connectTimeout); }},
      {"attempts.idle_close_ms", [&] { return inMs(s.idleTimeout); }},
      {"answers.retry_after", [&] { return yes(s.retryAfter); }},
      {"answers.max_retry_after_ms", [&] { return inMs(s.maxRetryAfter); }},
      {"rules.ask_within_ms", [&] { return inMs(s.maxDiscoverySilence); }},
      {"rules.cold_ms", [&] { return inMs(s.slowStartDuration); }},
      {"rules.cold_share", [&] { return plain(s.slowStartInitialFraction); }},
      {"rules.fall_multiple", [&] { return plain(s.overloadMultiple); }},
      {"rules.fall_ms", [&] { return inMs(s.overloadWindow); }},
      {"rules.key_rest_ms", [&] { return inMs(s.keyCooldown); }}};
  return values.at(name)();
}

}  // namespace

const std::vector<Key>& topKeys() {
  const double ms = kYearMs;
  static const std::vector<Key> keys{
      {"name", "/name", Holds::text},
      {"listen", "/listen", Holds::endpoint},
      {"discovery", "/discovery", Holds::endpoint},
      {"management", "/management", Holds::endpoint},
      {"seed", "/seed", Holds::text},
      {"limits.cores", "/limits/cores", Holds::real, 0.01, kMostNumber},
      {"limits.memory_mb", "/limits/memory_mb", Holds::real, 1, kMostNumber},
      {"limits.sockets", "/limits/sockets", Holds::whole, 64, 1073741824},
      {"log.level",
       "/log/level",
       Holds::word,
       0,
       0,
       1,
       {"debug", "debug", "info", "info", "warning", "warning", "error", "error", "off", "off"}},
      {"log.format", "/log/format", Holds::word, 0, 0, 1, {"text", "text", "json", "json"}},
      {"log.access", "/log/access", Holds::flag},
      {"log.most_per_s", "/log/mostPerSecond", Holds::whole, 0, 1000000},
      {"membership.listen", "/membership/listen", Holds::endpoint},
      {"membership.advertise", "/membership/advertise", Holds::endpoint},
      {"membership.fleet", "/membership/fleet", Holds::text},
      {"membership.region", "/membership/region", Holds::text},
      {"membership.seeds", "/membership/seeds", Holds::texts},
      {"membership.period_ms", "/membership/periodNs", Holds::whole, 10, 60000, kMs},
      {"fleet.gateways", "/settings/groupSize", Holds::whole, 1, kMostWhole},
      {"fleet.number", "/settings/myNumber", Holds::whole, 0, kMostWhole},
      {"fleet.zone", "/settings/zone", Holds::text},
      {"fleet.weights",
       "/settings/weights",
       Holds::word,
       0,
       0,
       1,
       {"none", "none", "live", "live", "nominal", "nominal", "rough", "rough"}},
      {"fleet.warm_keys", "/settings/domain/warmKeys", Holds::flag},
      {"fleet.candidates", "/settings/candidates", Holds::whole, 0, kMostWhole},
      {"fleet.step_ms", "/settings/stepNs", Holds::whole, 0, ms, kMs},
      {"fleet.over_share_worth", "/settings/overShareWorth", Holds::real, 0, 1},
      {"attempts.most", "/settings/ceilings/maxAttempts", Holds::whole, 1, kMostWhole},
      {"attempts.second_copies", "/settings/ceilings/parallelTries", Holds::flag},
      {"attempts.cancel", "/settings/ceilings/cancel", Holds::flag},
      {"attempts.connect_timeout_ms", "/settings/ceilings/connectTimeoutNs", Holds::whole, 1, ms, kMs},
      {"attempts.idle_close_ms", "/settings/ceilings/idleCloseNs", Holds::whole, 0, ms, kMs},
      {"answers.retry_after", "/settings/ceilings/retryAfter", Holds::flag},
      {"answers.max_retry_after_ms", "/settings/ceilings/maxRetryAfterNs", Holds::whole, 0, ms, kMs},
      {"rules.ask_within_ms", "/settings/rules/askWithinNs", Holds::whole, 0, ms, kMs},
      {"rules.cold_ms", "/settings/rules/coldNs", Holds::whole, 0, ms, kMs},
      {"rules.cold_share", "/settings/rules/coldShare", Holds::real, 0.001, 1},
      {"rules.fall_multiple", "/settings/rules/fallMultiple", Holds::real, 0.001, kMostNumber},
      {"rules.fall_ms", "/settings/rules/fallNs", Holds::whole, 0, ms, kMs},
      {"rules.key_rest_ms", "/settings/rules/keyRestNs", Holds::whole, 0, ms, kMs}};
  return keys;
}

const std::vector<Key>& classKeys() {
  const double ms = kYearMs;
  static const std::vector<Key> keys{
      {"name", "/name", Holds::text},
      {"aim_ms", "/aimNs", Holds::whole, 0.001, ms, kMs},
      {"give_up_ms", "/giveUpNs", Holds::whole, 0.001, ms, kMs},
      {"window_ms", "/windowNs", Holds::whole, 0, ms, kMs},
      {"worth", "/points", Holds::real, 0, kMostNumber},
      {"late_share", "/lateShare", Holds::real, 0, 1},
      {"aim_stretch", "/aimStretch", Holds::real, 0, kMostNumber},
      {"in_turn", "/inTurn", Holds::flag},
      {"effect",
       "/effect",
       Holds::word,
       0,
       0,
       1,
       {"safe", "retryable", "keyed", "dedup", "unsafe", "fragile"}},
      {"group", "/group", Holds::word, 0, 0, 1, {"all", "all", "zone", "zone", "cell", "cell"}},
      {"zones", "/staysIn", Holds::texts},
      {"kinds", "/boundTo", Holds::texts}};
  return keys;
}

const std::vector<Key>& tenantKeys() {
  static const std::vector<Key> keys{{"name", "/name", Holds::text},
                                     {"quota_per_s", "/quotaRps", Holds::real, 0, kMostNumber}};
  return keys;
}

ReadFile readFile(const std::string& path) {
  return path.ends_with(".toml") ? readToml(path) : readJson(path);
}

std::string textOf(const std::vector<Shown>& all) {
  std::string out, section;
  for (const Shown& shown : all) {
    const std::size_t dot = shown.key.rfind('.');
    const std::string within = dot == std::string::npos ? "" : shown.key.substr(0, dot);
    if (within != section) {
      const std::size_t bracket = within.find('[');
      out +=
          bracket == std::string::npos ? "\n[" + within + "]\n" : "\n[[" + within.substr(0, bracket) + "]]\n";
      section = within;
    }
    const std::string name = dot == std::string::npos ? shown.key : shown.key.substr(dot + 1);
    const bool none = shown.value == kOff || shown.value == kAny;  // no value in TOML: the key is left out
    out += (none ? "# " : "") + name + " = " + shown.value + (none ? ", " : "  # ") + shown.from + "\n";
  }
  return out;
}

std::vector<Shown> show(const Config& config, const ReadFile& file, const Environment& environment) {
  std::vector<Shown> all;
  const bool toml = !file.places.empty();
  const auto from = [&](const std::string& key, const json& within,
                        const std::string& pointer) -> std::string {
    if (const auto place = file.places.find(key); place != file.places.end())
      return place->second;
    return !toml && within.contains(json::json_pointer(pointer)) ? pointer : "default";
  };
  for (const Key& key : topKeys()) {
    const std::string name(key.toml);
    const std::string variable(variableOf(key.toml));
    const bool told = !variable.empty() && environment(variable.c_str());
    all.push_back({name, topValue(key.toml, config),
                   told ? "variable " + variable : from(name, file.json, std::string(key.json))});
  }
  const json none = json::array();
  const json& settings = file.json.contains("settings") ? file.json.at("settings") : none;
  const json& grades = settings.contains("grades") ? settings.at("grades") : none;
  for (std::size_t i = 0; i < config.module.classes.size(); ++i)
    for (const Key& key : classKeys()) {
      const std::string name = "class[" + std::to_string(i) + "]." + std::string(key.toml);
      all.push_back({name, classValue(key, config.module.classes[i]),
                     from(name, i < grades.size() ? grades[i] : none, std::string(key.json))});
    }
  for (std::size_t i = 0; i < config.module.tenants.size(); ++i) {
    const std::string prefix = "tenant[" + std::to_string(i) + "].";
    const balancer::TenantSettings& tenant = config.module.tenants[i];
    all.push_back({prefix + "name", quoted(tenant.name), from(prefix + "name", none, "/name")});
    all.push_back({prefix + "quota_per_s", plain(tenant.quotaPerSecond),
                   from(prefix + "quota_per_s", none, "/quotaRps")});
  }
  return all;
}

}  // namespace hollyrun::gateway
