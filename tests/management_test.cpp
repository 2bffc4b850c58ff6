// The operators' side: the management address, its figures, and what they count.
#include "gateway_fixture.hpp"

namespace hollyrun::gateway::testing {
namespace {

class ManagementTest : public GatewayTest {
 protected:
  ManagementTest() { config["management"] = "127.0.0.1:0"; }

  std::shared_ptr<Client> caller() { return Client::connect(io, gateway->management().value()); }
  Response call(const std::string& text) {
    auto c = caller();
    c->send(text);
    EXPECT_TRUE(until([&] { return !c->answers.empty() && c->closedByPeer; }));
    return c->answers.empty() ? Response{} : c->answers.front();
  }
  Response get(const std::string& target) { return call("GET " + target + " HTTP/1.1\r\nHost: x\r\n\r\n"); }
  // The value of one figure; -1 if it is not shown.
  long figure(const std::string& name) {
    const std::string text = "\n" + get("/ops/stats").body(), line = "\napp." + name + "=";
    const auto at = text.find(line);
    return at == std::string::npos ? -1 : std::stol(text.substr(at + line.size()));
  }
};

TEST_F(ManagementTest, IsOffWithoutAnAddress) {
  config.erase("management");
  addHost("a", always(answerText(200, "", "")));
  start();
  EXPECT_FALSE(gateway->management());
}

TEST_F(ManagementTest, IsReadyWhileItAcceptsClients) {
  addHost("a", always(answerText(200, "", "")));
  start();
  EXPECT_EQ(get("/ops/readiness").result_int(), 200u);
  bool drained = false;
  gateway->shutDown([&] { drained = true; });
  EXPECT_EQ(get("/ops/readiness").result_int(), 503u);
  EXPECT_TRUE(until([&] { return drained; }));
}

TEST_F(ManagementTest, ServesFiguresAndDurationsAsPrometheusText) {
  addHost("a", always(answerText(200, "", "served")));
  start();
  for (int i = 0; i < 3; ++i)
    EXPECT_EQ(ask(text("read")).result_int(), 200u);
  EXPECT_EQ(ask("GET /read HTTP/1.1\r\nHost: x\r\n\r\n").result_int(), 400u) << "no id";
  const Response answer = get("/metrics");
  EXPECT_EQ(answer.result_int(), 200u);
  EXPECT_EQ(answer["Content-Type"], "text/plain; version=0.0.4; charset=utf-8");
  const std::string& text = answer.body();
  const auto has = [&](const std::string& line) {
    return ("\n" + text).find("\n" + line + "\n") != std::string::npos;
  };
  EXPECT_TRUE(has("# TYPE hollyrun_request_seconds histogram")) << text;
  EXPECT_TRUE(has("hollyrun_requests_total{class=\"read\",outcome=\"success\"} 3")) << text;
  EXPECT_TRUE(has("hollyrun_requests_total{class=\"read\",outcome=\"failure\"} 1"));
  EXPECT_TRUE(has("hollyrun_request_seconds_count{class=\"read\",outcome=\"success\"} 3"));
  EXPECT_TRUE(has("hollyrun_request_seconds_count{class=\"read\",outcome=\"failure\"} 0")) << "it never ran";
  EXPECT_TRUE(has("hollyrun_request_seconds_bucket{class=\"read\",outcome=\"success\",le=\"+Inf\"} 3"));
  EXPECT_TRUE(has("hollyrun_backend_calls_total 3"));
  EXPECT_TRUE(has("hollyrun_inflight 0"));
  EXPECT_TRUE(has("hollyrun_hosts_listed 1"));
}

TEST_F(ManagementTest, ServesOnlyTheDocumentedPaths) {
  addHost("a", always(answerText(200, "", "")));
  start();
  EXPECT_EQ(get("/ops/other").result_int(), 404u);
  const Response post = call("POST /ops/stats HTTP/1.1\r\nHost: x\r\nContent-Length: 0\r\n\r\n");
  EXPECT_EQ(post.result_int(), 405u);
  EXPECT_EQ(post["Allow"], "GET");
  EXPECT_EQ(call("nonsense\r\n\r\n").result_int(), 400u);
  EXPECT_EQ(call("GET /ops/stats HTTP/1.1\r\nX: " + std::string(20000, 'x') + "\r\n\r\n").result_int(), 400u);
  EXPECT_EQ(ask("GET /ops/stats HTTP/1.1\r\nHost: x\r\nX-Request-Id: 1\r\n\r\n").result_int(), 404u)
      << "not served at the clients' address";
  EXPECT_TRUE(hosts[0]->requests.empty());
}

TEST_F(ManagementTest, AnswersWhileOtherClientsHoldTheirConnections) {
  addHost("a", always(answerText(200, "", "")));
  start();
  std::vector<std::shared_ptr<Client>> silent;
  for (std::size_t i = 0; i < 3 * Management::kMaxConnections; ++i) {
    silent.push_back(caller());
    if (i % 2)
      silent.back()->send("GET /ops/st");
    EXPECT_EQ(get("/ops/readiness").result_int(), 200u) << i;
  }
  EXPECT_TRUE(silent.front()->closedByPeer) << "the oldest made room";
}

TEST_F(ManagementTest, AConnectionWithoutACompleteRequestIsClosedInTime) {
  addHost("a", always(answerText(200, "", "")));
  start();
  Management short_lived(io, loopback(),
                         {[] { return true; }, [] { return std::string(); }, [] { return std::string(); }},
                         std::chrono::milliseconds(50));
  auto c = Client::connect(io, short_lived.listening());
  c->send("GET /ops/stats HT");
  EXPECT_TRUE(until([&] { return c->closedByPeer; }));
}

TEST_F(ManagementTest, EveryFigureIsReportedFromTheStart) {
  addHost("a", always(answerText(200, "", "")));
  start();
  for (const std::string cls : {"read", "write", "put"})
    for (const std::string name : {"success.", "busy.", "failure."})
      EXPECT_EQ(figure(name + cls), 0);
  for (const std::string name : {"backend_calls", "inflight", "hosts_down", "reconfig_ok", "reconfig_failed"})
    EXPECT_EQ(figure(name), 0) << name;
  EXPECT_EQ(figure("hosts_listed"), 1);
  EXPECT_EQ(get("/ops/stats")["Content-Type"].substr(0, 10), "text/plain");
}

TEST_F(ManagementTest, FiguresMatchWhatThePeersSaw) {
  addHost("a", [](PeerConnection& c, std::size_t n) {
    if (n == 0)
      c.reply(answerText(200, "", "x"));
    else if (n == 1)
      c.reply(answerText(500, "", ""));
    else if (c.request.target() == "/write")
      c.reply(answerText(503, kNotRun, ""));
  });
  start();
  EXPECT_EQ(ask(text("read")).result_int(), 200u);
  EXPECT_EQ(ask(text("write")).result_int(), 502u);
  EXPECT_EQ(ask(text("write")).result_int(), 503u);  // full, and there is no other host
  EXPECT_EQ(ask("GET /put HTTP/1.1\r\nHost: x\r\nX-Request-Id: 1\r\n\r\n").result_int(), 405u);
  EXPECT_EQ(ask("GET /none HTTP/1.1\r\nHost: x\r\nX-Request-Id: 1\r\n\r\n").result_int(), 404u);
  EXPECT_EQ(figure("success.read"), 1);
  EXPECT_EQ(figure("failure.write"), 1);
  EXPECT_EQ(figure("busy.write"), 1);
  EXPECT_EQ(figure("failure.put"), 1);
  EXPECT_EQ(figure("failure.read"), 0);
  EXPECT_EQ(figure("backend_calls"), static_cast<long>(reached.size()));
  EXPECT_EQ(figure("inflight"), 0);

  auto c = client();
  c->send(text("read"));  // the host holds it
  const std::size_t before = reached.size();
  ASSERT_TRUE(until([&] { return reached.size() > before; }));
  EXPECT_EQ(figure("inflight"), 1);
  c->close();
  ASSERT_TRUE(until([&] { return figure("inflight") == 0; }));
}

TEST_F(ManagementTest, HostsDownCountsTheUnavailableOnes) {
  const auto gone = addHost("a", always(answerText(200, "", "")));
  addHost("a", always(answerText(200, "", "")));
  hosts[0]->stopListening();
  start();
  EXPECT_EQ(figure("hosts_down"), 0);
  // Asked until the one that refuses connections was met.
  ASSERT_TRUE(until([&] {
    EXPECT_EQ(ask(text("read")).result_int(), 200u);
    return figure("hosts_down") == 1;
  }));
  EXPECT_EQ(figure("hosts_listed"), 2);
  discovery.push({{"all", false}, {"targets", {target("s-0", gone, "a", "DELETED")}}});
  EXPECT_TRUE(until([&] { return figure("hosts_listed") == 1 && figure("hosts_down") == 0; }));
}

// --- Settings that change -------------------------------------------------------------------------------

TEST_F(ManagementTest, AReloadAddsAndRemovesClassesAndRequestsInFlightKeepTheirs) {
  std::vector<std::shared_ptr<PeerConnection>> held;
  const auto script = [&](PeerConnection& c, std::size_t) {
    if (c.request.target() == "/read")
      return held.push_back(c.shared_from_this());
    c.reply(answerText(200, "", "x"));
  };
  addHost("a", script);
  addHost("a", script);
  start();
  auto before = client();
  before->send(text("read"));
  ASSERT_TRUE(until([&] { return held.size() == 1; }));
  // The class comes back with a stricter effect, another one is new, a third is gone.
  config["settings"]["grades"] =
      json::array({classJson("read", "fragile"), classJson("extra", "fragile"), classJson("put", "dedup")});
  reload();
  EXPECT_EQ(figure("reconfig_ok"), 1);
  EXPECT_EQ(ask(text("extra")).result_int(), 200u);
  EXPECT_EQ(ask(text("write")).result_int(), 404u);
  EXPECT_EQ(figure("success.extra"), 1);
  EXPECT_EQ(figure("failure.write"), 1) << "a vanished class shows on";
  // A new one of the class is treated by its new effect, the one under way by the old: it may run again.
  auto after = client();
  after->send("POST /read HTTP/1.1\r\nHost: x\r\nX-Request-Id: n\r\nContent-Length: 0\r\n\r\n");
  ASSERT_TRUE(until([&] { return held.size() == 2; }));
  held[1]->reset();
  ASSERT_TRUE(until([&] { return after->answers.size() == 1; }));
  EXPECT_EQ(after->answers[0].result_int(), 502u);
  held[0]->reset();
  ASSERT_TRUE(until([&] { return held.size() == 3; }));
  held[2]->reply(answerText(200, "", "again"));
  ASSERT_TRUE(until([&] { return before->answers.size() == 1; }));
  EXPECT_EQ(before->answers[0].body(), "again");
}

TEST_F(ManagementTest, FewerAttemptsApplyFromTheReloadOn) {
  twoHosts([](PeerConnection& c, std::size_t) { c.reply(answerText(500, "", "")); });
  EXPECT_NE(ask(text("read")).result_int(), 200u);
  EXPECT_GT(reached.size(), 1u);
  config["settings"]["ceilings"]["maxAttempts"] = 1;
  reload();
  reached.clear();
  EXPECT_NE(ask(text("read")).result_int(), 200u);
  EXPECT_EQ(reached.size(), 1u);
}

TEST_F(ManagementTest, ServesThroughAThousandReloads) {
  twoHosts(always(answerText(200, "", "x")));
  for (int i = 0; i < 1000; ++i) {
    config["settings"]["grades"][0]["points"] = 1 + i % 7;
    reload();
  }
  EXPECT_EQ(ask(text("read")).result_int(), 200u);
  EXPECT_EQ(figure("reconfig_ok"), 1000);
}

TEST_F(ManagementTest, NothingIsAppliedFromAnInvalidFile) {
  addHost("a", always(answerText(200, "", "x")));
  start();
  const Config running = parsed(config);
  const auto broken = [&](const char* why, auto change) {
    json file = config;
    change(file);
    EXPECT_THROW(parseConfig(file, noVariables, &running), ConfigError) << why;
  };
  broken("no deadline", [](json& f) { f["settings"]["grades"][1].erase("giveUpNs"); });
  broken("no class", [](json& f) { f["settings"]["grades"] = json::array(); });
  broken("no attempts", [](json& f) { f["settings"]["ceilings"].erase("maxAttempts"); });
  broken("no rules", [](json& f) { f["settings"].erase("rules"); });
  broken("no discovery", [](json& f) { f.erase("discovery"); });
  for (const json& bad : {json(0), json(-1), json("soon"), json(nullptr), json(true), json(0.5)}) {
    broken("deadline", [&](json& f) { f["settings"]["grades"][0]["giveUpNs"] = bad; });
    broken("aim", [&](json& f) { f["settings"]["grades"][0]["aimNs"] = bad; });
    broken("attempts", [&](json& f) { f["settings"]["ceilings"]["maxAttempts"] = bad; });
  }
  json whole = config;
  whole.erase("known");  // needed at a start only
  EXPECT_NO_THROW(parseConfig(whole, noVariables, &running));
}

}  // namespace
}  // namespace hollyrun::gateway::testing
