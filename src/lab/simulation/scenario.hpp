// A scenario of the model, as a TOML file describes it. docs/lab.md tells every key.
#pragma once

#include <map>
#include <stdexcept>
#include <string>
#include <vector>

#include "hollyrun/balancer.hpp"
#include "lab/simulation/random.hpp"

namespace hollyrun::lab {

/// A number, or a range that each day draws from.
struct Range {
  double low = 0, high = 0;
  Range() = default;
  Range(double fixed) : low(fixed), high(fixed) {}
  Range(double from, double to) : low(from), high(to) {}
  double draw(Stream& stream) const { return low + (high - low) * stream.unit(); }
};

struct MachineKind {
  std::string name;
  Range share = 1;           // of the fleet
  Range cores = 1;           // of one machine
  Range speed = 1;           // against the yardstick
  Range speedCv = 0;         // between machines of the kind
  Range slots = 1;           // requests in work, a core
  Range queue = 15;          // requests waiting, a core; beyond it turns away
  Range thrash = 0;          // part of its speed lost for each request held a core beyond `thrashAt`
  Range thrashAt = 10;       // held a core
  Range coldFrom = 1;        // share of its capacity that it starts with
  Range coldS = 0;           // seconds until it is warm
  Range errorRate = 0;       // share of its answers that are errors
  Range dropsExpired = 0;    // 1: waiting work past its deadline is dropped; a share draws it
  Range dropsCancelled = 0;  // 1: waiting work that was given up is dropped
};

struct RequestClass {
  balancer::ClassSettings set;
  Range share = 1;         // of the requests
  Range workMs = 40;       // mean, on a core of speed 1
  Range cv = 1;            // of the work
  Range attemptNoise = 0;  // cv between attempts of one request
};

struct FaultSpec {
  std::string kind;
  Range chance = 1;  // that it happens
  Range atS = 0, lengthS = 0, part = 0, size = 0, everyS = 1;
  std::string zone, idempotency, className;  // zone: empty draws one
  std::string place;                         // file and line
};

/// What the testbed does to real processes, to the platform's servers or to discovery at a time of its day.
struct Fault {
  std::string kind;
  double atS = 0, lengthS = 0, size = 1;
  std::vector<std::size_t> gateways,
      servers;             // by number; none of both and no zone: all that the kind is for
  std::string zone, file;  // file: same, changed or broken
  std::string place;       // file and line
};

struct Scenario {
  std::string name, description, file;

  double lengthS = 60, tickMs = 5, warmS = 1;
  Range pace = 1;  // factor on works, aims and deadlines

  std::vector<std::string> zones{"hall"};
  Range gateways = 3, servers = 12, cellSize = 6, startSpreadMs = 0;

  Range level = 0.7, swing = 0.2, periodS = 20, zoneSkew = 0, keys = 500, keyZipf = 0.7;
  std::string shape = "wave";  // flat, wave, bursty

  Range sameMs = 0.2, crossMs = 0.7, clientMs = 0.6, jitter = 0.2;

  Range retries = 3, tryShare = 0.55, backoffMs = 30, honour = 0.2, frontNoticeS = 2;

  Range noticeS = 2, silentNoticeS = 9, addS = 2, spreadMs = 80, periodMs = 500;

  unsigned maxAttempts = 3, candidates = 0;
  bool secondCopies = true, cancel = true, retryAfter = true, keyAffinity = true;
  double maxRetryAfterMs = 1500, idleS = 60, connectTimeoutMs = 150;

  double drainGraceMs = 1000, overloadMultiple = 4, fallMs = 1000, slowStartInitialFraction = 0.12,
         coldRuleS = 23, answerSlackMs = 20;

  double goalWhole = 0.55, goalWorstWindow = 0.15, goalWorstClass = 0.3;
  double priceCrossZone = 0.03, priceWaste = 0.059, priceLateFail = 0.039, priceHandshake = 0.035,
         priceChoke = 0.04;

  Range handshakeRtts = 2, handshakeUs = 1000, capPerCore = 750, fullTax = 0.3;
  Range chokeShare = 0, chokeAt = 5, chokeOverS = 2, chokeSlower = 3, chokeRestS = 3, chokeBelow = 0.3,
        chokeMostS = 25;
  Range warmGain = 0, warmKeepS = 6, warmKeysPerCore = 24;

  std::vector<MachineKind> kinds;
  std::vector<RequestClass> classes;
  std::vector<FaultSpec> faultSpecs;

  std::vector<Fault> faults;      // of `fleet` alone
  double expectGoodput = 0;       // of `fleet`: less is a failed check
  double membershipPeriodMs = 0;  // the gateways are members of one fleet; 0: they are not
  double configuredGateways = 0;  // what they are told of their number; 0: the truth
  double expectAgreeS =
      0;  // so long after the last fault or its end all have to see the same fleet; 0: unchecked
};

/// What is wrong with a scenario; a line for each fault, `file:line: key: what`.
struct ScenarioError : std::runtime_error {
  using std::runtime_error::runtime_error;
};

/// safe, keyed or unsafe, as the scenario words it.
balancer::Idempotency effectNamed(const std::string& name);

/// Reads a scenario and the one that it `extends`. `set` are settings of the command line, `load.level=0.9`,
/// that go over the file's. Throws ScenarioError that names all faults.
Scenario readScenario(const std::string& file, const std::vector<std::string>& set = {});

}  // namespace hollyrun::lab
