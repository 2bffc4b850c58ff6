// What the gateway makes of its variables and its JSON file.
#include "gateway/config.hpp"

#include <cstdio>
#include <fstream>
#include <map>
#include <set>

#include "gateway/keys.hpp"
#include "net_peers.hpp"

namespace hollyrun::gateway::testing {
namespace {

Config parse(const json& j) {
  return parseConfig(j, [](const char*) { return nullptr; });
}

void expectBad(const json& j, const std::string& word) {
  try {
    parse(j);
    FAIL() << "taken: " << word;
  } catch (const BadConfig& bad) {
    const std::string what = bad.what();
    EXPECT_NE(what.find(word), std::string::npos) << what;
    EXPECT_EQ(what.find('\n'), std::string::npos) << "one line: " << what;
  }
}

TEST(Config, ReadsSettingsAndKnownHosts) {
  json j = configJson();
  j["known"] = {{"rev", 41}, {"all", true}, {"targets", {target("s-1", loopback(81), "b", "DRAINING")}}};
  j["settings"]["ceilings"]["streamsPerConn"] = 100;
  const Config c = parse(j);
  EXPECT_EQ(c.module.classes.size(), 3u);
  EXPECT_EQ(c.module.classes[2].idempotency, balancer::Idempotency::keyed);
  EXPECT_EQ(c.module.classes[2].deduplicationScope, balancer::DeduplicationScope::zone);
  EXPECT_EQ(c.module.classes[0].latencyObjective, std::chrono::seconds(20));
  EXPECT_EQ(c.module.seed, 0x8c1f30d27a5be964u);
  EXPECT_TRUE(c.module.pollDiscovery && c.module.cancel && !c.module.allowHedging);
  EXPECT_EQ(c.module.streamsPerConnection, 1u) << "on sockets a connection carries one request at a time";
  ASSERT_TRUE(c.known);
  EXPECT_EQ(c.known->version, 41);
  EXPECT_EQ(c.known->endpoints.at(0).state, balancer::EndpointState::draining);
}

TEST(Config, AVariableGoesBeforeTheFile) {
  const Config c = parseConfig(configJson(), [](const char* name) -> const char* {
    return std::string_view(name) == "GW_LISTEN" ? "127.0.0.2:99" : nullptr;
  });
  EXPECT_EQ(textOf(c.listen), "127.0.0.2:99");
}

// The library takes true for 1, cuts 1.5 to 1 and makes -1 a huge unsigned number: -1 descriptors were
// plenty.
TEST(Config, ANumberThatCannotBeIsNotTaken) {
  const auto with = [](const char* where, const json& value) {
    json j = configJson();
    j[json::json_pointer(where)] = value;
    return j;
  };
  const json wrong[] = {-1, 1.5, true, "7", json::array(), json::object(), 1e300, UINT64_MAX};
  for (const char* where :
       {"/limits/sockets", "/settings/groupSize", "/settings/myNumber", "/settings/stepNs",
        "/settings/ceilings/maxAttempts", "/settings/ceilings/idleCloseNs",
        "/settings/ceilings/connectTimeoutNs", "/settings/rules/coldNs", "/settings/grades/0/aimNs"}) {
    SCOPED_TRACE(where);
    for (const json& value : wrong)
      expectBad(with(where, value), std::string(where).substr(std::string(where).rfind('/') + 1));
    if (std::string_view(where) != "/settings/grades/0/aimNs")
      EXPECT_NO_THROW(parse(with(where, nullptr)));
  }
  for (const char* where : {"/limits/cores", "/limits/memory_mb", "/settings/grades/0/points",
                            "/settings/rules/coldShare", "/settings/rules/fallMultiple"})
    for (const json& value : {json(-1), json(true), json("7"), json(1e300)}) {
      SCOPED_TRACE(where);
      expectBad(with(where, value), std::string(where).substr(std::string(where).rfind('/') + 1));
    }
  expectBad(with("/limits/cores", 0), "cores");
  expectBad(with("/limits", 3), "limits");
  expectBad(with("/settings/tenants", "none"), "tenants");
  expectBad(with("/settings/tenants", {3}), "tenants");
  json j = with("/settings/groupSize", 100);
  j["settings"]["myNumber"] = 100;
  expectBad(j, "groupSize");
  j["settings"]["myNumber"] = 99;
  EXPECT_EQ(parse(j).module.replicaIndex, 99u);
}

TEST(Config, AbsentAndEmptyKeepTheDefaultAndUnknownKeysArePassedOver) {
  json j = configJson();
  j["limits"] = nullptr;
  j["known"] = nullptr;
  j["future"] = {1, 2};
  j["settings"]["tenants"] = json::array();
  j["settings"]["ceilings"]["idleCloseNs"] = 4e9;
  const Config c = parse(j);
  EXPECT_EQ(c.sockets, 1024u);
  EXPECT_FALSE(c.known);
  EXPECT_EQ(c.module.idleTimeout, std::chrono::seconds(4)) << "a whole number, however it is written";
}

TEST(EndpointList, WhatContradictsItselfIsNoList) {
  const json good = {{"rev", 3}, {"all", true}, {"targets", {target("s-1", loopback(81))}}};
  EXPECT_EQ(parseEndpointList(good).endpoints.size(), 1u);
  EXPECT_TRUE(parseEndpointList({{"rev", 3}, {"all", true}, {"targets", json::array()}}).endpoints.empty());
  const auto bad = [&](const char* where, const json& value) {
    json j = good;
    j[json::json_pointer(where)] = value;
    EXPECT_THROW(parseEndpointList(j), std::invalid_argument) << where << " " << value;
  };
  for (const json& value : {json(nullptr), json::object(), json("x"), json(0)})
    bad("/targets", value);
  bad("/targets/1", target("s-1", loopback(82)));
  json changes = good;
  changes["all"] = false;
  changes["targets"].push_back(target("s-1", loopback(81), "a", "DRAINING"));
  EXPECT_EQ(parseEndpointList(changes).endpoints.size(), 2u) << "one host may change twice";
  for (const json& value : {json(-1), json(1.5), json("3"), json(true), json(1e300)}) {
    bad("/rev", value);
    bad("/targets/0/boot_ms", value);
  }
  bad("/all", 1);
  bad("/targets/0/capacity_hint", -1);
  bad("/targets/0/endpoint", "127.0.0.1:0");
  bad("/targets/0/endpoint", "127.0.0.1:70000");
  bad("/targets/0/state", "GONE");
}

TEST(Config, SaysInOneLineWhatIsWrong) {
  expectBad(json::array(), "configuration");
  json j = configJson();
  j.erase("listen");
  expectBad(j, "GW_LISTEN");
  j = configJson();
  j["discovery"] = "nowhere";
  expectBad(j, "GW_DISCOVERY");
  j = configJson();
  j["settings"].erase("grades");
  expectBad(j, "grades");
  j = configJson();
  j["settings"]["grades"][0]["aimNs"] = "soon";
  expectBad(j, "aimNs");
  j = configJson();
  j["settings"]["grades"][0]["effect"] = "odd";
  expectBad(j, "effect");
  j = configJson();
  j["settings"]["ceilings"]["maxAttempts"] = -1;
  expectBad(j, "maxAttempts");
  j = configJson();
  j["settings"]["rules"]["coldShare"] = 0;
  expectBad(j, "coldShare");
  j = configJson();
  j["seed"] = "xyz";
  expectBad(j, "seed");
  j = configJson();
  j["limits"]["sockets"] = 3;
  expectBad(j, "sockets");
  j = configJson();
  j["known"] = {{"rev", 1}, {"targets", {{{"uid", "s-1"}, {"state", "ODD"}}}}};
  expectBad(j, "known");
}

TEST(Config, AMissingOrBrokenFileIsToldToo) {
  EXPECT_THROW(readConfig([](const char*) { return nullptr; }), BadConfig);
  EXPECT_THROW(readConfig([](const char*) { return "/nonexistent/config.json"; }), BadConfig);
  const std::string path = ::testing::TempDir() + "broken_config.json";
  std::ofstream(path) << "{";
  EXPECT_THROW(readConfig([&](const char*) { return path.c_str(); }), BadConfig);
  std::remove(path.c_str());
}

TEST(EndpointList, RefusesNonsense) {
  EXPECT_THROW(parseEndpointList(json::array()), std::invalid_argument);
  EXPECT_THROW(parseEndpointList({{"rev", 1}}), std::invalid_argument);
  EXPECT_THROW(parseEndpointList({{"rev", 1}, {"targets", {{{"uid", ""}, {"state", "SERVING"}}}}}),
               std::invalid_argument);
  EXPECT_THROW(parseEndpoint("1.2.3.4"), std::invalid_argument);
  EXPECT_THROW(parseEndpoint("1.2.3.4:99999"), std::invalid_argument);
  EXPECT_THROW(parseEndpoint("host:80"), std::invalid_argument);
}

// --- A person's file ---

class TomlFile {
 public:
  explicit TomlFile(const std::string& text)
      : path(::testing::TempDir() + "config_" + std::to_string(getpid()) + ".toml") {
    write(text);
  }
  ~TomlFile() { std::remove(path.c_str()); }
  void write(const std::string& text) const { std::ofstream(path) << text; }
  Environment environment() const {
    return
        [this](const char* name) { return std::string_view(name) == "GW_CONFIG" ? path.c_str() : nullptr; };
  }
  const std::string path;
};

constexpr const char* kToml =
    "listen = \"127.0.0.1:8080\"\ndiscovery = \"127.0.0.1:8500\"\n[fleet]\ngateways = 3\n[[class]]\n"
    "name = \"lookup\"\neffect = \"safe\"\naim_ms = 400\ngive_up_ms = 1000.5\n";

std::vector<std::string> valuesOf(const Config& config, const ReadFile& file) {
  std::vector<std::string> values;
  for (const Shown& s : show(config, file, [](const char*) -> const char* { return nullptr; }))
    values.push_back(s.key + " = " + s.value);
  return values;
}

TEST(Toml, TheExampleIsGoodAndNamesEveryKey) {
  const ReadFile file = readFile(HOLLYRUN_EXAMPLE);
  for (const Remark& r : file.faults)
    ADD_FAILURE() << r.text();
  for (const Remark& r : file.warnings)
    ADD_FAILURE() << r.text();
  std::ifstream stream(HOLLYRUN_EXAMPLE);
  const std::string text{std::istreambuf_iterator<char>(stream), {}};
  const auto mentioned = [&](std::string_view key) {  // set, or commented out with its default
    const std::string name(key.substr(key.rfind('.') + 1));
    return text.find("\n" + name + " = ") != std::string::npos ||
           text.find("\n# " + name + " = ") != std::string::npos;
  };
  for (const auto* keys : {&topKeys(), &classKeys(), &tenantKeys()})
    for (const Key& key : *keys)
      EXPECT_TRUE(mentioned(key.toml)) << key.toml;
  const Config c = parseConfig(file.json, [](const char*) { return nullptr; });
  EXPECT_EQ(c.module.classes[0].latencyObjective, std::chrono::milliseconds(400));
  EXPECT_EQ(c.module.classes[2].idempotency, balancer::Idempotency::keyed);
  EXPECT_EQ(c.memoryBytes, 64u << 20);
}

TEST(Toml, EveryFaultIsNamedWithItsLineAndUnknownKeysAreWarnedOf) {
  TomlFile toml(
      "listen = \"nowhere\"\n[limits]\nsockets = 3\nmemroy = 5\n[fleet]\ngateways = 2\nnumber = 2\n"
      "[[class]]\nname = \"a\"\neffect = \"maybe\"\naim_ms = true\ngive_up_ms = 1\n[[class]]\nname = \"a\"\n"
      "aim_ms = 9\ngive_up_ms = 8\n");
  const ReadFile file = readFile(toml.path);
  std::set<std::string> faults;
  for (const Remark& r : file.faults)
    faults.insert(r.place.substr(toml.path.size()) + " " + r.key);
  const std::set<std::string> expected{
      ":1 listen",           ":3 limits.sockets", ":7 fleet.number",        ":10 class[0].effect",
      ":11 class[0].aim_ms", ":13 class[1].name", ":16 class[1].give_up_ms"};
  EXPECT_EQ(faults, expected);
  ASSERT_EQ(file.warnings.size(), 1u);
  EXPECT_EQ(file.warnings[0].text(), toml.path + ":4: limits.memroy: unknown key, passed over");
  try {
    readConfig(toml.environment());
    FAIL() << "taken";
  } catch (const BadConfig& bad) {
    EXPECT_EQ(std::string(bad.what()).find('\n'), std::string::npos) << "one line";
  }
}

TEST(Toml, BrokenSyntaxIsNamedWithItsLine) {
  TomlFile toml("listen = \"127.0.0.1:1\"\n[limits\n");
  const ReadFile file = readFile(toml.path);
  ASSERT_EQ(file.faults.size(), 1u);
  EXPECT_EQ(file.faults[0].place, toml.path + ":2");
}

TEST(Toml, TheSameSettingsStandBehindBothForms) {
  json j = configJson();
  j["settings"]["tenants"] = {{{"name", "t"}, {"quotaRps", 7.5}}};
  ReadFile platform;
  platform.json = j;
  const Config before = parse(j);
  const std::vector<Shown> shown = show(before, platform, [](const char*) -> const char* { return nullptr; });
  TomlFile toml(textOf(shown));
  const ReadFile file = readFile(toml.path);
  for (const Remark& r : file.faults)
    ADD_FAILURE() << r.text();
  const Config after = readConfig(toml.environment());
  EXPECT_EQ(valuesOf(before, platform), valuesOf(after, file));
}

TEST(Toml, ShownSettingsTellWhereTheyComeFrom) {
  TomlFile toml(kToml);
  const ReadFile file = readFile(toml.path);
  const Environment environment = [](const char* name) {
    return std::string_view(name) == "GW_LISTEN" ? "127.0.0.1:9" : nullptr;
  };
  std::map<std::string, Shown> shown;
  for (const Shown& s : show(parseConfig(file.json, environment), file, environment))
    shown[s.key] = s;
  EXPECT_EQ(shown["listen"].from, "variable GW_LISTEN");
  EXPECT_EQ(shown["listen"].value, "\"127.0.0.1:9\"");
  EXPECT_EQ(shown["discovery"].from, toml.path + ":2");
  EXPECT_EQ(shown["fleet.gateways"].value, "3");
  EXPECT_EQ(shown["limits.sockets"].from, "default");
  EXPECT_EQ(shown["class[0].give_up_ms"].value, "1000.5");
}

TEST(Toml, ANewFileIsTakenWholeOrNotAtAll) {
  TomlFile toml(kToml);
  const Config running = readConfig(toml.environment());
  const std::string whole = kToml;
  for (const std::string& bad :
       {std::string(), whole.substr(0, whole.find("[[class]]")), whole.substr(0, whole.find("give_up_ms")),
        whole + "worth = -1\n", std::string(whole).replace(whole.find("gateways = 3"), 12, "")}) {
    toml.write(bad);
    EXPECT_THROW(readConfig(toml.environment(), &running), BadConfig) << bad;
  }
  toml.write(whole + "worth = 2\n");
  EXPECT_EQ(readConfig(toml.environment(), &running).module.classes[0].priorityWeight, 2);
}

// At the start the variable goes before the file; once running, the file tells where discovery has moved.
TEST(Toml, TheFileMovesDiscoveryOnceRunning) {
  TomlFile toml(kToml);
  const Environment inner = toml.environment();
  const Environment environment = [&](const char* name) {
    return std::string_view(name) == "GW_DISCOVERY" ? "127.0.0.1:1" : inner(name);
  };
  const Config running = readConfig(environment);
  EXPECT_EQ(running.discovery.port(), 1);
  EXPECT_EQ(readConfig(environment, &running).discovery.port(), 8500);
}

}  // namespace
}  // namespace hollyrun::gateway::testing
