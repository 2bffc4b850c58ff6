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

constexpr auto kWork = 5ms;  // of a request at a server
constexpr std::size_t kKeptConnections = 4;

tcp::endpoint anyPort() {
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
    : acceptor_(io, anyPort()), endpoint_(acceptor_.local_endpoint()), handle_(std::move(handle)) {
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
  std::optional<SoakTime> told;
  if (request.count("X-Deadline-Ms"))
    told = std::chrono::milliseconds(std::stoll(request["X-Deadline-Ms"].to_string()));
  ++arrivals_;
  oracle_.arrived(id, number_, told, soakNow());
  if (mode_ == Mode::refusing)
    return connection->reply(503, "X-Not-Run: 1\r\n", "");
  oracle_.ran(id, soakNow());
  if (mode_ == Mode::hanging)
    return;
  if (mode_ == Mode::resetting)
    return connection->close(true);
  const auto timer = std::make_shared<asio::steady_timer>(io_, kWork);
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

void SoakDiscovery::change(std::size_t server, State state, std::int64_t bootMs) {
  Entry& entry = entries_.at(server);
  entry.state = state;
  entry.bootMs = bootMs;
  entry.version = ++version_;
  for (std::size_t i = 0; i < agents_.size(); ++i)
    answerWaiting(i);
}

tcp::endpoint SoakDiscovery::agent(std::size_t gateway) const {
  return agents_.at(gateway).listener->endpoint();
}

void SoakDiscovery::silence(std::size_t gateway, bool on) {
  agents_.at(gateway).silent = on;
  if (!on)
    answerWaiting(gateway);
}

void SoakDiscovery::closeWatches(std::size_t gateway) {
  agents_.at(gateway).waiting.clear();
  agents_.at(gateway).listener->closeAll(true);
}

std::string SoakDiscovery::listFor(std::size_t gateway) {
  return text(gateway, 0);
}

void SoakDiscovery::handle(std::size_t gateway, const std::shared_ptr<SoakListener::Connection>& connection,
                           const SoakRequest& request) {
  const std::string target = request.target().to_string();
  const auto number = [&](const char* name) -> std::int64_t {
    const std::size_t at = target.find(name);
    return at == std::string::npos ? 0 : std::stoll(target.substr(at + std::string(name).size()));
  };
  Waiting waiting{connection, number("since="), nullptr};
  const auto wait = std::chrono::milliseconds(number("timeout_ms="));
  if (!agents_[gateway].silent && (wait == 0ms || waiting.since < version_))
    return answer(gateway, waiting);
  waiting.timer = std::make_shared<asio::steady_timer>(io_, wait);
  waiting.timer->async_wait([this, gateway, connection](error_code ec) {
    auto& all = agents_[gateway].waiting;
    const auto it = std::ranges::find(all, connection, &Waiting::connection);
    if (ec || it == all.end() || agents_[gateway].silent)
      return;
    const Waiting due = *it;
    all.erase(it);
    answer(gateway, due);
  });
  agents_[gateway].waiting.push_back(waiting);
}

void SoakDiscovery::answer(std::size_t gateway, const Waiting& waiting) {
  waiting.connection->reply(200, "", text(gateway, waiting.since));
}

void SoakDiscovery::answerWaiting(std::size_t gateway) {
  Agent& agent = agents_[gateway];
  if (agent.silent)
    return;
  for (const Waiting& waiting : std::exchange(agent.waiting, {}))
    if (waiting.since < version_ || waiting.timer->expiry() <= std::chrono::steady_clock::now())
      answer(gateway, waiting);
    else
      agent.waiting.push_back(waiting);
}

std::string SoakDiscovery::text(std::size_t gateway, std::int64_t since) {
  static constexpr const char* kStates[] = {"SERVING", "DRAINING", "DELETED"};
  nlohmann::json targets = nlohmann::json::array();
  for (std::size_t i = 0; i < entries_.size(); ++i) {
    const Entry& entry = entries_[i];
    if (entry.version <= since)
      continue;
    if (entry.state == State::serving)
      oracle_.toldServing(gateway, i);
    else
      oracle_.toldNotServing(gateway, i, soakNow());
    if (since == 0 && entry.state == State::gone)
      continue;  // what a whole list does not name is gone
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
  Client(SoakClients& all, tcp::endpoint to) : all_(all), to_(to), socket_(all.io_), leave_(all.io_) {}

  void ask(SoakCall call) {
    call_ = std::move(call);
    if (kept_)
      return send();
    socket_.async_connect(to_, [self = shared_from_this()](error_code ec) {
      if (ec) {  // nobody listens: nothing was taken
        if (self->again_)
          self->all_.oracle_.notTaken(self->call_.id);
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
    if (!again_)
      all_.oracle_.sent(call_.id, call_.cls, call_.gateway, soakNow(), call_.wait);
    ++all_.open_;
    text_ = call_.head + call_.body;
    asio::async_write(socket_, asio::buffer(text_), [self = shared_from_this()](error_code, std::size_t) {});
    if (call_.leaving != SoakLeaving::none) {
      leave_.expires_after(call_.leaveAfter);
      leave_.async_wait([self = shared_from_this()](error_code ec) {
        if (!ec)
          self->leave();
      });
    }
    parser_.emplace();
    http::async_read(socket_, buffer_, *parser_,
                     [self = shared_from_this()](error_code ec, std::size_t) { self->ended(ec); });
  }

  void leave() {
    if (over_)
      return;
    over_ = true;
    --all_.open_;
    all_.oracle_.left(call_.id, soakNow());
    error_code ignored;
    if (call_.leaving == SoakLeaving::halfClose)
      socket_.shutdown(tcp::socket::shutdown_send, ignored);
    else
      closeSocket(socket_, call_.leaving == SoakLeaving::reset);
  }

  void ended(error_code ec) {
    leave_.cancel();
    if (std::exchange(over_, true))
      return;
    --all_.open_;
    if (ec)
      return broken();
    const auto& answer = parser_->get();
    all_.oracle_.answered(call_.id, answer.result_int(), answer.body(), soakNow());
    auto& idle = all_.idle_[call_.gateway];
    if (!answer.keep_alive() || idle.size() >= kKeptConnections)
      return closeSocket(socket_, false);
    kept_ = true;
    over_ = again_ = false;
    idle.push_back(shared_from_this());
  }

  // Danger: only where the close may have crossed the request is it sent again.
  void broken() {
    closeSocket(socket_, false);
    if (!kept_ || parser_->got_some())
      return all_.oracle_.closedUnanswered(call_.id, soakNow());
    const auto next = std::make_shared<Client>(all_, to_);
    next->again_ = true;
    call_.leaving = SoakLeaving::none;
    next->ask(call_);
  }

  SoakClients& all_;
  tcp::endpoint to_;
  tcp::socket socket_;
  asio::steady_timer leave_;
  boost::beast::flat_buffer buffer_;
  std::optional<http::response_parser<http::string_body>> parser_;
  std::string text_;
  SoakCall call_;
  bool kept_ = false, over_ = false, again_ = false;
};

SoakClients::SoakClients(asio::io_context& io, SoakOracle& oracle, std::size_t gateways)
    : io_(io), oracle_(oracle), idle_(gateways) {}

SoakClients::~SoakClients() = default;

void SoakClients::ask(const tcp::endpoint& to, SoakCall call) {
  auto& idle = idle_.at(call.gateway);
  std::shared_ptr<Client> client;
  const bool fresh =
      call.leaving != SoakLeaving::none || idle.empty() || std::hash<std::string>{}(call.id) % 2;
  if (fresh) {
    client = std::make_shared<Client>(*this, to);
  } else {
    client = idle.back();
    idle.pop_back();
  }
  client->ask(std::move(call));
}

}  // namespace hollyrun::lab
