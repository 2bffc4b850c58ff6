// Peers that send and receive large messages in a planned way: a record server and clients. They run on the
// event loop of the test or the soak.
#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http/parser.hpp>
#include <chrono>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "gateway/incremental_body.hpp"
#include "lab/soak/message_plan.hpp"

namespace hollyrun::lab {

using PeerClock = std::chrono::steady_clock;

/// Writes a body in the pieces of its plan. Calls `onEnd(false)` if the connection broke.
class BodyWriter : public std::enable_shared_from_this<BodyWriter> {
 public:
  using EndHandler = std::function<void(bool isComplete)>;

  BodyWriter(boost::asio::ip::tcp::socket& socket, const BodyPlan& plan, std::uint64_t bodyKey,
             std::shared_ptr<void> owner, EndHandler onEnd);
  /// Writes the head with the first piece of the body, then the others.
  void start(std::string head);

 private:
  void writeNext();
  void staySilent();
  std::string nextPiece();

  boost::asio::ip::tcp::socket& socket_;
  BodyPlan plan_;
  std::uint64_t bodyKey_;
  std::shared_ptr<void> owner_;  // Keeps the socket alive.
  EndHandler onEnd_;
  boost::asio::steady_timer pauseTimer_;
  std::string outgoing_;
  std::size_t written_ = 0;
  bool isEndMarked_ = false;
};

/// A record server that follows the plan in each request's target.
class ScriptedServer {
 public:
  /// `onWhole` is called for each request whose last byte has come, before its response.
  using RequestHandler = std::function<void(const std::string& requestId)>;

  ScriptedServer(boost::asio::io_context& io, RequestHandler onWhole);
  ~ScriptedServer();
  ScriptedServer(const ScriptedServer&) = delete;
  ScriptedServer& operator=(const ScriptedServer&) = delete;

  boost::asio::ip::tcp::endpoint endpoint() const { return acceptor_.local_endpoint(); }
  /// Called with the id of each request whose head has come.
  RequestHandler onBegun;

 private:
  class Connection;
  void accept();
  boost::asio::io_context& io_;
  boost::asio::ip::tcp::acceptor acceptor_;
  RequestHandler onWhole_;
  std::vector<std::weak_ptr<Connection>> connections_;
};

/// What a client saw of its request.
struct ExchangeResult {
  std::string requestId;
  PeerClock::time_point lastByteWrittenAt{};  ///< of the request
  std::optional<PeerClock::time_point> firstByteAt, endedAt;
  unsigned status = 0;  ///< 0: no head of a response has come
  std::size_t bodyBytes = 0;
  bool isWhole = false;      ///< the response came to its end
  bool isCorrupted = false;  ///< the body differs from the record server's
};

/// A request of a client.
struct ExchangePlan {
  std::string requestId;
  std::string method = "POST", path = "/write";
  std::string headers;  ///< further header lines, each with its line end
  BodyPlan request;
  ServerPlan server;
  std::size_t readBytesPerSecond = 0;  ///< of the response; 0: as fast as it can
  bool closesAfterRequest = false;     ///< closes its connection as soon as the request is written
};

/// Sends one request on a new connection and records what becomes of it.
class ScriptedClient : public std::enable_shared_from_this<ScriptedClient> {
 public:
  static std::shared_ptr<ScriptedClient> send(boost::asio::io_context& io,
                                              const boost::asio::ip::tcp::endpoint& gateway,
                                              const ExchangePlan& plan);
  const ExchangeResult& result() const { return result_; }
  bool hasEnded() const { return result_.endedAt.has_value(); }
  void close();

 private:
  ScriptedClient(boost::asio::io_context& io, const ExchangePlan& plan);
  void connected();
  std::string headText() const;
  void read();
  void handleRead(boost::system::error_code error, std::size_t bytes);
  void checkBody(const std::string& piece);
  void end(bool isWhole);

  boost::asio::ip::tcp::socket socket_;
  boost::asio::steady_timer readTimer_;
  ExchangePlan plan_;
  ExchangeResult result_;
  boost::beast::flat_buffer buffer_;
  boost::beast::http::response_parser<gateway::IncrementalBody> parser_;
};

}  // namespace hollyrun::lab
