// Stub record servers: thousands of loopback addresses, each with a listening socket of its own, served by
// one process. They do no work: each request gets a 200 response with its own id after a fixed time.
#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <cstdint>
#include <memory>
#include <vector>

namespace hollyrun::lab {

struct StubServerPlan {
  std::uint32_t firstAddress = 0x7f010001;  ///< 127.1.0.1; the other servers have the addresses after it
  std::size_t count = 1;
  double answerMs = 2;  ///< from the last byte of a request to its response
};

class StubServers {
 public:
  /// Throws boost::system::system_error if no port is found that is free at every address.
  StubServers(boost::asio::io_context& io, const StubServerPlan& plan);
  ~StubServers();
  StubServers(const StubServers&) = delete;
  StubServers& operator=(const StubServers&) = delete;

  std::uint16_t port() const { return port_; }  ///< the same at every address
  std::uint64_t requestsAnswered() const;

 private:
  class Connection;
  struct Shared;

  bool listenAt(std::uint16_t port, const StubServerPlan& plan);
  void accept(boost::asio::ip::tcp::acceptor& acceptor);

  boost::asio::io_context& io_;
  std::shared_ptr<Shared> shared_;  // with the connections, which may outlive this object in the event loop
  std::vector<boost::asio::ip::tcp::acceptor> acceptors_;
  std::uint16_t port_ = 0;
};

/// Returns the endpoint of a server by its number, from 0.
boost::asio::ip::tcp::endpoint stubServerEndpoint(std::uint32_t firstAddress, std::size_t number,
                                                  std::uint16_t port);

/// Serves until SIGTERM or SIGINT and writes reports to standard output. Returns an exit code.
int runStubServers(const StubServerPlan& plan);

}  // namespace hollyrun::lab
