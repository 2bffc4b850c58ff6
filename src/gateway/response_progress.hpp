/// The limits on a streamed response: when it has to end, and its size.
#pragma once

#include <algorithm>
#include <chrono>
#include <cstdint>
#include <optional>

#include "gateway/body_stream.hpp"

namespace hollyrun::gateway {

/// Largest body in bytes of a streamed response whose length is not announced.
inline constexpr std::uint64_t kMaxOpenEndedBody = 32 << 20;

/// Decides when a streamed response is given up. A short response has to end soon after the deadline of its
/// request. A long one, by its announced length or by what has been received, is followed for as long as its
/// host sends, however slowly; it ends once the host has been silent for kMaxSilence.
class ResponseProgress {
 public:
  using TimePoint = std::chrono::steady_clock::time_point;

  /// Responses of more bytes than this are long.
  static constexpr std::uint64_t kLongResponseBytes = kBufferedBodyLimit;
  /// From the deadline to the end of a short response. The client waits half a second; the rest is for a
  /// delayed event loop.
  static constexpr std::chrono::milliseconds kShortResponseGrace{450};
  static constexpr std::chrono::seconds kMaxSilence{10};

  explicit ResponseProgress(TimePoint deadline = {}, std::optional<std::uint64_t> announcedBytes = {})
      : deadline_(deadline), announcedBytes_(announcedBytes.value_or(0)) {}

  bool isPaused() const { return isPaused_; }
  /// The response is not being read because its client reads more slowly than its host sends.
  void pause() { isPaused_ = true; }
  void resume(TimePoint now) {
    isPaused_ = false;
    lastReceivedAt_ = now;
    graceFrom_ = std::max(deadline_, now);
  }

  void recordReceived(std::size_t bytes, TimePoint now) {
    totalBytes_ += bytes;
    lastReceivedAt_ = now;
  }
  std::uint64_t totalBytes() const { return totalBytes_; }
  bool isLong() const { return std::max(announcedBytes_, totalBytes_) > kLongResponseBytes; }
  /// How long the host has sent nothing although the response was being read.
  std::chrono::steady_clock::duration silence(TimePoint now) const {
    return isPaused_ ? std::chrono::steady_clock::duration{} : now - lastReceivedAt_;
  }

  /// The time at which the response is given up unless the host sends more.
  TimePoint endsAt() const {
    return isLong() ? std::max(deadline_, lastReceivedAt_ + kMaxSilence) : graceFrom_ + kShortResponseGrace;
  }

 private:
  TimePoint deadline_;
  std::uint64_t announcedBytes_;
  TimePoint lastReceivedAt_;
  TimePoint graceFrom_;
  std::uint64_t totalBytes_ = 0;
  bool isPaused_ = true;
};

}  // namespace hollyrun::gateway
