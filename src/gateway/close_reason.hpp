/// The reason for which a downstream connection was closed, for the metrics and the log.
#pragma once

#include <array>
#include <cstddef>
#include <cstdint>
#include <string_view>

namespace hollyrun::gateway {

enum class CloseReason : std::uint8_t {
  clientDisconnected,  ///< The client closed or reset the connection.
  idleTimeout,         ///< No request arrived within the idle timeout.
  incompleteRequest,   ///< A request was not received completely in time.
  stalledReader,       ///< The client did not read its response.
  finalResponse,       ///< The connection's last response was written.
  truncatedResponse,   ///< The upstream host's response ended before it was complete.
  evicted,             ///< Closed to free capacity for another connection.
  draining,            ///< The process is draining, and the connection was idle.
  shutdown,            ///< Still open when the process ended.
};

inline constexpr std::size_t kCloseReasons = 9;
using CloseCounts = std::array<std::uint64_t, kCloseReasons>;

/// Returns the label in the metrics and the log. Labels are a stable interface and differ from the names of
/// the enumerators.
inline std::string_view nameOf(CloseReason reason) {
  static constexpr std::array<std::string_view, kCloseReasons> kNames = {
      "client_left",   "idle",      "incomplete", "stalled_reader", "last_answer",
      "broken_answer", "made_room", "stopping",   "process_end"};
  return kNames[static_cast<std::size_t>(reason)];
}

}  // namespace hollyrun::gateway
