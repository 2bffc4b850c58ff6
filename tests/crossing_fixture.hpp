// The fixture of the tests in which two events cross: each crossing is forced, by peers that act once the
// other side was seen to act, or in one turn of the loop that they share with the gateway.
// docs/connections.md names the cells they stand for.
#pragma once

#include <chrono>
#include <string>

#include "gateway_fixture.hpp"
#include "leaving_clients.hpp"

namespace hollyrun::gateway::testing {

using namespace std::chrono_literals;
using Clock = std::chrono::steady_clock;

class Crossings : public GatewayTest {
 protected:
  ::testing::AssertionResult runPast(Clock::time_point at) {
    return until([&] { return Clock::now() > at; });
  }
  std::shared_ptr<Client> servedClient() {  // connected, and answered once
    auto c = client();
    c->send(text("read"));
    EXPECT_TRUE(until([&] { return c->answers.size() == 1; }));
    return c;
  }
  static void spinPast(Clock::time_point at) {  // the loop does not run meanwhile
    while (Clock::now() <= at) {
    }
  }
  void keepTurns(std::size_t cls) { config["settings"]["grades"][cls]["inTurn"] = true; }
  void waitLong() {  // no time limit ends what a test waits for
    for (auto& grade : config["settings"]["grades"])
      grade["giveUpNs"] = grade["aimNs"] = 600'000'000'000;
  }
  // The second of a key waits for its turn while its client leaves, and may not be sent on any more.
  void leaveInTurn(const std::string& kind, const std::string& body, const std::string& ahead, Leaving how) {
    waitLong();
    keepTurns(kind == "read" ? 0 : 1);
    std::shared_ptr<PeerConnection> held;
    addHost("a", [&](PeerConnection& c, std::size_t n) {
      if (n == 0)
        held = c.shared_from_this();
      else
        c.reply(ok());
    });
    start();
    const std::string key = "Cookie: obj=1\r\n";
    auto first = client(), second = client();
    first->send(text(kind, key));
    ASSERT_TRUE(until([&] { return held != nullptr; }));
    second->send(text(kind, key, body) + ahead);
    const auto sent = Clock::now();
    ASSERT_TRUE(runPast(sent + 100ms));
    leave(*second, how);
    const auto left = Clock::now();
    ASSERT_TRUE(runPast(left + 300ms));  // the operators' term
    held->reply(ok());
    ASSERT_TRUE(until([&] { return first->answers.size() == 1; }));
    EXPECT_EQ(ask(text(kind, key)).result_int(), 200u);
    EXPECT_EQ(reached.size(), 2u) << "the first and the last";
    EXPECT_EQ(hosts[0]->connections.size(), 1u)
        << "nothing of it was sent, or its connection had been closed";
  }
  std::string ok(const std::string& body = "ok") { return answerText(200, "", body); }
};

}  // namespace hollyrun::gateway::testing
