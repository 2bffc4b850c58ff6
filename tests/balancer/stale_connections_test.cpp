// Tests of StaleConnectionEstimator.
#include "balancer/stale_connections.hpp"

#include <gtest/gtest.h>

namespace hollyrun::balancer::testing {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

TEST(StaleConnectionEstimatorTest, BucketLimitsDoubleFromQuarterSecond) {
  EXPECT_EQ(StaleConnectionEstimator::bucketOf(milliseconds(249)), 0u);
  EXPECT_EQ(StaleConnectionEstimator::bucketOf(milliseconds(250)), 1u);
  EXPECT_EQ(StaleConnectionEstimator::bucketOf(milliseconds(499)), 1u);
  EXPECT_EQ(StaleConnectionEstimator::bucketOf(milliseconds(500)), 2u);
  EXPECT_EQ(StaleConnectionEstimator::bucketOf(std::chrono::hours(1)), 7u);
}

TEST(StaleConnectionEstimatorTest, LossesMakeLongerIdleTimesStaleAndShorterOnesNot) {
  StaleConnectionEstimator estimator;
  for (int i = 0; i < 5; ++i)
    estimator.record(4, Outcome::timeout);
  EXPECT_FALSE(estimator.isStale(3));
  EXPECT_TRUE(estimator.isStale(4));
  EXPECT_TRUE(estimator.isStale(7));
}

TEST(StaleConnectionEstimatorTest, LossesOnFreshConnectionsMakeNoneStale) {
  StaleConnectionEstimator estimator;
  for (int i = 0; i < 5; ++i)
    estimator.record(4, Outcome::reset);
  EXPECT_FALSE(estimator.isStale(0));
  EXPECT_TRUE(estimator.isStale(4));
  for (int i = 0; i < 40; ++i)
    estimator.record(0, Outcome::reset);
  EXPECT_FALSE(estimator.isStale(4)) << "attempts on fresh connections are lost as often";
}

TEST(StaleConnectionEstimatorTest, AnswerClearsItsBucketAndDecayClearsAll) {
  StaleConnectionEstimator estimator;
  for (int i = 0; i < 5; ++i)
    estimator.record(4, Outcome::timeout);
  for (int i = 0; i < 5; ++i)
    estimator.record(5, Outcome::served);
  EXPECT_FALSE(estimator.isStale(5));
  EXPECT_TRUE(estimator.isStale(6));
  for (int sweep = 0; sweep < 300; ++sweep)
    estimator.decay();
  EXPECT_FALSE(estimator.isStale(6));
}

TEST(StaleConnectionEstimatorTest, OutcomesWithoutWriteAreIgnored) {
  StaleConnectionEstimator estimator;
  for (const Outcome outcome :
       {Outcome::connectFailed, Outcome::cancelled, Outcome::abandoned, Outcome::localFailure})
    for (int i = 0; i < 20; ++i)
      estimator.record(4, outcome);
  EXPECT_FALSE(estimator.isStale(4));
}

}  // namespace
}  // namespace hollyrun::balancer::testing
