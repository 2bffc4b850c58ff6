// Tests of OutlierDetector: ejection, probation, rejections, failures per class and silence.
#include "balancer/outlier_detector.hpp"

#include <gtest/gtest.h>

namespace hollyrun::balancer::testing {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

class OutlierDetectorTest : public ::testing::Test {
 protected:
  OutlierDetectorTest() {
    for (int i = 0; i < 8; ++i) {
      Endpoint endpoint;
      endpoint.address = "host" + std::to_string(i);
      endpoints_.update(endpoint);
    }
    endpoints_.reindex();
  }
  void record(HostId host, Outcome outcome, int times = 1) {
    for (int i = 0; i < times; ++i)
      detector_.recordResult(endpoints_.record(host), host, requestClass_, outcome, now_, random_, actions_);
  }
  void sweep() {
    detector_.beginSweep(endpoints_, 0.2, now_);
    detector_.ejectOutliers(endpoints_, now_, random_, actions_);
  }
  HealthState state(HostId host) const { return endpoints_.record(host).health.state; }

  Settings settings_;
  Time now_ = seconds(100);
  RandomSource random_{1};
  ActionList actions_;
  EndpointRegistry endpoints_{settings_};
  RequestClass requestClass_;
  OutlierDetector detector_;
};

TEST_F(OutlierDetectorTest, FailingEndpointIsEjectedAndRecoversThroughProbation) {
  record(0, Outcome::error, 8);
  sweep();
  EXPECT_EQ(state(0), HealthState::ejected);
  EXPECT_EQ(state(1), HealthState::healthy);
  now_ += milliseconds(1250);
  sweep();
  EXPECT_EQ(state(0), HealthState::probation);
  record(0, Outcome::served);
  EXPECT_EQ(state(0), HealthState::healthy);
}

TEST_F(OutlierDetectorTest, FailureInProbationEjectsAgainForLonger) {
  record(0, Outcome::error, 8);
  sweep();
  now_ += milliseconds(1250);
  sweep();
  record(0, Outcome::timeout);
  EXPECT_EQ(state(0), HealthState::ejected);
  EXPECT_GE(endpoints_.record(0).health.ejectedUntil - now_, milliseconds(1500));
}

TEST_F(OutlierDetectorTest, FailureOfAllEndpointsEjectsNone) {
  for (HostId host = 0; host < 8; ++host)
    record(host, Outcome::error, 8);
  sweep();
  for (HostId host = 0; host < 8; ++host)
    EXPECT_EQ(state(host), HealthState::healthy) << host;
}

TEST_F(OutlierDetectorTest, EjectsAtMostHalfOfPool) {
  for (HostId host = 0; host < 5; ++host)
    record(host, Outcome::error, 8);
  sweep();
  int ejected = 0;
  for (HostId host = 0; host < 8; ++host)
    ejected += state(host) == HealthState::ejected ? 1 : 0;
  EXPECT_EQ(ejected, 4);
}

TEST_F(OutlierDetectorTest, ThreeConsecutiveRejectionsPauseEndpoint) {
  record(0, Outcome::rejected, 2);
  EXPECT_TRUE(OutlierDetector::rejectionIndicatesPoolOverload(endpoints_.record(0)));
  EXPECT_EQ(endpoints_.record(0).health.pausedUntil, Time{});
  record(0, Outcome::rejected);
  EXPECT_FALSE(OutlierDetector::rejectionIndicatesPoolOverload(endpoints_.record(0)));
  EXPECT_GE(endpoints_.record(0).health.pausedUntil, now_ + milliseconds(50));
  record(0, Outcome::served);
  EXPECT_TRUE(OutlierDetector::rejectionIndicatesPoolOverload(endpoints_.record(0)));
}

TEST_F(OutlierDetectorTest, ClassFailuresReduceSelectionOfThatEndpointAndClassOnly) {
  EXPECT_EQ(detector_.selectionFraction(0, requestClass_), 1);
  record(0, Outcome::error, 5);
  EXPECT_LT(detector_.selectionFraction(0, requestClass_), 0.2);
  EXPECT_GE(detector_.selectionFraction(0, requestClass_), 0.03);
  EXPECT_EQ(detector_.selectionFraction(1, requestClass_), 1);
  EXPECT_EQ(detector_.selectionFraction(0, RequestClass{}), 1);
}

TEST_F(OutlierDetectorTest, EndpointWithAttemptAndNoResponseBecomesSilent) {
  RequestTable requests;
  PendingRequest& request = requests.insert(1);
  request.attempts[0] = {.host = 0, .sentAt = now_, .inFlight = true};
  request.attemptCount = 1;
  endpoints_.addAttempt(0, request);
  detector_.detectSilence(endpoints_, requests, 0.1, now_ + milliseconds(400));
  EXPECT_FALSE(endpoints_.record(0).health.silent);
  detector_.detectSilence(endpoints_, requests, 0.1, now_ + milliseconds(401));
  EXPECT_TRUE(endpoints_.record(0).health.silent);
}

}  // namespace
}  // namespace hollyrun::balancer::testing
