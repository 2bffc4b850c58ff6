// What a process that holds stub servers or gateways tells the testbed: one JSON object a line on its output.
#pragma once

#include <cstdint>
#include <optional>
#include <string>

namespace hollyrun::lab {

struct StubReport {
  std::uint16_t port = 0;         ///< stub servers: where all of them listen
  std::int64_t revision = -1;     ///< stub gateways: the list that every one of the process holds, -1: none
  std::uint64_t wholeLists = 0;   ///< whole lists that every one of them has taken since its start
  std::int64_t changedAtNs = 0;   ///< steady clock, one for the machine: when the last of them came that far
  std::uint32_t membersSeen = 0;  ///< the fewest members that one of them counts in its fleet
  double lagMs = 0;               ///< the longest that the process's own loop was late since its last report
};

/// One line, without its end.
std::string textOf(const StubReport& report);
/// None if the line is no report, as with a message of a failing process.
std::optional<StubReport> parseStubReport(const std::string& line);

}  // namespace hollyrun::lab
