// Tests of the gateway on loopback sockets: forwarding, attempt outcomes and retries, clients and limits,
// discovery and shutdown.
#include "gateway_fixture.hpp"

namespace hollyrun::gateway::testing {
namespace {

// --- Forwarding -----------------------------------------------------------------------------------------

TEST_F(GatewayTest, ForwardsTheRequestAndTheResponseUnchanged) {
  addHost("a", always(answerText(200, "X-Load: TEXT queue=2\r\nContent-Type: a/b\r\n", "plan \x01")));
  start();
  auto connection = client();
  connection->send(
      "POST /put/7?q=1&r=%20 HTTP/1.1\r\nHost: x\r\nX-Class: put\r\nX-Request-Id: id-9\r\n"
      "X-Deadline-Ms: 900\r\nIdempotency-Key: key-9\r\nConnection: keep-alive, X-Hop\r\nX-Hop: 1\r\n"
      "Transfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n2\r\nde\r\n0\r\n\r\n");
  ASSERT_TRUE(until([&] { return !connection->answers.empty(); }));
  EXPECT_EQ(connection->answers[0].result_int(), 200u);
  EXPECT_EQ(connection->answers[0].body(), "plan \x01");
  EXPECT_EQ(connection->answers[0]["Content-Type"], "a/b");
  EXPECT_EQ(connection->answers[0].count("X-Load"), 0u);
  const Request& sent = hosts[0]->requests.at(0);
  EXPECT_EQ(sent.method(), http::verb::post);
  EXPECT_EQ(sent.target(), "/put/7?q=1&r=%20");
  EXPECT_EQ(sent.body(), "abcde");
  EXPECT_EQ(sent["X-Request-Id"], "id-9");
  EXPECT_EQ(sent["Idempotency-Key"], "key-9");
  EXPECT_EQ(sent.count("X-Hop"), 0u) << "hop-by-hop headers are not forwarded";
}

TEST_F(GatewayTest, TheAdvertisedDeadlineIsShorterThanTheClientsTimeout) {
  addHost("a", always(answerText(200, "", "")));
  start();
  EXPECT_EQ(ask(text("read", "X-Deadline-Ms: 15000\r\n")).result_int(), 200u);
  const long advertisedMs = std::stol(hosts[0]->requests.at(0)["X-Deadline-Ms"].to_string());
  EXPECT_LE(advertisedMs, 15000 - kResponseMargin.count());
  EXPECT_GT(advertisedMs, 0);
}

TEST_F(GatewayTest, ReusesTheMostRecentlyUsedConnection) {
  addHost("a", always(answerText(200, "", "x")));
  start();
  auto connection = client();
  for (std::size_t i = 0; i < 5; ++i) {
    connection->send(text("write"));
    ASSERT_TRUE(until([&] { return connection->answers.size() == i + 1; }));
  }
  EXPECT_EQ(hosts[0]->connections.size(), 1u);
}

TEST_F(GatewayTest, AnIdleConnectionThatTheHostClosedIsNotUsed) {
  // A non-idempotent request written to it would end as a reset. It might have executed, so it could not be
  // retried and would fail.
  addHost("a", always(answerText(200, "", "x")));
  start();
  EXPECT_EQ(ask(text("write")).result_int(), 200u);
  hosts[0]->connections[0]->close();
  EXPECT_EQ(ask(text("write")).result_int(), 200u);
  EXPECT_EQ(hosts[0]->connections.size(), 2u);
}

TEST_F(GatewayTest, AnIdleConnectionIsClosedBeforeTheHostsIdleTimeout) {
  config["settings"]["ceilings"]["idleCloseNs"] = 100'000'000;
  addHost("a", always(answerText(200, "", "x")));
  start();
  EXPECT_EQ(ask(text("read")).result_int(), 200u);
  EXPECT_TRUE(until([&] { return hosts[0]->connections[0]->closedByPeer; }));
}

TEST_F(GatewayTest, PipelinedRequestsAreAnsweredInOrder) {
  addHost("a", [](PeerConnection& c, std::size_t n) { c.reply(answerText(200, "", std::to_string(n))); });
  start();
  auto connection = client();
  connection->send(text("read") + text("read") + text("read"));
  ASSERT_TRUE(until([&] { return connection->answers.size() == 3; }));
  for (std::size_t i = 0; i < 3; ++i)
    EXPECT_EQ(connection->answers[i].body(), std::to_string(i));
}

// --- Attempt outcomes -----------------------------------------------------------------------------------

struct OutcomeCase {
  const char* name;
  std::function<void(PeerConnection&)> fail;
  bool mayHaveExecuted;
};
std::ostream& operator<<(std::ostream& out, const OutcomeCase& outcomeCase) {
  return out << outcomeCase.name;
}

class AttemptOutcomes : public GatewayTest, public ::testing::WithParamInterface<OutcomeCase> {};

TEST_P(AttemptOutcomes, NonIdempotentRequestIsRetriedOnlyIfItNeverExecuted) {
  twoHosts(failFirst(GetParam().fail));
  const Response response = ask(text("write", "", "body"));
  EXPECT_EQ(response.result_int(), GetParam().mayHaveExecuted ? 502u : 200u);
  EXPECT_EQ(reached.size(), GetParam().mayHaveExecuted ? 1u : 2u);
}

TEST_P(AttemptOutcomes, IdempotentRequestIsRetriedOnTheOtherHost) {
  twoHosts(failFirst(GetParam().fail));
  const Response response = ask(text("read"));
  EXPECT_EQ(response.result_int(), 200u);
  EXPECT_EQ(response.body(), "late") << "no part of the invalid response is served";
  EXPECT_EQ(std::set<std::string>(reached.begin(), reached.end()).size(), 2u);
}

INSTANTIATE_TEST_SUITE_P(
    Protocol, AttemptOutcomes,
    ::testing::Values(
        OutcomeCase{"error", [](PeerConnection& c) { c.reply(answerText(500, "", "no")); }, true},
        OutcomeCase{"notRun503", [](PeerConnection& c) { c.reply(answerText(503, kNotRun, "")); }, false},
        OutcomeCase{"notRun504", [](PeerConnection& c) { c.reply(answerText(504, kNotRun, "")); }, false},
        OutcomeCase{"unmarked503", [](PeerConnection& c) { c.reply(answerText(503, "", "")); }, true},
        OutcomeCase{"notRunZero504",
                    [](PeerConnection& c) { c.reply(answerText(504, "X-Not-Run: 0\r\n", "")); }, true},
        OutcomeCase{"errorThatClaimsNotRun", [](PeerConnection& c) { c.reply(answerText(500, kNotRun, "")); },
                    true},
        OutcomeCase{"unexpectedStatus",
                    [](PeerConnection& c) { c.reply(answerText(302, "Location: /\r\n", "")); }, true},
        OutcomeCase{"reset", [](PeerConnection& c) { c.reset(); }, true},
        OutcomeCase{"closed", [](PeerConnection& c) { c.close(); }, true},
        OutcomeCase{"garbage", [](PeerConnection& c) { c.reply("what?\r\n\r\n"); }, true},
        OutcomeCase{"truncatedHead", [](PeerConnection& c) { c.reply("HTTP/1.1 200 OK\r\nConte", true); },
                    true},
        OutcomeCase{
            "truncatedBody",
            [](PeerConnection& c) { c.reply("HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nhalf", true); },
            true},
        OutcomeCase{"truncatedChunk",
                    [](PeerConnection& hostConnection) {
                      hostConnection.reply(
                          "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nhalf\r\n", true);
                    },
                    true},
        OutcomeCase{"undelimitedBody",
                    [](PeerConnection& c) { c.reply("HTTP/1.1 200 OK\r\n\r\nhalf", true); }, true},
        OutcomeCase{
            "oversizedHead",
            [](PeerConnection& c) { c.reply(answerText(200, "X: " + std::string(kHeaderLimit, 'x'), "")); },
            true}),
    [](const auto& info) { return info.param.name; });

TEST_F(GatewayTest, AHostThatRefusesConnectionsFailsNoRequest) {
  twoHosts(always(answerText(200, "", "x")));
  hosts[0]->stopListening();
  for (int i = 0; i < 8; ++i)
    EXPECT_EQ(ask(text("write")).result_int(), 200u);
}

TEST_F(GatewayTest, ARequestThatAllHostsRejectIsRejected) {
  twoHosts(always(answerText(503, kNotRun, "")));
  EXPECT_EQ(ask(text("write")).result_int(), 503u)
      << "the request never executed, so it is rejected and not failed";
}

TEST_F(GatewayTest, ATimedOutNonIdempotentRequestFailsAndItsConnectionIsClosed) {
  shortenTimeouts(1);
  twoHosts([](PeerConnection&, std::size_t) {});
  EXPECT_EQ(ask(text("write")).result_int(), 502u);
  EXPECT_EQ(reached.size(), 1u);
  // A late response on it would be taken for the response to the next request.
  EXPECT_TRUE(until([&] {
    return std::any_of(hosts.begin(), hosts.end(), [](const auto& host) {
      return !host->connections.empty() && host->connections[0]->closedByPeer;
    });
  }));
}

TEST_F(GatewayTest, ATimedOutIdempotentRequestIsRejected) {
  shortenTimeouts(0);
  twoHosts([](PeerConnection&, std::size_t) {});
  EXPECT_EQ(ask(text("read")).result_int(), 503u);
}

TEST_F(GatewayTest, ARequestIsRejectedAtTheClientsDeadlineWithoutARetry) {
  twoHosts([](PeerConnection&, std::size_t) {});
  EXPECT_EQ(ask(text("read", "X-Deadline-Ms: 1000\r\n")).result_int(), 503u)
      << "long before the latency objective of the class";
  EXPECT_EQ(reached.size(), 1u) << "the first attempt used up the whole client timeout";
  EXPECT_LT(std::stol(hosts[reached[0] == "s-0" ? 0 : 1]->requests.at(0)["X-Deadline-Ms"].to_string()), 1000);
}

TEST_F(GatewayTest, ARequestWithoutTimeLeftIsRejectedWithoutAnAttempt) {
  twoHosts(always(answerText(200, "", "x")));
  EXPECT_EQ(ask(text("write", "X-Deadline-Ms: 1\r\n")).result_int(), 503u);
  EXPECT_TRUE(reached.empty());
}

TEST_F(GatewayTest, AResponseAfterTheClientDisconnectedAffectsNoOtherRequest) {
  // Without cancellation, the attempt continues after its client has disconnected.
  config["settings"]["ceilings"]["cancel"] = false;
  std::shared_ptr<PeerConnection> unanswered;
  addHost("a", [&](PeerConnection& hostConnection, std::size_t attempt) {
    if (attempt == 0)
      unanswered = hostConnection.shared_from_this();
    else
      hostConnection.reply(answerText(200, "", "mine"));
  });
  start();
  auto connection = client();
  connection->send(text("read"));
  ASSERT_TRUE(until([&] { return unanswered != nullptr; }));
  connection->close();
  unanswered->reply(answerText(200, "", "late"));
  for (int i = 0; i < 3; ++i)
    EXPECT_EQ(ask(text("read")).body(), "mine");
}

TEST_F(GatewayTest, AResponseThatArrivesWithItsCancellationAffectsNoOtherRequest) {
  std::shared_ptr<PeerConnection> unanswered;
  addHost("a", [&](PeerConnection& hostConnection, std::size_t attempt) {
    if (attempt == 1)
      unanswered = hostConnection.shared_from_this();
    else
      hostConnection.reply(answerText(200, "", "mine"));
  });
  start();
  // On a reused connection the read completes after the idle watch.
  EXPECT_EQ(ask(text("read")).body(), "mine");
  auto connection = client();
  connection->send(text("read"));
  ASSERT_TRUE(until([&] { return unanswered != nullptr; }));
  unanswered->reply(answerText(200, "", "late"));
  connection->close();  // The response and the disconnection arrive before the gateway polls.
  for (int i = 0; i < 3; ++i)
    EXPECT_EQ(ask(text("read")).body(), "mine");
}

// --- Keyed requests -------------------------------------------------------------------------------------

TEST_F(GatewayTest, AKeyedRequestThatMayHaveExecutedIsRetriedInItsZone) {
  const Script script = failFirst([](PeerConnection& c) { c.reset(); });
  for (const char* zone : {"a", "a", "b", "b"})
    addHost(zone, script);
  start();
  EXPECT_EQ(ask(text("put")).result_int(), 200u);
  ASSERT_EQ(reached.size(), 2u);
  const auto zoneOf = [](const std::string& uid) { return uid < "s-2" ? 'a' : 'b'; };
  EXPECT_EQ(zoneOf(reached[0]), zoneOf(reached[1]));
  EXPECT_NE(reached[0], reached[1]);
}

TEST_F(GatewayTest, AKeyedRequestIsNotRetriedAfterItsDeduplicationWindow) {
  config["settings"]["grades"][2]["windowNs"] = 1;
  twoHosts(failFirst([](PeerConnection& c) { c.reset(); }));
  EXPECT_EQ(ask(text("put")).result_int(), 502u);
  EXPECT_EQ(reached.size(), 1u);
}

TEST_F(GatewayTest, AKeyedRequestWithoutItsKeyIsRejected) {
  twoHosts(always(answerText(200, "", "x")));
  EXPECT_EQ(ask("POST /put HTTP/1.1\r\nX-Request-Id: r\r\nContent-Length: 0\r\n\r\n").result_int(), 400u);
  EXPECT_TRUE(reached.empty());
}

// --- Clients --------------------------------------------------------------------------------------------

TEST_F(GatewayTest, AClientThatDisconnectsCancelsItsAttempt) {
  addHost("a", [](PeerConnection&, std::size_t) {});
  start();
  auto connection = client();
  connection->send(text("read"));
  ASSERT_TRUE(until([&] { return reached.size() == 1; }));
  connection->close();
  EXPECT_TRUE(until([&] { return hosts[0]->connections[0]->closedByPeer; }));
  hosts[0]->script = [](PeerConnection& p) { p.reply(answerText(200, "", "on")); };
  EXPECT_EQ(ask(text("read")).body(), "on");
}

TEST_F(GatewayTest, RejectionsUnderOverloadCarryRetryAfter) {
  config["settings"]["ceilings"]["retryAfter"] = true;
  addHost("a", [](PeerConnection&, std::size_t) {});
  start();
  std::vector<std::shared_ptr<Client>> clients;
  for (int i = 0; i < 60; ++i) {
    clients.push_back(client());
    clients.back()->send(text("read"));
  }
  ASSERT_TRUE(until([&] {
    return std::any_of(clients.begin(), clients.end(), [](const auto& c) {
      return !c->answers.empty() && c->answers[0].result_int() == 503 && c->answers[0].count("Retry-After");
    });
  }));
}

TEST_F(GatewayTest, InvalidInputIsAnsweredAndServiceContinues) {
  twoHosts(always(answerText(200, "", "ok")));
  EXPECT_EQ(ask("nonsense\r\n\r\n").result_int(), 400u);
  EXPECT_EQ(ask("GET /read HTTP/1.1\r\nX-Class: read\r\n\r\n").result_int(), 400u)
      << "the request ID is missing";
  EXPECT_EQ(ask(text("read", "X-Deadline-Ms: soon\r\n")).result_int(), 400u);
  EXPECT_EQ(ask("GET /other HTTP/1.1\r\nX-Request-Id: r\r\n\r\n").result_int(), 404u);
  EXPECT_EQ(ask("GET /alive HTTP/1.1\r\n\r\n").result_int(), 404u);
  EXPECT_EQ(ask("GET /write HTTP/1.1\r\nX-Request-Id: r\r\n\r\n").result_int(), 405u);
  EXPECT_EQ(ask("POST /write HTTP/1.1\r\nHost: x\r\nX-Request-Id: r\r\nContent-Length: " +
                std::to_string(kMaxRequestBody + 1) + "\r\n\r\n")
                .result_int(),
            413u);
  EXPECT_EQ(ask(text("read", "X-Long: " + std::string(kHeaderLimit, 'x') + "\r\n")).result_int(), 431u);
  EXPECT_TRUE(reached.empty());
  EXPECT_EQ(ask(text("write", "", std::string(kBufferedBodyLimit, 'x'))).result_int(), 200u);
}

TEST_F(GatewayTest, AnEndlessChunkHeaderIsRejectedAndAffectsNoOtherRequest) {
  twoHosts(always(answerText(200, "", "ok")));
  EXPECT_EQ(ask("POST /write HTTP/1.1\r\nX-Request-Id: r\r\nTransfer-Encoding: chunked\r\n\r\n5;" +
                std::string(2 * (kBufferedBodyLimit + kHeaderLimit), 'x'))
                .result_int(),
            413u);
  EXPECT_EQ(ask(text("write")).result_int(), 200u);
}

TEST_F(GatewayTest, AConnectionThatExceedsTheRequestTimeoutIsClosed) {
  options.clients.requestTimeout = std::chrono::milliseconds(20);
  twoHosts(always(answerText(200, "", "ok")));
  auto connection = client();
  connection->send("GET /read HT");
  EXPECT_TRUE(until([&] { return connection->closedByPeer; }));
  EXPECT_TRUE(connection->answers.empty());
}

TEST_F(GatewayTest, AClientWithoutACompleteFirstRequestIsClosedEvenIfItSends) {
  options.clients.firstRequestTimeout = std::chrono::milliseconds(20);
  twoHosts(always(answerText(200, "", "ok")));
  auto silent = client(), slow = client();
  slow->send("GET /re");
  EXPECT_TRUE(until([&] { return silent->closedByPeer && slow->closedByPeer; }));
  EXPECT_LT(DownstreamServer::Limits{}.firstRequestTimeout, std::chrono::seconds(3))
      << "the service terms allow less than 3 s";
}

TEST_F(GatewayTest, AServedClientKeepsItsConnectionPastTheFirstRequestTimeout) {
  options.clients.firstRequestTimeout = std::chrono::milliseconds(2000);
  twoHosts(always(answerText(200, "", "ok")));
  auto kept = client();
  kept->send(text("read"));
  ASSERT_TRUE(until([&] { return kept->answers.size() == 1; }));
  auto silent = client();  // Connected later, so the timeout has passed for both once it is closed.
  ASSERT_TRUE(until([&] { return silent->closedByPeer; }));
  EXPECT_FALSE(kept->closedByPeer);
  kept->send(text("read"));
  EXPECT_TRUE(until([&] { return kept->answers.size() == 2; }));
}

TEST_F(GatewayTest, BytesAfterAnAmbiguousMessageAreNotReadAsARequest) {
  twoHosts(always(answerText(200, "", "ok")));
  const std::string head = "HTTP/1.1\r\nHost: x\r\nX-Request-Id: r\r\n", inner = text("read");
  const std::string length = "Content-Length: " + std::to_string(inner.size()) + "\r\n";
  const auto expectRejectedAndClosed = [&](const std::string& message) {
    auto connection = client();
    connection->send(message + inner);
    EXPECT_TRUE(until([&] { return connection->closedByPeer; })) << message;
    ASSERT_EQ(connection->answers.size(), 1u) << message;
    EXPECT_GE(connection->answers[0].result_int(), 400u) << message;
    EXPECT_FALSE(connection->answers[0].keep_alive()) << message;
  };
  expectRejectedAndClosed("POST /write " + head + "\r\n");
  expectRejectedAndClosed("POST /write " + head + "Transfer-Encoding: identity\r\n\r\n");
  expectRejectedAndClosed("POST /write " + head + "Transfer-Encoding: xchunked\r\n\r\n");
  expectRejectedAndClosed("POST /write " + head + "Transfer-Encoding: gzip, chunked\r\n\r\n0\r\n\r\n");
  expectRejectedAndClosed("POST /write " + head + length + "Transfer-Encoding: chunked\r\n\r\n0\r\n\r\n");
  expectRejectedAndClosed("POST /write " + head + "Content-Length: 0\r\n" + length + "\r\n");
  expectRejectedAndClosed("GET /read " + head + length + "\r\n");
  expectRejectedAndClosed("GET /read " + head + "Transfer-Encoding: chunked\r\n\r\n0\r\n\r\n");
  expectRejectedAndClosed(
      "GET /read HTTP/1.0\r\nHost: x\r\nX-Request-Id: r\r\nConnection: keep-alive\r\n\r\n");
  expectRejectedAndClosed("GET /read HTTP/1.1\r\nX-Request-Id: r\r\n\r\n");
  expectRejectedAndClosed("GET /read " + head + "X-Request-Id: s\r\n\r\n");
  expectRejectedAndClosed("GET /nothing " + head + "\r\n");
  expectRejectedAndClosed("GET /up " + head + "Transfer-Encoding: xchunked\r\n\r\n");
  EXPECT_TRUE(reached.empty());
}

TEST_F(GatewayTest, IdleClientsAreEvictedForNewOnes) {
  options.clients.connections = 4;
  twoHosts(always(answerText(200, "", "ok")));
  std::vector<std::shared_ptr<Client>> idle;
  for (int i = 0; i < 4; ++i)
    idle.push_back(client());
  for (int i = 0; i < 6; ++i)
    EXPECT_EQ(ask(text("read")).result_int(), 200u);
}

TEST_F(GatewayTest, SilentClientsWithAnIncompleteRequestAreEvictedForNewOnes) {
  options.clients.connections = 3;
  options.clients.firstRequestTimeout = std::chrono::minutes(5);
  twoHosts(always(answerText(200, "", "ok")));
  std::vector<std::shared_ptr<Client>> silentClients;
  for (int i = 0; i < 4; ++i) {  // One more than the limit, which the listener still accepts.
    silentClients.push_back(client());
    silentClients.back()->send(
        "POST /write HTTP/1.1\r\nHost: x\r\nX-Request-Id: s\r\nExpect: 100-continue\r\n"
        "Content-Length: 3\r\n\r\n");
    ASSERT_TRUE(until([&] { return silentClients.back()->answers.size() == 1; }))
        << "the request head was read";
  }
  EXPECT_EQ(ask(text("read")).result_int(), 200u);
  EXPECT_TRUE(until([&] {
    return std::any_of(silentClients.begin(), silentClients.end(),
                       [](const auto& c) { return c->closedByPeer; });
  }));
}

TEST_F(GatewayTest, UpstreamConnectionsAreLimited) {
  config["limits"]["sockets"] = 64;  // Leaves 12 for upstream connections.
  shortenTimeouts(1);
  addHost("a", [](PeerConnection&, std::size_t) {});
  start();
  std::vector<std::shared_ptr<Client>> clients;
  for (int i = 0; i < 19; ++i) {
    clients.push_back(client());
    clients.back()->send(text("write"));
  }
  ASSERT_TRUE(until([&] {
    return std::all_of(clients.begin(), clients.end(), [](const auto& c) { return c->answers.size() == 1; });
  }));
  EXPECT_LE(hosts[0]->connections.size(), 12u);
}

TEST_F(GatewayTest, IsReadyOnceItHasEndpoints) {
  config["known"] = {{"rev", 0}, {"all", true}, {"targets", json::array()}};
  discovery.failing = true;
  twoHosts(always(answerText(200, "", "ok")));
  EXPECT_EQ(ask("GET /up HTTP/1.1\r\n\r\n").result_int(), 503u);
  gateway.reset();
  config["known"] = {{"rev", 1}, {"all", true}, {"targets", discovery.list}};
  start();
  EXPECT_EQ(ask("GET /up HTTP/1.1\r\n\r\n").result_int(), 200u);
}

// --- Discovery ------------------------------------------------------------------------------------------

TEST_F(GatewayTest, ADrainingHostReceivesNoNewAttempt) {
  twoHosts(always(answerText(200, "", "ok")));
  ASSERT_TRUE(until([&] { return discovery.held.size() == 1; }));
  for (int i = 0; i < 20; ++i)
    ask(text("read"));
  discovery.push({{"all", false}, {"targets", {target("s-0", hosts[0]->endpoint, "a", "DRAINING")}}});
  // The next watch shows that the gateway has applied the last response.
  ASSERT_TRUE(until([&] { return discovery.held.size() == 1; }));
  EXPECT_NE(discovery.targets.back().find("since=2"), std::string::npos) << discovery.targets.back();
  const std::size_t before = hosts[0]->requests.size();
  for (int i = 0; i < 20; ++i)
    EXPECT_EQ(ask(text("read")).result_int(), 200u);
  EXPECT_EQ(hosts[0]->requests.size(), before);
}

TEST_F(GatewayTest, ASnapshotRemovesTheHostsThatItOmits) {
  twoHosts(always(answerText(200, "", "ok")));
  ASSERT_TRUE(until([&] { return discovery.held.size() == 1; }));
  discovery.push({{"all", true}, {"targets", {target("s-1", hosts[1]->endpoint)}}});
  ASSERT_TRUE(until([&] { return discovery.held.size() == 1; }));
  for (int i = 0; i < 20; ++i)
    EXPECT_EQ(ask(text("read")).result_int(), 200u);
  EXPECT_TRUE(hosts[0]->requests.empty());
}

TEST_F(GatewayTest, ACachedListIsUpdatedFromDiscoveryAtOnce) {
  twoHosts(always(answerText(200, "", "ok")));
  EXPECT_TRUE(until([&] { return !discovery.targets.empty(); }));
  EXPECT_NE(discovery.targets[0].find("since=1&"), std::string::npos)
      << "changes since the cached list are requested at once";
}

TEST_F(GatewayTest, WithoutACachedListASnapshotIsRequested) {
  addHost("a", always(answerText(200, "", "ok")));
  config["known"] = nullptr;
  config["discovery"] = textOf(discovery.peer.endpoint);
  config.erase("known");
  gateway = std::make_unique<Gateway>(io, parsed(config), options, log);
  ASSERT_TRUE(until([&] { return discovery.held.size() == 1; }));
  EXPECT_EQ(discovery.targets[0], "/discovery/hosts");
  EXPECT_EQ(ask(text("read")).result_int(), 200u);
}

TEST_F(GatewayTest, DiscoveryIsWatchedInEveryRegistryModeOfTheSimulator) {
  config["settings"]["registryMode"] = "push";
  twoHosts(always(answerText(200, "", "ok")));
  ASSERT_TRUE(until([&] { return discovery.held.size() == 1; }));
  discovery.push({{"all", false}, {"targets", {target("s-0", hosts[0]->endpoint, "a", "DRAINING")}}});
  ASSERT_TRUE(until([&] { return discovery.held.size() == 1; }));
  for (int i = 0; i < 20; ++i)
    EXPECT_EQ(ask(text("read")).result_int(), 200u);
  EXPECT_TRUE(hosts[0]->requests.empty());
}

TEST_F(GatewayTest, AFailedWatchIsRestartedByTheBalancer) {
  discovery.failing = true;
  twoHosts(always(answerText(200, "", "ok")));
  ASSERT_TRUE(until([&] { return !discovery.targets.empty(); }));
  discovery.failing = false;
  EXPECT_TRUE(until([&] { return discovery.held.size() == 1; }));
  discovery.held[0]->reply(answerText(200, "", "garbage"));
  discovery.held.clear();
  EXPECT_TRUE(until([&] { return discovery.held.size() == 1; }));
  EXPECT_EQ(ask(text("read")).result_int(), 200u);
}

// Guards against treating "targets": null as an empty snapshot, which removed all hosts.
TEST_F(GatewayTest, AnInvalidDiscoveryResponseFailsAndTheCurrentListStays) {
  twoHosts(always(answerText(200, "", "ok")));
  const json duplicateTargets = {target("s-9", loopback(9)), target("s-9", loopback(9))};
  const std::string bodies[] = {
      json{{"rev", 5}, {"all", true}, {"targets", nullptr}}.dump(),
      json{{"rev", 5}, {"all", true}, {"targets", json::object()}}.dump(),
      json{{"rev", -5}, {"all", true}, {"targets", json::array()}}.dump(),
      json{{"rev", 5}, {"all", true}, {"targets", duplicateTargets}}.dump(),
      std::string(5 << 20, ' '),
  };
  for (const std::string& body : bodies) {
    ASSERT_TRUE(until([&] { return discovery.held.size() == 1; }));
    discovery.held[0]->reply(answerText(200, "", body));
    discovery.held.clear();
    ASSERT_TRUE(until([&] { return discovery.held.size() == 1; })) << "the balancer starts a new watch";
    EXPECT_EQ(ask(text("read")).result_int(), 200u) << body.substr(0, 80);
    EXPECT_NE(discovery.targets.back().find("since=1&"), std::string::npos) << discovery.targets.back();
  }
}

TEST_F(GatewayTest, WithAnEmptySnapshotRequestsAreAnsweredAtOnce) {
  twoHosts(always(answerText(200, "", "ok")));
  ASSERT_TRUE(until([&] { return discovery.held.size() == 1; }));
  discovery.push({{"all", true}, {"targets", json::array()}});
  ASSERT_TRUE(until([&] { return discovery.held.size() == 1; }));
  for (const char* kind : {"read", "write", "put"})
    EXPECT_EQ(ask(text(kind)).result_int(), 503u) << kind;
  EXPECT_TRUE(reached.empty());
}

TEST_F(GatewayTest, AWatchThatTimesOutIsRestarted) {
  options.discovery.answer = std::chrono::milliseconds(20);
  discovery.peer.script = [&](PeerConnection& hostConnection) {
    discovery.targets.push_back(hostConnection.request.target().to_string());
  };
  twoHosts(always(answerText(200, "", "ok")));
  EXPECT_TRUE(until([&] { return discovery.targets.size() == 2; }));
}

TEST_F(GatewayTest, ALostWatchIsRestartedBeforeTheDrainGracePeriodEnds) {
  // The backoff is the longest delay before a failed call is repeated.
  const std::chrono::milliseconds drainNotice{2000}, gracePeriod{1000}, backoff{300};
  EXPECT_LT(Discovery::Timeouts{}.answer + backoff, drainNotice);
  EXPECT_LE(Discovery::Timeouts{}.answer + backoff, drainNotice + gracePeriod);
}

TEST_F(GatewayTest, AReloadMovesTheWatchToTheNewDiscoveryAddress) {
  FakeDiscovery other{io};
  twoHosts(always(answerText(200, "", "ok")));
  ASSERT_TRUE(until([&] { return discovery.held.size() == 1; }));
  other.list = discovery.list;
  discovery.peer.stopListening();
  config["discovery"] = textOf(other.peer.endpoint);
  reload();
  ASSERT_TRUE(until([&] { return other.held.size() == 1; }));
  EXPECT_EQ(other.targets[0].find("since="), std::string::npos)
      << "versions of different discovery servers are not comparable";
  EXPECT_TRUE(until([&] { return discovery.held[0]->closedByPeer; }));
  other.push({{"all", false}, {"targets", {target("s-0", hosts[0]->endpoint, "a", "DRAINING")}}});
  ASSERT_TRUE(until([&] { return other.held.size() == 1; }));
  for (int i = 0; i < 20; ++i)
    EXPECT_EQ(ask(text("read")).result_int(), 200u);
  EXPECT_TRUE(hosts[0]->requests.empty());
}

// --- Shutdown -------------------------------------------------------------------------------------------

TEST_F(GatewayTest, AShutdownFinishesAcceptedRequests) {
  std::shared_ptr<PeerConnection> unanswered;
  addHost("a", [&](PeerConnection& hostConnection, std::size_t attempt) {
    if (attempt == 0)
      unanswered = hostConnection.shared_from_this();
    else
      hostConnection.reply(answerText(200, "", "new"));
  });
  start();
  auto accepted = client(), idle = client();
  accepted->send(text("write"));
  ASSERT_TRUE(until([&] { return unanswered != nullptr; }));
  bool done = false;
  gateway->shutDown([&] { done = true; });
  auto late = client();
  late->send(text("read"));
  ASSERT_TRUE(until([&] { return !late->answers.empty(); }))
      << "new connections are still accepted for a while";
  EXPECT_EQ(late->answers[0].body(), "new");
  EXPECT_FALSE(late->answers[0].keep_alive());
  EXPECT_TRUE(until([&] { return idle->closedByPeer && late->closedByPeer; }));
  EXPECT_FALSE(done);
  unanswered->reply(answerText(200, "", "kept"));
  ASSERT_TRUE(until([&] { return done; }));
  EXPECT_TRUE(until([&] { return !accepted->answers.empty(); }));
  EXPECT_EQ(accepted->answers[0].body(), "kept");
  EXPECT_FALSE(accepted->answers[0].keep_alive());
}

}  // namespace
}  // namespace hollyrun::gateway::testing
