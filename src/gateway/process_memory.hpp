/// The memory of this process as the kernel counts it, and the C library's allocator.
#pragma once

#include <cstddef>
#include <optional>

namespace hollyrun::gateway {

/// Reads the resident memory of this process.
class ProcessMemory {
 public:
  ProcessMemory();
  ~ProcessMemory();
  ProcessMemory(const ProcessMemory&) = delete;
  ProcessMemory& operator=(const ProcessMemory&) = delete;

  /// In bytes; nothing if the kernel does not tell, or if the process is built with a sanitizer, whose own
  /// memory counts there.
  std::optional<std::size_t> resident() const;

 private:
  int statusFile_;  // Stays open, so that a reading needs no descriptor.
};

/// Makes the C library return large blocks to the kernel as soon as they are freed. Called once, before any
/// allocation of that size.
void configureAllocator();

/// Returns the pages of freed memory to the kernel.
void trimHeap();

}  // namespace hollyrun::gateway
