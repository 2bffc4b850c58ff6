// Tests of ServiceTimeModel: expected and relative service times.
#include "balancer/service_time.hpp"

#include <gtest/gtest.h>

namespace hollyrun::balancer::testing {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

class ServiceTimeModelTest : public ::testing::Test {
 protected:
  ServiceTimeModelTest() { record_.machineType = &machineType_; }
  void recordServed(double elapsedSeconds, int times) {
    for (int i = 0; i < times; ++i)
      model_.recordServed(record_, requestClass_, 1, elapsedSeconds, 1);
  }
  Settings settings_;
  SlowStart slowStart_{settings_};
  ServiceTimeModel model_{slowStart_};
  MachineTypeRecord machineType_;
  EndpointRecord record_;
  RequestClass requestClass_;
};

TEST_F(ServiceTimeModelTest, ExpectsMeanOfAnswers) {
  recordServed(0.1, 10);
  EXPECT_DOUBLE_EQ(requestClass_.expectedServiceTime, 0.1);
  recordServed(0.12, 500);
  EXPECT_NEAR(requestClass_.expectedServiceTime, 0.12, 0.001);
}

TEST_F(ServiceTimeModelTest, ExtremeAnswerCountsAsTwiceTheExpectedTime) {
  recordServed(0.1, 100);
  recordServed(60, 1);
  EXPECT_NEAR(requestClass_.expectedServiceTime, 0.1 + 0.02 * 0.1, 1e-9);
}

TEST_F(ServiceTimeModelTest, SlowEndpointHasHighRelativeServiceTime) {
  requestClass_.expectedServiceTime = 0.1;
  requestClass_.answers = 1e9;
  for (int i = 0; i < 50; ++i) {
    requestClass_.expectedServiceTime = 0.1;
    recordServed(0.3, 1);
  }
  EXPECT_NEAR(record_.serviceTime.relative, 3, 0.05);
}

TEST_F(ServiceTimeModelTest, RejectionRaisesRelativeServiceTime) {
  model_.recordRejected(record_, 1);
  EXPECT_DOUBLE_EQ(record_.serviceTime.relative, 1 + 0.1 * (2 - 1));
}

TEST_F(ServiceTimeModelTest, TimeoutCountsOnlyBeyondExpectedTime) {
  model_.recordTimeout(record_, requestClass_, 1, 5, 1);
  EXPECT_EQ(record_.serviceTime.relative, 1) << "no expected service time is known yet";
  requestClass_.expectedServiceTime = 0.1;
  model_.recordTimeout(record_, requestClass_, 1, 0.05, 1);
  EXPECT_EQ(record_.serviceTime.relative, 1);
  model_.recordTimeout(record_, requestClass_, 1, 0.5, 1);
  EXPECT_GT(record_.serviceTime.relative, 1);
}

TEST_F(ServiceTimeModelTest, CostIsRelativeToMeanAndBounded) {
  EXPECT_EQ(model_.recordCost(requestClass_, Duration{}), 1);
  EXPECT_EQ(model_.recordCost(requestClass_, milliseconds(10)), 1);
  EXPECT_NEAR(model_.recordCost(requestClass_, milliseconds(20)), 2, 0.05);
  EXPECT_EQ(model_.recordCost(requestClass_, seconds(10)), 5);
  EXPECT_EQ(model_.recordCost(requestClass_, Duration(1)), 0.2);
}

}  // namespace
}  // namespace hollyrun::balancer::testing
