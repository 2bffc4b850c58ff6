// The reports of a process with stub servers or stub gateways: one JSON object per line on its output.
#pragma once

#include <cstdint>
#include <optional>
#include <string>

namespace hollyrun::lab {

struct StubReport {
  std::uint16_t port = 0;        ///< stub servers: the port that all of them listen on
  std::int64_t revision = -1;    ///< stub gateways: lowest revision of the list among them, -1: none yet
  std::uint64_t wholeLists = 0;  ///< lowest number of whole lists received among them since the start
  /// When the last of them reached that revision and number, on the steady clock that all processes share.
  std::int64_t changedAtNs = 0;
  std::uint32_t membersSeen = 0;  ///< lowest number of members that one of them counts
  double lagMs = 0;               ///< longest delay of the process's event loop since its last report
};

/// Formats the report as one line, without a line break.
std::string textOf(const StubReport& report);
/// Returns std::nullopt if the line is not a report, such as an error message of a failing process.
std::optional<StubReport> parseStubReport(const std::string& line);

}  // namespace hollyrun::lab
