#include "gateway/management.hpp"

#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/read.hpp>
#include <boost/beast/http/string_body.hpp>
#include <utility>

#include "gateway/message_text.hpp"
#include "gateway/socket_io.hpp"

namespace hollyrun::gateway {
namespace {

namespace asio = boost::asio;
namespace http = boost::beast::http;
using boost::system::error_code;
using tcp = asio::ip::tcp;
using Clock = std::chrono::steady_clock;

constexpr std::uint32_t kMaxHeaderBytes = 8 << 10;
constexpr std::uint64_t kMaxBodyBytes = 4 << 10;  // no request needs a body
constexpr auto kSweepInterval = std::chrono::milliseconds(100);
constexpr auto kAcceptRetryDelay = std::chrono::milliseconds(20);

using Response = http::response<http::string_body>;

Response textResponse(http::status status, std::string body) {
  Response response{status, 11};
  response.set(http::field::content_type, "text/plain; charset=utf-8");
  response.set(http::field::cache_control, "no-store");
  response.body() = std::move(body);
  return response;
}

}  // namespace

class Management::Connection : public std::enable_shared_from_this<Connection> {
 public:
  Connection(Management& owner, tcp::socket socket) : owner_(&owner), socket_(std::move(socket)) {
    parser_.header_limit(kMaxHeaderBytes);
    parser_.body_limit(kMaxBodyBytes);
  }

  void start() {
    http::async_read(socket_, buffer_, parser_, [self = shared_from_this()](error_code ec, std::size_t) {
      if (!self->owner_)
        return;
      // The client has disconnected and gets no response.
      if (ec == http::error::end_of_stream || (ec && ec.category() == asio::error::get_system_category()))
        return self->close();
      self->respond(ec ? textResponse(http::status::bad_request, "no proper HTTP/1.1 call\n")
                       : self->route());
    });
  }

  void close() {
    if (!owner_)
      return;
    Management& owner = *std::exchange(owner_, nullptr);
    error_code ignored;
    socket_.close(ignored);
    owner.connections_.remove(shared_from_this());
  }

  bool isOverdue(Clock::time_point now) const { return now - openedAt_ > owner_->connectionLifetime_; }

 private:
  Response route() const {
    const auto& request = parser_.get();
    if (request.version() != 11 || request.count(http::field::host) != 1)
      return textResponse(http::status::bad_request, "no proper HTTP/1.1 call\n");
    const auto target = request.target().substr(0, request.target().find('?'));
    const bool isReadiness = target == "/ops/readiness";
    const bool isMetrics = target == "/metrics";
    std::string fleet;
    if (target == "/ops/fleet" && owner_->callbacks_.renderFleet)
      fleet = owner_->callbacks_.renderFleet();
    if (!isReadiness && !isMetrics && fleet.empty() && target != "/ops/stats")
      return textResponse(http::status::not_found, "no such call\n");
    if (request.method() != http::verb::get) {
      Response response = textResponse(http::status::method_not_allowed, "only GET\n");
      response.set(http::field::allow, "GET");
      return response;
    }
    if (!fleet.empty()) {
      Response response = textResponse(http::status::ok, std::move(fleet));
      response.set(http::field::content_type, "application/json");
      return response;
    }
    if (isMetrics) {
      Response response = textResponse(http::status::ok, owner_->callbacks_.renderMetrics());
      response.set(http::field::content_type, "text/plain; version=0.0.4; charset=utf-8");
      return response;
    }
    if (!isReadiness)
      return textResponse(http::status::ok, owner_->callbacks_.renderStatistics());
    return owner_->callbacks_.isReady() ? textResponse(http::status::ok, "ready\n")
                                        : textResponse(http::status::service_unavailable, "not ready\n");
  }

  void respond(Response response) {
    response_ = std::move(response);
    response_.keep_alive(false);
    response_.prepare_payload();
    serializedResponse_ = serialized(response_);
    writeAll(socket_, asio::buffer(serializedResponse_), [self = shared_from_this()](error_code ec) {
      if (!self->owner_)
        return;
      if (ec)
        return self->close();
      // Closing a socket with unread bytes resets the connection, and the reset may overtake the response.
      // The rest of the input is therefore read and discarded until the client closes.
      error_code ignored;
      self->socket_.shutdown(tcp::socket::shutdown_send, ignored);
      self->discard();
    });
  }

  void discard() {
    buffer_.clear();
    socket_.async_read_some(buffer_.prepare(kMaxHeaderBytes),
                            [self = shared_from_this()](error_code ec, std::size_t) {
                              if (!self->owner_)
                                return;
                              if (ec)
                                self->close();
                              else
                                self->discard();
                            });
  }

  Management* owner_;  // null after close()
  tcp::socket socket_;
  boost::beast::flat_buffer buffer_{kMaxHeaderBytes + kMaxBodyBytes};
  http::request_parser<http::string_body> parser_;
  Response response_;
  std::string serializedResponse_;  // the buffer of the pending write
  const Clock::time_point openedAt_ = Clock::now();
};

Management::Management(asio::io_context& io, const tcp::endpoint& listen, Callbacks callbacks,
                       std::chrono::milliseconds connectionLifetime)
    : io_(io),
      acceptor_(io, listen, true),
      callbacks_(std::move(callbacks)),
      connectionLifetime_(connectionLifetime),
      sweepTimer_(io),
      acceptRetryTimer_(io) {
  acceptor_.non_blocking(true);
  // Without this option Asio skips an aborted connection and blocks in accept() until the next one arrives.
  acceptor_.set_option(asio::socket_base::enable_connection_aborted(true));
  accept();
  closeOverdue();
}

Management::~Management() {
  while (!connections_.empty()) {
    closeOldest();
  }
}

void Management::accept() {
  acceptor_.async_wait(tcp::acceptor::wait_read, [this](error_code ec) {
    if (!ec)
      acceptPending();
  });
}

void Management::acceptPending() {
  for (;;) {
    error_code ec;
    tcp::socket socket(io_);
    acceptor_.accept(socket, ec);
    if (wouldBlock(ec))
      return accept();
    if (ec && !isLocalShortage(ec))
      return accept();  // the error concerns only the pending connection, which the kernel has dropped
    if (ec)
      return retryAcceptLater();
    if (connections_.size() >= kMaxConnections) {
      closeOldest();
    }
    socket.non_blocking(true, ec);
    connections_.push_back(std::make_shared<Connection>(*this, std::move(socket)));
    connections_.back()->start();
  }
}

// While no file descriptor is free the listener stays readable, so accepting again at once would be a busy
// loop.
void Management::retryAcceptLater() {
  if (!connections_.empty())
    closeOldest();
  acceptRetryTimer_.expires_after(kAcceptRetryDelay);
  acceptRetryTimer_.async_wait([this](error_code waitError) {
    if (!waitError)
      accept();
  });
}

void Management::closeOldest() {
  const auto oldest = connections_.front();  // a copy, since close() removes it from the list
  oldest->close();
}

void Management::closeOverdue() {
  const auto now = Clock::now();
  while (!connections_.empty() && connections_.front()->isOverdue(now)) {
    closeOldest();
  }
  sweepTimer_.expires_after(kSweepInterval);
  sweepTimer_.async_wait([this](error_code ec) {
    if (!ec)
      closeOverdue();
  });
}

}  // namespace hollyrun::gateway
