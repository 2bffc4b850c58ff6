/// The chunked transfer coding (RFC 9112, section 7.1).
#pragma once

#include <cstddef>
#include <string>
#include <string_view>

namespace hollyrun::gateway {

/// Returns `data` as one chunk. A chunk of no data ends the body.
template <class String = std::string>
String encodeChunk(std::string_view data) {
  static constexpr const char* kHexDigits = "0123456789abcdef";
  static constexpr std::size_t kFramingBytes = 2 * sizeof(std::size_t) + 4;
  std::string size;
  for (std::size_t remaining = data.size(); remaining > 0 || size.empty(); remaining /= 16)
    size.insert(size.begin(), kHexDigits[remaining % 16]);
  String chunk;
  chunk.reserve(data.size() + kFramingBytes);
  chunk.append(size).append("\r\n").append(data).append("\r\n");
  return chunk;
}

}  // namespace hollyrun::gateway
