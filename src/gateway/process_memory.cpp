#include "gateway/process_memory.hpp"

#include <fcntl.h>
#include <malloc.h>
#include <unistd.h>

#include <array>
#include <charconv>
#include <cstring>

namespace hollyrun::gateway {
namespace {

// The shortest block that is mapped for itself and unmapped as it is freed.
constexpr int kMappedBlockBytes = 128 << 10;
// Free memory at the end of the heap above which it is returned to the kernel.
constexpr int kKeptFreeBytes = 128 << 10;
constexpr int kArenas = 1;  // The process has one thread.

#if defined(__SANITIZE_ADDRESS__)
constexpr bool kIsResidentMeaningful = false;
#else
constexpr bool kIsResidentMeaningful = true;
#endif

}  // namespace

ProcessMemory::ProcessMemory()
    : statusFile_(kIsResidentMeaningful ? ::open("/proc/self/statm", O_RDONLY | O_CLOEXEC) : -1) {}

ProcessMemory::~ProcessMemory() {
  if (statusFile_ >= 0)
    ::close(statusFile_);
}

// The second number of the file is the resident memory in pages.
std::optional<std::size_t> ProcessMemory::resident() const {
  if (statusFile_ < 0)
    return std::nullopt;
  std::array<char, 128> text{};
  const ssize_t bytes = ::pread(statusFile_, text.data(), text.size(), 0);
  if (bytes <= 0)
    return std::nullopt;
  const char* const end = text.data() + bytes;
  const auto* const space =
      static_cast<const char*>(std::memchr(text.data(), ' ', static_cast<std::size_t>(bytes)));
  std::size_t pages = 0;
  if (!space || std::from_chars(space + 1, end, pages).ec != std::errc())
    return std::nullopt;
  static const auto kPageBytes = static_cast<std::size_t>(::sysconf(_SC_PAGESIZE));
  return pages * kPageBytes;
}

void configureAllocator() {
  ::mallopt(M_ARENA_MAX, kArenas);
  ::mallopt(M_MMAP_THRESHOLD, kMappedBlockBytes);
  ::mallopt(M_TRIM_THRESHOLD, kKeptFreeBytes);
}

void trimHeap() {
  ::malloc_trim(0);
}

}  // namespace hollyrun::gateway
