// The soak's oracle catches a gateway that breaks each rule, and its troubles are drawn the same from a seed.
#include "lab/soak/soak.hpp"

#include <gtest/gtest.h>

#include "lab/soak/ledger.hpp"
#include "lab/soak/troubles.hpp"

namespace hollyrun::lab {
namespace {

using namespace std::chrono_literals;
using balancer::Idempotency;

class Ledger : public ::testing::Test {
 protected:
  SoakLedger ledger{50ms};
  const SoakClass read{"read", Idempotency::idempotent, 0ns}, write{"write", Idempotency::none, 0ns},
      put{"put", Idempotency::keyed, 2s};

  void sent(const SoakClass& cls) { ledger.sent("q", cls, 0, 10s, 1s); }
  void expectOnly(SoakRule rule) {
    ASSERT_EQ(ledger.breaks().size(), 1u);
    EXPECT_EQ(ledger.breaks()[0].rule, rule) << ledger.breaks()[0].text;
  }
};

TEST_F(Ledger, FindsNothingInARequestThatIsServed) {
  sent(write);
  ledger.arrived("q", 0, 990ms, 10005ms);
  ledger.ran("q", 10005ms);
  ledger.answered("q", 200, "q", 10020ms);
  ledger.finish(20s);
  EXPECT_TRUE(ledger.breaks().empty());
  EXPECT_EQ(ledger.count(200), 1u);
}

TEST_F(Ledger, CatchesARequestThatIsNeverAnswered) {
  sent(read);
  ledger.finish(20s);
  expectOnly(SoakRule::unanswered);
}

TEST_F(Ledger, CatchesAConnectionThatIsClosedWithNoAnswer) {
  sent(read);
  ledger.closedUnanswered("q", 10010ms);
  ledger.finish(20s);
  expectOnly(SoakRule::unanswered);
}

TEST_F(Ledger, ExcusesWhatAKilledProcessHadTaken) {
  sent(read);
  ledger.killed(0, 10005ms);
  ledger.closedUnanswered("q", 10010ms);
  ledger.finish(20s);
  EXPECT_TRUE(ledger.breaks().empty());
}

TEST_F(Ledger, CatchesAnAnswerThatComesTooLate) {
  sent(read);
  ledger.ran("q", 10005ms);
  ledger.answered("q", 200, "q", 11551ms);
  expectOnly(SoakRule::unanswered);
}

TEST_F(Ledger, ExcusesALateAnswerOfAProcessThatWasStopped) {
  sent(read);
  ledger.ran("q", 10005ms);
  ledger.heldUp(0, 10100ms, 11100ms);
  ledger.answered("q", 200, "q", 12500ms);
  EXPECT_TRUE(ledger.breaks().empty());
}

TEST_F(Ledger, CatchesAnAttemptAfterItsClientLeft) {
  sent(read);
  ledger.left("q", 10050ms);
  ledger.arrived("q", 0, 500ms, 10351ms);
  expectOnly(SoakRule::afterLeaving);
}

TEST_F(Ledger, CatchesADeadlineLongerThanTheClientHasLeft) {
  sent(read);
  ledger.arrived("q", 0, 990ms, 10300ms);
  expectOnly(SoakRule::toldTooMuch);
}

TEST_F(Ledger, CatchesAnAttemptAtAServerThatDrains) {
  sent(read);
  ledger.toldNotServing(0, 3, 8700ms);
  ledger.arrived("q", 3, 500ms, 10000ms);
  expectOnly(SoakRule::afterDrain);
}

TEST_F(Ledger, CatchesASecondRunOfAFragileRequest) {
  sent(write);
  ledger.ran("q", 10005ms);
  ledger.ran("q", 10100ms);
  expectOnly(SoakRule::ranTwice);
}

TEST_F(Ledger, CatchesARefusalOfAFragileRequestThatHasRun) {
  sent(write);
  ledger.ran("q", 10005ms);
  ledger.answered("q", 503, "", 10100ms);
  expectOnly(SoakRule::ranTwice);
}

TEST_F(Ledger, CatchesARepeatPastItsWindow) {
  sent(put);
  ledger.ran("q", 10005ms);
  ledger.ran("q", 12200ms);
  EXPECT_TRUE(ledger.breaks().empty());
  ledger.ran("q", 12206ms);
  expectOnly(SoakRule::ranTwice);
}

TEST_F(Ledger, CatchesARequestThatNobodySent) {
  ledger.arrived("stray", 0, 500ms, 10s);
  expectOnly(SoakRule::nobodysRequest);
}

TEST_F(Ledger, CatchesTheAnswerToAnotherRequest) {
  sent(read);
  ledger.ran("q", 10005ms);
  ledger.answered("q", 200, "other", 10010ms);
  expectOnly(SoakRule::wrongAnswer);
}

TEST_F(Ledger, CatchesAServedRequestThatNoServerRan) {
  sent(read);
  ledger.answered("q", 200, "q", 10010ms);
  expectOnly(SoakRule::wrongAnswer);
}

TEST_F(Ledger, CatchesAFloodOfAServerThatHasJustStarted) {
  ledger.sent("q", read, 0, 10s, 10s);
  ledger.serverStarted(2, {2s, 36}, 10s);  // 36 + 2 * 6 + 2
  for (int i = 0; i < 50; ++i)
    ledger.arrived("q", 2, 500ms, 11s);
  EXPECT_TRUE(ledger.breaks().empty());
  ledger.arrived("q", 2, 500ms, 11s);
  expectOnly(SoakRule::coldFlood);
}

TEST(SoakTroubles, AreTheSameForASeedAndOverlap) {
  const auto first = drawTroubles(7, 20s), second = drawTroubles(7, 20s);
  ASSERT_EQ(first.size(), second.size());
  EXPECT_GT(first.size(), 15u);
  for (std::size_t i = 0; i < first.size(); ++i)
    EXPECT_EQ(textOf(first[i]), textOf(second[i]));
  EXPECT_FALSE(overlaps(first).empty());
  EXPECT_NE(textOf(drawTroubles(8, 20s)[0]), textOf(first[0]));
}

}  // namespace
}  // namespace hollyrun::lab
