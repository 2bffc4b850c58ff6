/// The account of the memory that peers make the process hold, kept by the allocator that hands it out: what
/// is allocated is counted, and what is counted is held.
#pragma once

#include <algorithm>
#include <array>
#include <cstddef>
#include <cstdint>
#include <memory>
#include <string>
#include <string_view>

namespace hollyrun::gateway {

/// What the memory is used for.
enum class MemoryUse : std::uint8_t {
  connection,   ///< The objects of connections and requests.
  requestHead,  ///< Unparsed input, parsed heads and heads that are being forwarded.
  requestBody,  ///< Bodies that are buffered whole.
  upload,       ///< Bodies that are streamed to a host.
  attempt,      ///< Text that is being written to a host.
  response,     ///< Responses, from the read at the host to the write to the client.
};
inline constexpr std::size_t kMemoryUses = 6;

/// Returns the label in the metrics and the log.
inline std::string_view nameOf(MemoryUse use) {
  static constexpr std::array<std::string_view, kMemoryUses> kNames = {
      "connection", "request_head", "request_body", "upload", "attempt", "response"};
  return kNames[static_cast<std::size_t>(use)];
}

/// Counts the bytes in use. There is one account, because the memory is that of the process, and the process
/// has one thread.
class MemoryAccount {
 public:
  static MemoryAccount& ofProcess() {
    static MemoryAccount account;
    return account;
  }

  void add(MemoryUse use, std::size_t bytes) {
    total_ += bytes;
    usedFor_[static_cast<std::size_t>(use)] += bytes;
    peak_ = std::max(peak_, total_);
  }
  void subtract(MemoryUse use, std::size_t bytes) {
    total_ -= bytes;
    usedFor_[static_cast<std::size_t>(use)] -= bytes;
  }

  std::size_t used(MemoryUse use) const { return usedFor_[static_cast<std::size_t>(use)]; }
  std::size_t total() const { return total_; }
  std::size_t peak() const { return peak_; }

 private:
  std::size_t total_ = 0;
  std::size_t peak_ = 0;
  std::array<std::size_t, kMemoryUses> usedFor_{};
};

/// The memory that the C library takes for an allocation of this size.
inline constexpr std::size_t allocatedBytes(std::size_t bytes) {
  constexpr std::size_t kChunkHeaderBytes = sizeof(std::size_t);
  constexpr std::size_t kChunkAlignment = 2 * sizeof(std::size_t);
  constexpr std::size_t kLeastChunkBytes = 2 * kChunkAlignment;
  const std::size_t rounded =
      (bytes + kChunkHeaderBytes + kChunkAlignment - 1) / kChunkAlignment * kChunkAlignment;
  return std::max(rounded, kLeastChunkBytes);
}

/// A standard allocator that counts what it hands out.
template <class T, MemoryUse use>
class CountedAllocator {
 public:
  // NOLINTBEGIN(readability-identifier-naming): the standard requires these names.
  using value_type = T;
  template <class U>
  struct rebind {
    using other = CountedAllocator<U, use>;
  };
  // NOLINTEND(readability-identifier-naming)

  CountedAllocator() = default;
  template <class U>
  CountedAllocator(const CountedAllocator<U, use>&) noexcept {}  // NOLINT(google-explicit-constructor)

  T* allocate(std::size_t count) {
    T* const memory = std::allocator<T>().allocate(count);
    MemoryAccount::ofProcess().add(use, bytesOf(count));
    return memory;
  }
  void deallocate(T* memory, std::size_t count) noexcept {
    std::allocator<T>().deallocate(memory, count);
    MemoryAccount::ofProcess().subtract(use, bytesOf(count));
  }

  template <class U>
  bool operator==(const CountedAllocator<U, use>&) const noexcept {
    return true;
  }

 private:
  static constexpr std::size_t bytesOf(std::size_t count) {
    return allocatedBytes(count * sizeof(T));  // NOLINT(bugprone-sizeof-expression): of pointers, too
  }
};

template <MemoryUse use>
using CountedString = std::basic_string<char, std::char_traits<char>, CountedAllocator<char, use>>;

using RequestText = CountedString<MemoryUse::requestHead>;
using RequestBodyText = CountedString<MemoryUse::requestBody>;
using UploadText = CountedString<MemoryUse::upload>;
using AttemptText = CountedString<MemoryUse::attempt>;
using ResponseText = CountedString<MemoryUse::response>;

/// Empties the string and gives its memory back, which clear() and the assignment of `{}` do not.
template <class String>
void releaseMemory(String& text) {
  String().swap(text);
}

}  // namespace hollyrun::gateway
