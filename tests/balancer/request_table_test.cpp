// Tests of RequestTable and RequestClassTable.
#include "balancer/request_table.hpp"

#include <gtest/gtest.h>

namespace hollyrun::balancer::testing {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

TEST(RequestTableTest, ReusedSlotInvalidatesEarlierReferences) {
  RequestTable requests;
  PendingRequest& first = requests.insert(1);
  first.attempts[0] = {.host = 4, .inFlight = true};
  first.attemptCount = 1;
  const RequestReference reference{first.slot, first.id};
  EXPECT_NE(requests.findInFlight(reference, 4), nullptr);
  EXPECT_EQ(requests.findInFlight(reference, 5), nullptr);
  requests.erase(first);
  EXPECT_EQ(requests.find(1), nullptr);
  EXPECT_EQ(requests.insert(2).slot, reference.slot);
  EXPECT_EQ(requests.findInFlight(reference, 4), nullptr);
  EXPECT_EQ(requests.size(), 1u);
}

class RequestClassTableTest : public ::testing::Test {
 protected:
  RequestClassTableTest() {
    settings_.classes.resize(2);
    settings_.classes[0].name = "a";
    settings_.classes[1].name = "b";
    settings_.classes[1].idempotency = Idempotency::idempotent;
    classes_.applySettings(settings_);
  }
  Settings settings_;
  RequestClassTable classes_;
};

TEST_F(RequestClassTableTest, UnknownClassIsNeverRepeatedAndHasLowestPriority) {
  for (const std::uint32_t index : {2u, 100u, kNone}) {
    EXPECT_EQ(classes_.at(index)->settings.idempotency, Idempotency::none);
    EXPECT_EQ(classes_.at(index)->settings.priorityWeight, 0);
  }
}

TEST_F(RequestClassTableTest, ChangedClassGetsNewRecordWithCopiedStatistics) {
  const std::shared_ptr<RequestClass> before = classes_.at(1);
  const std::shared_ptr<RequestClass> unchanged = classes_.at(0);
  before->expectedServiceTime = 0.1;
  settings_.classes[1].priorityWeight = 5;
  classes_.applySettings(settings_);
  EXPECT_EQ(classes_.at(0), unchanged);
  EXPECT_NE(classes_.at(1), before);
  EXPECT_EQ(before->settings.priorityWeight, 1);
  EXPECT_EQ(classes_.at(1)->settings.priorityWeight, 5);
  EXPECT_EQ(classes_.at(1)->expectedServiceTime, 0.1);
}

}  // namespace
}  // namespace hollyrun::balancer::testing
