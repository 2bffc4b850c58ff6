/// Random numbers of a membership instance, reproducible from its seed.
#pragma once

#include <cstddef>
#include <cstdint>
#include <pcg_random.hpp>

namespace hollyrun::membership {

class RandomSource {
 public:
  explicit RandomSource(std::uint64_t seed) : engine_(seed, kStream) {}

  std::uint64_t draw() {
    const std::uint64_t high = engine_();
    return high << 32 | engine_();
  }
  /// Draws a number uniformly from [0, bound); `bound` must be positive.
  std::size_t drawBelow(std::size_t bound) {
    return static_cast<std::size_t>(engine_(static_cast<std::uint32_t>(bound)));
  }

 private:
  static constexpr std::uint64_t kStream = 0x6d656d62;
  pcg32 engine_;
};

}  // namespace hollyrun::membership
