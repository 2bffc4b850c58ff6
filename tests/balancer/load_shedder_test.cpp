// Tests of PriorityRanking and LoadShedder.
#include "balancer/load_shedder.hpp"

#include <gtest/gtest.h>

#include <cmath>

namespace hollyrun::balancer::testing {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

TEST(PriorityRankingTest, HigherPriorityRanksAboveAllOfLowerOne) {
  PriorityRanking ranking;
  for (int i = 0; i < 50; ++i) {
    ranking.rank(1, 0.5);
    ranking.rank(10, 0.5);
  }
  EXPECT_LT(ranking.rank(1, 0.9), ranking.rank(10, 0));
  EXPECT_NEAR(ranking.rank(10, 0), 0.5, 0.02) << "half of the traffic ranks below";
}

TEST(PriorityRankingTest, EqualPrioritiesAreSpreadByTheDraw) {
  PriorityRanking ranking;
  for (int i = 0; i < 50; ++i)
    ranking.rank(1, 0.5);
  EXPECT_DOUBLE_EQ(ranking.rank(1, 0.25), 0.25);
  EXPECT_DOUBLE_EQ(ranking.rank(1, 0.75), 0.75);
}

TEST(PriorityRankingTest, TrafficThatHasStoppedIsForgotten) {
  PriorityRanking ranking;
  for (int i = 0; i < 50; ++i)
    ranking.rank(1, 0.5);
  for (int sweep = 0; sweep < 2000; ++sweep)
    ranking.decay(0.008);
  EXPECT_DOUBLE_EQ(ranking.rank(10, 0), 0);
}

TEST(LoadShedderTest, ThresholdIsCubeOfInFlightOverload) {
  LoadShedder shedder;
  shedder.updateThreshold(50, 100, 1);
  EXPECT_EQ(shedder.threshold(), 0) << "nothing is shed up to half of the maximum";
  shedder.updateThreshold(75, 100, 1);
  EXPECT_DOUBLE_EQ(shedder.threshold(), 100 * std::pow(0.5, 3));
  EXPECT_FALSE(shedder.hasSpareCapacity());
  shedder.updateThreshold(1000, 100, 1);
  EXPECT_DOUBLE_EQ(shedder.threshold(), 100);
}

TEST(LoadShedderTest, SparseSamplesStartSheddingEarlierAndMoreGradually) {
  LoadShedder sparse;
  sparse.updateThreshold(100, 100, 0.05);
  LoadShedder steady;
  steady.updateThreshold(100, 100, 1);
  EXPECT_LT(sparse.threshold(), steady.threshold());
  sparse.updateThreshold(45, 100, 0.05);
  steady.updateThreshold(45, 100, 1);
  EXPECT_GT(sparse.threshold(), steady.threshold());
}

TEST(LoadShedderTest, LogLineIsDueOncePerFifthOfRange) {
  LoadShedder shedder;
  EXPECT_FALSE(shedder.hasChangedBand());
  shedder.updateThreshold(100, 100, 1);
  EXPECT_TRUE(shedder.hasChangedBand());
  shedder.markLogged();
  EXPECT_FALSE(shedder.hasChangedBand());
}

}  // namespace
}  // namespace hollyrun::balancer::testing
