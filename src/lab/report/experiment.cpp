#include "lab/report/experiment.hpp"

#include <algorithm>
#include <atomic>
#include <boost/math/distributions/students_t.hpp>
#include <charconv>
#include <cmath>
#include <limits>
#include <mutex>
#include <stdexcept>
#include <thread>

namespace hollyrun::lab {
namespace {

constexpr std::uint64_t kMaxSeedsPerRange = 100000;

}  // namespace

std::vector<Result> playAll(const std::vector<Day>& jobs, unsigned threads, bool series,
                            const std::function<void(std::size_t)>& progress) {
  if (threads == 0)
    threads = std::max(1u, std::thread::hardware_concurrency());
  std::vector<Result> results(jobs.size());
  std::atomic<std::size_t> next{0};
  std::mutex mutex;
  std::size_t done = 0;
  std::exception_ptr failure;
  const auto work = [&] {
    for (std::size_t i; (i = next++) < jobs.size();) {
      try {
        const Day& job = jobs[i];
        Result result = play(*job.scenario, job.seed, job.policy, policyNamed(job.policy));
        if (!series)
          for (ServerRecord& server : result.servers)
            server.inFlight = {}, server.states = {};
        results[i] = std::move(result);
      } catch (...) {
        const std::lock_guard lock(mutex);
        if (!failure)
          failure = std::current_exception();
        next = jobs.size();
      }
      const std::lock_guard lock(mutex);
      if (progress)
        progress(++done);
    }
  };
  {
    std::vector<std::jthread> pool;
    for (std::size_t i = 1; i < std::min<std::size_t>(threads, jobs.size()); ++i)
      pool.emplace_back(work);
    work();
  }
  if (failure)
    std::rethrow_exception(failure);
  return results;
}

Estimate estimate(const std::vector<double>& values) {
  Estimate result;
  result.count = values.size();
  if (values.empty())
    return result;
  for (double value : values) {
    result.mean += value / static_cast<double>(values.size());
    result.better += value > 0;
    result.worse += value < 0;
  }
  if (values.size() < 2) {
    result.half = std::numeric_limits<double>::infinity();
    return result;
  }
  double squaredDeviations = 0;
  for (double value : values)
    squaredDeviations += (value - result.mean) * (value - result.mean);
  const double count = static_cast<double>(values.size());
  const boost::math::students_t student(count - 1);
  result.half = boost::math::quantile(student, 0.975) * std::sqrt(squaredDeviations / (count - 1) / count);
  return result;
}

std::vector<std::uint64_t> seedsFrom(const std::string& text) {
  std::vector<std::uint64_t> seeds;
  const auto invalidList = [&] {
    return std::invalid_argument("invalid seed list '" + text +
                                 "': expected a list such as 7, 1-30 or 1,4,9-12");
  };
  const char* at = text.c_str();
  const char* const end = at + text.size();
  const auto number = [&] {
    std::uint64_t parsed = 0;
    const auto [stop, error] = std::from_chars(at, end, parsed);
    if (error != std::errc{})
      throw invalidList();
    at = stop;
    return parsed;
  };
  while (true) {
    const std::uint64_t from = number();
    std::uint64_t to = from;
    if (at != end && *at == '-')
      ++at, to = number();
    if (to < from || to - from >= kMaxSeedsPerRange)
      throw invalidList();
    for (std::uint64_t seed = from; seed <= to; ++seed)
      seeds.push_back(seed);
    if (at == end)
      return seeds;
    if (*at++ != ',')
      throw invalidList();
  }
}

}  // namespace hollyrun::lab
