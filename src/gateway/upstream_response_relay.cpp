// The part of UpstreamConnection that reads a response and relays it if it is large.
#include <algorithm>
#include <boost/asio/error.hpp>
#include <boost/beast/http/error.hpp>
#include <limits>
#include <utility>

#include "gateway/socket_io.hpp"
#include "gateway/upstream_connection.hpp"
#include "gateway/upstream_limits.hpp"
#include "gateway/upstream_pool.hpp"

namespace hollyrun::gateway {

namespace asio = boost::asio;
namespace http = boost::beast::http;
using balancer::Outcome;
using boost::system::error_code;
using tcp = asio::ip::tcp;

// --- Reading --------------------------------------------------------------------------------------------

void UpstreamConnection::startReading() {
  if (state_ != State::relaying)
    resetParser();
  receive();
}

void UpstreamConnection::resetParser() {
  parser_.emplace();
  parser_->eager(true);
  parser_->body_limit(std::numeric_limits<std::uint64_t>::max());  // Larger bodies are streamed.
  parser_->header_limit(kHeaderLimit);
  headMeter_ = {};
}

// Waits before it reads, so that no buffer is held for a host that has sent nothing.
void UpstreamConnection::receive() {
  readPending_ = true;
  socket_.async_wait(tcp::socket::wait_read, [self = shared_from_this()](error_code) {
    self->readPending_ = false;
    const State state = self->state_;
    if (state == State::reading || state == State::writing || state == State::relaying)
      self->readAvailable();
  });
}

void UpstreamConnection::readAvailable() {
  pool_.budget_->observe();
  error_code error;
  const std::size_t size = std::min(kUpstreamReadSize, pool_.budget_->streamBufferLimit());
  const std::size_t bytes = socket_.read_some(buffer_.prepare(size), error);
  if (wouldBlock(error) || isInterrupted(error))
    return receive();
  buffer_.commit(bytes);
  if (state_ != State::relaying)
    measureHead(bytes);
  handleReceived(error);
  buffer_.shrink_to_fit();
}

void UpstreamConnection::handleReceived(const error_code& error) {
  if (error == asio::error::eof)
    return handleEndOfStream();
  if (error)
    return handleReadError(error);
  if (!parseReceived())
    return;
  if (state_ == State::relaying)
    return relayParsed();
  if (parser_->is_done())
    return completeResponse();
  if (!parser_->is_header_done())
    return receive();
  buffer_.shrink_to_fit();
  bufferOrRelay();
}

void UpstreamConnection::measureHead(std::size_t newBytes) {
  const auto* const data = static_cast<const char*>(buffer_.data().data());
  headMeter_.measure({data + buffer_.size() - newBytes, newBytes});
}

// The end of the connection may delimit the response.
void UpstreamConnection::handleEndOfStream() {
  error_code error;
  if (parser_->got_some())
    parser_->put_eof(error);
  if (error)
    return handleReadError(error);
  if (!parser_->got_some())
    return handleReadError(asio::error::eof);
  completeResponse();
}

// Returns false if the response is malformed and the attempt has ended.
bool UpstreamConnection::parseReceived() {
  if (!parser_->is_header_done() && !headMeter_.isParsable(kSmallMessageBytes, kHeaderLimit))
    return true;
  while (buffer_.size() > 0 && !parser_->is_done()) {
    error_code error;
    buffer_.consume(parser_->put(buffer_.data(), error));
    if (error == http::error::need_more)
      break;
    if (error) {
      handleReadError(error);
      return false;
    }
    const unsigned status = parser_->is_header_done() ? parser_->get().result_int() : 0;
    const bool isInterim = status / 100 == 1 && status != 101;
    if (parser_->is_done() && isInterim) {
      resetParser();  // The final response follows.
      measureHead(buffer_.size());
    }
  }
  // The parser limits the size of the response head, but not of chunk headers, and a full buffer would throw.
  if (!parser_->is_done() && buffer_.size() + kUpstreamReadSize > buffer_.max_size()) {
    handleReadError(http::error::header_limit);
    return false;
  }
  return true;
}

// Called once the head is complete and the body is not: small bodies are buffered, large ones streamed.
void UpstreamConnection::bufferOrRelay() {
  const auto length = parser_->content_length();
  const std::size_t received = parser_->get().body().size();
  if (state_ == State::reading && isOpenEnded(*parser_) && !std::exchange(openEndedTimerSet_, true))
    armTimer(std::min(deadline_, Clock::now() + kOpenEndedBufferingTime), Outcome::timeout);
  const bool isSmall = std::max<std::uint64_t>(received, length ? *length : 0) <= kBufferedBodyLimit;
  if (isSmall && mayBufferBody())
    return receive();
  if (state_ != State::reading || parser_->get().result() != http::status::ok)
    return completeResponse(ConnectionReuse::close);
  beginRelay();
}

// Small messages are buffered however little memory is left, so that they can be retried.
bool UpstreamConnection::mayBufferBody() {
  auto& body = parser_->get().body();
  const auto length = parser_->content_length();
  const std::size_t expected = length ? *length : body.size() + kUpstreamReadSize;
  const bool hasNotBegun = body.empty() && !length;
  if (headMeter_.parsedBytes() <= kSmallMessageBytes && (hasNotBegun || expected <= kSmallMessageBytes))
    return true;
  const bool needsMore = body.capacity() < expected;
  if (!pool_.budget_->hasCapacity(needsMore ? expected : 0))
    return false;
  if (needsMore)
    body.reserve(expected);
  return true;
}

void UpstreamConnection::handleReadError(const error_code& error) {
  // Once the whole body has been passed to the socket, its last byte may have been sent although the write
  // has not been reported as complete, so the request may have executed.
  const bool lastBytePassed = upload_ && upload_->isFinished();
  if (state_ == State::writing)
    return complete(lastBytePassed ? Outcome::reset : Outcome::connectFailed);
  if (state_ == State::reading)
    return complete(classifyReadError(error));
  abortRelay(ResponseCutReason::hostEnded);
}

// `allowed` is `close` if the response is incomplete, in which case its connection must not be reused.
void UpstreamConnection::completeResponse(ConnectionReuse allowed) {
  if (state_ == State::relaying)
    return relayParsed();
  const bool beforeRequestEnd = state_ == State::writing;  // The request can't have executed.
  const Outcome outcome = classifyResponse(*parser_);
  if (beforeRequestEnd)
    return complete(outcome == Outcome::served ? Outcome::reset : outcome);
  const bool reuse = allowed == ConnectionReuse::keepAlive && isReusable();
  complete(outcome, reuse ? ConnectionReuse::keepAlive : ConnectionReuse::close);
}

bool UpstreamConnection::isReusable() {
  const bool hasUnsolicitedBytes = buffer_.size() > 0;
  if (hasUnsolicitedBytes)
    recordUnsolicitedBytes();
  return !hasUnsolicitedBytes && allowsReuse(*parser_);
}

// --- Relaying -------------------------------------------------------------------------------------------

// The attempt counts as complete because the host has processed the request. The rest of the response is
// relayed as it arrives.
void UpstreamConnection::beginRelay() {
  disarmTimer();
  state_ = State::relaying;
  const auto announced = parser_->content_length();
  progress_ =
      ResponseProgress(deadline_, announced ? std::optional<std::uint64_t>(*announced) : std::nullopt);
  download_ = std::make_shared<ResponseStream>(pool_.budget_);
  download_->onWritable = [weak = weak_from_this()] {
    if (const auto self = weak.lock())
      self->continueRelay();
  };
  pool_.busy_.erase(attempt_);
  pool_.relaying_.insert(shared_from_this());
  AttemptCompletion completion{attempt_, host_, Outcome::served, Clock::now() - startedAt_, {}};
  completion.response.base() = std::move(parser_->get().base());
  completion.body = download_;
  if (announced)
    completion.length = *announced;
  relayParsed();
  pool_.observer_.onAttemptComplete(std::move(completion));
}

void UpstreamConnection::relayParsed() {
  // The consumer may consume the data within append(), which makes the stream writable at once. appending_
  // prevents onWritable from starting a nested read.
  appending_ = true;
  ResponseText received;
  received.swap(parser_->get().body());
  progress_.recordReceived(received.size(), Clock::now());
  download_->append(received);
  appending_ = false;
  if (!download_)
    return;  // The connection was closed in the meantime.
  if (!parser_->is_done())
    return continueRelay();
  download_->onWritable = nullptr;
  std::exchange(download_, nullptr)->finish();
  const auto self = shared_from_this();
  pool_.relaying_.erase(self);
  if (isReusable())
    becomeIdle();
  else
    close();
}

// A read may already be pending: beginRelay() is also called when the time for buffering is over. The limits
// apply to that read as well.
void UpstreamConnection::continueRelay() {
  if (state_ != State::relaying || appending_ || !download_)
    return;
  const bool isTooLarge = !parser_->content_length() && progress_.totalBytes() > kMaxOpenEndedBody;
  if (download_->isAbandoned())
    return abortRelay(ResponseCutReason::clientGone);
  if (isTooLarge)
    return abortRelay(ResponseCutReason::tooLarge);
  if (!readPending_ && download_->isFull()) {
    pausedAt_ = Clock::now();
    progress_.pause();
    return disarmTimer();
  }
  if (progress_.isPaused()) {
    progress_.resume(Clock::now());
    armTimer(responseEndsAt(), Outcome::timeout);
  }
  if (!readPending_)
    receive();
}

// The client sees that the response is truncated, because its connection ends before the response does.
void UpstreamConnection::abortRelay(ResponseCutReason reason) {
  pool_.observer_.onResponseCut(
      {attempt_.request, host_, reason, progress_.totalBytes(), Clock::now() - startedAt_});
  close();
  pool_.relaying_.erase(shared_from_this());
}

void UpstreamConnection::checkProgress() {
  if (Clock::now() >= responseEndsAt())
    return abortRelay(progress_.isLong() ? ResponseCutReason::silentHost : ResponseCutReason::pastDeadline);
  armTimer(responseEndsAt(), Outcome::timeout);
}

// A short response ends before the process may be killed.
UpstreamConnection::Clock::time_point UpstreamConnection::responseEndsAt() const {
  const Clock::time_point end = progress_.endsAt();
  return progress_.isLong() ? end : std::min(end, pool_.lastResponse_.value_or(end));
}

}  // namespace hollyrun::gateway
