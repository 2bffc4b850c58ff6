#include "lab/testbed/stub_discovery.hpp"

#include <algorithm>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http.hpp>
#include <charconv>
#include <chrono>
#include <nlohmann/json.hpp>
#include <optional>
#include <set>
#include <string_view>

#include "gateway/endpoint_text.hpp"

namespace hollyrun::lab {

namespace asio = boost::asio;
namespace http = boost::beast::http;
using asio::ip::tcp;
using boost::system::error_code;
using nlohmann::json;

namespace {

constexpr const char* kPath = "/discovery/hosts";
constexpr std::int64_t kMaxWatchMs = 60000;

// Returns a complete HTTP response. Clients share the text.
std::shared_ptr<const std::string> makeResponse(const char* status, const std::string& body) {
  return std::make_shared<const std::string>(std::string("HTTP/1.1 ") + status +
                                             "\r\nContent-Type: application/json\r\nContent-Length: " +
                                             std::to_string(body.size()) + "\r\n\r\n" + body);
}

// Returns the integer value of a query parameter, or std::nullopt if the target does not have it.
std::optional<std::int64_t> queryParameter(std::string_view target, std::string_view name) {
  const std::string assignment = std::string(name) + "=";
  const std::size_t assignmentAt = target.find(assignment);
  if (assignmentAt == std::string_view::npos)
    return std::nullopt;
  std::int64_t value = 0;
  const char* from = target.data() + assignmentAt + assignment.size();
  std::from_chars(from, target.data() + target.size(), value);
  return value;
}

}  // namespace

struct StubDiscovery::Entry {
  json target;
  bool draining = false;
  std::int64_t revision = 1;
};

struct StubDiscovery::Address {
  explicit Address(asio::io_context& io) : acceptor(io) {}
  tcp::acceptor acceptor;
  tcp::endpoint endpoint;
  Counts counts;
  std::set<std::shared_ptr<Connection>> connections;
};

// A client connection. It handles one request at a time, which may be a watch.
class StubDiscovery::Connection : public std::enable_shared_from_this<Connection> {
 public:
  Connection(StubDiscovery& owner, Address& address, tcp::socket socket)
      : owner_(owner), address_(address), socket_(std::move(socket)), watchTimer_(owner.io_) {
    error_code ignored;
    socket_.set_option(tcp::no_delay(true), ignored);
  }

  void read() {
    request_ = {};
    http::async_read(socket_, buffer_, request_, [self = shared_from_this()](error_code ec, std::size_t n) {
      if (!self->open_)
        return;
      if (ec)
        return self->close();
      ++self->address_.counts.calls;
      self->address_.counts.bytesIn += n;
      self->owner_.answer(*self, self->request_.target().to_string());
    });
  }
  /// Responds when the list becomes newer than the revision, or after the timeout.
  void watch(std::int64_t revision, std::chrono::milliseconds timeout) {
    since_ = revision;
    watchTimer_.expires_after(timeout);
    watchTimer_.async_wait([self = shared_from_this()](error_code ec) {
      if (ec || std::erase(self->owner_.watches_, self) == 0)
        return;
      self->write(self->owner_.changesSince(self->since_));
    });
  }
  void write(std::shared_ptr<const std::string> text) {
    watchTimer_.cancel();
    address_.counts.bytesOut += text->size();
    asio::async_write(socket_, asio::buffer(*text),
                      [self = shared_from_this(), text](error_code ec, std::size_t) {
                        if (!self->open_)
                          return;
                        if (ec)
                          return self->close();
                        self->read();
                      });
  }
  void close() {
    if (!open_)
      return;
    open_ = false;
    watchTimer_.cancel();
    error_code ignored;
    socket_.close(ignored);
    const auto self = shared_from_this();
    std::erase(owner_.watches_, self);
    address_.connections.erase(self);
  }
  std::int64_t since() const { return since_; }
  Counts& counts() { return address_.counts; }

 private:
  StubDiscovery& owner_;
  Address& address_;
  tcp::socket socket_;
  asio::steady_timer watchTimer_;
  boost::beast::flat_buffer buffer_;
  http::request<http::string_body> request_;
  std::int64_t since_ = 0;
  bool open_ = true;
};

StubDiscovery::StubDiscovery(asio::io_context& io, const std::vector<ListedServer>& servers) : io_(io) {
  for (const ListedServer& server : servers) {
    Entry& entry = entries_.emplace_back();
    entry.target = {{"uid", server.uid},        {"endpoint", gateway::textOf(server.endpoint)},
                    {"az", server.zone},        {"model", "standard"},
                    {"pod_group", server.cell}, {"state", "SERVING"},
                    {"capacity_hint", 1.0},     {"boot_ms", 0}};
  }
}

StubDiscovery::~StubDiscovery() {
  suspend();
}

std::size_t StubDiscovery::addAddress() {
  Address& address = *addresses_.emplace_back(std::make_unique<Address>(io_));
  address.endpoint = {asio::ip::address_v4::loopback(), 0};
  listen(address);
  return addresses_.size() - 1;
}

tcp::endpoint StubDiscovery::endpoint(std::size_t address) const {
  return addresses_.at(address)->endpoint;
}

const StubDiscovery::Counts& StubDiscovery::counts(std::size_t address) const {
  return addresses_.at(address)->counts;
}

void StubDiscovery::listen(Address& address) {
  address.acceptor.open(tcp::v4());
  address.acceptor.set_option(tcp::acceptor::reuse_address(true));
  address.acceptor.bind(address.endpoint);
  address.acceptor.listen();
  address.endpoint = address.acceptor.local_endpoint();
  accept(address);
}

void StubDiscovery::accept(Address& address) {
  address.acceptor.async_accept([this, &address](error_code ec, tcp::socket socket) {
    if (ec == asio::error::operation_aborted || suspended_)
      return;
    if (!ec) {
      const auto connection = std::make_shared<Connection>(*this, address, std::move(socket));
      address.connections.insert(connection);
      connection->read();
    }
    accept(address);
  });
}

std::int64_t StubDiscovery::toggleDraining(std::size_t server) {
  Entry& entry = entries_.at(server);
  entry.draining = !entry.draining;
  entry.target["state"] = entry.draining ? "DRAINING" : "SERVING";
  entry.revision = ++revision_;
  notifyWatches();
  return revision_;
}

void StubDiscovery::suspend() {
  suspended_ = true;
  for (const auto& address : addresses_) {
    error_code ignored;
    address->acceptor.close(ignored);
    const auto connections = address->connections;
    for (const auto& connection : connections)
      connection->close();
  }
}

void StubDiscovery::resume(bool revisionsLost) {
  if (revisionsLost) {
    revision_ = 1;
    wholeListRevision_ = -1;
    for (Entry& entry : entries_)
      entry.revision = 1;
  }
  suspended_ = false;
  for (const auto& address : addresses_)
    listen(*address);
}

void StubDiscovery::answer(Connection& connection, const std::string& target) {
  if (!target.starts_with(kPath))
    return connection.write(makeResponse("404 Not Found", "{}"));
  const auto since = queryParameter(target, "since");
  if (!since || *since > revision_) {
    ++connection.counts().wholeLists;
    return connection.write(wholeList());
  }
  const std::int64_t wait =
      std::clamp(queryParameter(target, "timeout_ms").value_or(0), std::int64_t{0}, kMaxWatchMs);
  if (*since < revision_ || wait == 0)
    return connection.write(changesSince(*since));
  watches_.push_back(connection.shared_from_this());
  connection.watch(*since, std::chrono::milliseconds(wait));
}

void StubDiscovery::notifyWatches() {
  std::shared_ptr<const std::string> text;
  std::int64_t textSince = -1;
  for (const auto& connection : std::exchange(watches_, {})) {
    if (!text || connection->since() != textSince)
      text = changesSince(textSince = connection->since());
    connection->write(text);
  }
}

std::shared_ptr<const std::string> StubDiscovery::wholeList() {
  if (wholeListRevision_ == revision_)
    return wholeList_;
  json targets = json::array();
  for (const Entry& entry : entries_)
    targets.push_back(entry.target);
  wholeList_ = makeResponse("200 OK", json{{"rev", revision_}, {"all", true}, {"targets", targets}}.dump());
  wholeListRevision_ = revision_;
  return wholeList_;
}

std::shared_ptr<const std::string> StubDiscovery::changesSince(std::int64_t revision) {
  json targets = json::array();
  for (const Entry& entry : entries_)
    if (entry.revision > revision)
      targets.push_back(entry.target);
  return makeResponse("200 OK", json{{"rev", revision_}, {"all", false}, {"targets", targets}}.dump());
}

}  // namespace hollyrun::lab
