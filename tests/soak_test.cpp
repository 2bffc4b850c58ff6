// The soak's oracle catches a gateway that breaks each rule, and its troubles are drawn the same from a seed.
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

  void sent(const SoakClass& cls) { oracle.sent("q", cls, 0, 10s, 1s); }
  void expectOnly(SoakRule rule) {
    ASSERT_EQ(oracle.breaks().size(), 1u);
    EXPECT_EQ(oracle.breaks()[0].rule, rule) << oracle.breaks()[0].text;
  }
};

TEST_F(SoakOracleTest, FindsNothingInARequestThatIsServed) {
  sent(write);
  oracle.arrived("q", 0, 990ms, 10005ms);
  oracle.ran("q", 10005ms);
  oracle.answered("q", 200, "q", 10020ms);
  oracle.finish(20s);
  EXPECT_TRUE(oracle.breaks().empty());
  EXPECT_EQ(oracle.count(200), 1u);
}

TEST_F(SoakOracleTest, CatchesARequestThatIsNeverAnswered) {
  sent(read);
  oracle.finish(20s);
  expectOnly(SoakRule::unanswered);
}

TEST_F(SoakOracleTest, CatchesAConnectionThatIsClosedWithNoAnswer) {
  sent(read);
  oracle.closedUnanswered("q", 10010ms);
  oracle.finish(20s);
  expectOnly(SoakRule::unanswered);
}

TEST_F(SoakOracleTest, ExcusesWhatAKilledProcessHadTaken) {
  sent(read);
  oracle.killed(0, 10005ms);
  oracle.closedUnanswered("q", 10010ms);
  oracle.finish(20s);
  EXPECT_TRUE(oracle.breaks().empty());
}

TEST_F(SoakOracleTest, CatchesAnAnswerThatComesTooLate) {
  sent(read);
  oracle.ran("q", 10005ms);
  oracle.answered("q", 200, "q", 11551ms);
  expectOnly(SoakRule::unanswered);
}

TEST_F(SoakOracleTest, ExcusesALateAnswerOfAProcessThatWasStopped) {
  sent(read);
  oracle.ran("q", 10005ms);
  oracle.heldUp(0, 10100ms, 11100ms);
  oracle.answered("q", 200, "q", 12500ms);
  EXPECT_TRUE(oracle.breaks().empty());
}

TEST_F(SoakOracleTest, CatchesAnAttemptAfterItsClientLeft) {
  sent(read);
  oracle.left("q", 10050ms);
  oracle.arrived("q", 0, 500ms, 10351ms);
  expectOnly(SoakRule::afterLeaving);
}

TEST_F(SoakOracleTest, CatchesADeadlineLongerThanTheClientHasLeft) {
  sent(read);
  oracle.arrived("q", 0, 990ms, 10300ms);
  expectOnly(SoakRule::toldTooMuch);
}

TEST_F(SoakOracleTest, CatchesAnAttemptAtAServerThatDrains) {
  sent(read);
  oracle.toldNotServing(0, 3, 8700ms);
  oracle.arrived("q", 3, 500ms, 10000ms);
  expectOnly(SoakRule::afterDrain);
}

TEST_F(SoakOracleTest, CatchesASecondRunOfAFragileRequest) {
  sent(write);
  oracle.ran("q", 10005ms);
  oracle.ran("q", 10100ms);
  expectOnly(SoakRule::ranTwice);
}

TEST_F(SoakOracleTest, CatchesARefusalOfAFragileRequestThatHasRun) {
  sent(write);
  oracle.ran("q", 10005ms);
  oracle.answered("q", 503, "", 10100ms);
  expectOnly(SoakRule::ranTwice);
}

TEST_F(SoakOracleTest, CatchesARepeatPastItsWindow) {
  sent(put);
  oracle.ran("q", 10005ms);
  oracle.ran("q", 12200ms);
  EXPECT_TRUE(oracle.breaks().empty());
  oracle.ran("q", 12206ms);
  expectOnly(SoakRule::ranTwice);
}

TEST_F(SoakOracleTest, CatchesARequestThatNobodySent) {
  oracle.arrived("stray", 0, 500ms, 10s);
  expectOnly(SoakRule::nobodysRequest);
}

TEST_F(SoakOracleTest, CatchesTheAnswerToAnotherRequest) {
  sent(read);
  oracle.ran("q", 10005ms);
  oracle.answered("q", 200, "other", 10010ms);
  expectOnly(SoakRule::wrongAnswer);
}

TEST_F(SoakOracleTest, CatchesAServedRequestThatNoServerRan) {
  sent(read);
  oracle.answered("q", 200, "q", 10010ms);
  expectOnly(SoakRule::wrongAnswer);
}

TEST_F(SoakOracleTest, CatchesAFloodOfAServerThatHasJustStarted) {
  oracle.sent("q", read, 0, 10s, 10s);
  oracle.serverStarted(2, {2s, 36}, 10s);  // 36 + 2 * 6 + 2
  for (int i = 0; i < 50; ++i)
    oracle.arrived("q", 2, 500ms, 11s);
  EXPECT_TRUE(oracle.breaks().empty());
  oracle.arrived("q", 2, 500ms, 11s);
  expectOnly(SoakRule::coldFlood);
}

TEST(SoakFaults, AreTheSameForASeedAndOverlap) {
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
