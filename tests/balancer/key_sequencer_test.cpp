// Tests of KeySequencer: the order of requests per key.
#include "balancer/key_sequencer.hpp"

#include <gtest/gtest.h>

#include <vector>

namespace hollyrun::balancer::testing {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

class KeySequencerTest : public ::testing::Test {
 protected:
  std::vector<std::uint32_t> visitDueSlots(Time now) {
    std::vector<std::uint32_t> slots;
    sequencer_.visitDue(now, [&](std::uint32_t slot, Time) { slots.push_back(slot); });
    return slots;
  }
  KeySequencer sequencer_;
};

TEST_F(KeySequencerTest, VisitsOnlyFirstRequestOfKey) {
  EXPECT_EQ(sequencer_.enqueue(7, 10), 0u);
  EXPECT_EQ(sequencer_.enqueue(7, 11), 1u);
  sequencer_.markDue(7);
  EXPECT_EQ(visitDueSlots(seconds(1)), std::vector<std::uint32_t>{10});
}

TEST_F(KeySequencerTest, RemovingFirstRequestMakesNextOneDue) {
  sequencer_.enqueue(7, 10);
  sequencer_.enqueue(7, 11);
  sequencer_.remove(7, 10);
  EXPECT_EQ(visitDueSlots(seconds(1)), std::vector<std::uint32_t>{11});
}

TEST_F(KeySequencerTest, KeysDoNotWaitForEachOther) {
  sequencer_.enqueue(7, 10);
  sequencer_.enqueue(8, 11);
  sequencer_.markDue(7);
  sequencer_.markDue(8);
  EXPECT_EQ(visitDueSlots(seconds(1)), (std::vector<std::uint32_t>{10, 11}));
}

TEST_F(KeySequencerTest, VisitThatRemovesRequestIsFollowedByNextOne) {
  sequencer_.enqueue(7, 10);
  sequencer_.enqueue(7, 11);
  sequencer_.markDue(7);
  std::vector<std::uint32_t> slots;
  sequencer_.visitDue(seconds(1), [&](std::uint32_t slot, Time) {
    slots.push_back(slot);
    sequencer_.remove(7, slot);
  });
  EXPECT_EQ(slots, (std::vector<std::uint32_t>{10, 11}));
}

TEST_F(KeySequencerTest, CooldownOutlastsRequestThatStartedIt) {
  sequencer_.enqueue(7, 10);
  sequencer_.startCooldown(7, seconds(5));
  sequencer_.remove(7, 10);
  EXPECT_TRUE(visitDueSlots(seconds(1)).empty());
  sequencer_.removeIdle(seconds(4));
  sequencer_.enqueue(7, 11);
  sequencer_.markDue(7);
  Time cooldown{};
  sequencer_.visitDue(seconds(4), [&](std::uint32_t, Time until) { cooldown = until; });
  EXPECT_EQ(cooldown, seconds(5));
  sequencer_.remove(7, 11);
  EXPECT_TRUE(visitDueSlots(seconds(5)).empty());
  sequencer_.enqueue(7, 12);
  sequencer_.markDue(7);
  sequencer_.visitDue(seconds(5), [&](std::uint32_t, Time until) { cooldown = until; });
  EXPECT_EQ(cooldown, Time{}) << "the cooldown must be removed once it is over";
}

}  // namespace
}  // namespace hollyrun::balancer::testing
