// A planned restart while some clients write slowly and some record servers hang: does every request that the
// gateway has taken get its final answer before the end of the restart?
#include <signal.h>

#include <cstdio>
#include <set>

#include "../standins/platform.hpp"

using namespace review;

namespace {

constexpr int kServers = 10, kHanging = 5;  // STANDING, roll+brink: a quarter to a half hang just then
constexpr int kSlowClients = 30, kOtherClients = 6;
constexpr int kWriteMs = 1700;  // from the first to the last byte of a slow client's request
constexpr auto kWarmUp = Millis(3000);
// PROTOCOL: SIGKILL comes no sooner than the longest deadline (here 1.5 s) plus 0.7 s after SIGTERM.
constexpr auto kKillAfter = Millis(1500 + 700);
constexpr auto kMayStillTake = Millis(700);
constexpr auto kSlack = Millis(500 + 50);  // after a request's time, as in STANDING and PROTOCOL

std::atomic<int> connected = 0, taken = 0, served = 0, lost = 0;
std::atomic<bool> killed = false;

// The requests that record servers have read whole, so that the gateway must have read them.
class ForwardedRequests {
 public:
  void add(const std::string& id) {
    const std::lock_guard lock(mutex_);
    ids_.insert(id);
  }
  bool contains(const std::string& id) {
    const std::lock_guard lock(mutex_);
    return ids_.count(id) > 0;
  }

 private:
  std::mutex mutex_;
  std::set<std::string> ids_;
};

ForwardedRequests forwarded;

// Judges a request whose last byte was sent at `sentAt` and that got no whole answer.
void judgeUnanswered(const std::string& id, ReadEnd result, Clock::time_point sentAt,
                     Clock::time_point sigterm, Record& record) {
  const char* reason = nullptr;
  if (result == ReadEnd::timedOut)
    reason = "no answer half a second after its time";
  else if (killed && sentAt > sigterm + kMayStillTake)
    reason = "SIGKILL found it unanswered, and it came more than 0.7 s after SIGTERM";
  else if (!killed && forwarded.contains(id))
    reason = "the gateway had read it and ended its connection with no answer";
  // Not lost: SIGKILL found a request that came within 0.7 s after SIGTERM, or the gateway ended a connection
  // whose request it may not have read, which its client then sends once more.
  if (!reason)
    return;
  ++lost;
  record.line("%s LOST: %s; it came %.3f s after SIGTERM", id.c_str(), reason,
              secondsOf(sentAt) - secondsOf(sigterm));
}

// A client that connects as SIGTERM comes and needs under 2 s to write its request, in four pieces.
void runSlowClient(std::uint16_t gateway, int number, Record& record, Clock::time_point sigterm) {
  std::this_thread::sleep_until(sigterm + Millis(10 * number));
  const int descriptor = connectToLoopback(gateway, Millis(200));
  if (descriptor < 0)
    return record.line("slow client %d  cannot connect", number);
  ++connected;
  Stream stream(descriptor);
  const auto connectedAt = Clock::now();
  const std::string id = newId(), text = requestText(kCertificate, id, newId());
  const std::size_t piece = text.size() / 4;
  for (int i = 0; i < 4; ++i) {
    if (i > 0)
      std::this_thread::sleep_until(connectedAt + Millis(kWriteMs * i / 3));
    const std::string part = i < 3 ? text.substr(i * piece, piece) : text.substr(3 * piece);
    if (stream.hasEnded() || !stream.write(part, Clock::now() + Millis(100)))
      return record.line("slow client %d  %s: the gateway closed before the request was whole", number,
                         id.c_str());
  }
  const auto sentAt = Clock::now();
  ++taken;
  record.line("slow client %d  %s: last byte sent %.3f s after SIGTERM, %.3f s after the connect", number,
              id.c_str(), secondsOf(sentAt) - secondsOf(sigterm), secondsOf(sentAt) - secondsOf(connectedAt));
  Message answer;
  const ReadEnd result = stream.read(answer, sentAt + Millis(tryMs(kCertificate)) + kSlack);
  record.line("slow client %d  %s: status %d, %s", number, id.c_str(), answer.status(), nameOf(result));
  if (result == ReadEnd::complete && answer.status() != 0) {
    served += answer.status() == 200;
    return;
  }
  judgeUnanswered(id, result, sentAt, sigterm, record);
}

// A client as PROTOCOL describes it: one request at a time on a connection that it keeps.
void runOtherClient(std::uint16_t gateway, Record& record, Clock::time_point sigterm, Clock::time_point end) {
  const ClassFacts classes[] = {kLookup, kCertificate, kAmendment};
  int turn = 0;
  while (Clock::now() < end && !killed) {
    const int descriptor = connectToLoopback(gateway, Millis(100));
    if (descriptor < 0)
      return;
    Stream stream(descriptor);
    while (Clock::now() < end && !stream.hasEnded()) {
      const ClassFacts& facts = classes[++turn % 3];
      const std::string id = newId();
      if (!stream.write(requestText(facts, id, newId()), Clock::now() + Millis(100)))
        break;
      const auto sentAt = Clock::now();
      Message answer;
      const ReadEnd result = stream.read(answer, sentAt + Millis(tryMs(facts)) + kSlack);
      record.line("client  %s %s: status %d, %s", id.c_str(), facts.name, answer.status(), nameOf(result));
      if (result != ReadEnd::complete)
        judgeUnanswered(id, result, sentAt, sigterm, record);
      if (result != ReadEnd::complete || answer.header("connection") == "close")
        break;
      std::this_thread::sleep_for(Millis(50));
    }
  }
}

int run(const Arguments& arguments) {
  Record record(arguments.caseFolder + "/record.txt");
  Deployment deployment(arguments, record, kServers, 1);
  for (const auto& server : deployment.servers)
    server->onRequest = [](const Exchange& exchange) { forwarded.add(exchange.id); };
  if (!deployment.startGateways())
    return kCouldNotRun;
  GatewayProcess& gateway = *deployment.gateways[0];
  const auto sigterm = Clock::now() + kWarmUp;
  const auto end = sigterm + kKillAfter + Millis(2500);
  Threads clients;
  for (int i = 0; i < kOtherClients; ++i)
    clients.start([&] { runOtherClient(gateway.port(), record, sigterm, end); });
  for (int i = 0; i < kSlowClients; ++i)
    clients.start([&, i] { runSlowClient(gateway.port(), i, record, sigterm); });
  std::this_thread::sleep_until(sigterm);
  if (arguments.isTrouble) {
    for (int i = 0; i < kHanging; ++i)
      deployment.servers[2 * i]->hangs = true;
    record.line("%d of %d record servers hang", kHanging, kServers);
    gateway.signal(SIGTERM);
    std::this_thread::sleep_until(sigterm + kKillAfter);
    if (!gateway.hasEnded()) {
      killed = true;
      gateway.signal(SIGKILL);
    }
  }
  clients.join();
  if (connected == 0)
    return kCouldNotRun;
  record.line("%d requests of slow clients taken, %d of them served; %d requests lost", taken.load(),
              served.load(), lost.load());
  return lost > 0 ? kBroken : kHeld;
}

}  // namespace

int main(int count, char** values) {
  try {
    limitRunTime();
    return run(readArguments(count, values));
  } catch (const std::exception& error) {
    std::fprintf(stderr, "%s\n", error.what());
    return kCouldNotRun;
  }
}
