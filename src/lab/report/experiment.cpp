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

std::vector<Result> playAll(const std::vector<Day>& jobs, unsigned threads, bool series,
                            const std::function<void(std::size_t)>& progress) {
  if (threads == 0)
    threads = std::max(1u, std::thread::hardware_concurrency());
  std::vector<Result> results(jobs.size());
  std::atomic<std::size_t> next{0};
  std::mutex guard;
  std::size_t done = 0;
  std::exception_ptr failure;
  const auto work = [&] {
    for (std::size_t i; (i = next++) < jobs.size();) {
      try {
        const Day& job = jobs[i];
        Result r = play(*job.scenario, job.seed, job.policy, policyNamed(job.policy));
        if (!series)
          for (ServerRecord& s : r.servers)
            s.inFlight = {}, s.states = {};
        results[i] = std::move(r);
      } catch (...) {
        const std::lock_guard lock(guard);
        if (!failure)
          failure = std::current_exception();
        next = jobs.size();
      }
      const std::lock_guard lock(guard);
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
  Estimate e;
  e.count = values.size();
  if (values.empty())
    return e;
  for (double v : values) {
    e.mean += v / static_cast<double>(values.size());
    e.better += v > 0;
    e.worse += v < 0;
  }
  if (values.size() < 2) {
    e.half = std::numeric_limits<double>::infinity();
    return e;
  }
  double square = 0;
  for (double v : values)
    square += (v - e.mean) * (v - e.mean);
  const double n = static_cast<double>(values.size());
  const boost::math::students_t student(n - 1);
  e.half = boost::math::quantile(student, 0.975) * std::sqrt(square / (n - 1) / n);
  return e;
}

std::vector<std::uint64_t> seedsFrom(const std::string& text) {
  std::vector<std::uint64_t> seeds;
  const auto bad = [&] {
    return std::invalid_argument("seeds: '" + text + "' is no list such as 1-30 or 1,4,9-12");
  };
  const char* at = text.c_str();
  const char* const end = at + text.size();
  const auto number = [&] {
    std::uint64_t n = 0;
    const auto [stop, error] = std::from_chars(at, end, n);
    if (error != std::errc{})
      throw bad();
    at = stop;
    return n;
  };
  while (true) {
    const std::uint64_t from = number();
    std::uint64_t to = from;
    if (at != end && *at == '-')
      ++at, to = number();
    if (to < from || to - from >= 100000)
      throw bad();
    for (std::uint64_t s = from; s <= to; ++s)
      seeds.push_back(s);
    if (at == end)
      return seeds;
    if (*at++ != ',')
      throw bad();
  }
}

}  // namespace hollyrun::lab
