#include "lab/simulation/draw.hpp"

#include <algorithm>
#include <cmath>
#include <cstdio>

namespace hollyrun::lab {

DrawnDay::DrawnDay(const Scenario& s, std::uint64_t seed) {
  Stream draw(seed, "day");
  pace = s.pace.draw(draw);
  level = s.level.draw(draw);
  swing = s.swing.draw(draw);
  period = s.periodS.draw(draw);
  sameHop = s.sameMs.draw(draw) / 1000;
  crossHop = s.crossMs.draw(draw) / 1000;
  clientHop = s.clientMs.draw(draw) / 1000;
  jitter = s.jitter.draw(draw);
  retries = static_cast<unsigned>(std::lround(s.retries.draw(draw)));
  tryShare = s.tryShare.draw(draw);
  backoff = s.backoffMs.draw(draw) / 1000;
  honour = s.honour.draw(draw);
  handshakeRtts = s.handshakeRtts.draw(draw);
  handshakeWork = s.handshakeUs.draw(draw) * 1e-6;
  chokes = draw.chance(s.chokeShare.draw(draw));
  lookPeriod = s.periodMs.draw(draw) / 1000;
  const double keys = std::round(s.keys.draw(draw)), zipf = s.keyZipf.draw(draw);
  for (double k = 1; k <= keys; ++k)
    keyWeights.push_back((keyWeights.empty() ? 0 : keyWeights.back()) + std::pow(k, -zipf));
  double classSum = 0, zoneSum = 0;
  for (const RequestClass& c : s.classes) {
    DrawnClass d;
    d.set = c.set;
    d.set.latencyObjective = balancer::Duration(
        static_cast<std::int64_t>(static_cast<double>(c.set.latencyObjective.count()) * pace));
    d.set.clientTimeout = balancer::Duration(
        static_cast<std::int64_t>(static_cast<double>(c.set.clientTimeout.count()) * pace));
    d.share = c.share.draw(draw);
    d.work = c.workMs.draw(draw) / 1000 * pace;
    d.cv = c.cv.draw(draw);
    d.noise = c.attemptNoise.draw(draw);
    longest = std::max(longest, inSeconds(d.set.clientTimeout));
    classSum += d.share;
    classes.push_back(d);
  }
  for (DrawnClass& d : classes) {
    d.share /= classSum;
    meanWork += d.share * d.work;
  }
  const double skew = s.zoneSkew.draw(draw);
  for (std::size_t z = 0; z < s.zones.size(); ++z) {
    zoneShare.push_back(1 + skew * (2 * draw.unit() - 1) * 1.5);
    zoneSum += zoneShare.back();
  }
  for (double& z : zoneShare)
    z /= zoneSum;
}

static std::uint64_t keyAt(const DrawnDay& day, double unit) {
  return 1 + static_cast<std::uint64_t>(std::upper_bound(day.keyWeights.begin(), day.keyWeights.end(),
                                                         unit * day.keyWeights.back()) -
                                        day.keyWeights.begin());
}

std::vector<Arrival> arrivalsOf(const Scenario& s, std::uint64_t seed, const DrawnDay& day, double base,
                                const std::vector<Surge>& surges) {
  Stream when(seed, "arrivals"), which(seed, "calls");
  const double phase = when.unit();
  std::vector<double> bursts;  // of segments of a tenth of the period
  for (double t = 0; t < s.lengthS + day.period; t += day.period / 10)
    bursts.push_back(when.chance(0.5) ? 1 : -1);
  const auto factor = [&](double t) {
    double f = 1;
    if (s.shape == "wave")
      f += day.swing * std::sin(2 * M_PI * (t / day.period + phase));
    else if (s.shape == "bursty")
      f += day.swing * bursts[static_cast<std::size_t>(t / day.period * 10)];
    for (const Surge& surge : surges)
      if (t >= surge.from && t < surge.to)
        f *= surge.size;
    return f;
  };
  double most = 1 + day.swing;
  for (const Surge& surge : surges)
    most *= std::max(surge.size, 1.0);
  std::vector<Arrival> all;
  for (double t = 0;;) {
    t += when.exponential(1 / std::max(base * most, 1e-9));
    if (t >= s.lengthS)
      break;
    if (!when.chance(factor(t) / most))
      continue;
    Arrival c;
    c.at = t;
    double pick = which.unit();
    while (c.cls + 1 < day.classes.size() && pick >= day.classes[c.cls].share)
      pick -= day.classes[c.cls++].share;
    const DrawnClass& d = day.classes[c.cls];
    pick = which.unit();
    while (c.zone + 1 < day.zoneShare.size() && pick >= day.zoneShare[c.zone])
      pick -= day.zoneShare[c.zone++];
    c.work = d.cv > 0 ? which.lognormal(d.work, d.cv) : d.work;
    if (!day.keyWeights.empty())
      c.key = keyAt(day, which.unit());
    all.push_back(c);
  }
  return all;
}

std::optional<double> retryWait(const DrawnDay& day, std::uint64_t seed, std::uint32_t call, unsigned tries,
                                unsigned left, const balancer::ClassSettings& set, const Unserved& how,
                                Duration passed) {
  const bool may = set.idempotency == balancer::Idempotency::idempotent || how.refused || how.unreachable ||
                   (set.idempotency == balancer::Idempotency::keyed &&
                    set.deduplicationScope == balancer::DeduplicationScope::all);
  Stream habit(seed, "habit", static_cast<std::uint64_t>(call) * 32 + tries);
  double wait = day.backoff + day.clientHop * 2;
  if (how.after > Duration(0) && habit.chance(day.honour))
    wait = std::max(wait, inSeconds(how.after));
  if (how.unreachable)
    wait = std::max(wait, 0.02);
  if (!may || left == 0 || passed + seconds(wait) >= set.clientTimeout)
    return std::nullopt;
  return wait;
}

DrawnFleet::DrawnFleet(const Scenario& s, std::uint64_t seed) {
  Stream fleet(seed, "servers");
  const auto count = static_cast<std::size_t>(std::lround(s.servers.draw(fleet)));
  cellSize = static_cast<std::size_t>(std::max(1L, std::lround(s.cellSize.draw(fleet))));
  std::vector<double> shares;
  double sum = 0;
  for (const MachineKind& k : s.kinds)
    sum += shares.emplace_back(k.share.draw(fleet));
  std::vector<std::size_t>& picked = kindOf;  // largest remainders, then shuffled
  std::vector<std::pair<double, std::size_t>> rest;
  for (std::size_t k = 0; k < shares.size(); ++k) {
    const double exact = shares[k] / sum * static_cast<double>(count);
    for (double i = 1; i <= exact; ++i)
      picked.push_back(k);
    rest.emplace_back(std::floor(exact) - exact, k);
  }
  std::sort(rest.begin(), rest.end());
  for (std::size_t i = 0; picked.size() < count; ++i)
    picked.push_back(rest[i % rest.size()].second);
  for (std::size_t i = picked.size(); i > 1; --i)
    std::swap(picked[i - 1], picked[fleet.below(i)]);
  for (const MachineKind& k : s.kinds) {
    Kind d;
    d.speed = k.speed.draw(fleet);
    d.cv = k.speedCv.draw(fleet);
    d.expired = fleet.chance(k.dropsExpired.draw(fleet));
    d.cancelled = fleet.chance(k.dropsCancelled.draw(fleet));
    this->kinds.push_back(d);
  }
}

DrawnMachine drawMachine(const Scenario& s, std::uint64_t seed, const DrawnFleet& fleet, bool chokes,
                         std::uint32_t number, std::size_t kind, std::uint32_t zone, std::size_t cell) {
  Stream draw(seed, "machine", number);
  const MachineKind& k = s.kinds[kind];
  ServerFigures f;
  f.cores = std::round(k.cores.draw(draw));
  f.speed = fleet.kinds[kind].speed * draw.lognormal(1, fleet.kinds[kind].cv);
  f.slots = static_cast<std::size_t>(std::max(1.0, std::round(f.cores * k.slots.draw(draw))));
  f.room = static_cast<std::size_t>(std::round(f.cores * k.queue.draw(draw)));
  f.thrash = k.thrash.draw(draw);
  f.thrashAt = k.thrashAt.draw(draw);
  f.coldFrom = k.coldFrom.draw(draw);
  f.coldS = k.coldS.draw(draw);
  f.errorRate = k.errorRate.draw(draw);
  f.dropsExpired = fleet.kinds[kind].expired;
  f.dropsCancelled = fleet.kinds[kind].cancelled;
  f.connectionCap = f.cores * s.capPerCore.draw(draw);
  f.fullTax = s.fullTax.draw(draw);
  f.chokes = chokes;
  f.chokeAt = s.chokeAt.draw(draw);
  f.chokeOverS = s.chokeOverS.draw(draw);
  f.chokeSlower = s.chokeSlower.draw(draw);
  f.chokeRestS = s.chokeRestS.draw(draw);
  f.chokeBelow = s.chokeBelow.draw(draw);
  f.chokeMostS = s.chokeMostS.draw(draw);
  f.warmGain = s.warmGain.draw(draw);
  f.warmKeepS = s.warmKeepS.draw(draw);
  f.keyAffinity = static_cast<std::size_t>(std::max(1.0, f.cores * s.warmKeysPerCore.draw(draw)));
  DrawnMachine m;
  m.figures = f;
  // Addresses in no order of number: they tell nothing of zone, kind or age.
  char address[48];
  const auto bits = draw.engine()();
  std::snprintf(address, sizeof address, "10.%u.%u.%u:%u", static_cast<unsigned>(bits & 255),
                static_cast<unsigned>(bits >> 8 & 255), static_cast<unsigned>(bits >> 16 & 255),
                10000 + number);
  m.entry.address = address;
  m.entry.zone = s.zones[zone];
  m.entry.machineType = k.name;
  m.entry.cell = static_cast<std::int64_t>(cell);
  return m;
}

double capacityOf(const Scenario& s, std::uint64_t seed, const DrawnFleet& fleet) {
  double sum = 0;
  for (std::size_t i = 0; i < fleet.kindOf.size(); ++i) {
    const ServerFigures f =
        drawMachine(s, seed, fleet, false, static_cast<std::uint32_t>(i), fleet.kindOf[i], 0, 0).figures;
    sum += f.cores * f.speed;
  }
  return sum;
}

balancer::Settings moduleSettings(const Scenario& s, const DrawnDay& day) {
  balancer::Settings set;
  for (const DrawnClass& d : day.classes)
    set.classes.push_back(d.set);
  set.allowHedging = s.secondCopies;
  set.keyAffinity = s.keyAffinity;
  set.candidates = s.candidates;
  set.retryAfter = s.retryAfter;
  set.cancel = s.cancel;
  set.maxAttempts = s.maxAttempts;
  set.idleTimeout = seconds(s.idleS);
  set.maxRetryAfter = seconds(1e-3 * s.maxRetryAfterMs);
  set.step = seconds(1e-3 * s.tickMs);
  set.slowStartDuration = seconds(s.coldRuleS);
  set.slowStartInitialFraction = s.slowStartInitialFraction;
  set.overloadMultiple = s.overloadMultiple;
  set.overloadWindow = seconds(1e-3 * s.fallMs);
  return set;
}

}  // namespace hollyrun::lab
