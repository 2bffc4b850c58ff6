// Tests of SlowStart, and of RampDeficit against the sum that it computes incrementally.
#include "balancer/slow_start.hpp"

#include <gtest/gtest.h>

#include <algorithm>
#include <random>

namespace hollyrun::balancer::testing {
namespace {

using std::chrono::seconds;

class SlowStartTest : public ::testing::Test {
 protected:
  SlowStartTest() {
    settings_.slowStartDuration = seconds(20);
    settings_.slowStartInitialFraction = 0.25;
    settings_.overloadMultiple = 2;
    settings_.overloadWindow = seconds(4);
    record_.endpoint.upSince = seconds(100);
    record_.machineType = &machineType_;
  }
  Settings settings_;
  MachineTypeRecord machineType_;
  EndpointRecord record_;
  SlowStart slowStart_{settings_};
};

TEST_F(SlowStartTest, RampsLinearlyFromTheInitialFractionToOne) {
  EXPECT_DOUBLE_EQ(slowStart_.rampFraction(record_, seconds(100)), 0.25);
  EXPECT_DOUBLE_EQ(slowStart_.rampFraction(record_, seconds(110)), 0.625);
  EXPECT_DOUBLE_EQ(slowStart_.rampFraction(record_, seconds(120)), 1);
  EXPECT_FALSE(slowStart_.isCold(record_, seconds(120)));
}

TEST_F(SlowStartTest, StartInTheFutureHasInitialFraction) {
  EXPECT_DOUBLE_EQ(slowStart_.rampFraction(record_, seconds(90)), 0.25);
}

TEST_F(SlowStartTest, ColdEndpointReceivesNoMoreThanItsTokensAllow) {
  machineType_.throughput.peakRate = 100;
  slowStart_.resetForNewProcess(record_, 0, seconds(100));
  EXPECT_FALSE(slowStart_.allows(record_, 0, seconds(100)));
  EXPECT_TRUE(slowStart_.allows(record_, 0, seconds(101)));
  int sent = 0;
  for (; slowStart_.allows(record_, 0, seconds(101)); ++sent)
    slowStart_.spend(record_, seconds(101));
  EXPECT_GT(sent, 1);
  EXPECT_LT(sent, 100) << "a cold endpoint must receive less than a warm one in the same second";
}

TEST_F(SlowStartTest, WarmEndpointNeedsNoTokens) {
  EXPECT_TRUE(slowStart_.allows(record_, 0, seconds(120)));
  slowStart_.spend(record_, seconds(120));
  EXPECT_EQ(record_.slowStart.tokens, 0);
}

TEST(RampDeficitTest, EqualsSumOfRemainingSlowStartFractions) {
  std::mt19937_64 engine(6);
  constexpr double slowStartDuration = 23;
  double now = 5000;
  std::vector<double> starts;
  for (int i = 0; i < 500; ++i)
    starts.push_back(now - 40 * static_cast<double>(engine() % 1000) / 1000);
  RampDeficit deficit;
  deficit.assign(starts);
  for (int i = 0; i < 300; ++i, now += 0.1) {
    double expected = 0;
    for (double start : starts)
      expected += std::max(0.0, 1 - (now - start) / slowStartDuration);
    ASSERT_NEAR(deficit.at(now, slowStartDuration), expected, 1e-9) << "after step " << i;
  }
  EXPECT_EQ(deficit.at(now, slowStartDuration), 0) << "all endpoints are warm";
}

}  // namespace
}  // namespace hollyrun::balancer::testing
