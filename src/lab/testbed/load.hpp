// Clients of the platform on real sockets, in an open loop: arrivals are drawn ahead and never wait for
// answers, and a time counts from the drawn arrival, so that a gateway that stalls cannot hide it.
#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <functional>
#include <memory>
#include <string>
#include <unordered_map>
#include <vector>

#include "lab/simulation/latencies.hpp"
#include "lab/simulation/simulation.hpp"
#include "lab/testbed/platform.hpp"

namespace hollyrun::lab {

/// A gateway as the front deals connections to it.
struct Target {
  std::string name;
  tcp::endpoint endpoint;
  std::uint32_t zone = 0;
  bool known = true;  ///< the front takes it for up
};

struct LoadPlan {
  double rate = 0;          ///< first tries a second; 0: by the scenario's level
  double seconds = 10;      ///< of arrivals
  std::string cls;          ///< only this class; empty: the scenario's mix
  std::size_t tenants = 0;  ///< each request is one of tenant-0, tenant-1, ...; 0: of none
};

/// The name of a tenant by its number, in a load and in the settings of a gateway for it.
std::string tenantName(std::size_t number);

class Load final : public AttemptObserver {
 public:
  static constexpr double kLongest = 3600;         // seconds
  static constexpr std::size_t kMost = 2'000'000;  // first tries

  /// Throws std::invalid_argument if the plan has no end, too many tries or an unknown class.
  Load(asio::io_context& io, const Scenario& scenario, std::uint64_t seed, LoadPlan plan, double capacity,
       std::vector<Target> targets);
  ~Load() override;

  void start(std::function<void()> done);
  void stop();  ///< no further arrivals; what is open ends by itself
  Target& target(std::size_t i) { return targets_[i]; }
  /// The testbed has ended this process at once: it owes nothing any more.
  void released(std::uint32_t gateway);
  /// The testbed holds this process up, or lets it go on: what it owes meanwhile is not held against it.
  void heldUp(std::uint32_t gateway, bool on);

  const OnTheWire* find(std::uint64_t id) const override;
  Checker& checker() override { return checker_; }
  std::size_t openCalls() const { return open_; }
  Time started() const { return started_; }
  /// What it has come to so far; the times of `seconds` and breaches count from the start.
  Result result() const;
  const Latencies& latencies() const { return latencies_; }

 private:
  struct Call {
    Arrival arrival;
    Time first{};
    unsigned left = 0, tries = 0;
  };
  class Connection;
  struct Try;

  void next();
  void attempt(std::uint32_t call);
  void send(const std::shared_ptr<Try>& t);
  void answered(const std::shared_ptr<Try>& t, int status, const std::string& body, double retryAfter);
  void broken(const std::shared_ptr<Try>& t);
  void overdue(const std::shared_ptr<Try>& t);
  void again(std::uint32_t call, bool refused, bool unreachable, Duration after);
  void leave(std::uint32_t call, bool refused);
  void closed();
  Second& secondOf(const Call& c);
  std::string textOf(const Try& t) const;

  asio::io_context& io_;
  const Scenario& s_;
  std::uint64_t seed_;
  std::size_t tenants_;
  DrawnDay day_;
  std::vector<Target> targets_;
  std::vector<Arrival> arrivals_;
  std::vector<Call> calls_;
  std::unordered_map<std::uint64_t, OnTheWire> wire_;
  std::unordered_map<std::uint64_t, std::shared_ptr<Try>> tries_;
  std::vector<std::vector<std::shared_ptr<Connection>>> idle_;  // by gateway, the latest used last
  std::vector<char> heldUp_;
  std::vector<Time> heldUntil_;
  Checker checker_;
  Latencies latencies_;
  Result result_;
  std::vector<Latencies> bySecond_;
  asio::steady_timer timer_;
  std::function<void()> done_;
  Time started_{};
  std::size_t nextArrival_ = 0, open_ = 0;
};

}  // namespace hollyrun::lab
