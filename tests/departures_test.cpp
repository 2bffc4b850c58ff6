// A client that leaves is gone at once: whatever the event loop has come to, no attempt of its request begins
// from then on. Each departure is forced at one moment of a request, with a table of connections that has
// room and with one that is full.
#include <sys/socket.h>

#include "connection_observers.hpp"
#include "gateway_fixture.hpp"
#include "leaving_clients.hpp"

namespace hollyrun::gateway::testing {
namespace {

enum class Table { roomy, full };
enum class Turns { one, several };

std::string nameOf(Table table) {
  return table == Table::full ? "AtAFullTable" : "";
}
std::string nameOf(Turns turns) {
  return turns == Turns::one ? "InOneTurn" : "InSeveralTurns";
}

class Departures : public GatewayTest,
                   public ::testing::WithParamInterface<std::tuple<Leaving, Table, Turns>> {
 protected:
  static Leaving how() { return std::get<0>(GetParam()); }
  static bool full() { return std::get<1>(GetParam()) == Table::full; }
  static bool severalTurns() { return std::get<2>(GetParam()) == Turns::several; }

  std::string ok() { return answerText(200, "", "ok"); }

  // Starts with one host by this script. In a full table one connection, whose request that host holds, is
  // all that is accepted; beyond it the gateway takes one more.
  void startWith(Script script) {
    if (full())
      options.clients.connections = 1;
    addHost("a", [this, script](PeerConnection& c, std::size_t n) {
      if (c.request["X-Request-Id"] == kHolder)
        held_ = c.shared_from_this();
      else
        script(c, n);
    });
    start();
    if (!full())
      return;
    for (int i = 0; i < 2; ++i)
      holders_.push_back(client());
    holders_[0]->send(holdersText());
    ASSERT_TRUE(until([&] { return held_ != nullptr; }));
    reached.clear();
  }

  // The host answers the connection that startWith() filled the table with, and it ends.
  void makeRoom() {
    if (!held_)
      return;
    held_->reply(ok());
    ASSERT_TRUE(until([&] { return holders_[0]->answers.size() == 1; }));
    for (auto& holder : holders_)
      holder->close();
  }

  // Lets the loop do all that is due; what it has left to do then needs an event from outside.
  void runAllDue() {
    io.restart();
    while (io.poll() > 0)
      io.restart();
  }

  // A later request shows that the gateway had its turn with all that came before.
  void expectOnlyALaterRequestIsSent() {
    makeRoom();
    EXPECT_EQ(ask(text("read")).result_int(), 200u);
    EXPECT_EQ(reached.size(), 1u) << "the request of the client that left was sent on";
  }

  static constexpr const char* kHolder = "holder";

 private:
  static std::string holdersText() {
    return std::string("GET /read HTTP/1.1\r\nHost: x\r\nX-Class: read\r\nX-Request-Id: ") + kHolder +
           "\r\n\r\n";
  }

  std::vector<std::shared_ptr<Client>> holders_;
  std::shared_ptr<PeerConnection> held_;
};

TEST_P(Departures, BeforeTheConnectionIsAcceptedSendNothing) {
  startWith(always(ok()));
  auto c = client();
  c->send(text("read"));
  if (severalTurns() && full())
    runAllDue();  // with room, a turn would accept it
  leave(*c, how());
  expectOnlyALaterRequestIsSent();
}

TEST_P(Departures, BetweenAcceptAndReadSendNothing) {
  if (full())
    options.clients.connections = 1;
  addHost("a", always(ok()));
  start();
  auto c = client();
  c->send(text("read"));
  ASSERT_TRUE(until([&] { return c->answers.size() == 1; }));  // it is accepted, and its connection is kept
  reached.clear();
  const std::string request = text("read");
  c->send(request.substr(0, 20));
  if (severalTurns())
    runAllDue();
  c->send(request.substr(20));
  leave(*c, how());
  expectOnlyALaterRequestIsSent();
}

TEST_P(Departures, AsTheConnectionToTheHostComesUpSendNothing) {
  config["settings"]["ceilings"]["cancel"] = severalTurns();
  if (full())
    options.clients.connections = 1;
  addHost("a", always(ok()));
  start();
  ASSERT_TRUE(until([&] { return discovery.held.size() == 1; }));
  auto c = client();
  c->send(text("read"));
  ASSERT_TRUE(
      until([&] { return hosts[0]->hasPendingConnection(); }));  // and the gateway has not seen it come up
  leave(*c, how());
  if (severalTurns())
    runAllDue();
  expectOnlyALaterRequestIsSent();
}

TEST_P(Departures, BetweenAnAttemptAndItsRepeatSendNoRepeat) {
  if (full())
    options.clients.connections = 1;
  std::shared_ptr<Client> c;
  std::shared_ptr<PeerConnection> attempt;
  config["settings"]["ceilings"]["cancel"] = !severalTurns();
  twoHosts([&](PeerConnection& connection, std::size_t n) {
    if (n > 0)
      return connection.reply(ok());
    attempt = connection.shared_from_this();
    leave(*c, how());
    if (!severalTurns())
      connection.reset();
  });
  c = client();
  c->send(text("read"));
  ASSERT_TRUE(until([&] { return attempt != nullptr; }));
  if (severalTurns()) {
    runAllDue();
    attempt->reset();
  }
  runAllDue();
  const std::size_t before = reached.size();
  EXPECT_EQ(before, 1u) << "it was sent again for a client that had left";
  EXPECT_EQ(ask(text("read")).result_int(), 200u);
  EXPECT_EQ(reached.size(), before + 1);
}

INSTANTIATE_TEST_SUITE_P(Clients, Departures,
                         ::testing::Combine(::testing::Values(Leaving::close, Leaving::halfClose,
                                                              Leaving::reset),
                                            ::testing::Values(Table::roomy, Table::full),
                                            ::testing::Values(Turns::one, Turns::several)),
                         [](const auto& tested) {
                           return nameOf(std::get<0>(tested.param)) + nameOf(std::get<1>(tested.param)) +
                                  nameOf(std::get<2>(tested.param));
                         });

// The listener of a server whose loop has other work, too.
class AcceptQueue : public ::testing::Test {
 protected:
  asio::io_context io;
  RecordingDownstreamObserver observer;
  DownstreamServer server{io, {}, observer, std::make_shared<MemoryBudget>(1 << 20)};
};

TEST_F(AcceptQueue, IsTakenInBatchesSoThatOtherEventsComeBetween) {
  constexpr std::size_t kWaiting = 200, kMostInOneTurn = 64;
  server.listen(loopback(), false);
  std::vector<std::unique_ptr<PlainClient>> clients;
  for (std::size_t i = 0; i < kWaiting; ++i)
    clients.push_back(std::make_unique<PlainClient>(io, server.localEndpoint()));
  std::size_t before = 0;
  while (server.connections() < kWaiting) {
    ASSERT_GT(io.run_one_for(kTestTimeout), 0u);
    EXPECT_LE(server.connections() - before, kMostInOneTurn);
    before = server.connections();
  }
}

}  // namespace
}  // namespace hollyrun::gateway::testing
