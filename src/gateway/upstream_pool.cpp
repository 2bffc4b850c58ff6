#include "gateway/upstream_pool.hpp"

#include <algorithm>
#include <boost/asio/buffer.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http/error.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/rfc7230.hpp>
#include <boost/beast/http/write.hpp>
#include <chrono>
#include <limits>
#include <optional>
#include <sstream>
#include <utility>

#include "gateway/chunked_encoding.hpp"
#include "gateway/incremental_body.hpp"
#include "gateway/message_text.hpp"
#include "gateway/socket_io.hpp"

namespace hollyrun::gateway {
namespace {

namespace asio = boost::asio;
namespace http = boost::beast::http;
using balancer::Duration;
using balancer::HostId;
using balancer::Outcome;
using boost::system::error_code;
using tcp = asio::ip::tcp;
using Clock = std::chrono::steady_clock;

constexpr std::size_t kChunk = 16 << 10;  // read at a time
constexpr Duration kSweep = std::chrono::milliseconds(250);
// A host that spoke unasked on a connection may do so again some milliseconds after an answer, and that would
// pass for the answer to the next request. Its connections rest so long first, for so long after.
constexpr auto kQuiet = std::chrono::milliseconds(50);
constexpr Duration kUnasked = std::chrono::seconds(30);
// What is on its way to a host that takes nothing new has so long to begin: half of what the rules grant.
constexpr Duration kLastBegin = std::chrono::milliseconds(500);
constexpr auto kHoldUnknown = std::chrono::milliseconds(100);  // an answer that may prove to be a large one
constexpr Duration kStall = std::chrono::seconds(10);  // a peer of a body in pieces that stands still is left
// Danger: a request written to a connection that the host is just closing ends as a reset, which may have
// run. Given up earlier than the host would by this, or by a fifth of a short limit.
constexpr Duration kIdleMargin = std::chrono::seconds(2);

// A break while the answer is read: the host's end of the connection went, or it sent what is no answer.
Outcome brokenRead(error_code ec) {
  const bool garbage = ec.category() == http::make_error_code(http::error::bad_version).category() &&
                       ec != http::error::end_of_stream && ec != http::error::partial_message;
  return garbage ? Outcome::error : Outcome::reset;
}

}  // namespace

struct UpstreamPool::Connection : std::enable_shared_from_this<Connection> {
  enum class Phase { connecting, writing, reading, relaying, idle, closed };

  UpstreamPool* pool;
  HostId host;
  tcp::socket socket;
  asio::steady_timer timer;
  boost::beast::flat_buffer buffer{kHeaderLimit + 2 * kChunk};
  std::optional<http::response_parser<IncrementalBody>> parser;
  HttpRequest request;
  std::shared_ptr<BodyStream> upload, download;
  MemoryReservation held;
  std::string piece;  // of the request or all of it, being written
  AttemptKey key;
  Phase phase = Phase::connecting;
  Clock::time_point sentAt, idleSince, deadline, beginBy;
  std::uint64_t turn = 0;  // of the timer: one that is already due when it is moved is told by it
  bool watching = false, pieceOut = false, lastChunk = false, receiving = false;
  bool waitsShort = false, feeding = false;

  Connection(UpstreamPool& p, HostId h) : pool(&p), host(h), socket(p.io_), timer(p.io_) { ++p.open_; }

  void close() {
    if (phase == Phase::closed)
      return;
    phase = Phase::closed;
    ++turn;
    timer.cancel();
    error_code ignored;
    socket.close(ignored);
    dropBodies();
    --pool->open_;
  }

  void dropBodies() {
    if (const auto mine = std::exchange(upload, nullptr)) {
      mine->onReadable = nullptr;
      if (mine->touched())
        mine->abandon();  // else another attempt may take it
    }
    if (const auto mine = std::exchange(download, nullptr)) {
      mine->onWritable = nullptr;
      mine->fail();
    }
    held = {};
  }

  void limit(Clock::time_point at, Outcome outcome) {
    timer.expires_at(at);
    timer.async_wait([self = shared_from_this(), mine = ++turn, outcome](error_code ec) {
      if (!ec && mine == self->turn && self->phase != Phase::closed)
        self->late(outcome);
    });
  }

  void late(Outcome outcome) {
    if (phase == Phase::reading && outcome == Outcome::timeout && mayGrow()) {
      if (!parser->get().body().empty())
        return beginRelay();
      if (Clock::now() < deadline)
        return limit(deadline, outcome);
    }
    if (phase != Phase::relaying)
      return end(outcome);
    close();
    pool->relaying_.erase(shared_from_this());
  }

  // An answer of unknown length. It may pass what is held, and of such a one the first bytes count.
  bool mayGrow() const {
    return parser && parser->is_header_done() && !parser->is_done() && !parser->content_length() &&
           parser->get().result() == http::status::ok;
  }

  void limitDial() {
    limit(std::min(beginBy, sentAt + pool->limits_.connectTimeout), Outcome::connectFailed);
  }

  // Asks for this step of the attempt; false if it has ended instead. The deadline that the server is told is
  // made here, from the time that is left now: one made earlier does not know how long the connection took.
  bool permitted(AttemptStep step) {
    const AdmissionResult admission = pool->observer_.admit({key, host, step, deadline - Clock::now()});
    if (admission.denied) {
      end(*admission.denied, step == AttemptStep::write);
      return false;
    }
    if (admission.advertisedDeadline)
      request.set("X-Deadline-Ms", std::to_string(admission.advertisedDeadline->count()));
    return true;
  }

  void connect(const tcp::endpoint& endpoint) {
    if (!permitted(AttemptStep::connect))
      return;
    // Until the connection is up nothing has been written, so the end of the attempt's own time proves here
    // that it never ran, as the end of the time for connecting does.
    limitDial();
    if (!pool->openSocket(socket, endpoint))
      return end(Outcome::localFailure);
    socket.async_connect(endpoint, [self = shared_from_this()](error_code connectError) {
      if (self->phase != Phase::connecting)
        return;
      // Danger: a shortage of this machine, told of the host, rests hosts that are well, in a burst all of
      // them.
      if (isLocalShortage(connectError))
        return self->end(Outcome::localFailure);
      // Danger: it may come up in the instant in which its time ends; from then on it may not begin.
      if (connectError || Clock::now() > self->beginBy)
        return self->end(Outcome::connectFailed);
      error_code ignored;
      self->socket.set_option(tcp::no_delay(true), ignored);
      self->socket.non_blocking(true, ignored);
      self->write();
    });
  }

  void write() {
    if (!permitted(AttemptStep::write))
      return;
    phase = Phase::writing;
    if (upload)
      return writeUpload();
    limit(deadline, Outcome::timeout);
    piece = serialized(request);
    writeAll(socket, asio::buffer(piece), [self = shared_from_this()](error_code ec) {
      self->piece = {};
      if (self->phase != Phase::writing)
        return;
      // An error here means that the last byte was not written: it never ran.
      if (ec)
        return self->end(Outcome::connectFailed);
      self->written();
    });
  }

  void written() {
    ++pool->written_;
    phase = Phase::reading;
    if (!receiving)
      read();
  }

  // --- A request in pieces ---

  // Reads meanwhile: a host that turns the request away says so before its end.
  void writeUpload() {
    upload->onReadable = [weak = weak_from_this()] {
      if (const auto self = weak.lock())
        self->pump();
    };
    std::ostringstream head;
    head << request.base();
    writePiece(head.str());
    read();
  }

  void writePiece(std::string text) {
    pieceOut = true;
    piece = std::move(text);
    limit(Clock::now() + kStall, Outcome::connectFailed);  // the last byte is still to come
    writeAll(socket, asio::buffer(piece), [self = shared_from_this()](error_code ec) {
      self->pieceOut = false;
      if (self->phase != Phase::writing)
        return;
      if (ec)
        return self->end(Outcome::connectFailed);
      ++self->turn;
      self->timer.cancel();
      self->pump();
    });
  }

  void pump() {
    if (phase != Phase::writing || pieceOut || !upload)
      return;
    if (upload->hasFailed())
      return end(Outcome::cancelled);
    const std::string next = upload->consume();
    const bool chunked = request.chunked();
    if (!next.empty())
      return writePiece(chunked ? encodeChunk(next) : next);
    if (!upload->isFinished())
      return;
    if (chunked && !std::exchange(lastChunk, true))
      return writePiece(encodeChunk({}));
    upload->onReadable = nullptr;
    upload.reset();
    limit(deadline, Outcome::timeout);
    written();
  }

  // --- The answer ---

  void read() {
    if (phase != Phase::relaying)
      renewParser();
    receive();
  }

  void renewParser() {
    parser.emplace();
    parser->eager(true);
    parser->body_limit(std::numeric_limits<std::uint64_t>::max());  // what is not held passes through
    parser->header_limit(kHeaderLimit);
  }

  void receive() {
    receiving = true;
    socket.async_read_some(buffer.prepare(kChunk), [self = shared_from_this()](error_code ec, std::size_t n) {
      self->receiving = false;
      if (self->phase != Phase::reading && self->phase != Phase::writing && self->phase != Phase::relaying)
        return;
      self->buffer.commit(n);
      self->received(ec);
    });
  }

  void received(error_code ec) {
    if (ec == asio::error::eof) {
      error_code ended;
      if (parser->got_some())
        parser->put_eof(ended);
      if (!parser->got_some() || ended)
        return broken(ended ? ended : ec);
      return answered();  // ended by the connection's end
    }
    if (ec)
      return broken(ec);
    while (buffer.size() > 0 && !parser->is_done()) {
      error_code bad;
      buffer.consume(parser->put(buffer.data(), bad));
      if (bad == http::error::need_more)
        break;
      if (bad)
        return broken(bad);
      const int status = parser->is_header_done() ? parser->get().result_int() : 0;
      if (parser->is_done() && status / 100 == 1 && status != 101)
        renewParser();  // the answer is to come
    }
    // Danger: the parser bounds the head, not the head of a chunk, and the buffer throws when it is full.
    if (!parser->is_done() && buffer.size() + kChunk > buffer.max_size())
      return broken(http::error::header_limit);
    if (phase == Phase::relaying)
      return relay();
    if (parser->is_done())
      return answered();
    if (!parser->is_header_done())
      return receive();
    const auto length = parser->content_length();
    const std::size_t come = parser->get().body().size();
    held.resize(come);
    if (phase == Phase::reading && mayGrow() && !std::exchange(waitsShort, true))
      limit(std::min(deadline, Clock::now() + kHoldUnknown), Outcome::timeout);
    const bool whole = std::max<std::uint64_t>(come, length ? *length : 0) <= kBufferedBodyLimit &&
                       (come == 0 || pool->budget_->hasCapacity(kBufferedBodyLimit));
    if (whole)
      return receive();
    if (phase != Phase::reading || parser->get().result() != http::status::ok)
      return answered(false);
    beginRelay();
  }

  void broken(error_code ec) {
    // Danger: with all of the body given to the socket, the last byte may be out though we have not heard.
    const bool last = upload && upload->isFinished();
    if (phase == Phase::writing)
      return end(last ? Outcome::reset : Outcome::connectFailed);
    if (phase == Phase::reading)
      return end(brokenRead(ec));
    close();
    pool->relaying_.erase(shared_from_this());
  }

  void answered(bool whole = true) {
    if (phase == Phase::relaying)
      return relay();
    const bool early = phase == Phase::writing;  // before the end of its request: it can't have run
    const Outcome outcome = judge();
    if (early)
      return end(outcome == Outcome::served ? Outcome::reset : outcome);
    end(outcome, whole && reusable());
  }

  // The attempt is over, for the host has done its work; what it gives is passed on as it comes.
  void beginRelay() {
    ++turn;
    timer.cancel();
    phase = Phase::relaying;
    download = std::make_shared<BodyStream>(pool->budget_);
    download->onWritable = [weak = weak_from_this()] {
      if (const auto self = weak.lock())
        self->relayOn();
    };
    pool->busy_.erase(key);
    pool->relaying_.insert(shared_from_this());
    AttemptCompletion done{key, host, Outcome::served, Clock::now() - sentAt, {}};
    done.response.base() = parser->get().base();
    done.body = download;
    if (const auto length = parser->content_length())
      done.length = *length;
    held = {};
    relay();
    pool->observer_.onAttemptComplete(std::move(done));
  }

  void relay() {
    // Danger: taken at once, it makes room at once, and a read would be begun from within.
    feeding = true;
    download->append(std::exchange(parser->get().body(), {}));
    feeding = false;
    if (!download)
      return;  // closed meanwhile
    if (!parser->is_done())
      return relayOn();
    download->onWritable = nullptr;
    std::exchange(download, nullptr)->finish();
    const auto self = shared_from_this();
    pool->relaying_.erase(self);
    if (reusable())
      rest();
    else
      close();
  }

  void relayOn() {
    if (phase != Phase::relaying || receiving || feeding || !download)
      return;
    if (download->isAbandoned())
      return late(Outcome::cancelled);
    if (download->isFull()) {
      ++turn;
      timer.cancel();
      return;
    }
    limit(Clock::now() + kStall, Outcome::reset);
    receive();
  }

  Outcome judge() const {
    const auto& answer = parser->get();
    const http::status status = answer.result();
    // Danger: an answer framed by the end of the connection can't be told from one that was cut, unless it
    // says that the connection ends with it.
    if (status == http::status::ok && parser->need_eof() &&
        !http::token_list(answer[http::field::connection]).exists("close"))
      return Outcome::reset;
    if (status == http::status::ok)
      return Outcome::served;
    const bool busy = status == http::status::service_unavailable || status == http::status::gateway_timeout;
    if (busy && answer["X-Not-Run"] == "1")
      return Outcome::rejected;
    return Outcome::error;  // it may have run, whatever the answer says
  }

  bool reusable() {
    if (buffer.size() > 0)
      unasked();
    return parser->get().result() != http::status::switching_protocols && !parser->need_eof() &&
           parser->get().keep_alive() && buffer.size() == 0;
  }

  // Ends the attempt. The connection is kept only after a whole answer: what comes late on one that was
  // given up would be taken for the answer to the next request.
  void end(Outcome outcome, bool keep = false) {
    const auto self = shared_from_this();
    AttemptCompletion done{key, host, outcome, Clock::now() - sentAt, {}};
    // Danger: a read that is given up may have its bytes already and still put them to the parser, so that
    // stays until the connection is used again or goes.
    if (outcome == Outcome::served) {
      done.response.base() = std::move(parser->get().base());
      done.response.body() = std::move(parser->get().body());
    }
    pool->busy_.erase(key);
    if (keep)
      rest();
    else
      close();
    pool->observer_.onAttemptComplete(std::move(done));
  }

  void rest() {
    phase = Phase::idle;
    ++turn;
    timer.cancel();
    parser.reset();
    request = {};
    held = {};
    idleSince = Clock::now();
    pool->hostOf(host).idle.push_back(shared_from_this());
    watch();
  }

  // An idle connection becomes readable when the host closes it; what a host says unasked ends it as well.
  void watch() {
    if (watching)
      return;
    watching = true;
    socket.async_wait(tcp::socket::wait_read, [self = shared_from_this()](error_code) {
      self->watching = false;
      if (self->phase != Phase::idle)
        return;
      if (hasUnreadBytes(self->socket))
        self->unasked();
      self->pool->dropIdle(self);
    });
  }

  void unasked() { pool->hostOf(host).restsUntil = Clock::now() + kUnasked; }

  // Seen at once, also when the event loop has not come to it yet.
  bool usable() {
    char byte;
    error_code ec;
    do {
      if (socket.receive(asio::buffer(&byte, 1), tcp::socket::message_peek, ec) > 0)
        unasked();
    } while (isInterrupted(ec));
    return wouldBlock(ec);
  }
};

UpstreamPool::UpstreamPool(asio::io_context& io, Limits limits, UpstreamObserver& observer,
                           std::shared_ptr<MemoryBudget> budget)
    : io_(io), limits_(limits), observer_(observer), budget_(std::move(budget)), sweeper_(io) {
  sweep();
}

UpstreamPool::~UpstreamPool() {
  stop();
}

void UpstreamPool::setTimes(Duration connectTimeout, Duration idleTimeout) {
  limits_.connectTimeout = connectTimeout;
  limits_.idleTimeout = idleTimeout;
}

void UpstreamPool::allow(std::size_t connections) {
  limits_.connections = connections;
  while (open_ > limits_.connections && closeOldestIdle()) {
  }
}

void UpstreamPool::stop() {
  sweeper_.cancel();
  for (auto& [key, connection] : std::exchange(busy_, {}))
    connection->close();
  for (const auto& connection : std::exchange(relaying_, {}))
    connection->close();
  for (Host& host : hosts_)
    for (auto& connection : std::exchange(host.idle, {}))
      connection->close();
}

UpstreamPool::Host& UpstreamPool::hostOf(HostId host) {
  if (hosts_.size() <= host)
    hosts_.resize(host + std::size_t{1});
  return hosts_[host];
}

void UpstreamPool::setEndpoint(HostId host, const tcp::endpoint& endpoint) {
  Host& h = hostOf(host);
  if (h.endpoint == endpoint)
    return;
  closeIdle(host);
  h.endpoint = endpoint;
}

void UpstreamPool::start(AttemptKey key, HostId host, HttpRequest request, Duration limit,
                         Duration beginWithin) {
  begin(key, host, std::move(request), limit, beginWithin, nullptr);
}

void UpstreamPool::start(AttemptKey key, HostId host, HttpRequest head, std::shared_ptr<BodyStream> upload,
                         std::optional<std::uint64_t> length, Duration limit, Duration beginWithin) {
  if (length)
    head.content_length(*length);
  else
    head.chunked(true);
  begin(key, host, std::move(head), limit, beginWithin, std::move(upload));
}

void UpstreamPool::uploaded(AttemptKey key, Duration limit) {
  const auto it = busy_.find(key);
  if (it == busy_.end())
    return;
  it->second->sentAt = Clock::now();
  it->second->deadline = it->second->sentAt + limit;
}

// With no descriptor left, the connection that has been idle for longest gives up its own.
bool UpstreamPool::openSocket(tcp::socket& socket, const tcp::endpoint& endpoint) {
  error_code ec;
  socket.open(endpoint.protocol(), ec);
  if (ec == boost::system::errc::too_many_files_open && closeOldestIdle())
    socket.open(endpoint.protocol(), ec);
  return !ec;
}

void UpstreamPool::begin(AttemptKey key, HostId host, HttpRequest request, Duration limit,
                         Duration beginWithin, std::shared_ptr<BodyStream> upload) {
  const auto now = Clock::now();
  std::shared_ptr<Connection> connection = takeIdle(host);
  const bool fresh = !connection;
  if (fresh) {
    if (open_ >= limits_.connections && !closeOldestIdle())
      return observer_.onAttemptComplete({key, host, Outcome::localFailure, {}, {}});
    connection = std::make_shared<Connection>(*this, host);
  }
  connection->key = key;
  connection->request = std::move(request);
  connection->upload = std::move(upload);
  connection->lastChunk = connection->waitsShort = false;
  connection->held = MemoryReservation(budget_, 0);
  connection->sentAt = now;
  connection->deadline = now + std::max(limit, Duration::zero());
  connection->beginBy = now + std::min(connection->deadline - now, beginWithin);
  busy_.emplace(key, connection);
  if (fresh)
    connection->connect(hostOf(host).endpoint);
  else
    connection->write();
}

void UpstreamPool::cancel(AttemptKey key) {
  const auto it = busy_.find(key);
  if (it == busy_.end())
    return;
  const auto connection = it->second;
  connection->end(Outcome::cancelled);
}

void UpstreamPool::drop(AttemptKey key) {
  const auto it = busy_.find(key);
  if (it == busy_.end() || it->second->phase != Connection::Phase::connecting)
    return;
  const auto connection = it->second;
  connection->end(Outcome::abandoned);
}

void UpstreamPool::drain(HostId host) {
  closeIdle(host);
  for (const auto& [key, connection] : busy_)
    if (connection->host == host && connection->phase == Connection::Phase::connecting) {
      connection->beginBy = std::min(connection->beginBy, Clock::now() + kLastBegin);
      connection->limitDial();
    }
}

void UpstreamPool::closeIdle(HostId host) {
  for (auto& connection : std::exchange(hostOf(host).idle, {}))
    connection->close();
}

std::shared_ptr<UpstreamPool::Connection> UpstreamPool::takeIdle(HostId host) {
  Host& h = hostOf(host);
  const auto now = Clock::now();
  const bool rests = now < h.restsUntil;
  for (std::size_t i = h.idle.size(); i-- > 0;) {
    const auto connection = h.idle[i];
    if (rests && now - connection->idleSince < kQuiet)
      continue;
    h.idle.erase(h.idle.begin() + static_cast<std::ptrdiff_t>(i));
    if (!outlived(*connection) && connection->usable())
      return connection;
    connection->close();
  }
  return nullptr;
}

bool UpstreamPool::outlived(const Connection& connection) const {
  if (limits_.idleTimeout <= Duration::zero())
    return false;
  const Duration margin = std::min(kIdleMargin, limits_.idleTimeout / 5);
  return Clock::now() - connection.idleSince >= limits_.idleTimeout - margin;
}

bool UpstreamPool::closeOldestIdle() {
  std::vector<std::shared_ptr<Connection>>* from = nullptr;
  for (Host& host : hosts_)
    if (!host.idle.empty() && (!from || host.idle.front()->idleSince < from->front()->idleSince))
      from = &host.idle;
  if (!from)
    return false;
  from->front()->close();
  from->erase(from->begin());
  return true;
}

void UpstreamPool::dropIdle(const std::shared_ptr<Connection>& connection) {
  std::erase(hostOf(connection->host).idle, connection);
  connection->close();
}

void UpstreamPool::sweep() {
  for (Host& host : hosts_)
    std::erase_if(host.idle, [&](const auto& connection) {
      if (!outlived(*connection))
        return false;
      connection->close();
      return true;
    });
  sweeper_.expires_after(kSweep);
  sweeper_.async_wait([this](error_code ec) {
    if (!ec)
      sweep();
  });
}

}  // namespace hollyrun::gateway
