// The management endpoint (readiness, statistics, metrics) and configuration reloads.
#include "gateway_fixture.hpp"

namespace hollyrun::gateway::testing {
namespace {

class ManagementTest : public GatewayTest {
 protected:
  ManagementTest() { config["management"] = "127.0.0.1:0"; }

  std::shared_ptr<Client> connectToManagement() { return Client::connect(io, gateway->management().value()); }
  // Sends the text on a new connection and returns the response. The gateway has to close the connection.
  Response exchange(const std::string& text) {
    auto connection = connectToManagement();
    connection->send(text);
    EXPECT_TRUE(until([&] { return !connection->answers.empty() && connection->closedByPeer; }));
    return connection->answers.empty() ? Response{} : connection->answers.front();
  }
  Response get(const std::string& target) {
    return exchange("GET " + target + " HTTP/1.1\r\nHost: x\r\n\r\n");
  }
  // Returns the value of a figure of /ops/stats, or -1 if it is missing.
  long figure(const std::string& name) {
    const std::string text = "\n" + get("/ops/stats").body(), line = "\napp." + name + "=";
    const auto at = text.find(line);
    return at == std::string::npos ? -1 : std::stol(text.substr(at + line.size()));
  }
};

TEST_F(ManagementTest, IsDisabledWithoutAnAddress) {
  config.erase("management");
  addHost("a", always(answerText(200, "", "")));
  start();
  EXPECT_FALSE(gateway->management());
}

TEST_F(ManagementTest, IsReadyUntilTheShutdown) {
  addHost("a", always(answerText(200, "", "")));
  start();
  EXPECT_EQ(get("/ops/readiness").result_int(), 200u);
  bool drained = false;
  gateway->shutDown([&] { drained = true; });
  EXPECT_EQ(get("/ops/readiness").result_int(), 503u);
  EXPECT_TRUE(until([&] { return drained; }));
}

TEST_F(ManagementTest, ServesCountersAndHistogramsAsPrometheusText) {
  addHost("a", always(answerText(200, "", "served")));
  start();
  for (int i = 0; i < 3; ++i)
    EXPECT_EQ(ask(text("read")).result_int(), 200u);
  EXPECT_EQ(ask("GET /read HTTP/1.1\r\nHost: x\r\n\r\n").result_int(), 400u)
      << "a request without X-Request-Id is rejected";
  const Response response = get("/metrics");
  EXPECT_EQ(response.result_int(), 200u);
  EXPECT_EQ(response["Content-Type"], "text/plain; version=0.0.4; charset=utf-8");
  const std::string& text = response.body();
  const auto has = [&](const std::string& line) {
    return ("\n" + text).find("\n" + line + "\n") != std::string::npos;
  };
  EXPECT_TRUE(has("# TYPE hollyrun_request_seconds histogram")) << text;
  EXPECT_TRUE(has("hollyrun_requests_total{class=\"read\",outcome=\"success\"} 3")) << text;
  EXPECT_TRUE(has("hollyrun_requests_total{class=\"read\",outcome=\"failure\"} 1"));
  EXPECT_TRUE(has("hollyrun_request_seconds_count{class=\"read\",outcome=\"success\"} 3"));
  EXPECT_TRUE(has("hollyrun_request_seconds_count{class=\"read\",outcome=\"failure\"} 0"))
      << "the rejected request has no duration";
  EXPECT_TRUE(has("hollyrun_request_seconds_bucket{class=\"read\",outcome=\"success\",le=\"+Inf\"} 3"));
  EXPECT_TRUE(has("hollyrun_backend_calls_total 3"));
  EXPECT_TRUE(has("hollyrun_inflight 0"));
  EXPECT_TRUE(has("hollyrun_hosts_listed 1"));
}

TEST_F(ManagementTest, ServesOnlyTheDocumentedPaths) {
  addHost("a", always(answerText(200, "", "")));
  start();
  EXPECT_EQ(get("/ops/other").result_int(), 404u);
  const Response post = exchange("POST /ops/stats HTTP/1.1\r\nHost: x\r\nContent-Length: 0\r\n\r\n");
  EXPECT_EQ(post.result_int(), 405u);
  EXPECT_EQ(post["Allow"], "GET");
  EXPECT_EQ(exchange("nonsense\r\n\r\n").result_int(), 400u);
  EXPECT_EQ(exchange("GET /ops/stats HTTP/1.1\r\nX: " + std::string(20000, 'x') + "\r\n\r\n").result_int(),
            400u);
  EXPECT_EQ(ask("GET /ops/stats HTTP/1.1\r\nHost: x\r\nX-Request-Id: 1\r\n\r\n").result_int(), 404u)
      << "not served at the address for clients";
  EXPECT_TRUE(hosts[0]->requests.empty());
}

TEST_F(ManagementTest, RespondsWhileIdleConnectionsExceedTheLimit) {
  addHost("a", always(answerText(200, "", "")));
  start();
  std::vector<std::shared_ptr<Client>> idle;
  for (std::size_t i = 0; i < 3 * Management::kMaxConnections; ++i) {
    idle.push_back(connectToManagement());
    if (i % 2)
      idle.back()->send("GET /ops/st");
    EXPECT_EQ(get("/ops/readiness").result_int(), 200u) << i;
  }
  EXPECT_TRUE(idle.front()->closedByPeer) << "the oldest connection should be closed beyond the limit";
}

TEST_F(ManagementTest, ClosesAConnectionWithAnIncompleteRequestAfterItsLifetime) {
  addHost("a", always(answerText(200, "", "")));
  start();
  Management management(io, loopback(),
                        {[] { return true; }, [] { return std::string(); }, [] { return std::string(); }},
                        std::chrono::milliseconds(50));
  auto connection = Client::connect(io, management.listening());
  connection->send("GET /ops/stats HT");
  EXPECT_TRUE(until([&] { return connection->closedByPeer; }));
}

TEST_F(ManagementTest, ReportsEveryFigureFromTheStart) {
  addHost("a", always(answerText(200, "", "")));
  start();
  for (const std::string className : {"read", "write", "put"})
    for (const std::string outcome : {"success.", "busy.", "failure."})
      EXPECT_EQ(figure(outcome + className), 0);
  for (const std::string name : {"backend_calls", "inflight", "hosts_down", "reconfig_ok", "reconfig_failed"})
    EXPECT_EQ(figure(name), 0) << name;
  EXPECT_EQ(figure("hosts_listed"), 1);
  EXPECT_EQ(get("/ops/stats")["Content-Type"].substr(0, 10), "text/plain");
}

TEST_F(ManagementTest, FiguresMatchTheRequestsAndResponsesOfThePeers) {
  addHost("a", [](PeerConnection& connection, std::size_t attempt) {
    if (attempt == 0)
      connection.reply(answerText(200, "", "x"));
    else if (attempt == 1)
      connection.reply(answerText(500, "", ""));
    else if (connection.request.target() == "/write")
      connection.reply(answerText(503, kNotRun, ""));
  });
  start();
  EXPECT_EQ(ask(text("read")).result_int(), 200u);
  EXPECT_EQ(ask(text("write")).result_int(), 502u);
  EXPECT_EQ(ask(text("write")).result_int(), 503u);  // the only host is full
  EXPECT_EQ(ask("GET /put HTTP/1.1\r\nHost: x\r\nX-Request-Id: 1\r\n\r\n").result_int(), 405u);
  EXPECT_EQ(ask("GET /none HTTP/1.1\r\nHost: x\r\nX-Request-Id: 1\r\n\r\n").result_int(), 404u);
  EXPECT_EQ(figure("success.read"), 1);
  EXPECT_EQ(figure("failure.write"), 1);
  EXPECT_EQ(figure("busy.write"), 1);
  EXPECT_EQ(figure("failure.put"), 1);
  EXPECT_EQ(figure("failure.read"), 0);
  EXPECT_EQ(figure("backend_calls"), static_cast<long>(reached.size()));
  EXPECT_EQ(figure("inflight"), 0);

  auto connection = client();
  connection->send(text("read"));  // the host does not respond
  const std::size_t attemptsBefore = reached.size();
  ASSERT_TRUE(until([&] { return reached.size() > attemptsBefore; }));
  EXPECT_EQ(figure("inflight"), 1);
  connection->close();
  ASSERT_TRUE(until([&] { return figure("inflight") == 0; }));
}

TEST_F(ManagementTest, CountsAHostThatRefusesConnectionsAsDown) {
  const auto refusing = addHost("a", always(answerText(200, "", "")));
  addHost("a", always(answerText(200, "", "")));
  hosts[0]->stopListening();
  start();
  EXPECT_EQ(figure("hosts_down"), 0);
  // Requests are sent until one attempt goes to the host that refuses connections.
  ASSERT_TRUE(until([&] {
    EXPECT_EQ(ask(text("read")).result_int(), 200u);
    return figure("hosts_down") == 1;
  }));
  EXPECT_EQ(figure("hosts_listed"), 2);
  discovery.push({{"all", false}, {"targets", {target("s-0", refusing, "a", "DELETED")}}});
  EXPECT_TRUE(until([&] { return figure("hosts_listed") == 1 && figure("hosts_down") == 0; }));
}

// --- Configuration reloads ------------------------------------------------------------------------------

TEST_F(ManagementTest, ReloadChangesClassesAndRequestsInFlightKeepTheirOldSettings) {
  std::vector<std::shared_ptr<PeerConnection>> pending;
  const auto script = [&](PeerConnection& connection, std::size_t) {
    if (connection.request.target() == "/read")
      return pending.push_back(connection.shared_from_this());
    connection.reply(answerText(200, "", "x"));
  };
  addHost("a", script);
  addHost("a", script);
  start();
  auto before = client();
  before->send(text("read"));
  ASSERT_TRUE(until([&] { return pending.size() == 1; }));
  // The class `read` gets a stricter effect, `extra` is added and `write` is removed.
  config["settings"]["grades"] =
      json::array({classJson("read", "fragile"), classJson("extra", "fragile"), classJson("put", "dedup")});
  reload();
  EXPECT_EQ(figure("reconfig_ok"), 1);
  EXPECT_EQ(ask(text("extra")).result_int(), 200u);
  EXPECT_EQ(ask(text("write")).result_int(), 404u);
  EXPECT_EQ(figure("success.extra"), 1);
  EXPECT_EQ(figure("failure.write"), 1) << "a removed class should remain in the figures";
  // A new request of the class has the new effect, which forbids a retry. The request in flight has the old
  // one, so that it is retried.
  auto after = client();
  after->send("POST /read HTTP/1.1\r\nHost: x\r\nX-Request-Id: n\r\nContent-Length: 0\r\n\r\n");
  ASSERT_TRUE(until([&] { return pending.size() == 2; }));
  pending[1]->reset();
  ASSERT_TRUE(until([&] { return after->answers.size() == 1; }));
  EXPECT_EQ(after->answers[0].result_int(), 502u);
  pending[0]->reset();
  ASSERT_TRUE(until([&] { return pending.size() == 3; }));
  pending[2]->reply(answerText(200, "", "again"));
  ASSERT_TRUE(until([&] { return before->answers.size() == 1; }));
  EXPECT_EQ(before->answers[0].body(), "again");
}

TEST_F(ManagementTest, ReloadLowersTheMaximumNumberOfAttempts) {
  twoHosts([](PeerConnection& connection, std::size_t) { connection.reply(answerText(500, "", "")); });
  EXPECT_NE(ask(text("read")).result_int(), 200u);
  EXPECT_GT(reached.size(), 1u);
  config["settings"]["ceilings"]["maxAttempts"] = 1;
  reload();
  reached.clear();
  EXPECT_NE(ask(text("read")).result_int(), 200u);
  EXPECT_EQ(reached.size(), 1u);
}

TEST_F(ManagementTest, ServesRequestsAfterAThousandReloads) {
  twoHosts(always(answerText(200, "", "x")));
  for (int i = 0; i < 1000; ++i) {
    config["settings"]["grades"][0]["points"] = 1 + i % 7;
    reload();
  }
  EXPECT_EQ(ask(text("read")).result_int(), 200u);
  EXPECT_EQ(figure("reconfig_ok"), 1000);
}

TEST_F(ManagementTest, ReloadRejectsAnInvalidFile) {
  addHost("a", always(answerText(200, "", "x")));
  start();
  const Config running = parsed(config);
  const auto expectRejected = [&](const char* why, auto change) {
    json file = config;
    change(file);
    EXPECT_THROW(parseConfig(file, noVariables, &running), ConfigError) << why;
  };
  expectRejected("missing deadline", [](json& f) { f["settings"]["grades"][1].erase("giveUpNs"); });
  expectRejected("empty list of classes", [](json& f) { f["settings"]["grades"] = json::array(); });
  expectRejected("missing maximum of attempts",
                 [](json& f) { f["settings"]["ceilings"].erase("maxAttempts"); });
  expectRejected("missing rules", [](json& f) { f["settings"].erase("rules"); });
  expectRejected("missing discovery address", [](json& f) { f.erase("discovery"); });
  for (const json& bad : {json(0), json(-1), json("soon"), json(nullptr), json(true), json(0.5)}) {
    expectRejected("invalid deadline", [&](json& f) { f["settings"]["grades"][0]["giveUpNs"] = bad; });
    expectRejected("invalid latency objective", [&](json& f) { f["settings"]["grades"][0]["aimNs"] = bad; });
    expectRejected("invalid maximum of attempts",
                   [&](json& f) { f["settings"]["ceilings"]["maxAttempts"] = bad; });
  }
  json withoutKnown = config;
  withoutKnown.erase("known");  // required only at the start
  EXPECT_NO_THROW(parseConfig(withoutKnown, noVariables, &running));
}

}  // namespace
}  // namespace hollyrun::gateway::testing
