#include "gateway/discovery.hpp"

#include <boost/beast/http/read.hpp>
#include <nlohmann/json.hpp>
#include <utility>

#include "gateway/endpoint_text.hpp"
#include "gateway/message_text.hpp"
#include "gateway/socket_io.hpp"

namespace hollyrun::gateway {
namespace {

namespace asio = boost::asio;
namespace http = boost::beast::http;
using tcp = asio::ip::tcp;
using boost::system::error_code;

constexpr std::uint64_t kMaxListBytes = 4 << 20;  // Enough for about ten thousand endpoints.
constexpr const char* kHostsPath = "/discovery/hosts";

}  // namespace

// A connection and its current request. The next request reuses it if both sides keep it alive.
struct Discovery::Connection : std::enable_shared_from_this<Discovery::Connection> {
  Discovery* owner;  // Null once closed.
  tcp::socket socket;
  asio::steady_timer timer;
  boost::beast::flat_buffer buffer;
  http::request<http::empty_body> request;
  std::string serializedRequest;  // Kept while the request is being written.
  std::optional<http::response_parser<http::string_body>> parser;
  RequestType type = RequestType::snapshot;
  // Number of the current request. The handler of an earlier request's timeout may already be queued when
  // that request completes; it is ignored because its number differs.
  std::uint64_t generation = 0;

  explicit Connection(Discovery& discovery)
      : owner(&discovery), socket(discovery.io_), timer(discovery.io_) {}

  void close() {
    owner = nullptr;
    timer.cancel();
    error_code ignored;
    socket.close(ignored);
  }

  void start(RequestType requestType, std::chrono::milliseconds timeout) {
    type = requestType;
    parser.emplace();
    parser->body_limit(kMaxListBytes);
    // Without a timeout, a server that stops responding would block the watch forever.
    timer.expires_after(timeout);
    timer.async_wait([self = shared_from_this(), current = ++generation](error_code ec) {
      if (!ec && self->owner && current == self->generation)
        self->finish(std::nullopt);
    });
    if (socket.is_open())
      return write();
    socket.async_connect(owner->server_, [self = shared_from_this()](error_code ec) {
      if (!self->owner)
        return;
      if (ec)
        return self->finish(std::nullopt);
      error_code ignored;
      self->socket.set_option(tcp::no_delay(true), ignored);
      self->socket.non_blocking(true, ignored);
      self->write();
    });
  }

  void write() {
    serializedRequest = serialized(request);
    writeAll(socket, asio::buffer(serializedRequest), [self = shared_from_this()](error_code ec) {
      if (!self->owner)
        return;
      if (ec)
        return self->finish(std::nullopt);
      http::async_read(self->socket, self->buffer, *self->parser,
                       [self](error_code readError, std::size_t) { self->handleResponse(readError); });
    });
  }

  void handleResponse(error_code ec) {
    if (!owner)
      return;
    std::optional<EndpointList> list;
    if (!ec && parser->get().result() == http::status::ok) {
      const auto json = nlohmann::json::parse(parser->get().body(), nullptr, false);
      try {
        if (!json.is_discarded())
          list = parseEndpointList(json);
      } catch (const std::invalid_argument&) {  // An invalid list counts as a failed request.
      }
    }
    finish(list);
  }

  void finish(const std::optional<EndpointList>& list) {
    ++generation;
    timer.cancel();
    error_code ignored;
    if (!list || !parser->get().keep_alive())
      socket.close(ignored);
    owner->complete(type, list);
  }
};

Discovery::Discovery(asio::io_context& io, tcp::endpoint server, Callbacks callbacks, Timeouts timeouts)
    : io_(io), server_(std::move(server)), callbacks_(std::move(callbacks)), timeouts_(timeouts) {}

Discovery::~Discovery() {
  stop();
}

void Discovery::stop() {
  if (connection_)
    connection_->close();
  connection_.reset();
}

void Discovery::watch() {
  stop();
  send(version_ ? RequestType::firstPoll : RequestType::snapshot);
}

void Discovery::switchServer(tcp::endpoint server) {
  server_ = std::move(server);
  // The versions of the new server may be unrelated to those of the old one, and a delta to a list that it
  // never sent would leave removed endpoints in the current list forever. So a snapshot is requested, and the
  // current list stays in effect until the snapshot arrives.
  version_.reset();
  watch();
}

void Discovery::send(RequestType type) {
  if (!connection_ || !connection_->socket.is_open())
    connection_ = std::make_shared<Connection>(*this);
  const std::chrono::milliseconds wait =
      type == RequestType::poll ? timeouts_.watch : std::chrono::milliseconds(1);
  std::string target = kHostsPath;
  if (type != RequestType::snapshot)
    target += "?since=" + std::to_string(*version_) + "&timeout_ms=" + std::to_string(wait.count());
  connection_->request = {http::verb::get, target, 11};
  connection_->request.set(http::field::host, textOf(server_));
  connection_->start(type, wait + timeouts_.answer);
}

void Discovery::complete(RequestType type, const std::optional<EndpointList>& list) {
  if (!list)
    return fail();
  // A server that was set up anew counts versions from the start again. A delta to a list that this client
  // never received would leave removed endpoints in the current list forever.
  if (!list->snapshot && (type == RequestType::snapshot || (version_ && list->version < *version_))) {
    version_.reset();
    return fail();
  }
  version_ = list->version;
  send(RequestType::poll);
  callbacks_.onEndpoints(*list);
}

void Discovery::fail() {
  stop();
  callbacks_.onFailure();
}

}  // namespace hollyrun::gateway
