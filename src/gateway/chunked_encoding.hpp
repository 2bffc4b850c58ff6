/// The chunked transfer coding (RFC 9112, section 7.1).
#pragma once

#include <cstddef>
#include <string>

namespace hollyrun::gateway {

/// Returns `data` as one chunk. A chunk of no data ends the body.
inline std::string encodeChunk(const std::string& data) {
  static constexpr const char* kDigits = "0123456789abcdef";
  std::string size;
  for (std::size_t rest = data.size(); rest > 0 || size.empty(); rest /= 16)
    size.insert(size.begin(), kDigits[rest % 16]);
  return size + "\r\n" + data + "\r\n";
}

}  // namespace hollyrun::gateway
