// Connections to hosts and the attempts on them. Carries out what it is told and maps how a socket ends to
// an Outcome; it sends nothing again by itself.
#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <chrono>
#include <cstddef>
#include <cstdint>
#include <memory>
#include <optional>
#include <unordered_map>
#include <unordered_set>
#include <vector>

#include "gateway/body_stream.hpp"
#include "gateway/http_message.hpp"
#include "gateway/upstream_observer.hpp"
#include "hollyrun/balancer.hpp"

namespace hollyrun::gateway {

class UpstreamPool {
 public:
  struct Limits {
    std::size_t connections = 256;        // over all hosts
    balancer::Duration connectTimeout{};  // for a new one
    balancer::Duration idleTimeout{};     // the host closes idle ones after this at the latest; 0 = never
  };
  // The observer has to outlive the pool.
  UpstreamPool(boost::asio::io_context& io, Limits limits, UpstreamObserver& observer,
               std::shared_ptr<MemoryBudget> budget);
  ~UpstreamPool();
  UpstreamPool(const UpstreamPool&) = delete;
  UpstreamPool& operator=(const UpstreamPool&) = delete;

  void setEndpoint(balancer::HostId host, const boost::asio::ip::tcp::endpoint& endpoint);
  // Sends the request, on the latest used idle connection if there is one. Ends exactly once. `beginWithin`:
  // it may not be written later than so long from now.
  void start(AttemptKey key, balancer::HostId host, HttpRequest request, balancer::Duration limit,
             balancer::Duration beginWithin = balancer::Duration::max());
  // The body comes in pieces, in chunks if its length is not known. While it comes, uploaded() sets the
  // limit.
  void start(AttemptKey key, balancer::HostId host, HttpRequest head, std::shared_ptr<BodyStream> upload,
             std::optional<std::uint64_t> length, balancer::Duration limit,
             balancer::Duration beginWithin = balancer::Duration::max());
  void uploaded(AttemptKey key, balancer::Duration limit);
  void cancel(AttemptKey key);
  void drop(AttemptKey key);          // if nothing of it was written yet
  void drain(balancer::HostId host);  // it takes nothing new: what is under way to it may end
  void closeIdle(balancer::HostId host);
  void stop();  // closes all without a word
  void setTimes(balancer::Duration connectTimeout, balancer::Duration idleTimeout);
  void allow(std::size_t connections);  // fewer than are open: idle ones go
  std::size_t connections() const { return open_; }
  std::uint64_t written() const { return written_; }  // attempts, up to their last byte

 private:
  struct Connection;
  struct Host {
    boost::asio::ip::tcp::endpoint endpoint;
    std::vector<std::shared_ptr<Connection>> idle;       // the latest used last
    std::chrono::steady_clock::time_point restsUntil{};  // it spoke unasked: new uses wait a little
  };

  bool openSocket(boost::asio::ip::tcp::socket& socket, const boost::asio::ip::tcp::endpoint& endpoint);
  void begin(AttemptKey key, balancer::HostId host, HttpRequest request, balancer::Duration limit,
             balancer::Duration beginWithin, std::shared_ptr<BodyStream> upload);
  Host& hostOf(balancer::HostId host);
  std::shared_ptr<Connection> takeIdle(balancer::HostId host);
  bool closeOldestIdle();
  bool outlived(const Connection& connection) const;
  void dropIdle(const std::shared_ptr<Connection>& connection);
  void sweep();

  boost::asio::io_context& io_;
  Limits limits_;
  UpstreamObserver& observer_;
  std::vector<Host> hosts_;
  std::shared_ptr<MemoryBudget> budget_;
  std::unordered_map<AttemptKey, std::shared_ptr<Connection>, AttemptKeyHash> busy_;
  std::unordered_set<std::shared_ptr<Connection>> relaying_;  // answers whose attempt has ended
  std::size_t open_ = 0;
  std::uint64_t written_ = 0;
  boost::asio::steady_timer sweeper_;
};

}  // namespace hollyrun::gateway
