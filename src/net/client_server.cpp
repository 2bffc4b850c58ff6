#include "net/client_server.hpp"

#include <algorithm>
#include <boost/asio/buffer.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/string.hpp>
#include <boost/beast/http/error.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/write.hpp>
#include <optional>
#include <sstream>
#include <utility>
#include <vector>

namespace cairnjunction {
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
constexpr auto kSweep = std::chrono::milliseconds(100);       // slow and idle connections are looked for
constexpr auto kLinger = std::chrono::milliseconds(1000);     // for a client to close after the last answer
constexpr std::size_t kLingerBytes = 4 << 20;                 // read out meanwhile; more costs too much time
constexpr auto kAcceptAgain = std::chrono::milliseconds(20);  // when no descriptor was left

}  // namespace

class ClientServer::Session : public std::enable_shared_from_this<Session> {
 public:
  Session(ClientServer& server, tcp::socket socket) : server_(&server), socket_(std::move(socket)) {
    renew();
  }

  void start() { read(); }

  void answer(HttpResponse response, Answered answered) {
    const bool keep = beginAnswer(response, std::move(answered));
    response_ = std::move(response);
    response_.prepare_payload();
    http::async_write(socket_, response_, [self = shared_from_this(), keep](error_code ec, std::size_t) {
      if (self->state_ != State::writing) return;
      self->response_ = {};
      self->answered(ec, keep);
    });
  }

  void answer(HttpResponse head, std::shared_ptr<BodyStream> body, std::optional<std::uint64_t> length,
              Answered answered) {
    const bool keep = beginAnswer(head, std::move(answered));
    if (length) head.content_length(*length);
    else head.chunked(true);
    // Danger: a large buffer of the kernel, written full, tells of room again only once a third of it is
    // free; to a slow reader that looks like a client that stopped.
    error_code ignored;
    socket_.set_option(asio::socket_base::send_buffer_size(kRelayBuffer), ignored);
    download_ = std::move(body);
    download_->onData = [weak = weak_from_this(), keep, chunked = !length] {
      if (const auto self = weak.lock()) self->pump(keep, chunked);
    };
    std::ostringstream text;
    text << head.base();
    write(text.str(), keep, !length);
  }

  void close() {
    if (state_ == State::closed) return;
    state_ = State::closed;
    error_code ignored;
    socket_.close(ignored);
    dropBodies();
    over(false);
    server_->ended(shared_from_this());
  }

  // Between requests, with nothing of the next one come.
  bool idle() const {
    if (state_ != State::reading || begun_) return false;
    error_code ec;
    return socket_.available(ec) == 0 || ec;
  }
  // A part of a request has come, and nothing waits to be read.
  bool unfinished() const {
    if (state_ != State::reading || !begun_) return false;
    error_code ec;
    return socket_.available(ec) == 0 || ec;
  }
  Clock::time_point since() const { return since_; }
  Clock::time_point lastCame() const { return lastCame_; }

  bool overdue(Clock::time_point now) const {
    switch (state_) {
      case State::reading:
        if (parser_->is_header_done()) return tooSlow(now);
        if (first_) return now - connected_ > server_->limits_.first;
        return now - since_ > (begun_ ? server_->limits_.slow : server_->limits_.idle);
      case State::waiting: return upload_ && receiving_ && tooSlow(now);
      case State::writing:  // a client that doesn't read
        return (!download_ || writing_) && now - since_ > server_->limits_.slow;
      case State::lingering: return now - since_ > kLinger;
      default: return false;
    }
  }

 private:
  enum class State { reading, waiting, writing, lingering, closed };

  // The body does not come as fast as the slowest client sends. Danger: a first request that is not proper
  // has to be over in 3 s from the connect; a proper one may take most of that for its head.
  bool tooSlow(Clock::time_point now) const {
    if (first_ && now - connected_ <= server_->limits_.first) return false;
    const auto left = server_->limits_.first + kBodyLate - (bodyBegan_ - connected_);
    const auto grace = first_ ? std::clamp<Clock::duration>(left, kBodyLate, kBodyGrace)
                              : Clock::duration(server_->limits_.slow) / 2;
    const std::chrono::duration<double> passed = now - bodyBegan_ - grace;
    return static_cast<double>(bodyBytes_) < kBodyRate * passed.count();
  }

  bool beginAnswer(HttpResponse& response, Answered answered) {
    if (state_ == State::waiting && upload_) keepAlive_ = false;  // the rest of its body is not wanted
    dropBodies();
    state_ = State::writing;
    exchange_ = 0;
    answered_ = std::move(answered);
    since_ = Clock::now();
    response.version(11);
    const bool keep = keepAlive_ && response.keep_alive() && !server_->last_;
    response.keep_alive(keep);
    return keep;
  }

  void answered(error_code ec, bool keep) {
    over(!ec);
    if (ec || left_) return close();
    if (keep) next();
    else linger();
  }

  void over(bool whole) {  // the answer
    if (const Answered answered = std::exchange(answered_, nullptr)) answered(whole);
  }

  void dropBodies() {
    if (const auto upload = std::exchange(upload_, nullptr)) {
      upload->onRoom = nullptr;
      upload->fail();
    }
    if (const auto download = std::exchange(download_, nullptr)) download->abandon();
  }

  // --- An answer in pieces ---

  void write(std::string text, bool keep, bool chunked) {
    writing_ = true;
    since_ = Clock::now();
    piece_ = std::move(text);
    asio::async_write(socket_, asio::buffer(piece_),
                      [self = shared_from_this(), keep, chunked](error_code ec, std::size_t) {
                        self->writing_ = false;
                        if (self->state_ != State::writing) return;
                        if (ec) return self->close();
                        self->pump(keep, chunked);
                      });
  }

  void pump(bool keep, bool chunked) {
    if (state_ != State::writing || writing_ || !download_) return;
    // Danger: what breaks off must not look whole; the rest of the told length, or the last chunk, is
    // missing.
    const std::string piece = download_->take();
    if (!piece.empty()) return write(chunked ? chunkOf(piece) : piece, keep, chunked);
    if (download_->failed()) return close();
    if (!download_->finished()) return;
    if (chunked && !std::exchange(lastChunk_, true)) return write(chunkOf({}), keep, chunked);
    lastChunk_ = false;
    download_->onData = nullptr;
    download_.reset();
    answered({}, keep);
  }

  // --- Requests ---

  void renew() {
    parser_.emplace();
    parser_->eager(true);
    parser_->header_limit(kHeaderLimit);
    parser_->body_limit(kMostBody);
    held_ = {};
    headSeen_ = false;
    bodyBytes_ = 0;
    state_ = State::reading;
    begun_ = false;
    since_ = Clock::now();
  }

  void next() {
    renew();
    if (!receiving_) consume();
  }

  // One read is always out, also while an answer is awaited: this is how a client's leaving is noticed.
  void read() {
    receiving_ = true;
    socket_.async_read_some(buffer_.prepare(headSeen_ ? kBodyChunk : kChunk),
                            [self = shared_from_this()](error_code ec, std::size_t n) {
                              self->receiving_ = false;
                              self->received(ec, n);
                            });
  }

  void received(error_code ec, std::size_t n) {
    if (state_ == State::closed) return;
    if (ec) {
      if (state_ == State::writing) left_ = true;  // the answer may still arrive
      else if (state_ == State::waiting) gone();
      else close();
      return;
    }
    buffer_.commit(n);
    lastCame_ = Clock::now();
    switch (state_) {
      case State::reading: return consume();
      case State::waiting:
        if (upload_) consume();
        return;  // else sent before it was asked for: kept for the next turn, and no more is read till then
      case State::lingering:
        readOut_ += n;
        if (readOut_ > kLingerBytes) return close();
        return discard();
      default: return;
    }
  }

  void consume() {
    if (buffer_.size() > 0 && !begun_) {
      begun_ = true;
      since_ = Clock::now();
    }
    while (buffer_.size() > 0 && !parser_->is_done()) {
      error_code ec;
      buffer_.consume(parser_->put(buffer_.data(), ec));
      if (ec == http::error::need_more) break;
      if (ec) return reject(ec);
    }
    // Danger: the parser bounds head and body, not the head of a chunk; the buffer throws when it is full,
    // and that would end the process.
    if (!parser_->is_done() && buffer_.size() + kBodyChunk > buffer_.max_size())
      return reject(http::error::body_limit);
    if (parser_->is_header_done() && !std::exchange(headSeen_, true) && !headCame()) return;
    if (headSeen_ && !takeBody()) return;
    if (!parser_->is_done()) return read();
    if (upload_) return uploadCame();
    // Danger: with no read out the client's leaving goes unseen, and with one the buffer may not be touched.
    ClientRequest request = handOver();
    request.message.body() = std::move(parser_->get().body());
    held_.resize(request.message.body().size());
    request.held = std::move(held_);
    if (buffer_.size() == 0) read();
    server_->callbacks_.request(std::move(request));
  }

  // False if it was answered.
  bool headCame() {
    bodyBegan_ = Clock::now();
    const auto& head = parser_->get();
    const auto length = parser_->content_length();
    if (length && *length > kMostBody) return refuse(http::status::payload_too_large);
    if (parser_->is_done()) return true;
    if (head.count(http::field::expect)) {
      if (!boost::beast::iequals(head[http::field::expect], "100-continue"))
        return refuse(http::status::expectation_failed);
      error_code ec;  // so short a text finds room: nothing was written before it
      static constexpr char kContinue[] = "HTTP/1.1 100 Continue\r\n\r\n";
      if (head.version() == 11) socket_.write_some(asio::buffer(kContinue, sizeof kContinue - 1), ec);
      if (ec) {
        close();
        return false;
      }
    }
    const std::size_t held = length && *length <= kHeldBody ? *length : kHeldBody;
    if (!server_->budget_->room(held)) return refuse(http::status::service_unavailable);
    held_ = BodyShare(server_->budget_, held);
    if (length && *length > kHeldBody) beginUpload();
    return state_ == State::reading || state_ == State::waiting;
  }

  // What the parser has of the body moves on, if it is not held whole. False if the request is over.
  bool takeBody() {
    std::string& body = parser_->get().body();
    const auto come = bodyBytes_ + (upload_ ? body.size() : body.size() - std::min(bodyBytes_, body.size()));
    bodyBytes_ = come;
    if (!upload_ && state_ == State::reading && body.size() > kHeldBody) beginUpload();
    if (state_ != State::waiting) return state_ == State::reading;
    if (bodyBytes_ > kMostBody) {
      reject(http::error::body_limit);
      return false;
    }
    const auto upload = upload_;
    // Danger: taken at once, it makes room at once, and a second read would be begun from within.
    feeding_ = true;
    upload->append(std::exchange(body, {}));
    feeding_ = false;
    if (state_ != State::waiting || parser_->is_done()) return state_ == State::waiting;
    if (!upload->full()) return true;
    paused_ = Clock::now();
    return false;  // onRoom reads on
  }

  void beginUpload() {
    held_ = {};
    upload_ = std::make_shared<BodyStream>(server_->budget_);
    upload_->onRoom = [weak = weak_from_this()] {
      const auto self = weak.lock();
      if (!self || self->receiving_ || self->feeding_ || self->state_ != State::waiting || !self->upload_)
        return;
      if (self->upload_->abandoned() || self->upload_->full()) return;
      self->bodyBegan_ += Clock::now() - std::exchange(self->paused_, Clock::now());
      self->read();
    };
    const auto keep = shared_from_this();
    ClientRequest request = handOver();
    request.upload = upload_;
    if (const auto length = parser_->content_length()) request.length = *length;
    server_->callbacks_.request(std::move(request));
  }

  void uploadCame() {
    const auto upload = std::exchange(upload_, nullptr);
    upload->onRoom = nullptr;
    first_ = false;
    if (buffer_.size() == 0) read();
    const ExchangeId exchange = exchange_;
    server_->callbacks_.uploaded(exchange);
    upload->finish();
  }

  ClientRequest handOver() {
    keepAlive_ = parser_->get().keep_alive();
    first_ = first_ && !parser_->is_done();
    state_ = State::waiting;
    exchange_ = ++server_->lastExchange_;
    server_->waiting_.emplace(exchange_, shared_from_this());
    ClientRequest request;
    request.exchange = exchange_;
    request.message.base() = std::move(parser_->get().base());
    request.came = lastCame_;
    return request;
  }

  bool refuse(http::status status) {
    keepAlive_ = false;
    HttpResponse response;
    response.result(status);
    const bool known = server_->waiting_.erase(exchange_) > 0;
    const ExchangeId exchange = exchange_;
    const std::string target = headSeen_ && !known ? parser_->get().target().to_string() : "";
    answer(std::move(response), nullptr);
    if (known) server_->callbacks_.gone(exchange);
    else server_->callbacks_.refused(target, status == http::status::service_unavailable);
    if (!receiving_) discard();
    return false;
  }

  void reject(error_code ec) {
    refuse(ec == http::error::header_limit ? http::status::request_header_fields_too_large
           : ec == http::error::body_limit ? http::status::payload_too_large
                                           : http::status::bad_request);
  }

  void discard() {
    buffer_.consume(buffer_.size());
    read();
  }

  void gone() {
    const ExchangeId exchange = exchange_;
    server_->waiting_.erase(exchange);
    close();
    server_->callbacks_.gone(exchange);
  }

  // Danger: a connection that is closed with unread bytes in it is reset, and the reset may overtake the
  // answer. So our side ends first, and the client's is read out.
  void linger() {
    state_ = State::lingering;
    since_ = Clock::now();
    error_code ignored;
    socket_.shutdown(tcp::socket::shutdown_send, ignored);
    if (!receiving_) discard();
  }

  ClientServer* server_;
  tcp::socket socket_;
  boost::beast::flat_buffer buffer_{kHeaderLimit + 2 * kBodyChunk};
  std::optional<http::request_parser<PieceBody>> parser_;
  HttpResponse response_;
  Answered answered_;
  BodyShare held_;
  std::shared_ptr<BodyStream> upload_, download_;
  std::string piece_;  // of the download, being written
  State state_ = State::reading;
  ExchangeId exchange_ = 0;
  const Clock::time_point connected_ = Clock::now();
  Clock::time_point since_;  // of the state; of a request's first byte, once it is there
  Clock::time_point lastCame_ = connected_, bodyBegan_, paused_;
  std::size_t bodyBytes_ = 0;
  std::size_t readOut_ = 0;  // bytes, after the last answer
  bool first_ = true, begun_ = false, receiving_ = false, keepAlive_ = false, left_ = false;
  bool headSeen_ = false, writing_ = false, feeding_ = false, lastChunk_ = false;
};

ClientServer::ClientServer(asio::io_context& io, Limits limits, Callbacks callbacks,
                           std::shared_ptr<BodyBudget> budget)
    : io_(io),
      acceptor_(io),
      limits_(limits),
      callbacks_(std::move(callbacks)),
      budget_(std::move(budget)),
      sweeper_(io),
      again_(io) {
  sweep();
}

void ClientServer::listen(const tcp::endpoint& at, bool shared) {
  acceptor_.open(at.protocol());
  acceptor_.set_option(tcp::acceptor::reuse_address(true));
  using ReusePort = asio::detail::socket_option::boolean<SOL_SOCKET, SO_REUSEPORT>;
  if (shared) acceptor_.set_option(ReusePort(true));
  acceptor_.bind(at);
  acceptor_.listen();
  acceptor_.non_blocking(true);
  accept();
}

void ClientServer::allow(std::size_t connections) {
  limits_.connections = connections;
  while (sessions_.size() > limits_.connections && makeRoom()) {
  }
}

ClientServer::~ClientServer() {
  onEmpty = nullptr;
  callbacks_.gone = callbacks_.uploaded = [](ExchangeId) {};
  waiting_.clear();
  const std::vector<std::shared_ptr<Session>> all(sessions_.begin(), sessions_.end());
  for (const auto& session : all) session->close();
}

std::shared_ptr<ClientServer::Session> ClientServer::takeWaiter(ExchangeId exchange) {
  const auto it = waiting_.find(exchange);
  if (it == waiting_.end()) return nullptr;
  auto session = std::move(it->second);
  waiting_.erase(it);
  return session;
}

void ClientServer::answer(ExchangeId exchange, HttpResponse response, Answered answered) {
  if (const auto session = takeWaiter(exchange)) session->answer(std::move(response), std::move(answered));
}

void ClientServer::answer(ExchangeId exchange, HttpResponse head, std::shared_ptr<BodyStream> body,
                          std::optional<std::uint64_t> length, Answered answered) {
  if (const auto session = takeWaiter(exchange))
    session->answer(std::move(head), std::move(body), length, std::move(answered));
}

void ClientServer::accept() {
  acceptor_.async_wait(tcp::acceptor::wait_read, [this](error_code ec) {
    if (ec || !acceptor_.is_open()) return;
    if (takeWaiting()) return accept();
    // Danger: with no descriptor left the listener stays readable, and the loop would spin.
    again_.expires_after(kAcceptAgain);
    again_.async_wait([this](error_code waitError) {
      if (!waitError && acceptor_.is_open()) accept();
    });
  });
}

// Takes all that wait; false if there was no room for more. Danger: at the limit, room may be made only for
// a connection that is there: an idle client is not sent away for nobody. So there may be one over it.
bool ClientServer::takeWaiting() {
  for (;;) {
    if (sessions_.size() > limits_.connections && !makeRoom()) return false;
    error_code ec;
    tcp::socket socket(io_);
    acceptor_.accept(socket, ec);
    if (ec == asio::error::would_block || ec == asio::error::try_again) return true;
    if (ec == asio::error::connection_aborted || ec == asio::error::interrupted) continue;
    if (ec) return makeRoom();
    if (sessions_.size() >= limits_.connections) makeRoom();
    admit(std::move(socket));
    if (sessions_.size() > limits_.connections) return false;
  }
}

void ClientServer::admit(tcp::socket socket) {
  error_code ignored;
  socket.set_option(tcp::no_delay(true), ignored);
  const auto session = std::make_shared<Session>(*this, std::move(socket));
  sessions_.insert(session);
  session->start();
}

// The one that is idle for longest; else, of those with a part of a request, the one silent for longest. Who
// writes slowly, but writes, stays, and so does every request that was taken.
bool ClientServer::makeRoom() {
  std::shared_ptr<Session> idle, silent;
  const auto quiet = Clock::now() - kSilent;
  for (const auto& session : sessions_) {
    if ((!idle || session->since() < idle->since()) && session->idle()) idle = session;
    if (session->unfinished() && session->lastCame() < (silent ? silent->lastCame() : quiet))
      silent = session;
  }
  const auto leaving = idle ? idle : silent;
  if (!leaving) return false;
  leaving->close();
  return true;
}

void ClientServer::ended(const std::shared_ptr<Session>& session) {
  sessions_.erase(session);
  if (sessions_.empty() && !acceptor_.is_open() && onEmpty)
    asio::post(io_, [this] {
      if (onEmpty) onEmpty();
    });
}

void ClientServer::lastAnswers() { last_ = true; }

void ClientServer::stopAccepting() {
  // Danger: what waits to be accepted may hold requests already; a closed listener would reset them.
  if (acceptor_.is_open()) takeWaiting();
  error_code ignored;
  acceptor_.close(ignored);
  again_.cancel();
  const std::vector<std::shared_ptr<Session>> all(sessions_.begin(), sessions_.end());
  for (const auto& session : all)
    if (session->idle()) session->close();
  if (sessions_.empty() && onEmpty) onEmpty();
}

void ClientServer::sweep() {
  const auto now = Clock::now();
  std::vector<std::shared_ptr<Session>> overdue;
  for (const auto& session : sessions_)
    if (session->overdue(now)) overdue.push_back(session);
  for (const auto& session : overdue) session->close();
  sweeper_.expires_after(kSweep);
  sweeper_.async_wait([this](error_code ec) {
    if (!ec) sweep();
  });
}

}  // namespace cairnjunction
