/// Timeouts and sizes for connections to upstream hosts.
#pragma once

#include <chrono>
#include <cstddef>

#include "hollyrun/balancer.hpp"

namespace hollyrun::gateway {

/// The maximum number of bytes per read.
inline constexpr std::size_t kUpstreamReadSize = 16 << 10;
/// A head or a body of up to this size is buffered however little memory is left.
inline constexpr std::size_t kSmallMessageBytes = 8 << 10;
/// A response of unknown length is buffered for this long before it is streamed, because it may turn out to
/// be small.
inline constexpr std::chrono::milliseconds kOpenEndedBufferingTime{100};
/// The longest time for which an upload continues although its host accepts no byte.
inline constexpr balancer::Duration kStallTimeout = std::chrono::seconds(10);

}  // namespace hollyrun::gateway
