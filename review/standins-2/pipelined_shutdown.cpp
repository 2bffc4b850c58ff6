// Clients have sent several requests at once on a connection, and the gateway gets SIGTERM for a planned
// restart. Every request that was written before the signal has to get its final answer.
#include "platform.hpp"

namespace {

using namespace review;

constexpr int kServers = 4;
constexpr int kClients = 4;
constexpr int kRequests = 4;  // of a client, written at once
constexpr auto kSignalAfter = milliseconds(200);

// A record server that needs 150 ms for a request: three times the usual work.
void serve(const Socket& socket, int number, Record& record) {
  MessageReader reader;
  Message request;
  while (reader.read(socket, request, Clock::now() + std::chrono::minutes(2)) == ReadResult::message) {
    const std::string name = request.field("x-request-id");
    record.line("server %d begins %s", number, name.c_str());
    std::this_thread::sleep_for(milliseconds(150));
    record.line("server %d answers %s", number, name.c_str());
    if (!sendAll(socket, response(200, "OK", recordOf(name))))
      return;
  }
}

struct Counts {
  std::atomic<int> sent = 0, answered = 0, lost = 0;
};

void runClient(std::uint16_t gateway, int number, const ClassText& type, Record& record, Counts& counts) {
  const Socket socket = connectTo(gateway);
  std::vector<std::string> names;
  std::string text;
  for (int i = 0; i < kRequests; ++i) {
    names.push_back(newRequestId());
    text += requestText(type, names.back(), type.giveUpMs);
  }
  const auto sentAt = Clock::now();
  if (!sendAll(socket, text))
    return record.line("client %d could not send", number);
  record.line("client %d has written %d requests", number, kRequests);
  counts.sent += kRequests;
  MessageReader reader;
  const auto until = sentAt + milliseconds(type.giveUpMs + 550);
  for (std::size_t i = 0; i < names.size(); ++i) {
    Message answer;
    const ReadResult result = reader.read(socket, answer, until);
    if (result == ReadResult::message) {
      record.line("client %d gets %d for %s, Connection: %s", number, answer.status(), names[i].c_str(),
                  answer.field("connection").c_str());
      ++counts.answered;
      continue;
    }
    for (; i < names.size(); ++i) {
      record.line("client %d gets no answer to %s: %s LOST", number, names[i].c_str(), nameOf(result));
      ++counts.lost;
    }
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
  std::vector<std::thread> clients;
  for (int i = 0; i < kClients; ++i)
    clients.emplace_back(runClient, gateway.port(), i, std::cref(classes[0]), std::ref(record),
                         std::ref(counts));
  std::this_thread::sleep_for(kSignalAfter);
  if (hasTrouble()) {
    record.line("SIGTERM");
    gateway.signal(SIGTERM);
  }
  for (std::thread& client : clients)
    client.join();
  std::printf("sent %d, answered %d, lost %d\n", counts.sent.load(), counts.answered.load(),
              counts.lost.load());
  if (counts.sent != kClients * kRequests)
    return kCouldNotRun;
  return counts.lost > 0 ? kBroken : kHeld;
}

}  // namespace

int main(int argc, char** argv) {
  return review::runCase(argc, argv, run);
}
