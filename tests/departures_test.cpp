// Once a client has disconnected, no attempt of its request may begin, even if the event loop has not
// reported the disconnect yet. Each test forces the disconnect at one stage of a request, with a connection
// limit that leaves room and with one that is reached.
#include <sys/socket.h>

#include "connection_observers.hpp"
#include "gateway_fixture.hpp"
#include "leaving_clients.hpp"

namespace hollyrun::gateway::testing {
namespace {

enum class ConnectionLimit { hasRoom, reached };
// Whether the events of a test are handled in one iteration of the event loop or in several.
enum class Iterations { one, several };

std::string nameOf(ConnectionLimit limit) {
  return limit == ConnectionLimit::reached ? "AtConnectionLimit" : "";
}
std::string nameOf(Iterations iterations) {
  return iterations == Iterations::one ? "InOneIteration" : "InSeveralIterations";
}

class ClientDisconnectTest
    : public GatewayTest,
      public ::testing::WithParamInterface<std::tuple<DisconnectKind, ConnectionLimit, Iterations>> {
 protected:
  static DisconnectKind disconnectKind() { return std::get<0>(GetParam()); }
  static bool isAtLimit() { return std::get<1>(GetParam()) == ConnectionLimit::reached; }
  static bool inSeveralIterations() { return std::get<2>(GetParam()) == Iterations::several; }

  std::string ok() { return answerText(200, "", "ok"); }

  // Starts the gateway with one host that runs `script`. At the connection limit, only one connection, whose
  // request the host does not answer, is accepted regularly; the gateway accepts one more beyond the limit.
  // In one iteration, the latter stays idle and may be evicted. In several, it awaits a response as well: an
  // idle one would be evicted whenever the listener's retry timer expires, and the next connection accepted.
  void startWith(Script script) {
    if (isAtLimit())
      options.clients.connections = 1;
    addHost("a", [this, script](PeerConnection& connection, std::size_t attempt) {
      if (connection.request["X-Request-Id"].starts_with(kBlockingRequestIdPrefix))
        blockedAttempts_.push_back(connection.shared_from_this());
      else
        script(connection, attempt);
    });
    start();
    if (!isAtLimit())
      return;
    for (int i = 0; i < 2; ++i)
      blockingClients_.push_back(client());
    const std::size_t blockingRequests = inSeveralIterations() ? 2 : 1;
    for (std::size_t i = 0; i < blockingRequests; ++i)
      blockingClients_[i]->send(blockingRequestText(i));
    ASSERT_TRUE(until([&] { return blockedAttempts_.size() == blockingRequests; }));
    reached.clear();
  }

  // Completes the blocked requests of startWith() and closes the connections that fill the limit.
  void freeConnections() {
    for (auto& attempt : blockedAttempts_)
      attempt->reply(ok());
    for (std::size_t i = 0; i < blockedAttempts_.size(); ++i)
      ASSERT_TRUE(until([&] { return blockingClients_[i]->answers.size() == 1; }));
    for (auto& blocking : blockingClients_)
      blocking->close();
  }

  // Runs the event loop until it needs an external event to proceed.
  void runReadyHandlers() {
    io.restart();
    while (io.poll() > 0)
      io.restart();
  }

  // The response to a later request shows that the gateway has handled all earlier events.
  void expectOnlyLaterRequestIsSent() {
    freeConnections();
    EXPECT_EQ(ask(text("read")).result_int(), 200u);
    EXPECT_EQ(reached.size(), 1u) << "the request of the disconnected client was sent to a host";
  }

 private:
  static constexpr const char* kBlockingRequestIdPrefix = "blocking-";

  static std::string blockingRequestText(std::size_t number) {
    return std::string("GET /read HTTP/1.1\r\nHost: x\r\nX-Class: read\r\nX-Request-Id: ") +
           kBlockingRequestIdPrefix + std::to_string(number) + "\r\n\r\n";
  }

  std::vector<std::shared_ptr<Client>> blockingClients_;
  std::vector<std::shared_ptr<PeerConnection>> blockedAttempts_;
};

TEST_P(ClientDisconnectTest, BeforeAcceptSendsNothing) {
  startWith(always(ok()));
  auto downstream = client();
  downstream->send(text("read"));
  if (inSeveralIterations() && isAtLimit())
    runReadyHandlers();  // Below the limit, this would accept the connection.
  disconnect(*downstream, disconnectKind());
  expectOnlyLaterRequestIsSent();
}

TEST_P(ClientDisconnectTest, BetweenAcceptAndReadSendsNothing) {
  if (isAtLimit())
    options.clients.connections = 1;
  addHost("a", always(ok()));
  start();
  auto downstream = client();
  downstream->send(text("read"));
  // After the response, the connection is accepted and kept alive.
  ASSERT_TRUE(until([&] { return downstream->answers.size() == 1; }));
  reached.clear();
  const std::string request = text("read");
  downstream->send(request.substr(0, 20));
  if (inSeveralIterations())
    runReadyHandlers();
  downstream->send(request.substr(20));
  disconnect(*downstream, disconnectKind());
  expectOnlyLaterRequestIsSent();
}

TEST_P(ClientDisconnectTest, DuringConnectToHostSendsNothing) {
  config["settings"]["ceilings"]["cancel"] = inSeveralIterations();
  if (isAtLimit())
    options.clients.connections = 1;
  addHost("a", always(ok()));
  start();
  ASSERT_TRUE(until([&] { return discovery.held.size() == 1; }));
  auto downstream = client();
  downstream->send(text("read"));
  // The connection is established, but the gateway has not handled that event yet.
  ASSERT_TRUE(until([&] { return hosts[0]->hasPendingConnection(); }));
  disconnect(*downstream, disconnectKind());
  if (inSeveralIterations())
    runReadyHandlers();
  expectOnlyLaterRequestIsSent();
}

TEST_P(ClientDisconnectTest, BetweenAttemptAndRetrySendsNoRetry) {
  if (isAtLimit())
    options.clients.connections = 1;
  std::shared_ptr<Client> downstream;
  std::shared_ptr<PeerConnection> firstAttempt;
  config["settings"]["ceilings"]["cancel"] = !inSeveralIterations();
  twoHosts([&](PeerConnection& connection, std::size_t attempt) {
    if (attempt > 0)
      return connection.reply(ok());
    firstAttempt = connection.shared_from_this();
    disconnect(*downstream, disconnectKind());
    if (!inSeveralIterations())
      connection.reset();
  });
  downstream = client();
  downstream->send(text("read"));
  ASSERT_TRUE(until([&] { return firstAttempt != nullptr; }));
  if (inSeveralIterations()) {
    runReadyHandlers();
    firstAttempt->reset();
  }
  runReadyHandlers();
  const std::size_t reachedBefore = reached.size();
  EXPECT_EQ(reachedBefore, 1u) << "the request of a disconnected client was retried";
  EXPECT_EQ(ask(text("read")).result_int(), 200u);
  EXPECT_EQ(reached.size(), reachedBefore + 1);
}

INSTANTIATE_TEST_SUITE_P(
    Clients, ClientDisconnectTest,
    ::testing::Combine(::testing::Values(DisconnectKind::close, DisconnectKind::halfClose,
                                         DisconnectKind::reset),
                       ::testing::Values(ConnectionLimit::hasRoom, ConnectionLimit::reached),
                       ::testing::Values(Iterations::one, Iterations::several)),
    [](const auto& tested) {
      return nameOf(std::get<0>(tested.param)) + nameOf(std::get<1>(tested.param)) +
             nameOf(std::get<2>(tested.param));
    });

class AcceptQueueTest : public ::testing::Test {
 protected:
  asio::io_context io;
  RecordingDownstreamObserver observer;
  DownstreamServer server{io, {}, observer, std::make_shared<MemoryBudget>(1 << 20)};
};

TEST_F(AcceptQueueTest, IsAcceptedInBatchesSoThatOtherEventsAreHandledInBetween) {
  constexpr std::size_t kPendingConnections = 200, kMaxAcceptedPerIteration = 64;
  server.listen(loopback(), false);
  std::vector<std::unique_ptr<SynchronousClient>> clients;
  for (std::size_t i = 0; i < kPendingConnections; ++i)
    clients.push_back(std::make_unique<SynchronousClient>(io, server.localEndpoint()));
  std::size_t acceptedBefore = 0;
  while (server.connections() < kPendingConnections) {
    ASSERT_GT(io.run_one_for(kTestTimeout), 0u);
    EXPECT_LE(server.connections() - acceptedBefore, kMaxAcceptedPerIteration);
    acceptedBefore = server.connections();
  }
}

}  // namespace
}  // namespace hollyrun::gateway::testing
