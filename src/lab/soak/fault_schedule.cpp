#include "lab/soak/fault_schedule.hpp"

#include <algorithm>
#include <array>

namespace hollyrun::lab {
namespace {

using namespace std::chrono_literals;

constexpr std::array<const char*, kSoakFaultKinds> kNames = {"gateway_term",      "gateway_kill",
                                                             "gateway_pause",     "gateway_stop",
                                                             "gateway_reload",    "bad_reload",
                                                             "clock_step",        "short_calls",
                                                             "interrupted",       "accept_fails",
                                                             "dial_fails",        "server_drain",
                                                             "server_hang",       "server_reset",
                                                             "server_refuse",     "discovery_silent",
                                                             "discovery_closed",  "clients_leave",
                                                             "discovery_refuses", "discovery_fails",
                                                             "discovery_late",    "discovery_outage",
                                                             "signal_series",     "idle_crowd",
                                                             "slow_crowd",        "flood"};

constexpr auto kMeanInterval = 500ms;    // keeps two or three faults active at most times
constexpr auto kFaultFreeTail = 3000ms;  // every fault is reverted before the last 3 s

// SplitMix64: unlike the distributions of <random>, it yields the same values with every standard library.
class SplitMix64 {
 public:
  explicit SplitMix64(std::uint64_t seed) : state_(seed) {}
  std::uint64_t next() {
    std::uint64_t x = state_ += 0x9e3779b97f4a7c15ULL;
    x = (x ^ (x >> 30)) * 0xbf58476d1ce4e5b9ULL;
    x = (x ^ (x >> 27)) * 0x94d049bb133111ebULL;
    return x ^ (x >> 31);
  }
  std::chrono::milliseconds uniform(std::chrono::milliseconds minimum, std::chrono::milliseconds maximum) {
    return minimum +
           std::chrono::milliseconds(next() % static_cast<std::uint64_t>((maximum - minimum).count() + 1));
  }

 private:
  std::uint64_t state_;
};

std::chrono::milliseconds drawDuration(SoakFaultKind kind, SplitMix64& random) {
  switch (kind) {
    case SoakFaultKind::gatewayPause:
      return random.uniform(20ms, 150ms);
    case SoakFaultKind::gatewayStop:
      return random.uniform(300ms, 1500ms);
    case SoakFaultKind::serverDrain:
      return random.uniform(1500ms, 4000ms);
    case SoakFaultKind::discoveryRefuses:
    case SoakFaultKind::discoveryFails:
    case SoakFaultKind::discoveryOutage:
      return random.uniform(500ms, 6000ms);
    default:
      return random.uniform(300ms, 2500ms);
  }
}

}  // namespace

const char* nameOf(SoakFaultKind kind) {
  return kNames[static_cast<std::size_t>(kind)];
}

std::vector<SoakFault> drawSoakFaults(std::uint64_t seed, std::chrono::milliseconds length) {
  SplitMix64 random(seed);
  std::vector<SoakFault> faults;
  const auto end = length - kFaultFreeTail;
  for (auto at = random.uniform(500ms, 1000ms); at < end; at += random.uniform(0ms, 2 * kMeanInterval)) {
    SoakFault soakFault;
    soakFault.kind = static_cast<SoakFaultKind>(random.next() % kSoakFaultKinds);
    soakFault.target = random.next() % 1'000'000;
    soakFault.at = at;
    soakFault.duration = std::min(drawDuration(soakFault.kind, random), end - at);
    soakFault.randomValue = random.next();
    faults.push_back(soakFault);
  }
  return faults;
}

std::string textOf(const SoakFault& soakFault) {
  return std::string(nameOf(soakFault.kind)) + " of " + std::to_string(soakFault.target) + " at " +
         std::to_string(soakFault.at.count()) + " ms for " + std::to_string(soakFault.duration.count()) +
         " ms";
}

}  // namespace hollyrun::lab
