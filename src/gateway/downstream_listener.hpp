/// Accepts the clients' connections, as far as descriptors and the limit on connections allow.
#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>

#include "gateway/connection_evictor.hpp"

namespace hollyrun::gateway {

/// What the listener needs of the owner of the connections.
class ConnectionAdmission {
 public:
  virtual ~ConnectionAdmission() = default;

  /// Whether as many connections are open as the limit allows.
  virtual bool isAtLimit() const = 0;
  virtual bool isOverLimit() const = 0;
  /// False if no connection may be closed for another.
  virtual bool evictForCapacity(EvictionScope scope) = 0;
  virtual void admit(boost::asio::ip::tcp::socket socket) = 0;
};

class DownstreamListener {
 public:
  /// The admission has to outlive the listener.
  DownstreamListener(boost::asio::io_context& io, ConnectionAdmission& admission);

  /// Throws boost::system::system_error. `shared`: another process may listen there too (SO_REUSEPORT).
  void listen(const boost::asio::ip::tcp::endpoint& at, bool shared);
  boost::asio::ip::tcp::endpoint localEndpoint() const { return acceptor_.local_endpoint(); }
  bool isOpen() const { return acceptor_.is_open(); }
  int nativeHandle() { return acceptor_.native_handle(); }

  /// From here on no connection is established; all that were established before are accepted.
  void acceptRemaining();
  void close();

 private:
  enum class AcceptResult {
    allAccepted,
    morePending,
    noCapacity,  ///< No connection may be accepted for now.
  };

  void awaitPending();
  AcceptResult acceptPending();

  boost::asio::io_context& io_;
  boost::asio::ip::tcp::acceptor acceptor_;
  ConnectionAdmission& admission_;
  boost::asio::steady_timer retryTimer_;
};

}  // namespace hollyrun::gateway
