// Tests that the deadline which an attempt advertises to its upstream host is the client's remaining time
// when the first byte of the attempt is written, regardless of how long connecting took.
#include "gateway_fixture.hpp"

namespace hollyrun::gateway::testing {
namespace {

using Clock = std::chrono::steady_clock;
using std::chrono::milliseconds;

class AdvertisedDeadline : public GatewayTest {
 protected:
  static constexpr milliseconds kClientTimeout{8000};
  static constexpr milliseconds kConnectDelay{600};

  static std::string ok() { return answerText(200, "", "ok"); }
  static std::string deadlineHeader() {
    return "X-Deadline-Ms: " + std::to_string(kClientTimeout.count()) + "\r\n";
  }
  static long long deadlineSentTo(const Peer& host) {
    return std::stoll(std::string(host.requests.at(0)["X-Deadline-Ms"]));
  }

  // Delays connections to the host until part of the client's timeout has elapsed.
  void delayConnections(Peer& host, Clock::time_point since) {
    host.pause();
    resumeAfterDelay(host, since);
  }
  void resumeAfterDelay(Peer& host, Clock::time_point since) {
    ASSERT_TRUE(until([&] { return Clock::now() - since >= kConnectDelay; }));
    resumedAt_ = Clock::now();
    host.resume();
  }

  // No request was written before the host resumed, so the client had waited at least until then.
  void expectDeadlineWithinTimeLeft(const Peer& host, Clock::time_point sentAt) {
    const auto elapsed = std::chrono::duration_cast<milliseconds>(resumedAt_ - sentAt);
    EXPECT_LE(deadlineSentTo(host), (kClientTimeout - elapsed).count());
    EXPECT_GT(deadlineSentTo(host), 0);
  }

 private:
  Clock::time_point resumedAt_;
};

TEST_F(AdvertisedDeadline, ExcludesTheConnectTimeOfAFirstAttempt) {
  config["settings"]["ceilings"]["connectTimeoutNs"] = 20'000'000'000;
  addHost("a", always(ok()));
  start();
  hosts[0]->pause();
  auto connection = client();
  const auto sentAt = Clock::now();
  connection->send(text("read", deadlineHeader()));
  resumeAfterDelay(*hosts[0], sentAt);
  ASSERT_TRUE(until([&] { return connection->answers.size() == 1; }));
  EXPECT_EQ(connection->answers[0].result_int(), 200u);
  expectDeadlineWithinTimeLeft(*hosts[0], sentAt);
}

TEST_F(AdvertisedDeadline, ExcludesTheConnectTimeOfARetry) {
  config["settings"]["ceilings"]["connectTimeoutNs"] = 20'000'000'000;
  Peer* second = nullptr;
  twoHosts(failFirst([&](PeerConnection& hostConnection) {
    second = hosts[reached[0] == "s-0" ? 1 : 0].get();
    second->pause();
    hostConnection.reset();
  }));
  auto connection = client();
  const auto sentAt = Clock::now();
  connection->send(text("read", deadlineHeader()));
  ASSERT_TRUE(until([&] { return second != nullptr; }));
  resumeAfterDelay(*second, sentAt);
  ASSERT_TRUE(until([&] { return connection->answers.size() == 1; }));
  EXPECT_EQ(connection->answers[0].result_int(), 200u);
  expectDeadlineWithinTimeLeft(*second, sentAt);
}

TEST_F(AdvertisedDeadline, IsTheWholeTimeoutForAnUploadThatEndsWhileConnecting) {
  config["settings"]["ceilings"]["connectTimeoutNs"] = 20'000'000'000;
  addHost("a", always(ok()));
  start();
  hosts[0]->pause();
  auto connection = client();
  // The body exceeds the buffer limit, so it is streamed, and the gateway reads all of it at once.
  const std::string body(kBufferedBodyLimit + 8'000, 'x');
  connection->send(text("write", deadlineHeader(), body));
  const auto sentAt = Clock::now();
  resumeAfterDelay(*hosts[0], sentAt);
  ASSERT_TRUE(until([&] { return connection->answers.size() == 1; }));
  EXPECT_EQ(connection->answers[0].result_int(), 200u);
  EXPECT_LE(deadlineSentTo(*hosts[0]), kClientTimeout.count());
}

}  // namespace
}  // namespace hollyrun::gateway::testing
