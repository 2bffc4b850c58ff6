// The operators' side: a second listener that answers one call a connection. Reads figures, decides nothing.
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
  static constexpr std::size_t kConnections = 8;  // the longest unfinished one makes room for the next
  struct Callbacks {
    std::function<bool()> ready;
    std::function<std::string()> stats, metrics;
    std::function<std::string()> fleet = {};  // its text is empty while that part is off
  };

  // Listens at once. Throws boost::system::system_error.
  Management(boost::asio::io_context& io, const boost::asio::ip::tcp::endpoint& listen, Callbacks callbacks,
             std::chrono::milliseconds whole = std::chrono::milliseconds(2500));
  ~Management();
  Management(const Management&) = delete;
  Management& operator=(const Management&) = delete;

  boost::asio::ip::tcp::endpoint listening() const { return acceptor_.local_endpoint(); }

 private:
  class Call;

  void accept();
  void takeWaiting();
  void sweep();

  boost::asio::io_context& io_;
  boost::asio::ip::tcp::acceptor acceptor_;
  Callbacks callbacks_;
  std::chrono::milliseconds whole_;  // a connection lasts so long at most
  boost::asio::steady_timer sweeper_, again_;
  std::list<std::shared_ptr<Call>> calls_;  // the oldest first
};

}  // namespace hollyrun::gateway
