// Tests of ConnectionTracker: open connections, idle timeouts and failed dials.
#include "balancer/connection_tracker.hpp"

#include <gtest/gtest.h>

namespace hollyrun::balancer::testing {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

class ConnectionTrackerTest : public ::testing::Test {
 protected:
  Settings settings_;
  RandomSource random_{1};
  EndpointRecord record_;
  ConnectionTracker tracker_{settings_};
};

TEST_F(ConnectionTrackerTest, OpensConnectionOnlyIfNoneIsFree) {
  EXPECT_FALSE(tracker_.hasFreeConnection(record_, seconds(1)));
  tracker_.use(record_, seconds(1));
  EXPECT_EQ(record_.connections.open, 1u);
  EXPECT_TRUE(tracker_.hasFreeConnection(record_, seconds(1)));
  tracker_.use(record_, seconds(2));
  EXPECT_EQ(record_.connections.open, 1u);
  record_.inFlight = 1;
  tracker_.use(record_, seconds(2));
  EXPECT_EQ(record_.connections.open, 2u);
}

TEST_F(ConnectionTrackerTest, IdleConnectionEndsAtIdleTimeout) {
  settings_.idleTimeout = seconds(10);
  tracker_.use(record_, seconds(1));
  EXPECT_TRUE(tracker_.hasFreeConnection(record_, seconds(11) - Duration(1)));
  EXPECT_FALSE(tracker_.hasFreeConnection(record_, seconds(11)));
}

TEST_F(ConnectionTrackerTest, FailedDialPausesNewConnectionsAndKeepsOpenOnesInUse) {
  record_.connections.open = 2;
  tracker_.recordResult(record_, {}, Outcome::connectFailed, seconds(1), random_);
  EXPECT_EQ(record_.connections.open, 1u);
  EXPECT_TRUE(tracker_.isReachable(record_, seconds(1))) << "one open connection is left and still in use";
  record_.inFlight = 1;
  EXPECT_FALSE(tracker_.isReachable(record_, seconds(1) + milliseconds(499)));
  EXPECT_TRUE(tracker_.isReachable(record_, seconds(1) + milliseconds(1500)));
}

TEST_F(ConnectionTrackerTest, ClosesConnectionsOnlyAfterFiveIdleSeconds) {
  EXPECT_FALSE(tracker_.shouldCloseIdle(record_, seconds(100))) << "no connection is open";
  tracker_.use(record_, seconds(1));
  EXPECT_FALSE(tracker_.shouldCloseIdle(record_, seconds(6) - Duration(1)));
  EXPECT_TRUE(tracker_.shouldCloseIdle(record_, seconds(6)));
  record_.inFlight = 1;
  EXPECT_FALSE(tracker_.shouldCloseIdle(record_, seconds(6)));
}

}  // namespace
}  // namespace hollyrun::balancer::testing
