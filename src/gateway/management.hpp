/// The management endpoint for operators: a second, read-only HTTP listener that serves one request per
/// connection.
#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <chrono>
#include <cstddef>
#include <functional>
#include <list>
#include <memory>
#include <string>

namespace hollyrun::gateway {

class Management {
 public:
  static constexpr std::size_t kMaxConnections = 8;  ///< a further connection closes the oldest one
  struct Callbacks {
    std::function<bool()> isReady;
    std::function<std::string()> renderStatistics, renderMetrics;
    std::function<std::string()> renderFleet = {};  ///< returns an empty string while membership is off
  };

  /// Starts listening. Throws boost::system::system_error if that fails. A connection older than
  /// `connectionLifetime` is closed.
  Management(boost::asio::io_context& io, const boost::asio::ip::tcp::endpoint& listen, Callbacks callbacks,
             std::chrono::milliseconds connectionLifetime = std::chrono::milliseconds(2500));
  ~Management();
  Management(const Management&) = delete;
  Management& operator=(const Management&) = delete;

  boost::asio::ip::tcp::endpoint listening() const { return acceptor_.local_endpoint(); }

 private:
  class Connection;

  void accept();
  void acceptPending();
  void retryAcceptLater();
  void closeOldest();
  void closeOverdue();

  boost::asio::io_context& io_;
  boost::asio::ip::tcp::acceptor acceptor_;
  Callbacks callbacks_;
  std::chrono::milliseconds connectionLifetime_;
  boost::asio::steady_timer sweepTimer_, acceptRetryTimer_;
  std::list<std::shared_ptr<Connection>> connections_;  // oldest first
};

}  // namespace hollyrun::gateway
