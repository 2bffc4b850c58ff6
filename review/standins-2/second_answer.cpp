// A record server sends the answer to one request in twenty a second time, some milliseconds late. No client
// may get it as the answer to another request.
#include "platform.hpp"

namespace {

using namespace review;

constexpr int kServers = 4;
constexpr int kClients = 4;
constexpr auto kLength = std::chrono::seconds(20);
constexpr int kSpoiltPerMille = 50;

// A record server: 30 to 60 ms of work for a request, and the answer names the request.
class RecordServer {
 public:
  RecordServer(int number, Record& record)
      : number_(number), record_(record), server_([this](Socket& socket) { serve(socket); }) {}
  std::uint16_t port() const { return server_.port(); }

 private:
  void serve(const Socket& socket) const {
    std::mt19937 random{std::random_device{}()};
    MessageReader reader;
    Message request;
    while (reader.read(socket, request, Clock::now() + std::chrono::minutes(2)) == ReadResult::message) {
      const std::string name = request.field("x-request-id");
      record_.line("server %d begins %s", number_, name.c_str());
      std::this_thread::sleep_for(milliseconds(30 + random() % 31));
      const std::string answer = response(200, "OK", recordOf(name));
      record_.line("server %d answers %s", number_, name.c_str());
      if (!sendAll(socket, answer))
        return;
      if (!hasTrouble() || random() % 1000 >= kSpoiltPerMille)
        continue;
      std::this_thread::sleep_for(milliseconds(2 + random() % 5));
      record_.line("server %d answers %s a second time", number_, name.c_str());
      if (!sendAll(socket, answer))
        return;
    }
  }

  int number_;
  Record& record_;
  Server server_;
};

struct Counts {
  std::atomic<int> sent = 0, served = 0, refusedOrFailed = 0, unanswered = 0, foreign = 0;
};

// Sends one request at a time on one connection, the next one when it has the answer.
void runClient(std::uint16_t gateway, const std::vector<ClassText>& classes, Record& record, Counts& counts) {
  const auto end = Clock::now() + kLength;
  Socket socket;
  MessageReader reader;
  for (int i = 0; Clock::now() < end; ++i) {
    if (!socket.isOpen()) {
      socket = connectTo(gateway);
      reader = {};
    }
    const ClassText& type = classes[static_cast<std::size_t>(i) % classes.size()];
    const std::string name = newRequestId();
    record.line("client sends %s /%s", name.c_str(), type.name.c_str());
    ++counts.sent;
    Message answer;
    const auto until = Clock::now() + milliseconds(type.giveUpMs + 550);
    const ReadResult result = sendAll(socket, requestText(type, name, type.giveUpMs))
                                  ? reader.read(socket, answer, until)
                                  : ReadResult::reset;
    if (result != ReadResult::message) {
      record.line("client gets no answer to %s: %s", name.c_str(), nameOf(result));
      ++counts.unanswered;
      socket.close();
      continue;
    }
    const bool isForeign = answer.status() == 200 && answer.body != recordOf(name);
    record.line("client gets %d '%s' for %s%s", answer.status(), answer.body.c_str(), name.c_str(),
                isForeign ? " FOREIGN" : "");
    ++(answer.status() != 200 ? counts.refusedOrFailed : isForeign ? counts.foreign : counts.served);
    if (answer.field("connection") == "close")
      socket.close();
  }
}

int run(const std::string& command, Record& record) {
  std::vector<std::unique_ptr<RecordServer>> servers;
  std::vector<Target> targets;
  for (int i = 0; i < kServers; ++i) {
    servers.push_back(std::make_unique<RecordServer>(i, record));
    targets.push_back({"s-" + std::to_string(i), servers.back()->port()});
  }
  auto& discovery = *new Discovery(targets);  // its threads end with the process
  const std::vector<ClassText> classes = siteClasses();
  Gateway gateway(command, discovery, classes);
  if (!gateway.awaitReady())
    return kCouldNotRun;
  Counts counts;
  std::vector<std::thread> clients;
  for (int i = 0; i < kClients; ++i)
    clients.emplace_back(runClient, gateway.port(), std::cref(classes), std::ref(record), std::ref(counts));
  for (std::thread& client : clients)
    client.join();
  for (auto& server : servers)
    server.release();
  std::printf("sent %d, served %d, refused or failed %d, unanswered %d, served with another's answer %d\n",
              counts.sent.load(), counts.served.load(), counts.refusedOrFailed.load(),
              counts.unanswered.load(), counts.foreign.load());
  if (!gateway.isRunning() || counts.served == 0)
    return kCouldNotRun;
  return counts.foreign > 0 ? kBroken : kHeld;
}

}  // namespace

int main(int argc, char** argv) {
  return review::runCase(argc, argv, run);
}
