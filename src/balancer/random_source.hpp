/// The only source of random numbers of a Balancer; the same seed produces the same sequence.
#pragma once

#include <cstddef>
#include <cstdint>
#include <random>

namespace hollyrun::balancer {

/// Computes its own distributions, since those of the standard differ between library implementations.
class RandomSource {
 public:
  explicit RandomSource(std::uint64_t seed) : engine_(seed) {}

  /// Uniform in [0, 1).
  double drawUnit() { return static_cast<double>(engine_() >> 11) * 0x1.0p-53; }

  /// Uniform in 0 .. count - 1.
  std::size_t drawBelow(std::size_t count) {
    return static_cast<std::size_t>(drawUnit() * static_cast<double>(count));
  }

 private:
  std::mt19937_64 engine_;
};

}  // namespace hollyrun::balancer
