#include "lab/soak/fault_schedule.hpp"

#include <algorithm>
#include <array>

namespace hollyrun::lab {
namespace {

using namespace std::chrono_literals;

constexpr std::array<const char*, kSoakFaultKinds> kNames = {
    "gateway_term", "gateway_kill", "gateway_pause", "gateway_stop",     "gateway_reload",   "bad_reload",
    "clock_step",   "short_calls",  "interrupted",   "accept_fails",     "dial_fails",       "server_drain",
    "server_hang",  "server_reset", "server_refuse", "discovery_silent", "discovery_closed", "clients_leave"};

constexpr auto kMeanBetween = 500ms;  // so two or three are on at most times
constexpr auto kQuietEnd = 3000ms;    // all is undone by then

// splitmix64, so that a seed draws the same with every standard library.
class Draws {
 public:
  explicit Draws(std::uint64_t seed) : state_(seed) {}
  std::uint64_t next() {
    std::uint64_t x = state_ += 0x9e3779b97f4a7c15ULL;
    x = (x ^ (x >> 30)) * 0xbf58476d1ce4e5b9ULL;
    x = (x ^ (x >> 27)) * 0x94d049bb133111ebULL;
    return x ^ (x >> 31);
  }
  std::chrono::milliseconds between(std::chrono::milliseconds least, std::chrono::milliseconds most) {
    return least + std::chrono::milliseconds(next() % static_cast<std::uint64_t>((most - least).count() + 1));
  }

 private:
  std::uint64_t state_;
};

std::chrono::milliseconds spanOf(SoakFaultKind kind, Draws& draws) {
  switch (kind) {
    case SoakFaultKind::gatewayPause:
      return draws.between(20ms, 150ms);
    case SoakFaultKind::gatewayStop:
      return draws.between(300ms, 1500ms);
    case SoakFaultKind::serverDrain:
      return draws.between(1500ms, 4000ms);
    default:
      return draws.between(300ms, 2500ms);
  }
}

}  // namespace

const char* nameOf(SoakFaultKind kind) {
  return kNames[static_cast<std::size_t>(kind)];
}

std::vector<SoakFault> drawSoakFaults(std::uint64_t seed, std::chrono::milliseconds length) {
  Draws draws(seed);
  std::vector<SoakFault> all;
  const auto end = length - kQuietEnd;
  for (auto at = draws.between(500ms, 1000ms); at < end; at += draws.between(0ms, 2 * kMeanBetween)) {
    SoakFault soakFault;
    soakFault.kind = static_cast<SoakFaultKind>(draws.next() % kSoakFaultKinds);
    soakFault.whom = draws.next() % 1'000'000;
    soakFault.at = at;
    soakFault.span = std::min(spanOf(soakFault.kind, draws), end - at);
    soakFault.draw = draws.next();
    all.push_back(soakFault);
  }
  return all;
}

std::string textOf(const SoakFault& soakFault) {
  return std::string(nameOf(soakFault.kind)) + " of " + std::to_string(soakFault.whom) + " at " +
         std::to_string(soakFault.at.count()) + " ms for " + std::to_string(soakFault.span.count()) + " ms";
}

}  // namespace hollyrun::lab
