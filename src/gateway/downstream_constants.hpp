/// Constants shared by the source files of DownstreamConnection.
#pragma once

#include <cstddef>

namespace hollyrun::gateway {

/// Bytes per read of a request's head and of its body.
inline constexpr std::size_t kHeadReadSize = 4096;
inline constexpr std::size_t kBodyReadSize = 16 << 10;

}  // namespace hollyrun::gateway
