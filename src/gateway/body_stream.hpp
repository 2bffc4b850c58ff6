/// A message body that passes through the gateway in pieces: one side produces it, the other consumes it.
#pragma once

#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <utility>

#include "gateway/memory_budget.hpp"

namespace hollyrun::gateway {

/// Bytes of a body that are buffered whole, so that the request may be sent again.
inline constexpr std::uint64_t kBufferedBodyLimit = 64 << 10;
/// Largest body of a request in bytes.
inline constexpr std::uint64_t kMaxRequestBody = 32 << 20;

/// A bounded buffer with flow control. The producer stops at isFull() and continues at onWritable; either
/// side may end the stream. Both run in the event loop's thread, and each sets the callback of its own side.
class BodyStream {
 public:
  explicit BodyStream(std::shared_ptr<MemoryBudget> budget)
      : budget_(budget), reservation_(std::move(budget), 0) {}

  // --- The producer ---

  /// The buffer has capacity again, or the consumer abandoned the rest.
  std::function<void()> onWritable;

  void append(const std::string& piece) {
    if (abandoned_ || piece.empty())
      return;
    data_ += piece;
    reservation_.resize(data_.size() + consumedBytes_);
    notify(onReadable);
  }

  void finish() {
    finished_ = true;
    notify(onReadable);
  }

  /// The rest will not come.
  void fail() {
    failed_ = !finished_;
    notify(onReadable);
  }

  bool isFull() const { return data_.size() >= budget_->streamBufferLimit(); }
  bool isAbandoned() const { return abandoned_; }

  // --- The consumer ---

  /// More data has come, or the end of the stream.
  std::function<void()> onReadable;

  /// Moves out all that is buffered. What the last call returned counts as processed from here on.
  std::string consume() {
    touched_ = true;
    consumedBytes_ = data_.size();
    std::string piece = std::exchange(data_, {});
    reservation_.resize(consumedBytes_);
    if (!piece.empty())
      notify(onWritable);
    return piece;
  }

  bool isFinished() const { return finished_ && data_.empty(); }
  bool hasFailed() const { return failed_; }
  /// Whether consumption has begun: another attempt can't read the body from its start any more.
  bool consumptionStarted() const { return touched_; }

  /// The consumer does not want the rest.
  void abandon() {
    if (std::exchange(abandoned_, true))
      return;
    onReadable = nullptr;
    data_.clear();
    reservation_.resize(0);
    notify(onWritable);
  }

 private:
  // Calls a copy, because the callback may replace the original while it runs.
  static void notify(const std::function<void()>& callback) {
    if (const auto copy = callback)
      copy();
  }

  std::shared_ptr<MemoryBudget> budget_;
  MemoryReservation reservation_;
  std::string data_;
  std::size_t consumedBytes_ = 0;  // of the last piece, which its consumer still holds
  bool finished_ = false;
  bool failed_ = false;
  bool abandoned_ = false;
  bool touched_ = false;
};

}  // namespace hollyrun::gateway
