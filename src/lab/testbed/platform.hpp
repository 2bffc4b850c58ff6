// Emulates the platform on loopback, in real time and with the published protocol: the lab's model of a
// record server behind each HTTP/1.1 socket, and discovery with its endpoint list and watches.
#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "gateway/endpoint_text.hpp"
#include "lab/simulation/checker.hpp"
#include "lab/simulation/draw.hpp"
#include "lab/simulation/scenario.hpp"

namespace hollyrun::lab {

namespace asio = boost::asio;
using asio::ip::tcp;
using boost::system::error_code;

/// Returns the testbed's monotonic time. An offset keeps it well above zero, because zero means "long past".
Time clockNow();
using gateway::textOf;
/// Formats a request id as in X-Request-Id: 16 hexadecimal digits.
std::string hex(std::uint64_t id);

/// Reserves a port that the kernel chooses. The socket is bound with SO_REUSEADDR and never listens: the
/// intended process can bind the port too, and the kernel gives it to no other.
class ReservedPort {
 public:
  explicit ReservedPort(asio::io_context& io);
  tcp::endpoint endpoint() const { return endpoint_; }

 private:
  tcp::socket socket_;
  tcp::endpoint endpoint_;
};

/// A request that a client of the testbed has sent, looked up by its X-Request-Id.
struct SentRequest {
  std::uint32_t gateway = 0, classIndex = 0;
  double work = 0;  ///< seconds on a core of speed 1
  std::uint64_t key = 0;
};

/// Knows the requests of a checked run. Without an observer the servers accept any request, as in
/// `hollyrun-lab serve`, whose requests come from curl.
class AttemptObserver {
 public:
  virtual ~AttemptObserver() = default;
  /// Returns null if no client sent the request.
  virtual const SentRequest* find(std::uint64_t id) const = 0;
  virtual Checker& checker() = 0;
};

class DiscoveryAgent;
class RecordServer;

class Platform {
 public:
  Platform(asio::io_context& io, const Scenario& scenario, std::uint64_t seed, AttemptObserver* observer);
  ~Platform();
  Platform(const Platform&) = delete;
  Platform& operator=(const Platform&) = delete;

  /// Adds a discovery agent for the next gateway. Agents are numbered from 0.
  tcp::endpoint addAgent();
  std::size_t servers() const { return servers_.size(); }
  const std::string& zoneOf(std::size_t server) const;
  double capacity() const { return capacityOf(scenario_, seed_, fleet_); }

  // Faults of a server.
  void setSlowdown(std::size_t server, double factor);  ///< 1 ends the slowdown
  void choke(std::size_t server);
  /// Ends its process: connections are reset and new ones refused. The server is announced as removed.
  void kill(std::size_t server);
  void start(std::size_t server);  ///< starts a new, cold process; announced after the notice time
  void setUnreachable(std::size_t server, bool on);  ///< no data passes; new connections hang
  void drain(std::size_t server);                    ///< announced as DRAINING; rejects new requests
  // Faults of one gateway's discovery.
  void setAgentSilent(std::size_t agent, bool on);  ///< the agent sends no responses
  void delayUpdates(std::size_t agent, bool on);    ///< the agent announces changes only after the fault ends
  /// Announces the server as removed to this gateway only.
  void hideServer(std::size_t agent, std::size_t server);
  void showServer(std::size_t agent, std::size_t server);  ///< announces its true state again

  /// Formats the requests in flight and the state of each server in one line: x ended, ? unreachable,
  /// d draining, ! choked.
  std::string stateLine() const;
  std::size_t requestsInFlight() const;

 private:
  friend class DiscoveryAgent;
  friend class RecordServer;
  void publish(std::size_t server);

  asio::io_context& io_;
  const Scenario& scenario_;
  std::uint64_t seed_;
  AttemptObserver* observer_;
  DrawnDay day_;
  DrawnFleet fleet_;
  Stream noticeDelays_;
  std::vector<std::unique_ptr<RecordServer>> servers_;
  std::vector<std::unique_ptr<DiscoveryAgent>> agents_;
};

/// Sends a GET request and passes on the status and body of the response. The status is 0 if the request
/// fails or has no response within the timeout.
void httpGet(asio::io_context& io, const tcp::endpoint& endpoint, const std::string& target, Duration timeout,
             std::function<void(int status, std::string body)> done);

}  // namespace hollyrun::lab
