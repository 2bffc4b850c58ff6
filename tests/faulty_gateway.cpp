// A gateway that breaks a rule on purpose, for the testbed's own test: FAULT is lose, twice, drain or none.
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
std::mutex guard;
std::vector<tcp::endpoint> servers;  // that are sent to; with the fault `drain` none ever leaves
std::atomic<unsigned> serial{0};

tcp::endpoint endpointOf(const std::string& text) {
  const auto colon = text.rfind(':');
  return {asio::ip::make_address(text.substr(0, colon)),
          static_cast<unsigned short>(std::stoi(text.substr(colon + 1)))};
}

Response call(const tcp::endpoint& to, const Request& request) {
  asio::io_context io;
  tcp::socket socket(io);
  socket.connect(to);
  http::write(socket, request);
  boost::beast::flat_buffer buffer;
  Response answer;
  http::read(socket, buffer, answer);
  return answer;
}

void follow(const tcp::endpoint& discovery) {
  std::string target = "/discovery/hosts";
  for (;;) {
    Request request{http::verb::get, target, 11};
    request.set(http::field::host, "discovery");
    const auto body = nlohmann::json::parse(call(discovery, request).body());
    const std::lock_guard<std::mutex> lock(guard);
    for (const auto& t : body["targets"]) {
      const tcp::endpoint server = endpointOf(t["endpoint"]);
      const bool in = t["state"] == "SERVING";
      const auto at = std::find(servers.begin(), servers.end(), server);
      if (in && at == servers.end())
        servers.push_back(server);
      if (!in && at != servers.end() && kFault != "drain")
        servers.erase(at);
    }
    target = "/discovery/hosts?since=" + std::to_string(body["rev"].get<int>()) + "&timeout_ms=5000";
  }
}

void serve(tcp::socket client) {
  boost::beast::flat_buffer buffer;
  for (;;) {
    Request request;
    http::read(client, buffer, request);
    const unsigned n = ++serial;
    Response answer;
    for (unsigned tries = 0; tries < 3; ++tries) {
      tcp::endpoint to;
      {
        const std::lock_guard<std::mutex> lock(guard);
        to = servers[(n + tries) % servers.size()];
      }
      answer = call(to, request);
      const bool unsafe = request["X-Class"] == "certificate";
      if (kFault == "twice" && unsafe && n % 8 == 0 && tries == 0)
        continue;
      if (answer.count("X-Not-Run") == 0)
        break;
    }
    if (kFault == "lose" && n % 8 == 0)
      return;
    http::write(client, answer);
  }
}

void listen(const tcp::endpoint& at, void (*handle)(tcp::socket)) {
  asio::io_context io;
  tcp::acceptor acceptor(io, at, true);
  for (;;) {
    auto owned = std::make_shared<tcp::socket>(acceptor.accept());
    // The sockets share the loop's context, which outlives them all: the program ends by _exit.
    std::thread([owned, handle] {
      try {
        handle(std::move(*owned));
      } catch (const std::exception&) {
        // the peer left, or a server did
      }
    }).detach();
  }
}

void manage(tcp::socket caller) {
  boost::beast::flat_buffer buffer;
  Request request;
  http::read(caller, buffer, request);
  Response answer{http::status::ok, 11};
  answer.body() = "ready\n";
  answer.prepare_payload();
  http::write(caller, answer);
}

}  // namespace

int main() {
  std::signal(SIGPIPE, SIG_IGN);
  std::signal(SIGTERM, [](int) { ::_exit(0); });
  std::thread([] { follow(endpointOf(std::getenv("GW_DISCOVERY"))); }).detach();
  std::thread([] { listen(endpointOf(std::getenv("GW_LISTEN")), serve); }).detach();
  for (;;) {
    {
      const std::lock_guard<std::mutex> lock(guard);
      if (!servers.empty())
        break;
    }
    std::this_thread::yield();
  }
  listen(endpointOf(std::getenv("GW_MANAGEMENT")), manage);
}
