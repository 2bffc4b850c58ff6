// Resource usage of a process as the kernel counts it: processor time and resident memory.
#pragma once

#include <sys/types.h>

namespace hollyrun::lab {

struct ProcessUsage {
  double processorS = 0;  ///< of all its threads since its start, with nanosecond resolution
  double residentMb = 0;
  double peakResidentMb = 0;  ///< since its start
};

/// Returns the usage of a process. Throws std::runtime_error if the process does not exist any more.
ProcessUsage usageOf(pid_t pid);

}  // namespace hollyrun::lab
