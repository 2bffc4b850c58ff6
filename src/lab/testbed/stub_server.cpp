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

constexpr int kMaxPortTries = 20;  // a port that is free at one address may be in use at another
constexpr std::uint64_t kMaxBodyBytes = 1 << 20;
constexpr auto kReportInterval = std::chrono::seconds(1);

std::uint16_t freePort(asio::io_context& io, std::uint32_t address) {
  return tcp::acceptor(io, {asio::ip::address_v4(address), 0}).local_endpoint().port();
}

}  // namespace

struct StubServers::Shared {
  std::chrono::nanoseconds responseDelay{};
  std::uint64_t requestsAnswered = 0;
};

// A connection. It serves one request at a time, which suffices because the gateway does not pipeline.
class StubServers::Connection : public std::enable_shared_from_this<Connection> {
 public:
  Connection(tcp::socket socket, std::shared_ptr<Shared> shared)
      : socket_(std::move(socket)), responseTimer_(socket_.get_executor()), shared_(std::move(shared)) {
    error_code ignored;
    socket_.set_option(tcp::no_delay(true), ignored);
  }

  void read() {
    parser_.emplace();
    parser_->body_limit(kMaxBodyBytes);
    http::async_read(socket_, buffer_, *parser_, [self = shared_from_this()](error_code ec, std::size_t) {
      if (!ec)
        self->scheduleResponse();
    });
  }

 private:
  void scheduleResponse() {
    if (shared_->responseDelay.count() <= 0)
      return respond();
    responseTimer_.expires_after(shared_->responseDelay);
    responseTimer_.async_wait([self = shared_from_this()](error_code ec) {
      if (!ec)
        self->respond();
    });
  }
  void respond() {
    const auto& request = parser_->get();
    response_ = {http::status::ok, 11};
    response_.set(http::field::content_type, "application/json");
    response_.body() = "{\"id\":\"" + request["X-Request-Id"].to_string() + "\"}\n";
    response_.keep_alive(request.keep_alive());
    response_.prepare_payload();
    ++shared_->requestsAnswered;
    http::async_write(socket_, response_, [self = shared_from_this()](error_code ec, std::size_t) {
      if (!ec && self->response_.keep_alive())
        self->read();
    });
  }

  tcp::socket socket_;
  asio::steady_timer responseTimer_;
  std::shared_ptr<Shared> shared_;
  boost::beast::flat_buffer buffer_;
  std::optional<http::request_parser<http::string_body>> parser_;
  http::response<http::string_body> response_;
};

StubServers::StubServers(asio::io_context& io, const StubServerPlan& plan)
    : io_(io), shared_(std::make_shared<Shared>()) {
  shared_->responseDelay = std::chrono::nanoseconds(static_cast<std::int64_t>(plan.answerMs * 1e6));
  bool listening = false;
  for (int i = 0; i < kMaxPortTries && !listening; ++i)
    listening = listenAt(freePort(io, plan.firstAddress), plan);
  if (!listening)
    throw boost::system::system_error(make_error_code(boost::system::errc::address_in_use), "stub servers");
  for (tcp::acceptor& acceptor : acceptors_)
    accept(acceptor);
}

StubServers::~StubServers() = default;

std::uint64_t StubServers::requestsAnswered() const {
  return shared_->requestsAnswered;
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
    StubReport stubReport;
    stubReport.port = servers.port();
    stubReport.lagMs = lag.maxLagMs();
    lag.reset();
    std::cout << textOf(stubReport) << std::endl;
    timer.expires_after(kReportInterval);
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
