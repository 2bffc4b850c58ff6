#include "gateway/discovery_call.hpp"

#include <array>
#include <boost/beast/http/empty_body.hpp>
#include <boost/beast/http/read.hpp>
#include <nlohmann/json.hpp>
#include <stdexcept>
#include <utility>

#include "gateway/endpoint_text.hpp"
#include "gateway/message_text.hpp"
#include "gateway/socket_io.hpp"

namespace hollyrun::gateway {
namespace {

namespace asio = boost::asio;
namespace http = boost::beast::http;
using tcp = asio::ip::tcp;
using boost::system::error_code;

constexpr std::uint64_t kMaxListBytes = 4 << 20;  // Enough for about ten thousand endpoints.

constexpr std::array<std::string_view, 3> kTypeNames = {"snapshot", "first_poll", "poll"};
constexpr std::array<std::string_view, kDiscoveryCallResults> kResultNames = {
    "list",      "local_error",  "connect_failed", "connect_timeout",  "connection_lost",
    "no_answer", "error_status", "invalid_list",   "unexpected_delta", "abandoned"};

DiscoveryCallOutcome parseResponse(const http::response<http::string_body>& response) {
  if (response.result() != http::status::ok)
    return {DiscoveryCallResult::errorStatus, std::to_string(response.result_int()), {}};
  const auto json = nlohmann::json::parse(response.body(), nullptr, false);
  if (json.is_discarded())
    return {DiscoveryCallResult::invalidList, "not JSON", {}};
  try {
    return {DiscoveryCallResult::list, {}, parseEndpointList(json)};
  } catch (const std::invalid_argument& error) {
    return {DiscoveryCallResult::invalidList, error.what(), {}};
  }
}

}  // namespace

std::string_view nameOf(DiscoveryCallType type) {
  return kTypeNames[static_cast<std::size_t>(type)];
}

std::string_view nameOf(DiscoveryCallResult result) {
  return kResultNames[static_cast<std::size_t>(result)];
}

DiscoveryCall::DiscoveryCall(asio::io_context& io, const tcp::endpoint& server,
                             DiscoveryCallObserver& observer)
    : server_(server), observer_(&observer), socket_(io), timer_(io) {}

void DiscoveryCall::start(Request request) {
  request_ = std::move(request);
  startedAt_ = Clock::now();
  parser_.emplace();
  parser_->body_limit(kMaxListBytes);
  http::request<http::empty_body> message{http::verb::get, request_.target, 11};
  message.set(http::field::host, textOf(server_));
  serializedRequest_ = serialized(message);
  if (!socket_.is_open())
    return connect();
  limitTime(request_.timeout, DiscoveryCallResult::noAnswer);
  write();
}

void DiscoveryCall::close() {
  observer_ = nullptr;
  timer_.cancel();
  error_code ignored;
  socket_.close(ignored);
}

// Without a time limit, a server that stops responding would block the watch forever.
void DiscoveryCall::limitTime(std::chrono::milliseconds timeout, DiscoveryCallResult result) {
  timer_.expires_at(startedAt_ + timeout);
  timer_.async_wait([self = shared_from_this(), result, number = ++timeLimitNumber_](error_code error) {
    if (!error && self->observer_ && number == self->timeLimitNumber_)
      self->complete({result, {}, {}});
  });
}

void DiscoveryCall::connect() {
  limitTime(request_.connectTimeout, DiscoveryCallResult::connectTimeout);
  socket_.async_connect(server_, [self = shared_from_this()](error_code error) {
    if (!self->observer_)
      return;
    if (error)
      return self->fail(error, DiscoveryCallResult::connectFailed);
    error_code ignored;
    self->socket_.set_option(tcp::no_delay(true), ignored);
    self->socket_.non_blocking(true, ignored);
    self->limitTime(self->request_.timeout, DiscoveryCallResult::noAnswer);
    self->write();
  });
}

void DiscoveryCall::write() {
  writeAll(socket_, asio::buffer(serializedRequest_), [self = shared_from_this()](error_code error) {
    if (!self->observer_)
      return;
    if (error)
      return self->fail(error, DiscoveryCallResult::connectionLost);
    self->readResponse();
  });
}

void DiscoveryCall::readResponse() {
  http::async_read(socket_, buffer_, *parser_, [self = shared_from_this()](error_code error, std::size_t) {
    if (self->observer_)
      self->handleResponse(error);
  });
}

void DiscoveryCall::handleResponse(const error_code& error) {
  if (error)
    return fail(error, DiscoveryCallResult::connectionLost);
  complete(parseResponse(parser_->get()));
}

void DiscoveryCall::fail(const error_code& error, DiscoveryCallResult result) {
  complete({isLocalShortage(error) ? DiscoveryCallResult::localError : result, error.message(), {}});
}

void DiscoveryCall::complete(DiscoveryCallOutcome outcome) {
  ++timeLimitNumber_;
  timer_.cancel();
  error_code ignored;
  if (outcome.result != DiscoveryCallResult::list || !parser_->get().keep_alive())
    socket_.close(ignored);
  observer_->onCallComplete(*this, std::move(outcome));
}

}  // namespace hollyrun::gateway
