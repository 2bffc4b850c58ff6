// Random numbers of the model. Every part draws from a PCG stream of its own, named after the part, so a part
// that draws more or less leaves the others' numbers as they were.
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
  /// The stream of `part` under `seed`; `number` tells apart equal parts, such as servers.
  Stream(std::uint64_t seed, std::string_view part, std::uint64_t number = 0)
      : engine_(seed * 0x9e3779b97f4a7c15ULL + number, hash(part)) {}

  double unit() { return boost::random::uniform_01<double>()(engine_); }  ///< in [0, 1)
  double uniform(double low, double high) { return low + (high - low) * unit(); }
  bool chance(double probability) { return unit() < probability; }
  std::size_t below(std::size_t n) {  ///< in [0, n); n at least 1
    return boost::random::uniform_int_distribution<std::size_t>(0, n - 1)(engine_);
  }
  double exponential(double mean) {
    return mean > 0 ? boost::random::exponential_distribution<double>(1 / mean)(engine_) : 0;
  }
  /// Log-normal by its mean and its coefficient of variation.
  double lognormal(double mean, double variation) {
    const double spread = std::log1p(variation * variation);
    return boost::random::lognormal_distribution<double>(std::log(mean) - spread / 2,
                                                         std::sqrt(spread))(engine_);
  }
  pcg64& engine() { return engine_; }

 private:
  static std::uint64_t hash(std::string_view text) {  // FNV-1a: the same on every machine
    std::uint64_t h = 0xcbf29ce484222325ULL;
    for (unsigned char c : text)
      h = (h ^ c) * 0x100000001b3ULL;
    return h;
  }
  pcg64 engine_;
};

}  // namespace hollyrun::lab
