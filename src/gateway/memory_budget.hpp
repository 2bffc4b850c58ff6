/// Process-wide accounting of the memory that message bodies occupy.
#pragma once

#include <cstddef>
#include <memory>
#include <utility>

namespace hollyrun::gateway {

/// Counts the bytes occupied by all bodies together. acquire() does not enforce the limit: callers check
/// hasCapacity() first.
class MemoryBudget {
 public:
  explicit MemoryBudget(std::size_t limit) : limit_(limit) {}

  void setLimit(std::size_t bytes) { limit_ = bytes; }
  void acquire(std::size_t bytes) { used_ += bytes; }
  void release(std::size_t bytes) { used_ -= bytes; }
  bool hasCapacity(std::size_t bytes) const { return used_ + bytes <= limit_; }

  /// Maximum number of bytes that one stream may buffer. It is lower while at least half of the budget is in
  /// use, but never 0, so that every stream can make progress.
  std::size_t streamBufferLimit() const {
    return used_ < limit_ / 2 ? kStreamBufferBytes : kStreamBufferBytesUnderPressure;
  }

 private:
  static constexpr std::size_t kStreamBufferBytes = 32 << 10;
  static constexpr std::size_t kStreamBufferBytesUnderPressure = 4 << 10;

  std::size_t limit_;
  std::size_t used_ = 0;
};

/// Bytes acquired from the budget; the destructor releases them.
class MemoryReservation {
 public:
  MemoryReservation() = default;
  MemoryReservation(std::shared_ptr<MemoryBudget> budget, std::size_t bytes)
      : budget_(std::move(budget)), bytes_(bytes) {
    budget_->acquire(bytes_);
  }
  MemoryReservation(MemoryReservation&& other) noexcept
      : budget_(std::move(other.budget_)), bytes_(std::exchange(other.bytes_, 0)) {}
  MemoryReservation& operator=(MemoryReservation&& other) noexcept {
    std::swap(budget_, other.budget_);
    std::swap(bytes_, other.bytes_);
    return *this;
  }
  ~MemoryReservation() { resize(0); }

  void resize(std::size_t bytes) {
    if (!budget_)
      return;
    budget_->release(bytes_);
    bytes_ = bytes;
    budget_->acquire(bytes_);
  }

 private:
  std::shared_ptr<MemoryBudget> budget_;
  std::size_t bytes_ = 0;
};

}  // namespace hollyrun::gateway
