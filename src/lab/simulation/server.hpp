// The model of one record server: cores, slots, a waiting room, the cold ramp, key warmth, the table of
// connections and the choke of crowded machines. It knows no network and no gateway.
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

/// What one machine was drawn with. Works are seconds on a core of speed 1.
struct ServerFigures {
  double cores = 1, speed = 1;
  std::size_t slots = 1, room = 15;  // requests in work, requests waiting
  double thrash = 0, thrashAt = 10;  // held a core
  double coldFrom = 1, coldS = 0;
  double errorRate = 0;
  bool dropsExpired = false, dropsCancelled = false;
  double connectionCap = 1000, fullTax = 0;
  bool chokes = false;
  double chokeAt = 5, chokeOverS = 2, chokeSlower = 3, chokeRestS = 3, chokeBelow = 0.3, chokeMostS = 25;
  double warmGain = 0, warmKeepS = 6;
  std::size_t keyAffinity = 24;
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
  struct Ended {
    std::uint32_t attempt = 0;
    Time at{};
    double work = 0;  // spent on it; 0 for what was dropped unserved
    bool dropped = false;
  };
  struct Choke {
    Time from{}, to{};  // `to` zero while it lasts
    double held = 0;    // a core, as it began
  };

  explicit Server(ServerFigures figures) : figures_(figures) {}
  // Danger: a copy's table of keys would point into the original.
  Server(const Server&) = delete;
  Server& operator=(const Server&) = delete;
  Server(Server&&) = default;

  /// Takes a request that has come whole. False: the waiting room is full, and it is turned away unseen.
  bool offer(Time now, const Job& job);
  /// The gateway gave it up; waiting work is dropped where this machine does so.
  void abandon(std::uint32_t attempt);
  /// Moves the work on to `now`; what ended on the way is appended to ended().
  void advance(Time now);
  std::vector<Ended>& ended() { return ended_; }
  /// When the first request in work ends if nothing changes; none while idle or paused.
  std::optional<Time> nextEnd() const;

  /// A new process: empty and cold.
  void restart(Time now);
  /// The attempts that it held, waiting ones included; it holds nothing then.
  std::vector<std::uint32_t> drop();
  void slow(Time now, double factor);  ///< 1 is its usual speed
  void pause(Time now, bool on);
  void jam(Time now);  ///< as if it had been crowded for long

  /// Notes work that reached a cold machine, and tells whether more than `multiple` times what it can do came
  /// within `window`, the largest request and three of mean work left out for chance. `share` is the part of
  /// it from gateways that had been told of its start.
  bool overdriven(Time now, double work, bool informed, double multiple, double window, double& share);

  std::size_t held() const { return running_.size() + waiting_.size(); }
  std::size_t waiting() const { return waiting_.size(); }
  bool choked() const { return choked_; }
  bool cold() const { return warmth_ < 1; }
  double warmth() const { return warmth_; }  ///< share of its capacity, 0 to 1
  double capacity() const;                   ///< work a second now
  double backlog() const;                    ///< work that it holds
  const std::vector<Choke>& chokes() const { return chokeLog_; }
  const ServerFigures& figures() const { return figures_; }
  std::size_t connections = 0;

 private:
  struct Running {
    Job job;
    double work, until;  // `until` on the clock of progress_
  };
  void start(Time now);
  void observe(Time now);
  void choke(Time now);
  void noteBusy(double passed);  // seconds since the last note
  double rate() const;           // of each request in work
  double workOf(const Job& job, Time now);

  ServerFigures figures_;
  std::vector<Running> running_;
  std::deque<Job> waiting_;
  std::vector<std::uint32_t> abandoned_;
  std::vector<Ended> ended_;
  Time last_{}, startedAt_{}, crowdAt_{}, restSince_{}, chokedAt_{};
  double progress_ = 0, slow_ = 1, warmth_ = 1, done_ = 0, busy_ = 0, crowd_ = 0, level_ = 0, meanWork_ = 0;
  bool paused_ = false, choked_ = false, resting_ = false;
  std::vector<Choke> chokeLog_;
  struct Arrived {
    Time at;
    double work;
    bool informed;
  };
  std::deque<Arrived> arrived_;
  std::list<std::pair<std::uint64_t, Time>> recent_;  // keys, the latest first
  std::unordered_map<std::uint64_t, std::list<std::pair<std::uint64_t, Time>>::iterator> keys_;
};

}  // namespace hollyrun::lab
