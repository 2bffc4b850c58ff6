// Draws the parameters of one seed's day from the ranges of a scenario: the day, the fleet of servers and
// each of its machines. The simulation in virtual time and the testbed on sockets draw the same values.
#pragma once

#include <cstdint>
#include <optional>
#include <vector>

#include "lab/simulation/scenario.hpp"
#include "lab/simulation/server.hpp"

namespace hollyrun::lab {

struct DrawnClass {
  balancer::ClassSettings settings;
  double share = 1;  // of all requests
  double work = 0;   // mean, in seconds on a core of speed 1
  double workCv = 0, attemptNoise = 0;
};

/// The parameters of a day. Times are in seconds, delays one way.
struct DrawnDay {
  DrawnDay(const Scenario& scenario, std::uint64_t seed);

  double timeScale = 1, loadLevel = 0, loadAmplitude = 0, loadPeriod = 20;
  double sameZoneDelay = 0, crossZoneDelay = 0, clientDelay = 0, jitter = 0;
  unsigned maxRetries = 0;
  double requestTimeoutShare = 0.5;  // timeout of one client request, as a share of the client's timeout
  double backoff = 0, retryAfterCompliance = 0, handshakeRtts = 1, handshakeWork = 0;
  double discoveryPollPeriod = 0;
  bool chokesEnabled = false;
  std::vector<double> cumulativeKeyWeights;
  std::vector<DrawnClass> classes;
  double meanWork = 0;  // of a request
  double longestClientTimeout = 0;
  std::vector<double> zoneShare;
};

struct Surge {
  double from = 0, to = 0;  // seconds
  double factor = 1;        // of the usual load
};

/// The arrival of a client's first request.
struct Arrival {
  double at = 0;  // seconds
  std::uint32_t classIndex = 0, zone = 0;
  double work = 0;  // seconds on a core of speed 1
  std::uint64_t key = 0;
};

/// All arrivals of the day in order, with a mean rate of `base` per second.
std::vector<Arrival> arrivalsOf(const Scenario& scenario, std::uint64_t seed, const DrawnDay& day,
                                double base, const std::vector<Surge>& surges);

/// The result of a client request that was not served.
struct Unserved {
  bool rejected = false, unreachable = false;
  Duration retryAfter{};
};

/// The seconds until a client retries a call of which it has sent `requests` requests. It may send
/// `retriesLeft` more, and `elapsed` has passed since the first. Returns nullopt if the client gives up.
std::optional<double> retryWait(const DrawnDay& day, std::uint64_t seed, std::uint32_t call,
                                unsigned requests, unsigned retriesLeft,
                                const balancer::ClassSettings& settings, const Unserved& result,
                                Duration elapsed);

struct DrawnFleet {
  DrawnFleet(const Scenario& scenario, std::uint64_t seed);

  struct Kind {
    double speed = 1, speedCv = 0;
    bool dropsExpired = false, dropsCancelled = false;
  };
  std::vector<Kind> kinds;
  std::vector<std::size_t> kindOf;  // index of the kind of each machine at the start of the day
  std::size_t cellSize = 6;
};

struct DrawnMachine {
  ServerParameters parameters;
  balancer::Endpoint entry;
};

DrawnMachine drawMachine(const Scenario& scenario, std::uint64_t seed, const DrawnFleet& fleet,
                         bool chokesEnabled, std::uint32_t number, std::size_t kind, std::uint32_t zone,
                         std::size_t cell);

/// Work per second of all machines at the start of the day, warmed up and without faults.
double capacityOf(const Scenario& scenario, std::uint64_t seed, const DrawnFleet& fleet);

/// The module's settings on that day, without those that differ between gateways.
balancer::Settings moduleSettings(const Scenario& scenario, const DrawnDay& day);

}  // namespace hollyrun::lab
