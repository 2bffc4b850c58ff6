// The deadline that an attempt sends to its upstream host is what the client has left as its first byte is
// written, however long the connect took.
#include "gateway_fixture.hpp"

namespace hollyrun::gateway::testing {
namespace {

using Clock = std::chrono::steady_clock;
using std::chrono::milliseconds;

class AdvertisedDeadline : public GatewayTest {
 protected:
  static constexpr milliseconds kClientWait{8000};
  static constexpr milliseconds kHeldBack{600};

  static std::string ok() { return answerText(200, "", "ok"); }
  static std::string waitHeader() { return "X-Deadline-Ms: " + std::to_string(kClientWait.count()) + "\r\n"; }
  static long long deadlineSentTo(const Peer& host) {
    return std::stoll(std::string(host.requests.at(0)["X-Deadline-Ms"]));
  }

  // Its connections come up only once part of the client's time is over.
  void holdBack(Peer& host, Clock::time_point since) {
    host.pause();
    holdUntilSpent(host, since);
  }
  void holdUntilSpent(Peer& host, Clock::time_point since) {
    ASSERT_TRUE(until([&] { return Clock::now() - since >= kHeldBack; }));
    resumed_ = Clock::now();
    host.resume();
  }

  // Nothing was written before the host was there again; so long the client had waited by then.
  void expectDeadlineWithinTimeLeft(const Peer& host, Clock::time_point sent) {
    const auto spent = std::chrono::duration_cast<milliseconds>(resumed_ - sent);
    EXPECT_LE(deadlineSentTo(host), (kClientWait - spent).count());
    EXPECT_GT(deadlineSentTo(host), 0);
  }

 private:
  Clock::time_point resumed_;
};

TEST_F(AdvertisedDeadline, OfAFirstAttemptExcludesASlowConnect) {
  config["settings"]["ceilings"]["connectTimeoutNs"] = 20'000'000'000;
  addHost("a", always(ok()));
  start();
  hosts[0]->pause();
  auto c = client();
  const auto sent = Clock::now();
  c->send(text("read", waitHeader()));
  holdUntilSpent(*hosts[0], sent);
  ASSERT_TRUE(until([&] { return c->answers.size() == 1; }));
  EXPECT_EQ(c->answers[0].result_int(), 200u);
  expectDeadlineWithinTimeLeft(*hosts[0], sent);
}

TEST_F(AdvertisedDeadline, OfARetryExcludesASlowConnect) {
  config["settings"]["ceilings"]["connectTimeoutNs"] = 20'000'000'000;
  Peer* second = nullptr;
  twoHosts(first([&](PeerConnection& c) {
    second = hosts[reached[0] == "s-0" ? 1 : 0].get();
    second->pause();
    c.reset();
  }));
  auto c = client();
  const auto sent = Clock::now();
  c->send(text("read", waitHeader()));
  ASSERT_TRUE(until([&] { return second != nullptr; }));
  holdUntilSpent(*second, sent);
  ASSERT_TRUE(until([&] { return c->answers.size() == 1; }));
  EXPECT_EQ(c->answers[0].result_int(), 200u);
  expectDeadlineWithinTimeLeft(*second, sent);
}

TEST_F(AdvertisedDeadline, OfAnUploadThatEndsDuringItsConnectIsTheClientsTimeout) {
  config["settings"]["ceilings"]["connectTimeoutNs"] = 20'000'000'000;
  addHost("a", always(ok()));
  start();
  hosts[0]->pause();
  auto c = client();
  const std::string body(kBufferedBodyLimit + 8'000, 'x');  // comes in pieces, and all of it is read at once
  c->send(text("write", waitHeader(), body));
  const auto sent = Clock::now();
  holdUntilSpent(*hosts[0], sent);
  ASSERT_TRUE(until([&] { return c->answers.size() == 1; }));
  EXPECT_EQ(c->answers[0].result_int(), 200u);
  EXPECT_LE(deadlineSentTo(*hosts[0]), kClientWait.count());
}

}  // namespace
}  // namespace hollyrun::gateway::testing
