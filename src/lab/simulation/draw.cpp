#include "lab/simulation/draw.hpp"

#include <algorithm>
#include <cmath>
#include <cstdio>

namespace hollyrun::lab {

constexpr double kMinReconnectDelayS = 0.02;

DrawnDay::DrawnDay(const Scenario& scenario, std::uint64_t seed) {
  Stream random(seed, "day");
  timeScale = scenario.timeScale.draw(random);
  loadLevel = scenario.loadLevel.draw(random);
  loadAmplitude = scenario.loadAmplitude.draw(random);
  loadPeriod = scenario.loadPeriodS.draw(random);
  sameZoneDelay = scenario.sameZoneMs.draw(random) / 1000;
  crossZoneDelay = scenario.crossZoneMs.draw(random) / 1000;
  clientDelay = scenario.clientLinkMs.draw(random) / 1000;
  jitter = scenario.jitter.draw(random);
  maxRetries = static_cast<unsigned>(std::lround(scenario.maxRetries.draw(random)));
  requestTimeoutShare = scenario.requestTimeoutShare.draw(random);
  backoff = scenario.backoffMs.draw(random) / 1000;
  retryAfterCompliance = scenario.retryAfterCompliance.draw(random);
  handshakeRtts = scenario.handshakeRtts.draw(random);
  handshakeWork = scenario.handshakeUs.draw(random) * 1e-6;
  chokesEnabled = random.chance(scenario.chokeProbability.draw(random));
  discoveryPollPeriod = scenario.discoveryPollMs.draw(random) / 1000;
  const double keyCount = std::round(scenario.keyCount.draw(random)),
               zipfExponent = scenario.keyZipfExponent.draw(random);
  for (double k = 1; k <= keyCount; ++k)
    cumulativeKeyWeights.push_back((cumulativeKeyWeights.empty() ? 0 : cumulativeKeyWeights.back()) +
                                   std::pow(k, -zipfExponent));
  double classSum = 0, zoneSum = 0;
  for (const RequestClass& requestClass : scenario.classes) {
    DrawnClass drawn;
    drawn.settings = requestClass.settings;
    drawn.settings.latencyObjective = balancer::Duration(static_cast<std::int64_t>(
        static_cast<double>(requestClass.settings.latencyObjective.count()) * timeScale));
    drawn.settings.clientTimeout = balancer::Duration(static_cast<std::int64_t>(
        static_cast<double>(requestClass.settings.clientTimeout.count()) * timeScale));
    drawn.share = requestClass.share.draw(random);
    drawn.work = requestClass.workMs.draw(random) / 1000 * timeScale;
    drawn.workCv = requestClass.workCv.draw(random);
    drawn.attemptNoise = requestClass.attemptNoise.draw(random);
    longestClientTimeout = std::max(longestClientTimeout, inSeconds(drawn.settings.clientTimeout));
    classSum += drawn.share;
    classes.push_back(drawn);
  }
  for (DrawnClass& drawn : classes) {
    drawn.share /= classSum;
    meanWork += drawn.share * drawn.work;
  }
  const double skew = scenario.zoneSkew.draw(random);
  for (std::size_t zone = 0; zone < scenario.zones.size(); ++zone) {
    zoneShare.push_back(1 + skew * (2 * random.unit() - 1) * 1.5);
    zoneSum += zoneShare.back();
  }
  for (double& share : zoneShare)
    share /= zoneSum;
}

static std::uint64_t keyAt(const DrawnDay& day, double unit) {
  return 1 + static_cast<std::uint64_t>(std::upper_bound(day.cumulativeKeyWeights.begin(),
                                                         day.cumulativeKeyWeights.end(),
                                                         unit * day.cumulativeKeyWeights.back()) -
                                        day.cumulativeKeyWeights.begin());
}

std::vector<Arrival> arrivalsOf(const Scenario& scenario, std::uint64_t seed, const DrawnDay& day,
                                double base, const std::vector<Surge>& surges) {
  Stream times(seed, "arrivals"), properties(seed, "calls");
  const double phase = times.unit();
  std::vector<double> bursts;  // sign of the load's deviation in each tenth of the period
  for (double t = 0; t < scenario.durationS + day.loadPeriod; t += day.loadPeriod / 10)
    bursts.push_back(times.chance(0.5) ? 1 : -1);
  const auto loadFactor = [&](double t) {
    double factor = 1;
    if (scenario.loadShape == "wave")
      factor += day.loadAmplitude * std::sin(2 * M_PI * (t / day.loadPeriod + phase));
    else if (scenario.loadShape == "bursty")
      factor += day.loadAmplitude * bursts[static_cast<std::size_t>(t / day.loadPeriod * 10)];
    for (const Surge& surge : surges)
      if (t >= surge.from && t < surge.to)
        factor *= surge.factor;
    return factor;
  };
  double maxFactor = 1 + day.loadAmplitude;
  for (const Surge& surge : surges)
    maxFactor *= std::max(surge.factor, 1.0);
  std::vector<Arrival> all;
  for (double t = 0;;) {
    // Thinning: arrivals are drawn at the maximum rate and kept with the share of the current rate.
    t += times.exponential(1 / std::max(base * maxFactor, 1e-9));
    if (t >= scenario.durationS)
      break;
    if (!times.chance(loadFactor(t) / maxFactor))
      continue;
    Arrival arrival;
    arrival.at = t;
    double pick = properties.unit();
    while (arrival.classIndex + 1 < day.classes.size() && pick >= day.classes[arrival.classIndex].share)
      pick -= day.classes[arrival.classIndex++].share;
    const DrawnClass& drawn = day.classes[arrival.classIndex];
    pick = properties.unit();
    while (arrival.zone + 1 < day.zoneShare.size() && pick >= day.zoneShare[arrival.zone])
      pick -= day.zoneShare[arrival.zone++];
    arrival.work = drawn.workCv > 0 ? properties.lognormal(drawn.work, drawn.workCv) : drawn.work;
    if (!day.cumulativeKeyWeights.empty())
      arrival.key = keyAt(day, properties.unit());
    all.push_back(arrival);
  }
  return all;
}

std::optional<double> retryWait(const DrawnDay& day, std::uint64_t seed, std::uint32_t call,
                                unsigned requests, unsigned retriesLeft,
                                const balancer::ClassSettings& settings, const Unserved& result,
                                Duration elapsed) {
  const bool mayRepeat = settings.idempotency == balancer::Idempotency::idempotent || result.rejected ||
                         result.unreachable ||
                         (settings.idempotency == balancer::Idempotency::keyed &&
                          settings.deduplicationScope == balancer::DeduplicationScope::all);
  Stream random(seed, "habit", static_cast<std::uint64_t>(call) * 32 + requests);
  double wait = day.backoff + day.clientDelay * 2;
  if (result.retryAfter > Duration(0) && random.chance(day.retryAfterCompliance))
    wait = std::max(wait, inSeconds(result.retryAfter));
  if (result.unreachable)
    wait = std::max(wait, kMinReconnectDelayS);
  if (!mayRepeat || retriesLeft == 0 || elapsed + seconds(wait) >= settings.clientTimeout)
    return std::nullopt;
  return wait;
}

DrawnFleet::DrawnFleet(const Scenario& scenario, std::uint64_t seed) {
  Stream random(seed, "servers");
  const auto count = static_cast<std::size_t>(std::lround(scenario.servers.draw(random)));
  cellSize = static_cast<std::size_t>(std::max(1L, std::lround(scenario.cellSize.draw(random))));
  std::vector<double> shares;
  double sum = 0;
  for (const MachineKind& machineKind : scenario.kinds)
    sum += shares.emplace_back(machineKind.share.draw(random));
  // The kinds are apportioned by the largest remainder method, then shuffled.
  std::vector<std::pair<double, std::size_t>> remainders;  // negated, so that the largest sorts first
  for (std::size_t kind = 0; kind < shares.size(); ++kind) {
    const double exact = shares[kind] / sum * static_cast<double>(count);
    for (double i = 1; i <= exact; ++i)
      kindOf.push_back(kind);
    remainders.emplace_back(std::floor(exact) - exact, kind);
  }
  std::sort(remainders.begin(), remainders.end());
  for (std::size_t i = 0; kindOf.size() < count; ++i)
    kindOf.push_back(remainders[i % remainders.size()].second);
  for (std::size_t i = kindOf.size(); i > 1; --i)
    std::swap(kindOf[i - 1], kindOf[random.below(i)]);
  for (const MachineKind& machineKind : scenario.kinds) {
    Kind drawn;
    drawn.speed = machineKind.speed.draw(random);
    drawn.speedCv = machineKind.speedCv.draw(random);
    drawn.dropsExpired = random.chance(machineKind.dropsExpired.draw(random));
    drawn.dropsCancelled = random.chance(machineKind.dropsCancelled.draw(random));
    kinds.push_back(drawn);
  }
}

DrawnMachine drawMachine(const Scenario& scenario, std::uint64_t seed, const DrawnFleet& fleet,
                         bool chokesEnabled, std::uint32_t number, std::size_t kind, std::uint32_t zone,
                         std::size_t cell) {
  Stream random(seed, "machine", number);
  const MachineKind& machineKind = scenario.kinds[kind];
  ServerParameters parameters;
  parameters.cores = std::round(machineKind.cores.draw(random));
  parameters.speed = fleet.kinds[kind].speed * random.lognormal(1, fleet.kinds[kind].speedCv);
  parameters.slots = static_cast<std::size_t>(
      std::max(1.0, std::round(parameters.cores * machineKind.slotsPerCore.draw(random))));
  parameters.queueCapacity =
      static_cast<std::size_t>(std::round(parameters.cores * machineKind.queuePerCore.draw(random)));
  parameters.thrashing = machineKind.thrashing.draw(random);
  parameters.thrashingThreshold = machineKind.thrashingThreshold.draw(random);
  parameters.initialCapacity = machineKind.initialCapacity.draw(random);
  parameters.warmupS = machineKind.warmupS.draw(random);
  parameters.errorRate = machineKind.errorRate.draw(random);
  parameters.dropsExpired = fleet.kinds[kind].dropsExpired;
  parameters.dropsCancelled = fleet.kinds[kind].dropsCancelled;
  parameters.connectionCap = parameters.cores * scenario.connectionsPerCore.draw(random);
  parameters.fullTableOverhead = scenario.fullTableOverhead.draw(random);
  parameters.chokesEnabled = chokesEnabled;
  parameters.chokeThreshold = scenario.chokeThreshold.draw(random);
  parameters.chokeDelayS = scenario.chokeDelayS.draw(random);
  parameters.chokeSlowdown = scenario.chokeSlowdown.draw(random);
  parameters.chokeRecoveryS = scenario.chokeRecoveryS.draw(random);
  parameters.chokeRecoveryUtilization = scenario.chokeRecoveryUtilization.draw(random);
  parameters.maxChokeS = scenario.maxChokeS.draw(random);
  parameters.keyCacheGain = scenario.keyCacheGain.draw(random);
  parameters.keyCacheTtlS = scenario.keyCacheTtlS.draw(random);
  parameters.cachedKeys =
      static_cast<std::size_t>(std::max(1.0, parameters.cores * scenario.cachedKeysPerCore.draw(random)));
  DrawnMachine machine;
  machine.parameters = parameters;
  // Random addresses, so that their order reveals nothing about zone, kind or age.
  char address[48];
  const auto bits = random.engine()();
  std::snprintf(address, sizeof address, "10.%u.%u.%u:%u", static_cast<unsigned>(bits & 255),
                static_cast<unsigned>(bits >> 8 & 255), static_cast<unsigned>(bits >> 16 & 255),
                10000 + number);
  machine.entry.address = address;
  machine.entry.zone = scenario.zones[zone];
  machine.entry.machineType = machineKind.name;
  machine.entry.cell = static_cast<std::int64_t>(cell);
  return machine;
}

double capacityOf(const Scenario& scenario, std::uint64_t seed, const DrawnFleet& fleet) {
  double sum = 0;
  for (std::size_t i = 0; i < fleet.kindOf.size(); ++i) {
    const ServerParameters parameters =
        drawMachine(scenario, seed, fleet, false, static_cast<std::uint32_t>(i), fleet.kindOf[i], 0, 0)
            .parameters;
    sum += parameters.cores * parameters.speed;
  }
  return sum;
}

balancer::Settings moduleSettings(const Scenario& scenario, const DrawnDay& day) {
  balancer::Settings settings;
  for (const DrawnClass& drawn : day.classes)
    settings.classes.push_back(drawn.settings);
  settings.allowHedging = scenario.allowHedging;
  settings.keyAffinity = scenario.keyAffinity;
  settings.candidates = scenario.candidates;
  settings.retryAfter = scenario.retryAfter;
  settings.cancel = scenario.cancel;
  settings.maxAttempts = scenario.maxAttempts;
  settings.idleTimeout = seconds(scenario.idleTimeoutS);
  settings.maxRetryAfter = seconds(1e-3 * scenario.maxRetryAfterMs);
  settings.step = seconds(1e-3 * scenario.gatewayTickMs);
  settings.slowStartDuration = seconds(scenario.slowStartS);
  settings.slowStartInitialFraction = scenario.slowStartInitialFraction;
  settings.overloadMultiple = scenario.overloadMultiple;
  settings.overloadWindow = seconds(1e-3 * scenario.overloadWindowMs);
  return settings;
}

}  // namespace hollyrun::lab
