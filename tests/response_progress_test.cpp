// The limits on a streamed response, with times that the tests set.
#include "gateway/response_progress.hpp"

#include <gtest/gtest.h>

namespace hollyrun::gateway {
namespace {

using namespace std::chrono_literals;

constexpr ResponseProgress::TimePoint kStart{};
constexpr auto kDeadline = kStart + 2s;
constexpr auto kLatestEnd = kDeadline + 500ms;  // A client waits half a second beyond its deadline.
constexpr std::size_t kEnough = ResponseProgress::kMinBytesPerInterval;

class ResponseProgressTest : public ::testing::Test {
 protected:
  ResponseProgress progress{kDeadline};

  // Completes intervals until the response is ended, and returns when that is. `bytesFrom` is called at the
  // start of each interval and returns how many bytes arrive in it.
  template <class Bytes>
  ResponseProgress::TimePoint endOfResponse(ResponseProgress::TimePoint begin, Bytes bytesFrom) {
    progress.resume(begin);
    for (auto now = begin; now < kDeadline + 1h;) {
      progress.recordReceived(bytesFrom(now));
      now = progress.intervalEnd();
      if (!progress.completeInterval(now))
        return now;
    }
    return kDeadline + 1h;
  }
};

// Guards against a response that its host never ends and that keeps its connections open for good.
TEST_F(ResponseProgressTest, SilentResponseEndsAtItsDeadline) {
  EXPECT_EQ(endOfResponse(kStart + 100ms, [](auto) { return 0u; }), kDeadline);
}

// Guards against a limit that each byte renews.
TEST_F(ResponseProgressTest, ResponseBelowMinimumRateEndsAtItsDeadline) {
  EXPECT_EQ(endOfResponse(kStart + 100ms, [](auto) { return kEnough - 1; }), kDeadline);
}

TEST_F(ResponseProgressTest, ResponseThatBecomesSilentAroundItsDeadlineEndsHalfASecondAfterIt) {
  EXPECT_LE(endOfResponse(kStart, [](auto now) { return now < kDeadline ? kEnough : 0; }), kLatestEnd);
  EXPECT_LE(endOfResponse(kDeadline, [](auto) { return 0u; }), kLatestEnd);
  EXPECT_LE(endOfResponse(kDeadline - 1ms, [](auto) { return 0u; }), kLatestEnd);
}

TEST_F(ResponseProgressTest, ResponseMayBeSilentBeforeItsDeadline) {
  progress.resume(kStart);
  EXPECT_EQ(progress.intervalEnd(), kDeadline - ResponseProgress::kInterval);
  EXPECT_TRUE(progress.completeInterval(progress.intervalEnd()));
  EXPECT_EQ(progress.intervalEnd(), kDeadline);
  progress.recordReceived(kEnough);
  EXPECT_TRUE(progress.completeInterval(progress.intervalEnd()));
}

TEST_F(ResponseProgressTest, ResponseAtMinimumRateContinuesBeyondItsDeadline) {
  EXPECT_EQ(endOfResponse(kStart, [](auto) { return kEnough; }), kDeadline + 1h);
}

TEST_F(ResponseProgressTest, TimeInWhichTheResponseIsNotReadDoesNotCount) {
  progress.resume(kStart);
  progress.pause();
  EXPECT_TRUE(progress.isPaused());
  progress.resume(kDeadline + 10s);
  EXPECT_FALSE(progress.isPaused());
  EXPECT_EQ(progress.intervalEnd(), kDeadline + 10s + ResponseProgress::kInterval);
}

}  // namespace
}  // namespace hollyrun::gateway
