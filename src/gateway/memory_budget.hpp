/// The memory that message bodies may occupy, accounted over the whole process.
#pragma once

#include <cstddef>
#include <memory>
#include <utility>

namespace hollyrun::gateway {

/// Counts the bytes that all bodies hold together. It refuses nothing by itself: hasCapacity() is asked
/// first.
class MemoryBudget {
 public:
  explicit MemoryBudget(std::size_t limit) : limit_(limit) {}

  void limit(std::size_t bytes) { limit_ = bytes; }
  void acquire(std::size_t bytes) { used_ += bytes; }
  void release(std::size_t bytes) { used_ -= bytes; }
  bool hasCapacity(std::size_t bytes) const { return used_ + bytes <= limit_; }

  /// Bytes that one stream may buffer: fewer when all together hold much, but never none, or no stream would
  /// make progress.
  std::size_t streamBufferLimit() const {
    return used_ < limit_ / 2 ? kStreamBuffer : kStreamBufferUnderPressure;
  }

 private:
  static constexpr std::size_t kStreamBuffer = 32 << 10;
  static constexpr std::size_t kStreamBufferUnderPressure = 4 << 10;

  std::size_t limit_;
  std::size_t used_ = 0;
};

/// Bytes acquired from the budget, released by the destructor.
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
