/// The connections to upstream hosts. The pool starts and ends attempts as its owner asks and reports the
/// outcome of each; it retries nothing by itself.
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
#include "gateway/upstream_connection.hpp"
#include "gateway/upstream_observer.hpp"
#include "hollyrun/balancer.hpp"

namespace hollyrun::gateway {

class UpstreamPool {
 public:
  struct Limits {
    std::size_t connections = 256;        ///< Over all hosts.
    balancer::Duration connectTimeout{};  ///< For a new connection.
    balancer::Duration idleTimeout{};     ///< Idle ones are closed before it; 0 = never.
  };
  /// The observer has to outlive the pool.
  UpstreamPool(boost::asio::io_context& io, Limits limits, UpstreamObserver& observer,
               std::shared_ptr<MemoryBudget> budget);
  ~UpstreamPool();
  UpstreamPool(const UpstreamPool&) = delete;
  UpstreamPool& operator=(const UpstreamPool&) = delete;

  void setEndpoint(balancer::HostId host, const boost::asio::ip::tcp::endpoint& endpoint);
  /// Sends the request, on the most recently used idle connection if there is one. Each attempt is completed
  /// exactly once. `latestStart`: it may not be written later than this, from now.
  void start(AttemptKey key, balancer::HostId host, HttpRequest request, balancer::Duration limit,
             balancer::Duration latestStart = balancer::Duration::max());
  /// With a streamed body, in chunks if its length is not known. completeUpload() sets the time limit anew.
  void start(AttemptKey key, balancer::HostId host, HttpRequest head, std::shared_ptr<BodyStream> upload,
             std::optional<std::uint64_t> length, balancer::Duration limit,
             balancer::Duration latestStart = balancer::Duration::max());
  /// The last byte of the upload has come from the client: the time limit runs from now on.
  void completeUpload(AttemptKey key, balancer::Duration limit);
  void cancel(AttemptKey key);
  /// Ends the attempt if nothing of it was written yet.
  void abandonIfUnsent(AttemptKey key);
  /// The host accepts nothing new; what was sent to it may complete.
  void drain(balancer::HostId host);
  void closeIdle(balancer::HostId host);
  /// Closes all connections and reports nothing.
  void stop();
  void setTimeouts(balancer::Duration connectTimeout, balancer::Duration idleTimeout);
  /// Sets the limit on connections; if more are open, idle ones are closed.
  void setConnectionLimit(std::size_t connections);
  std::size_t connections() const { return open_; }
  /// Attempts whose last byte was written.
  std::uint64_t writtenAttempts() const { return written_; }

 private:
  friend class UpstreamConnection;  // it enters and removes itself in the maps below

  struct HostState {
    boost::asio::ip::tcp::endpoint endpoint;
    std::vector<std::shared_ptr<UpstreamConnection>> idle;     // the most recently used last
    std::chrono::steady_clock::time_point quarantinedUntil{};  // after bytes that nobody asked for
  };

  bool openSocket(boost::asio::ip::tcp::socket& socket, const boost::asio::ip::tcp::endpoint& endpoint);
  void begin(balancer::HostId host, AttemptAssignment attempt);
  HostState& hostState(balancer::HostId host);
  void addIdle(std::shared_ptr<UpstreamConnection> connection);
  std::shared_ptr<UpstreamConnection> takeIdle(balancer::HostId host);
  bool closeOldestIdle();
  bool hasOutlivedIdleLimit(const UpstreamConnection& connection) const;
  void dropIdle(const std::shared_ptr<UpstreamConnection>& connection);
  void quarantineHost(balancer::HostId host);
  void sweep();

  boost::asio::io_context& io_;
  Limits limits_;
  UpstreamObserver& observer_;
  std::vector<HostState> hosts_;
  std::shared_ptr<MemoryBudget> budget_;
  std::unordered_map<AttemptKey, std::shared_ptr<UpstreamConnection>, AttemptKeyHash> busy_;
  std::unordered_set<std::shared_ptr<UpstreamConnection>> relaying_;  // their attempts are complete
  std::size_t open_ = 0;
  std::uint64_t written_ = 0;
  boost::asio::steady_timer sweeper_;
};

}  // namespace hollyrun::gateway
