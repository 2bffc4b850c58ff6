/// The limits on a streamed response: the progress that its host has to make, and its size.
#pragma once

#include <chrono>
#include <cstddef>
#include <cstdint>

namespace hollyrun::gateway {

/// Largest body in bytes of a streamed response whose length is not announced.
inline constexpr std::uint64_t kMaxOpenEndedBody = 32 << 20;

/// Tracks whether the host of a streamed response still makes progress. Until its deadline a response may be
/// as slow as it likes. A large one may take longer than that, but only as long as its host keeps up a
/// minimum rate: one that its host never ends would keep both connections open for good.
class ResponseProgress {
 public:
  using TimePoint = std::chrono::steady_clock::time_point;

  /// The length of an interval. A response that stops just before its deadline still ends within half a
  /// second of it, which is the longest that a client waits beyond its deadline.
  static constexpr std::chrono::milliseconds kInterval{500};
  /// The least number of bytes per interval. At most one read, so that a delayed event loop, which handles
  /// one read before the expired timer, does not end a response whose host is fast enough.
  static constexpr std::size_t kMinBytesPerInterval = 12 << 10;

  explicit ResponseProgress(TimePoint deadline = {}) : deadline_(deadline) {}

  bool isPaused() const { return isPaused_; }
  /// The response is not being read because its client reads more slowly than its host sends.
  void pause() { isPaused_ = true; }
  void resume(TimePoint now) {
    isPaused_ = false;
    beginInterval(now);
  }

  void recordReceived(std::size_t bytes) {
    intervalBytes_ += bytes;
    totalBytes_ += bytes;
  }
  std::uint64_t totalBytes() const { return totalBytes_; }

  /// The time at which the current interval ends.
  TimePoint intervalEnd() const { return intervalEnd_; }
  /// To be called at intervalEnd(). Returns false if the host was too slow; otherwise begins the next
  /// interval.
  bool completeInterval(TimePoint now) {
    const bool isTooSlow = intervalEnd_ >= deadline_ && intervalBytes_ < kMinBytesPerInterval;
    beginInterval(now);
    return !isTooSlow;
  }

 private:
  // The interval before the last one ahead of the deadline is as long as necessary for one to end there.
  void beginInterval(TimePoint now) {
    intervalBytes_ = 0;
    const TimePoint lastIntervalStart = deadline_ - kInterval;
    intervalEnd_ = now < lastIntervalStart ? lastIntervalStart : now + kInterval;
  }

  TimePoint deadline_;
  TimePoint intervalEnd_;
  std::size_t intervalBytes_ = 0;
  std::uint64_t totalBytes_ = 0;
  bool isPaused_ = true;
};

}  // namespace hollyrun::gateway
