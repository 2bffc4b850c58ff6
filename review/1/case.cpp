// An answer that never ends: does the client get its final answer, or at least an end that it can see?
#include <signal.h>

#include <algorithm>
#include <cstdio>

#include "../standins/platform.hpp"

using namespace review;

namespace {

constexpr auto kTrouble = std::chrono::seconds(40);  // some answers never end
constexpr auto kAfter = std::chrono::seconds(15);    // all answers are proper again
// STANDING: up to half a second after its time an answer only earns nothing. PROTOCOL: on sockets each time
// limit is longer by 50 ms.
constexpr auto kLate = Millis(500 + 50);
// A few clients stay to see how long their connection remains as it is; the others give up.
constexpr auto kLookOn = std::chrono::seconds(50);
constexpr int kLookers = 3;
constexpr int kClients = 20;
constexpr int kSpoiltShare = 20;                // one answer in so many never ends
constexpr int kDescriptors = 256;               // TERMS: between 256 and 1,024
constexpr auto kEndAfter = Millis(1500 + 700);  // PROTOCOL: SIGKILL comes no sooner after SIGTERM

std::atomic<int> answers = 0, spoiltAnswers = 0, requests = 0, served = 0, lost = 0;
std::atomic<int> servedAfter = 0, refusedAfter = 0;
std::atomic<bool> isTroubleOver = false;

// The first bytes of a proper answer; the rest never comes, and the connection stays open.
void startEndlessAnswer(RecordServer& self, Exchange& exchange, Record& record) {
  const std::string body = self.bodyFor(exchange);
  char size[16];
  std::snprintf(size, sizeof size, "%zx\r\n", body.size());
  exchange.stream->write(
      "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nTransfer-Encoding: chunked\r\n\r\n" +
          std::string(size) + body + "\r\n",
      Clock::now() + Millis(1000));
  ++spoiltAnswers;
  record.line("server %s  begins an answer to %s and never ends it", self.uid().c_str(), exchange.id.c_str());
  Message nothing;
  while (!self.stops && exchange.stream->read(nothing, Clock::now() + Millis(50)) == ReadEnd::timedOut) {
  }
}

// A client as PROTOCOL describes it: one request at a time on a connection that it keeps. It waits for each
// answer.
void runClient(std::uint16_t gateway, int number, Record& record, Clock::time_point end) {
  const ClassFacts classes[] = {kLookup, kLookup, kCertificate, kAmendment};
  while (Clock::now() < end) {
    const int descriptor = connectToLoopback(gateway, Millis(1000));
    if (descriptor < 0)
      return record.line("client %d  cannot connect", number);
    Stream stream(descriptor);
    for (int i = 0; Clock::now() < end; ++i) {
      const ClassFacts& facts = classes[i % 4];
      const std::string id = newId();
      if (!stream.write(requestText(facts, id, newId()), Clock::now() + Millis(1000)))
        break;
      ++requests;
      record.line("client %d  sends %s %s", number, id.c_str(), facts.name);
      const auto due = Clock::now() + Millis(tryMs(facts)) + kLate;
      Message answer;
      const ReadEnd result = stream.read(answer, due);
      record.line("client %d  %s: status %d, %s", number, id.c_str(), answer.status(), nameOf(result));
      if (result == ReadEnd::complete && answer.status() == 200)
        ++(isTroubleOver ? servedAfter : served);
      if (result == ReadEnd::complete && answer.status() == 503 && isTroubleOver)
        ++refusedAfter;
      if (result == ReadEnd::timedOut) {
        record.line("client %d  %s LOST: no final answer and no end of the connection %lld ms after its time",
                    number, id.c_str(), static_cast<long long>(kLate.count()));
        if (++lost > kLookers)
          break;
        while (Clock::now() < std::min(due + kLookOn, end) && !stream.hasEnded())
          std::this_thread::sleep_for(Millis(20));
        record.line("client %d  %s: the connection %s %.1f s after the request's time", number, id.c_str(),
                    stream.hasEnded() ? "ended" : "was still open", secondsNow() - secondsOf(due - kLate));
        break;
      }
      if (result != ReadEnd::complete || answer.header("connection") == "close")
        break;
      std::this_thread::sleep_for(Millis(100));
    }
  }
}

int run(const Arguments& arguments) {
  Record record(arguments.caseFolder + "/record.txt");
  Deployment deployment(arguments, record, 10, 1);
  for (const auto& server : deployment.servers)
    server->answer = [&record, &arguments, whole = server->answer](RecordServer& self, Exchange& exchange) {
      if (arguments.isTrouble && !isTroubleOver && ++answers % kSpoiltShare == 0)
        startEndlessAnswer(self, exchange, record);
      else
        whole(self, exchange);
    };
  if (!deployment.startGateways(kDescriptors))
    return kCouldNotRun;
  GatewayProcess& gateway = *deployment.gateways[0];
  const auto end = Clock::now() + kTrouble + kAfter;
  Threads clients;
  for (int i = 0; i < kClients; ++i)
    clients.start([&, i] { runClient(gateway.port(), i, record, end); });
  std::this_thread::sleep_until(end - kAfter);
  isTroubleOver = true;
  record.line("from now on all answers are proper");
  clients.join();
  if (gateway.hasEnded() || served == 0)
    return kCouldNotRun;
  // Not judged: what the lost requests leave behind in the gateway.
  record.line("after the trouble: %d requests served, %d refused", servedAfter.load(), refusedAfter.load());
  gateway.signal(SIGTERM);
  std::this_thread::sleep_for(kEndAfter);
  if (!gateway.hasEnded())
    record.line("%lld ms after SIGTERM the gateway still runs", static_cast<long long>(kEndAfter.count()));
  record.line("%d requests, %d served, %d answers that never end, %d requests lost", requests.load(),
              served + servedAfter, spoiltAnswers.load(), lost.load());
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
