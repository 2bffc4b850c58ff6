// A minimal gateway that breaks a rule on purpose, for the test of the testbed. FAULT is lose (drops
// responses), twice (repeats unsafe requests), drain (keeps sending to draining servers) or none.
#include <unistd.h>

#include <atomic>
#include <boost/asio/connect.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http.hpp>
#include <csignal>
#include <cstdlib>
#include <mutex>
#include <nlohmann/json.hpp>
#include <string>
#include <thread>
#include <vector>

namespace asio = boost::asio;
namespace http = boost::beast::http;
using asio::ip::tcp;
using Request = http::request<http::string_body>;
using Response = http::response<http::string_body>;

namespace {

const std::string kFault = FAULT;
std::mutex serversMutex;
std::vector<tcp::endpoint> servers;  // in use; the fault `drain` never removes one
std::atomic<unsigned> requestCount{0};

tcp::endpoint endpointOf(const std::string& text) {
  const auto colon = text.rfind(':');
  return {asio::ip::make_address(text.substr(0, colon)),
          static_cast<unsigned short>(std::stoi(text.substr(colon + 1)))};
}

Response sendRequest(const tcp::endpoint& endpoint, const Request& request) {
  asio::io_context io;
  tcp::socket socket(io);
  socket.connect(endpoint);
  http::write(socket, request);
  boost::beast::flat_buffer buffer;
  Response response;
  http::read(socket, buffer, response);
  return response;
}

void watchDiscovery(const tcp::endpoint& discovery) {
  std::string target = "/discovery/hosts";
  for (;;) {
    Request request{http::verb::get, target, 11};
    request.set(http::field::host, "discovery");
    const auto body = nlohmann::json::parse(sendRequest(discovery, request).body());
    const std::lock_guard<std::mutex> lock(serversMutex);
    for (const auto& listed : body["targets"]) {
      const tcp::endpoint server = endpointOf(listed["endpoint"]);
      const bool serving = listed["state"] == "SERVING";
      const auto position = std::find(servers.begin(), servers.end(), server);
      if (serving && position == servers.end())
        servers.push_back(server);
      if (!serving && position != servers.end() && kFault != "drain")
        servers.erase(position);
    }
    target = "/discovery/hosts?since=" + std::to_string(body["rev"].get<int>()) + "&timeout_ms=5000";
  }
}

void serve(tcp::socket client) {
  boost::beast::flat_buffer buffer;
  for (;;) {
    Request request;
    http::read(client, buffer, request);
    const unsigned number = ++requestCount;
    Response response;
    for (unsigned attempt = 0; attempt < 3; ++attempt) {
      tcp::endpoint server;
      {
        const std::lock_guard<std::mutex> lock(serversMutex);
        server = servers[(number + attempt) % servers.size()];
      }
      response = sendRequest(server, request);
      const bool unsafe = request["X-Class"] == "certificate";
      if (kFault == "twice" && unsafe && number % 8 == 0 && attempt == 0)
        continue;
      if (response.count("X-Not-Run") == 0)
        break;
    }
    if (kFault == "lose" && number % 8 == 0)
      return;
    http::write(client, response);
  }
}

void listen(const tcp::endpoint& endpoint, void (*handle)(tcp::socket)) {
  asio::io_context io;
  tcp::acceptor acceptor(io, endpoint, true);
  for (;;) {
    auto owned = std::make_shared<tcp::socket>(acceptor.accept());
    // The sockets use `io`, which outlives them because the program ends with _exit.
    std::thread([owned, handle] {
      try {
        handle(std::move(*owned));
      } catch (const std::exception&) {
        // the peer or a server closed the connection
      }
    }).detach();
  }
}

void serveManagement(tcp::socket caller) {
  boost::beast::flat_buffer buffer;
  Request request;
  http::read(caller, buffer, request);
  Response response{http::status::ok, 11};
  response.body() = "ready\n";
  response.prepare_payload();
  http::write(caller, response);
}

}  // namespace

int main() {
  std::signal(SIGPIPE, SIG_IGN);
  std::signal(SIGTERM, [](int) { ::_exit(0); });
  std::thread([] { watchDiscovery(endpointOf(std::getenv("GW_DISCOVERY"))); }).detach();
  std::thread([] { listen(endpointOf(std::getenv("GW_LISTEN")), serve); }).detach();
  for (;;) {
    {
      const std::lock_guard<std::mutex> lock(serversMutex);
      if (!servers.empty())
        break;
    }
    std::this_thread::yield();
  }
  listen(endpointOf(std::getenv("GW_MANAGEMENT")), serveManagement);
}
