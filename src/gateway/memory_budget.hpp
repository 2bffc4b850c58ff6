/// The limit on the memory that peers make the process hold.
#pragma once

#include <array>
#include <cstddef>
#include <cstdint>

#include "gateway/memory_account.hpp"

namespace hollyrun::gateway {

/// How close the process is to its memory limit, in order of severity. Each level includes those below it.
enum class MemoryPressure : std::uint8_t {
  none,
  slowReading,  ///< Streams are read in small pieces.
  closing,      ///< No memory is granted, and the connections that hold the most are closed.
  refusing,     ///< New requests are refused, and new connections wait.
};

/// Observes the memory of the process on behalf of the budget.
class MemoryWatch {
 public:
  virtual ~MemoryWatch() = default;
  /// Called whenever peers may have made the process hold more. Has to be cheap.
  virtual void observe() = 0;
};

/// Decides whether more memory may be held for peers: by the account, and by the pressure that is observed
/// from the memory of the whole process. Callers ask hasCapacity() before they hold more, and streams ask for
/// streamBufferLimit().
class MemoryBudget {
 public:
  explicit MemoryBudget(std::size_t limit) : limit_(limit) {}

  void setLimit(std::size_t bytes) { limit_ = bytes; }
  std::size_t limit() const { return limit_; }
  static const MemoryAccount& account() { return MemoryAccount::ofProcess(); }

  bool hasCapacity(std::size_t bytes) const {
    return pressure_ < MemoryPressure::closing && account().total() + bytes <= limit_;
  }
  bool refusesRequests() const { return pressure_ == MemoryPressure::refusing; }
  /// Counts a peer that got an error because no memory was left for this use.
  void recordRefusal(MemoryUse use) { ++refusals_[static_cast<std::size_t>(use)]; }
  std::uint64_t refusals(MemoryUse use) const { return refusals_[static_cast<std::size_t>(use)]; }

  void setPressure(MemoryPressure pressure) { pressure_ = pressure; }
  MemoryPressure pressure() const { return pressure_; }
  /// `watch` has to outlive the budget's users; null if the process's memory is not observed.
  void setWatch(MemoryWatch* watch) { watch_ = watch; }
  void observe() {
    if (watch_)
      watch_->observe();
  }

  /// Maximum number of bytes that one stream may buffer or read at once. It is lower while at least half of
  /// the budget is in use, but never 0, so that every stream can make progress.
  std::size_t streamBufferLimit() const {
    return isHalfUsed() ? kStreamBufferBytesUnderPressure : kStreamBufferBytes;
  }

  /// The same for a stream whose consumer has not begun. Behind what is not read the producer may have left
  /// unseen, so more is read ahead.
  std::size_t unsentStreamLimit() const {
    return isHalfUsed() ? kStreamBufferBytesUnderPressure : kUnsentStreamBytes;
  }

 private:
  static constexpr std::size_t kUnsentStreamBytes = 128 << 10;
  static constexpr std::size_t kStreamBufferBytes = 32 << 10;
  static constexpr std::size_t kStreamBufferBytesUnderPressure = 4 << 10;

  bool isHalfUsed() const { return pressure_ != MemoryPressure::none || account().total() >= limit_ / 2; }

  std::size_t limit_;
  MemoryPressure pressure_ = MemoryPressure::none;
  MemoryWatch* watch_ = nullptr;
  std::array<std::uint64_t, kMemoryUses> refusals_{};
};

}  // namespace hollyrun::gateway
