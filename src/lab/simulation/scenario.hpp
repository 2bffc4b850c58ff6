// A scenario of the model, as read from a TOML file. docs/lab.md describes every key.
#pragma once

#include <map>
#include <stdexcept>
#include <string>
#include <vector>

#include "hollyrun/balancer.hpp"
#include "lab/simulation/random.hpp"

namespace hollyrun::lab {

/// A number, or a range from which each day draws one.
struct Range {
  double low = 0, high = 0;
  Range() = default;
  Range(double fixed) : low(fixed), high(fixed) {}
  Range(double from, double to) : low(from), high(to) {}
  double draw(Stream& stream) const { return low + (high - low) * stream.unit(); }
};

struct MachineKind {
  std::string name;
  Range share = 1;          // of the fleet's machines
  Range cores = 1;          // of one machine
  Range speed = 1;          // relative to the reference core, on which work is stated
  Range speedCv = 0;        // coefficient of variation between machines of the kind
  Range slotsPerCore = 1;   // concurrently executed requests
  Range queuePerCore = 15;  // queued requests; further ones are rejected
  // Share of the speed lost for each request in flight per core above `thrashingThreshold`.
  Range thrashing = 0;
  Range thrashingThreshold = 10;
  Range initialCapacity = 1;  // share of the capacity available at the start
  Range warmupS = 0;
  Range errorRate = 0;       // share of the responses that are errors
  Range dropsExpired = 0;    // probability that the kind drops queued requests past their deadline
  Range dropsCancelled = 0;  // probability that the kind drops queued requests that were cancelled
};

struct RequestClass {
  balancer::ClassSettings settings;
  Range share = 1;         // of the requests
  Range workMs = 40;       // mean, on a core of speed 1
  Range workCv = 1;        // coefficient of variation of the work
  Range attemptNoise = 0;  // coefficient of variation between attempts of one request
};

/// A fault of the simulated day, `[[trouble]]` in the file. The meaning and unit of `size` depend on the
/// kind.
struct FaultSpec {
  std::string kind;
  Range probability = 1;
  Range atS = 0, durationS = 0, affectedShare = 0, size = 0, intervalS = 1;
  std::string zone;  // drawn if empty
  std::string idempotency, className;
  std::string location;  // file and line
};

/// A scheduled fault that the testbed injects into real processes, into the platform's servers or into
/// discovery, `[[fault]]` in the file.
struct Fault {
  std::string kind;
  double atS = 0, durationS = 0, size = 1;
  // Numbers of the affected gateways and servers. If empty, the fault affects those in `zone`, or all if
  // there is no zone either.
  std::vector<std::size_t> gateways, servers;
  std::string zone, file;  // file: same, changed or broken
  std::string location;    // file and line
};

struct Scenario {
  std::string name, description, file;

  double durationS = 60;
  double gatewayTickMs = 5;  // gateways handle events at multiples of this time; 0: immediately
  double warmupS = 1;        // excluded from the results
  Range timeScale = 1;       // factor of work, latency objectives and client timeouts

  std::vector<std::string> zones{"hall"};
  Range gateways = 3, servers = 12, cellSize = 6, startSpreadMs = 0;

  Range loadLevel = 0.7;  // share of the fleet's capacity
  Range loadAmplitude = 0.2, loadPeriodS = 20, zoneSkew = 0, keyCount = 500, keyZipfExponent = 0.7;
  std::string loadShape = "wave";  // flat, wave, bursty

  Range sameZoneMs = 0.2, crossZoneMs = 0.7, clientLinkMs = 0.6, jitter = 0.2;

  Range maxRetries = 3;
  Range requestTimeoutShare = 0.55;  // timeout of one client request, as a share of the client's timeout
  Range backoffMs = 30;
  Range retryAfterCompliance = 0.2;  // probability that a client observes Retry-After
  Range frontendDetectionS = 2;      // until the frontend stops using a gateway that has ended

  // Delays of discovery until it announces a removal, a server that stopped responding and a new server.
  Range removalNoticeS = 2, silenceDetectionS = 9, additionNoticeS = 2;
  Range notificationSpreadMs = 80;  // the gateways are notified within this time
  Range discoveryPollMs = 500;

  unsigned maxAttempts = 3, candidates = 0;
  bool allowHedging = true, cancel = true, retryAfter = true, keyAffinity = true;
  double maxRetryAfterMs = 1500, idleTimeoutS = 60, connectTimeoutMs = 150;

  double drainGraceMs = 1000, overloadMultiple = 4, overloadWindowMs = 1000, slowStartInitialFraction = 0.12,
         slowStartS = 23, answerSlackMs = 20;

  // Weights of the goodputs in the score, and prices that are deducted from it.
  double goodputWeight = 0.55, worstWindowWeight = 0.15, worstClassWeight = 0.3;
  double priceCrossZone = 0.03, priceWaste = 0.059, priceLateFail = 0.039, priceHandshake = 0.035,
         priceChoke = 0.04;

  Range handshakeRtts = 2, handshakeUs = 1000;
  Range connectionsPerCore = 750;  // limit of open connections
  Range fullTableOverhead = 0.3;   // share of the capacity lost at that limit
  // The collapse of overloaded servers, see ServerParameters.
  Range chokeProbability = 0, chokeThreshold = 5, chokeDelayS = 2, chokeSlowdown = 3, chokeRecoveryS = 3,
        chokeRecoveryUtilization = 0.3, maxChokeS = 25;
  // The servers' caches by key: share of the work saved by a hit, time to live and size.
  Range keyCacheGain = 0, keyCacheTtlS = 6, cachedKeysPerCore = 24;

  std::vector<MachineKind> kinds;
  std::vector<RequestClass> classes;
  std::vector<FaultSpec> faultSpecs;

  std::vector<Fault> faults;      // only used by `fleet`
  double expectGoodput = 0;       // in `fleet` a lower goodput is a failed check
  double membershipPeriodMs = 0;  // probe interval of the gateways' membership; 0: no membership
  double configuredGateways = 0;  // number of gateways in their settings; 0: the actual number
  // The gateways' views have to agree within this time after the load starts, after a fault ends and after a
  // gateway restarts; for kill, term and faults without a duration also after the fault begins. A new fault
  // or restart abandons a pending check. 0: unchecked.
  double expectAgreeS = 0;
};

/// All errors of a scenario, one per line as `file:line: key: message`.
struct ScenarioError : std::runtime_error {
  using std::runtime_error::runtime_error;
};

/// The idempotency that a scenario's safe, keyed or unsafe stands for.
balancer::Idempotency effectNamed(const std::string& name);

/// Reads a scenario and those that it `extends`. `overrides` are settings of the command line, such as
/// `load.level=0.9`, which take precedence over those of the file. Throws ScenarioError with all errors.
Scenario readScenario(const std::string& file, const std::vector<std::string>& overrides = {});

}  // namespace hollyrun::lab
