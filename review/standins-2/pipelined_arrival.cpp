// Clients write two certificates and the beginning of a third at once, and the rest of the third 1.1 s later.
// Some answers of record servers get lost. Each certificate has to get its final answer half a second after
// its time at the latest, counted from its own last byte.
#include "platform.hpp"

namespace {

using namespace review;

constexpr int kServers = 10;
constexpr int kClients = 12;
constexpr int kLookupClients = 8;
constexpr int kRounds = 30;
constexpr int kLostPerMille = 250;
constexpr auto kPause = milliseconds(1100);
// The half second, and what time limits are longer by on sockets.
constexpr auto kSlack = milliseconds(550);

// A record server: 40 to 70 ms of work for a request; one answer in four gets lost.
void serve(const Socket& socket, int number, Record& record) {
  std::mt19937 random{std::random_device{}()};
  MessageReader reader;
  Message request;
  while (reader.read(socket, request, Clock::now() + std::chrono::minutes(2)) == ReadResult::message) {
    const std::string name = request.field("x-request-id");
    record.line("server %d runs %s, told %s ms", number, name.c_str(),
                request.field("x-deadline-ms").c_str());
    std::this_thread::sleep_for(milliseconds(40 + random() % 31));
    if (hasTrouble() && random() % 1000 < kLostPerMille) {
      record.line("server %d's answer to %s gets lost", number, name.c_str());
      continue;
    }
    if (!sendAll(socket, response(200, "OK", recordOf(name))))
      return;
  }
}

struct Counts {
  std::atomic<int> sent = 0, served = 0, refusedOrFailed = 0, lost = 0;
};

struct Sent {
  std::string name;
  Clock::time_point lastByteAt;
};

enum class EndOfConnection { judged, excused };

// Reads one answer and judges it.
void awaitAnswer(const Socket& socket, MessageReader& reader, const Sent& request, const ClassText& type,
                 Record& record, Counts& counts, EndOfConnection end = EndOfConnection::judged) {
  ++counts.sent;
  const auto latest = request.lastByteAt + milliseconds(type.giveUpMs) + kSlack;
  Message answer;
  const ReadResult result = reader.read(socket, answer, latest + std::chrono::seconds(3));
  const std::chrono::duration<double> after = Clock::now() - request.lastByteAt;
  const bool hasEnded = result == ReadResult::closed || result == ReadResult::reset;
  const bool isExcused = hasEnded && end == EndOfConnection::excused;
  const bool isLost = !isExcused && (result != ReadResult::message || Clock::now() > latest);
  record.line("client gets %s %d for %s %.2f s after its last byte%s", nameOf(result), answer.status(),
              request.name.c_str(), after.count(), isLost ? " LOST" : "");
  ++(isLost ? counts.lost : answer.status() == 200 ? counts.served : counts.refusedOrFailed);
}

void runClient(std::uint16_t gateway, const ClassText& type, Record& record, Counts& counts) {
  for (int round = 0; round < kRounds; ++round) {
    const Socket socket = connectTo(gateway);
    MessageReader reader;
    Sent requests[3];
    std::string texts[3];
    for (int i = 0; i < 3; ++i) {
      requests[i].name = newRequestId();
      texts[i] = requestText(type, requests[i].name, type.giveUpMs);
    }
    const std::size_t cut = texts[2].size() / 2;
    record.line("client writes %s, %s and half of %s", requests[0].name.c_str(), requests[1].name.c_str(),
                requests[2].name.c_str());
    if (!sendAll(socket, texts[0] + texts[1] + texts[2].substr(0, cut)))
      continue;
    requests[0].lastByteAt = requests[1].lastByteAt = Clock::now();
    std::thread writer([&] {
      std::this_thread::sleep_for(kPause);
      record.line("client writes the rest of %s", requests[2].name.c_str());
      sendAll(socket, texts[2].substr(cut));
      requests[2].lastByteAt = Clock::now();
    });
    awaitAnswer(socket, reader, requests[0], type, record, counts);
    awaitAnswer(socket, reader, requests[1], type, record, counts);
    writer.join();
    // A close may cross the last bytes of this one, which is then to be sent again and is not judged.
    awaitAnswer(socket, reader, requests[2], type, record, counts, EndOfConnection::excused);
  }
}

// The usual traffic beside it: one lookup at a time, whose answer is not looked at.
void runLookups(std::uint16_t gateway, const ClassText& type, const std::atomic<bool>& isOver) {
  Socket socket;
  MessageReader reader;
  while (!isOver) {
    if (!socket.isOpen()) {
      socket = connectTo(gateway);
      reader = {};
    }
    Message answer;
    const auto until = Clock::now() + milliseconds(type.giveUpMs) + kSlack;
    if (!sendAll(socket, requestText(type, newRequestId(), type.giveUpMs)) ||
        reader.read(socket, answer, until) != ReadResult::message || answer.field("connection") == "close")
      socket.close();
    std::this_thread::sleep_for(milliseconds(30));
  }
}

int run(const std::string& command, Record& record) {
  std::vector<Target> targets;
  for (int i = 0; i < kServers; ++i) {
    auto* const server = new Server([i, &record](Socket& socket) { serve(socket, i, record); });
    targets.push_back({"s-" + std::to_string(i), server->port()});
  }
  auto& discovery = *new Discovery(targets);  // its threads end with the process, like those of the servers
  const std::vector<ClassText> classes = siteClasses();
  Gateway gateway(command, discovery, classes);
  if (!gateway.awaitReady())
    return kCouldNotRun;
  Counts counts;
  std::atomic<bool> isOver = false;
  std::vector<std::thread> lookups;
  for (int i = 0; i < kLookupClients; ++i)
    lookups.emplace_back(runLookups, gateway.port(), std::cref(classes[0]), std::cref(isOver));
  std::vector<std::thread> clients;
  for (int i = 0; i < kClients; ++i) {
    clients.emplace_back(runClient, gateway.port(), std::cref(classes[1]), std::ref(record),
                         std::ref(counts));
    std::this_thread::sleep_for(milliseconds(150));
  }
  for (std::thread& client : clients)
    client.join();
  isOver = true;
  for (std::thread& lookup : lookups)
    lookup.join();
  std::printf("sent %d, served %d, refused or failed %d, lost %d\n", counts.sent.load(), counts.served.load(),
              counts.refusedOrFailed.load(), counts.lost.load());
  if (!gateway.isRunning() || counts.served == 0)
    return kCouldNotRun;
  return counts.lost > 0 ? kBroken : kHeld;
}

}  // namespace

int main(int argc, char** argv) {
  return review::runCase(argc, argv, run);
}
