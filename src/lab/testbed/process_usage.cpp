#include "lab/testbed/process_usage.hpp"

#include <unistd.h>

#include <filesystem>
#include <fstream>
#include <stdexcept>
#include <string>

namespace hollyrun::lab {
namespace {

namespace fs = std::filesystem;

constexpr double kNanosecond = 1e-9;
constexpr double kMegabyte = 1 << 20;

// The first number of a thread's schedstat is its time on a processor in nanoseconds; the ticks of `stat` are
// ten milliseconds, more than many a step costs.
double processorSecondsOf(const fs::path& process) {
  double sum = 0;
  std::error_code gone;
  for (const auto& thread : fs::directory_iterator(process / "task", gone)) {
    std::ifstream file(thread.path() / "schedstat");
    double ns = 0;
    if (file >> ns)
      sum += ns * kNanosecond;
  }
  return sum;
}

}  // namespace

ProcessUsage usageOf(pid_t pid) {
  const fs::path process = fs::path("/proc") / std::to_string(pid);
  std::ifstream memory(process / "statm");
  std::uint64_t all = 0, resident = 0;
  if (!(memory >> all >> resident))
    throw std::runtime_error("no process " + std::to_string(pid));
  const double page = static_cast<double>(::sysconf(_SC_PAGESIZE));
  return {processorSecondsOf(process), static_cast<double>(resident) * page / kMegabyte};
}

}  // namespace hollyrun::lab
