// What a scenario's ranges come to on the day of one seed: the day's figures, the fleet of record servers and
// each of its machines. The day in virtual time and the one on sockets draw the same.
#pragma once

#include <cstdint>
#include <optional>
#include <vector>

#include "lab/simulation/scenario.hpp"
#include "lab/simulation/server.hpp"

namespace hollyrun::lab {

struct DrawnClass {
  balancer::ClassSettings set;
  double share = 1, work = 0, cv = 0, noise = 0;  // share of 1; work in seconds
};

/// Times in seconds.
struct DrawnDay {
  DrawnDay(const Scenario& scenario, std::uint64_t seed);

  double pace = 1, level = 0, swing = 0, period = 20;
  double sameHop = 0, crossHop = 0, clientHop = 0, jitter = 0;
  unsigned retries = 0;
  double tryShare = 0.5, backoff = 0, honour = 0, handshakeRtts = 1, handshakeWork = 0, lookPeriod = 0;
  bool chokes = false;
  std::vector<double> keyWeights;  // summed up
  std::vector<DrawnClass> classes;
  double meanWork = 0, longest = 0;  // of a request; the longest wait of a client
  std::vector<double> zoneShare;
};

struct Surge {
  double from = 0, to = 0, size = 1;  // seconds; times the usual load
};

/// A client's first try: when, in seconds, and what.
struct Arrival {
  double at = 0;
  std::uint32_t cls = 0, zone = 0;
  double work = 0;  // seconds on a core of speed 1
  std::uint64_t key = 0;
};

/// The whole day's, in order, around `base` a second.
std::vector<Arrival> arrivalsOf(const Scenario& scenario, std::uint64_t seed, const DrawnDay& day,
                                double base, const std::vector<Surge>& surges);

/// How a client's try without success went.
struct Unserved {
  bool refused = false, unreachable = false;
  Duration after{};  // Retry-After
};

/// Seconds until a client tries again by its class and habits, after its `tries`th try of a call.
/// `left` are the retries it still has, `passed` the time since its first try. None: it leaves it at that.
std::optional<double> retryWait(const DrawnDay& day, std::uint64_t seed, std::uint32_t call, unsigned tries,
                                unsigned left, const balancer::ClassSettings& set, const Unserved& how,
                                Duration passed);

struct DrawnFleet {
  DrawnFleet(const Scenario& scenario, std::uint64_t seed);

  struct Kind {
    double speed = 1, cv = 0;
    bool expired = false, cancelled = false;
  };
  std::vector<Kind> kinds;
  std::vector<std::size_t> kindOf;  // of each machine at the day's start
  std::size_t cellSize = 6;
};

struct DrawnMachine {
  ServerFigures figures;
  balancer::Endpoint entry;
};

DrawnMachine drawMachine(const Scenario& scenario, std::uint64_t seed, const DrawnFleet& fleet, bool chokes,
                         std::uint32_t number, std::size_t kind, std::uint32_t zone, std::size_t cell);

/// Work a second of all machines of the day's start, warm and well.
double capacityOf(const Scenario& scenario, std::uint64_t seed, const DrawnFleet& fleet);

/// The module's settings on that day, but for what tells one gateway from another.
balancer::Settings moduleSettings(const Scenario& scenario, const DrawnDay& day);

}  // namespace hollyrun::lab
