// Load generator: an open loop of downstream clients on real sockets. Arrivals are drawn in advance and never
// wait for responses, and latencies count from the drawn arrival, so that the stalls of a gateway are
// measured (no coordinated omission).
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

/// A gateway that the front end load balancer sends clients to.
struct Target {
  std::string name;
  tcp::endpoint endpoint;
  std::uint32_t zone = 0;
  bool inRotation = true;  ///< the front end considers it healthy
};

struct LoadPlan {
  double rate = 0;          ///< calls per second, without retries; 0: from the scenario's load level
  double seconds = 10;      ///< duration of the arrivals
  std::string className;    ///< sends this class only; empty: the scenario's mix
  std::size_t tenants = 0;  ///< number of tenants that the calls belong to; 0: requests have no tenant
};

/// Returns the name of a tenant by its number. A load and the configuration of its gateways share the names.
std::string tenantName(std::size_t number);

class Load final : public AttemptObserver {
 public:
  static constexpr double kMaxSeconds = 3600;
  static constexpr std::size_t kMaxCalls = 2'000'000;  // without retries

  /// Throws std::invalid_argument if the plan's duration or number of calls is out of bounds or its class is
  /// unknown.
  Load(asio::io_context& io, const Scenario& scenario, std::uint64_t seed, LoadPlan plan, double capacity,
       std::vector<Target> targets);
  ~Load() override;

  void start(std::function<void()> done);
  void stop();  ///< ends the arrivals; open calls complete
  Target& target(std::size_t i) { return targets_[i]; }
  /// Excuses the gateway's open requests after the testbed has killed its process, and retries their calls.
  void gatewayKilled(std::uint32_t gateway);
  /// Reports that the testbed has paused the process or resumed it. Requests that are overdue because of the
  /// pause are excused.
  void setPaused(std::uint32_t gateway, bool paused);

  const SentRequest* find(std::uint64_t id) const override;
  Checker& checker() override { return checker_; }
  std::size_t openCalls() const { return openCalls_; }
  Time started() const { return started_; }
  /// Returns the results so far. The times of `seconds` and of breaches count from the start.
  Result result() const;
  const Latencies& latencies() const { return latencies_; }

 private:
  /// A call of a client: a first request and its retries.
  struct Call {
    Arrival arrival;
    Time arrivedAt{};
    unsigned retriesLeft = 0, requests = 0;
  };
  class Connection;
  struct Request;

  void startDueCalls();
  void sendRequest(std::uint32_t call);
  void sendOnConnection(const std::shared_ptr<Request>& request);
  /// Marks the request as written. Reports it to the checker as accepted, unless it was marked before.
  void markWritten(Request& request);
  void onResponse(const std::shared_ptr<Request>& request, int status, const std::string& body,
                  double retryAfterS);
  void onConnectionLost(const std::shared_ptr<Request>& request);
  void onTimeout(const std::shared_ptr<Request>& request);
  void retryOrFail(std::uint32_t call, bool rejected, bool unreachable, Duration retryAfter);
  void fail(std::uint32_t call, bool rejected);
  void endCall();
  Second& secondOf(const Call& call);
  std::string textOf(const Request& request) const;

  asio::io_context& io_;
  const Scenario& scenario_;
  std::uint64_t seed_;
  std::size_t tenants_;
  DrawnDay day_;
  std::vector<Target> targets_;
  std::vector<Arrival> arrivals_;
  std::vector<Call> calls_;
  std::unordered_map<std::uint64_t, SentRequest> sentRequests_;               // by request id
  std::unordered_map<std::uint64_t, std::shared_ptr<Request>> openRequests_;  // by request id
  std::vector<std::vector<std::shared_ptr<Connection>>> idle_;  // by gateway, the most recently used last
  std::vector<char> paused_;                                    // by gateway
  std::vector<Time> pauseChangedAt_;
  Checker checker_;
  Latencies latencies_;
  Result result_;
  std::vector<Latencies> bySecond_;
  asio::steady_timer arrivalTimer_;
  std::function<void()> done_;
  Time started_{};
  std::size_t nextArrival_ = 0, openCalls_ = 0;
};

}  // namespace hollyrun::lab
