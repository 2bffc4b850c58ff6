/// Accepts client connections, as far as file descriptors and the connection limit allow.
#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <chrono>
#include <optional>

#include "gateway/connection_evictor.hpp"

namespace hollyrun::gateway {

/// Implemented by the owner of the connections; decides whether the listener may accept another one.
class ConnectionAdmission {
 public:
  virtual ~ConnectionAdmission() = default;

  /// Whether the number of open connections has reached the limit.
  virtual bool isAtLimit() const = 0;
  virtual bool isOverLimit() const = 0;
  /// Whether new connections have to wait, because the process is about to exceed its memory limit.
  virtual bool isRefusing() const = 0;
  /// Evicts one connection to make room for another. Returns false if none may be evicted.
  virtual bool evictForCapacity(EvictionScope scope) = 0;
  /// `queuedSince` is the earliest time at which the connection may have been established.
  virtual void admit(boost::asio::ip::tcp::socket socket,
                     std::chrono::steady_clock::time_point queuedSince) = 0;
};

class DownstreamListener {
 public:
  /// `admission` has to outlive the listener.
  DownstreamListener(boost::asio::io_context& io, ConnectionAdmission& admission);

  /// If `shared`, another process may listen at the same address (SO_REUSEPORT). Returns false if this
  /// machine has no descriptor or buffer for the socket now. Throws boost::system::system_error on any other
  /// error.
  bool listen(const boost::asio::ip::tcp::endpoint& address, bool shared);
  boost::asio::ip::tcp::endpoint localEndpoint() const { return acceptor_.local_endpoint(); }
  bool isOpen() const { return acceptor_.is_open(); }
  int nativeHandle() { return acceptor_.native_handle(); }

  /// Stops the kernel from establishing further connections and accepts all pending ones.
  void acceptRemaining();
  void close();

 private:
  enum class AcceptResult {
    allAccepted,
    morePending,
    noCapacity,  ///< No further connection may be accepted for now.
  };

  void awaitPending();
  AcceptResult acceptPending();
  AcceptResult acceptBatch();

  boost::asio::io_context& io_;
  boost::asio::ip::tcp::acceptor acceptor_;
  ConnectionAdmission& admission_;
  boost::asio::steady_timer retryTimer_;
  // Since when accept has failed without all pending connections having been accepted.
  std::optional<std::chrono::steady_clock::time_point> stalledSince_;
};

}  // namespace hollyrun::gateway
