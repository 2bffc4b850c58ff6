// Clients of the gateway's tests that leave in one of the ways that TCP has, and one that needs no event
// loop.
#pragma once

#include <string>

#include "net_peers.hpp"

namespace hollyrun::gateway::testing {

// A client's socket without a loop: what it writes is at the gateway's machine when the call returns.
class PlainClient {
 public:
  PlainClient(asio::io_context& io, const tcp::endpoint& to) : socket_(io) {
    socket_.connect(to);
    socket_.non_blocking(true);
  }
  void send(const std::string& text) {
    error_code ec;
    asio::write(socket_, asio::buffer(text), ec);
    reset = reset || (ec && ec != asio::error::would_block);
  }
  // Reads what is there; true while the connection is open.
  bool open() {
    char bytes[16384];
    for (;;) {
      error_code ec;
      const std::size_t n = socket_.read_some(asio::buffer(bytes), ec);
      come.append(bytes, n);
      if (ec == asio::error::would_block)
        return true;
      reset = reset || ec == asio::error::connection_reset || ec == asio::error::broken_pipe;
      if (ec)
        return false;
    }
  }
  bool got(const std::string& text) {
    open();
    return come.find(text) != std::string::npos;
  }
  void halfClose() {
    error_code ec;
    socket_.shutdown(tcp::socket::shutdown_send, ec);
  }

  std::string come;
  bool reset = false;

 private:
  tcp::socket socket_;
};

// How a client ends its side; over HTTP/1.1 a cancelled request is the close or reset of its connection.
enum class Leaving { close, halfClose, reset };

inline std::string nameOf(Leaving how) {
  switch (how) {
    case Leaving::close:
      return "ByClose";
    case Leaving::halfClose:
      return "ByHalfClose";
    case Leaving::reset:
      return "ByReset";
  }
  return "";
}

inline void leave(Client& client, Leaving how) {
  switch (how) {
    case Leaving::close:
      return client.close();
    case Leaving::halfClose:
      return client.halfClose();
    case Leaving::reset:
      return client.reset();
  }
}

}  // namespace hollyrun::gateway::testing
