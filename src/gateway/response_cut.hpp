/// The end of a streamed response before its last byte, for the metrics and the log.
#pragma once

#include <array>
#include <chrono>
#include <cstddef>
#include <cstdint>
#include <string_view>

#include "hollyrun/balancer.hpp"

namespace hollyrun::gateway {

enum class ResponseCutReason : std::uint8_t {
  pastDeadline,  ///< A short response that its host did not end in time.
  silentHost,    ///< A long response whose host fell silent.
  tooLarge,      ///< A response of unknown length beyond the largest size.
  clientGone,    ///< The client's connection has ended.
  hostEnded,     ///< The host's connection broke, or sent something malformed.
  madeRoom,      ///< Stalled while another request needed the connection.
};

inline constexpr std::size_t kResponseCutReasons = 6;
using ResponseCutCounts = std::array<std::uint64_t, kResponseCutReasons>;

/// Returns the label in the metrics and the log.
inline std::string_view nameOf(ResponseCutReason reason) {
  static constexpr std::array<std::string_view, kResponseCutReasons> kNames = {
      "past_deadline", "silent_host", "too_large", "client_gone", "host_ended", "made_room"};
  return kNames[static_cast<std::size_t>(reason)];
}

struct ResponseCut {
  balancer::RequestId request = 0;
  balancer::HostId host = balancer::kNone;
  ResponseCutReason reason{};
  std::uint64_t bytes = 0;              ///< Received of the body.
  std::chrono::nanoseconds duration{};  ///< Since the attempt started.
};

}  // namespace hollyrun::gateway
