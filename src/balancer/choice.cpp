// The decision module, behind include/hollyrun/balancer.hpp. A request is scored 1 to 100 by worth, refused
// unsent when it scores below the cutoff, and otherwise sent to a random ready host that holds few of ours,
// else to the lighter of two draws. The cutoff is 100 x^3, x being the larger of the error and in-flight
// overloads.
#include <algorithm>
#include <bit>
#include <cmath>
#include <map>
#include <queue>
#include <random>
#include <unordered_map>
#include <utility>

#include "balancer/settings.hpp"
#include "balancer/state.hpp"
#include "hollyrun/balancer.hpp"

namespace hollyrun::balancer {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

// --- Constants, each with its reason ------------------------------------------------------------------

constexpr Duration kSweep = milliseconds(100);  // statistics are renewed this often: a few answer times
constexpr double kFastGain = 0.2;               // per sweep: rates over about half a second
constexpr double kSteadyRate = 80;              // requests a second that make half a second steady enough
constexpr double kSlowGain = 0.008;             // per sweep: the traffic mix is remembered about ten seconds
constexpr double kNormGain = 0.02;  // per answer: a usual time over the last fifty, at first over all
constexpr double kNormClip = 2;  // an answer counts as this many usual times at most: the slow few weigh less
constexpr double kKindPrior = 4;    // answers that a kind is taken for a usual one before it is known
constexpr double kPaceFade = 0.05;  // per sweep without requests: an old pace fades in two seconds at least
constexpr double kPaceGain = 0.1;   // per answer: a host's pace, over its last ten answers
// Danger: one of many gateways meets a host every few seconds; by ten answers it learns too late.
constexpr double kThinFirst = 2;  // so much its first answers weigh among those of the prior
constexpr double kFullPace = 2;   // "full": it takes this many times the host's pace, at the least

// In-flight overload. By Little's law the mean time in flight is in-flight / rate, so the pool carries
// `rate x aim` at most if answers are to be in time.
constexpr double kMaxOfAim = 0.45;  // in-flight maximum: mean time at this share of the aim
// Danger: where the aim is many usual times long, requests that wait for most of it crowd the hosts until
// they slow down, and then stay slow. So long a queue gains nothing.
// Danger: crowded hosts lengthen the usual time, and a maximum that followed it would keep them crowded. It
// follows the least that the usual time has lately been, in the mean over two seconds.
constexpr double kMaxNorms = 3.5;                        // and at this many of the least usual time
constexpr double kLeastGain = 0.05, kLeastRise = 0.001;  // per sweep; the least rises one per cent a second
// Danger: what a host that fell silent holds says nothing of a queue, and where answers are quick it is many
// usual times' worth before the silence shows.
constexpr Duration kMaxTimeLeast = milliseconds(80);
constexpr double kInflightThreshold = 0.5;  // share of that maximum below which nothing is cut
constexpr double kHeldTimes = 3;   // an attempt counts for so many of the mean time allowed at the most,
constexpr double kMetWell = 8;     // where a host is met so often a second that a jam shows in half a one
constexpr double kSlowedMost = 3;  // as the answers slow down, by the third power of it up to this
constexpr double kHeldGain = 0.05, kHeldSweep = 0.5;  // per arrival, over the last twenty; per sweep
// Danger: what one of many gateways holds swings by its square root; the cubic makes refusals of the swing.
constexpr double kThinRange = 0.5;   // full cut later than with much evidence,
constexpr double kThinEarly = 0.25;  // its beginning as much earlier: the swing lies about the same maximum
constexpr double kFirstPerHost = 6;  // maximum assumed for a host before anything was measured
// Danger: after a burst that crowds the hosts, nearly all is refused, hosts stand idle, and a maximum that
// follows the few answers never grows back. So much may be held a host, by all: one at work and one waiting.
constexpr double kFloorPerHost = 2;
// Danger: hosts once driven over stay slow long after, and "full" is the first that one hears of it.
constexpr double kFullEase = 4;        // times the share of "full" answers is taken off the maximum,
constexpr double kFullEaseMost = 0.5;  // up to a half, and forgotten in half a second
// Danger: when all hosts slow down together, a maximum that follows the sinking rate idles them. What a host
// held while nothing was refused stays allowed.
constexpr double kCalmFade = 0.001;  // per sweep: forgotten in some minutes
// Error overload: share of failed attempts. A few per cent is everyday noise.
constexpr double kErrorThreshold = 0.1;
constexpr double kErrorMax = 0.7;
constexpr double kErrorPrior = 10;  // attempts assumed good, so that a handful of samples proves nothing

// Danger: hosts accept so many connections, and each gateway of a large bank opening one to every host shuts
// the others out. A gateway keeps to this many hosts, and to this many times its part of the pool.
constexpr double kWidthLeast = 6;
constexpr double kWidthParts = 4;
constexpr std::uint32_t kRound = 16;       // gateways dealt out over the pool at a time
constexpr std::uint32_t kRoundsLeast = 4;  // with candidates: full rounds at least, so gateways of each host
constexpr std::size_t kLargeFleet = 600;   // hosts from which on a request chooses among few of them,
constexpr std::uint32_t kLargeCandidates = 64;  // so many; back to all at three quarters of it
constexpr std::uint64_t kPoints = 8;  // of a host on the ring; with one, some get half as many keys again
constexpr Duration kIdleClose = seconds(5);    // beyond its own hosts a gateway gives connections back
constexpr Duration kConnectRest = seconds(1);  // none to be had: down or at its cap; doubled as ejections are
constexpr double kCrowded = 1.5;               // times the median held: too much
constexpr double kShareGain = 0.5;             // power of the excess taken off a host's share at each report
constexpr double kShareBack = 1.1;             // and its way back
constexpr double kShareLeast = 0.05;           // a trickle, or it would never be known better
constexpr double kLocalLean = 2;               // own zone in the draw: yields to a host 1.4 times as fast
constexpr std::size_t kWarmCandidates = 3;     // hosts that share the warmth of one key at least,
constexpr double kKeySpread = 2;     // hosts for a key, times those that its part of the traffic fills
constexpr double kFailGain = 0.12;   // per outcome: five failures on end make one half
constexpr double kFailEject = 0.45;  // failure share that ejects,
constexpr double kFailPeers = 2.5;   // if it is also this many times that of the better quarter of the pool
// Danger: a host may fail or swallow one class and serve the others; by the mean of all it looks well.
constexpr double kClassGain = 0.25;   // per outcome of the class at the host: three on end make a half
constexpr double kClassPeers = 0.02;  // per outcome of the class anywhere: what its peers do, over fifty
constexpr double kClassOver = 1.5;    // times what its peers fail is noise in a trouble of all hosts
constexpr double kClassLeast = 0.03;  // of its draws for the class: a trickle tells when it is well again
constexpr double kEjectShare = 0.5;   // of the pool at most, so a pool-wide trouble never empties it
constexpr Duration kEjectFirst = seconds(1);  // doubled each time,
constexpr int kEjectDoublings = 3;            // up to so often
constexpr double kSilentNorms = 4;            // silent: nothing heard for so many times the usual time,
constexpr Duration kSilentLeast = milliseconds(150);  // and at least for this long (short pauses are normal)

constexpr double kProvenDecay = 0.997;  // per sweep: proven rates of a machine kind fade over half a minute
constexpr int kFullRow = 3;             // "full" so often on end: not a short peak, the host rests,
constexpr Duration kFullRest = milliseconds(100);  // a few unloaded answer times

constexpr double kColdPart = 0.45;   // load of a cold host, as a part of the multiple that fells it
constexpr double kCopyNorms = 2.5;   // a second copy after so many usual times
constexpr double kLeftApart = 0.02;  // of the client's total wait: times closer than this are the same
constexpr double kRetryShare = 0.3;  // resends per new request
constexpr double kRetrySaved = 3;    // resends that may be saved up, beyond those of a second

constexpr Duration kUploadMost = std::chrono::minutes(10);  // 32 MB at 64 kB a second, and a little more
constexpr Duration kLogEvery = seconds(1);

}  // namespace

struct Balancer::Impl {
  Settings set;
  std::mt19937_64 engine;
  std::vector<Action> out;
  std::vector<Host> hosts;
  std::unordered_map<std::string, HostId> hostIds;
  std::vector<HostId> listed;       // phase `in`, in order of address: the same order at every start
  std::vector<Point> order;         // the same hosts, this gateway's own first
  std::vector<Point> ring;          // the same hosts for keys, at the same places at all gateways
  std::uint32_t candidates = 0;     // that a request chooses from; 0 = all
  std::size_t part = 0, width = 0;  // of `order`: this gateway's own; those in use while one of them is idle
  std::uint64_t walks = 0;
  std::vector<std::shared_ptr<ClassState>> classes;  // those in the settings and, at last, the unknown one
  std::map<std::string, Kind> kinds;
  TenantBuckets quotas;
  ColdStarts coldStarts;
  std::vector<HostId> holding;  // the listed ones with anything in `sent`
  std::vector<Open> slots;
  std::vector<std::uint32_t> freeSlots;
  std::unordered_map<RequestId, std::uint32_t> slotOf;
  Levels levels;
  std::priority_queue<Guard, std::vector<Guard>, std::greater<>> guards;
  std::vector<HostId> ready;
  RecentKeys recentKeys;
  std::unordered_map<std::uint64_t, Turn> turns;
  std::vector<std::uint64_t> turnsDue;  // keys whose turn may have passed on in this event

  Time now{}, started{}, nextSweep{}, armed{};
  double smoothHeld = 0, cut = 0, errorOverload = 0;
  double inTime = 0, fastRate = 0;                        // answers within the aim: since the sweep; a second
  double asked = 0, askedRate = kSteadyRate, sweeps = 0;  // requests: since the sweep; a second
  double fullSeen = 0, outcomeSeen = kErrorPrior;         // decayed counts
  double calmHeld = 0;                                    // in-flight a host while nothing is refused
  double meanObjective = 0, meanWork = 0;                 // seconds over the recent arrivals: aim, usual time
  double medianPace = 1, medianCrowd = 1, peerFails = 0, norm = 0;
  double meanNorm = 0, leastNorm = 0;  // in the mean over two seconds, and the least of that lately
  double retryTokens = kRetrySaved;
  IdleLosses idleLosses;
  bool asking = false, answered = false;
  Time askedAt{}, askAgain{}, logged{};
  int askFailures = 0, loggedCut = 0;

  Impl(Settings s, Time t) : set(std::move(s)), engine(set.seed), now(t), started(t), nextSweep(t + kSweep) {
    for (const ClassSettings& c : set.classes)
      meanObjective += toSeconds(c.latencyObjective) / static_cast<double>(set.classes.size());
    renewClasses();
  }

  // --- Settings ---------------------------------------------------------------------------------------

  // Danger: requests under way keep the class that they came with; one that changed gets a state of its own.
  void renewClasses() {
    quotas.resize(set.tenants.size(), now);
    std::vector<ClassSettings> wanted = set.classes;
    // What nobody described: never repeated, lowest worth.
    ClassSettings& unknown = wanted.emplace_back(wanted.front());
    unknown.name.clear();
    unknown.idempotency = Idempotency::none;
    unknown.priorityWeight = 0;
    std::unordered_map<std::string, std::shared_ptr<ClassState>> known;
    for (const auto& c : classes) known.emplace(c->set.name, c);
    classes.clear();
    for (const ClassSettings& c : wanted) {
      std::shared_ptr<ClassState>& state = known[c.name];
      if (!state || state->set != c) {
        state = state ? std::make_shared<ClassState>(*state) : std::make_shared<ClassState>();
        state->set = c;
        state->usualLeft = {};
      }
      classes.push_back(state);
    }
  }

  void onSettings(Settings s) {
    s.seed = set.seed;
    set = std::move(s);
    renewClasses();
    for (Host& h : hosts) h.indexed = false;
    index();
  }

  // Own draws: std distributions differ between standard libraries.
  double drawUnit() { return static_cast<double>(engine() >> 11) * 0x1.0p-53; }
  std::size_t drawBelow(double n) { return static_cast<std::size_t>(drawUnit() * n); }

  void emit(ActionKind kind, RequestId id = 0, std::uint32_t attempt = 0, HostId host = kNone) {
    Action& action = out.emplace_back();
    action.kind = kind;
    action.request = id;
    action.attempt = attempt;
    action.host = host;
  }
  void log(std::string text) {
    emit(ActionKind::log);
    out.back().text = std::move(text);
    logged = now;
  }
  bool mayLog() const { return now - logged >= kLogEvery || logged == Time{}; }

  // --- Host health ------------------------------------------------------------------------------------

  void judge(HostId id, const Open& r, const AttemptResult& a) {
    Host& h = hosts[id];
    ClassState& c = *r.cls;
    const double taken = std::max(toSeconds(a.elapsed), 1e-6);  // zero would make every ratio meaningless
    bool failed = false;
    switch (a.outcome) {
      case Outcome::served: {
        h.heard = now;
        h.fulls = 0;
        h.served += 1;
        const double usual = taken / r.cost;
        if (c.norm <= 0) c.norm = usual;
        learnPace(h, taken / (c.norm * r.cost));
        c.answers += 1;
        c.norm += std::max(kNormGain, 1 / c.answers) * (std::min(usual, kNormClip * c.norm) - c.norm);
        // Danger: counted one by one, heavy answers make a gateway cut down to a heavy class think the pool
        // slow and starve, while others take its share. By its usual time an answer weighs as its work.
        const double weight = meanWork > 0 ? std::clamp(c.norm * r.cost / meanWork, 0.1, 10.0) : 1;
        inTime += weight * (now <= r.objectiveAt ? 1 : c.set.lateValueFraction);
        break;
      }
      case Outcome::rejected:  // Danger: a host that stays full, or drains untold, holds little and looks
                               // idle.
        h.heard = now;
        h.errors += 1;
        learnPace(h, std::max(kFullPace * h.pace, h.kind->pace));
        if (h.fulls < kFullRow) fullSeen += trust(id, c);  // beyond that only this host is in trouble
        if (++h.fulls >= kFullRow) h.restUntil = now + scaled(kFullRest, 0.5 + drawUnit());
        break;
      case Outcome::timeout:
        if (c.norm > 0 && taken > c.norm * r.cost) learnPace(h, taken / (c.norm * r.cost));
        failed = true;
        break;
      case Outcome::error:
        h.heard = now;
        failed = true;
        break;
      case Outcome::connectFailed:
        // Danger: open connections outlive the trouble of new ones; left unused they are closed or lost.
        h.dialAfter = now + scaled(kConnectRest * (1 << h.dialFails), 0.5 + drawUnit());
        h.dialFails = std::min(h.dialFails + 1, kEjectDoublings);
        [[fallthrough]];
      case Outcome::reset:
        failed = true;
        h.lines -= h.lines > 0 ? 1 : 0;
        break;
      case Outcome::cancelled:
      case Outcome::abandoned:
      case Outcome::localFailure: return;
    }
    h.outcomes += 1;
    outcomeSeen += 1;
    if (failed) h.errors += 1;
    if (a.outcome != Outcome::rejected) h.fails += kFailGain * ((failed ? 1.0 : 0.0) - h.fails);
    if (a.outcome != Outcome::connectFailed) {
      const double lost = failed || a.outcome == Outcome::rejected ? 1 : 0;
      const auto before = c.hostFails.find(id);
      if (before != c.hostFails.end()) before->second += kClassGain * (lost - before->second);
      else if (lost > 0) c.hostFails.emplace(id, kClassGain);
      c.fails += kClassPeers * (lost - c.fails);
    }
    if (h.health == Health::trial && a.outcome != Outcome::rejected) {
      if (failed) eject(h, "trial failed");
      else {
        h.health = Health::good;
        h.fails = 0;
        if (mayLog()) log("host returned " + h.entry.address);
      }
    }
  }

  // Danger: what is lost must teach the kind, too, or one that drowns answers little and goes on being taken
  // for a usual one. Clipped, or a tenth of its hosts that jam shut the other nine out at every gateway.
  void learnPace(Host& h, double sample) {
    sample = std::min(sample, 20.0);
    h.answers += 1;
    h.pace +=
        std::max(kPaceGain, kThinFirst * (1 - evidence()) / (h.answers + kKindPrior)) * (sample - h.pace);
    Kind& k = *h.kind;
    k.answers += 1;
    k.pace +=
        std::max(kNormGain, 1 / (k.answers + kKindPrior)) * (std::min(sample, kNormClip * k.pace) - k.pace);
  }

  // Live weights tell what a host holds of all gateways together, some time ago. Danger: a host that all pass
  // over at once empties and looks best next time; so each word moves its share by a little.
  void crowded(Host& h, double crowd) {
    h.crowd = crowd;
    const double over = crowd / (kCrowded * medianCrowd);
    h.share = std::clamp(h.share * (over > 1 ? std::pow(over, -kShareGain) : kShareBack), kShareLeast, 1.0);
  }

  void eject(Host& h, const char* why) {
    h.health = Health::ejected;
    h.until = now + scaled(kEjectFirst * (1 << h.ejections), 0.75 + 0.5 * drawUnit());
    h.ejections = std::min(h.ejections + 1, kEjectDoublings);
    if (mayLog()) log("host ejected " + h.entry.address + " (" + why + ")");
  }

  void sweepHosts() {
    double away = 0;
    for (HostId id : listed) {
      Host& h = hosts[id];
      // Danger: a pace learned in trouble keeps requests away, and without them it would never change.
      if (h.served <= 0 && h.inflight == 0) h.pace += kPaceFade * evidence() * (usualPace(h) - h.pace);
      h.outcomes *= 1 - fastGain();
      h.errors *= 1 - fastGain();
      if (h.health == Health::ejected && now >= h.until) h.health = Health::trial;  // back by a trickle
      if (h.health != Health::good) ++away;
      h.silent = false;
    }
    for (HostId id : holding) {  // Danger: a paused or lost host gathers requests until they time out.
      Host& h = hosts[id];
      while (!h.sent.empty() && !outTry(h.sent.front(), id)) h.sent.erase(h.sent.begin());
      const Duration limit =
          std::max(kSilentLeast, scaled(seconds(1), kSilentNorms * norm * std::max(1.0, h.pace)));
      h.silent = !h.sent.empty() && now - std::max(h.heard, outTry(h.sent.front(), id)->at) > limit;
    }
    std::erase_if(holding, [&](HostId id) { return hosts[id].sent.empty(); });
    // Danger: connections kept to hosts that are no longer our own add up to their caps and shut others out.
    for (std::size_t i = width; i < order.size(); ++i) {
      Host& h = hosts[order[i].host];
      if (h.lines == 0 || h.inflight > 0 || now - h.used < kIdleClose) continue;
      h.lines = 0;
      emit(ActionKind::close, 0, 0, order[i].host);
    }
    medianPace = quantile(&Learned::pace, 0.5, 1);
    medianCrowd = quantile(&Learned::crowd, 0.5, 1);
    peerFails = quantile(&Learned::fails, 0.25, 0);  // a quarter of the peers well: the others are outliers
    for (HostId id : listed) {  // judged against the peers, so that a pool-wide trouble ejects nobody
      Host& h = hosts[id];
      if (h.health != Health::good || away + 1 > kEjectShare * hostCount()) continue;
      if (h.fails > std::max(kFailEject, kFailPeers * peerFails)) {
        eject(h, "failing");
        ++away;
      } else if (h.ejections > 0 && h.fails < 0.05 && now > h.until + 4 * kEjectFirst) h.ejections = 0;
    }
  }

  double quantile(double Learned::*figure, double at, double none) const {  // over the listed hosts
    std::vector<double> all;
    for (HostId id : listed) all.push_back(hosts[id].*figure);
    if (all.empty()) return none;
    const auto nth = all.begin() + static_cast<std::ptrdiff_t>(at * static_cast<double>(all.size() - 1));
    std::nth_element(all.begin(), nth, all.end());
    return *nth;
  }
  double hostCount() const { return static_cast<double>(listed.size()); }
  const Try* outTry(std::pair<std::uint32_t, RequestId> ref, HostId host) const {
    for (const Try& t : slots[ref.first].made())
      if (slots[ref.first].id == ref.second && t.out && t.host == host) return &t;
    return nullptr;
  }
  static bool sick(const Host& h) { return h.health != Health::good || h.silent; }

  // --- Score and cutoff -------------------------------------------------------------------------------

  // Worth of what the request can still earn, by request or by unit of work as the worth is counted.
  double worthOf(const Open& r, std::uint32_t tenant) {
    const ClassSettings& c = r.cls->set;
    double priorityWeight = now >= r.objectiveAt ? c.priorityWeight * c.lateValueFraction : c.priorityWeight;
    const double quota = tenant < set.tenants.size() ? set.tenants[tenant].quotaPerSecond : 0;
    if (quota > 0 && !quotas.take(tenant, quota / set.replicaCount, now))
      priorityWeight *= set.overQuotaWeight;
    return priorityWeight;
  }

  // Gain per sweep: over half a second, and at least over some twenty requests, for a trickle teaches noise.
  double fastGain() const { return kFastGain * evidence(); }
  double evidence() const { return std::clamp(askedRate / kSteadyRate, 0.05, 1.0); }

  double inflightMax() {
    const double cold = (1 - set.slowStartInitialFraction) *
                        coldStarts.lacking(toSeconds(now), toSeconds(set.slowStartDuration));
    const double warm = hostCount() - cold;  // hosts, a cold one by its part
    const double ease = 1 - std::min(kFullEase * fullSeen / outcomeSeen, kFullEaseMost);
    // Before anything was measured (own start in an overload) and after a lull, per-host guesses stand in.
    const double first = kFirstPerHost / set.replicaCount, floor = kFloorPerHost / set.replicaCount;
    const double least = now - started < 10 * kSweep ? first : std::max(floor, calmHeld);
    return ease * std::max(fastRate * maxTime(), least * std::max(warm, 1.0));
  }

  double maxTime() const {  // seconds in flight, in the mean, that the maximum allows
    const double time = meanObjective * kMaxOfAim;
    return leastNorm > 0 ? std::min(time, std::max(kMaxNorms * leastNorm, toSeconds(kMaxTimeLeast))) : time;
  }

  // Danger: what a few jammed hosts hold until it times out fills the maximum of a pool that idles. Where
  // hosts are seldom met an attempt counts for the allowed mean time; for longer as all answers slow.
  double heldNow() const {
    const double met = askedRate / std::max(hostCount(), 1.0);
    const double slowed = leastNorm > 0 ? std::min(norm / leastNorm, kSlowedMost) : 1;
    const double times =
        std::max(1 + (kHeldTimes - 1) * std::min(met / kMetWell, 1.0), slowed * slowed * slowed);
    const Time since = now - scaled(seconds(1), times * maxTime());
    double held = 0;
    for (HostId id : holding) {
      const auto& sent = hosts[id].sent;  // one bad host must not lift the pool's cut
      for (auto ref = sent.rbegin(); !sick(hosts[id]) && ref != sent.rend(); ++ref) {
        const Try* t = outTry(*ref, id);
        if (t && t->at < since) break;
        held += t ? 1 : 0;
      }
    }
    return held;
  }

  void renewCut() {
    const double thin = 1 - evidence();
    const double load = (smoothHeld / inflightMax() - kInflightThreshold + kThinEarly * thin) /
                        (1 - kInflightThreshold + kThinRange * thin);
    const double x = std::clamp(std::max(load, errorOverload), 0.0, 1.0);
    cut = 100 * x * x * x;
  }

  void sweepPool() {
    fastRate += fastGain() * (inTime / toSeconds(kSweep) - fastRate);
    ++sweeps;
    askedRate += std::max(kSlowGain, 1 / sweeps) * (asked / toSeconds(kSweep) - askedRate);
    inTime = asked = 0;
    calmHeld *= 1 - kCalmFade;
    if (cut <= 1 && !listed.empty()) calmHeld = std::max(calmHeld, smoothHeld / hostCount());
    fullSeen *= 1 - kFastGain;
    outcomeSeen += kFastGain * (kErrorPrior - outcomeSeen);
    double outcomes = kErrorPrior, errors = 0, sum = 0, seen = 0;
    for (HostId id : listed)
      if (!sick(hosts[id])) outcomes += hosts[id].outcomes, errors += hosts[id].errors;
    errorOverload = (errors / outcomes - kErrorThreshold) / (kErrorMax - kErrorThreshold);
    for (const auto& c : classes)
      if (c->norm > 0) sum += c->norm, seen += 1;
    norm = seen > 0 ? sum / seen : 0;
    meanNorm += (meanNorm > 0 ? kLeastGain : 1) * (norm - meanNorm);
    leastNorm = leastNorm > 0 ? std::min(leastNorm * (1 + kLeastRise), meanNorm) : meanNorm;
    idleLosses.fade();
    levels.fade(kSlowGain);
    std::erase_if(turns, [&](const auto& t) { return t.second.queue.empty() && now >= t.second.restUntil; });
    // Danger: with few arrivals a past burst would linger.
    smoothHeld += (heldNow() - smoothHeld) * kHeldSweep * evidence() * evidence();
    renewCut();
    const int step = static_cast<int>(cut / 20);
    if (step != loggedCut && mayLog()) {
      loggedCut = step;
      log("cutoff " + std::to_string(static_cast<int>(cut)) + " inflight max " +
          std::to_string(static_cast<int>(inflightMax())) + " error overload " +
          std::to_string(errorOverload));
    }
  }

  // --- Cold start -------------------------------------------------------------------------------------

  bool isCold(const Host& h) const {
    return h.entry.upSince > Time{} && now - h.entry.upSince < set.slowStartDuration;
  }
  double warmth(const Host& h) const {
    if (!isCold(h)) return 1;
    const Duration age = std::max(now - h.entry.upSince, Duration{});  // never less than none
    return set.slowStartInitialFraction +
           (1 - set.slowStartInitialFraction) * toSeconds(age) / toSeconds(set.slowStartDuration);
  }

  // Of one not heard of; the draw goes by the square of it, and a cold host's rate by about the root above.
  double usualPace(const Host& h) const { return h.kind->pace / std::sqrt(std::sqrt(warmth(h))); }

  // Danger: all gateways together push a cold host over. Each keeps to its own part: the cold share of what
  // it has warm hosts of that kind carry, in every window, refused attempts counted. That may be a small part
  // of a request; a floor of one, times hundreds of gateways, would be a flood.
  bool coldMayTake(Host& h) {
    if (!isCold(h)) return true;
    const double window = std::max(toSeconds(set.overloadWindow), 0.1);
    // No warm one of its kind seen, e.g. after our own restart: an even share of what we get.
    const double even = askedRate / static_cast<double>(std::max<std::size_t>(width, 1));
    const double proven = h.kind->proven > 0 ? h.kind->proven : even;
    const double rate = proven * warmth(h) * kColdPart * set.overloadMultiple;
    h.coldTokens =
        std::min(h.coldTokens + rate * toSeconds(now - h.coldAt), std::max(1.0, rate * window / 4));
    h.coldAt = now;
    return h.coldTokens >= 1;
  }

  // What a warm host of each kind has lately carried. Danger: in a deploy of nearly all hosts the last warm
  // ones are buried, and their sinking rates would starve the cold ones that could help; hence a slow decay.
  void sweepKinds() {
    for (auto& [name, k] : kinds) k.served = k.count = 0;
    for (std::size_t i = 0; i < order.size(); ++i) {
      Host& h = hosts[order[i].host];
      if (i < width && !isCold(h) && !sick(h)) {  // of the others we ask little
        h.kind->served += h.served;
        h.kind->count += 1;
      }
      h.served = 0;
    }
    for (auto& [name, k] : kinds) {
      if (k.count > 0) k.rate += fastGain() * (k.served / k.count / toSeconds(kSweep) - k.rate);
      k.proven = std::max(k.rate, k.proven * kProvenDecay);
    }
  }

  // --- Pick -------------------------------------------------------------------------------------------

  // Part of its draws that a host keeps for a class: less as it fails that class more than its peers do.
  double trust(HostId id, const ClassState& c) const {
    const auto fails = c.hostFails.find(id);
    if (fails == c.hostFails.end()) return 1;
    const double well = 1 - std::max(fails->second - kClassOver * c.fails, 0.0);
    return std::max(well * well * well, kClassLeast);
  }
  double drawWeight(HostId id, const ClassState& c) const {
    return trust(id, c) / std::max(hosts[id].pace * hosts[id].pace, 0.01);
  }
  double load(const Host& h) const { return (h.inflight + 1) * h.pace; }
  bool idle(const Host& h) const {  // holds none of ours; a fast host may hold more
    return h.inflight < std::max(1.0, medianPace / std::max(h.pace, 0.05));
  }

  bool free(const Host& h) const {  // an open connection has room
    const bool closed = set.idleTimeout > Duration{} && h.inflight == 0 && now - h.used >= set.idleTimeout;
    return !closed && h.inflight < h.lines * set.streamsPerConnection;
  }
  std::size_t idleStep(const Host& h) const {
    return !free(h) || h.inflight > 0 ? 0 : IdleLosses::stepOf(now - h.used);
  }
  bool mayDial(const Host& h) const {
    return now >= h.dialAfter || (free(h) && !idleLosses.stale(idleStep(h)));
  }

  bool unavailable(const Host& h) const {  // while others are ready
    return now < h.restUntil || !mayDial(h) || h.silent || h.health == Health::ejected ||
           (h.health == Health::trial && h.inflight > 0);
  }

  bool allowed(const Open& r, const Host& h) const {  // the rules on placement and repeats
    const ClassSettings& c = r.cls->set;
    if (!names(c.zones, h.entry.zone) || !names(c.machineTypes, h.entry.machineType)) return false;
    for (const Try& t : r.made()) {
      if (!t.mayHaveExecuted || c.idempotency == Idempotency::idempotent) continue;
      if (c.idempotency == Idempotency::none) return false;
      const Endpoint& first = hosts[t.host].entry;
      if (c.deduplicationScope != DeduplicationScope::all && first.zone != h.entry.zone) return false;
      if (c.deduplicationScope == DeduplicationScope::cell && first.cell != h.entry.cell) return false;
    }
    return now <= repeatBy(r);
  }

  Time repeatBy(const Open& r) const {  // a keyed request that may have run begins no later than this
    Time by = Time::max();
    for (const Try& t : r.made())
      if (t.mayHaveExecuted) by = std::min(by, t.at + r.cls->set.deduplicationWindow - 2 * set.step);
    return r.cls->set.idempotency == Idempotency::keyed ? by : Time::max();
  }

  // All hosts; or, with candidates set, few of them: for a key those from its place on the ring on, which is
  // the same at all gateways, else some of this gateway's own. Where these are not ready the walk goes on.
  Walk walkOf(const Open& r) {
    if (candidates == 0 || candidates >= listed.size()) return {order, order.size(), 0, width};
    if (!set.keyAffinity || !r.hasKey)
      return {order, part, drawBelow(part), std::min<std::size_t>(candidates, part)};
    // A favourite key has as many places as the hosts that share it want.
    const std::uint64_t place = mix(r.key + drawBelow(spreadOf(r.key) / candidates + 1));
    const auto start = std::lower_bound(ring.begin(), ring.end(), Point{place, 0}) - ring.begin();
    return {ring, ring.size(), static_cast<std::size_t>(start), candidates};
  }

  void gather(const Open& r, bool relaxed) {
    const Walk walk = walkOf(r);
    ready.clear();
    ++walks;
    bool found = false;  // an idle one
    for (std::size_t i = 0; i < walk.all.size() && !(found && ready.size() >= walk.enough); ++i) {
      const HostId id = walk.at(i);
      Host& h = hosts[id];
      if (std::exchange(h.lookedAt, walks) == walks) continue;  // at another of its points
      if (!relaxed && (unavailable(h) || std::ranges::count(r.made(), id, &Try::host) > 0)) continue;
      if (!allowed(r, h) || !coldMayTake(h)) continue;
      ready.push_back(id);
      found |= idle(h);
    }
  }

  // Hosts that share a key. Danger: a favourite key asks for more than its host can do. Where the host is
  // ours nearly alone we see it busy and take the next; beside many gateways no one of them sees that.
  std::size_t spreadOf(std::uint64_t key) const {
    const double wide = kKeySpread * recentKeys.part(key) * hostCount() * (1 - evidence());
    return static_cast<std::size_t>(std::max(std::ceil(wide), 1.0));
  }

  HostId pick(const Open& r) {
    gather(r, false);
    if (ready.empty()) gather(r, true);  // no healthy host: any that the rules allow beats none
    if (ready.empty()) return kNone;
    if (set.keyAffinity && r.hasKey) {
      // Warm keys: the first hosts in the key's weighted rendezvous order, nearly the same at all gateways.
      // Danger: unweighted, every host gets the same part of the keys. Gateways that share a large pool hold
      // too little anywhere to see that a small host is busy, and drown it together.
      const std::size_t spread = spreadOf(r.key);
      const std::size_t most = std::min(std::max(kWarmCandidates, spread), ready.size());
      for (HostId id : ready) {
        const double unit = (static_cast<double>(mix(hosts[id].hash ^ r.key) >> 11) + 0.5) * 0x1.0p-53;
        hosts[id].rank = -std::log(unit) / drawWeight(id, *r.cls);
      }
      std::partial_sort(ready.begin(), ready.begin() + static_cast<std::ptrdiff_t>(most), ready.end(),
                        [&](HostId a, HostId b) { return hosts[a].rank < hosts[b].rank; });
      ready.resize(most);
      const std::size_t start = spread > 1 ? drawBelow(std::min(spread, most)) : 0;
      // A large fleet is met so thinly that nearly each request would open a connection.
      if (candidates > 0 && set.candidates == 0)
        for (std::size_t i = 0; i < most; ++i) {
          const HostId id = ready[(start + i) % most];
          if (free(hosts[id]) && idle(hosts[id])) return id;
        }
      for (std::size_t i = 0; i < most; ++i) {
        const HostId id = ready[(start + i) % most];
        if (idle(hosts[id]) && drawUnit() < hosts[id].share) return id;
      }
    }
    // Danger: beside many gateways our own in-flight says little, every host looks idle, and the own zone is
    // overrun; so the draw leans towards hosts that answer fast, and towards the own zone only lightly.
    double sum = 0;
    HostId chosen = kNone;
    for (HostId id : ready) {
      const Host& h = hosts[id];
      if (!idle(h)) continue;
      const double weight = (h.entry.zone == set.zone ? kLocalLean : 1) * h.share * drawWeight(id, *r.cls);
      sum += weight;
      if (drawUnit() * sum < weight) chosen = id;
    }
    if (chosen != kNone) return chosen;
    const HostId a = ready[drawBelow(ready.size())], b = ready[drawBelow(ready.size())];
    return load(hosts[a]) * trust(b, *r.cls) <= load(hosts[b]) * trust(a, *r.cls) ? a : b;
  }

  // --- Attempts ---------------------------------------------------------------------------------------

  Open* find(RequestId id) {
    const auto it = slotOf.find(id);
    return it == slotOf.end() ? nullptr : &slots[it->second];
  }

  void release(Open& r) {
    if (!r.ended || r.out > 0) return;
    if (orderedPerKey(r)) {
      std::erase(turns[r.key].queue, r.slot);
      turnsDue.push_back(r.key);
    }
    slotOf.erase(r.id);
    freeSlots.push_back(r.slot);
  }

  // A refusal claims that a retry is harmless, so it needs proof; else an error.
  void finish(Open& r, RejectReason why) {
    const ClassSettings& c = r.cls->set;
    const bool harmless = std::ranges::none_of(r.made(), &Try::mayHaveExecuted) ||
                          c.idempotency == Idempotency::idempotent ||
                          (c.idempotency == Idempotency::keyed &&
                           c.deduplicationScope == DeduplicationScope::all && r.out == 0);
    if (harmless) return refuse(r, why);
    emit(ActionKind::fail, r.id);
    out.back().reason = why;
    end(r);
  }

  // Retry-after lengthens as the score falls; jittered, or they would all come due together.
  void refuse(Open& r, RejectReason why) {
    Duration after{};
    if (set.retryAfter) after = scaled(set.maxRetryAfter, (1 - r.score / 100) * (0.5 + 0.5 * drawUnit()));
    emit(ActionKind::reject, r.id);
    out.back().retryAfter = after;
    out.back().reason = why;
    end(r);
  }

  void end(Open& r) {
    r.ended = true;
    cancelOut(r);
    release(r);
  }

  void cancelOut(Open& r, std::uint32_t except = kNone) {  // work that can no longer earn
    if (!set.cancel) return;
    for (std::uint32_t i = 0; i < r.count; ++i)
      if (r.tries[i].out && !r.tries[i].cancelled && i != except) {
        r.tries[i].cancelled = true;
        emit(ActionKind::cancel, r.id, i);
      }
  }

  // --- Turns ------------------------------------------------------------------------------------------

  bool orderedPerKey(const Open& r) const { return r.hasKey && r.cls->set.orderedPerKey; }
  Duration usualTime(const Open& r) const { return scaled(seconds(1), r.cls->norm * r.cost); }

  // Danger: two requests of one key at a host at once, or out of order. A request stays queued until it is
  // over and its attempts are settled; only the first is sent, and after an attempt with no sure end the key
  // rests.
  void passTurns() {
    for (std::size_t i = 0; i < turnsDue.size(); ++i) {  // what ends here passes the turn on once more
      const auto it = turns.find(turnsDue[i]);
      if (it == turns.end()) continue;
      Turn& turn = it->second;
      if (turn.queue.empty()) {
        if (now >= turn.restUntil) turns.erase(it);
        continue;
      }
      Open& r = slots[turn.queue.front()];
      if (r.ended || r.count > 0) continue;
      if (now < turn.restUntil) guard(turn.restUntil, r, Due::turn);
      else dispatch(r);
    }
    turnsDue.clear();
  }

  // Danger: one that waits for its turn past its use holds up its key and is a late failure in the end.
  bool hopeless(const Open& r, std::size_t ahead) const {
    return now + static_cast<Duration::rep>(ahead + 1) * usualTime(r) >= lastUse(r);
  }

  void enqueue(Open& r) {
    Turn& turn = turns[r.key];
    const std::size_t ahead = turn.queue.size();
    turn.queue.push_back(r.slot);
    if (ahead > 0 && hopeless(r, ahead)) return finish(r, RejectReason::queueTooLong);
    guard(r.deadline - set.step, r, Due::answer);
    guard(lastUse(r) - usualTime(r), r, Due::turn);
    turnsDue.push_back(r.key);
  }

  // Latest time at which an answer still earns and still reaches the client.
  Time lastUse(const Open& r) const {
    const Time end = r.deadline - 2 * set.step;
    return r.cls->set.lateValueFraction > 0 ? end : std::min(end, r.objectiveAt - 2 * set.step);
  }

  void guard(Time at, const Open& r, Due due) { guards.push({at, r.slot, r.id, due}); }

  void hold(const Open& r, HostId id) {  // the host works for it from now on
    if (hosts[id].sent.empty() && hosts[id].entry.state == EndpointState::serving) holding.push_back(id);
    hosts[id].sent.emplace_back(r.slot, r.id);
    ++hosts[id].inflight;
  }

  // Why it was not sent; `none` if it was.
  RejectReason send(Open& r) {
    const Time last = lastUse(r);
    if (last <= now) return RejectReason::deadlineExceeded;
    if (r.count >= std::min<std::size_t>(set.maxAttempts, kTries)) return RejectReason::attemptsExhausted;
    // Danger: what comes with less time than an answer takes now gains little, takes the place of others and
    // feeds an overload. In calm there is room to try.
    if (cut > 1 && hopeless(r, 0)) return RejectReason::queueTooLong;
    const HostId id = pick(r);
    if (id == kNone) return RejectReason::noEndpoint;
    Host& h = hosts[id];
    if (isCold(h)) h.coldTokens -= 1;
    std::size_t age = idleStep(h);
    if (idleLosses.stale(age)) {
      emit(ActionKind::close, 0, 0, id);
      h.lines = 0;
      age = 0;
    }
    r.tries[r.count] = {id, now, true, true, false, !free(h), age};
    h.used = now;
    if (!free(h)) ++h.lines;
    if (!r.uploading) hold(r, id);
    ++r.out;
    emit(ActionKind::send, r.id, r.count, id);
    out.back().timeLimit = last - now;
    out.back().latestStart = repeatBy(r) - now;
    ++r.count;
    return RejectReason::none;
  }

  void onRequest(const Request& q) {
    if (slotOf.count(q.id)) return;
    if (freeSlots.empty()) {
      freeSlots.push_back(static_cast<std::uint32_t>(slots.size()));
      slots.emplace_back();
    }
    const std::uint32_t slot = freeSlots.back();
    freeSlots.pop_back();
    Open& r = slots[slot] = {.id = q.id,
                             .slot = slot,
                             .cls = classes[std::min<std::size_t>(q.classIndex, set.classes.size())],
                             .deadline = now + q.remaining,
                             .key = q.key,
                             .hasKey = q.hasKey,
                             .uploading = q.uploading};
    slotOf.emplace(q.id, slot);
    ClassState& c = *r.cls;
    const double cost = toSeconds(q.cost);
    if (cost > 0) c.meanCost = c.meanCost > 0 ? c.meanCost + kNormGain * (cost - c.meanCost) : cost;
    r.cost = cost > 0 ? std::clamp(cost / c.meanCost, 0.2, 5.0) : 1.0;
    // Clients give single tries the same time, and a later one what is left of their total wait. A try whose
    // time is not the usual one (a running median) tells how much was spent before; that no longer earns.
    if (c.usualLeft == Duration{}) c.usualLeft = q.remaining;
    const Duration apart = scaled(c.set.clientTimeout, kLeftApart);
    const bool usual = q.remaining > c.usualLeft - apart && q.remaining < c.usualLeft + apart;
    const Duration spent = usual ? Duration{} : std::max(c.set.clientTimeout - q.remaining, Duration{});
    c.usualLeft += q.remaining < c.usualLeft ? -apart / 8 : apart / 8;
    r.objectiveAt = now - spent + c.set.latencyObjective + scaled(q.cost, c.set.objectiveStretch);
    // Where late answers still earn, the time that counts reaches past the aim by that share.
    const Duration late = scaled(std::min(c.usualLeft - c.set.latencyObjective, c.set.latencyObjective),
                                 c.set.lateValueFraction);
    meanObjective += kNormGain * (toSeconds(c.set.latencyObjective + late) - meanObjective);
    if (c.norm > 0) meanWork += (meanWork > 0 ? kNormGain : 1.0) * (c.norm * r.cost - meanWork);
    if (q.uploading) {
      r.deadline += kUploadMost;
      r.objectiveAt += kUploadMost;
    }
    asked += 1;
    if (set.keyAffinity && r.hasKey) recentKeys.note(r.key);
    retryTokens = std::min(retryTokens + kRetryShare, kRetrySaved + kRetryShare * askedRate);
    // Its rank within the recent traffic: a cutoff of c refuses about c per cent.
    r.score = 1 + 99 * levels.rank(worthOf(r, q.tenantIndex), drawUnit());
    smoothHeld += (heldNow() - smoothHeld) * kHeldGain * std::sqrt(evidence());
    renewCut();
    if (r.score < cut) {
      refuse(r, RejectReason::belowThreshold);
    } else if (orderedPerKey(r)) {
      enqueue(r);
    } else {
      guard(r.deadline - set.step, r, Due::answer);
      dispatch(r);
    }
  }

  void dispatch(Open& r) {  // its first attempt
    if (const RejectReason why = send(r); why != RejectReason::none) finish(r, why);
    else if (set.allowHedging && !r.uploading && r.cls->set.idempotency != Idempotency::none &&
             r.cls->norm > 0)
      guard(now + scaled(usualTime(r), kCopyNorms), r, Due::copy);
  }

  // Asked as the copy is due: a reload may have forbidden copies since its timer was set.
  bool mayCopy(const Open& r) const { return set.allowHedging && r.out == 1 && cut <= 1 && retryTokens >= 1; }

  void onResult(const AttemptResult& a) {
    Open* found = find(a.request);
    if (!found || a.attempt >= found->count || !found->tries[a.attempt].out) return;
    Open& r = *found;
    Try& t = r.tries[a.attempt];
    Host& h = hosts[t.host];
    t.out = false;
    --r.out;
    if (!r.uploading) --h.inflight;
    if (provesNotExecuted(a.outcome)) t.mayHaveExecuted = false;
    judge(t.host, r, a);
    h.used = now;
    if (t.dialled && a.outcome == Outcome::served) h.dialFails = 0;
    idleLosses.note(t.age, a.outcome);
    const bool unsure =
        a.outcome == Outcome::timeout || a.outcome == Outcome::reset || a.outcome == Outcome::cancelled;
    if (unsure && orderedPerKey(r)) turns[r.key].restUntil = now + set.keyCooldown;
    if (a.terminal && !r.ended) {
      r.ended = true;
      cancelOut(r);
    }
    if (r.ended) return release(r);
    if (r.bound || r.out > 0) return;
    const RejectReason why = repeat(r, a.outcome);
    if (why != RejectReason::none) finish(r, why);
  }

  // Why it was not sent again; `none` if it was.
  RejectReason repeat(Open& r, Outcome outcome) {
    if (outcome == Outcome::abandoned) return RejectReason::abandoned;
    if (lastUse(r) <= now) return RejectReason::deadlineExceeded;
    if (retryTokens < 1) return RejectReason::retryBudgetExhausted;
    const RejectReason why = send(r);
    if (why == RejectReason::none) retryTokens -= 1;
    return why;
  }

  void onUploaded(RequestId id, Duration left) {
    Open* r = find(id);
    if (!r || !r->uploading) return;
    r->uploading = false;
    r->objectiveAt += now + left - r->deadline;
    r->deadline = now + left;
    guard(r->deadline - set.step, *r, Due::answer);
    for (std::uint32_t i = 0; i < r->count; ++i) {
      if (!r->tries[i].out) continue;
      r->tries[i].at = now;
      hold(*r, r->tries[i].host);
    }
  }

  void onResponseStarted(RequestId id, std::uint32_t attempt) {
    Open* r = find(id);
    if (!r || r->ended || attempt >= r->count) return;
    r->bound = true;
    cancelOut(*r, attempt);
  }

  void onClientDisconnected(RequestId id) {
    Open* r = find(id);
    if (r && !r->ended) end(*r);
  }

  // --- Discovery --------------------------------------------------------------------------------------

  void onEndpoints(EndpointListKind kind, const std::vector<Endpoint>& entries) {
    if (kind == EndpointListKind::unavailable) {
      askFailures = std::min(askFailures + 1, 4);
      asking = false;
      Duration wait = milliseconds(500) * (1 << askFailures);
      // Danger: a limit set after the jitter makes all gateways come back in one moment.
      if (set.maxDiscoverySilence > Duration{}) wait = std::min(wait, set.maxDiscoverySilence / 5);
      askAgain = now + scaled(wait, 0.5 + drawUnit());
      return;
    }
    if (kind == EndpointListKind::cached) {
      if (set.pollDiscovery) askAgain = now;  // it may be stale: ask at once
    } else {
      askFailures = 0;
      answered = true;
    }
    if (kind != EndpointListKind::delta)
      for (Host& h : hosts) h.entry.state = EndpointState::removed;  // what a whole list leaves out is gone
    for (const Endpoint& e : entries) {
      auto [it, fresh] = hostIds.emplace(e.address, static_cast<HostId>(hosts.size()));
      if (fresh) hosts.emplace_back().hash = hashText(e.address);
      Host& h = hosts[it->second];
      const bool restarted = fresh || e.upSince != h.entry.upSince;
      h.entry = e;
      h.kind = &kinds[e.machineType];
      h.kind->weight = std::max(h.kind->weight, e.weight);
      if (set.loadAdjustedWeights && kind != EndpointListKind::cached)
        crowded(h, h.kind->weight / std::max(e.weight, 0.001));
      if (restarted) {  // a new process: what was learned of the old one is void
        static_cast<Learned&>(h) = {};
        for (const auto& c : classes) c->hostFails.erase(it->second);
        h.pace = usualPace(h);
        // Danger: a first request from every gateway at once is a burst; a drawn phase spreads them.
        h.coldTokens = drawUnit();
        h.coldAt = now;
      }
    }
    index();
  }

  // On a large fleet a request chooses among few hosts, also where the settings ask for all: what a choice
  // costs, and the connections that it leads to, may not grow with the fleet. The two ways order hosts
  // differently, so all are put in order anew as one takes over.
  void chooseAmongFew() {
    const auto in = static_cast<std::size_t>(
        std::ranges::count_if(hosts, [](const Host& h) { return h.entry.state == EndpointState::serving; }));
    const std::size_t least = candidates > 0 ? kLargeFleet - kLargeFleet / 4 : kLargeFleet;
    const std::uint32_t wanted = set.candidates > 0 ? set.candidates : in >= least ? kLargeCandidates : 0;
    if (std::exchange(candidates, wanted) == wanted) return;
    for (Host& h : hosts) h.indexed = false;
  }

  // Takes hosts that have gone out of the lists kept in order, and merges in those that have come.
  void index() {
    chooseAmongFew();
    const auto stays = [&](HostId id) {
      return hosts[id].indexed && hosts[id].entry.state == EndpointState::serving;
    };
    const auto gone = [&](const Point& p) { return !stays(p.host); };
    std::vector<HostId> come;
    for (HostId id = 0; id < hosts.size(); ++id)
      if (hosts[id].entry.state == EndpointState::serving && !hosts[id].indexed) come.push_back(id);
    // Own hosts first. Hosts lie on a ring, in an order of its own for every round of gateways, and these
    // start evenly around it: hosts that come or go move only their neighbours. Keys are kept warm by all.
    // With candidates a part ends where the next gateway's begins: a full round keeps each host once.
    const bool few = candidates > 0;
    const std::uint32_t round = few ? std::bit_floor(std::max(set.replicaCount / kRoundsLeast, 1u)) : kRound;
    const std::uint64_t salt = mix(set.replicaIndex / round), arc = UINT64_MAX / round;
    std::vector<Point> places, points;
    for (HostId id : come) {
      places.push_back({mix(hosts[id].hash ^ salt) - set.replicaIndex % round * arc, id});
      for (std::uint64_t i = 0; few && i < kPoints; ++i) points.push_back({mix(hosts[id].hash + i), id});
    }
    renew(order, std::move(places), gone);
    renew(ring, std::move(points), gone);
    renew(
        listed, std::move(come), [&](HostId id) { return !stays(id); },
        [&](HostId a, HostId b) { return hosts[a].entry.address < hosts[b].entry.address; });
    for (Host& h : hosts) h.indexed = h.entry.state == EndpointState::serving;
    const auto inArc = std::upper_bound(order.begin(), order.end(), Point{arc, kNone}) - order.begin();
    const double own = few ? std::max(static_cast<double>(inArc), kWidthLeast)
                           : kWidthLeast + kWidthParts * hostCount() / set.replicaCount;
    part = static_cast<std::size_t>(std::min(hostCount(), own));
    width = set.keyAffinity ? listed.size() : part;
    holding = listed;
    std::erase_if(holding, [&](HostId id) { return hosts[id].sent.empty(); });
    std::vector<double> starts;
    for (HostId id : listed)
      if (isCold(hosts[id])) starts.push_back(toSeconds(hosts[id].entry.upSince));
    coldStarts.assign(std::move(starts));
  }

  void ask() {
    // Danger: a call whose answer is lost would leave the gateway silent towards discovery for good.
    const bool lost =
        !answered && set.maxDiscoverySilence > Duration{} && now - askedAt > set.maxDiscoverySilence / 2;
    if (!set.pollDiscovery || (asking && !lost) || now < askAgain) return;
    emit(ActionKind::pollDiscovery);
    asking = true;  // until it fails
    answered = false;
    askedAt = now;
  }

  // --- Timers -----------------------------------------------------------------------------------------

  void onWake() {
    while (!guards.empty() && guards.top().at <= now) {
      const Guard g = guards.top();
      guards.pop();
      Open* r = find(g.id);
      if (!r || r->ended || r->bound) continue;
      // Danger: an outcome that never comes would leave the client without an answer. And a slow host not
      // known yet eats the whole aim: in calm what may be repeated runs once more elsewhere.
      if (g.due == Due::turn && orderedPerKey(*r) && r->count == 0) {
        if (hopeless(*r, 0)) finish(*r, RejectReason::queueTooLong);
        turnsDue.push_back(r->key);
      } else if (g.due == Due::answer) finish(*r, RejectReason::deadlineExceeded);
      else if (g.due == Due::copy && mayCopy(*r) && send(*r) == RejectReason::none) retryTokens -= 1;
    }
    if (now >= nextSweep) {
      nextSweep = now + kSweep;
      sweepHosts();
      sweepKinds();
      sweepPool();
    }
  }

  void arm() {
    for (; !guards.empty(); guards.pop()) {
      const Open* r = find(guards.top().id);
      if (r && !r->ended) break;
    }
    Time want = guards.empty() ? nextSweep : std::min(nextSweep, guards.top().at);
    want = std::max(want, now + Duration(1));
    if (armed > now && armed <= want) return;
    armed = want;
    emit(ActionKind::wake);
    out.back().wakeAt = want;
  }

  template <class Handler, class... Arguments>
  void event(Time at, Handler handler, Arguments&&... arguments) {
    now = at;
    (this->*handler)(std::forward<Arguments>(arguments)...);
    passTurns();
    ask();
    arm();
  }
};

Balancer::Balancer(Settings settings, Time now) {
  validate(settings);
  impl_ = std::make_unique<Impl>(std::move(settings), now);
}
Balancer::~Balancer() = default;
Balancer::Balancer(Balancer&&) noexcept = default;
Balancer& Balancer::operator=(Balancer&&) noexcept = default;

void Balancer::onSettings(Time now, Settings settings) {
  validate(settings);
  impl_->event(now, &Impl::onSettings, std::move(settings));
}
void Balancer::onEndpoints(Time now, EndpointListKind kind, const std::vector<Endpoint>& entries) {
  impl_->event(now, &Impl::onEndpoints, kind, entries);
}
void Balancer::onRequest(Time now, const Request& q) { impl_->event(now, &Impl::onRequest, q); }
void Balancer::onUploaded(Time now, RequestId id, Duration left) {
  impl_->event(now, &Impl::onUploaded, id, left);
}
void Balancer::onResponseStarted(Time now, RequestId id, std::uint32_t attempt) {
  impl_->event(now, &Impl::onResponseStarted, id, attempt);
}
void Balancer::onResult(Time now, const AttemptResult& a) { impl_->event(now, &Impl::onResult, a); }
void Balancer::onClientDisconnected(Time now, RequestId id) {
  impl_->event(now, &Impl::onClientDisconnected, id);
}
void Balancer::onWake(Time now) { impl_->event(now, &Impl::onWake); }
std::vector<Action>& Balancer::actions() { return impl_->out; }
HostId Balancer::findHost(std::string_view address) const {
  const auto it = impl_->hostIds.find(std::string(address));
  return it == impl_->hostIds.end() ? kNone : it->second;
}
const std::string& Balancer::address(HostId host) const { return impl_->hosts.at(host).entry.address; }
EndpointCounts Balancer::endpointCounts() const {
  EndpointCounts counts;
  for (const Host& h : impl_->hosts) {
    if (h.entry.state == EndpointState::removed) continue;
    ++counts.listed;
    if (h.entry.state == EndpointState::draining || impl_->unavailable(h)) ++counts.unavailable;
  }
  return counts;
}
double Balancer::sheddingThreshold() const { return impl_->cut; }
std::size_t Balancer::openRequests() const { return impl_->slotOf.size(); }

}  // namespace hollyrun::balancer
