// Expected and relative service times.
#include "balancer/service_time.hpp"

#include <gtest/gtest.h>

namespace hollyrun::balancer::testing {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

class ServiceTimeModelTest : public ::testing::Test {
 protected:
  ServiceTimeModelTest() { record_.machineType = &type_; }
  void served(double taken, int times) {
    for (int i = 0; i < times; ++i)
      model_.recordServed(record_, class_, 1, taken, 1);
  }
  Settings settings_;
  SlowStart slowStart_{settings_};
  ServiceTimeModel model_{slowStart_};
  MachineTypeRecord type_;
  EndpointRecord record_;
  RequestClass class_;
};

TEST_F(ServiceTimeModelTest, ExpectsTheMeanOfTheAnswers) {
  served(0.1, 10);
  EXPECT_DOUBLE_EQ(class_.expectedServiceTime, 0.1);
  served(0.12, 500);
  EXPECT_NEAR(class_.expectedServiceTime, 0.12, 0.001);
}

TEST_F(ServiceTimeModelTest, AnExtremeAnswerCountsAsTwoExpectedTimes) {
  served(0.1, 100);
  served(60, 1);
  EXPECT_NEAR(class_.expectedServiceTime, 0.1 + 0.02 * 0.1, 1e-9);
}

TEST_F(ServiceTimeModelTest, ASlowEndpointHasAHighRelativeServiceTime) {
  class_.expectedServiceTime = 0.1;
  class_.answers = 1e9;
  for (int i = 0; i < 50; ++i) {
    class_.expectedServiceTime = 0.1;
    served(0.3, 1);
  }
  EXPECT_NEAR(record_.serviceTime.relative, 3, 0.05);
}

TEST_F(ServiceTimeModelTest, ARejectionRaisesTheRelativeServiceTime) {
  model_.recordRejected(record_, 1);
  EXPECT_DOUBLE_EQ(record_.serviceTime.relative, 1 + 0.1 * (2 - 1));
}

TEST_F(ServiceTimeModelTest, ATimeOutCountsOnlyBeyondTheExpectedTime) {
  model_.recordTimeout(record_, class_, 1, 5, 1);
  EXPECT_EQ(record_.serviceTime.relative, 1) << "nothing is expected yet";
  class_.expectedServiceTime = 0.1;
  model_.recordTimeout(record_, class_, 1, 0.05, 1);
  EXPECT_EQ(record_.serviceTime.relative, 1);
  model_.recordTimeout(record_, class_, 1, 0.5, 1);
  EXPECT_GT(record_.serviceTime.relative, 1);
}

TEST_F(ServiceTimeModelTest, CostIsRelativeToTheMeanAndBounded) {
  EXPECT_EQ(model_.recordCost(class_, Duration{}), 1);
  EXPECT_EQ(model_.recordCost(class_, milliseconds(10)), 1);
  EXPECT_NEAR(model_.recordCost(class_, milliseconds(20)), 2, 0.05);
  EXPECT_EQ(model_.recordCost(class_, seconds(10)), 5);
  EXPECT_EQ(model_.recordCost(class_, Duration(1)), 0.2);
}

}  // namespace
}  // namespace hollyrun::balancer::testing
