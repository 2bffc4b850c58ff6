#include "gateway/executed_requests.hpp"

#include <fcntl.h>
#include <sys/mman.h>
#include <sys/stat.h>
#include <unistd.h>

#include <algorithm>
#include <bit>
#include <new>

namespace hollyrun::gateway {
namespace {

// FNV-1a, which is the same in both processes of a hot restart, whatever their versions.
constexpr std::uint64_t kFnvOffset = 0xcbf29ce484222325, kFnvPrime = 0x100000001b3;

std::uint64_t hashed(std::uint64_t hash, std::string_view text) {
  for (const char c : text)
    hash = (hash ^ static_cast<unsigned char>(c)) * kFnvPrime;
  return hash;
}

std::int64_t nanoseconds(ExecutedRequests::TimePoint time) {
  return std::chrono::duration_cast<std::chrono::nanoseconds>(time.time_since_epoch()).count();
}

}  // namespace

RequestFingerprint fingerprintOf(std::string_view className, std::string_view requestId) {
  const std::uint64_t hash = hashed(hashed(hashed(kFnvOffset, className), "/"), requestId);
  return std::max<RequestFingerprint>(hash, 1);
}

ExecutedRequests::ExecutedRequests(std::size_t bytes)
    : bytes_(std::bit_floor(std::max(bytes, kBucketSlots * sizeof(Slot)))), slots_(map(bytes_, -1)) {
  if (!slots_)
    throw std::bad_alloc();
}

ExecutedRequests::~ExecutedRequests() {
  ::munmap(slots_, bytes_);
}

ExecutedRequests::Slot* ExecutedRequests::map(std::size_t bytes, int file) {
  const int flags = file < 0 ? MAP_PRIVATE | MAP_ANONYMOUS : MAP_SHARED;
  void* const memory = ::mmap(nullptr, bytes, PROT_READ | PROT_WRITE, flags, file, 0);
  return memory == MAP_FAILED ? nullptr : static_cast<Slot*>(memory);
}

bool ExecutedRequests::share(const std::string& path) {
  const int file = ::open(path.c_str(), O_CREAT | O_RDWR | O_CLOEXEC, 0600);
  if (file < 0)
    return false;
  // The space is allocated now: a write to a page for which the disk has no space would end the process.
  struct stat status {};
  const bool isAllocated =
      ::posix_fallocate(file, 0, static_cast<off_t>(bytes_)) == 0 && ::fstat(file, &status) == 0;
  const std::size_t size = std::bit_floor(static_cast<std::size_t>(std::max<off_t>(status.st_size, 0)));
  Slot* const shared = isAllocated ? map(size, file) : nullptr;
  ::close(file);
  if (!shared)
    return false;
  ::munmap(slots_, bytes_);
  bytes_ = size;
  slots_ = shared;
  return true;
}

ExecutedRequests::Slot* ExecutedRequests::bucketOf(RequestFingerprint fingerprint) const {
  const std::size_t buckets = bytes_ / sizeof(Slot) / kBucketSlots;
  return slots_ + (fingerprint % buckets) * kBucketSlots;
}

ExecutedRequests::Slot* ExecutedRequests::slotOf(RequestFingerprint fingerprint) const {
  Slot* const bucket = bucketOf(fingerprint);
  Slot* const end = bucket + kBucketSlots;
  Slot* const slot =
      std::find_if(bucket, end, [&](const Slot& entry) { return entry.fingerprint == fingerprint; });
  return slot == end ? nullptr : slot;
}

std::optional<ExecutedRequests::TimePoint> ExecutedRequests::find(RequestFingerprint fingerprint) const {
  const Slot* const slot = slotOf(fingerprint);
  if (!slot)
    return std::nullopt;
  return TimePoint(std::chrono::nanoseconds(slot->sentAtNs));
}

bool ExecutedRequests::claim(RequestFingerprint fingerprint, TimePoint now) {
  if (slotOf(fingerprint))
    return false;
  Slot* const bucket = bucketOf(fingerprint);
  Slot* const slot = std::min_element(bucket, bucket + kBucketSlots, [](const Slot& a, const Slot& b) {
    return (a.fingerprint ? a.sentAtNs.load() : 0) < (b.fingerprint ? b.sentAtNs.load() : 0);
  });
  slot->sentAtNs = nanoseconds(now);
  slot->fingerprint = fingerprint;
  // The other process may have added it to another slot meanwhile; the first slot counts in both.
  if (slotOf(fingerprint) == slot)
    return true;
  slot->fingerprint = 0;
  return false;
}

void ExecutedRequests::release(RequestFingerprint fingerprint) {
  if (Slot* const slot = slotOf(fingerprint))
    slot->fingerprint = 0;
}

}  // namespace hollyrun::gateway
