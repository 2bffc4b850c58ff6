/// Why a client's connection ended: one enumeration for the metrics and the log.
#pragma once

#include <array>
#include <cstddef>
#include <cstdint>
#include <string_view>

namespace hollyrun::gateway {

enum class CloseReason : std::uint8_t {
  clientDisconnected,  ///< The client ended or reset its side.
  idleTimeout,         ///< Nothing came for too long between requests.
  incompleteRequest,   ///< A request was not complete in time.
  stalledReader,       ///< The client did not read its response.
  finalResponse,       ///< The response was the connection's last.
  truncatedResponse,   ///< A server's response broke off under way.
  evicted,             ///< Another connection needed its place.
  draining,            ///< The process ends, and the connection was idle.
  shutdown,            ///< What was left as the process ended.
};

inline constexpr std::size_t kCloseReasons = 9;
using CloseCounts = std::array<std::uint64_t, kCloseReasons>;

/// The label in the metrics and the log. These names are a stable interface and older than the enumerators.
inline std::string_view nameOf(CloseReason reason) {
  static constexpr std::array<std::string_view, kCloseReasons> kNames = {
      "client_left",   "idle",      "incomplete", "stalled_reader", "last_answer",
      "broken_answer", "made_room", "stopping",   "process_end"};
  return kNames[static_cast<std::size_t>(reason)];
}

}  // namespace hollyrun::gateway
