// Reads the configuration from environment variables and from JSON and TOML files: values, errors and the
// settings as printed by `show`.
#include "gateway/config.hpp"

#include <cstdio>
#include <fstream>
#include <map>
#include <set>

#include "gateway/config_printer.hpp"
#include "gateway/config_schema.hpp"
#include "net_peers.hpp"

namespace hollyrun::gateway::testing {
namespace {

Config parse(const json& root) {
  return parseConfig(root, [](const char*) { return nullptr; });
}

// Expects an error with a one-line message that contains `word`.
void expectRejected(const json& root, const std::string& word) {
  try {
    parse(root);
    FAIL() << "expected an error about " << word;
  } catch (const ConfigError& error) {
    const std::string message = error.what();
    EXPECT_NE(message.find(word), std::string::npos) << message;
    EXPECT_EQ(message.find('\n'), std::string::npos) << "expected one line: " << message;
  }
}

TEST(Config, ReadsSettingsAndCachedEndpoints) {
  json root = configJson();
  root["known"] = {{"rev", 41}, {"all", true}, {"targets", {target("s-1", loopback(81), "b", "DRAINING")}}};
  root["settings"]["ceilings"]["streamsPerConn"] = 100;
  const Config config = parse(root);
  EXPECT_EQ(config.balancer.classes.size(), 3u);
  EXPECT_EQ(config.balancer.classes[2].idempotency, balancer::Idempotency::keyed);
  EXPECT_EQ(config.balancer.classes[2].deduplicationScope, balancer::DeduplicationScope::zone);
  EXPECT_EQ(config.balancer.classes[0].latencyObjective, std::chrono::seconds(20));
  EXPECT_EQ(config.balancer.seed, 0x8c1f30d27a5be964u);
  EXPECT_TRUE(config.balancer.pollDiscovery && config.balancer.cancel && !config.balancer.allowHedging);
  EXPECT_EQ(config.balancer.streamsPerConnection, 1u)
      << "over sockets a connection carries one request at a time";
  ASSERT_TRUE(config.cachedEndpoints);
  EXPECT_EQ(config.cachedEndpoints->version, 41);
  EXPECT_EQ(config.cachedEndpoints->endpoints.at(0).state, balancer::EndpointState::draining);
}

TEST(Config, VariableOverridesTheFile) {
  const Config config = parseConfig(configJson(), [](const char* name) -> const char* {
    return std::string_view(name) == "GW_LISTEN" ? "127.0.0.2:99" : nullptr;
  });
  EXPECT_EQ(textOf(config.listen), "127.0.0.2:99");
}

// The JSON library converts true to 1, 1.5 to 1 and -1 to a huge unsigned number, so that a limit of -1
// sockets would allow an almost unlimited number.
TEST(Config, NumberOfWrongTypeOrRangeIsRejected) {
  const auto with = [](const char* where, const json& value) {
    json root = configJson();
    root[json::json_pointer(where)] = value;
    return root;
  };
  const json wrong[] = {-1, 1.5, true, "7", json::array(), json::object(), 1e300, UINT64_MAX};
  for (const char* where :
       {"/limits/sockets", "/settings/groupSize", "/settings/myNumber", "/settings/stepNs",
        "/settings/ceilings/maxAttempts", "/settings/ceilings/idleCloseNs",
        "/settings/ceilings/connectTimeoutNs", "/settings/rules/coldNs", "/settings/grades/0/aimNs"}) {
    SCOPED_TRACE(where);
    for (const json& value : wrong)
      expectRejected(with(where, value), std::string(where).substr(std::string(where).rfind('/') + 1));
    if (std::string_view(where) != "/settings/grades/0/aimNs")
      EXPECT_NO_THROW(parse(with(where, nullptr)));
  }
  for (const char* where : {"/limits/cores", "/limits/memory_mb", "/settings/grades/0/points",
                            "/settings/rules/coldShare", "/settings/rules/fallMultiple"})
    for (const json& value : {json(-1), json(true), json("7"), json(1e300)}) {
      SCOPED_TRACE(where);
      expectRejected(with(where, value), std::string(where).substr(std::string(where).rfind('/') + 1));
    }
  expectRejected(with("/limits/cores", 0), "cores");
  expectRejected(with("/limits", 3), "limits");
  expectRejected(with("/settings/tenants", "none"), "tenants");
  expectRejected(with("/settings/tenants", {3}), "tenants");
  json root = with("/settings/groupSize", 100);
  root["settings"]["myNumber"] = 100;
  expectRejected(root, "groupSize");
  root["settings"]["myNumber"] = 99;
  EXPECT_EQ(parse(root).balancer.replicaIndex, 99u);
}

TEST(Config, AbsentAndNullKeepTheDefaultAndUnknownKeysAreIgnored) {
  json root = configJson();
  root["limits"] = nullptr;
  root["known"] = nullptr;
  root["future"] = {1, 2};
  root["settings"]["tenants"] = json::array();
  root["settings"]["ceilings"]["idleCloseNs"] = 4e9;
  const Config config = parse(root);
  EXPECT_EQ(config.sockets, 1024u);
  EXPECT_FALSE(config.cachedEndpoints);
  EXPECT_EQ(config.balancer.idleTimeout, std::chrono::seconds(4)) << "4e9 is a whole number";
}

TEST(Config, ErrorIsOneLineThatNamesTheKey) {
  expectRejected(json::array(), "configuration");
  json root = configJson();
  root.erase("listen");
  expectRejected(root, "GW_LISTEN");
  root = configJson();
  root["discovery"] = "nowhere";
  expectRejected(root, "GW_DISCOVERY");
  root = configJson();
  root["settings"].erase("grades");
  expectRejected(root, "grades");
  root = configJson();
  root["settings"]["grades"][0]["aimNs"] = "soon";
  expectRejected(root, "aimNs");
  root = configJson();
  root["settings"]["grades"][0]["effect"] = "odd";
  expectRejected(root, "effect");
  root = configJson();
  root["settings"]["ceilings"]["maxAttempts"] = -1;
  expectRejected(root, "maxAttempts");
  root = configJson();
  root["settings"]["rules"]["coldShare"] = 0;
  expectRejected(root, "coldShare");
  root = configJson();
  root["seed"] = "xyz";
  expectRejected(root, "seed");
  root = configJson();
  root["limits"]["sockets"] = 3;
  expectRejected(root, "sockets");
  root = configJson();
  root["known"] = {{"rev", 1}, {"targets", {{{"uid", "s-1"}, {"state", "ODD"}}}}};
  expectRejected(root, "known");
}

TEST(Config, MissingOrBrokenFileIsAnError) {
  EXPECT_THROW(readConfig([](const char*) { return nullptr; }), ConfigError);
  EXPECT_THROW(readConfig([](const char*) { return "/nonexistent/config.json"; }), ConfigError);
  const std::string path = ::testing::TempDir() + "broken_config.json";
  std::ofstream(path) << "{";
  EXPECT_THROW(readConfig([&](const char*) { return path.c_str(); }), ConfigError);
  std::remove(path.c_str());
}

// --- TOML ---

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

constexpr const char* kValidToml =
    "listen = \"127.0.0.1:8080\"\ndiscovery = \"127.0.0.1:8500\"\n[fleet]\ngateways = 3\n[[class]]\n"
    "name = \"lookup\"\neffect = \"safe\"\naim_ms = 400\ngive_up_ms = 1000.5\n";

std::vector<std::string> valuesOf(const Config& config, const ParsedConfigFile& file) {
  std::vector<std::string> values;
  for (const EffectiveSetting& setting :
       effectiveSettings(config, file, [](const char*) -> const char* { return nullptr; }))
    values.push_back(setting.key + " = " + setting.value);
  return values;
}

TEST(Toml, ExampleIsValidAndNamesEveryKey) {
  const ParsedConfigFile file = readConfigFile(HOLLYRUN_EXAMPLE);
  for (const Diagnostic& diagnostic : file.errors)
    ADD_FAILURE() << diagnostic.text();
  for (const Diagnostic& diagnostic : file.warnings)
    ADD_FAILURE() << diagnostic.text();
  std::ifstream stream(HOLLYRUN_EXAMPLE);
  const std::string text{std::istreambuf_iterator<char>(stream), {}};
  // Whether the key is set, or commented out with its default.
  const auto mentioned = [&](std::string_view key) {
    const std::string name(key.substr(key.rfind('.') + 1));
    return text.find("\n" + name + " = ") != std::string::npos ||
           text.find("\n# " + name + " = ") != std::string::npos;
  };
  for (const auto keys : {globalKeys(), classKeys(), tenantKeys()})
    for (const SettingKey& key : keys)
      EXPECT_TRUE(mentioned(key.toml)) << key.toml;
  const Config config = parseConfig(file.json, [](const char*) { return nullptr; });
  EXPECT_EQ(config.balancer.classes[0].latencyObjective, std::chrono::milliseconds(400));
  EXPECT_EQ(config.balancer.classes[2].idempotency, balancer::Idempotency::keyed);
  EXPECT_EQ(config.memoryBytes, 64u << 20);
}

TEST(Toml, EveryErrorHasItsLineAndAnUnknownKeyIsAWarning) {
  TomlFile toml(
      "listen = \"nowhere\"\n[limits]\nsockets = 3\nmemroy = 5\n[fleet]\ngateways = 2\nnumber = 2\n"
      "[[class]]\nname = \"a\"\neffect = \"maybe\"\naim_ms = true\ngive_up_ms = 1\n[[class]]\nname = \"a\"\n"
      "aim_ms = 9\ngive_up_ms = 8\n");
  const ParsedConfigFile file = readConfigFile(toml.path);
  std::set<std::string> errors;
  for (const Diagnostic& diagnostic : file.errors)
    errors.insert(diagnostic.location.substr(toml.path.size()) + " " + diagnostic.key);
  const std::set<std::string> expected{
      ":1 listen",           ":3 limits.sockets", ":7 fleet.number",        ":10 class[0].effect",
      ":11 class[0].aim_ms", ":13 class[1].name", ":16 class[1].give_up_ms"};
  EXPECT_EQ(errors, expected);
  ASSERT_EQ(file.warnings.size(), 1u);
  EXPECT_EQ(file.warnings[0].text(), toml.path + ":4: limits.memroy: unknown key, ignored");
  try {
    readConfig(toml.environment());
    FAIL() << "expected a ConfigError";
  } catch (const ConfigError& error) {
    EXPECT_EQ(std::string(error.what()).find('\n'), std::string::npos)
        << "expected one line: " << error.what();
  }
}

TEST(Toml, SyntaxErrorHasItsLine) {
  TomlFile toml("listen = \"127.0.0.1:1\"\n[limits\n");
  const ParsedConfigFile file = readConfigFile(toml.path);
  ASSERT_EQ(file.errors.size(), 1u);
  EXPECT_EQ(file.errors[0].location, toml.path + ":2");
}

TEST(Toml, PrintedJsonSettingsAreReadBackTheSame) {
  json root = configJson();
  root["settings"]["tenants"] = {{{"name", "t"}, {"quotaRps", 7.5}}};
  ParsedConfigFile platformFile;
  platformFile.json = root;
  const Config before = parse(root);
  const std::vector<EffectiveSetting> shown =
      effectiveSettings(before, platformFile, [](const char*) -> const char* { return nullptr; });
  TomlFile toml(tomlText(shown));
  const ParsedConfigFile file = readConfigFile(toml.path);
  for (const Diagnostic& diagnostic : file.errors)
    ADD_FAILURE() << diagnostic.text();
  const Config after = readConfig(toml.environment());
  EXPECT_EQ(valuesOf(before, platformFile), valuesOf(after, file));
}

TEST(Toml, EffectiveSettingsHaveTheirOrigin) {
  TomlFile toml(kValidToml);
  const ParsedConfigFile file = readConfigFile(toml.path);
  const Environment environment = [](const char* name) {
    return std::string_view(name) == "GW_LISTEN" ? "127.0.0.1:9" : nullptr;
  };
  std::map<std::string, EffectiveSetting> shown;
  for (const EffectiveSetting& setting :
       effectiveSettings(parseConfig(file.json, environment), file, environment))
    shown[setting.key] = setting;
  EXPECT_EQ(shown["listen"].origin, "variable GW_LISTEN");
  EXPECT_EQ(shown["listen"].value, "\"127.0.0.1:9\"");
  EXPECT_EQ(shown["discovery"].origin, toml.path + ":2");
  EXPECT_EQ(shown["fleet.gateways"].value, "3");
  EXPECT_EQ(shown["limits.sockets"].origin, "default");
  EXPECT_EQ(shown["class[0].give_up_ms"].value, "1000.5");
}

TEST(ConfigError, OfAnInvalidFileHasCodeKeyAndLocationOfTheFirstError) {
  TomlFile toml(std::string("fleet.number = 7\n") + "listen = \"nowhere\"\n");
  try {
    readConfig(toml.environment());
    FAIL() << "expected a ConfigError";
  } catch (const ConfigError& error) {
    EXPECT_EQ(error.code(), ConfigErrorCode::malformedValue);
    EXPECT_EQ(error.key(), "listen");
    EXPECT_EQ(error.location(), toml.path + ":2");
  }
}

TEST(ConfigError, OfAnInvalidSettingHasCodeKeyAndFile) {
  TomlFile toml(std::string("seed = \"xyz\"\n") + kValidToml);
  try {
    readConfig(toml.environment());
    FAIL() << "expected a ConfigError";
  } catch (const ConfigError& error) {
    EXPECT_EQ(error.code(), ConfigErrorCode::malformedValue);
    EXPECT_EQ(error.key(), "seed");
    EXPECT_EQ(error.location(), toml.path);
    EXPECT_STREQ(error.what(), "seed: expected a hexadecimal number of up to 64 bits, got 'xyz'");
  }
}

TEST(Toml, InvalidReplacementIsRejectedAsAWhole) {
  TomlFile toml(kValidToml);
  const Config running = readConfig(toml.environment());
  const std::string valid = kValidToml;
  for (const std::string& invalid :
       {std::string(), valid.substr(0, valid.find("[[class]]")), valid.substr(0, valid.find("give_up_ms")),
        valid + "worth = -1\n", std::string(valid).replace(valid.find("gateways = 3"), 12, "")}) {
    toml.write(invalid);
    EXPECT_THROW(readConfig(toml.environment(), &running), ConfigError) << invalid;
  }
  toml.write(valid + "worth = 2\n");
  EXPECT_EQ(readConfig(toml.environment(), &running).balancer.classes[0].priorityWeight, 2);
}

// At the start the variable overrides the file; at a reload the file has the current address of discovery.
TEST(Toml, DiscoveryInTheFileOverridesTheVariableAtAReload) {
  TomlFile toml(kValidToml);
  const Environment fileOnly = toml.environment();
  const Environment environment = [&](const char* name) {
    return std::string_view(name) == "GW_DISCOVERY" ? "127.0.0.1:1" : fileOnly(name);
  };
  const Config running = readConfig(environment);
  EXPECT_EQ(running.discovery.port(), 1);
  EXPECT_EQ(readConfig(environment, &running).discovery.port(), 8500);
}

}  // namespace
}  // namespace hollyrun::gateway::testing
