/// Constants shared by the source files of DownstreamConnection.
#pragma once

#include <cstddef>

namespace hollyrun::gateway {

/// Bytes per read of a request's head and of its body.
inline constexpr std::size_t kHeadReadSize = 4096;
inline constexpr std::size_t kBodyReadSize = 16 << 10;
/// Input that is buffered while a response is pending, if the memory budget has capacity; else one read.
inline constexpr std::size_t kMaxPipelinedBytes = 64 << 10;
/// Heads of up to this size are not counted: the memory that the budget leaves aside suffices for one on each
/// connection, so that small requests are served when slow peers have filled the budget.
inline constexpr std::size_t kSmallHeadBytes = 8 << 10;

}  // namespace hollyrun::gateway
