// Fixture of the tests in which two events race, such as a disconnect of the client and a connect to a host.
// The order of the events is forced: a peer acts once it has observed an action of the other side, or both
// events are handled in one iteration of the event loop that the peers share with the gateway.
// docs/connections.md names the cells of its table that the tests cover.
#pragma once

#include <chrono>
#include <string>

#include "gateway_fixture.hpp"
#include "leaving_clients.hpp"

namespace hollyrun::gateway::testing {

using namespace std::chrono_literals;
using Clock = std::chrono::steady_clock;

class EventRaceTest : public GatewayTest {
 protected:
  // Runs the event loop until `time` has passed.
  ::testing::AssertionResult runUntil(Clock::time_point time) {
    return until([&] { return Clock::now() > time; });
  }
  // Returns a connected client that has received one response.
  std::shared_ptr<Client> servedClient() {
    auto downstream = client();
    downstream->send(text("read"));
    EXPECT_TRUE(until([&] { return downstream->answers.size() == 1; }));
    return downstream;
  }
  // Blocks the event loop until `time` has passed.
  static void blockUntil(Clock::time_point time) {
    while (Clock::now() <= time) {
    }
  }
  // Makes the requests of a class that have the same key run one after another.
  void sequenceByKey(std::size_t classIndex) { config["settings"]["grades"][classIndex]["inTurn"] = true; }
  // Sets the time limits of all classes beyond the duration of a test.
  void disableTimeLimits() {
    for (auto& requestClass : config["settings"]["grades"])
      requestClass["giveUpNs"] = requestClass["aimNs"] = 600'000'000'000;
  }
  // Two clients send a request with the same key. The second request is queued until the first one completes;
  // its client disconnects meanwhile, so the request must not be sent to the host.
  void disconnectWhileQueuedForKey(const std::string& className, const std::string& body,
                                   const std::string& pipelined, DisconnectKind kind) {
    disableTimeLimits();
    sequenceByKey(className == "read" ? 0 : 1);
    std::shared_ptr<PeerConnection> firstAttempt;
    addHost("a", [&](PeerConnection& connection, std::size_t attempt) {
      if (attempt == 0)
        firstAttempt = connection.shared_from_this();
      else
        connection.reply(ok());
    });
    start();
    const std::string key = "Cookie: obj=1\r\n";
    auto first = client(), second = client();
    first->send(text(className, key));
    ASSERT_TRUE(until([&] { return firstAttempt != nullptr; }));
    second->send(text(className, key, body) + pipelined);
    const auto sentAt = Clock::now();
    ASSERT_TRUE(runUntil(sentAt + 100ms));
    disconnect(*second, kind);
    const auto disconnectedAt = Clock::now();
    // A disconnect has to take effect within 300 ms, as the operators require.
    ASSERT_TRUE(runUntil(disconnectedAt + 300ms));
    firstAttempt->reply(ok());
    ASSERT_TRUE(until([&] { return first->answers.size() == 1; }));
    EXPECT_EQ(ask(text(className, key)).result_int(), 200u);
    EXPECT_EQ(reached.size(), 2u) << "expected only the first and the last request to be sent";
    EXPECT_EQ(hosts[0]->connections.size(), 1u) << "expected no further connection: one that had sent a part "
                                                   "of the abandoned request would have been "
                                                   "closed";
  }
  std::string ok(const std::string& body = "ok") { return answerText(200, "", body); }
};

}  // namespace hollyrun::gateway::testing
