#include "lab/soak/scripted_peers.hpp"

#include <algorithm>
#include <boost/asio/buffer.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/http/error.hpp>
#include <limits>
#include <utility>

#include "gateway/chunked_encoding.hpp"
#include "lab/soak/peer_sockets.hpp"

namespace hollyrun::lab {
namespace {

namespace asio = boost::asio;
namespace http = boost::beast::http;
using asio::ip::tcp;
using boost::system::error_code;
using gateway::encodeChunk;
using namespace std::chrono_literals;

constexpr auto kReadInterval = 20ms;  // between the reads of a slow reader
constexpr std::size_t kReadSize = 64 << 10;

std::size_t bytesPerRead(std::size_t bytesPerSecond) {
  const std::size_t bytes = bytesPerSecond * static_cast<std::size_t>(kReadInterval.count()) / 1000;
  return bytesPerSecond == 0 ? kReadSize : std::clamp<std::size_t>(bytes, 1, kReadSize);
}

std::string framingHeader(const BodyPlan& plan) {
  switch (plan.framing) {
    case BodyFraming::length:
      return "Content-Length: " + std::to_string(plan.isEnded ? plan.bytes : 2 * plan.bytes) + "\r\n";
    case BodyFraming::chunked:
      return "Transfer-Encoding: chunked\r\n";
    case BodyFraming::close:
      return "Connection: close\r\n";
  }
  return "";
}

}  // namespace

// --- Bodies ----------------------------------------------------------------------------------------------

BodyWriter::BodyWriter(tcp::socket& socket, const BodyPlan& plan, std::uint64_t bodyKey,
                       std::shared_ptr<void> owner, EndHandler onEnd)
    : socket_(socket),
      plan_(plan),
      bodyKey_(bodyKey),
      owner_(std::move(owner)),
      onEnd_(std::move(onEnd)),
      pauseTimer_(socket.get_executor()) {}

void BodyWriter::start(std::string head) {
  outgoing_ = std::move(head) + nextPiece();
  writeNext();
}

std::string BodyWriter::nextPiece() {
  const std::size_t bytes = std::min(plan_.pieceBytes, plan_.bytes - written_);
  std::string piece = bodyText(bodyKey_, written_, bytes);
  written_ += bytes;
  const bool isChunked = plan_.framing == BodyFraming::chunked;
  if (isChunked && !piece.empty())
    piece = encodeChunk(piece);
  if (written_ == plan_.bytes && plan_.isEnded && isChunked)
    piece += encodeChunk({});
  return piece;
}

void BodyWriter::writeNext() {
  asio::async_write(socket_, asio::buffer(outgoing_),
                    [self = shared_from_this()](error_code error, std::size_t) {
                      if (error)
                        return self->onEnd_(false);
                      if (self->written_ == self->plan_.bytes)
                        return self->plan_.isEnded ? self->onEnd_(true) : self->staySilent();
                      self->pauseTimer_.expires_after(self->plan_.pause);
                      self->pauseTimer_.async_wait([self](error_code) {
                        self->outgoing_ = self->nextPiece();
                        self->writeNext();
                      });
                    });
}

// Keeps the connection open until the other side closes it.
void BodyWriter::staySilent() {
  socket_.async_wait(tcp::socket::wait_read,
                     [self = shared_from_this()](error_code) { self->onEnd_(false); });
}

// --- The record server -----------------------------------------------------------------------------------

class ScriptedServer::Connection : public std::enable_shared_from_this<Connection> {
 public:
  Connection(ScriptedServer& server, tcp::socket socket)
      : server_(server), socket_(std::move(socket)), readTimer_(server.io_) {
    resetParser();
  }

  void read() {
    socket_.async_read_some(buffer_.prepare(bytesPerRead(plan_.readBytesPerSecond)),
                            [self = shared_from_this()](error_code error, std::size_t bytes) {
                              if (error)
                                return self->close();
                              self->buffer_.commit(bytes);
                              self->parse();
                            });
  }
  void close() {
    error_code ignored;
    socket_.close(ignored);
  }

 private:
  void resetParser() {
    parser_.emplace();
    parser_->eager(true);
    parser_->body_limit(std::numeric_limits<std::uint64_t>::max());
    parser_->header_limit(1 << 20);
    isBegun_ = false;
  }

  void parse() {
    while (buffer_.size() > 0 && !parser_->is_done()) {
      error_code error;
      buffer_.consume(parser_->put(buffer_.data(), error));
      parser_->get().body().clear();
      if (error == http::error::need_more)
        break;
      if (error)
        return close();
    }
    if (parser_->is_header_done() && !std::exchange(isBegun_, true))
      begin();
    if (parser_->is_done())
      return answer();
    if (plan_.readBytesPerSecond == 0)
      return read();
    readTimer_.expires_after(kReadInterval);
    readTimer_.async_wait([self = shared_from_this()](error_code) { self->read(); });
  }

  void begin() {
    const std::string target = parser_->get().target().to_string();
    plan_ = serverPlanOf(target);
    requestId_ = parser_->get()["X-Request-Id"].to_string();
    if (server_.onBegun)
      server_.onBegun(requestId_);
  }

  void answer() {
    server_.onWhole_(requestId_);
    const bool closes = plan_.response.framing == BodyFraming::close;
    const auto writer =
        std::make_shared<BodyWriter>(socket_, plan_.response, bodyKeyOf(requestId_), shared_from_this(),
                                     [self = shared_from_this(), closes](bool isComplete) {
                                       if (!isComplete || closes)
                                         return self->close();
                                       self->plan_ = {};
                                       self->resetParser();
                                       self->parse();
                                     });
    std::string head = "HTTP/1.1 200 OK\r\n" + framingHeader(plan_.response);
    for (std::size_t i = 0; i < plan_.shortFields; ++i)
      head += "b:\r\n";
    writer->start(head + "\r\n");
  }

  ScriptedServer& server_;
  tcp::socket socket_;
  asio::steady_timer readTimer_;
  boost::beast::flat_buffer buffer_;
  std::optional<http::request_parser<gateway::IncrementalBody>> parser_;
  ServerPlan plan_;
  std::string requestId_;
  bool isBegun_ = false;
};

ScriptedServer::ScriptedServer(asio::io_context& io, RequestHandler onWhole)
    : io_(io), acceptor_(io), onWhole_(std::move(onWhole)) {
  acceptor_.open(tcp::v4());
  acceptor_.set_option(asio::socket_base::receive_buffer_size(kSmallReceiveBuffer));
  acceptor_.bind({asio::ip::address_v4::loopback(), 0});
  acceptor_.listen();
  accept();
}

ScriptedServer::~ScriptedServer() {
  for (const auto& weak : connections_)
    if (const auto connection = weak.lock())
      connection->close();
}

void ScriptedServer::accept() {
  acceptor_.async_accept([this](error_code error, tcp::socket socket) {
    if (error == asio::error::operation_aborted)
      return;
    if (!error) {
      error_code ignored;
      socket.set_option(tcp::no_delay(true), ignored);
      const auto connection = std::make_shared<Connection>(*this, std::move(socket));
      std::erase_if(connections_, [](const auto& weak) { return weak.expired(); });
      connections_.push_back(connection);
      connection->read();
    }
    accept();
  });
}

// --- Clients ---------------------------------------------------------------------------------------------

ScriptedClient::ScriptedClient(asio::io_context& io, const ExchangePlan& plan)
    : socket_(io), readTimer_(io), plan_(plan) {
  result_.requestId = plan.requestId;
  parser_.eager(true);
  parser_.body_limit(std::numeric_limits<std::uint64_t>::max());
}

std::shared_ptr<ScriptedClient> ScriptedClient::send(asio::io_context& io, const tcp::endpoint& gateway,
                                                     const ExchangePlan& plan) {
  const std::shared_ptr<ScriptedClient> client(new ScriptedClient(io, plan));
  error_code ignored;
  client->socket_.open(gateway.protocol(), ignored);
  if (plan.readBytesPerSecond > 0)
    client->socket_.set_option(asio::socket_base::receive_buffer_size(kSmallReceiveBuffer), ignored);
  client->socket_.async_connect(gateway, [client](error_code error) {
    if (error)
      return client->end(false);
    client->connected();
  });
  return client;
}

std::string ScriptedClient::headText() const {
  std::string text = plan_.method + " " + plan_.path + queryOf(plan_.server) +
                     " HTTP/1.1\r\nHost: x\r\nX-Request-Id: " + plan_.requestId + "\r\n" + plan_.headers;
  if (plan_.method != "GET")
    text += framingHeader(plan_.request);
  return text + "\r\n";
}

void ScriptedClient::connected() {
  error_code ignored;
  socket_.set_option(tcp::no_delay(true), ignored);
  const auto writer =
      std::make_shared<BodyWriter>(socket_, plan_.request, bodyKeyOf(plan_.requestId), shared_from_this(),
                                   [self = shared_from_this()](bool isComplete) {
                                     self->result_.lastByteWrittenAt = PeerClock::now();
                                     if (isComplete && self->plan_.closesAfterRequest)
                                       self->close();
                                   });
  result_.lastByteWrittenAt = PeerClock::now();
  writer->start(headText());
  read();
}

void ScriptedClient::read() {
  socket_.async_read_some(
      buffer_.prepare(bytesPerRead(plan_.readBytesPerSecond)),
      [self = shared_from_this()](error_code error, std::size_t bytes) { self->handleRead(error, bytes); });
}

void ScriptedClient::handleRead(error_code error, std::size_t bytes) {
  if (hasEnded())
    return;
  buffer_.commit(bytes);
  if (bytes > 0 && !result_.firstByteAt)
    result_.firstByteAt = PeerClock::now();
  while (!error && buffer_.size() > 0 && !parser_.is_done()) {
    error_code parseError;
    buffer_.consume(parser_.put(buffer_.data(), parseError));
    if (parseError == http::error::need_more)
      break;
    if (parseError)
      return end(false);
  }
  if (error == asio::error::eof && parser_.is_header_done() && parser_.need_eof()) {
    error_code parseError;
    parser_.put_eof(parseError);
  }
  if (parser_.is_header_done()) {
    result_.status = parser_.get().result_int();
    checkBody(std::exchange(parser_.get().body(), {}));
  }
  if (parser_.is_done())
    return end(true);
  if (error)
    return end(false);
  if (plan_.readBytesPerSecond == 0)
    return read();
  readTimer_.expires_after(kReadInterval);
  readTimer_.async_wait([self = shared_from_this()](error_code) {
    if (!self->hasEnded())
      self->read();
  });
}

void ScriptedClient::checkBody(const std::string& piece) {
  if (result_.status != 200)
    return;
  const std::uint64_t key = bodyKeyOf(plan_.requestId);
  for (const char c : piece)
    if (c != bodyByte(key, result_.bodyBytes++))
      result_.isCorrupted = true;
}

void ScriptedClient::end(bool isWhole) {
  result_.isWhole = isWhole;
  result_.endedAt = PeerClock::now();
  close();
}

void ScriptedClient::close() {
  error_code ignored;
  socket_.close(ignored);
  readTimer_.cancel();
  if (!result_.endedAt)
    result_.endedAt = PeerClock::now();
}

}  // namespace hollyrun::lab
