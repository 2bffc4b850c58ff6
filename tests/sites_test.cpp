// Settings of other deployments: the examples in deploy/sites, invalid settings, and unusual but valid ones.
#include <toml++/toml.h>

#include "gateway_fixture.hpp"

namespace hollyrun::gateway::testing {
namespace {

class Sites : public GatewayTest {
 protected:
  json& classEntry(std::size_t i) { return config["settings"]["grades"][i]; }
};

class SiteFiles : public Sites, public ::testing::WithParamInterface<const char*> {
 protected:
  // Sets the configuration that the platform would give a gateway of this site.
  void applySite(const toml::table& site) {
    json& settings = config["settings"];
    settings["grades"] = json::array();
    const auto nanoseconds = [](const toml::table& table, const char* key) {
      return table[key].value_or(std::int64_t{0}) * 1'000'000;
    };
    for (const auto& node : *site["class"].as_array()) {
      const toml::table& siteClass = *node.as_table();
      const std::string idempotency = siteClass["effect"].value_or(std::string());
      json entry = {{"name", siteClass["name"].value_or(std::string())},
                    {"effect", idempotency == "safe"    ? "retryable"
                               : idempotency == "keyed" ? "dedup"
                                                        : "fragile"},
                    {"aimNs", nanoseconds(siteClass, "aim_ms")},
                    {"giveUpNs", nanoseconds(siteClass, "deadline_ms")},
                    {"points", siteClass["worth"].value_or(1.0)},
                    {"lateShare", siteClass["late_worth"].value_or(0.0)}};
      if (idempotency == "keyed") {
        entry["group"] = siteClass["group"].value_or(std::string());
        entry["windowNs"] = nanoseconds(siteClass, "window_ms");
      }
      settings["grades"].push_back(entry);
    }
    settings["ceilings"]["cancel"] = site["allow"]["cancel"].value_or(true);
    settings["ceilings"]["maxAttempts"] = site["allow"]["max_attempts"].value_or(3);
    settings["ceilings"]["parallelTries"] = site["allow"]["second_copies"].value_or(false);
    settings["ceilings"]["retryAfter"] = site["allow"]["retry_after"].value_or(false);
    settings["zone"] = site["net"]["zones"][0].value_or(std::string());
  }
  std::string requestOf(const json& entry) {
    const std::string name = entry["name"];
    const std::string id = std::to_string(++serial);
    const std::string idempotency = entry["effect"];
    const std::string head =
        " /" + name + " HTTP/1.1\r\nHost: x\r\nX-Class: " + name + "\r\nX-Request-Id: r" + id + "\r\n";
    if (idempotency == "retryable")
      return "GET" + head + "\r\n";
    return "POST" + head + (idempotency == "dedup" ? "Idempotency-Key: k" + id + "\r\n" : "") +
           "Content-Length: 2\r\n\r\nhi";
  }
};

TEST_P(SiteFiles, GatewayServesEveryClassOfTheSite) {
  const toml::table site = toml::parse_file(std::string(HOLLYRUN_SITES) + "/" + GetParam());
  applySite(site);
  ASSERT_GE(config["settings"]["grades"].size(), 2u);
  for (auto& entry : config["settings"]["grades"])
    entry["aimNs"] = entry["giveUpNs"] = 20'000'000'000;  // long enough for a slow test machine
  twoHosts(always(answerText(200, "", "ok")));
  for (const auto& entry : config["settings"]["grades"])
    EXPECT_EQ(ask(requestOf(entry)).result_int(), 200u) << entry;
  EXPECT_EQ(ask("GET /lookup HTTP/1.1\r\nHost: x\r\nX-Request-Id: r\r\n\r\n").result_int(), 404u)
      << "classes of other deployments are unknown";
}

TEST_P(SiteFiles, ResetAttemptIsRetriedOnlyAsTheIdempotencyOfTheClassAllows) {
  const toml::table site = toml::parse_file(std::string(HOLLYRUN_SITES) + "/" + GetParam());
  applySite(site);
  for (auto& entry : config["settings"]["grades"])
    entry["aimNs"] = entry["giveUpNs"] = 20'000'000'000;
  twoHosts([](PeerConnection& connection, std::size_t) { connection.reset(); });
  for (const auto& entry : config["settings"]["grades"]) {
    reached.clear();
    EXPECT_GE(ask(requestOf(entry)).result_int(), 500u);
    EXPECT_LE(reached.size(), config["settings"]["ceilings"]["maxAttempts"].get<std::size_t>());
    if (entry["effect"] == "fragile")
      EXPECT_EQ(reached.size(), 1u) << entry;
  }
}

INSTANTIATE_TEST_SUITE_P(Sites, SiteFiles, ::testing::Values("short-deadlines.toml", "two-classes.toml"),
                         [](const auto& tested) {
                           return std::string(tested.param) == "two-classes.toml" ? "TwoClasses"
                                                                                  : "ShortDeadlines";
                         });

TEST_F(Sites, InvalidSettingsAreRejectedAsAWholeAndTheRunningOnesStay) {
  twoHosts(always(answerText(200, "", "ok")));
  const Config running = parsed(config);
  const std::vector<std::pair<const char*, std::function<void(json&)>>> invalid = {
      {"an unknown effect", [](json& c) { c["settings"]["grades"][0]["effect"] = "sometimes"; }},
      {"an unknown group", [](json& c) { c["settings"]["grades"][2]["group"] = "planet"; }},
      {"a negative limit", [](json& c) { c["limits"]["sockets"] = -1; }},
      {"a negative window", [](json& c) { c["settings"]["grades"][2]["windowNs"] = -1; }},
      {"a client timeout of zero", [](json& c) { c["settings"]["grades"][0]["giveUpNs"] = 0; }},
      {"a cold share above 1", [](json& c) { c["settings"]["rules"]["coldShare"] = 1.5; }},
      {"a key of the wrong type", [](json& c) { c["settings"]["grades"][1]["aimNs"] = "soon"; }},
      {"classes that are not a list", [](json& c) { c["settings"]["grades"] = 7; }},
      {"two classes with the same name", [](json& c) { c["settings"]["grades"][1]["name"] = "read"; }},
      {"no class", [](json& c) { c["settings"]["grades"] = json::array(); }},
      {"a maximum of zero attempts", [](json& c) { c["settings"]["ceilings"]["maxAttempts"] = 0; }},
      {"a connect timeout of zero", [](json& c) { c["settings"]["ceilings"]["connectTimeoutNs"] = 0; }},
  };
  for (const auto& [description, invalidate] : invalid) {
    json changed = config;
    invalidate(changed);
    EXPECT_THROW(parseConfig(changed, noVariables, &running), ConfigError) << description << ", at a reload";
    EXPECT_THROW(parsed(changed), ConfigError) << description << ", at the start";
  }
  EXPECT_EQ(ask(text("read")).result_int(), 200u);
}

TEST_F(Sites, UnusualButValidSettingsAreServed) {
  // Shorter than the gateway's margin for writing the response.
  classEntry(0)["aimNs"] = classEntry(0)["giveUpNs"] = 5'000'000;
  classEntry(2)["windowNs"] = 1;
  twoHosts(always(answerText(200, "", "ok")));
  EXPECT_EQ(ask(text("read")).result_int(), 503u)
      << "expected a rejection in time, because no attempt can succeed";
  EXPECT_EQ(ask(text("put")).result_int(), 200u);
  EXPECT_EQ(ask(text("write")).result_int(), 200u);
}

TEST_F(Sites, SingleClassIsServedAndARequestOfARemovedClassIsAnswered404) {
  twoHosts(always(answerText(200, "", "ok")));
  EXPECT_EQ(ask(text("put")).result_int(), 200u);
  config["settings"]["grades"] = json::array({classJson("read", "retryable")});
  reload();
  EXPECT_EQ(ask(text("read")).result_int(), 200u);
  EXPECT_EQ(ask(text("put")).result_int(), 404u);
}

}  // namespace
}  // namespace hollyrun::gateway::testing
