/// Exit codes of hollyrun-lab.
#pragma once

namespace hollyrun::lab {

inline constexpr int kExitSuccess = 0;
inline constexpr int kExitRuleBroken = 1;  ///< each breach is a line on standard output
inline constexpr int kExitInvalidInput =
    2;                               ///< command line, scenario or file; the reason is on standard error
inline constexpr int kExitVoid = 3;  ///< this machine itself was too late for a run on processes to count
inline constexpr int kExitInterrupted = 130;

}  // namespace hollyrun::lab
