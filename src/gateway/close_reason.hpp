// Why a client's connection ended, one enumeration for the metrics and the log.
#pragma once

#include <array>
#include <cstddef>
#include <cstdint>
#include <string_view>

namespace hollyrun::gateway {

enum class CloseReason : std::uint8_t {
  clientLeft,     ///< the client ended or reset its side
  idle,           ///< nothing came for too long between requests
  incomplete,     ///< its first request was not whole in time
  stalledReader,  ///< it did not read its answer
  lastAnswer,     ///< the answer was the connection's last
  brokenAnswer,   ///< a server's answer broke off under way
  madeRoom,       ///< another connection needed its place
  stopping,       ///< the process ends and the connection rested
  processEnd,     ///< what was left as the process ended
};

inline constexpr std::size_t kCloseReasons = 9;
using CloseCounts = std::array<std::uint64_t, kCloseReasons>;

inline std::string_view nameOf(CloseReason reason) {
  static constexpr std::array<std::string_view, kCloseReasons> kNames = {
      "client_left",   "idle",      "incomplete", "stalled_reader", "last_answer",
      "broken_answer", "made_room", "stopping",   "process_end"};
  return kNames[static_cast<std::size_t>(reason)];
}

}  // namespace hollyrun::gateway
