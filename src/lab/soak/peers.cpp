#include "lab/soak/peers.hpp"

#include <algorithm>
#include <boost/asio/buffer.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/read.hpp>
#include <nlohmann/json.hpp>
#include <optional>
#include <utility>

#include "gateway/body_stream.hpp"
#include "gateway/endpoint_text.hpp"
#include "lab/soak/message_plan.hpp"

namespace hollyrun::lab {
namespace {

namespace asio = boost::asio;
namespace http = boost::beast::http;
using asio::ip::tcp;
using boost::system::error_code;
using namespace std::chrono_literals;

constexpr auto kServiceTime = 5ms;
constexpr std::size_t kMaxIdleConnections = 4;  // per gateway
constexpr std::size_t kMaxResponseBytes = 64 << 20;
constexpr std::size_t kShownBytes = 100;  // of a wrong body
// The page on the gateways' terms: after SIGHUP the former address of discovery closes its connections after
// 1.5 s, and changes count as announced 4 s after the signal.
constexpr SoakTime kFormerAddressLifetime = 1500ms, kReloadAnnouncementDelay = 4s;
constexpr const char* kInvalidList = R"({"rev":"none","all":true,"targets":{}})";

tcp::endpoint ephemeralLoopbackPort() {
  return {asio::ip::address_v4::loopback(), 0};
}

void closeSocket(tcp::socket& socket, bool reset) {
  error_code ignored;
  if (reset)
    socket.set_option(asio::socket_base::linger(true, 0), ignored);
  socket.close(ignored);
}

}  // namespace

SoakTime soakNow() {
  return std::chrono::steady_clock::now().time_since_epoch();
}

// --- Listener --------------------------------------------------------------------------------------------

struct SoakListener::Connection::State {
  tcp::socket socket;
  Handle handle;
  boost::beast::flat_buffer buffer;
  std::optional<http::request_parser<http::string_body>> parser;
  SoakTime headReceivedAt{};
  bool open = true;
};

SoakListener::Connection::Connection(tcp::socket socket, Handle handle)
    : state_(new State{std::move(socket), std::move(handle), {}, {}, {}, true}) {}

void SoakListener::Connection::read() {
  state_->parser.emplace();
  http::async_read_header(state_->socket, state_->buffer, *state_->parser,
                          [self = shared_from_this()](error_code ec, std::size_t) {
                            if (ec) {
                              self->state_->open = false;
                              return;
                            }
                            self->state_->headReceivedAt = soakNow();
                            self->readBody();
                          });
}

void SoakListener::Connection::readBody() {
  http::async_read(state_->socket, state_->buffer, *state_->parser,
                   [self = shared_from_this()](error_code ec, std::size_t) {
                     if (ec) {
                       self->state_->open = false;
                       return;
                     }
                     const SoakRequest request = self->state_->parser->release();
                     self->state_->handle(self, request);
                     self->read();
                   });
}

SoakTime SoakListener::Connection::headReceivedAt() const {
  return state_->headReceivedAt;
}

void SoakListener::Connection::reply(unsigned status, const std::string& headers, const std::string& body) {
  const auto text =
      std::make_shared<std::string>("HTTP/1.1 " + std::to_string(status) + " X\r\n" + headers +
                                    "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body);
  asio::async_write(state_->socket, asio::buffer(*text),
                    [self = shared_from_this(), text](error_code, std::size_t) {});
}

void SoakListener::Connection::close(bool reset) {
  state_->open = false;
  closeSocket(state_->socket, reset);
}

bool SoakListener::Connection::isOpen() const {
  return state_->open;
}

SoakListener::SoakListener(asio::io_context& io, Handle handle)
    : portReservation_(io),
      acceptor_(io, ephemeralLoopbackPort()),
      endpoint_(acceptor_.local_endpoint()),
      handle_(std::move(handle)) {
  accept();
}

SoakListener::~SoakListener() {
  closeAll(false);
}

void SoakListener::closeAll(bool reset) {
  for (const auto& weak : std::exchange(connections_, {}))
    if (const auto connection = weak.lock())
      connection->close(reset);
}

void SoakListener::refuse() {
  acceptor_.close();
  portReservation_.open(endpoint_.protocol());
  portReservation_.set_option(tcp::socket::reuse_address(true));
  portReservation_.bind(endpoint_);
  closeAll(true);
}

void SoakListener::listen() {
  acceptor_.open(endpoint_.protocol());
  acceptor_.set_option(tcp::acceptor::reuse_address(true));
  acceptor_.bind(endpoint_);
  acceptor_.listen();
  portReservation_.close();
  accept();
}

void SoakListener::accept() {
  acceptor_.async_accept([this](error_code ec, tcp::socket socket) {
    if (ec == asio::error::operation_aborted)
      return;
    if (!ec) {
      error_code ignored;
      socket.set_option(tcp::no_delay(true), ignored);
      const auto connection = std::make_shared<Connection>(std::move(socket), handle_);
      std::erase_if(connections_, [](const auto& weak) { return weak.expired(); });
      connections_.push_back(connection);
      connection->read();
    }
    accept();
  });
}

// --- Record servers --------------------------------------------------------------------------------------

std::string soakResponseBody(const std::string& id, std::string_view target) {
  const ServerPlan plan = serverPlanOf(target);
  return id + bodyText(bodyKeyOf(id), 0, std::max(plan.response.bytes, id.size()) - id.size());
}

SoakServer::SoakServer(asio::io_context& io, std::size_t number, SoakOracle& oracle)
    : io_(io),
      number_(number),
      oracle_(oracle),
      listener_(
          io, [this](const auto& connection, const SoakRequest& request) { handle(connection, request); }) {}

void SoakServer::handle(const std::shared_ptr<SoakListener::Connection>& connection,
                        const SoakRequest& request) {
  const std::string id = request["X-Request-Id"].to_string();
  std::optional<SoakTime> deadline;
  if (request.count("X-Deadline-Ms"))
    deadline = std::chrono::milliseconds(std::stoll(request["X-Deadline-Ms"].to_string()));
  ++arrivals_;
  oracle_.requestArrived(id, number_, deadline, soakNow(), connection->headReceivedAt());
  if (mode_ == Mode::refusing)
    return connection->reply(503, "X-Not-Run: 1\r\n", "");
  oracle_.requestExecuted(id, soakNow());
  if (mode_ == Mode::hanging)
    return;
  if (mode_ == Mode::resetting)
    return connection->close(true);
  const auto timer = std::make_shared<asio::steady_timer>(io_, kServiceTime);
  timer->async_wait(
      [timer, connection, body = soakResponseBody(id, request.target().to_string())](error_code ec) {
        if (!ec)
          connection->reply(200, "", body);
      });
}

// --- Discovery -------------------------------------------------------------------------------------------

SoakDiscovery::SoakDiscovery(asio::io_context& io, std::size_t gateways, SoakOracle& oracle)
    : io_(io), oracle_(oracle), agents_(gateways) {
  for (std::size_t i = 0; i < gateways; ++i)
    agents_[i].listener = newListener(i);
}

SoakDiscovery::~SoakDiscovery() = default;

std::unique_ptr<SoakListener> SoakDiscovery::newListener(std::size_t gateway) {
  return std::make_unique<SoakListener>(io_,
                                        [this, gateway](const auto& connection, const SoakRequest& request) {
                                          handle(gateway, connection, request);
                                        });
}

void SoakDiscovery::add(std::size_t server, const tcp::endpoint& endpoint) {
  if (entries_.size() <= server)
    entries_.resize(server + 1);
  entries_[server].endpoint = endpoint;
}

void SoakDiscovery::setState(std::size_t server, State state, std::int64_t bootMs) {
  Entry& entry = entries_.at(server);
  entry.state = state;
  entry.bootMs = bootMs;
  entry.version = ++version_;
  for (std::size_t i = 0; i < agents_.size(); ++i) {
    if (state == State::serving)
      oracle_.agentHasServing(i, server);
    else
      oracle_.agentHasNotServing(i, server, soakNow());
    respondToPendingWatches(i);
  }
}

tcp::endpoint SoakDiscovery::agent(std::size_t gateway) const {
  return agents_.at(gateway).listener->endpoint();
}

void SoakDiscovery::setMode(std::size_t gateway, SoakAgentMode mode, SoakTime delay) {
  Agent& agent = agents_.at(gateway);
  if (mode == agent.mode)
    return;
  const SoakAgentMode former = std::exchange(agent.mode, mode);
  const SoakTime now = soakNow();
  oracle_.agentUnreachable(gateway, now);
  if (former == SoakAgentMode::refusing)
    agent.listener->listen();
  if (former == SoakAgentMode::muted)
    agent.pendingWatches.clear();
  const bool endsWatches =
      mode == SoakAgentMode::failing || mode == SoakAgentMode::invalid || mode == SoakAgentMode::muted;
  if (endsWatches)
    closeWatches(gateway);
  if (mode == SoakAgentMode::refusing) {
    agent.pendingWatches.clear();
    agent.listener->refuse();
  }
  // An answer that is already delayed comes at its time.
  const SoakTime reachableFrom = former == SoakAgentMode::late ? now + agent.delay : now;
  agent.delay = delay;
  if (mode == SoakAgentMode::answering || mode == SoakAgentMode::late)
    oracle_.agentReachable(gateway, std::max(reachableFrom, agent.announcesFrom));
  if (mode == SoakAgentMode::late)
    oracle_.agentDelayed(gateway, delay);
  respondToPendingWatches(gateway);
}

void SoakDiscovery::move(std::size_t gateway) {
  Agent& agent = agents_.at(gateway);
  const SoakTime now = soakNow();
  SoakListener& former = *agent.listener;
  agent.formerListeners.push_back(std::exchange(agent.listener, newListener(gateway)));
  if (agent.mode == SoakAgentMode::refusing)
    agent.listener->refuse();
  else
    former.stopAccepting();
  const auto timer = std::make_shared<asio::steady_timer>(io_, kFormerAddressLifetime);
  timer->async_wait([timer, &former](error_code ec) {
    if (!ec)
      former.closeAll(false);
  });
  agent.announcesFrom = now + kReloadAnnouncementDelay;
  const SoakAgentMode mode = agent.mode;
  if (mode != SoakAgentMode::answering && mode != SoakAgentMode::late)
    return;
  oracle_.agentUnreachable(gateway, now);
  oracle_.agentReachable(gateway, agent.announcesFrom);
  oracle_.agentDelayed(gateway, agent.delay);
}

void SoakDiscovery::closeWatches(std::size_t gateway) {
  agents_.at(gateway).pendingWatches.clear();
  agents_.at(gateway).listener->closeAll(true);
}

std::string SoakDiscovery::fullList() const {
  return listJson(0);
}

void SoakDiscovery::announceFullList(std::size_t gateway) {
  announce(gateway, 0);
}

bool SoakDiscovery::holdsCalls(std::size_t gateway) const {
  const SoakAgentMode mode = agents_[gateway].mode;
  return mode == SoakAgentMode::silent || mode == SoakAgentMode::muted;
}

void SoakDiscovery::handle(std::size_t gateway, const std::shared_ptr<SoakListener::Connection>& connection,
                           const SoakRequest& request) {
  if (agents_[gateway].mode == SoakAgentMode::failing)
    return connection->reply(503, "", "");
  if (agents_[gateway].mode == SoakAgentMode::invalid)
    return connection->reply(200, "", kInvalidList);
  const std::string target = request.target().to_string();
  const auto number = [&](const char* name) -> std::int64_t {
    const std::size_t at = target.find(name);
    return at == std::string::npos ? 0 : std::stoll(target.substr(at + std::string(name).size()));
  };
  const PendingWatch watch{connection, number("since="), nullptr};
  const auto wait = std::chrono::milliseconds(number("timeout_ms="));
  if (!holdsCalls(gateway) && (wait == 0ms || watch.since < version_))
    return respond(gateway, watch);
  hold(gateway, watch, wait);
}

void SoakDiscovery::hold(std::size_t gateway, PendingWatch watch, std::chrono::milliseconds wait) {
  watch.timer = std::make_shared<asio::steady_timer>(io_, wait);
  watch.timer->async_wait([this, gateway, connection = watch.connection](error_code ec) {
    auto& watches = agents_[gateway].pendingWatches;
    const auto it = std::ranges::find(watches, connection, &PendingWatch::connection);
    if (ec || it == watches.end() || holdsCalls(gateway))
      return;
    const PendingWatch due = *it;
    watches.erase(it);
    respond(gateway, due);
  });
  agents_[gateway].pendingWatches.push_back(std::move(watch));
}

void SoakDiscovery::respond(std::size_t gateway, const PendingWatch& watch) {
  if (agents_[gateway].mode != SoakAgentMode::late)
    return write(gateway, watch);
  const auto timer = std::make_shared<asio::steady_timer>(io_, agents_[gateway].delay);
  timer->async_wait([this, timer, gateway, watch](error_code ec) {
    if (!ec)
      write(gateway, watch);
  });
}

void SoakDiscovery::write(std::size_t gateway, const PendingWatch& watch) {
  if (!watch.connection->isOpen())
    return;
  announce(gateway, watch.since);
  watch.connection->reply(200, "", listJson(watch.since));
}

void SoakDiscovery::respondToPendingWatches(std::size_t gateway) {
  Agent& agent = agents_[gateway];
  if (holdsCalls(gateway))
    return;
  for (const PendingWatch& watch : std::exchange(agent.pendingWatches, {}))
    if (watch.since < version_ || watch.timer->expiry() <= std::chrono::steady_clock::now())
      respond(gateway, watch);
    else
      agent.pendingWatches.push_back(watch);
}

void SoakDiscovery::announce(std::size_t gateway, std::int64_t since) {
  for (std::size_t i = 0; i < entries_.size(); ++i) {
    if (entries_[i].version <= since)
      continue;
    if (entries_[i].state == State::serving)
      oracle_.announcedServing(gateway, i);
    else
      oracle_.announcedNotServing(gateway, i, soakNow());
  }
}

std::string SoakDiscovery::listJson(std::int64_t since) const {
  static constexpr const char* kStates[] = {"SERVING", "DRAINING", "DELETED"};
  nlohmann::json targets = nlohmann::json::array();
  for (std::size_t i = 0; i < entries_.size(); ++i) {
    const Entry& entry = entries_[i];
    if (entry.version <= since)
      continue;
    if (since == 0 && entry.state == State::removed)
      continue;  // a full list omits removed servers
    targets.push_back({{"uid", "s-" + std::to_string(i)},
                       {"endpoint", gateway::textOf(entry.endpoint)},
                       {"az", "a"},
                       {"model", "m"},
                       {"pod_group", 0},
                       {"state", kStates[static_cast<std::size_t>(entry.state)]},
                       {"capacity_hint", 1.0},
                       {"boot_ms", entry.bootMs}});
  }
  return nlohmann::json{{"rev", version_}, {"all", since == 0}, {"targets", targets}}.dump();
}

// --- Crowd -----------------------------------------------------------------------------------------------

void SoakCrowd::arrive(const tcp::endpoint& gateway, std::size_t connections) {
  for (std::size_t i = 0; i < connections; ++i) {
    sockets_.push_back(std::make_shared<tcp::socket>(io_));
    sockets_.back()->async_connect(gateway, [socket = sockets_.back()](error_code) {});
  }
}

// --- Clients ---------------------------------------------------------------------------------------------

class SoakClients::Client : public std::enable_shared_from_this<Client> {
 public:
  Client(SoakClients& clients, tcp::endpoint gateway)
      : clients_(clients), gateway_(gateway), socket_(clients.io_), disconnectTimer_(clients.io_) {}

  void start(SoakCall call) {
    call_ = std::move(call);
    complete_ = false;
    if (reused_)
      return send();
    socket_.async_connect(gateway_, [self = shared_from_this()](error_code ec) {
      if (ec) {  // nothing listens there, so the request was not received
        if (self->retried_)
          self->clients_.oracle_.connectionRefused(self->call_.id);
        return;
      }
      error_code ignored;
      self->socket_.set_option(tcp::no_delay(true), ignored);
      self->send();
    });
  }
  bool usable() const { return socket_.is_open(); }

 private:
  void send() {
    const SoakTime now = soakNow();
    if (!retried_) {
      call_.firstSentAt = now;
      clients_.oracle_.requestSent(call_.id, call_.requestClass, call_.gateway, now, call_.timeout);
    }
    ++clients_.inFlight_;
    requestText_ = call_.head + deadlineHeader(now) + "\r\n" + call_.body;
    asio::async_write(socket_, asio::buffer(requestText_),
                      [self = shared_from_this()](error_code, std::size_t) {});
    if (call_.disconnect != SoakDisconnect::none) {
      disconnectTimer_.expires_after(call_.disconnectAfter);
      disconnectTimer_.async_wait([self = shared_from_this()](error_code ec) {
        if (!ec)
          self->disconnect();
      });
    }
    parser_.emplace();
    parser_->body_limit(kMaxResponseBytes);
    http::async_read_some(socket_, buffer_, *parser_,
                          [self = shared_from_this()](error_code ec, std::size_t) {
                            self->firstByteAt_ = soakNow();
                            self->readRest(ec);
                          });
  }

  // A deadline counts from the moment at which it is sent.
  std::string deadlineHeader(SoakTime now) const {
    const SoakTime left = std::max<SoakTime>(call_.firstSentAt + call_.timeout - now, 1ms);
    return "X-Deadline-Ms: " + std::to_string(left / 1ms) + "\r\n";
  }

  void readRest(error_code ec) {
    if (ec || parser_->is_done())
      return responseEnded(ec);
    http::async_read(socket_, buffer_, *parser_, [self = shared_from_this()](error_code error, std::size_t) {
      self->responseEnded(error);
    });
  }

  void disconnect() {
    if (complete_)
      return;
    complete_ = true;
    --clients_.inFlight_;
    clients_.oracle_.clientLeft(call_.id, soakNow());
    error_code ignored;
    if (call_.disconnect == SoakDisconnect::halfClose)
      socket_.shutdown(tcp::socket::shutdown_send, ignored);
    else
      closeSocket(socket_, call_.disconnect == SoakDisconnect::reset);
  }

  void responseEnded(error_code ec) {
    disconnectTimer_.cancel();
    if (std::exchange(complete_, true))
      return;
    --clients_.inFlight_;
    if (ec)
      return connectionLost();
    const auto& response = parser_->get();
    // A response of over 64 KiB is timed by its first bytes.
    const SoakTime answeredAt =
        response.body().size() > gateway::kBufferedBodyLimit ? firstByteAt_ : soakNow();
    clients_.oracle_.requestAnswered(call_.id, response.result_int(), contentOf(response.body()), answeredAt);
    auto& idle = clients_.idleClients_[call_.gateway];
    if (!response.keep_alive() || idle.size() >= kMaxIdleConnections)
      return closeSocket(socket_, false);
    // Stays complete until the next call: the disconnect of this one may be queued already.
    reused_ = true;
    retried_ = false;
    idle.push_back(shared_from_this());
  }

  // Returns the id if the body is the one that the record server made for it.
  std::string contentOf(const std::string& body) const {
    const std::string target = call_.head.substr(0, call_.head.find(" HTTP/"));
    return body == soakResponseBody(call_.id, target) ? call_.id : body.substr(0, kShownBytes);
  }

  // Retries only on a reused connection without any response byte: there the gateway may have closed the idle
  // connection while the request was in transit. Any other retry would hide an unanswered request.
  void connectionLost() {
    closeSocket(socket_, false);
    if (!reused_ || parser_->got_some())
      return clients_.oracle_.closedUnanswered(call_.id, soakNow(), !reused_);
    const auto retry = std::make_shared<Client>(clients_, gateway_);
    retry->retried_ = true;
    call_.disconnect = SoakDisconnect::none;
    retry->start(call_);
  }

  SoakClients& clients_;
  tcp::endpoint gateway_;
  tcp::socket socket_;
  asio::steady_timer disconnectTimer_;
  boost::beast::flat_buffer buffer_;
  std::optional<http::response_parser<http::string_body>> parser_;
  std::string requestText_;
  SoakTime firstByteAt_{};  // of the response
  SoakCall call_;
  bool reused_ = false, complete_ = false, retried_ = false;
};

SoakClients::SoakClients(asio::io_context& io, SoakOracle& oracle, std::size_t gateways)
    : io_(io), oracle_(oracle), idleClients_(gateways) {}

SoakClients::~SoakClients() = default;

void SoakClients::sendOnOpenConnection(SoakCall call) {
  auto& idle = idleClients_.at(call.gateway);
  const std::shared_ptr<Client> client = idle.back();
  idle.pop_back();
  client->start(std::move(call));
}

void SoakClients::send(const tcp::endpoint& gateway, SoakCall call) {
  const bool newConnection = call.disconnect != SoakDisconnect::none || !hasOpenConnection(call.gateway) ||
                             std::hash<std::string>{}(call.id) % 2;
  if (newConnection)
    std::make_shared<Client>(*this, gateway)->start(std::move(call));
  else
    sendOnOpenConnection(std::move(call));
}

}  // namespace hollyrun::lab
