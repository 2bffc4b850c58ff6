// Many days at once, and what their figures say: independent plays over all cores, paired differences.
#pragma once

#include <cstdint>
#include <functional>
#include <string>
#include <vector>

#include "lab/simulation/scenario.hpp"
#include "lab/simulation/simulation.hpp"

namespace hollyrun::lab {

struct Day {
  const Scenario* scenario = nullptr;
  std::string policy = "module";
  std::uint64_t seed = 1;
};

/// Plays all jobs, `threads` at a time (0: one a core). The results stand in the order of the jobs whatever
/// the threads did. `progress` is called with the number done, from one thread at a time. `series` false
/// drops the servers' states over time, which are most of a result. Rethrows the first failure once all
/// threads have ended.
std::vector<Result> playAll(const std::vector<Day>& jobs, unsigned threads, bool series,
                            const std::function<void(std::size_t)>& progress);

struct Estimate {
  std::size_t count = 0;
  double mean = 0, half = 0;  // the mean's 95 % confidence interval is mean -+ half (Student's t)
  std::size_t better = 0, worse = 0;
};

/// Of one value; `half` is infinite below two values.
Estimate estimate(const std::vector<double>& values);

/// A list of seeds: "7", "1-30", "1,4,9-12". Throws std::invalid_argument on anything else.
std::vector<std::uint64_t> seedsFrom(const std::string& text);

}  // namespace hollyrun::lab
