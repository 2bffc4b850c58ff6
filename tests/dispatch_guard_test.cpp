// The guard alone: what it admits, what it denies and which denials are violations.
#include "balancer/dispatch_guard.hpp"

#include <gtest/gtest.h>

namespace hollyrun::balancer {
namespace {

using namespace std::chrono_literals;

class DispatchGuardTest : public ::testing::Test {
 protected:
  AttemptTerms terms{.idempotency = Idempotency::idempotent,
                     .deduplicationScope = DeduplicationScope::all,
                     .deduplicationWindow = 5s,
                     .maxAttempts = 3};
  EndpointStatus server{.id = 0, .zone = "a", .cell = 1};
  AttemptHistory history;
  DispatchGuard guard;
  Time now = 100s;

  Admission admit(std::uint32_t attempt, Duration left = 800ms, bool present = true) {
    return guard.admit({.now = now,
                        .clientPresent = present,
                        .attempt = attempt,
                        .timeLeft = left,
                        .terms = terms,
                        .server = server,
                        .history = history});
  }
  // An earlier attempt, written a second ago to a server of this zone and cell.
  void earlier(Outcome outcome, const std::string& zone = "a", std::int64_t cell = 1) {
    history.recordWrite(0, {.id = 9, .zone = zone, .cell = cell}, now - 1s);
    history.recordEnd(0, outcome);
  }
  void expectDenied(std::uint32_t attempt, DenialReason reason) {
    const auto before = guard.denied(reason);
    EXPECT_EQ(admit(attempt).denied, reason);
    EXPECT_EQ(guard.denied(reason), before + 1);
  }
};

TEST_F(DispatchGuardTest, AdmitsAFirstAttemptWithTheTimeLeftAsItsDeadline) {
  const Admission admission = admit(0, 812'900us);
  EXPECT_FALSE(admission.denied);
  EXPECT_EQ(admission.deadline, 812ms);
}

TEST_F(DispatchGuardTest, DeniesARequestWhoseClientIsDisconnected) {
  EXPECT_EQ(admit(0, 800ms, false).denied, DenialReason::clientDisconnected);
}

TEST_F(DispatchGuardTest, DeniesAnAttemptWithLessThanAMillisecondLeft) {
  EXPECT_FALSE(admit(0, 1ms).denied);
  EXPECT_EQ(admit(0, 999us).denied, DenialReason::deadlineExceeded);
  EXPECT_EQ(admit(0, -1s).denied, DenialReason::deadlineExceeded);
}

TEST_F(DispatchGuardTest, DeniesAServerListedAsDrainingMoreThanHalfASecondAgo) {
  server.state = EndpointState::draining;
  server.stateSince = now - 500ms;
  EXPECT_FALSE(admit(0).denied);
  server.stateSince = now - 501ms;
  expectDenied(0, DenialReason::notServing);
  server.state = EndpointState::removed;
  expectDenied(0, DenialReason::notServing);
}

TEST_F(DispatchGuardTest, DeniesAnotherProcessThanTheOneThatWasChosen) {
  server.upSince = 99s;
  expectDenied(0, DenialReason::restarted);
  terms.serverUpSince = 99s;
  EXPECT_FALSE(admit(0).denied);
}

TEST_F(DispatchGuardTest, DeniesMoreAttemptsThanAllowed) {
  EXPECT_FALSE(admit(2).denied);
  expectDenied(3, DenialReason::attemptsExhausted);
}

TEST_F(DispatchGuardTest, DeniesASecondAttemptWhileOneIsInFlight) {
  history.recordWrite(0, server, now);
  expectDenied(1, DenialReason::hedgingForbidden);
  terms.allowHedging = true;
  EXPECT_FALSE(admit(1).denied);
}

TEST_F(DispatchGuardTest, DeniesTheRepeatOfANonIdempotentRequestThatMayHaveBeenExecuted) {
  terms.idempotency = Idempotency::none;
  for (const Outcome outcome : {Outcome::error, Outcome::timeout, Outcome::reset, Outcome::cancelled}) {
    history = {};
    earlier(outcome);
    expectDenied(1, DenialReason::notIdempotent);
  }
  for (const Outcome outcome :
       {Outcome::rejected, Outcome::connectFailed, Outcome::abandoned, Outcome::localFailure}) {
    history = {};
    earlier(outcome);
    EXPECT_FALSE(admit(1).denied) << "it never ran";
  }
}

TEST_F(DispatchGuardTest, DeniesTheRepeatOfAKeyedRequestPastItsDeduplicationWindow) {
  terms.idempotency = Idempotency::keyed;
  earlier(Outcome::reset);
  terms.deduplicationWindow = 1s;
  EXPECT_FALSE(admit(1).denied);
  terms.deduplicationWindow = 999ms;
  expectDenied(1, DenialReason::deduplicationWindowPassed);
}

TEST_F(DispatchGuardTest, DeniesTheRepeatOfAKeyedRequestOutsideItsDeduplicationScope) {
  terms.idempotency = Idempotency::keyed;
  terms.deduplicationScope = DeduplicationScope::zone;
  earlier(Outcome::timeout, "b", 1);
  expectDenied(1, DenialReason::outsideDeduplicationScope);
  terms.deduplicationScope = DeduplicationScope::cell;
  history = {};
  earlier(Outcome::timeout, "a", 2);
  expectDenied(1, DenialReason::outsideDeduplicationScope);
  terms.deduplicationScope = DeduplicationScope::all;
  EXPECT_FALSE(admit(1).denied);
}

TEST_F(DispatchGuardTest, DistinguishesExpectedRacesFromViolations) {
  for (const DenialReason race :
       {DenialReason::clientDisconnected, DenialReason::deadlineExceeded,
        DenialReason::deduplicationWindowPassed, DenialReason::notServing, DenialReason::restarted})
    EXPECT_FALSE(isViolation(race)) << nameOf(race);
  for (const DenialReason violation :
       {DenialReason::attemptsExhausted, DenialReason::notIdempotent, DenialReason::outsideDeduplicationScope,
        DenialReason::hedgingForbidden})
    EXPECT_TRUE(isViolation(violation)) << nameOf(violation);
}

}  // namespace
}  // namespace hollyrun::balancer
