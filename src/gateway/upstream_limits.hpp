/// Times and sizes of connections to upstream hosts.
#pragma once

#include <chrono>
#include <cstddef>

#include "hollyrun/balancer.hpp"

namespace hollyrun::gateway {

/// Bytes read at a time.
inline constexpr std::size_t kUpstreamReadSize = 16 << 10;
/// A response of unknown length is buffered for so long before it is streamed: it may prove to be a small
/// one.
inline constexpr std::chrono::milliseconds kOpenEndedBuffering{100};
/// A streamed body whose peer makes no progress for so long is given up.
inline constexpr balancer::Duration kStallTimeout = std::chrono::seconds(10);

}  // namespace hollyrun::gateway
