/// Sizes that the files of the downstream connection share.
#pragma once

#include <cstddef>

namespace hollyrun::gateway {

/// Bytes read at a time of a request's head, and of its body.
inline constexpr std::size_t kHeadReadSize = 4096;
inline constexpr std::size_t kBodyReadSize = 16 << 10;

}  // namespace hollyrun::gateway
