// A client that floods one connection. It runs on the event loop of the test or the soak.
#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <chrono>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace hollyrun::lab {

/// What a client that floods one connection sends.
enum class FloodKind : std::uint8_t {
  soundRequests,    ///< whole requests, pipelined, each with a new id
  newNames,         ///< whole requests with ever new ids, tenants, keys and a very long deadline
  unsoundRequests,  ///< requests without an id
  tinyChunks,       ///< one request whose body comes in chunks of one byte
  emptyLines,       ///< line ends without a request
  count
};
inline constexpr std::size_t kFloodKinds = static_cast<std::size_t>(FloodKind::count);
const char* nameOf(FloodKind kind);

/// One client that writes at full speed on one connection, and connects again when that is closed.
class Flood : public std::enable_shared_from_this<Flood> {
 public:
  static std::shared_ptr<Flood> start(boost::asio::io_context& io,
                                      const boost::asio::ip::tcp::endpoint& gateway, FloodKind kind,
                                      bool readsResponses, std::string idPrefix);
  void stop();
  std::size_t bytesWritten() const { return bytesWritten_; }
  /// Called with the id of each request that the client is about to send.
  std::function<void(const std::string& requestId)> onRequest;
  std::chrono::milliseconds pause{0};  ///< between two writes

 private:
  Flood(boost::asio::io_context& io, boost::asio::ip::tcp::endpoint gateway, FloodKind kind,
        bool readsResponses, std::string idPrefix);
  void connect();
  void write();
  void writeAfterPause();
  void read();
  std::string nextText();

  boost::asio::io_context& io_;
  boost::asio::ip::tcp::endpoint gateway_;
  FloodKind kind_;
  bool readsResponses_;
  std::string idPrefix_;
  std::shared_ptr<boost::asio::ip::tcp::socket> socket_;
  boost::asio::steady_timer reconnectTimer_, pauseTimer_;
  std::string outgoing_;
  std::vector<char> received_;
  std::size_t requests_ = 0, bytesWritten_ = 0;
  bool isStopped_ = false, isHeadSent_ = false;
};

}  // namespace hollyrun::lab
