// Record servers turn some requests away, and send that answer a second time, some milliseconds late. No
// certificate may run twice for it, and no amendment in two cells.
#include <set>

#include "platform.hpp"

namespace {

using namespace review;

constexpr int kServers = 10;
constexpr int kCells = 2;
constexpr int kClients = 17;  // some 340 requests a second
constexpr auto kLength = std::chrono::seconds(100);
constexpr int kTurnedAwayPerTenThousand = 12;

// Where each request ran that may not run in two places: the server of a certificate, the cell of an
// amendment, whose servers drop a repeat.
struct Runs {
  std::mutex mutex;
  std::map<std::string, std::set<int>> placesOf;
  int twice = 0;

  void add(const std::string& name, int place, Record& record) {
    const std::lock_guard lock(mutex);
    std::set<int>& places = placesOf[name];
    places.insert(place);
    if (places.size() != 2)
      return;
    ++twice;
    record.line("%s runs in a second place TWICE", name.c_str());
  }
};

// A record server: 30 to 60 ms of work for a request; one in 833 is turned away, as by a full queue.
void serve(const Socket& socket, int number, Record& record, Runs& runs) {
  std::mt19937 random{std::random_device{}()};
  MessageReader reader;
  Message request;
  while (reader.read(socket, request, Clock::now() + std::chrono::minutes(2)) == ReadResult::message) {
    const std::string name = request.field("x-request-id");
    if (random() % 10000 < kTurnedAwayPerTenThousand) {
      const std::string refusal = response(503, "Service Unavailable", "", "X-Not-Run: 1\r\n");
      record.line("server %d turns %s away", number, name.c_str());
      if (!sendAll(socket, refusal))
        return;
      if (!hasTrouble())
        continue;
      std::this_thread::sleep_for(milliseconds(2 + random() % 8));
      record.line("server %d sends that answer a second time", number);
      if (!sendAll(socket, refusal))
        return;
      continue;
    }
    record.line("server %d runs %s %s", number, request.target().c_str(), name.c_str());
    if (request.target() != "/lookup")
      runs.add(name, request.target() == "/certificate" ? number : number % kCells, record);
    std::this_thread::sleep_for(milliseconds(30 + random() % 31));
    if (!sendAll(socket, response(200, "OK", recordOf(name))))
      return;
  }
}

// Sends one request at a time on one connection, the next one when it has the answer.
void runClient(std::uint16_t gateway, int number, const std::vector<ClassText>& classes, Record& record,
               std::atomic<int>& served) {
  const auto end = Clock::now() + kLength;
  Socket socket;
  MessageReader reader;
  for (int i = number; Clock::now() < end; ++i) {
    if (!socket.isOpen()) {
      socket = connectTo(gateway);
      reader = {};
    }
    const ClassText& type = classes[static_cast<std::size_t>(i) % classes.size()];
    const std::string name = newRequestId();
    Message answer;
    const auto until = Clock::now() + milliseconds(type.giveUpMs + 550);
    if (!sendAll(socket, requestText(type, name, type.giveUpMs)) ||
        reader.read(socket, answer, until) != ReadResult::message) {
      record.line("client gets no answer to %s", name.c_str());
      socket.close();
      continue;
    }
    record.line("client gets %d for %s", answer.status(), name.c_str());
    served += answer.status() == 200;
    if (answer.field("connection") == "close")
      socket.close();
  }
}

int run(const std::string& command, Record& record) {
  auto& runs = *new Runs;  // the threads of the servers end with the process
  std::vector<Target> targets;
  for (int i = 0; i < kServers; ++i) {
    auto* const server = new Server([i, &record, &runs](Socket& socket) { serve(socket, i, record, runs); });
    targets.push_back({"s-" + std::to_string(i), server->port(), "fukuoka-hall", i % kCells});
  }
  auto& discovery = *new Discovery(targets);
  const std::vector<ClassText> classes = siteClasses();
  Gateway gateway(command, discovery, classes);
  if (!gateway.awaitReady())
    return kCouldNotRun;
  std::atomic<int> served = 0;
  std::vector<std::thread> clients;
  for (int i = 0; i < kClients; ++i)
    clients.emplace_back(runClient, gateway.port(), i, std::cref(classes), std::ref(record),
                         std::ref(served));
  for (std::thread& client : clients)
    client.join();
  const std::lock_guard lock(runs.mutex);
  std::printf("served %d; certificates and amendments run %zu, run twice %d\n", served.load(),
              runs.placesOf.size(), runs.twice);
  if (!gateway.isRunning() || served == 0)
    return kCouldNotRun;
  return runs.twice > 0 ? kBroken : kHeld;
}

}  // namespace

int main(int argc, char** argv) {
  return review::runCase(argc, argv, run);
}
