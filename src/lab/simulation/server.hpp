// Models one server: cores, request slots, a queue, the warm-up after a start, a cache by key, a connection
// table and the choke of overloaded machines. It is independent of the network and of the gateways.
#pragma once

#include <deque>
#include <list>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

#include "hollyrun/balancer.hpp"

namespace hollyrun::lab {

using balancer::Duration;
using balancer::Time;

inline Duration seconds(double s) {
  return Duration(static_cast<std::int64_t>(s * 1e9));
}
inline double inSeconds(Duration d) {
  return static_cast<double>(d.count()) * 1e-9;
}

/// The drawn parameters of one machine. Work is in seconds on a core of speed 1. A machine that has been
/// overloaded for a while chokes: it is slower until its load has been low for some time.
struct ServerParameters {
  double cores = 1, speed = 1;
  std::size_t slots = 1, queueCapacity = 15;  // requests executed concurrently, requests queued
  double thrashing = 0;  // share of the speed lost per request in flight per core above the threshold
  double thrashingThreshold = 10;  // requests in flight per core
  double initialCapacity = 1;      // share of the capacity available at the start
  double warmupS = 0;
  double errorRate = 0;
  bool dropsExpired = false, dropsCancelled = false;
  double connectionCap = 1000;
  double fullTableOverhead = 0;  // share of the capacity lost at the connection cap
  bool chokesEnabled = false;
  double chokeThreshold = 5;  // requests in flight per core
  double chokeDelayS = 2;     // time above the threshold until the machine chokes
  double chokeSlowdown = 3;   // factor of the processing times while choked
  // A choke ends once the utilization of the slots has been below chokeRecoveryUtilization for
  // chokeRecoveryS, and after maxChokeS in any case.
  double chokeRecoveryS = 3, chokeRecoveryUtilization = 0.3, maxChokeS = 25;
  double keyCacheGain = 0, keyCacheTtlS = 6;  // gain: share of the work saved by a hit
  std::size_t cachedKeys = 24;
};

struct Job {
  std::uint32_t attempt = 0;
  double work = 0;
  std::uint64_t key = 0;
  bool hasKey = false;
  Time deadline{};
};

class Server {
 public:
  struct CompletedJob {
    std::uint32_t attempt = 0;
    Time at{};
    double work = 0;  // 0 for a job that was dropped from the queue
    bool dropped = false;
  };
  struct Choke {
    Time from{}, to{};           // `to` is zero while the choke lasts
    double inFlightPerCore = 0;  // when the choke began
  };

  explicit Server(ServerParameters parameters) : parameters_(parameters) {}
  // The key cache of a copy would hold iterators into the original's list.
  Server(const Server&) = delete;
  Server& operator=(const Server&) = delete;
  Server(Server&&) = default;

  /// Queues a completely received request. Returns false if the queue is full: the request is rejected
  /// without being executed.
  bool offer(Time now, const Job& job);
  /// The gateway cancelled the attempt. A machine with dropsCancelled discards a queued attempt instead of
  /// executing it when its turn comes; others execute it. A running attempt continues.
  void cancel(std::uint32_t attempt);
  /// Advances the execution to `now` and appends the jobs that ended to completed().
  void advance(Time now);
  std::vector<CompletedJob>& completed() { return completed_; }
  /// When the next running request completes if nothing changes; nullopt while idle or paused.
  std::optional<Time> nextCompletion() const;

  /// Starts a new process, without requests and not warmed up.
  void restart(Time now);
  /// Discards all running and queued requests and returns their attempts.
  std::vector<std::uint32_t> dropAll();
  void setSlowdown(Time now, double factor);  ///< 1 is the usual speed
  void setPaused(Time now, bool paused);
  void forceChoke(Time now);  ///< chokes at once, as after a long overload

  /// Records work that arrived during the warm-up. Returns whether more than `multiple` times the capacity
  /// has arrived within the last `window` seconds; the largest request and three of mean work are left out to
  /// allow for chance. `informedShare` receives the share of that work from gateways that knew of the start.
  bool overloadedWhileCold(Time now, double work, bool informed, double multiple, double window,
                           double& informedShare);

  std::size_t inFlight() const { return running_.size() + queue_.size(); }
  std::size_t queued() const { return queue_.size(); }
  bool choked() const { return choked_; }
  bool warmingUp() const { return warmth_ < 1; }
  double warmth() const { return warmth_; }  ///< available share of the capacity, 0 to 1
  double capacity() const;                   ///< work per second at present
  double backlog() const;                    ///< remaining work of all requests in flight
  const std::vector<Choke>& chokes() const { return chokeLog_; }
  const ServerParameters& parameters() const { return parameters_; }
  std::size_t connections = 0;

 private:
  struct Running {
    Job job;
    double work, until;  // completes when progress_ reaches `until`
  };
  void start(Time now);
  void observe(Time now);
  void choke(Time now);
  void updateUtilization(double elapsed);  // seconds since the last update
  double rate() const;                     // work per second of each running request
  double workOf(const Job& job, Time now);

  ServerParameters parameters_;
  std::vector<Running> running_;
  std::deque<Job> queue_;
  std::vector<std::uint32_t> cancelled_;
  std::vector<CompletedJob> completed_;
  Time last_{}, startedAt_{}, loadUpdatedAt_{}, recoveringSince_{}, chokedAt_{};
  double progress_ = 0;  // work that each request running since the start would have received
  double slowdown_ = 1, warmth_ = 1;
  double completedWork_ = 0;  // since the start
  double utilization_ = 0;    // smoothed share of busy slots
  double smoothedLoad_ = 0;   // requests in flight per core
  double load_ = 0;           // the same at the last update, bounded
  double meanWork_ = 0;
  bool paused_ = false, choked_ = false, recovering_ = false;
  std::vector<Choke> chokeLog_;
  struct ColdArrival {
    Time at;
    double work;
    bool informed;
  };
  std::deque<ColdArrival> coldArrivals_;
  std::list<std::pair<std::uint64_t, Time>> recentKeys_;  // the latest first
  std::unordered_map<std::uint64_t, std::list<std::pair<std::uint64_t, Time>>::iterator> keyCache_;
};

}  // namespace hollyrun::lab
