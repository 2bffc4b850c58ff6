// The soak's oracle reports a violation of each rule, and a seed always yields the same fault schedule.
#include "lab/soak/soak.hpp"

#include <gtest/gtest.h>

#include "lab/soak/fault_schedule.hpp"
#include "lab/soak/oracle.hpp"

namespace hollyrun::lab {
namespace {

using namespace std::chrono_literals;
using balancer::Idempotency;

class SoakOracleTest : public ::testing::Test {
 protected:
  SoakOracle oracle{50ms};
  const SoakClass read{"read", Idempotency::idempotent, 0ns}, write{"write", Idempotency::none, 0ns},
      put{"put", Idempotency::keyed, 2s};

  void sent(const SoakClass& requestClass) { oracle.requestSent("q", requestClass, 0, 10s, 1s); }
  void expectOnly(SoakRule rule) {
    ASSERT_EQ(oracle.violations().size(), 1u);
    EXPECT_EQ(oracle.violations()[0].rule, rule) << oracle.violations()[0].text;
  }
};

TEST_F(SoakOracleTest, ReportsNothingForAServedRequest) {
  sent(write);
  oracle.requestArrived("q", 0, 990ms, 10005ms);
  oracle.requestExecuted("q", 10005ms);
  oracle.requestAnswered("q", 200, "q", 10020ms);
  oracle.finish(20s);
  EXPECT_TRUE(oracle.violations().empty());
  EXPECT_EQ(oracle.count(200), 1u);
}

TEST_F(SoakOracleTest, CatchesAnUnansweredRequest) {
  sent(read);
  oracle.finish(20s);
  expectOnly(SoakRule::unanswered);
}

TEST_F(SoakOracleTest, CatchesAConnectionClosedWithoutAResponse) {
  sent(read);
  oracle.closedUnanswered("q", 10010ms);
  oracle.finish(20s);
  expectOnly(SoakRule::unanswered);
}

TEST_F(SoakOracleTest, ExcusesUnansweredRequestsOfAKilledProcess) {
  sent(read);
  oracle.gatewayKilled(0);
  oracle.gatewayEnded(0, 10005ms);
  oracle.closedUnanswered("q", 10010ms);
  oracle.finish(20s);
  EXPECT_TRUE(oracle.violations().empty());
}

TEST_F(SoakOracleTest, CatchesALateResponse) {
  sent(read);
  oracle.requestExecuted("q", 10005ms);
  oracle.requestAnswered("q", 200, "q", 11551ms);
  expectOnly(SoakRule::unanswered);
}

TEST_F(SoakOracleTest, ExcusesALateResponseOfAPausedProcess) {
  sent(read);
  oracle.requestExecuted("q", 10005ms);
  oracle.gatewayPaused(0, 10100ms, 11100ms);
  oracle.requestAnswered("q", 200, "q", 12500ms);
  EXPECT_TRUE(oracle.violations().empty());
}

TEST_F(SoakOracleTest, CatchesAnAttemptAfterItsClientDisconnected) {
  sent(read);
  oracle.clientLeft("q", 10050ms);
  oracle.requestArrived("q", 0, 500ms, 10351ms);
  expectOnly(SoakRule::afterLeaving);
}

TEST_F(SoakOracleTest, CatchesADeadlineBeyondTheRemainingTimeOfTheClient) {
  sent(read);
  oracle.requestArrived("q", 0, 990ms, 10300ms);
  expectOnly(SoakRule::toldTooMuch);
}

TEST_F(SoakOracleTest, JudgesADeadlineAtTheArrivalOfTheHeadThatStatesIt) {
  sent(read);
  oracle.requestArrived("q", 0, 990ms, 11000ms, 10005ms);
  EXPECT_TRUE(oracle.violations().empty());
}

TEST_F(SoakOracleTest, CatchesADeadlineThatTheHeadOfALargeRequestStatesTooLate) {
  sent(read);
  oracle.requestArrived("q", 0, 990ms, 11000ms, 10300ms);
  expectOnly(SoakRule::toldTooMuch);
}

TEST_F(SoakOracleTest, CatchesAnAttemptAtADrainingServer) {
  sent(read);
  oracle.announcedNotServing(0, 3, 8700ms);
  oracle.requestArrived("q", 3, 500ms, 10000ms);
  expectOnly(SoakRule::afterDrain);
}

TEST_F(SoakOracleTest, CatchesAnAttemptAtADrainThatTheAgentHasThoughNoWatchIsOpen) {
  sent(read);
  oracle.agentHasNotServing(0, 3, 8700ms);
  oracle.requestArrived("q", 3, 500ms, 10000ms);
  expectOnly(SoakRule::afterDrain);
}

TEST_F(SoakOracleTest, CountsADrainOfAnOutageFromTheReturnOfDiscovery) {
  sent(read);
  oracle.agentUnreachable(0, 5s);
  oracle.agentHasNotServing(0, 3, 6s);
  oracle.requestArrived("q", 3, 500ms, 10000ms);
  EXPECT_TRUE(oracle.violations().empty());
  oracle.agentReachable(0, 9500ms);
  oracle.requestArrived("q", 3, 500ms, 10690ms);
  EXPECT_TRUE(oracle.violations().empty());
  oracle.requestArrived("q", 3, 200ms, 10710ms);
  expectOnly(SoakRule::afterDrain);
}

TEST_F(SoakOracleTest, CountsAWrittenDrainThoughTheAgentIsUnreachable) {
  sent(read);
  oracle.agentUnreachable(0, 5s);
  oracle.announcedNotServing(0, 3, 8700ms);
  oracle.requestArrived("q", 3, 500ms, 10000ms);
  expectOnly(SoakRule::afterDrain);
}

TEST_F(SoakOracleTest, GoesOnToCountADrainWhoseGraceHadPassedBeforeAnOutage) {
  sent(read);
  oracle.agentHasNotServing(0, 3, 7s);
  oracle.agentUnreachable(0, 9s);
  oracle.requestArrived("q", 3, 500ms, 10000ms);
  expectOnly(SoakRule::afterDrain);
}

TEST_F(SoakOracleTest, CountsADrainAfterTheDelayOfALateAgent) {
  sent(read);
  oracle.agentDelayed(0, 600ms);
  oracle.agentHasNotServing(0, 3, 8400ms);
  oracle.requestArrived("q", 3, 500ms, 10190ms);
  EXPECT_TRUE(oracle.violations().empty());
  oracle.requestArrived("q", 3, 500ms, 10210ms);
  expectOnly(SoakRule::afterDrain);
}

TEST_F(SoakOracleTest, AKillAfterTermExcusesOnlyRequestsThatWereJustWritten) {
  sent(read);
  oracle.gatewayKilledAfterTerm(0, 10040ms);
  oracle.closedUnanswered("q", 10041ms);
  EXPECT_TRUE(oracle.violations().empty());
  oracle.gatewayKilledAfterTerm(0, 10060ms);
  oracle.closedUnanswered("q", 10061ms);
  expectOnly(SoakRule::unanswered);
}

TEST_F(SoakOracleTest, ACrowdExcusesOnlyNewConnections) {
  sent(read);
  oracle.crowdArrived(0);
  oracle.closedUnanswered("q", 10010ms, true);
  EXPECT_TRUE(oracle.violations().empty());
  oracle.closedUnanswered("q", 10010ms, false);
  expectOnly(SoakRule::unanswered);
}

TEST_F(SoakOracleTest, CatchesASecondExecutionOfANonIdempotentRequest) {
  sent(write);
  oracle.requestExecuted("q", 10005ms);
  oracle.requestExecuted("q", 10100ms);
  expectOnly(SoakRule::ranTwice);
}

TEST_F(SoakOracleTest, CatchesARejectionOfAnExecutedNonIdempotentRequest) {
  sent(write);
  oracle.requestExecuted("q", 10005ms);
  oracle.requestAnswered("q", 503, "", 10100ms);
  expectOnly(SoakRule::ranTwice);
}

TEST_F(SoakOracleTest, CatchesARepeatedExecutionAfterTheWindow) {
  sent(put);
  oracle.requestExecuted("q", 10005ms);
  oracle.requestExecuted("q", 12200ms);
  EXPECT_TRUE(oracle.violations().empty());
  oracle.requestExecuted("q", 12206ms);
  expectOnly(SoakRule::ranTwice);
}

TEST_F(SoakOracleTest, CatchesARequestThatNoClientSent) {
  oracle.requestArrived("stray", 0, 500ms, 10s);
  expectOnly(SoakRule::nobodysRequest);
}

TEST_F(SoakOracleTest, CatchesTheResponseToAnotherRequest) {
  sent(read);
  oracle.requestExecuted("q", 10005ms);
  oracle.requestAnswered("q", 200, "other", 10010ms);
  expectOnly(SoakRule::wrongAnswer);
}

TEST_F(SoakOracleTest, CatchesA200ResponseThatNoServerExecuted) {
  sent(read);
  oracle.requestAnswered("q", 200, "q", 10010ms);
  expectOnly(SoakRule::wrongAnswer);
}

TEST_F(SoakOracleTest, CatchesTooManyRequestsToANewlyStartedServer) {
  oracle.requestSent("q", read, 0, 10s, 10s);
  oracle.serverStarted(2, {2s, 36}, 10s);  // 36 + 2 * 6 + 2
  for (int i = 0; i < 50; ++i)
    oracle.requestArrived("q", 2, 500ms, 11s);
  EXPECT_TRUE(oracle.violations().empty());
  oracle.requestArrived("q", 2, 500ms, 11s);
  expectOnly(SoakRule::coldFlood);
}

TEST(SoakFaults, AreDeterministicForASeedAndOverlap) {
  const auto first = drawSoakFaults(7, 20s), second = drawSoakFaults(7, 20s);
  ASSERT_EQ(first.size(), second.size());
  EXPECT_GT(first.size(), 15u);
  for (std::size_t i = 0; i < first.size(); ++i)
    EXPECT_EQ(textOf(first[i]), textOf(second[i]));
  EXPECT_FALSE(overlaps(first).empty());
  EXPECT_NE(textOf(drawSoakFaults(8, 20s)[0]), textOf(first[0]));
}

}  // namespace
}  // namespace hollyrun::lab
