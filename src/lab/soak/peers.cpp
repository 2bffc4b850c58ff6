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

#include "gateway/endpoint_text.hpp"

namespace hollyrun::lab {
namespace {

namespace asio = boost::asio;
namespace http = boost::beast::http;
using asio::ip::tcp;
using boost::system::error_code;
using namespace std::chrono_literals;

constexpr auto kServiceTime = 5ms;
constexpr std::size_t kMaxIdleConnections = 4;  // per gateway

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
};

SoakListener::Connection::Connection(tcp::socket socket, Handle handle)
    : state_(new State{std::move(socket), std::move(handle), {}, {}}) {}

void SoakListener::Connection::read() {
  state_->parser.emplace();
  http::async_read(state_->socket, state_->buffer, *state_->parser,
                   [self = shared_from_this()](error_code ec, std::size_t) {
                     if (ec)
                       return;
                     const SoakRequest request = self->state_->parser->release();
                     self->state_->handle(self, request);
                     self->read();
                   });
}

void SoakListener::Connection::reply(unsigned status, const std::string& headers, const std::string& body) {
  const auto text =
      std::make_shared<std::string>("HTTP/1.1 " + std::to_string(status) + " X\r\n" + headers +
                                    "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body);
  asio::async_write(state_->socket, asio::buffer(*text),
                    [self = shared_from_this(), text](error_code, std::size_t) {});
}

void SoakListener::Connection::close(bool reset) {
  closeSocket(state_->socket, reset);
}

SoakListener::SoakListener(asio::io_context& io, Handle handle)
    : acceptor_(io, ephemeralLoopbackPort()),
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
  oracle_.requestArrived(id, number_, deadline, soakNow());
  if (mode_ == Mode::refusing)
    return connection->reply(503, "X-Not-Run: 1\r\n", "");
  oracle_.requestExecuted(id, soakNow());
  if (mode_ == Mode::hanging)
    return;
  if (mode_ == Mode::resetting)
    return connection->close(true);
  const auto timer = std::make_shared<asio::steady_timer>(io_, kServiceTime);
  timer->async_wait([timer, connection, id](error_code ec) {
    if (!ec)
      connection->reply(200, "", id);
  });
}

// --- Discovery -------------------------------------------------------------------------------------------

SoakDiscovery::SoakDiscovery(asio::io_context& io, std::size_t gateways, SoakOracle& oracle)
    : io_(io), oracle_(oracle), agents_(gateways) {
  for (std::size_t i = 0; i < gateways; ++i)
    agents_[i].listener = std::make_unique<SoakListener>(
        io,
        [this, i](const auto& connection, const SoakRequest& request) { handle(i, connection, request); });
}

SoakDiscovery::~SoakDiscovery() = default;

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
  for (std::size_t i = 0; i < agents_.size(); ++i)
    respondToPendingWatches(i);
}

tcp::endpoint SoakDiscovery::agent(std::size_t gateway) const {
  return agents_.at(gateway).listener->endpoint();
}

void SoakDiscovery::setSilent(std::size_t gateway, bool silent) {
  agents_.at(gateway).silent = silent;
  if (!silent)
    respondToPendingWatches(gateway);
}

void SoakDiscovery::closeWatches(std::size_t gateway) {
  agents_.at(gateway).pendingWatches.clear();
  agents_.at(gateway).listener->closeAll(true);
}

std::string SoakDiscovery::fullListFor(std::size_t gateway) {
  return listJson(gateway, 0);
}

void SoakDiscovery::handle(std::size_t gateway, const std::shared_ptr<SoakListener::Connection>& connection,
                           const SoakRequest& request) {
  const std::string target = request.target().to_string();
  const auto number = [&](const char* name) -> std::int64_t {
    const std::size_t at = target.find(name);
    return at == std::string::npos ? 0 : std::stoll(target.substr(at + std::string(name).size()));
  };
  PendingWatch watch{connection, number("since="), nullptr};
  const auto wait = std::chrono::milliseconds(number("timeout_ms="));
  if (!agents_[gateway].silent && (wait == 0ms || watch.since < version_))
    return respond(gateway, watch);
  watch.timer = std::make_shared<asio::steady_timer>(io_, wait);
  watch.timer->async_wait([this, gateway, connection](error_code ec) {
    auto& watches = agents_[gateway].pendingWatches;
    const auto it = std::ranges::find(watches, connection, &PendingWatch::connection);
    if (ec || it == watches.end() || agents_[gateway].silent)
      return;
    const PendingWatch due = *it;
    watches.erase(it);
    respond(gateway, due);
  });
  agents_[gateway].pendingWatches.push_back(watch);
}

void SoakDiscovery::respond(std::size_t gateway, const PendingWatch& watch) {
  watch.connection->reply(200, "", listJson(gateway, watch.since));
}

void SoakDiscovery::respondToPendingWatches(std::size_t gateway) {
  Agent& agent = agents_[gateway];
  if (agent.silent)
    return;
  for (const PendingWatch& watch : std::exchange(agent.pendingWatches, {}))
    if (watch.since < version_ || watch.timer->expiry() <= std::chrono::steady_clock::now())
      respond(gateway, watch);
    else
      agent.pendingWatches.push_back(watch);
}

std::string SoakDiscovery::listJson(std::size_t gateway, std::int64_t since) {
  static constexpr const char* kStates[] = {"SERVING", "DRAINING", "DELETED"};
  nlohmann::json targets = nlohmann::json::array();
  for (std::size_t i = 0; i < entries_.size(); ++i) {
    const Entry& entry = entries_[i];
    if (entry.version <= since)
      continue;
    if (entry.state == State::serving)
      oracle_.announcedServing(gateway, i);
    else
      oracle_.announcedNotServing(gateway, i, soakNow());
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

// --- Clients ---------------------------------------------------------------------------------------------

class SoakClients::Client : public std::enable_shared_from_this<Client> {
 public:
  Client(SoakClients& clients, tcp::endpoint gateway)
      : clients_(clients), gateway_(gateway), socket_(clients.io_), disconnectTimer_(clients.io_) {}

  void start(SoakCall call) {
    call_ = std::move(call);
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
    if (!retried_)
      clients_.oracle_.requestSent(call_.id, call_.requestClass, call_.gateway, soakNow(), call_.timeout);
    ++clients_.inFlight_;
    requestText_ = call_.head + call_.body;
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
    http::async_read(socket_, buffer_, *parser_,
                     [self = shared_from_this()](error_code ec, std::size_t) { self->responseEnded(ec); });
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
    clients_.oracle_.requestAnswered(call_.id, response.result_int(), response.body(), soakNow());
    auto& idle = clients_.idleClients_[call_.gateway];
    if (!response.keep_alive() || idle.size() >= kMaxIdleConnections)
      return closeSocket(socket_, false);
    reused_ = true;
    complete_ = retried_ = false;
    idle.push_back(shared_from_this());
  }

  // Retries only on a reused connection without any response byte: there the gateway may have closed the idle
  // connection while the request was in transit. Any other retry would hide an unanswered request.
  void connectionLost() {
    closeSocket(socket_, false);
    if (!reused_ || parser_->got_some())
      return clients_.oracle_.closedUnanswered(call_.id, soakNow());
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
  SoakCall call_;
  bool reused_ = false, complete_ = false, retried_ = false;
};

SoakClients::SoakClients(asio::io_context& io, SoakOracle& oracle, std::size_t gateways)
    : io_(io), oracle_(oracle), idleClients_(gateways) {}

SoakClients::~SoakClients() = default;

void SoakClients::send(const tcp::endpoint& gateway, SoakCall call) {
  auto& idle = idleClients_.at(call.gateway);
  std::shared_ptr<Client> client;
  const bool newConnection =
      call.disconnect != SoakDisconnect::none || idle.empty() || std::hash<std::string>{}(call.id) % 2;
  if (newConnection) {
    client = std::make_shared<Client>(*this, gateway);
  } else {
    client = idle.back();
    idle.pop_back();
  }
  client->start(std::move(call));
}

}  // namespace hollyrun::lab
