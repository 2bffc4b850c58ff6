// Tests of RetryPolicy: retry budget, idempotency, placement and last useful time.
#include "balancer/retry_policy.hpp"

#include <gtest/gtest.h>

namespace hollyrun::balancer::testing {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

class RetryPolicyTest : public ::testing::Test {
 protected:
  RetryPolicyTest() {
    request_.requestClass = std::make_shared<RequestClass>();
    first_.address = "a:1";
    first_.zone = "a";
    first_.cell = 1;
    second_ = first_;
    second_.address = "b:1";
    endpoints_.update(first_);
    endpoints_.update(second_);
  }
  ClassSettings& classSettings() { return request_.requestClass->settings; }
  void addAttempt(bool mayHaveExecuted) {
    request_.attempts[0] = {.host = 0, .sentAt = seconds(10), .mayHaveExecuted = mayHaveExecuted};
    request_.attemptCount = 1;
  }
  bool isAllowed(Time now = seconds(11)) const {
    return policy_.isAllowed(request_, second_, endpoints_, now);
  }

  Settings settings_;
  PendingRequest request_;
  Endpoint first_;
  Endpoint second_;
  EndpointRegistry endpoints_{settings_};
  RetryPolicy policy_{settings_};
};

TEST_F(RetryPolicyTest, BudgetGrowsByThreeTenthsPerRequestUpToLimit) {
  for (int i = 0; i < 3; ++i) {
    EXPECT_TRUE(policy_.hasBudget());
    policy_.spendBudget();
  }
  EXPECT_FALSE(policy_.hasBudget());
  for (int i = 0; i < 4; ++i)
    policy_.recordArrival(0);
  EXPECT_TRUE(policy_.hasBudget());
  for (int i = 0; i < 100; ++i)
    policy_.recordArrival(0);
  for (int i = 0; i < 3; ++i)
    policy_.spendBudget();
  EXPECT_FALSE(policy_.hasBudget());
}

TEST_F(RetryPolicyTest, ExecutedRequestIsRepeatedAnywhereOnlyIfIdempotent) {
  addAttempt(true);
  classSettings().idempotency = Idempotency::none;
  EXPECT_FALSE(isAllowed());
  EXPECT_FALSE(RetryPolicy::isSafeToRetry(request_));
  classSettings().idempotency = Idempotency::idempotent;
  EXPECT_TRUE(isAllowed());
  EXPECT_TRUE(RetryPolicy::isSafeToRetry(request_));
}

TEST_F(RetryPolicyTest, RequestThatWasNotExecutedIsRepeatedAnywhere) {
  addAttempt(false);
  classSettings().idempotency = Idempotency::none;
  EXPECT_TRUE(isAllowed());
  EXPECT_TRUE(RetryPolicy::isSafeToRetry(request_));
}

TEST_F(RetryPolicyTest, KeyedRequestIsRepeatedOnlyInItsScopeAndWindow) {
  addAttempt(true);
  classSettings().idempotency = Idempotency::keyed;
  classSettings().deduplicationWindow = seconds(5);
  EXPECT_TRUE(isAllowed(seconds(15)));
  EXPECT_FALSE(isAllowed(seconds(15) + Duration(1)));
  classSettings().deduplicationScope = DeduplicationScope::cell;
  EXPECT_TRUE(isAllowed());
  second_.cell = 2;
  EXPECT_FALSE(isAllowed());
  classSettings().deduplicationScope = DeduplicationScope::zone;
  EXPECT_TRUE(isAllowed());
  second_.zone = "b";
  EXPECT_FALSE(isAllowed());
  classSettings().deduplicationScope = DeduplicationScope::all;
  EXPECT_TRUE(isAllowed());
}

TEST_F(RetryPolicyTest, ZonesAndMachineTypesRestrictEachAttempt) {
  classSettings().zones = {"b"};
  EXPECT_FALSE(isAllowed());
  classSettings().zones = {"a", "b"};
  EXPECT_TRUE(isAllowed());
  classSettings().machineTypes.emplace();
  EXPECT_FALSE(isAllowed()) << "an empty list allows none";
}

TEST_F(RetryPolicyTest, AnswerIsUsefulUntilObjectiveOrWithLateValueUntilDeadline) {
  settings_.step = milliseconds(10);
  request_.objectiveAt = seconds(20);
  request_.deadline = seconds(30);
  EXPECT_EQ(policy_.lastUsefulTime(request_), seconds(20) - milliseconds(20));
  classSettings().lateValueFraction = 0.5;
  EXPECT_EQ(policy_.lastUsefulTime(request_), seconds(30) - milliseconds(20));
}

}  // namespace
}  // namespace hollyrun::balancer::testing
