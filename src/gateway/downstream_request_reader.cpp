// The member functions of DownstreamConnection that read requests.
#include <algorithm>
#include <boost/asio/buffer.hpp>
#include <boost/beast/core/string.hpp>
#include <boost/beast/http/error.hpp>
#include <string_view>
#include <utility>

#include "gateway/downstream_connection.hpp"
#include "gateway/downstream_constants.hpp"
#include "gateway/downstream_server.hpp"
#include "gateway/socket_io.hpp"

namespace hollyrun::gateway {
namespace {

namespace asio = boost::asio;
namespace http = boost::beast::http;
using boost::system::error_code;
using tcp = asio::ip::tcp;

RejectionKind rejectionKindOf(http::status status) {
  return status == http::status::service_unavailable ? RejectionKind::overloaded : RejectionKind::invalid;
}

}  // namespace

// --- Reading --------------------------------------------------------------------------------------------

void DownstreamConnection::resetForNextRequest() {
  parser_.emplace();
  parser_->eager(true);
  parser_->header_limit(kHeaderLimit);
  parser_->body_limit(kMaxRequestBody);
  headMeter_ = {};
  unmeasuredBytes_ = buffer_.size();
  writeEstimate_ = {};
  bodyBytes_ = 0;
  setState(State::idle);
  stateSince_ = Clock::now();
}

// Frees all that was read. No further request of the connection is read after this.
void DownstreamConnection::releaseInput() {
  buffer_.consume(buffer_.size());
  buffer_.shrink_to_fit();
  parser_.reset();
  headMeter_ = {};
  unmeasuredBytes_ = 0;
}

// Not at each pipelined request, because the rest of the input is copied.
void DownstreamConnection::shrinkInput() {
  if (buffer_.capacity() >= kHeadReadSize && buffer_.capacity() >= 2 * buffer_.size())
    buffer_.shrink_to_fit();
}

void DownstreamConnection::startNextRequest() {
  shrinkInput();
  resetForNextRequest();
  if (buffer_.size() > 0)
    parseInput();
  else
    awaitReadable();
}

// Waits until the socket is readable, unless a wait is already pending. The wait itself reads nothing, so
// that the handler reads according to the state at that time. A wait is always pending, except while the
// connection must not be read because the upload is paused or the buffer of pipelined input is full.
void DownstreamConnection::awaitReadable() {
  if (std::exchange(readPending_, true))
    return;
  socket_.async_wait(tcp::socket::wait_read, [self = shared_from_this()](error_code) {
    self->readPending_ = false;
    if (self->state_ != State::closed)
      self->handleReadable();
  });
}

// Buffers input that arrives before the current response is complete; it belongs to the client's next
// requests. Once the limit is reached, further input stays in the socket.
void DownstreamConnection::awaitPipelined() {
  const bool mayGrow = buffer_.size() < kMaxPipelinedBytes && server_.budget_->hasCapacity(buffer_.size());
  if (buffer_.size() < kHeadReadSize || mayGrow)
    awaitReadable();
}

bool DownstreamConnection::isReadingRequest() const {
  return state_ == State::idle || state_ == State::readingHead || state_ == State::readingBody ||
         state_ == State::uploading;
}

void DownstreamConnection::handleReadable() {
  if (state_ == State::lingering)
    return discardInput();
  server_.budget_->observe();
  if (server_.budget_->refusesRequests() && isReadingRequest()) {
    unreadSince_ = unreadSince_.value_or(Clock::now());
    return server_.resumeReadingLater(shared_from_this());
  }
  error_code error;
  const std::size_t bytes = socket_.read_some(buffer_.prepare(readSize()), error);
  if (wouldBlock(error) || isInterrupted(error))
    return awaitReadable();
  if (error)
    return handleEndOfStream(error);
  buffer_.commit(bytes);
  unmeasuredBytes_ += bytes;
  lastReceivedAt_ = Clock::now();
  if (evictionList_)
    evictionList_->splice(evictionList_->end(), *evictionList_, evictionEntry_);
  recordBacklog();
  if (state_ == State::awaitingResponse || state_ == State::responding) {
    if (!parser_)  // After a rejection no further request is read.
      buffer_.consume(buffer_.size());
    awaitPipelined();
    return buffer_.shrink_to_fit();
  }
  if (state_ == State::uploading)
    recordArrival();
  parseInput();
  // Between reads a connection holds no more than its unparsed bytes.
  buffer_.shrink_to_fit();
}

void DownstreamConnection::resumeReading() {
  if (state_ != State::closed)
    awaitReadable();
}

std::size_t DownstreamConnection::readSize() const {
  const bool isBody = state_ == State::readingBody || state_ == State::uploading;
  return isBody ? std::min(kBodyReadSize, server_.budget_->streamBufferLimit()) : kHeadReadSize;
}

void DownstreamConnection::recordBacklog() {
  earliestWriteAt_ = unreadSince_ ? *unreadSince_ : arrivalOfLastRead();
  if (!hasUnreadBytes(socket_))
    unreadSince_.reset();
  else
    unreadSince_ = unreadSince_.value_or(lastReceivedAt_);
}

// Asks the socket how much is unread: the client may have written more than the gateway has read.
void DownstreamConnection::recordArrival() {
  error_code error;
  const std::size_t unread = socket_.available(error);
  writeEstimate_.recordArrived(bodyBytes_ + buffer_.size() + unread, Clock::now());
}

// --- Parsing --------------------------------------------------------------------------------------------

void DownstreamConnection::parseInput() {
  if (state_ == State::idle) {
    setState(State::readingHead);
    stateSince_ = Clock::now();
  }
  if (!parseBuffered())
    return;
  if (state_ == State::readingHead && parser_->is_header_done() && !handleHead())
    return;
  if (state_ != State::readingHead && !handleBody())
    return;
  if (!parser_->is_done())
    return awaitMore();
  if (state_ == State::uploading)
    return completeUpload();
  submitRequest();
}

void DownstreamConnection::awaitMore() {
  if (!hasUnreadBytes(socket_))
    writeEstimate_.recordDrained();
  awaitReadable();
}

// Returns false if the request was rejected.
bool DownstreamConnection::parseBuffered() {
  if (state_ == State::readingHead && !parser_->is_header_done()) {
    if (!hasMemoryForHead())
      return rejectForMemory(MemoryUse::requestHead);
    if (!headMeter_.isParsable(kSmallHeadBytes, kHeaderLimit))
      return true;
  }
  if (state_ == State::readingBody && !hasMemoryForBody())
    return rejectForMemory(MemoryUse::requestBody);
  while (buffer_.size() > 0 && !parser_->is_done()) {
    error_code error;
    buffer_.consume(parser_->put(buffer_.data(), error));
    if (error == http::error::need_more)
      break;
    if (error) {
      rejectMalformed(error);
      return false;
    }
  }
  // The parser limits the head and the body, but not the header of a chunk (its size and extensions). A full
  // buffer would throw, and the exception would end the process.
  if (!parser_->is_done() && buffer_.size() + kBodyReadSize > buffer_.max_size()) {
    rejectMalformed(http::error::body_limit);
    return false;
  }
  return true;
}

// Asks before the head is parsed: each parsed field takes much more than its bytes.
bool DownstreamConnection::hasMemoryForHead() {
  const auto* const data = static_cast<const char*>(buffer_.data().data());
  const std::size_t measured = buffer_.size() - unmeasuredBytes_;
  headMeter_.measure({data + measured, std::exchange(unmeasuredBytes_, 0)});
  const std::size_t bytes = headMeter_.isComplete() ? headMeter_.parsedBytes() : headMeter_.bytes();
  return bytes <= kSmallHeadBytes || server_.makeRoom(bytes);
}

// A body of announced length got its memory with its head.
bool DownstreamConnection::hasMemoryForBody() {
  return parser_->content_length() || server_.makeRoom(kBodyReadSize);
}

// Returns false if the request was rejected or its connection was closed.
bool DownstreamConnection::handleHead() {
  setState(State::readingBody);
  bodyStartedAt_ = Clock::now();
  const auto length = parser_->content_length();
  if (length && *length > kMaxRequestBody)
    return reject(http::status::payload_too_large);
  if (parser_->is_done())
    return true;
  if (parser_->get().count(http::field::expect) && !handleExpectation())
    return false;
  const bool isStreamed = length && *length > kBufferedBodyLimit;
  if (!server_.makeRoom(length && !isStreamed ? *length : kBodyReadSize))
    return rejectForMemory(MemoryUse::requestBody);
  if (isStreamed)
    beginUpload();
  else if (length)
    parser_->get().body().reserve(*length);
  return state_ == State::readingBody || state_ == State::uploading;
}

// Returns false if the request was rejected or its connection was closed.
bool DownstreamConnection::handleExpectation() {
  const auto& head = parser_->get();
  if (!boost::beast::iequals(head[http::field::expect], "100-continue"))
    return reject(http::status::expectation_failed);
  if (head.version() != 11 || sendContinue())
    return true;
  close(CloseReason::clientDisconnected);
  return false;
}

// Writes without waiting for the socket: the text is so short that it always fits into the kernel's send
// buffer, because nothing was written before it.
bool DownstreamConnection::sendContinue() {
  static constexpr std::string_view kContinue = "HTTP/1.1 100 Continue\r\n\r\n";
  error_code error;
  for (asio::const_buffer unsent = asio::buffer(kContinue); unsent.size() > 0;) {
    unsent += socket_.write_some(unsent, error);
    if (error && !isInterrupted(error))
      return false;
  }
  return true;
}

// --- The body -------------------------------------------------------------------------------------------

// Moves the parsed part of the body to the upload, unless the body is still small enough to be buffered.
// Returns false if the request has ended or the upload is paused.
bool DownstreamConnection::handleBody() {
  RequestBodyText& body = parser_->get().body();
  const std::size_t alreadyCounted = upload_ ? 0 : std::min(bodyBytes_, body.size());
  bodyBytes_ += body.size() - alreadyCounted;
  if (state_ == State::readingBody && body.size() > kBufferedBodyLimit)
    beginUpload();
  if (state_ != State::uploading)
    return state_ == State::readingBody;
  if (bodyBytes_ > kMaxRequestBody) {
    rejectMalformed(http::error::body_limit);
    return false;
  }
  RequestBodyText piece;
  piece.swap(body);
  return feedUpload(piece);
}

bool DownstreamConnection::feedUpload(const RequestBodyText& piece) {
  const auto upload = upload_;
  // The consumer may consume the data within append(), which makes the stream writable at once.
  // feedingUpload_ prevents resumeUpload() from starting a second read in that case.
  feedingUpload_ = true;
  upload->append(piece);
  feedingUpload_ = false;
  if (state_ != State::uploading || parser_->is_done())
    return state_ == State::uploading;
  if (!upload->isFull())
    return true;
  uploadPausedAt_ = Clock::now();
  return false;  // resumeUpload() continues to read.
}

void DownstreamConnection::beginUpload() {
  upload_ = std::make_shared<UploadStream>(server_.budget_);
  upload_->onWritable = [weak = weak_from_this()] {
    if (const auto self = weak.lock())
      self->resumeUpload();
  };
  const auto self = shared_from_this();
  DownstreamRequest request = makeRequest(State::uploading);
  request.upload = upload_;
  if (const auto length = parser_->content_length()) {
    request.uploadLength = *length;
    writeEstimate_.expectTotal(*length);
  }
  if (unreadSince_)
    writeEstimate_.recordArrived(bodyBytes_, *unreadSince_);
  server_.observer_.onRequest(std::move(request));
}

void DownstreamConnection::resumeUpload() {
  if (readPending_ || feedingUpload_ || state_ != State::uploading)
    return;
  if (upload_->isAbandoned() || upload_->isFull())
    return;
  // The time during which the upload was paused does not reduce the client's rate.
  bodyStartedAt_ += Clock::now() - std::exchange(uploadPausedAt_, Clock::now());
  awaitReadable();
}

DownstreamConnection::Clock::time_point DownstreamConnection::earliestLastByte() {
  const auto now = Clock::now();
  if (unreadSince_)
    recordArrival();
  return writeEstimate_.earliestLastByte(now);
}

// An upload that is paused because its host reads slowly may have been written whole by its client.
void DownstreamConnection::reportDelayedUpload(Clock::time_point now) {
  recordArrival();
  server_.observer_.onUploadDelayed(requestId_, writeEstimate_.earliestLastByte(now));
}

void DownstreamConnection::completeUpload() {
  const auto upload = std::exchange(upload_, nullptr);
  upload->onWritable = nullptr;
  awaitingFirstRequest_ = false;
  setState(State::awaitingResponse);
  awaitPipelined();
  const DownstreamRequestId id = requestId_;
  server_.observer_.onUploadComplete(id, writeEstimate_.earliestLastByte(lastReceivedAt_));
  upload->finish();
}

// --- Passing the request to the observer ----------------------------------------------------------------

void DownstreamConnection::submitRequest() {
  if (server_.budget_->refusesRequests()) {
    rejectForMemory(MemoryUse::requestHead);
    return;
  }
  DownstreamRequest request = makeRequest(State::awaitingResponse);
  request.message.body() = std::move(parser_->get().body());
  awaitPipelined();
  server_.observer_.onRequest(std::move(request));
}

DownstreamRequest DownstreamConnection::makeRequest(State next) {
  keepAlive_ = parser_->get().keep_alive();
  awaitingFirstRequest_ = awaitingFirstRequest_ && !parser_->is_done();
  setState(next);
  requestId_ = server_.registerRequest(shared_from_this());
  DownstreamRequest request;
  request.id = requestId_;
  request.message.base() = std::move(parser_->get().base());
  headMeter_ = {};
  // Counted from the accept, a request that waited for it would be forwarded with time that its client no
  // longer has.
  request.receivedAt = std::min(firstRequestQueuedSince_.value_or(earliestWriteAt_), earliestWriteAt_);
  firstRequestQueuedSince_.reset();
  return request;
}

bool DownstreamConnection::rejectForMemory(MemoryUse use) {
  server_.budget_->recordRefusal(use);
  return reject(http::status::service_unavailable);
}

// Responds without the observer. Always returns false, which the callers return in turn.
bool DownstreamConnection::reject(http::status status) {
  keepAlive_ = false;
  HttpResponse response;
  response.result(status);
  const bool wasSubmitted = server_.awaitingResponse_.erase(requestId_) > 0;
  const DownstreamRequestId id = requestId_;
  const bool hasHead = state_ == State::readingBody;
  const std::string target = hasHead ? parser_->get().target().to_string() : "";
  releaseInput();
  respond(std::move(response), nullptr);
  if (wasSubmitted)
    server_.observer_.onClientDisconnected(id);
  else
    server_.observer_.onLocalRejection(target, rejectionKindOf(status));
  awaitReadable();
  return false;
}

void DownstreamConnection::rejectMalformed(const error_code& error) {
  if (error == http::error::header_limit)
    reject(http::status::request_header_fields_too_large);
  else if (error == http::error::body_limit)
    reject(http::status::payload_too_large);
  else
    reject(http::status::bad_request);
}

}  // namespace hollyrun::gateway
