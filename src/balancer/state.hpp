// Plain state of the decision module and pure helpers; nothing is decided here.
#pragma once

#include <algorithm>
#include <array>
#include <deque>
#include <numeric>
#include <span>
#include <unordered_map>

#include "hollyrun/balancer.hpp"

namespace hollyrun::balancer {

inline double toSeconds(Duration d) { return std::chrono::duration<double>(d).count(); }
inline Duration scaled(Duration d, double by) {
  return Duration(static_cast<Duration::rep>(static_cast<double>(d.count()) * by));
}

inline std::uint64_t mix(std::uint64_t x) {  // splitmix64 finisher
  x += 0x9e3779b97f4a7c15ULL;
  x = (x ^ (x >> 30)) * 0xbf58476d1ce4e5b9ULL;
  x = (x ^ (x >> 27)) * 0x94d049bb133111ebULL;
  return x ^ (x >> 31);
}

inline std::uint64_t hashText(std::string_view text) {  // FNV-1a: the same at every gateway
  std::uint64_t h = 0xcbf29ce484222325ULL;
  for (unsigned char c : text) h = (h ^ c) * 0x100000001b3ULL;
  return mix(h);
}

inline bool names(const std::optional<std::vector<std::string>>& list, const std::string& name) {
  return !list || std::find(list->begin(), list->end(), name) != list->end();
}

inline bool provesNotExecuted(Outcome outcome) {
  return outcome == Outcome::rejected || outcome == Outcome::connectFailed || outcome == Outcome::abandoned ||
         outcome == Outcome::localFailure;
}

constexpr std::size_t kTries = 8;  // attempts kept for one request

enum class Health { good, ejected, trial };

struct Kind {                    // machines of one size
  double answers = 0;            // and losses that taught its pace
  double pace = 1;               // of its hosts in the mean: what a host not heard of is taken for
  double weight = 0;             // of an empty host
  double served = 0, count = 0;  // by warm hosts since the last sweep, and how many they are
  double rate = 0, proven = 0;   // answers a second that a warm host of this kind gives us; kept for a while
};

struct Learned {  // of a host's process; void once another runs there
  Health health = Health::good;
  double pace = 1;                // time taken against the class's usual time
  double fails = 0, answers = 0;  // share of the recent attempts that failed; answers lately
  double crowd = 1, share = 1;    // one and what it holds a core, as last told; of its draws kept
  bool silent = false;
  std::uint32_t lines = 0;                      // connections that should be open
  int ejections = 0, fulls = 0, dialFails = 0;  // on end: "full" answers, connections not to be had
  double coldTokens = 0;
};

struct Host : Learned {
  Endpoint entry;
  std::uint64_t hash = 0, lookedAt = 0;  // of its address; by so many walks before
  double rank = 0;                       // among the ready ones, for a key
  Kind* kind = nullptr;
  bool indexed = false;  // in the lists kept in order
  std::uint32_t inflight = 0;
  double served = 0;                        // answers since the last sweep
  double outcomes = 0, errors = 0;          // decayed counts, for the pool's error rate
  Time until{}, heard{}, used{}, coldAt{};  // end of the ejection; last sign of life, use, filling
  std::vector<std::pair<std::uint32_t, RequestId>> sent;  // (slot, request) in order of sending
  Time restUntil{}, dialAfter{};  // nothing is sent before; no new connection is opened before
};

struct Point {  // of a host on a ring of hashes
  std::uint64_t at = 0;
  HostId host = kNone;
  auto operator<=>(const Point&) const = default;
};

// How a request looks at hosts: first at `own` of them, from a start on and around, then at the others.
struct Walk {
  const std::vector<Point>& all;
  std::size_t own, start, enough;
  HostId at(std::size_t i) const { return all[i >= own ? i : i + start - (i + start < own ? 0 : own)].host; }
};

// Takes out of a list kept in order what has gone, and merges in what has come.
template <class T, class Gone, class Before = std::less<>>
void renew(std::vector<T>& list, std::vector<T> come, Gone gone, Before before = {}) {
  std::erase_if(list, gone);
  std::sort(come.begin(), come.end(), before);
  const auto middle = list.insert(list.end(), come.begin(), come.end());
  std::inplace_merge(list.begin(), middle, list.end(), before);
}

struct Try {
  HostId host = kNone;
  Time at{};
  bool out = false, mayHaveExecuted = false, cancelled = false, dialled = false;
  std::size_t age = 0;  // a step of IdleLosses: how long the connection used lay idle; 0 = fresh or new
};

struct ClassState;

struct Open {
  RequestId id = 0;
  std::uint32_t slot = 0;
  std::shared_ptr<ClassState> cls;  // as the settings had it when the request came
  Time deadline{}, objectiveAt{};
  double cost = 0;   // against the class's mean
  double score = 0;  // 1 to 100
  std::uint64_t key = 0;
  bool hasKey = false, ended = false, bound = false, uploading = false;
  std::array<Try, kTries> tries{};
  std::uint32_t count = 0, out = 0;
  std::span<const Try> made() const { return {tries.data(), count}; }
};

// The recent traffic by worth.
class Levels {
 public:
  // Notes a request of this worth; the share of the traffic, 0 to 1, that ranks below it. The draw spreads
  // each level over its own band, so equal worth shares the loss and higher worth is never cut first.
  double rank(double priorityWeight, double draw) {
    std::size_t at = 0;
    while (at < levels_.size() && levels_[at].priorityWeight < priorityWeight * 0.999) ++at;
    if (at == levels_.size() || levels_[at].priorityWeight > priorityWeight * 1.001 + 1e-12)
      levels_.insert(levels_.begin() + static_cast<std::ptrdiff_t>(at), Level{priorityWeight, 0});
    levels_[at].seen += 1;
    double below = 0, all = 0;
    for (std::size_t i = 0; i < levels_.size(); ++i) {
      all += levels_[i].seen;
      if (i < at) below += levels_[i].seen;
    }
    return (below + draw * levels_[at].seen) / all;
  }
  void fade(double gain) {
    for (Level& l : levels_) l.seen *= 1 - gain;
    std::erase_if(levels_, [](const Level& l) { return l.seen < 0.01; });
  }

 private:
  struct Level {
    double priorityWeight = 0, seen = 0;
  };
  std::vector<Level> levels_;
};

struct ClassState {
  ClassSettings set;
  double norm = 0;      // seconds; zero until the first answer
  double answers = 0;   // that taught it
  double meanCost = 0;  // seconds, of the hints
  Duration usualLeft{};
  double fails = 0;                              // share of failed attempts, over all hosts
  std::unordered_map<HostId, double> hostFails;  // and at those where one failed; over the recent ones
};

// Each tenant's part of its quota at this gateway. A bucket is known by when it was last empty, so that time
// passes for all of them at no cost; it holds what came in since then, of one second at most.
class TenantBuckets {
 public:
  void resize(std::size_t tenants, Time now) { emptySince_.resize(tenants, now); }
  bool take(std::uint32_t tenant, double perSecond, Time now) {  // false: it holds less than one request
    Time& empty = emptySince_[tenant];
    empty = std::max(empty, now - std::chrono::seconds(1));
    if (toSeconds(now - empty) * perSecond < 1) return false;
    empty += scaled(std::chrono::seconds(1), 1 / perSecond);
    return true;
  }

 private:
  std::vector<Time> emptySince_;
};

// Starts of the listed hosts that are still cold. What they lack is summed as they come and turn warm, so
// that a question costs the same whatever their number.
class ColdStarts {
 public:
  void assign(std::vector<double> starts) {
    starts_ = std::move(starts);
    std::sort(starts_.begin(), starts_.end(), std::greater<>());
    sum_ = std::accumulate(starts_.begin(), starts_.end(), 0.0);
  }
  double lacking(double now, double slowStartDuration) {  // parts of the time until warm, in the sum
    for (; !starts_.empty() && now - starts_.back() >= slowStartDuration; starts_.pop_back())
      sum_ -= starts_.back();
    const double cold = static_cast<double>(starts_.size());
    return starts_.empty() ? 0 : cold - (cold * now - sum_) / slowStartDuration;
  }

 private:
  std::vector<double> starts_;  // seconds, the latest first
  double sum_ = 0;
};

struct Turn {  // of one key: who waits, in order of arrival; the first one has the turn
  std::deque<std::uint32_t> queue;
  Time restUntil{};
};

// Share of attempts lost, by how long the connection used had lain idle, in steps that double. Danger:
// something on the way may drop idle connections unseen, and what is sent on one is lost without a word.
class IdleLosses {
 public:
  static std::size_t stepOf(Duration idle) {  // 0 = as good as fresh
    std::size_t step = 0;
    for (Duration t = kFirst; step + 1 < kSteps && idle >= t; t *= 2) ++step;
    return step;
  }
  // Lost so often, and more often than on fresh ones: it is given back.
  bool stale(std::size_t step) const { return step > 0 && lost_[step] > kStale + lost_[0]; }
  void note(std::size_t step, Outcome o) {  // a longer wait is no safer, a shorter one no worse
    const bool gone = o == Outcome::timeout || o == Outcome::reset;
    if (!gone && o != Outcome::served && o != Outcome::error && o != Outcome::rejected) return;
    for (std::size_t i = gone ? step : 0; i < (gone && step > 0 ? kSteps : step + 1); ++i)
      lost_[i] += kGain * ((gone ? 1 : 0) - lost_[i]);
  }
  void fade() {
    for (double& l : lost_) l *= 1 - kFade;
  }

 private:
  static constexpr Duration kFirst = std::chrono::milliseconds(250);
  static constexpr std::size_t kSteps = 8;
  static constexpr double kGain = 0.2;    // per attempt: over the last five of its step
  static constexpr double kFade = 0.005;  // per sweep: tried again after some twenty seconds
  static constexpr double kStale = 0.3;
  std::array<double, kSteps> lost_{};
};

// Each key's part of the recent traffic.
class RecentKeys {
 public:
  void note(std::uint64_t key) {
    recent_.push_back(key);
    if (recent_.size() > kKept) recent_.pop_front();
  }
  double part(std::uint64_t key) const {
    const auto seen = static_cast<double>(std::count(recent_.begin(), recent_.end(), key));
    // The first requests of all prove nothing of their keys.
    return seen / static_cast<double>(std::max(recent_.size(), kKept / 4));
  }

 private:
  static constexpr std::size_t kKept = 256;  // a key of one per cent is seen
  std::deque<std::uint64_t> recent_;
};

enum class Due { answer, copy, turn };  // last moment for an answer; a second copy; a look at the key's turn

struct Guard {
  Time at;
  std::uint32_t slot;
  RequestId id;
  Due due;
  bool operator>(const Guard& o) const { return at != o.at ? at > o.at : slot > o.slot; }
};

}  // namespace hollyrun::balancer
