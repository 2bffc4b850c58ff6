// Stub record servers: thousands of loopback addresses, each with a listening socket of its own, answered
// by one process. They do no work; every request is answered after the same time with 200 and its own id.
#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <cstdint>
#include <memory>
#include <vector>

namespace hollyrun::lab {

struct StubServerPlan {
  std::uint32_t firstAddress = 0x7f010001;  ///< 127.1.0.1; the others follow it
  std::size_t count = 1;
  double answerMs = 2;  ///< from a request's last byte to its answer
};

class StubServers {
 public:
  /// Throws boost::system::system_error if no port is free at all of the addresses.
  StubServers(boost::asio::io_context& io, const StubServerPlan& plan);
  ~StubServers();
  StubServers(const StubServers&) = delete;
  StubServers& operator=(const StubServers&) = delete;

  std::uint16_t port() const { return port_; }  ///< the same at every address
  std::uint64_t answered() const;

 private:
  class Connection;
  struct Shared;

  bool listenAt(std::uint16_t port, const StubServerPlan& plan);
  void accept(boost::asio::ip::tcp::acceptor& acceptor);

  boost::asio::io_context& io_;
  std::shared_ptr<Shared> shared_;  // with connections, which may outlive this until the loop ends
  std::vector<boost::asio::ip::tcp::acceptor> acceptors_;
  std::uint16_t port_ = 0;
};

/// The endpoint of the server of that number, from 0.
boost::asio::ip::tcp::endpoint stubServerEndpoint(std::uint32_t firstAddress, std::size_t number,
                                                  std::uint16_t port);

/// Serves until the process is ended, and reports on its output. Returns an exit code.
int runStubServers(const StubServerPlan& plan);

}  // namespace hollyrun::lab
