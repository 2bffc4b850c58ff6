// What the kernel has counted for a process: processor time and resident memory.
#pragma once

#include <sys/types.h>

namespace hollyrun::lab {

struct ProcessUsage {
  double processorS = 0;  ///< of all its threads since its start, to the nanosecond
  double residentMb = 0;
};

/// Throws std::runtime_error if there is no such process any more.
ProcessUsage usageOf(pid_t pid);

}  // namespace hollyrun::lab
