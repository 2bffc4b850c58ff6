// Tests of DiscoveryPoller.
#include "balancer/discovery_poller.hpp"

#include <gtest/gtest.h>

namespace hollyrun::balancer::testing {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

class DiscoveryPollerTest : public ::testing::Test {
 protected:
  DiscoveryPollerTest() { settings_.pollDiscovery = true; }
  Settings settings_;
  RandomSource random_{1};
  DiscoveryPoller poller_{settings_};
};

TEST_F(DiscoveryPollerTest, PollsOnceUntilAPollFails) {
  EXPECT_TRUE(poller_.startPollIfDue(seconds(1)));
  EXPECT_FALSE(poller_.startPollIfDue(seconds(100)));
  poller_.recordList();
  EXPECT_FALSE(poller_.startPollIfDue(seconds(200))) << "discovery pushes lists after the first poll";
}

TEST_F(DiscoveryPollerTest, NeverPollsIfPollingIsDisabled) {
  settings_.pollDiscovery = false;
  EXPECT_FALSE(poller_.startPollIfDue(seconds(1)));
}

TEST_F(DiscoveryPollerTest, BacksOffExponentiallyWithJitter) {
  Time now = seconds(1);
  for (int failure = 1; failure <= 6; ++failure) {
    ASSERT_TRUE(poller_.startPollIfDue(now));
    poller_.recordFailure(now, random_);
    const Duration backoff = milliseconds(500) * (1 << std::min(failure, 4));
    EXPECT_FALSE(poller_.startPollIfDue(now + backoff / 2 - Duration(1))) << "failure " << failure;
    now += backoff * 3 / 2;
  }
}

TEST_F(DiscoveryPollerTest, MaxDiscoverySilenceBoundsBackoff) {
  settings_.maxDiscoverySilence = seconds(1);
  Time now = seconds(1);
  for (int failure = 0; failure < 6; ++failure) {
    ASSERT_TRUE(poller_.startPollIfDue(now));
    poller_.recordFailure(now, random_);
    now += milliseconds(300);
  }
}

TEST_F(DiscoveryPollerTest, PollsAgainAfterLostAnswer) {
  settings_.maxDiscoverySilence = seconds(10);
  ASSERT_TRUE(poller_.startPollIfDue(seconds(1)));
  EXPECT_FALSE(poller_.startPollIfDue(seconds(6)));
  EXPECT_TRUE(poller_.startPollIfDue(seconds(6) + Duration(1)));
}

}  // namespace
}  // namespace hollyrun::balancer::testing
