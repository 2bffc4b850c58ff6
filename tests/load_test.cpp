// Tests the testbed's load generator against a stub gateway on loopback.
#include "lab/testbed/load.hpp"

#include <gtest/gtest.h>

#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http.hpp>
#include <chrono>
#include <functional>
#include <memory>
#include <set>
#include <string>
#include <utility>

namespace hollyrun::lab {
namespace {

namespace http = boost::beast::http;

constexpr std::uint64_t kSeed = 1;
constexpr double kCapacity = 1;  // in cores; not used, because the plan has a rate
constexpr double kCallsPerSecond = 50;
constexpr double kArrivalSeconds = 1;
constexpr auto kClientTimeout = std::chrono::minutes(1);  // a busy machine must not end a request

// A light load whose requests are not ended by their timeout.
Scenario scenarioWithLongTimeouts() {
  Scenario scenario = readScenario(HOLLYRUN_SCENARIOS "/quiet.toml");
  for (auto& requestClass : scenario.classes)
    requestClass.settings.clientTimeout = kClientTimeout;
  return scenario;
}

// Accepts connections and passes each request to `onRequest`, which returns the body of the response.
class StubGateway {
 public:
  using OnRequest = std::function<std::string(std::uint64_t id)>;

  StubGateway(asio::io_context& io, OnRequest onRequest)
      : acceptor_(io, {asio::ip::address_v4::loopback(), 0}), onRequest_(std::move(onRequest)) {
    accept();
  }
  tcp::endpoint endpoint() const { return acceptor_.local_endpoint(); }

 private:
  struct Session {
    explicit Session(tcp::socket accepted) : socket(std::move(accepted)) {}
    tcp::socket socket;
    boost::beast::flat_buffer buffer;
    http::request<http::string_body> request;
    http::response<http::string_body> response;
  };

  void accept() {
    acceptor_.async_accept([this](error_code error, tcp::socket socket) {
      if (error)
        return;
      read(std::make_shared<Session>(std::move(socket)));
      accept();
    });
  }
  void read(const std::shared_ptr<Session>& session) {
    session->request = {};
    http::async_read(session->socket, session->buffer, session->request,
                     [this, session](error_code error, std::size_t) {
                       if (!error)
                         respond(session);
                     });
  }
  void respond(const std::shared_ptr<Session>& session) {
    const std::string id = session->request["X-Request-Id"].to_string();
    session->response = {http::status::ok, 11};
    session->response.body() = onRequest_(std::stoull(id, nullptr, 16));
    session->response.prepare_payload();
    http::async_write(session->socket, session->response, [this, session](error_code error, std::size_t) {
      if (!error)
        read(session);
    });
  }

  tcp::acceptor acceptor_;
  OnRequest onRequest_;
};

class LoadTest : public ::testing::Test {
 protected:
  LoadTest() {
    load.start([this] { ended = true; });
  }

  // Reports an attempt for the request to the checker, as a server does that the gateway has sent it to.
  std::string sendToServer(std::uint64_t id) {
    const auto attempt = static_cast<std::uint32_t>(load.checker().attemptCount(id));
    load.checker().attemptSent(clockNow(), 0, id, 0, server);
    load.checker().attemptEnded(id, attempt, balancer::Outcome::served);
    receivedRequests.insert(id);
    return hex(id);
  }
  // Runs handlers one at a time until a request has been written to an idle connection. The handler of its
  // write is queued then and has not run.
  void runUntilWrittenToIdleConnection() {
    const auto requestsOnIdleConnections = [this] {
      const Result result = load.result();
      return result.requests - result.connections;
    };
    while (requestsOnIdleConnections() == 0 && !ended)
      io.run_one();
  }

  asio::io_context io{1};
  const Scenario scenario = scenarioWithLongTimeouts();
  const balancer::Endpoint server{};
  std::set<std::uint64_t> receivedRequests;  // by id
  bool ended = false;
  StubGateway gateway{io, [this](std::uint64_t id) { return sendToServer(id); }};
  Load load{io,        scenario,
            kSeed,     LoadPlan{kCallsPerSecond, kArrivalSeconds, "lookup"},
            kCapacity, {{"gateway", gateway.endpoint()}}};
};

TEST_F(LoadTest, EveryRequestIsServedByAGatewayThatRuns) {
  while (!ended)
    io.run_one();
  const Result result = load.result();
  EXPECT_EQ(receivedRequests.size(), result.requests);
  EXPECT_EQ(result.requests, result.calls);
  EXPECT_EQ(result.failedShare, 0);
  EXPECT_TRUE(result.breaches.empty()) << result.breaches.front().what;
}

// Guards against a breach for a request that the gateway read before it was killed, when the client's own
// handler of the write had not run yet: the request was unknown to the checker and could not be excused.
TEST_F(LoadTest, RequestWrittenJustBeforeTheKillOfItsGatewayIsExcused) {
  runUntilWrittenToIdleConnection();
  ASSERT_FALSE(ended) << "no request was written to an idle connection";
  load.gatewayKilled(0);
  load.stop();
  while (!ended || receivedRequests.size() < load.result().requests)
    io.run_one();
  const Result result = load.result();
  EXPECT_GT(result.requests, result.calls) << "the killed gateway's request should have been retried";
  EXPECT_TRUE(result.breaches.empty()) << result.breaches.front().what;
}

}  // namespace
}  // namespace hollyrun::lab
