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

constexpr std::uint32_t kHeadLimit = 8 << 10;
constexpr std::uint64_t kCallBody = 4 << 10;  // no call needs one
constexpr auto kSweep = std::chrono::milliseconds(100);
constexpr auto kAcceptAgain = std::chrono::milliseconds(20);  // when no descriptor was left

using Answer = http::response<http::string_body>;

Answer text(http::status status, std::string body) {
  Answer answer{status, 11};
  answer.set(http::field::content_type, "text/plain; charset=utf-8");
  answer.set(http::field::cache_control, "no-store");
  answer.body() = std::move(body);
  return answer;
}

}  // namespace

class Management::Call : public std::enable_shared_from_this<Call> {
 public:
  Call(Management& owner, tcp::socket socket) : owner_(&owner), socket_(std::move(socket)) {
    parser_.header_limit(kHeadLimit);
    parser_.body_limit(kCallBody);
  }

  void start() {
    http::async_read(socket_, buffer_, parser_, [self = shared_from_this()](error_code ec, std::size_t) {
      if (!self->owner_)
        return;
      // Nothing to tell to one that left.
      if (ec == http::error::end_of_stream || (ec && ec.category() == asio::error::get_system_category()))
        return self->close();
      self->answer(ec ? text(http::status::bad_request, "no proper HTTP/1.1 call\n") : self->decide());
    });
  }

  void close() {
    if (!owner_)
      return;
    Management& owner = *std::exchange(owner_, nullptr);
    error_code ignored;
    socket_.close(ignored);
    owner.calls_.remove(shared_from_this());
  }

  bool overdue(Clock::time_point now) const { return now - since_ > owner_->whole_; }

 private:
  Answer decide() const {
    const auto& call = parser_.get();
    if (call.version() != 11 || call.count(http::field::host) != 1)
      return text(http::status::bad_request, "no proper HTTP/1.1 call\n");
    const auto target = call.target().substr(0, call.target().find('?'));
    const bool readiness = target == "/ops/readiness";
    const bool metrics = target == "/metrics";
    std::string fleet;
    if (target == "/ops/fleet" && owner_->callbacks_.fleet)
      fleet = owner_->callbacks_.fleet();
    if (!readiness && !metrics && fleet.empty() && target != "/ops/stats")
      return text(http::status::not_found, "no such call\n");
    if (call.method() != http::verb::get) {
      Answer answer = text(http::status::method_not_allowed, "only GET\n");
      answer.set(http::field::allow, "GET");
      return answer;
    }
    if (!fleet.empty()) {
      Answer answer = text(http::status::ok, std::move(fleet));
      answer.set(http::field::content_type, "application/json");
      return answer;
    }
    if (metrics) {
      Answer answer = text(http::status::ok, owner_->callbacks_.metrics());
      answer.set(http::field::content_type, "text/plain; version=0.0.4; charset=utf-8");
      return answer;
    }
    if (!readiness)
      return text(http::status::ok, owner_->callbacks_.stats());
    return owner_->callbacks_.ready() ? text(http::status::ok, "ready\n")
                                      : text(http::status::service_unavailable, "not ready\n");
  }

  void answer(Answer answer) {
    answer_ = std::move(answer);
    answer_.keep_alive(false);
    answer_.prepare_payload();
    text_ = serialized(answer_);
    writeAll(socket_, asio::buffer(text_), [self = shared_from_this()](error_code ec) {
      if (!self->owner_)
        return;
      if (ec)
        return self->close();
      // Danger: closed with bytes unread, the connection is reset, and that may overtake the answer.
      error_code ignored;
      self->socket_.shutdown(tcp::socket::shutdown_send, ignored);
      self->discard();
    });
  }

  void discard() {
    buffer_.clear();
    socket_.async_read_some(buffer_.prepare(kHeadLimit),
                            [self = shared_from_this()](error_code ec, std::size_t) {
                              if (!self->owner_)
                                return;
                              if (ec)
                                self->close();
                              else
                                self->discard();
                            });
  }

  Management* owner_;  // null once closed
  tcp::socket socket_;
  boost::beast::flat_buffer buffer_{kHeadLimit + kCallBody};
  http::request_parser<http::string_body> parser_;
  Answer answer_;
  std::string text_;  // of the answer, being written
  const Clock::time_point since_ = Clock::now();
};

Management::Management(asio::io_context& io, const tcp::endpoint& listen, Callbacks callbacks,
                       std::chrono::milliseconds whole)
    : io_(io),
      acceptor_(io, listen, true),
      callbacks_(std::move(callbacks)),
      whole_(whole),
      sweeper_(io),
      again_(io) {
  acceptor_.non_blocking(true);
  // Danger: without it Asio takes an aborted connection for a reason to wait, in this call, for the next one.
  acceptor_.set_option(asio::socket_base::enable_connection_aborted(true));
  accept();
  sweep();
}

Management::~Management() {
  while (!calls_.empty()) {
    const auto call = calls_.front();
    call->close();
  }
}

void Management::accept() {
  acceptor_.async_wait(tcp::acceptor::wait_read, [this](error_code ec) {
    if (!ec)
      takeWaiting();
  });
}

void Management::takeWaiting() {
  for (;;) {
    error_code ec;
    tcp::socket socket(io_);
    acceptor_.accept(socket, ec);
    if (wouldBlock(ec))
      return accept();
    if (ec && !isLocalShortage(ec))
      return accept();  // of the connection that waited first, which is gone
    if (ec) {  // Danger: with no descriptor left the listener stays readable, and the loop would spin.
      if (!calls_.empty()) {
        const auto oldest = calls_.front();
        oldest->close();
      }
      again_.expires_after(kAcceptAgain);
      return again_.async_wait([this](error_code waitError) {
        if (!waitError)
          accept();
      });
    }
    if (calls_.size() >= kConnections) {
      const auto oldest = calls_.front();
      oldest->close();
    }
    socket.non_blocking(true, ec);
    calls_.push_back(std::make_shared<Call>(*this, std::move(socket)));
    calls_.back()->start();
  }
}

void Management::sweep() {
  const auto now = Clock::now();
  while (!calls_.empty() && calls_.front()->overdue(now)) {
    const auto oldest = calls_.front();
    oldest->close();
  }
  sweeper_.expires_after(kSweep);
  sweeper_.async_wait([this](error_code ec) {
    if (!ec)
      sweep();
  });
}

}  // namespace hollyrun::gateway
