/// Remembers the ids of requests that may have been executed and must not be executed again.
#pragma once

#include <atomic>
#include <chrono>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace hollyrun::gateway {

/// Identifies a request by class and id.
using RequestFingerprint = std::uint64_t;
RequestFingerprint fingerprintOf(std::string_view className, std::string_view requestId);

/// A table of fixed size: a new entry takes the place of the oldest one of its bucket. Both processes of a
/// hot restart may share one, in a file that each of them maps.
class ExecutedRequests {
 public:
  using TimePoint = std::chrono::steady_clock::time_point;

  /// `bytes` is the size of the table, rounded down to a power of two.
  explicit ExecutedRequests(std::size_t bytes);
  ~ExecutedRequests();
  ExecutedRequests(const ExecutedRequests&) = delete;
  ExecutedRequests& operator=(const ExecutedRequests&) = delete;

  /// Uses the table in this file, which is created if it does not exist. Returns false if that fails, for
  /// example because the disk is full; then this process goes on with a table of its own.
  bool share(const std::string& path);

  /// When the request was sent, if it is in the table.
  std::optional<TimePoint> find(RequestFingerprint fingerprint) const;
  /// Adds the request. Returns false if it is in the table already.
  bool claim(RequestFingerprint fingerprint, TimePoint now);
  /// Removes a request that was not executed.
  void release(RequestFingerprint fingerprint);

 private:
  struct Slot {
    std::atomic<RequestFingerprint> fingerprint;  // 0: empty
    std::atomic<std::int64_t> sentAtNs;           // On the monotonic clock, which both processes share.
  };
  static_assert(std::atomic<std::uint64_t>::is_always_lock_free, "the table is shared between processes");
  static constexpr std::size_t kBucketSlots = 8;

  Slot* bucketOf(RequestFingerprint fingerprint) const;
  Slot* slotOf(RequestFingerprint fingerprint) const;
  static Slot* map(std::size_t bytes, int file);

  std::size_t bytes_;
  Slot* slots_;
};

}  // namespace hollyrun::gateway
