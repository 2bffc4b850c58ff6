#include "lab/testbed/process_usage.hpp"

#include <unistd.h>

#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <stdexcept>
#include <string>
#include <string_view>

namespace hollyrun::lab {
namespace {

namespace fs = std::filesystem;

constexpr double kSecondsPerNanosecond = 1e-9;
constexpr double kBytesPerMegabyte = 1 << 20;

// Sums the first field of each thread's schedstat, its time on a processor in nanoseconds. The clock ticks in
// `stat` have a resolution of 10 ms, which is more processor time than many measured steps take.
double processorSecondsOf(const fs::path& process) {
  double sum = 0;
  std::error_code ignored;  // the process may have ended
  for (const auto& thread : fs::directory_iterator(process / "task", ignored)) {
    std::ifstream file(thread.path() / "schedstat");
    double processorNs = 0;
    if (file >> processorNs)
      sum += processorNs * kSecondsPerNanosecond;
  }
  return sum;
}

// The kernel's high-water mark, which no peak between two looks escapes. 0 if the process has just ended.
double peakResidentMbOf(const fs::path& process) {
  static constexpr std::string_view kKey = "VmHWM:";
  std::ifstream file(process / "status");
  for (std::string line; std::getline(file, line);)
    if (line.rfind(kKey, 0) == 0)
      return std::strtod(line.c_str() + kKey.size(), nullptr) * 1024 / kBytesPerMegabyte;
  return 0;
}

}  // namespace

ProcessUsage usageOf(pid_t pid) {
  const fs::path process = fs::path("/proc") / std::to_string(pid);
  std::ifstream memory(process / "statm");
  std::uint64_t totalPages = 0, residentPages = 0;
  if (!(memory >> totalPages >> residentPages))
    throw std::runtime_error("cannot read the memory usage of process " + std::to_string(pid));
  const double pageBytes = static_cast<double>(::sysconf(_SC_PAGESIZE));
  return {processorSecondsOf(process), static_cast<double>(residentPages) * pageBytes / kBytesPerMegabyte,
          peakResidentMbOf(process)};
}

}  // namespace hollyrun::lab
