#include "lab/soak/slow_crowd.hpp"

#include <algorithm>
#include <array>
#include <boost/asio/buffer.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/write.hpp>
#include <utility>

#include "lab/soak/peer_sockets.hpp"

namespace hollyrun::lab {
namespace {

namespace asio = boost::asio;
using asio::ip::tcp;
using boost::system::error_code;
using namespace std::chrono_literals;

constexpr std::size_t kReadSize = 64 << 10;
constexpr std::size_t kStoppedHeadBytes = 15'000;
constexpr std::size_t kMostShortFields = 3'600;
constexpr std::size_t kManyShortFields = 1'800;
constexpr std::size_t kResponseFields = 1'500;
constexpr std::size_t kPipelinedFields = 300, kPipelinedFieldRequests = 40;
constexpr std::size_t kBufferedResponse = 60'000;
constexpr std::size_t kLargeBody = 400'000;
constexpr auto kNextRequestDelay = 500ms;
// Of a record server, in the middle of its response.
constexpr auto kServerPause = 400ms;

// Whether the client reads its responses and sends its next request once one has come.
bool readsResponses(CrowdKind kind) {
  return kind == CrowdKind::servedShortFields || kind == CrowdKind::responseFields;
}

bool sendsExchange(CrowdKind kind) {
  return kind == CrowdKind::slowBody || kind == CrowdKind::slowResponse;
}

}  // namespace

const char* nameOf(CrowdKind kind) {
  static constexpr const char* kNames[] = {
      "Idle",           "StoppedHead",    "ShortFields",    "StoppedBody",  "StoppedChunks",
      "SlowBody",       "Pipelined",      "UnreadResponse", "SlowResponse", "ServedShortFields",
      "UnreadBuffered", "ResponseFields", "PipelinedFields"};
  return kNames[static_cast<std::size_t>(kind)];
}

struct SlowCrowd::Member {
  Member(asio::io_context& io, CrowdKind memberKind)
      : kind(memberKind), socket(io), visitTimer(io), requestTimer(io) {}

  void leave() {
    ++visit;
    isConnected = false;
    requestTimer.cancel();
    if (exchange)
      std::exchange(exchange, nullptr)->close();
    resetSocket(socket);
  }

  CrowdKind kind;
  tcp::socket socket;
  asio::steady_timer visitTimer, requestTimer;
  std::shared_ptr<ScriptedClient> exchange;
  std::size_t visit = 0;  // Handlers of earlier visits do nothing; after the end of the crowd, all.
  bool isConnected = false;
};

SlowCrowd::SlowCrowd(asio::io_context& io, tcp::endpoint gateway, std::string idPrefix)
    : io_(io), gateway_(std::move(gateway)), idPrefix_(std::move(idPrefix)) {}

SlowCrowd::~SlowCrowd() {
  for (const auto& member : members_) {
    member->leave();
    member->visitTimer.cancel();
  }
}

std::size_t SlowCrowd::connected() const {
  return static_cast<std::size_t>(
      std::ranges::count_if(members_, [](const auto& member) { return member->isConnected; }));
}

std::string SlowCrowd::newId() {
  const std::string id = idPrefix_ + std::to_string(++requests_);
  if (onRequest)
    onRequest(id);
  return id;
}

void SlowCrowd::arrive(CrowdKind kind, std::size_t clients) {
  for (std::size_t i = 0; i < clients; ++i) {
    members_.push_back(std::make_shared<Member>(io_, kind));
    if (sendsExchange(kind))
      startExchange(members_.back());
    else
      connectMember(members_.back());
  }
}

// --- One client ------------------------------------------------------------------------------------------

void SlowCrowd::startExchange(const std::shared_ptr<Member>& member) {
  member->exchange = ScriptedClient::send(io_, gateway_, slowExchange(member->kind));
  leaveLater(member);
}

void SlowCrowd::connectMember(const std::shared_ptr<Member>& member) {
  error_code ignored;
  member->socket = tcp::socket(io_);
  member->socket.open(gateway_.protocol(), ignored);
  if (member->kind == CrowdKind::unreadResponse || member->kind == CrowdKind::unreadBuffered)
    member->socket.set_option(asio::socket_base::receive_buffer_size(kSmallReceiveBuffer), ignored);
  member->socket.async_connect(gateway_, [this, member, visit = member->visit](error_code error) {
    if (visit != member->visit)
      return;
    if (error)
      return returnLater(member);
    member->isConnected = true;
    sendText(member);
    if (readsResponses(member->kind))
      readAndDiscard(member);
    leaveLater(member);
  });
}

void SlowCrowd::sendText(const std::shared_ptr<Member>& member) {
  const auto text = std::make_shared<std::string>(textFor(member->kind));
  asio::async_write(member->socket, asio::buffer(*text), [member, text](error_code, std::size_t) {});
}

void SlowCrowd::readAndDiscard(const std::shared_ptr<Member>& member) {
  static std::array<char, kReadSize> discarded;
  member->socket.async_read_some(
      asio::buffer(discarded), [this, member, visit = member->visit](error_code error, std::size_t) {
        if (error || visit != member->visit)
          return;
        member->requestTimer.expires_after(kNextRequestDelay);
        member->requestTimer.async_wait([this, member, visit](error_code waitError) {
          if (!waitError && visit == member->visit)
            sendText(member);
        });
        readAndDiscard(member);
      });
}

void SlowCrowd::leaveLater(const std::shared_ptr<Member>& member) {
  if (!visits)
    return;
  std::uniform_int_distribution<std::chrono::milliseconds::rep> stay(visits->shortestStay.count(),
                                                                     visits->longestStay.count());
  member->visitTimer.expires_after(std::chrono::milliseconds(stay(random_)));
  member->visitTimer.async_wait([this, member, visit = member->visit](error_code error) {
    if (error || visit != member->visit)
      return;
    member->leave();
    returnLater(member);
  });
}

void SlowCrowd::returnLater(const std::shared_ptr<Member>& member) {
  if (!visits)
    return;
  member->visitTimer.expires_after(visits->absence);
  member->visitTimer.async_wait([this, member, visit = member->visit](error_code error) {
    if (error || visit != member->visit)
      return;
    if (sendsExchange(member->kind))
      startExchange(member);
    else
      connectMember(member);
  });
}

// --- What it sends ---------------------------------------------------------------------------------------

ExchangePlan SlowCrowd::slowExchange(CrowdKind kind) {
  ExchangePlan plan;
  plan.requestId = newId();
  if (kind == CrowdKind::slowBody) {
    plan.request = {BodyFraming::chunked, kLargeBody / 2, 6'400, 100ms, true};
    return plan;
  }
  plan.method = "GET";
  plan.path = "/read";
  plan.server.response = {BodyFraming::chunked, kLargeBody / 2, kLargeBody / 2, 0ms, true};
  plan.readBytesPerSecond = 64'000;
  return plan;
}

std::string SlowCrowd::getRequest(const ServerPlan& plan, std::size_t shortFields) {
  std::string text =
      "GET /read" + queryOf(plan) + " HTTP/1.1\r\nHost: x\r\nX-Request-Id: " + newId() + "\r\n";
  for (std::size_t i = 0; i < shortFields; ++i)
    text += "a:\r\n";
  return text + "\r\n";
}

std::string SlowCrowd::textFor(CrowdKind kind) {
  const std::string post = "POST /write HTTP/1.1\r\nHost: x\r\nX-Request-Id: ";
  ServerPlan plan;
  switch (kind) {
    case CrowdKind::stoppedHead:
      return post + "stopped\r\nX-Long: " + std::string(kStoppedHeadBytes, 'x');
    case CrowdKind::shortFields:
      // The record server never ends its small response, so that the requests stay in progress.
      plan.response = {BodyFraming::length, 10, 10, 0ms, false};
      return getRequest(plan, kMostShortFields);
    case CrowdKind::stoppedBody:
      return post + newId() + "\r\nContent-Length: " + std::to_string(kLargeBody) + "\r\n\r\n" +
             std::string(kLargeBody / 2, 'x');
    case CrowdKind::stoppedChunks: {
      std::string chunks;
      for (std::size_t i = 0; i < kLargeBody / 10; ++i)
        chunks += "1\r\nx\r\n";
      return post + newId() + "\r\nTransfer-Encoding: chunked\r\n\r\n" + chunks;
    }
    case CrowdKind::pipelined: {
      std::string requests;
      for (std::size_t i = 0; i < pipelinedRequests; ++i)
        requests += "GET /read HTTP/1.1\r\nHost: x\r\nX-Request-Id: " + newId() + "\r\n\r\n";
      return requests;
    }
    case CrowdKind::unreadResponse:
      plan.response = {BodyFraming::length, kLargeBody, kLargeBody, 0ms, true};
      return getRequest(plan);
    case CrowdKind::servedShortFields:
      plan.response = {BodyFraming::length, 100, 50, kServerPause, true};
      return getRequest(plan, kManyShortFields);
    case CrowdKind::unreadBuffered:
      plan.response = {BodyFraming::length, kBufferedResponse, kBufferedResponse, 0ms, true};
      return getRequest(plan) + getRequest(plan) + getRequest(plan);
    case CrowdKind::responseFields:
      plan.shortFields = kResponseFields;
      plan.response = {BodyFraming::length, 100, 50, kServerPause, true};
      return getRequest(plan);
    case CrowdKind::pipelinedFields: {
      plan.response = {BodyFraming::length, 100, 50, kServerPause, true};
      std::string requests;
      for (std::size_t i = 0; i < kPipelinedFieldRequests; ++i)
        requests += getRequest(plan, kPipelinedFields);
      return requests;
    }
    default:
      return "";
  }
}

}  // namespace hollyrun::lab
