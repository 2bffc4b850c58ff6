/// The chunked transfer coding (RFC 9112, section 7.1).
#pragma once

#include <cstddef>
#include <string>

namespace hollyrun::gateway {

/// Returns `data` as one chunk. A chunk of no data ends the body.
inline std::string encodeChunk(const std::string& data) {
  static constexpr const char* kHexDigits = "0123456789abcdef";
  std::string size;
  for (std::size_t remaining = data.size(); remaining > 0 || size.empty(); remaining /= 16)
    size.insert(size.begin(), kHexDigits[remaining % 16]);
  return size + "\r\n" + data + "\r\n";
}

}  // namespace hollyrun::gateway
