// The fixture of the gateway's tests: a gateway on loopback sockets with scripted peers.
#pragma once

#include <algorithm>
#include <memory>
#include <set>

#include "gateway/gateway.hpp"
#include "net_peers.hpp"

namespace hollyrun::gateway::testing {
class GatewayTest : public ::testing::Test {
 protected:
  asio::io_context io;
  FakeDiscovery discovery{io};
  std::vector<std::unique_ptr<Peer>> hosts;
  json config = configJson();
  Gateway::Options options{.clients = {}, .discovery = {}, .abortOnViolation = true, .process = {}};
  Log log{"n0", {.level = LogLevel::off}};
  std::unique_ptr<Gateway> gateway;
  int serial = 0;                                 // The number in the last request ID.
  std::chrono::steady_clock::duration stalled{};  // See untilMeasured().
  std::vector<std::string> reached;               // The uid of the host of each attempt, in order of arrival.

  // Handles an attempt. The second argument is its number, counted from 0 over all hosts.
  using Script = std::function<void(PeerConnection&, std::size_t)>;

  tcp::endpoint addHost(const std::string& zone, Script script, const std::string& state = "SERVING") {
    const std::string uid = "s-" + std::to_string(hosts.size());
    hosts.push_back(std::make_unique<Peer>(io, [this, uid, script](PeerConnection& connection) {
      reached.push_back(uid);
      script(connection, reached.size() - 1);
    }));
    discovery.list.push_back(target(uid, hosts.back()->endpoint, zone, state));
    return hosts.back()->endpoint;
  }
  void start() {
    config["discovery"] = textOf(discovery.peer.endpoint);
    if (!config.contains("known"))
      config["known"] = {{"rev", 1}, {"all", true}, {"targets", discovery.list}};
    gateway = std::make_unique<Gateway>(io, parsed(config), options, log);
  }
  static const char* noVariables(const char*) { return nullptr; }
  static Config parsed(const json& file) { return parseConfig(file, noVariables); }
  void reload() { gateway->reload(parsed(config)); }
  template <class Predicate>
  ::testing::AssertionResult until(Predicate predicate) {
    const auto deadline = std::chrono::steady_clock::now() + kTestTimeout;
    while (!predicate()) {
      if (std::chrono::steady_clock::now() > deadline)
        return ::testing::AssertionFailure() << "the expected state was not reached in time";
      io.restart();
      io.run_one_for(std::chrono::milliseconds(50));
    }
    return ::testing::AssertionSuccess();
  }
  // Like until(), but also adds to `stalled` how long the event loop stood still, which happens on a busy
  // machine. The clients, the hosts and the gateway share the loop, so all of them were late by as much.
  template <class Predicate>
  ::testing::AssertionResult untilMeasured(Predicate predicate) {
    constexpr auto kLongestTurn = std::chrono::milliseconds(50);
    auto turnStart = std::chrono::steady_clock::now();
    return until([&] {
      const auto now = std::chrono::steady_clock::now();
      if (now - turnStart > kLongestTurn)
        stalled += now - turnStart - kLongestTurn;
      turnStart = now;
      return predicate();
    });
  }
  std::shared_ptr<Client> client() { return Client::connect(io, gateway->listening()); }
  // A request of the class `kind` as text.
  std::string text(const std::string& kind, const std::string& headers = "", const std::string& body = "") {
    const std::string id = "X-Request-Id: r" + std::to_string(++serial) + "\r\n";
    if (kind == "read")
      return "GET /read HTTP/1.1\r\nHost: x\r\nX-Class: read\r\n" + id + headers + "\r\n";
    return "POST /" + kind + " HTTP/1.1\r\nHost: x\r\nX-Class: " + kind + "\r\n" + id + headers +
           (kind == "put" ? "Idempotency-Key: k1\r\n" : "") +
           "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
  }
  // Sends a request on a new connection and returns the response, or an empty one if the connection was
  // closed.
  Response ask(const std::string& requestText) {
    auto connection = client();
    connection->send(requestText);
    EXPECT_TRUE(until([&] { return !connection->answers.empty() || connection->closedByPeer; }));
    if (connection->answers.empty())
      return {};
    return connection->answers.front();
  }
  static Script always(const std::string& reply) {
    return [reply](PeerConnection& c, std::size_t) { c.reply(reply); };
  }
  // Handles the first attempt with `fail` and serves each later one.
  static Script failFirst(std::function<void(PeerConnection&)> fail) {
    return [fail](PeerConnection& connection, std::size_t attempt) {
      if (attempt == 0)
        fail(connection);
      else
        connection.reply(answerText(200, "", "late"));
    };
  }
  // Shortens the latency objective of a class to 0.4 s and its client timeout to 1 s.
  void shortenTimeouts(std::size_t classIndex) {
    config["settings"]["grades"][classIndex]["aimNs"] = 400'000'000;
    config["settings"]["grades"][classIndex]["giveUpNs"] = 1'000'000'000;
  }
  void twoHosts(const Script& script) {
    addHost("a", script);
    addHost("a", script);
    start();
  }
};

inline const char* const kNotRun = "X-Not-Run: 1\r\n";

}  // namespace hollyrun::gateway::testing
