// Tests of ConcurrencyLimit, the limit on attempts in flight.
#include "balancer/concurrency_limit.hpp"

#include <gtest/gtest.h>

namespace hollyrun::balancer::testing {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

class ConcurrencyLimitTest : public ::testing::Test {
 protected:
  ConcurrencyLimitTest() {
    settings_.replicaCount = 2;
    ClassSettings requestClass;
    requestClass.latencyObjective = seconds(1);
    settings_.classes.push_back(requestClass);
    for (int i = 0; i < 4; ++i) {
      Endpoint endpoint;
      endpoint.address = "host" + std::to_string(i);
      endpoints_.update(endpoint);
    }
    endpoints_.reindex();
  }
  PendingRequest& sendTo(HostId host, Time at) {
    PendingRequest& request = requests_.insert(++lastId_);
    request.attempts[0] = {.host = host, .sentAt = at, .inFlight = true};
    request.attemptCount = 1;
    endpoints_.addAttempt(host, request);
    return request;
  }

  Settings settings_;
  ArrivalRate arrivals_;
  SlowStart slowStart_{settings_};
  ServiceTimeModel serviceTimes_{slowStart_};
  EndpointRegistry endpoints_{settings_};
  RequestTable requests_;
  RequestId lastId_ = 0;
};

TEST_F(ConcurrencyLimitTest, AssumesSixAttemptsPerEndpointAtStartThenTwo) {
  const ConcurrencyLimit limit(settings_, arrivals_, serviceTimes_, seconds(100));
  EXPECT_DOUBLE_EQ(limit.maximum(4, seconds(100)), 4 * 6.0 / 2) << "the maximum is shared by two gateways";
  EXPECT_DOUBLE_EQ(limit.maximum(4, seconds(101)), 4 * 2.0 / 2);
}

TEST_F(ConcurrencyLimitTest, FollowsTheRateOfTimelyAnswersByLittlesLaw) {
  ConcurrencyLimit limit(settings_, arrivals_, serviceTimes_, seconds(0));
  for (int sweep = 0; sweep < 200; ++sweep) {
    for (int i = 0; i < 10; ++i)
      limit.recordServed(1, 1);
    limit.sweepRate();
  }
  EXPECT_NEAR(limit.maximum(4, seconds(100)), 100 * 0.45, 0.1)
      << "100 answers per second, each allowed 0.45 of the one-second objective";
}

TEST_F(ConcurrencyLimitTest, RejectionsReduceMaximumByAtMostHalf) {
  ConcurrencyLimit limit(settings_, arrivals_, serviceTimes_, seconds(0));
  const double before = limit.maximum(4, seconds(100));
  for (int i = 0; i < 1000; ++i) {
    limit.recordOutcome();
    limit.recordRejection(1);
  }
  EXPECT_DOUBLE_EQ(limit.maximum(4, seconds(100)), before / 2);
}

TEST_F(ConcurrencyLimitTest, CountsRecentAttemptsAtHealthyEndpoints) {
  const ConcurrencyLimit limit(settings_, arrivals_, serviceTimes_, seconds(0));
  sendTo(0, seconds(90));
  sendTo(0, seconds(100));
  sendTo(1, seconds(100));
  sendTo(2, seconds(100));
  EXPECT_EQ(limit.inFlightNow(endpoints_, requests_, seconds(100)), 3)
      << "one of the four attempts is too old to count";
  endpoints_.record(2).health.silent = true;
  EXPECT_EQ(limit.inFlightNow(endpoints_, requests_, seconds(100)), 2);
}

TEST_F(ConcurrencyLimitTest, AttemptsInFlightWhileNothingIsShedStayAllowed) {
  ConcurrencyLimit limit(settings_, arrivals_, serviceTimes_, seconds(0));
  for (int i = 0; i < 200; ++i)
    limit.smoothAtSweep(40);
  limit.sweepBaseline(false, endpoints_);
  EXPECT_NEAR(limit.maximum(4, seconds(100)), 4, 1e-9);
  limit.sweepBaseline(true, endpoints_);
  EXPECT_NEAR(limit.maximum(4, seconds(100)), 40, 0.1);
}

}  // namespace
}  // namespace hollyrun::balancer::testing
