// Discovery becomes slow: each of its answers comes 5.5 s later than before, but comes. A record server
// begins to drain later. The gateway counts as told 6 s after discovery had the change, and 1 s later no new
// work may reach it.
#include "platform.hpp"

namespace {

using namespace review;

constexpr int kServers = 4;
constexpr int kClients = 3;
constexpr std::size_t kDraining = 1;
constexpr auto kDelay = milliseconds(5500);
constexpr auto kSlowAt = std::chrono::seconds(3);
constexpr auto kDrainAt = std::chrono::seconds(30);
constexpr auto kEnd = std::chrono::seconds(55);
// Told at the latest, the grace, and what time limits are longer by on sockets.
constexpr auto kLatestSend = std::chrono::seconds(6) + std::chrono::seconds(1) + milliseconds(50);

struct Drain {
  std::atomic<bool> hasBegun = false;
  Clock::time_point at;
  std::atomic<int> sentInTime = 0, sentLate = 0;
};

void serve(const Socket& socket, std::size_t number, Record& record, Drain& drain) {
  MessageReader reader;
  Message request;
  while (reader.read(socket, request, Clock::now() + std::chrono::minutes(2)) == ReadResult::message) {
    const auto begin = Clock::now();
    const std::string name = request.field("x-request-id");
    if (number == kDraining && drain.hasBegun) {
      const std::chrono::duration<double> since = begin - drain.at;
      const bool isLate = since > kLatestSend;
      ++(isLate ? drain.sentLate : drain.sentInTime);
      record.line("server %zu begins %s %.2f s after discovery had its drain%s", number, name.c_str(),
                  since.count(), isLate ? " LATE" : "");
    }
    std::this_thread::sleep_for(milliseconds(40));
    if (!sendAll(socket, response(200, "OK", recordOf(name))))
      return;
  }
}

void runClient(std::uint16_t gateway, const ClassText& type, Clock::time_point end,
               std::atomic<int>& served) {
  Socket socket;
  MessageReader reader;
  while (Clock::now() < end) {
    if (!socket.isOpen()) {
      socket = connectTo(gateway);
      reader = {};
    }
    Message answer;
    const auto until = Clock::now() + milliseconds(type.giveUpMs + 550);
    if (!sendAll(socket, requestText(type, newRequestId(), type.giveUpMs)) ||
        reader.read(socket, answer, until) != ReadResult::message || answer.field("connection") == "close")
      socket.close();
    else if (answer.status() == 200)
      ++served;
    std::this_thread::sleep_for(milliseconds(20));
  }
}

int run(const std::string& command, Record& record) {
  auto& drain = *new Drain;  // the threads of the servers end with the process
  std::vector<Target> targets;
  for (std::size_t i = 0; i < kServers; ++i) {
    auto* const server =
        new Server([i, &record, &drain](Socket& socket) { serve(socket, i, record, drain); });
    targets.push_back({"s-" + std::to_string(i), server->port()});
  }
  auto& discovery = *new Discovery(targets);
  const std::vector<ClassText> classes = siteClasses();
  Gateway gateway(command, discovery, classes);
  if (!gateway.awaitReady())
    return kCouldNotRun;
  const auto start = Clock::now();
  std::atomic<int> served = 0;
  std::vector<std::thread> clients;
  for (int i = 0; i < kClients; ++i)
    clients.emplace_back(runClient, gateway.port(), std::cref(classes[0]), start + kEnd, std::ref(served));
  std::this_thread::sleep_until(start + kSlowAt);
  if (hasTrouble()) {
    record.line("discovery answers %lld ms late from now on", static_cast<long long>(kDelay.count()));
    discovery.setDelay(kDelay);
  }
  std::this_thread::sleep_until(start + kDrainAt);
  drain.at = Clock::now();
  drain.hasBegun = true;
  record.line("discovery has the drain of server %zu", kDraining);
  discovery.setState(kDraining, "DRAINING");
  for (std::thread& client : clients)
    client.join();
  std::printf("served %d; sent to the draining server in time %d, late %d\n", served.load(),
              drain.sentInTime.load(), drain.sentLate.load());
  if (!gateway.isRunning() || served == 0)
    return kCouldNotRun;
  return drain.sentLate > 0 ? kBroken : kHeld;
}

}  // namespace

int main(int argc, char** argv) {
  return review::runCase(argc, argv, run);
}
