// Random numbers of the model. Each component draws from its own PCG stream, which is named after it, so a
// component that draws more or fewer numbers does not change those of the others.
#pragma once

#include <boost/random/bernoulli_distribution.hpp>
#include <boost/random/exponential_distribution.hpp>
#include <boost/random/lognormal_distribution.hpp>
#include <boost/random/uniform_01.hpp>
#include <boost/random/uniform_int_distribution.hpp>
#include <cmath>
#include <cstdint>
#include <pcg_random.hpp>
#include <string_view>

namespace hollyrun::lab {

class Stream {
 public:
  /// The stream of `component` under `seed`; `number` distinguishes equal components, such as servers.
  Stream(std::uint64_t seed, std::string_view component, std::uint64_t number = 0)
      : engine_(seed * 0x9e3779b97f4a7c15ULL + number, hash(component)) {}

  double unit() { return boost::random::uniform_01<double>()(engine_); }  ///< in [0, 1)
  double uniform(double low, double high) { return low + (high - low) * unit(); }
  bool chance(double probability) { return unit() < probability; }
  std::size_t below(std::size_t n) {  ///< in [0, n); n at least 1
    return boost::random::uniform_int_distribution<std::size_t>(0, n - 1)(engine_);
  }
  double exponential(double mean) {
    return mean > 0 ? boost::random::exponential_distribution<double>(1 / mean)(engine_) : 0;
  }
  /// Log-normal with the given mean and coefficient of variation.
  double lognormal(double mean, double cv) {
    const double variance = std::log1p(cv * cv);
    return boost::random::lognormal_distribution<double>(std::log(mean) - variance / 2,
                                                         std::sqrt(variance))(engine_);
  }
  pcg64& engine() { return engine_; }

 private:
  /// FNV-1a, which unlike std::hash is equal on every machine.
  static std::uint64_t hash(std::string_view text) {
    std::uint64_t value = 0xcbf29ce484222325ULL;
    for (unsigned char byte : text)
      value = (value ^ byte) * 0x100000001b3ULL;
    return value;
  }
  pcg64 engine_;
};

}  // namespace hollyrun::lab
