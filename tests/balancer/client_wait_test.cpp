// Tests of ClientWaitEstimator and KeyFrequency.
#include "balancer/client_wait.hpp"

#include <gtest/gtest.h>

#include "balancer/key_frequency.hpp"

namespace hollyrun::balancer::testing {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

TEST(ClientWaitEstimatorTest, FirstTryHasNotWaited) {
  ClientWaitEstimator estimator;
  for (int i = 0; i < 20; ++i)
    EXPECT_EQ(estimator.record(seconds(1), seconds(3)), Duration{});
}

TEST(ClientWaitEstimatorTest, ShorterRemainingTimeGivesTimeAlreadyWaited) {
  ClientWaitEstimator estimator;
  for (int i = 0; i < 20; ++i)
    estimator.record(seconds(1), seconds(3));
  EXPECT_EQ(estimator.record(milliseconds(600), seconds(3)), milliseconds(2400));
}

TEST(ClientWaitEstimatorTest, UsualRemainingTimeFollowsMajorityOfRequests) {
  ClientWaitEstimator estimator;
  estimator.record(seconds(2), seconds(3));
  for (int i = 0; i < 200; ++i)
    estimator.record(seconds(1), seconds(3));
  EXPECT_NEAR(toSeconds(estimator.usualRemaining()), 1, 0.06);
}

TEST(KeyFrequencyTest, FewRequestsDoNotMakeKeyFrequent) {
  KeyFrequency frequency;
  frequency.record(7);
  EXPECT_DOUBLE_EQ(frequency.fractionOf(7), 1.0 / 64);
  EXPECT_EQ(frequency.fractionOf(8), 0);
}

TEST(KeyFrequencyTest, CountsOverTheLast256Requests) {
  KeyFrequency frequency;
  for (std::uint64_t i = 0; i < 512; ++i)
    frequency.record(i < 256 ? 1 : i % 4 == 0 ? 7 : 100 + i);
  EXPECT_EQ(frequency.fractionOf(1), 0);
  EXPECT_DOUBLE_EQ(frequency.fractionOf(7), 0.25);
}

}  // namespace
}  // namespace hollyrun::balancer::testing
