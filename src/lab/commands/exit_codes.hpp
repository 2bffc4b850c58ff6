/// Exit codes of hollyrun-lab.
#pragma once

namespace hollyrun::lab {

inline constexpr int kExitSuccess = 0;
inline constexpr int kExitRuleBroken = 1;  ///< each violation is printed as a line on standard output
/// Invalid command line, scenario or file. The reason is printed on standard error.
inline constexpr int kExitInvalidInput = 2;
/// The run does not count because this machine was too slow for its timing.
inline constexpr int kExitVoid = 3;
inline constexpr int kExitInterrupted = 130;

}  // namespace hollyrun::lab
