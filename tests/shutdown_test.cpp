// Requests whose last byte comes late in a graceful shutdown: each is answered before the process may be
// killed.
#include "gateway/shutdown_schedule.hpp"
#include "gateway_fixture.hpp"

namespace hollyrun::gateway::testing {
namespace {

using namespace std::chrono_literals;
using Clock = std::chrono::steady_clock;

// --- The schedule ---------------------------------------------------------------------------------------

std::vector<balancer::ClassSettings> classesWithTimeouts(std::initializer_list<balancer::Duration> timeouts) {
  std::vector<balancer::ClassSettings> classes;
  for (const balancer::Duration timeout : timeouts)
    classes.emplace_back().clientTimeout = timeout;
  return classes;
}

// The platform kills a process the longest client timeout and 0.7 s after it requested the shutdown.
TEST(ShutdownSchedule, LastResponseIsDueBeforeTheProcessMayBeKilled) {
  constexpr ShutdownSchedule::TimePoint kStart{};
  const ShutdownSchedule schedule = planShutdown(kStart, classesWithTimeouts({400ms, 1500ms, 1s}));
  EXPECT_EQ(schedule.stopAccepting, kStart + 700ms);
  EXPECT_EQ(schedule.lastResponse, kStart + 700ms + 1500ms - kKillMargin);
}

TEST(ShutdownSchedule, CountsAClientTimeoutAsThreeSecondsAtMost) {
  constexpr ShutdownSchedule::TimePoint kStart{};
  EXPECT_EQ(planShutdown(kStart, classesWithTimeouts({20s, 1s})).lastResponse, kStart + 3700ms - kKillMargin);
}

TEST(ShutdownSchedule, LeavesTimeForResponsesWhereClientTimeoutsAreShort) {
  constexpr ShutdownSchedule::TimePoint kStart{};
  EXPECT_EQ(planShutdown(kStart, classesWithTimeouts({100ms})).lastResponse, kStart + 750ms);
  EXPECT_EQ(planShutdown(kStart, {}).lastResponse, kStart + 700ms);
}

// --- Late requests --------------------------------------------------------------------------------------

constexpr auto kClientTimeout = 1500ms;
constexpr auto kKilledAfter = kClientTimeout + 700ms;  // After the shutdown was requested.

class LateRequestTest : public GatewayTest {
 protected:
  // Starts a gateway with one host, which reads requests and never answers.
  void startWithHangingHost() {
    for (auto& requestClass : config["settings"]["grades"])
      requestClass["giveUpNs"] = requestClass["aimNs"] =
          std::chrono::duration_cast<std::chrono::nanoseconds>(kClientTimeout).count();
    addHost("a", [](PeerConnection&, std::size_t) {});
    start();
  }
  void shutDown() {
    gateway->shutDown([&] { drained = true; });
    shutDownAt = Clock::now();
  }
  ::testing::AssertionResult untilAfterShutdown(Clock::duration time) {
    return untilMeasured([&] { return Clock::now() > shutDownAt + time; });
  }
  void expectAnsweredInTime(const Client& connection) {
    ASSERT_TRUE(untilMeasured([&] { return !connection.answers.empty() || connection.closedByPeer; }));
    EXPECT_LT(Clock::now() - shutDownAt, kKilledAfter + stalled);
    EXPECT_FALSE(connection.answers.empty()) << "closed without an answer";
  }

  Clock::time_point shutDownAt;
  bool drained = false;
};

enum class Part { head, body, upload };
enum class Position { firstOnConnection, laterOnConnection };

struct LateRequest {
  const char* name;
  Part latePart;
  Position position;
  std::chrono::milliseconds completedAfter;  // After the shutdown was requested.
};

class EveryLateRequest : public LateRequestTest, public ::testing::WithParamInterface<LateRequest> {
 protected:
  // A request in two parts, the second of which is sent late.
  std::pair<std::string, std::string> parts() {
    const std::string body(GetParam().latePart == Part::upload ? 200'000 : 1000, 'b');
    const std::string whole = text("write", "", body);
    const std::size_t firstSize = GetParam().latePart == Part::head ? 40 : whole.size() - 500;
    return {whole.substr(0, firstSize), whole.substr(firstSize)};
  }
  std::shared_ptr<Client> connect() {
    auto connection = client();
    if (GetParam().position == Position::laterOnConnection) {
      connection->send("GET /up HTTP/1.1\r\nHost: x\r\n\r\n");
      EXPECT_TRUE(until([&] { return connection->answers.size() == 1; }));
      connection->answers.clear();
    }
    return connection;
  }
};

// Guards against a request that gets its full time although the process may be killed before, which leaves it
// unanswered where its host hangs.
TEST_P(EveryLateRequest, IsAnsweredBeforeTheProcessMayBeKilled) {
  startWithHangingHost();
  const auto connection = connect();
  const auto [firstPart, lastPart] = parts();
  connection->send(firstPart);
  shutDown();
  ASSERT_TRUE(untilAfterShutdown(GetParam().completedAfter));
  connection->send(lastPart);
  expectAnsweredInTime(*connection);
}

// Guards against a request whose last byte comes just as the process is killed.
TEST_P(EveryLateRequest, IsRejectedUnsentIfItIsIncompleteBeforeTheProcessMayBeKilled) {
  startWithHangingHost();
  const auto connection = connect();
  connection->send(parts().first);
  shutDown();
  ASSERT_TRUE(untilMeasured([&] { return !connection->answers.empty() || connection->closedByPeer; }));
  EXPECT_LT(Clock::now() - shutDownAt, kKilledAfter + stalled);
  if (GetParam().latePart != Part::head) {
    ASSERT_EQ(connection->answers.size(), 1u);
    EXPECT_EQ(connection->answers[0].result_int(), 503u);
  }
  EXPECT_TRUE(reached.empty());
  connection->close();
  EXPECT_TRUE(until([&] { return drained; }));
}

INSTANTIATE_TEST_SUITE_P(
    Requests, EveryLateRequest,
    ::testing::Values(LateRequest{"Head", Part::head, Position::firstOnConnection, 1200ms},
                      LateRequest{"HeadJustBeforeTheEnd", Part::head, Position::firstOnConnection, 1900ms},
                      LateRequest{"Body", Part::body, Position::firstOnConnection, 1200ms},
                      LateRequest{"Upload", Part::upload, Position::firstOnConnection, 1200ms},
                      LateRequest{"HeadOfLaterRequest", Part::head, Position::laterOnConnection, 1200ms},
                      LateRequest{"BodyOfLaterRequest", Part::body, Position::laterOnConnection, 1200ms},
                      LateRequest{"UploadOfLaterRequest", Part::upload, Position::laterOnConnection, 1200ms}),
    [](const auto& request) { return std::string(request.param.name); });

// The limit of a shutdown shortens only what would outlive the process.
TEST_F(LateRequestTest, RequestThatArrivesEarlyInAShutdownKeepsItsTime) {
  startWithHangingHost();
  auto connection = client();
  connection->send(text("write", "X-Deadline-Ms: 800\r\n"));
  shutDown();
  ASSERT_TRUE(until([&] { return hosts[0]->requests.size() == 1; }));
  EXPECT_GT(std::stol(hosts[0]->requests[0]["X-Deadline-Ms"].to_string()), 400);
}

}  // namespace
}  // namespace hollyrun::gateway::testing
