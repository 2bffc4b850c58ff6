#include "gateway/upstream_connection.hpp"

#include <algorithm>
#include <boost/asio/buffer.hpp>
#include <boost/asio/error.hpp>
#include <utility>

#include "gateway/chunked_encoding.hpp"
#include "gateway/socket_io.hpp"
#include "gateway/upstream_limits.hpp"
#include "gateway/upstream_pool.hpp"

namespace hollyrun::gateway {

namespace asio = boost::asio;
using balancer::Duration;
using balancer::Outcome;
using boost::system::error_code;
using tcp = asio::ip::tcp;

namespace {

// Interval between checks of whether the host of a delayed upload accepts bytes.
constexpr auto kStallCheckInterval = std::chrono::milliseconds(50);

}  // namespace

UpstreamConnection::UpstreamConnection(UpstreamPool& pool, balancer::HostId host)
    : pool_(pool),
      host_(host),
      socket_(pool.io_),
      timer_(pool.io_),
      buffer_(kHeaderLimit + 2 * kUpstreamReadSize) {
  ++pool_.openConnections_;
}

void UpstreamConnection::assign(AttemptAssignment attempt, Clock::time_point now) {
  attempt_ = attempt.key;
  request_ = std::move(attempt.request);
  upload_ = std::move(attempt.upload.body);
  uploadStallLimit_ = std::min(attempt.upload.stallLimit, kStallTimeout);
  lastChunkWritten_ = false;
  starvedSince_.reset();
  openEndedTimerSet_ = false;
  advertisedDeadline_.reset();
  startedAt_ = now;
  deadline_ = now + std::max(attempt.timeLimit, Duration::zero());
  latestStart_ = now + std::min(deadline_ - now, attempt.latestStart);
}

// --- Lifecycle ------------------------------------------------------------------------------------------

void UpstreamConnection::close() {
  if (state_ == State::closed)
    return;
  state_ = State::closed;
  disarmTimer();
  error_code ignored;
  socket_.close(ignored);
  releaseBodies();
  --pool_.openConnections_;
}

void UpstreamConnection::releaseBodies() {
  if (const auto upload = std::exchange(upload_, nullptr)) {
    upload->onReadable = nullptr;
    if (upload->consumptionStarted())
      upload->abandon();  // Otherwise another attempt may still send it.
  }
  if (const auto download = std::exchange(download_, nullptr)) {
    download->onWritable = nullptr;
    download->fail();
  }
}

void UpstreamConnection::complete(Outcome outcome, ConnectionReuse reuse) {
  const auto self = shared_from_this();
  AttemptCompletion completion{attempt_, host_, outcome, Clock::now() - startedAt_, {}};
  // The parser is kept until the connection is reused or closed: a cancelled read may already have received
  // bytes, and its handler still passes them to the parser.
  if (outcome == Outcome::served) {
    completion.response.base() = std::move(parser_->get().base());
    completion.response.body() = std::move(parser_->get().body());
  }
  pool_.busy_.erase(attempt_);
  if (reuse == ConnectionReuse::keepAlive)
    becomeIdle();
  else
    close();
  pool_.observer_.onAttemptComplete(std::move(completion));
}

void UpstreamConnection::becomeIdle() {
  state_ = State::idle;
  disarmTimer();
  parser_.reset();
  request_.reset();
  idleSince_ = Clock::now();
  pool_.addIdle(shared_from_this());
  watchIdle();
}

// An idle connection becomes readable when the host closes it or sends unsolicited bytes. In both cases it is
// closed.
void UpstreamConnection::watchIdle() {
  if (idleWaitPending_)
    return;
  idleWaitPending_ = true;
  socket_.async_wait(tcp::socket::wait_read, [self = shared_from_this()](error_code) {
    self->idleWaitPending_ = false;
    if (self->state_ != State::idle)
      return;
    if (hasUnreadBytes(self->socket_))
      self->recordUnsolicitedBytes();
    self->pool_.removeIdle(self);
  });
}

void UpstreamConnection::recordUnsolicitedBytes() {
  pool_.quarantineHost(host_);
}

bool UpstreamConnection::isUsable() {
  char byte = 0;
  error_code error;
  do {
    if (socket_.receive(asio::buffer(&byte, 1), tcp::socket::message_peek, error) > 0)
      recordUnsolicitedBytes();
  } while (isInterrupted(error));
  return wouldBlock(error);
}

// --- Time limits ----------------------------------------------------------------------------------------

void UpstreamConnection::armTimer(Clock::time_point at, Outcome outcome) {
  timer_.expires_at(at);
  const std::uint64_t generation = ++timerGeneration_;
  timer_.async_wait([self = shared_from_this(), generation, outcome](error_code error) {
    if (!error && generation == self->timerGeneration_ && self->state_ != State::closed)
      self->handleTimeout(outcome);
  });
}

void UpstreamConnection::disarmTimer() {
  ++timerGeneration_;
  timer_.cancel();
}

void UpstreamConnection::armConnectTimer() {
  const auto connectDeadline = startedAt_ + pool_.limits_.connectTimeout;
  armTimer(std::min(latestStart_, connectDeadline), Outcome::connectFailed);
}

void UpstreamConnection::handleTimeout(Outcome outcome) {
  if (state_ == State::relaying)
    return checkProgress();
  if (state_ == State::writing && writingPiece_)
    return checkStall();
  if (state_ == State::reading && outcome == Outcome::timeout && parser_ && isOpenEnded(*parser_)) {
    if (!parser_->get().body().empty())
      return beginRelay();
    if (Clock::now() < deadline_)
      return armTimer(deadline_, outcome);
  }
  complete(outcome);
}

UpstreamConnection::Clock::duration UpstreamConnection::stalledFor(Clock::time_point now) const {
  if (state_ == State::writing && starvedSince_)
    return now - *starvedSince_;
  if (state_ != State::relaying || now < deadline_)
    return {};
  return progress_.isPaused() ? now - pausedAt_ : progress_.silence(now);
}

void UpstreamConnection::endStalled() {
  if (state_ == State::relaying)
    return abortRelay(ResponseCutReason::madeRoom);
  complete(Outcome::abandoned);
}

void UpstreamConnection::restartTimeLimit(Duration limit) {
  startedAt_ = Clock::now();
  deadline_ = startedAt_ + limit;
}

void UpstreamConnection::limitStart(Duration latestStart) {
  latestStart_ = std::min(latestStart_, Clock::now() + latestStart);
  armConnectTimer();
}

// --- The request ----------------------------------------------------------------------------------------

// Requests admission for this step of the attempt. Returns false if it was denied, which ends the attempt.
// Sets the deadline header here, from the time that is left now: a deadline computed earlier would ignore the
// time spent connecting.
bool UpstreamConnection::isAdmitted(AttemptStep step) {
  const AdmissionResult admission = pool_.observer_.admit({attempt_, host_, step, deadline_ - Clock::now()});
  if (admission.denied) {
    complete(*admission.denied,
             step == AttemptStep::write ? ConnectionReuse::keepAlive : ConnectionReuse::close);
    return false;
  }
  if (admission.advertisedDeadline)
    advertisedDeadline_ = admission.advertisedDeadline;
  return true;
}

void UpstreamConnection::connect(const tcp::endpoint& endpoint) {
  if (!isAdmitted(AttemptStep::connect))
    return;
  // Nothing is written until the connection is established. The expiry of the attempt's own time limit
  // therefore proves that the request was never executed, just as the expiry of the connect timeout does.
  armConnectTimer();
  if (!pool_.openSocket(socket_, endpoint))
    return complete(Outcome::localFailure);
  socket_.async_connect(endpoint,
                        [self = shared_from_this()](error_code error) { self->handleConnected(error); });
}

void UpstreamConnection::handleConnected(const error_code& error) {
  if (state_ != State::connecting)
    return;
  // A resource shortage of this machine must not count as a failure of the host: in a burst it would eject
  // all healthy hosts at once.
  if (isLocalShortage(error))
    return complete(Outcome::localFailure);
  // The connection may be established just as its time limit expires, after which the request must not be
  // written.
  if (error || Clock::now() > latestStart_)
    return complete(Outcome::connectFailed);
  error_code ignored;
  socket_.set_option(tcp::no_delay(true), ignored);
  socket_.non_blocking(true, ignored);
  sendRequest();
}

void UpstreamConnection::sendRequest() {
  if (!isAdmitted(AttemptStep::write))
    return;
  state_ = State::writing;
  if (upload_)
    return startUpload();
  armTimer(deadline_, Outcome::timeout);
  outgoing_ = attemptText(*request_, advertisedDeadline_);
  writeAll(socket_, asio::buffer(outgoing_), [self = shared_from_this()](error_code error) {
    releaseMemory(self->outgoing_);
    if (self->state_ != State::writing)
      return;
    // An error here means that the last byte was not written, so the request was never executed.
    if (error)
      return self->complete(Outcome::connectFailed);
    self->handleRequestWritten();
  });
}

void UpstreamConnection::handleRequestWritten() {
  ++pool_.writtenAttempts_;
  state_ = State::reading;
  if (!readPending_)
    startReading();
}

// Reads during the upload, because a host may reject the request before its end.
void UpstreamConnection::startUpload() {
  upload_->onReadable = [weak = weak_from_this()] {
    if (const auto self = weak.lock())
      self->continueUpload();
  };
  writeUploadPiece(attemptText(*request_, advertisedDeadline_));
  startReading();
}

void UpstreamConnection::writeUploadPiece(AttemptText text) {
  writingPiece_ = true;
  outgoing_ = std::move(text);
  writeAll(socket_, asio::buffer(outgoing_), [self = shared_from_this()](error_code error) {
    self->writingPiece_ = false;
    releaseMemory(self->outgoing_);
    if (self->state_ != State::writing)
      return;
    if (error)
      return self->complete(Outcome::connectFailed);
    self->disarmTimer();
    self->continueUpload();
  });
  acceptedAt_ = Clock::now();
  armStallTimer();
}

void UpstreamConnection::armStallTimer() {
  unacknowledgedBytes_ = unacknowledgedBytes(socket_);
  armTimer(Clock::now() + kStallCheckInterval, Outcome::connectFailed);
}

// A slow host frees space in the send buffer in large steps, so the piece may be delayed although the host
// reads. Until its last byte is written the request cannot have been executed, so a stall ends as
// connectFailed.
void UpstreamConnection::checkStall() {
  const auto now = Clock::now();
  if (unacknowledgedBytes(socket_) < unacknowledgedBytes_)
    acceptedAt_ = now;
  if (now - acceptedAt_ >= uploadStallLimit_)
    return complete(Outcome::connectFailed);
  armStallTimer();
}

void UpstreamConnection::continueUpload() {
  if (state_ != State::writing || writingPiece_ || !upload_)
    return;
  if (upload_->hasFailed())
    return complete(Outcome::cancelled);
  const UploadText piece = upload_->consume();
  const bool isChunked = request_->isChunked;
  if (!piece.empty()) {
    starvedSince_.reset();
    return writeUploadPiece(isChunked ? encodeChunk<AttemptText>(piece)
                                      : AttemptText(std::string_view(piece)));
  }
  if (!upload_->isFinished()) {
    starvedSince_ = starvedSince_.value_or(Clock::now());
    return;
  }
  if (isChunked && !std::exchange(lastChunkWritten_, true))
    return writeUploadPiece(encodeChunk<AttemptText>({}));
  upload_->onReadable = nullptr;
  upload_.reset();
  armTimer(deadline_, Outcome::timeout);
  handleRequestWritten();
}

}  // namespace hollyrun::gateway
