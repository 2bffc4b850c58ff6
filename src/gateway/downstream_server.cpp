#include "gateway/downstream_server.hpp"

#include <linux/filter.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <sys/socket.h>

#include <algorithm>
#include <array>
#include <boost/asio/buffer.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/string.hpp>
#include <boost/beast/http/error.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/write.hpp>
#include <cerrno>
#include <optional>
#include <sstream>
#include <utility>
#include <vector>

#include "gateway/chunked_encoding.hpp"
#include "gateway/incremental_body.hpp"
#include "gateway/message_text.hpp"
#include "gateway/socket_io.hpp"

namespace hollyrun::gateway {
namespace {

namespace asio = boost::asio;
namespace http = boost::beast::http;
using boost::system::error_code;
using tcp = asio::ip::tcp;
using Clock = std::chrono::steady_clock;

constexpr std::size_t kChunk = 4096;                      // read at a time
constexpr auto kSilent = std::chrono::milliseconds(500);  // then what is unfinished may make room
constexpr std::size_t kBodyChunk = 16 << 10;
constexpr int kRelayBuffer = 128 << 10;  // of the kernel, for an answer in pieces
constexpr double kBodyRate = 24 << 10;   // bytes a second: well below the slowest proper client
constexpr auto kBodyGrace = std::chrono::milliseconds(1000), kBodyLate = std::chrono::milliseconds(300);
constexpr auto kSweep = std::chrono::milliseconds(100);        // slow and idle connections are looked for
constexpr auto kLinger = std::chrono::milliseconds(1000);      // for a client to close after our side ended;
constexpr auto kLingerFirst = std::chrono::milliseconds(300);  // late, one with no proper request goes sooner
constexpr std::size_t kLingerBytes = 4 << 20;                  // read out meanwhile; more costs too much time
constexpr auto kAcceptAgain = std::chrono::milliseconds(20);   // when no descriptor was left
// A connection that came just before the listener closed may have its first request under way.
constexpr auto kFresh = std::chrono::milliseconds(250);
// Connections that linger beyond the limit, after they made room: of the descriptors that no one else has.
constexpr std::size_t kLeaving = 8;
// Connections accepted in one turn of the event loop: what was accepted before, answers and timers come
// between.
constexpr std::size_t kAcceptBatch = 32;
// Sessions whose socket is asked for unread bytes in a search for room; the next turn reads what these have.
constexpr std::size_t kRoomCandidates = 16;

RejectionKind kindOf(http::status status) {
  return status == http::status::service_unavailable ? RejectionKind::overloaded : RejectionKind::invalid;
}

}  // namespace

class DownstreamServer::Session : public std::enable_shared_from_this<Session> {
 public:
  Session(DownstreamServer& server, tcp::socket socket) : server_(&server), socket_(std::move(socket)) {
    renew();
  }

  void start() { watch(); }

  void answer(HttpResponse response, Answered answered) {
    beginAnswer(response, std::move(answered));
    response.prepare_payload();
    piece_ = serialized(response);
    writeAll(socket_, asio::buffer(piece_), [self = shared_from_this()](error_code ec) {
      if (self->state_ != State::answering)
        return;
      self->piece_ = {};
      self->answered(ec);
    });
  }

  void answer(HttpResponse head, std::shared_ptr<BodyStream> body, std::optional<std::uint64_t> length,
              Answered answered) {
    beginAnswer(head, std::move(answered));
    if (length)
      head.content_length(*length);
    else
      head.chunked(true);
    // Danger: a large buffer of the kernel, written full, tells of room again only once a third of it is
    // free; to a slow reader that looks like a client that stopped.
    error_code ignored;
    socket_.set_option(asio::socket_base::send_buffer_size(kRelayBuffer), ignored);
    download_ = std::move(body);
    download_->onReadable = [weak = weak_from_this(), chunked = !length] {
      if (const auto self = weak.lock())
        self->pump(chunked);
    };
    std::ostringstream text;
    text << head.base();
    write(text.str(), !length);
  }

  // The first reason counts: one that lingers was ended before.
  void close(CloseReason reason) {
    if (state_ == State::closed)
      return;
    const CloseReason counted = endedFor_.value_or(reason);
    ++server_->closed_[static_cast<std::size_t>(counted)];
    const bool owed = state_ == State::waiting || state_ == State::uploading;
    const bool excused = reason == CloseReason::clientLeft || reason == CloseReason::processEnd;
    if (owed && !excused)
      server_->observer_.onClosedUnanswered(exchange_, counted);
    enter(State::closed);
    error_code ignored;
    socket_.close(ignored);
    dropBodies();
    over(false);
    server_->ended(shared_from_this());
  }

  // A lingering close. Danger: a connection that is closed with unread bytes in it, or that gets more after
  // the close, is reset, and the reset may overtake the answer. So our side ends first, and what the client
  // still sends is read and thrown away until it ends, too: it sends a request that met our end once more.
  void linger(CloseReason reason) {
    endedFor_ = reason;
    enter(State::lingering);
    since_ = Clock::now();
    buffer_.consume(buffer_.size());
    held_ = {};
    error_code ignored;
    socket_.shutdown(tcp::socket::shutdown_send, ignored);
    watch();
  }

  bool idle() const { return state_ == State::idle && !hasUnreadBytes(socket_); }
  // A part of a request has come, and nothing waits to be read.
  bool unfinished() const {
    return (state_ == State::head || state_ == State::body) && !hasUnreadBytes(socket_);
  }
  bool fresh(Clock::time_point now) const { return first_ && now - connected_ <= kFresh; }
  Clock::time_point lastCame() const { return lastCame_; }

  // Whether the client has ended its side, seen at once. Danger: an end that lies behind unread bytes is no
  // event of the loop, nor is one that it has not come to yet.
  bool hungUp() {
    pollfd look{socket_.native_handle(), POLLRDHUP, 0};
    int found = 0;
    do
      found = ::poll(&look, 1, 0);
    while (found < 0 && errno == EINTR);
    if (found < 0)
      return !established();
    return found > 0 && (look.revents & (POLLRDHUP | POLLHUP | POLLERR));
  }

  // Its client left while its request was waiting.
  void gone() {
    const DownstreamRequestId exchange = exchange_;
    server_->waiting_.erase(exchange);
    close(CloseReason::clientLeft);
    server_->observer_.onClientDisconnected(exchange);
  }

  // What has to happen by itself, looked for from time to time.
  void sweep(Clock::time_point now) {
    if ((state_ == State::waiting || state_ == State::uploading) && !watching_ && hungUp())
      return gone();
    if (!overdue(now))
      return;
    if (state_ == State::idle || state_ == State::head)
      linger(first_ || state_ == State::head ? CloseReason::incomplete : CloseReason::idle);
    else if (state_ == State::answering || state_ == State::lingering)
      close(CloseReason::stalledReader);
    else
      refuse(http::status::request_timeout);
  }

 private:
  // Whether neither side has ended: the kernel's own state, for when the poll itself fails.
  bool established() {
    tcp_info info{};
    socklen_t length = sizeof info;
    if (::getsockopt(socket_.native_handle(), IPPROTO_TCP, TCP_INFO, &info, &length) != 0)
      return false;
    return info.tcpi_state == TCP_ESTABLISHED;
  }

  // docs/connections.md has the table of states and events.
  enum class State { idle, head, body, uploading, waiting, answering, lingering, closed };

  // The server's list of the sessions in this state that may be closed to make room, if there is one.
  SessionList* listOf(State state) {
    switch (state) {
      case State::idle:
        return &server_->idle_;
      case State::head:
      case State::body:
        return &server_->unfinished_;
      case State::lingering:
        return &server_->lingering_;
      default:
        return nullptr;
    }
  }

  void enter(State next) {
    state_ = next;
    if (list_)
      list_->erase(inList_);
    list_ = listOf(next);
    if (list_)
      inList_ = list_->insert(list_->end(), this);
  }

  bool overdue(Clock::time_point now) const {
    switch (state_) {
      case State::idle:
        if (!server_->acceptor_.is_open() && server_->last_)
          return !fresh(now);
        return now - since_ > (first_ ? server_->limits_.first : server_->limits_.idle);
      case State::head:
        if (first_)
          return now - connected_ > server_->limits_.first;
        return now - since_ > server_->limits_.slow;
      case State::body:
        return tooSlow(now);
      case State::uploading:
        return watching_ && tooSlow(now);
      case State::answering:  // a client that doesn't read
        return (!download_ || writing_) && now - since_ > server_->limits_.slow;
      case State::lingering:
        if (first_ && now - connected_ > server_->limits_.first + kBodyLate)
          return now - since_ > kLingerFirst;
        return now - since_ > kLinger;
      default:
        return false;
    }
  }

  // The body does not come as fast as the slowest client sends. Danger: a first request that is not proper
  // has to be over in 3 s from the connect; a proper one may take most of that for its head.
  bool tooSlow(Clock::time_point now) const {
    if (first_ && now - connected_ <= server_->limits_.first)
      return false;
    const auto left = server_->limits_.first + kBodyLate - (bodyBegan_ - connected_);
    const auto grace = first_ ? std::clamp<Clock::duration>(left, kBodyLate, kBodyGrace)
                              : Clock::duration(server_->limits_.slow) / 2;
    const std::chrono::duration<double> passed = now - bodyBegan_ - grace;
    return static_cast<double>(bodyBytes_) < kBodyRate * passed.count();
  }

  void beginAnswer(HttpResponse& response, Answered answered) {
    if (state_ == State::uploading)
      keepAlive_ = false;  // the rest of its body is not wanted
    dropBodies();
    enter(State::answering);
    exchange_ = 0;
    answered_ = std::move(answered);
    since_ = Clock::now();
    response.version(11);
    keepAlive_ = keepAlive_ && response.keep_alive() && !server_->last_;
    response.keep_alive(keepAlive_);
  }

  // Danger: the last answers may have been asked for since this one began.
  void answered(error_code ec) {
    over(!ec);
    if (ec)
      return close(CloseReason::clientLeft);
    if (keepAlive_ && !server_->last_)
      next();
    else
      linger(CloseReason::lastAnswer);
  }

  void over(bool whole) {  // the answer
    if (const Answered answered = std::exchange(answered_, nullptr))
      answered(whole);
  }

  void dropBodies() {
    if (const auto upload = std::exchange(upload_, nullptr)) {
      upload->onWritable = nullptr;
      upload->fail();
    }
    if (const auto download = std::exchange(download_, nullptr))
      download->abandon();
  }

  // --- An answer in pieces ---

  void write(std::string text, bool chunked) {
    writing_ = true;
    since_ = Clock::now();
    piece_ = std::move(text);
    writeAll(socket_, asio::buffer(piece_), [self = shared_from_this(), chunked](error_code ec) {
      self->writing_ = false;
      if (self->state_ != State::answering)
        return;
      if (ec)
        return self->close(CloseReason::clientLeft);
      self->pump(chunked);
    });
  }

  void pump(bool chunked) {
    if (state_ != State::answering || writing_ || !download_)
      return;
    // Danger: what breaks off must not look whole; the rest of the told length, or the last chunk, is
    // missing.
    const std::string piece = download_->consume();
    if (!piece.empty())
      return write(chunked ? encodeChunk(piece) : piece, chunked);
    if (download_->hasFailed())
      return close(CloseReason::brokenAnswer);
    if (!download_->isFinished())
      return;
    if (chunked && !std::exchange(lastChunk_, true))
      return write(encodeChunk({}), chunked);
    lastChunk_ = false;
    download_->onReadable = nullptr;
    download_.reset();
    answered({});
  }

  // --- Requests ---

  void renew() {
    parser_.emplace();
    parser_->eager(true);
    parser_->header_limit(kHeaderLimit);
    parser_->body_limit(kMaxRequestBody);
    held_ = {};
    bodyBytes_ = 0;
    enter(State::idle);
    since_ = Clock::now();
  }

  void next() {
    renew();
    if (buffer_.size() > 0)
      consume();
    else
      watch();
  }

  // One wait is always out but while no more may be taken in. It reads nothing by itself: what is there to
  // be read is looked at in the state of that moment.
  void watch() {
    if (std::exchange(watching_, true))
      return;
    socket_.async_wait(tcp::socket::wait_read, [self = shared_from_this()](error_code) {
      self->watching_ = false;
      if (self->state_ != State::closed)
        self->readable();
    });
  }

  void readable() {
    if (state_ == State::lingering)
      return readOut();
    const bool body = state_ == State::body || state_ == State::uploading;
    error_code ec;
    const std::size_t n = socket_.read_some(buffer_.prepare(body ? kBodyChunk : kChunk), ec);
    if (wouldBlock(ec) || isInterrupted(ec))
      return watch();
    if (ec)
      return clientEnded();
    buffer_.commit(n);
    lastCame_ = Clock::now();
    if (list_)
      list_->splice(list_->end(), *list_, inList_);
    if (state_ == State::waiting || state_ == State::answering)
      return watchAhead();
    consume();
  }

  // What is sent before it is asked for is kept for the next turn.
  void watchAhead() {
    if (buffer_.size() < kChunk)
      watch();
  }

  // By an end of its side or a reset; from here the two and a half-close look alike.
  void clientEnded() {
    switch (state_) {
      case State::uploading:
      case State::waiting:
        return gone();
      case State::answering:
        keepAlive_ = false;
        return;  // the answer may still arrive
      default:
        return close(CloseReason::clientLeft);
    }
  }

  void readOut() {
    static std::array<char, kBodyChunk> thrown;
    error_code ec;
    readOut_ += socket_.read_some(asio::buffer(thrown), ec);
    const bool none = wouldBlock(ec) || isInterrupted(ec);
    if ((ec && !none) || readOut_ > kLingerBytes)
      return close(CloseReason::clientLeft);
    watch();
  }

  void consume() {
    if (state_ == State::idle) {
      enter(State::head);
      since_ = Clock::now();
    }
    while (buffer_.size() > 0 && !parser_->is_done()) {
      error_code ec;
      buffer_.consume(parser_->put(buffer_.data(), ec));
      if (ec == http::error::need_more)
        break;
      if (ec)
        return reject(ec);
    }
    // Danger: the parser bounds head and body, not the head of a chunk; the buffer throws when it is full,
    // and that would end the process.
    if (!parser_->is_done() && buffer_.size() + kBodyChunk > buffer_.max_size())
      return reject(http::error::body_limit);
    if (state_ == State::head && parser_->is_header_done() && !headCame())
      return;
    if (state_ != State::head && !takeBody())
      return;
    if (!parser_->is_done())
      return watch();
    if (state_ == State::uploading)
      return uploadCame();
    DownstreamRequest request = handOver(State::waiting);
    request.message.body() = std::move(parser_->get().body());
    held_.resize(request.message.body().size());
    request.reservation = std::move(held_);
    watchAhead();
    server_->observer_.onRequest(std::move(request));
  }

  // False if it was answered.
  bool headCame() {
    enter(State::body);
    bodyBegan_ = Clock::now();
    const auto& head = parser_->get();
    const auto length = parser_->content_length();
    if (length && *length > kMaxRequestBody)
      return refuse(http::status::payload_too_large);
    if (parser_->is_done())
      return true;
    if (head.count(http::field::expect)) {
      if (!boost::beast::iequals(head[http::field::expect], "100-continue"))
        return refuse(http::status::expectation_failed);
      if (head.version() == 11 && !sayContinue()) {
        close(CloseReason::clientLeft);
        return false;
      }
    }
    const std::size_t held = length && *length <= kBufferedBodyLimit ? *length : kBufferedBodyLimit;
    if (!server_->budget_->hasCapacity(held))
      return refuse(http::status::service_unavailable);
    held_ = MemoryReservation(server_->budget_, held);
    if (length && *length > kBufferedBodyLimit)
      beginUpload();
    return state_ == State::body || state_ == State::uploading;
  }

  // So short a text finds room in the kernel's buffer: nothing was written before it.
  bool sayContinue() {
    static constexpr std::string_view kContinue = "HTTP/1.1 100 Continue\r\n\r\n";
    error_code ec;
    for (asio::const_buffer rest = asio::buffer(kContinue); rest.size() > 0;) {
      rest += socket_.write_some(rest, ec);
      if (ec && !isInterrupted(ec))
        return false;
    }
    return true;
  }

  // What the parser has of the body moves on, if it is not held whole. False if the request is over.
  bool takeBody() {
    std::string& body = parser_->get().body();
    const auto come = bodyBytes_ + (upload_ ? body.size() : body.size() - std::min(bodyBytes_, body.size()));
    bodyBytes_ = come;
    if (state_ == State::body && body.size() > kBufferedBodyLimit)
      beginUpload();
    if (state_ != State::uploading)
      return state_ == State::body;
    if (bodyBytes_ > kMaxRequestBody) {
      reject(http::error::body_limit);
      return false;
    }
    const auto upload = upload_;
    // Danger: taken at once, it makes room at once, and a second read would be begun from within.
    feeding_ = true;
    upload->append(std::exchange(body, {}));
    feeding_ = false;
    if (state_ != State::uploading || parser_->is_done())
      return state_ == State::uploading;
    if (!upload->isFull())
      return true;
    paused_ = Clock::now();
    return false;  // onWritable watches on
  }

  void beginUpload() {
    held_ = {};
    upload_ = std::make_shared<BodyStream>(server_->budget_);
    upload_->onWritable = [weak = weak_from_this()] {
      const auto self = weak.lock();
      if (!self || self->watching_ || self->feeding_ || self->state_ != State::uploading)
        return;
      if (self->upload_->isAbandoned() || self->upload_->isFull())
        return;
      self->bodyBegan_ += Clock::now() - std::exchange(self->paused_, Clock::now());
      self->watch();
    };
    const auto keep = shared_from_this();
    DownstreamRequest request = handOver(State::uploading);
    request.upload = upload_;
    if (const auto length = parser_->content_length())
      request.uploadLength = *length;
    server_->observer_.onRequest(std::move(request));
  }

  void uploadCame() {
    const auto upload = std::exchange(upload_, nullptr);
    upload->onWritable = nullptr;
    first_ = false;
    enter(State::waiting);
    watchAhead();
    const DownstreamRequestId exchange = exchange_;
    server_->observer_.onUploadComplete(exchange);
    upload->finish();
  }

  DownstreamRequest handOver(State next) {
    keepAlive_ = parser_->get().keep_alive();
    first_ = first_ && !parser_->is_done();
    enter(next);
    exchange_ = ++server_->lastExchange_;
    server_->waiting_.emplace(exchange_, shared_from_this());
    DownstreamRequest request;
    request.id = exchange_;
    request.message.base() = std::move(parser_->get().base());
    request.receivedAt = lastCame_;
    return request;
  }

  bool refuse(http::status status) {
    keepAlive_ = false;
    HttpResponse response;
    response.result(status);
    const bool known = server_->waiting_.erase(exchange_) > 0;
    const DownstreamRequestId exchange = exchange_;
    const bool headWhole = state_ == State::body;
    const std::string target = headWhole ? parser_->get().target().to_string() : "";
    buffer_.consume(buffer_.size());
    answer(std::move(response), nullptr);
    if (known)
      server_->observer_.onClientDisconnected(exchange);
    else
      server_->observer_.onLocalRejection(target, kindOf(status));
    watch();
    return false;
  }

  void reject(error_code ec) {
    refuse(ec == http::error::header_limit ? http::status::request_header_fields_too_large
           : ec == http::error::body_limit ? http::status::payload_too_large
                                           : http::status::bad_request);
  }

  DownstreamServer* server_;
  tcp::socket socket_;
  boost::beast::flat_buffer buffer_{kHeaderLimit + 2 * kBodyChunk};
  std::optional<http::request_parser<IncrementalBody>> parser_;
  Answered answered_;
  MemoryReservation held_;
  std::shared_ptr<BodyStream> upload_, download_;
  std::string piece_;  // of the answer or all of it, being written
  State state_ = State::idle;
  std::optional<CloseReason> endedFor_;
  SessionList* list_ = nullptr;   // that holds this session,
  SessionList::iterator inList_;  // here
  DownstreamRequestId exchange_ = 0;
  const Clock::time_point connected_ = Clock::now();
  Clock::time_point since_;  // of the state; of a request's first byte, once it is there
  Clock::time_point lastCame_ = connected_, bodyBegan_, paused_;
  std::size_t bodyBytes_ = 0;
  std::size_t readOut_ = 0;                  // bytes, after the last answer
  bool first_ = true;                        // no request has come whole yet
  bool keepAlive_ = false;                   // of the request, then of its answer
  bool watching_ = false, writing_ = false;  // a wait, a write of a piece is out
  bool feeding_ = false, lastChunk_ = false;
};

DownstreamServer::DownstreamServer(asio::io_context& io, Limits limits, DownstreamObserver& observer,
                                   std::shared_ptr<MemoryBudget> budget)
    : io_(io),
      acceptor_(io),
      limits_(limits),
      observer_(observer),
      budget_(std::move(budget)),
      sweeper_(io),
      again_(io) {
  sweep();
}

void DownstreamServer::listen(const tcp::endpoint& at, bool shared) {
  acceptor_.open(at.protocol());
  acceptor_.set_option(tcp::acceptor::reuse_address(true));
  using ReusePort = asio::detail::socket_option::boolean<SOL_SOCKET, SO_REUSEPORT>;
  if (shared)
    acceptor_.set_option(ReusePort(true));
  acceptor_.bind(at);
  acceptor_.listen();
  acceptor_.non_blocking(true);
  // Danger: without it Asio takes an aborted connection for a reason to wait, in this call, for the next one.
  acceptor_.set_option(asio::socket_base::enable_connection_aborted(true));
  accept();
}

void DownstreamServer::allow(std::size_t connections) {
  limits_.connections = connections;
  while (admitted() > limits_.connections && makeRoom()) {
  }
}

DownstreamServer::~DownstreamServer() {
  destroying_ = true;
  waiting_.clear();
  const std::vector<std::shared_ptr<Session>> all(sessions_.begin(), sessions_.end());
  for (const auto& session : all)
    session->close(CloseReason::processEnd);
}

std::shared_ptr<DownstreamServer::Session> DownstreamServer::takeWaiter(DownstreamRequestId exchange) {
  const auto it = waiting_.find(exchange);
  if (it == waiting_.end())
    return nullptr;
  auto session = std::move(it->second);
  waiting_.erase(it);
  return session;
}

void DownstreamServer::answer(DownstreamRequestId exchange, HttpResponse response, Answered answered) {
  if (const auto session = takeWaiter(exchange))
    session->answer(std::move(response), std::move(answered));
}

void DownstreamServer::answer(DownstreamRequestId exchange, HttpResponse head,
                              std::shared_ptr<BodyStream> body, std::optional<std::uint64_t> length,
                              Answered answered) {
  if (const auto session = takeWaiter(exchange))
    session->answer(std::move(head), std::move(body), length, std::move(answered));
}

bool DownstreamServer::present(DownstreamRequestId exchange) const {
  const auto it = waiting_.find(exchange);
  return it != waiting_.end() && !it->second->hungUp();
}

void DownstreamServer::leave(DownstreamRequestId exchange) {
  const auto it = waiting_.find(exchange);
  if (it != waiting_.end())
    std::shared_ptr<Session>(it->second)->gone();
}

void DownstreamServer::accept() {
  acceptor_.async_wait(tcp::acceptor::wait_read, [this](error_code ec) {
    if (ec || !acceptor_.is_open())
      return;
    if (takeWaiting() != Accepted::noRoom)
      return accept();
    // Danger: with no descriptor or buffer left the listener stays readable, and the loop would spin.
    again_.expires_after(kAcceptAgain);
    again_.async_wait([this](error_code waitError) {
      if (!waitError && acceptor_.is_open())
        accept();
    });
  });
}

// Takes a batch of those that wait. Danger: at the limit, room may be made only for a connection that is
// there: an idle client is not sent away for nobody. So there may be one over it.
DownstreamServer::Accepted DownstreamServer::takeWaiting() {
  for (std::size_t tries = 0; tries < kAcceptBatch; ++tries) {
    if (admitted() > limits_.connections && !makeRoom())
      return Accepted::noRoom;
    error_code ec;
    tcp::socket socket(io_);
    acceptor_.accept(socket, ec);
    if (wouldBlock(ec))
      return Accepted::all;
    // Danger: closing a connection helps only where this process has no descriptor left; at any other error
    // it would end one whose request is on its way.
    if (ec == boost::system::errc::too_many_files_open)
      return makeRoom(Fresh::stay) ? Accepted::some : Accepted::noRoom;
    if (isLocalShortage(ec) && !isInterrupted(ec))
      return Accepted::noRoom;
    if (ec)  // of the connection that waited first, which is gone: the next one may be well (accept(2))
      continue;
    if (admitted() >= limits_.connections)
      makeRoom();
    admit(std::move(socket));
    if (admitted() > limits_.connections)
      return Accepted::noRoom;
  }
  return Accepted::some;
}

void DownstreamServer::admit(tcp::socket socket) {
  error_code ignored;
  socket.set_option(tcp::no_delay(true), ignored);
  socket.non_blocking(true, ignored);
  const auto session = std::make_shared<Session>(*this, std::move(socket));
  sessions_.insert(session);
  session->start();
}

// The one that is idle for longest; else, of those with a part of a request, the one silent for longest; else
// one whose time to linger may be cut short. Who writes slowly, but writes, stays, and so does every request
// that was taken. Danger: its next request may be on its way to the one that leaves, so that lingers, too,
// and only the first of several has to go at once.
bool DownstreamServer::makeRoom(Fresh fresh) {
  std::shared_ptr<Session> leaving = oldestIdle(fresh);
  if (!leaving)
    leaving = oldestUnfinished();
  if (leaving) {
    leaving_.push_back(leaving);
    leaving->linger(CloseReason::madeRoom);
    if (leaving_.size() > kLeaving)
      std::shared_ptr<Session>(leaving_.front())->close(CloseReason::madeRoom);
    return true;
  }
  const std::shared_ptr<Session> lingering = oldestLingering();
  if (lingering)
    lingering->close(CloseReason::madeRoom);
  return lingering != nullptr;
}

std::shared_ptr<DownstreamServer::Session> DownstreamServer::oldestIdle(Fresh fresh) const {
  const auto now = Clock::now();
  std::size_t looked = 0;
  for (Session* session : idle_) {
    if (fresh == Fresh::stay && session->fresh(now))
      continue;
    if (session->idle())
      return session->shared_from_this();
    if (++looked == kRoomCandidates)
      break;
  }
  return nullptr;
}

std::shared_ptr<DownstreamServer::Session> DownstreamServer::oldestUnfinished() const {
  const auto quiet = Clock::now() - kSilent;
  std::size_t looked = 0;
  for (Session* session : unfinished_) {
    if (session->lastCame() >= quiet)
      break;
    if (session->unfinished())
      return session->shared_from_this();
    if (++looked == kRoomCandidates)
      break;
  }
  return nullptr;
}

std::shared_ptr<DownstreamServer::Session> DownstreamServer::oldestLingering() const {
  for (Session* session : lingering_) {
    std::shared_ptr<Session> candidate = session->shared_from_this();
    if (!leaves(candidate))
      return candidate;
  }
  return nullptr;
}

bool DownstreamServer::leaves(const std::shared_ptr<Session>& session) const {
  return std::find(leaving_.begin(), leaving_.end(), session) != leaving_.end();
}

void DownstreamServer::ended(const std::shared_ptr<Session>& session) {
  sessions_.erase(session);
  std::erase(leaving_, session);
  if (sessions_.empty() && !acceptor_.is_open() && !destroying_)
    asio::post(io_, [this] { observer_.onDrained(); });
}

void DownstreamServer::lastAnswers() {
  last_ = true;
}

void DownstreamServer::stopAccepting() {
  if (acceptor_.is_open()) {
    // Danger: what waits to be accepted may hold requests already, and a closed listener resets it. So from
    // here on no connection completes, then all that did are taken.
    sock_filter none[] = {{BPF_RET | BPF_K, 0, 0, 0}};
    const sock_fprog program{1, none};
    ::setsockopt(acceptor_.native_handle(), SOL_SOCKET, SO_ATTACH_FILTER, &program, sizeof program);
    while (takeWaiting() == Accepted::some) {
    }
    observer_.onLastAccept();
  }
  error_code ignored;
  acceptor_.close(ignored);
  again_.cancel();
  const auto now = Clock::now();
  const std::vector<std::shared_ptr<Session>> all(sessions_.begin(), sessions_.end());
  for (const auto& session : all)
    if (session->idle() && !session->fresh(now))
      session->linger(CloseReason::stopping);
  if (sessions_.empty())
    observer_.onDrained();
}

void DownstreamServer::sweep() {
  const auto now = Clock::now();
  const std::vector<std::shared_ptr<Session>> all(sessions_.begin(), sessions_.end());
  for (const auto& session : all)
    session->sweep(now);
  sweeper_.expires_after(kSweep);
  sweeper_.async_wait([this](error_code ec) {
    if (!ec)
      sweep();
  });
}

}  // namespace hollyrun::gateway
