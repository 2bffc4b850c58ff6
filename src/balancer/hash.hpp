/// Hash functions whose values are the same at every gateway, on every platform and in every build.
#pragma once

#include <cstdint>
#include <string_view>

namespace hollyrun::balancer {

/// The finalizer of splitmix64: every input bit affects all output bits.
inline std::uint64_t mixBits(std::uint64_t value) {
  value += 0x9e3779b97f4a7c15ULL;
  value = (value ^ (value >> 30)) * 0xbf58476d1ce4e5b9ULL;
  value = (value ^ (value >> 27)) * 0x94d049bb133111ebULL;
  return value ^ (value >> 31);
}

/// FNV-1a, followed by mixBits.
inline std::uint64_t hashText(std::string_view text) {
  std::uint64_t hash = 0xcbf29ce484222325ULL;
  for (unsigned char character : text)
    hash = (hash ^ character) * 0x100000001b3ULL;
  return mixBits(hash);
}

}  // namespace hollyrun::balancer
