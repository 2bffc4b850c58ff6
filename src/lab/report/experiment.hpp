// Plays many simulated days in parallel and estimates means and paired differences of their figures.
#pragma once

#include <cstdint>
#include <functional>
#include <string>
#include <vector>

#include "lab/simulation/scenario.hpp"
#include "lab/simulation/simulation.hpp"

namespace hollyrun::lab {

/// One simulated day: a scenario with a policy and a seed.
struct Day {
  const Scenario* scenario = nullptr;
  std::string policy = "module";
  std::uint64_t seed = 1;
};

/// Plays all jobs on `threads` threads (0: one per core). The results are in the order of the jobs,
/// independent of the scheduling. `progress` is called with the number of completed jobs, from one thread at
/// a time. If `series` is false, the servers' states over time, which make up most of a result, are dropped.
/// Rethrows the first exception once all threads have ended.
std::vector<Result> playAll(const std::vector<Day>& jobs, unsigned threads, bool series,
                            const std::function<void(std::size_t)>& progress);

struct Estimate {
  std::size_t count = 0;
  double mean = 0, half = 0;  ///< the 95 % confidence interval of the mean is mean -+ half (Student's t)
  std::size_t better = 0, worse = 0;  ///< number of positive and of negative values
};

/// `half` is infinite for fewer than two values.
Estimate estimate(const std::vector<double>& values);

/// Parses a list of seeds such as "7", "1-30" or "1,4,9-12". Throws std::invalid_argument if it is malformed.
std::vector<std::uint64_t> seedsFrom(const std::string& text);

}  // namespace hollyrun::lab
