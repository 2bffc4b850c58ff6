/// Estimates when a client may have written the last byte of a request that is not read as fast as it comes.
#pragma once

#include <algorithm>
#include <array>
#include <chrono>
#include <cstddef>
#include <cstdint>
#include <optional>

namespace hollyrun::gateway {

/// While the gateway pauses reading, bytes wait in the kernel's buffers of both machines, possibly up to the
/// last one. The estimate is the earliest time at which that one may have been written, so that a response
/// that is due after it is never late.
class ClientWriteEstimate {
 public:
  using TimePoint = std::chrono::steady_clock::time_point;

  /// The most that a client's machine holds unsent, by Linux's default limit on a send buffer.
  static constexpr std::uint64_t kMaxSendBuffer = 4 << 20;

  /// The length of the body is known. While more of it is missing than a send buffer holds, its last byte has
  /// not been written.
  void expectTotal(std::uint64_t bytes) { expected_ = bytes; }
  /// Bytes have come: `totalBytes` of the request's body so far, some of which may still be unread.
  void recordArrived(std::uint64_t totalBytes, TimePoint now) {
    backlogSince_ = backlogSince_.value_or(now);
    for (std::uint64_t mark = arrived_ / kMarkInterval + 1; mark <= totalBytes / kMarkInterval; ++mark)
      arrivedAt_[mark % kMarks] = now;
    arrived_ = std::max(arrived_, totalBytes);
  }
  /// Nothing that the client has written is unread.
  void recordDrained() { backlogSince_.reset(); }

  bool hasBacklog() const { return backlogSince_.has_value(); }
  TimePoint earliestLastByte(TimePoint now) const {
    if (!backlogSince_ || expected_ > arrived_ + kMaxSendBuffer)
      return now;
    // What has arrived beyond a full send buffer was written after the bytes before it had arrived.
    if (arrived_ < kMaxSendBuffer + kMarkInterval)
      return *backlogSince_;
    const std::uint64_t mark = (arrived_ - kMaxSendBuffer) / kMarkInterval;
    return std::max(*backlogSince_, arrivedAt_[mark % kMarks]);
  }

 private:
  static constexpr std::uint64_t kMarkInterval = 1 << 20;
  static constexpr std::size_t kMarks = kMaxSendBuffer / kMarkInterval + 2;

  std::optional<TimePoint> backlogSince_;
  std::uint64_t arrived_ = 0;
  std::uint64_t expected_ = 0;
  std::array<TimePoint, kMarks> arrivedAt_{};
};

}  // namespace hollyrun::gateway
