#include "gateway/downstream_connection.hpp"

#include <netinet/tcp.h>
#include <poll.h>
#include <sys/socket.h>

#include <algorithm>
#include <array>
#include <boost/asio/buffer.hpp>
#include <boost/asio/error.hpp>
#include <cerrno>
#include <utility>

#include "gateway/downstream_constants.hpp"
#include "gateway/downstream_server.hpp"
#include "gateway/socket_io.hpp"

namespace hollyrun::gateway {
namespace {

namespace asio = boost::asio;
namespace http = boost::beast::http;
using boost::system::error_code;
using tcp = asio::ip::tcp;

// Time for the first request of a connection that was established just before the listener closed.
constexpr auto kFirstRequestGrace = std::chrono::milliseconds(250);

// The lowest accepted rate of a request body, well below that of the slowest conforming client. The rate is
// enforced once a grace period is over.
constexpr double kMinBodyBytesPerSecond = 24 << 10;
constexpr auto kMinBodyGrace = std::chrono::milliseconds(300);
constexpr auto kMaxBodyGrace = std::chrono::milliseconds(1000);
// A client that has stopped in the middle of its body is owed an error within 3 s.
constexpr auto kMaxBodySilence = std::chrono::milliseconds(2500);

// A request is not sent on later than this after the last time at which a departure of its client would have
// been seen: half of the time that the platform allows.
constexpr auto kMaxUnseenDeparture = std::chrono::milliseconds(50);

// A lingering connection is closed after this time, and sooner if it has not sent a valid request.
constexpr auto kLingerTimeout = std::chrono::milliseconds(1000);
constexpr auto kLingerTimeoutWithoutRequest = std::chrono::milliseconds(300);
// Limit on the bytes that a lingering connection may send; reading more would take too much time.
constexpr std::size_t kMaxDiscardedBytes = 64 << 20;

// Under memory pressure, a client that has sent nothing of its request for this long is refused, and one that
// has not read the rest of its response for this long is closed. Sound clients pause for up to 2 s within a
// response.
constexpr auto kMinSilenceUnderPressure = std::chrono::milliseconds(500);
constexpr auto kMinStallUnderPressure = std::chrono::milliseconds(500);
constexpr auto kMinStallOfSoundReader = std::chrono::milliseconds(2500);

// The resolution of the kernel's clock of arrivals.
constexpr auto kArrivalResolution = std::chrono::milliseconds(10);

// Bytes that arrived this long ago were read late: the event loop or the whole process stood still.
constexpr auto kLateRead = std::chrono::milliseconds(30);

// When the bytes that a connection brought from the accept queue arrived, at the earliest.
DownstreamConnection::Clock::time_point arrivalInQueue(tcp::socket& socket,
                                                       DownstreamConnection::Clock::time_point queuedSince) {
  const auto age = timeSinceLastArrival(socket);
  if (!age)
    return queuedSince;
  return std::max(queuedSince, DownstreamConnection::Clock::now() - *age - kArrivalResolution);
}

}  // namespace

DownstreamConnection::DownstreamConnection(DownstreamServer& server, tcp::socket socket,
                                           Clock::time_point queuedSince)
    : server_(server),
      socket_(std::move(socket)),
      buffer_(kHeaderLimit + 2 * kBodyReadSize + kMaxPipelinedBytes) {
  if (hasUnreadBytes(socket_))
    firstRequestQueuedSince_ = unreadSince_ = arrivalInQueue(socket_, queuedSince);
  resetForNextRequest();
}

// --- State ----------------------------------------------------------------------------------------------

void DownstreamConnection::setState(State next) {
  state_ = next;
  if (evictionList_)
    evictionList_->erase(evictionEntry_);
  evictionList_ = evictionListFor(next);
  if (evictionList_)
    evictionEntry_ = evictionList_->insert(evictionList_->end(), this);
}

ConnectionEvictor::List* DownstreamConnection::evictionListFor(State state) {
  switch (state) {
    case State::idle:
      return &server_.evictor_.idle();
    case State::readingHead:
    case State::readingBody:
      return &server_.evictor_.incomplete();
    case State::lingering:
      return &server_.evictor_.lingering();
    default:
      return nullptr;
  }
}

bool DownstreamConnection::isIdle() const {
  return state_ == State::idle && !hasUnreadBytes(socket_);
}

bool DownstreamConnection::isIncomplete() const {
  return (state_ == State::readingHead || state_ == State::readingBody) && !hasUnreadBytes(socket_);
}

bool DownstreamConnection::mayExpectFirstRequest(Clock::time_point now) const {
  return awaitingFirstRequest_ && now - connectedAt_ <= kFirstRequestGrace;
}

// The time at which the last bytes of a read arrived. It is the time of the read unless that was late.
DownstreamConnection::Clock::time_point DownstreamConnection::arrivalOfLastRead() {
  const auto age = timeSinceLastArrival(socket_);
  if (!age || *age < kLateRead)
    return lastReceivedAt_;
  return lastReceivedAt_ - *age - kArrivalResolution;
}

// --- Closing --------------------------------------------------------------------------------------------

void DownstreamConnection::close(CloseReason reason) {
  if (state_ == State::closed)
    return;
  const CloseReason recordedReason = lingerReason_.value_or(reason);
  server_.countClosed(recordedReason);
  const bool owesResponse = state_ == State::awaitingResponse || state_ == State::uploading;
  const bool isExcused = reason == CloseReason::clientDisconnected || reason == CloseReason::shutdown;
  if (owesResponse && !isExcused)
    server_.observer_.onClosedUnanswered(requestId_, recordedReason);
  setState(State::closed);
  error_code ignored;
  socket_.close(ignored);
  dropBodies();
  notifyResponseEnd(false);
  releaseInput();
  releaseMemory(outgoing_);
  server_.removeConnection(shared_from_this());
}

void DownstreamConnection::linger(CloseReason reason) {
  lingerReason_ = reason;
  setState(State::lingering);
  stateSince_ = Clock::now();
  releaseInput();
  error_code ignored;
  socket_.shutdown(tcp::socket::shutdown_send, ignored);
  awaitReadable();
}

void DownstreamConnection::discardInput() {
  static std::array<char, kBodyReadSize> discarded;
  error_code error;
  discardedBytes_ += socket_.read_some(asio::buffer(discarded), error);
  const bool nothingRead = wouldBlock(error) || isInterrupted(error);
  if ((error && !nothingRead) || discardedBytes_ > kMaxDiscardedBytes)
    return close(CloseReason::clientDisconnected);
  awaitReadable();
}

void DownstreamConnection::notifyResponseEnd(bool complete) {
  if (const ResponseCallback callback = std::exchange(responseCallback_, nullptr))
    callback(complete);
}

void DownstreamConnection::dropBodies() {
  if (const auto upload = std::exchange(upload_, nullptr)) {
    upload->onWritable = nullptr;
    upload->fail();
  }
  if (const auto download = std::exchange(download_, nullptr))
    download->abandon();
}

// --- Memory ---------------------------------------------------------------------------------------------

std::size_t DownstreamConnection::heldBytes() const {
  std::size_t bytes = buffer_.capacity() + outgoing_.capacity();
  if (parser_)
    bytes += headMeter_.parsedBytes() + parser_->get().body().capacity();
  if (upload_)
    bytes += upload_->capacity();
  if (download_)
    bytes += download_->capacity();
  return bytes;
}

bool DownstreamConnection::mayReleaseMemory(MemoryPressure pressure) const {
  const bool isUrgent = pressure == MemoryPressure::refusing;
  const auto now = Clock::now();
  switch (state_) {
    case State::readingHead:
    case State::readingBody:
      return isUrgent || now - lastReceivedAt_ >= kMinSilenceUnderPressure;
    case State::uploading:  // While it is paused, it is its host that is slow.
      return readPending_ && (isUrgent || now - lastReceivedAt_ >= kMinSilenceUnderPressure);
    case State::responding:
      return (!download_ || writingPiece_) &&
             now - stateSince_ >= (isUrgent ? kMinStallUnderPressure : kMinStallOfSoundReader);
    default:
      return false;
  }
}

void DownstreamConnection::endForMemory() {
  ++server_.memoryEvictions_;
  if (state_ == State::responding)
    return close(CloseReason::evicted);
  rejectForMemory(state_ == State::uploading ? MemoryUse::upload : MemoryUse::requestHead);
}

// --- Disconnected clients -------------------------------------------------------------------------------

// Handles a close, half-close or reset by the client; a close and a half-close cannot be told apart here.
void DownstreamConnection::handleEndOfStream(const error_code& error) {
  switch (state_) {
    case State::uploading:
    case State::awaitingResponse:
      return handleClientDisconnected();
    case State::responding:
      if (error != asio::error::eof)
        return close(CloseReason::clientDisconnected);
      keepAlive_ = false;
      return;  // The client may still receive the response.
    default:
      return close(CloseReason::clientDisconnected);
  }
}

void DownstreamConnection::handleClientDisconnected() {
  const DownstreamRequestId id = requestId_;
  server_.awaitingResponse_.erase(id);
  close(CloseReason::clientDisconnected);
  server_.observer_.onClientDisconnected(id);
}

// A close that follows more bytes than the receive window holds stays at the client's machine.
ClientPresence DownstreamConnection::clientPresence() {
  if (hasClientHungUp())
    return ClientPresence::departed;
  const bool mayBeUnseen = unreadSince_ && Clock::now() - *unreadSince_ >= kMaxUnseenDeparture;
  return mayBeUnseen && hasUnreadBytes(socket_) ? ClientPresence::unknown : ClientPresence::present;
}

bool DownstreamConnection::hasClientHungUp() {
  pollfd descriptor{socket_.native_handle(), POLLRDHUP, 0};
  int ready = 0;
  do
    ready = ::poll(&descriptor, 1, 0);
  while (ready < 0 && errno == EINTR);
  if (ready < 0)
    return !isEstablished();
  return ready > 0 && (descriptor.revents & (POLLRDHUP | POLLHUP | POLLERR));
}

// Whether neither side has closed, according to the kernel's TCP state. Used when poll() itself fails.
bool DownstreamConnection::isEstablished() {
  tcp_info info{};
  socklen_t length = sizeof info;
  if (::getsockopt(socket_.native_handle(), IPPROTO_TCP, TCP_INFO, &info, &length) != 0)
    return false;
  return info.tcpi_state == TCP_ESTABLISHED;
}

// --- Timeouts -------------------------------------------------------------------------------------------

void DownstreamConnection::checkTimeouts(Clock::time_point now) {
  const bool owesResponse = state_ == State::awaitingResponse || state_ == State::uploading;
  if (owesResponse && !readPending_ && hasClientHungUp())
    return handleClientDisconnected();
  if (state_ == State::uploading && !readPending_ && writeEstimate_.hasBacklog())
    reportDelayedUpload(now);
  if (server_.rejectsIncompleteRequests_ && (isIncomplete() || state_ == State::uploading))
    return rejectIncomplete();
  if (!isOverdue(now))
    return;
  const bool hasStartedRequest = state_ == State::readingHead;
  if (state_ == State::idle || hasStartedRequest)
    linger(awaitingFirstRequest_ || hasStartedRequest ? CloseReason::incompleteRequest
                                                      : CloseReason::idleTimeout);
  else if (state_ == State::responding || state_ == State::lingering)
    close(CloseReason::stalledReader);
  else
    reject(http::status::request_timeout);
}

// An incomplete request cannot have executed, so its client may send it again.
void DownstreamConnection::rejectIncomplete() {
  if (state_ == State::readingHead)
    linger(CloseReason::draining);
  else
    reject(http::status::service_unavailable);
}

bool DownstreamConnection::isOverdue(Clock::time_point now) const {
  const DownstreamServer::Limits& limits = server_.limits_;
  const auto stateAge = now - stateSince_;
  switch (state_) {
    case State::idle:
      if (server_.isDraining())
        return !mayExpectFirstRequest(now);
      return stateAge > (awaitingFirstRequest_ ? limits.firstRequestTimeout : limits.idleTimeout);
    case State::readingHead:
      return awaitingFirstRequest_ ? now - connectedAt_ > limits.firstRequestTimeout
                                   : stateAge > limits.requestTimeout;
    case State::readingBody:
      return isBodyTooSlow(now);
    case State::uploading:
      return readPending_ && isBodyTooSlow(now);
    case State::responding:  // The client does not read its response.
      return (!download_ || writingPiece_) && stateAge > limits.requestTimeout;
    case State::lingering:
      if (awaitingFirstRequest_ && now - connectedAt_ > limits.firstRequestTimeout + kMinBodyGrace)
        return stateAge > kLingerTimeoutWithoutRequest;
      return stateAge > kLingerTimeout;
    default:
      return false;
  }
}

// Whether the body arrives at less than the minimum rate. A connection without a valid first request has to
// be closed within 3 s of the connect, although the head of a valid one may take most of that time. So the
// grace period for the body of a first request is the time that its head has left, within limits.
bool DownstreamConnection::isBodyTooSlow(Clock::time_point now) const {
  const DownstreamServer::Limits& limits = server_.limits_;
  if (awaitingFirstRequest_ && now - connectedAt_ <= limits.firstRequestTimeout)
    return false;
  if (now - std::max(lastReceivedAt_, bodyStartedAt_) > kMaxBodySilence && !hasUnreadBytes(socket_))
    return true;
  const auto timeLeft = limits.firstRequestTimeout + kMinBodyGrace - (bodyStartedAt_ - connectedAt_);
  const auto grace = awaitingFirstRequest_
                         ? std::clamp<Clock::duration>(timeLeft, kMinBodyGrace, kMaxBodyGrace)
                         : Clock::duration(limits.requestTimeout) / 2;
  const std::chrono::duration<double> elapsed = now - bodyStartedAt_ - grace;
  return static_cast<double>(bodyBytes_) < kMinBodyBytesPerSecond * elapsed.count();
}

}  // namespace hollyrun::gateway
