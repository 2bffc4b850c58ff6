// The emulated platform on loopback, in real time and by the published protocol: the lab's model of a record
// server behind each HTTP/1.1 socket, and discovery with its list and its watches.
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

/// The testbed's clock: nanoseconds that never go back, well above zero, for zero reads as "long past".
Time clockNow();
using gateway::textOf;
/// A request's id as it stands on the wire: 16 hexadecimal digits.
std::string hex(std::uint64_t id);

/// A port of the kernel's choice, kept for as long as this lives: bound and never listening, so that the one
/// that it is meant for can bind it too (both with SO_REUSEADDR) and nobody else is given it.
class ReservedPort {
 public:
  explicit ReservedPort(asio::io_context& io);
  tcp::endpoint endpoint() const { return endpoint_; }

 private:
  tcp::socket socket_;
  tcp::endpoint endpoint_;
};

/// What is known of a request by its id on the wire, 16 hexadecimal digits. The testbed's clients put it
/// there.
struct OnTheWire {
  std::uint32_t gateway = 0, cls = 0;
  double work = 0;  // seconds on a core of speed 1
  std::uint64_t key = 0;
};

/// Ground truth for a checked run: who sent what. Without one every request is served (`serve`, for curl).
class AttemptObserver {
 public:
  virtual ~AttemptObserver() = default;
  /// Null: no client sent such a request.
  virtual const OnTheWire* find(std::uint64_t id) const = 0;
  virtual Checker& checker() = 0;
};

class Agent;
class RecordServer;

class Platform {
 public:
  Platform(asio::io_context& io, const Scenario& scenario, std::uint64_t seed, AttemptObserver* observer);
  ~Platform();
  Platform(const Platform&) = delete;
  Platform& operator=(const Platform&) = delete;

  /// An agent of discovery for the next gateway, numbered from 0.
  tcp::endpoint addAgent();
  std::size_t servers() const { return servers_.size(); }
  const std::string& zoneOf(std::size_t server) const;
  double capacity() const { return capacityOf(scenario_, seed_, fleet_); }

  // Troubles of a server. Each is undone by its opposite.
  void slow(std::size_t server, double factor);  ///< 1 is its usual speed
  void jam(std::size_t server);
  void kill(std::size_t server);          ///< its process dies: connections reset, new ones refused
  void start(std::size_t server);         ///< a new process of it, cold; told after the notice time
  void cut(std::size_t server, bool on);  ///< silent: nothing comes in or out, nothing is refused
  void drain(std::size_t server);         ///< told as DRAINING, turns away what is new
  // Troubles of one gateway's discovery.
  void silence(std::size_t agent, bool on);  ///< answers nothing
  void hold(std::size_t agent, bool on);     ///< tells nothing new, and what it held back afterwards
  void forgetFor(std::size_t agent,
                 std::size_t server);                  ///< tells this gateway alone that the server is gone
  void recall(std::size_t agent, std::size_t server);  ///< and the truth again

  /// One line: what each server holds and its state, for a log.
  std::string stateLine() const;
  std::size_t requestsInFlight() const;

 private:
  friend class Agent;
  friend class RecordServer;
  void publish(std::size_t server);

  asio::io_context& io_;
  const Scenario& scenario_;
  std::uint64_t seed_;
  AttemptObserver* observer_;
  DrawnDay day_;
  DrawnFleet fleet_;
  Stream notices_;
  std::vector<std::unique_ptr<RecordServer>> servers_;
  std::vector<std::unique_ptr<Agent>> agents_;
};

/// Reads an HTTP answer from `to` and hands on its status and body; status 0 if there was none within `wait`.
void httpGet(asio::io_context& io, const tcp::endpoint& to, const std::string& target, Duration wait,
             std::function<void(int status, std::string body)> done);

}  // namespace hollyrun::lab
