#include "lab/testbed/stub_server.hpp"

#include <boost/asio/signal_set.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http.hpp>
#include <chrono>
#include <functional>
#include <iostream>
#include <optional>

#include "lab/testbed/lag_meter.hpp"
#include "lab/testbed/stub_report.hpp"

namespace hollyrun::lab {

namespace asio = boost::asio;
namespace http = boost::beast::http;
using asio::ip::tcp;
using boost::system::error_code;

namespace {

constexpr int kPortsTried = 20;  // one that is free at one address may be taken at another
constexpr std::uint64_t kBodyMost = 1 << 20;
constexpr auto kReportEvery = std::chrono::seconds(1);

std::uint16_t freePort(asio::io_context& io, std::uint32_t address) {
  return tcp::acceptor(io, {asio::ip::address_v4(address), 0}).local_endpoint().port();
}

}  // namespace

struct StubServers::Shared {
  std::chrono::nanoseconds answerAfter{};
  std::uint64_t answered = 0;
};

// One request at a time, as a gateway sends them.
class StubServers::Connection : public std::enable_shared_from_this<Connection> {
 public:
  Connection(tcp::socket socket, std::shared_ptr<Shared> shared)
      : socket_(std::move(socket)), timer_(socket_.get_executor()), shared_(std::move(shared)) {
    error_code ignored;
    socket_.set_option(tcp::no_delay(true), ignored);
  }

  void read() {
    parser_.emplace();
    parser_->body_limit(kBodyMost);
    http::async_read(socket_, buffer_, *parser_, [self = shared_from_this()](error_code ec, std::size_t) {
      if (!ec)
        self->wait();
    });
  }

 private:
  void wait() {
    if (shared_->answerAfter.count() <= 0)
      return answer();
    timer_.expires_after(shared_->answerAfter);
    timer_.async_wait([self = shared_from_this()](error_code ec) {
      if (!ec)
        self->answer();
    });
  }
  void answer() {
    const auto& request = parser_->get();
    answer_ = {http::status::ok, 11};
    answer_.set(http::field::content_type, "application/json");
    answer_.body() = "{\"id\":\"" + request["X-Request-Id"].to_string() + "\"}\n";
    answer_.keep_alive(request.keep_alive());
    answer_.prepare_payload();
    ++shared_->answered;
    http::async_write(socket_, answer_, [self = shared_from_this()](error_code ec, std::size_t) {
      if (!ec && self->answer_.keep_alive())
        self->read();
    });
  }

  tcp::socket socket_;
  asio::steady_timer timer_;
  std::shared_ptr<Shared> shared_;
  boost::beast::flat_buffer buffer_;
  std::optional<http::request_parser<http::string_body>> parser_;
  http::response<http::string_body> answer_;
};

StubServers::StubServers(asio::io_context& io, const StubServerPlan& plan)
    : io_(io), shared_(std::make_shared<Shared>()) {
  shared_->answerAfter = std::chrono::nanoseconds(static_cast<std::int64_t>(plan.answerMs * 1e6));
  bool free = false;
  for (int i = 0; i < kPortsTried && !free; ++i)
    free = listenAt(freePort(io, plan.firstAddress), plan);
  if (!free)
    throw boost::system::system_error(make_error_code(boost::system::errc::address_in_use), "stub servers");
  for (tcp::acceptor& acceptor : acceptors_)
    accept(acceptor);
}

StubServers::~StubServers() = default;

std::uint64_t StubServers::answered() const {
  return shared_->answered;
}

bool StubServers::listenAt(std::uint16_t port, const StubServerPlan& plan) {
  acceptors_.clear();
  acceptors_.reserve(plan.count);
  for (std::size_t i = 0; i < plan.count; ++i) {
    tcp::acceptor& acceptor = acceptors_.emplace_back(io_, tcp::v4());
    acceptor.set_option(tcp::acceptor::reuse_address(true));
    error_code ec;
    acceptor.bind(stubServerEndpoint(plan.firstAddress, i, port), ec);
    if (ec == asio::error::address_in_use)
      return false;
    if (ec)
      throw boost::system::system_error(ec, "stub servers");
    acceptor.listen();
  }
  port_ = port;
  return true;
}

void StubServers::accept(tcp::acceptor& acceptor) {
  acceptor.async_accept([this, &acceptor](error_code ec, tcp::socket socket) {
    if (ec == asio::error::operation_aborted)
      return;
    if (!ec)
      std::make_shared<Connection>(std::move(socket), shared_)->read();
    accept(acceptor);
  });
}

tcp::endpoint stubServerEndpoint(std::uint32_t firstAddress, std::size_t number, std::uint16_t port) {
  return {asio::ip::address_v4(firstAddress + static_cast<std::uint32_t>(number)), port};
}

int runStubServers(const StubServerPlan& plan) {
  asio::io_context io(1);
  StubServers servers(io, plan);
  asio::signal_set stops(io, SIGTERM, SIGINT);
  stops.async_wait([&io](error_code, int) { io.stop(); });
  LagMeter lag(io);
  asio::steady_timer timer(io);
  std::function<void()> report = [&] {
    StubReport now;
    now.port = servers.port();
    now.lagMs = lag.maxLagMs();
    lag.reset();
    std::cout << textOf(now) << std::endl;
    timer.expires_after(kReportEvery);
    timer.async_wait([&](error_code ec) {
      if (!ec)
        report();
    });
  };
  report();
  io.run();
  return 0;
}

}  // namespace hollyrun::lab
