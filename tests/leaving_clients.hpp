// Downstream clients for tests of disconnects: the kinds of disconnect that TCP has, and a client that works
// without an event loop.
#pragma once

#include <string>

#include "net_peers.hpp"

namespace hollyrun::gateway::testing {

// A client that reads and writes its socket directly. Without an event loop, the bytes that it sends have
// been passed to the gateway's socket when send() returns.
class SynchronousClient {
 public:
  SynchronousClient(asio::io_context& io, const tcp::endpoint& server) : socket_(io) {
    socket_.connect(server);
    socket_.non_blocking(true);
  }
  void send(const std::string& text) {
    error_code ec;
    asio::write(socket_, asio::buffer(text), ec);
    wasReset = wasReset || (ec && ec != asio::error::would_block);
  }
  // Reads all available bytes and returns whether the connection is still open.
  bool readAvailable() {
    char bytes[16384];
    for (;;) {
      error_code ec;
      const std::size_t size = socket_.read_some(asio::buffer(bytes), ec);
      received.append(bytes, size);
      if (ec == asio::error::would_block)
        return true;
      wasReset = wasReset || ec == asio::error::connection_reset || ec == asio::error::broken_pipe;
      if (ec)
        return false;
    }
  }
  bool hasReceived(const std::string& text) {
    readAvailable();
    return received.find(text) != std::string::npos;
  }
  void halfClose() {
    error_code ec;
    socket_.shutdown(tcp::socket::shutdown_send, ec);
  }

  std::string received;
  bool wasReset = false;

 private:
  tcp::socket socket_;
};

// How a client disconnects. An HTTP/1.1 client cancels a request by closing or resetting its connection.
enum class DisconnectKind { close, halfClose, reset };

inline std::string nameOf(DisconnectKind kind) {
  switch (kind) {
    case DisconnectKind::close:
      return "ByClose";
    case DisconnectKind::halfClose:
      return "ByHalfClose";
    case DisconnectKind::reset:
      return "ByReset";
  }
  return "";
}

inline void disconnect(Client& client, DisconnectKind kind) {
  switch (kind) {
    case DisconnectKind::close:
      return client.close();
    case DisconnectKind::halfClose:
      return client.halfClose();
    case DisconnectKind::reset:
      return client.reset();
  }
}

}  // namespace hollyrun::gateway::testing
