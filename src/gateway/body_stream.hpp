/// A message body that is streamed through the gateway from a producer to a consumer.
#pragma once

#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <string_view>
#include <utility>

#include "gateway/memory_account.hpp"
#include "gateway/memory_budget.hpp"

namespace hollyrun::gateway {

/// Largest body in bytes that is buffered completely, so that the request can be retried.
inline constexpr std::uint64_t kBufferedBodyLimit = 64 << 10;
/// Largest request body in bytes.
inline constexpr std::uint64_t kMaxRequestBody = 32 << 20;

/// A bounded buffer with flow control. The producer pauses when isFull() and resumes on onWritable; either
/// side may end the stream. Both run in the event loop's thread, and each sets its own callback.
template <MemoryUse use>
class BodyStream {
 public:
  using Text = CountedString<use>;

  explicit BodyStream(std::shared_ptr<MemoryBudget> budget) : budget_(std::move(budget)) {}

  // --- The producer ---

  /// Called when the buffer has capacity again or the consumer abandoned the stream.
  std::function<void()> onWritable;

  void append(std::string_view piece) {
    if (abandoned_ || piece.empty())
      return;
    data_.append(piece);
    notify(onReadable);
  }

  void finish() {
    finished_ = true;
    notify(onReadable);
  }

  /// Ends the stream early, unless finish() was called before.
  void fail() {
    failed_ = !finished_;
    notify(onReadable);
  }

  bool isFull() const {
    return data_.size() >=
           (consumptionStarted_ ? budget_->streamBufferLimit() : budget_->unsentStreamLimit());
  }
  bool isAbandoned() const { return abandoned_; }
  std::size_t capacity() const { return data_.capacity(); }

  // --- The consumer ---

  /// Called when data was appended or the stream ended.
  std::function<void()> onReadable;

  /// Returns and removes all buffered data.
  Text consume() {
    consumptionStarted_ = true;
    Text piece;
    piece.swap(data_);
    if (!piece.empty())
      notify(onWritable);
    return piece;
  }

  bool isFinished() const { return finished_ && data_.empty(); }
  bool hasFailed() const { return failed_; }
  /// Whether consume() was called. From then on no other attempt can read the body from its start.
  bool consumptionStarted() const { return consumptionStarted_; }

  /// Discards the buffered data and all that is appended later.
  void abandon() {
    if (std::exchange(abandoned_, true))
      return;
    onReadable = nullptr;
    releaseMemory(data_);
    notify(onWritable);
  }

 private:
  // Calls a copy because the callback may replace the original while it runs.
  static void notify(const std::function<void()>& callback) {
    if (const auto copy = callback)
      copy();
  }

  std::shared_ptr<MemoryBudget> budget_;
  Text data_;
  bool finished_ = false;
  bool failed_ = false;
  bool abandoned_ = false;
  bool consumptionStarted_ = false;
};

using UploadStream = BodyStream<MemoryUse::upload>;
using ResponseStream = BodyStream<MemoryUse::response>;

}  // namespace hollyrun::gateway
