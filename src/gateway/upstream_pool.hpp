/// The pool of connections to upstream hosts. It starts and cancels attempts at its owner's request and
/// reports the outcome of each. It never retries an attempt by itself.
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
#include "gateway/forwarded_request.hpp"
#include "gateway/upstream_connection.hpp"
#include "gateway/upstream_observer.hpp"
#include "hollyrun/balancer.hpp"

namespace hollyrun::gateway {

class UpstreamPool {
 public:
  struct Limits {
    std::size_t connections = 256;        ///< Maximum number, over all hosts.
    balancer::Duration connectTimeout{};  ///< For a new connection.
    balancer::Duration idleTimeout{};     ///< Idle connections are closed shortly before it; 0: never.
  };
  /// The observer must outlive the pool.
  UpstreamPool(boost::asio::io_context& io, Limits limits, UpstreamObserver& observer,
               std::shared_ptr<MemoryBudget> budget);
  ~UpstreamPool();
  UpstreamPool(const UpstreamPool&) = delete;
  UpstreamPool& operator=(const UpstreamPool&) = delete;

  void setEndpoint(balancer::HostId host, const boost::asio::ip::tcp::endpoint& endpoint);
  /// Starts an attempt, on the most recently used idle connection to the host if there is one. Each attempt
  /// is completed exactly once. `latestStart` from now is the latest time at which the request may be
  /// written.
  void start(AttemptKey key, balancer::HostId host, ForwardedRequestPtr request, balancer::Duration limit,
             balancer::Duration latestStart = balancer::Duration::max());
  /// Starts an attempt with a streamed body. completeUpload() restarts the time limit.
  void start(AttemptKey key, balancer::HostId host, ForwardedRequestPtr request, StreamedUpload upload,
             balancer::Duration limit, balancer::Duration latestStart = balancer::Duration::max());
  /// Restarts the time limit from now. Called when the last byte of the upload has arrived from the client.
  void completeUpload(AttemptKey key, balancer::Duration limit);
  void cancel(AttemptKey key);
  /// Ends the attempt if its upload has not been written whole, which proves that it was not executed.
  void failUnfinishedUpload(AttemptKey key);
  /// Ends the attempt if none of it has been written yet.
  void abandonIfUnsent(AttemptKey key);
  /// Closes the idle connections to a draining host and limits the time in which attempts that are still
  /// connecting must be written. Attempts already written may complete.
  void drain(balancer::HostId host);
  void closeIdle(balancer::HostId host);
  /// During a shutdown: streamed responses that are short end by this time.
  void limitResponses(std::chrono::steady_clock::time_point lastResponse) { lastResponse_ = lastResponse; }
  /// Closes all connections without reporting their attempts.
  void stop();
  void setTimeouts(balancer::Duration connectTimeout, balancer::Duration idleTimeout);
  /// Sets the maximum number of connections. If more are open, idle connections are closed.
  void setConnectionLimit(std::size_t connections);
  std::size_t connections() const { return openConnections_; }
  /// The number of attempts whose last byte was written.
  std::uint64_t writtenAttempts() const { return writtenAttempts_; }

 private:
  friend class UpstreamConnection;  // Registers and unregisters itself in the containers below.

  struct HostState {
    boost::asio::ip::tcp::endpoint endpoint;
    std::vector<std::shared_ptr<UpstreamConnection>> idle;     // Ordered by last use, the most recent last.
    std::chrono::steady_clock::time_point quarantinedUntil{};  // Set after unsolicited bytes.
  };

  bool openSocket(boost::asio::ip::tcp::socket& socket, const boost::asio::ip::tcp::endpoint& endpoint);
  void startAttempt(balancer::HostId host, AttemptAssignment attempt);
  HostState& hostState(balancer::HostId host);
  void addIdle(std::shared_ptr<UpstreamConnection> connection);
  std::shared_ptr<UpstreamConnection> takeIdle(balancer::HostId host);
  bool closeOldestIdle();
  bool endLongestStalled();
  bool hasOutlivedIdleLimit(const UpstreamConnection& connection) const;
  void removeIdle(const std::shared_ptr<UpstreamConnection>& connection);
  void quarantineHost(balancer::HostId host);
  void closeExpiredIdle();

  boost::asio::io_context& io_;
  Limits limits_;
  UpstreamObserver& observer_;
  std::vector<HostState> hosts_;
  std::shared_ptr<MemoryBudget> budget_;
  std::unordered_map<AttemptKey, std::shared_ptr<UpstreamConnection>, AttemptKeyHash> busy_;
  std::unordered_set<std::shared_ptr<UpstreamConnection>> relaying_;  // Their attempts are complete.
  std::optional<std::chrono::steady_clock::time_point> lastResponse_;
  std::size_t openConnections_ = 0;
  std::uint64_t writtenAttempts_ = 0;
  boost::asio::steady_timer idleCheckTimer_;
};

}  // namespace hollyrun::gateway
