#include "platform.hpp"

#include <fcntl.h>
#include <poll.h>
#include <signal.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/stat.h>
#include <sys/wait.h>
#include <unistd.h>

#include <cstdarg>
#include <cstdlib>
#include <cstring>
#include <filesystem>
#include <fstream>
#include <random>
#include <stdexcept>

namespace review {
namespace {

constexpr auto kPollStep = Millis(20);

std::mt19937_64& generator() {
  thread_local std::mt19937_64 engine{std::random_device{}()};
  return engine;
}

// Accepts until the owner stops; `serve` gets each connection in a thread of its own.
void acceptLoop(int listener, const std::atomic<bool>& stops, Threads& threads,
                const std::function<void(int)>& serve) {
  while (!stops) {
    pollfd entry{listener, POLLIN, 0};
    if (::poll(&entry, 1, static_cast<int>(kPollStep.count())) <= 0)
      continue;
    const int descriptor = ::accept4(listener, nullptr, nullptr, SOCK_CLOEXEC);
    if (descriptor >= 0)
      threads.start([serve, descriptor] { serve(descriptor); });
  }
}

// The settings in the sample of WIRE-hollyrun.md, as the platform's JSON.
constexpr const char* kSettings = R"({
"groupSize":GATEWAYS,"myNumber":NUMBER,"zone":"ZONE","kindOfService":"proxy","registryMode":"push",
"zones":["fukuoka-hall","kumamoto-hall","kagoshima-hall"],
"kinds":["large-2core","standard-2core","small-1core"],
"stepNs":5000000,"weights":"none","countedBy":"work","tenants":[],
"domain":{"warmKeys":true},"overShareWorth":0.1,
"ceilings":{"cancel":true,"connectTimeoutNs":150000000,"cpuUsPerRequest":0.0,"cpuUsPerS":8000,
"idleCloseNs":60000000000,"maxAttempts":3,"maxRetryAfterNs":1500000000,"openCap":20000,
"parallelTries":true,"peers":false,"probes":false,"retryAfter":true,"streamsPerConn":1},
"rules":{"answerSlackNs":20000000,"askWithinNs":10000000000,"coldNs":23000000000,"coldShare":0.12,
"drainGraceNs":1000000000,"fallMultiple":4.0,"fallNs":1000000000},
"grades":[
{"name":"lookup","aimNs":400000000,"giveUpNs":1000000000,"effect":"retryable","group":"all",
"lateShare":0.5,"points":5.0,"stream":false,"windowNs":5000000000},
{"name":"certificate","aimNs":600000000,"giveUpNs":1200000000,"effect":"fragile","group":"all",
"lateShare":0.5,"points":2.0,"stream":false,"windowNs":5000000000},
{"name":"amendment","aimNs":300000000,"giveUpNs":1500000000,"effect":"dedup","group":"cell",
"lateShare":0.3,"points":3.0,"stream":false,"windowNs":7500000000}]})";

std::string settingsText(int number, int gateways) {
  const char* zones[] = {"fukuoka-hall", "kumamoto-hall", "kagoshima-hall"};
  std::string text = kSettings;
  const auto set = [&text](const std::string& name, const std::string& value) {
    text.replace(text.find(name), name.size(), value);
  };
  set("GATEWAYS", std::to_string(gateways));
  set("NUMBER", std::to_string(number));
  set("ZONE", zones[number % 3]);
  return text;
}

}  // namespace

// --- The record ------------------------------------------------------------------------------------------

Record::Record(const std::string& path) : file_(std::fopen(path.c_str(), "w")) {
  if (!file_)
    throw std::runtime_error("cannot write " + path);
}

Record::~Record() {
  std::fclose(file_);
}

void Record::line(const char* format, ...) {
  const std::lock_guard lock(mutex_);
  std::fprintf(file_, "%8.3f  ", secondsNow());
  va_list arguments;
  va_start(arguments, format);
  std::vfprintf(file_, format, arguments);
  va_end(arguments);
  std::fputc('\n', file_);
  std::fflush(file_);
}

void Threads::start(std::function<void()> body) {
  const std::lock_guard lock(mutex_);
  threads_.emplace_back(std::move(body));
}

// A thread that is joined may start others, so the list is taken again until it stays empty.
void Threads::join() {
  for (;;) {
    std::list<std::thread> started;
    {
      const std::lock_guard lock(mutex_);
      started.swap(threads_);
    }
    if (started.empty())
      return;
    for (std::thread& thread : started)
      thread.join();
  }
}

// --- Record servers --------------------------------------------------------------------------------------

std::string okAnswer(const std::string& body) {
  return "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: " +
         std::to_string(body.size()) + "\r\n\r\n" + body;
}

RecordServer::RecordServer(int number, Record& record, Threads& threads)
    : number_(number),
      record_(record),
      threads_(threads),
      uid_("s-0000000" + std::string(1, static_cast<char>('a' + number))),
      listener_(listenOnLoopback(port_)) {
  answer = [](RecordServer& self, Exchange& exchange) {
    exchange.stream->write(okAnswer(self.bodyFor(exchange)), Clock::now() + Millis(2000));
  };
  threads_.start([this] { accept(); });
}

RecordServer::~RecordServer() {
  ::close(listener_);
}

std::string RecordServer::bodyFor(const Exchange& exchange) const {
  return "{\"id\":\"" + exchange.id + "\",\"class\":\"" + exchange.className + "\",\"server\":\"" + uid_ +
         "\"}";
}

void RecordServer::accept() {
  acceptLoop(listener_, stops, threads_, [this](int descriptor) { serve(descriptor); });
}

void RecordServer::waitWhileHanging() const {
  while (hangs && !stops)
    std::this_thread::sleep_for(kPollStep);
}

void RecordServer::serve(int descriptor) {
  Stream stream(descriptor);
  while (!stops) {
    waitWhileHanging();
    if (!stream.awaitBytes(Clock::now() + kPollStep))
      continue;
    waitWhileHanging();
    Exchange exchange;
    exchange.stream = &stream;
    if (stream.read(exchange.request, Clock::now() + Millis(5000)) != ReadEnd::complete)
      return;
    exchange.id = exchange.request.header("x-request-id");
    const std::string line = exchange.request.startLine;
    const std::size_t slash = line.find('/');
    exchange.className =
        line.substr(slash + 1, std::min(line.find('/', slash + 1), line.find(' ', slash)) - slash - 1);
    ++begun_;
    record_.line("server %s  runs      %s %s", uid_.c_str(), exchange.id.c_str(), exchange.className.c_str());
    if (onRequest)
      onRequest(exchange);
    work(exchange);
    waitWhileHanging();
    if (!stops)
      answer(*this, exchange);
  }
}

void RecordServer::work(Exchange&) {
  std::unique_lock lock(mutex_);
  slotFreed_.wait(lock, [this] { return inWork_ < slots || stops; });
  ++inWork_;
  lock.unlock();
  std::uniform_real_distribution<double> share(0.5, 1.5);
  std::this_thread::sleep_for(std::chrono::duration<double, std::milli>(workMs * share(generator())));
  lock.lock();
  --inWork_;
  slotFreed_.notify_one();
}

// --- Discovery -------------------------------------------------------------------------------------------

Discovery::Discovery(Record& record, Threads& threads)
    : record_(record), threads_(threads), listener_(listenOnLoopback(port_)) {
  threads_.start([this] { accept(); });
}

Discovery::~Discovery() {
  ::close(listener_);
}

void Discovery::add(const RecordServer& server, const std::string& zone, int cell) {
  const std::lock_guard lock(mutex_);
  entries_.push_back({server.uid(), addressOf(server.port()), zone, cell});
}

std::string Discovery::listText() {
  const std::lock_guard lock(mutex_);
  std::string text = "{\"rev\":" + std::to_string(revision_) + ",\"all\":true,\"targets\":[";
  for (const Entry& entry : entries_)
    text += std::string(&entry == entries_.data() ? "" : ",") + "{\"uid\":\"" + entry.uid +
            "\",\"endpoint\":\"" + entry.address + "\",\"az\":\"" + entry.zone +
            "\",\"model\":\"standard-2core\",\"pod_group\":" + std::to_string(entry.cell) +
            ",\"state\":\"SERVING\",\"capacity_hint\":1.0,\"boot_ms\":0}";
  return text + "]}";
}

void Discovery::accept() {
  acceptLoop(listener_, stops, threads_, [this](int descriptor) { serve(descriptor); });
}

void Discovery::serve(int descriptor) {
  Stream stream(descriptor);
  while (!stops) {
    if (!stream.awaitBytes(Clock::now() + kPollStep))
      continue;
    Message call;
    if (stream.read(call, Clock::now() + Millis(5000)) != ReadEnd::complete)
      return;
    const std::string& line = call.startLine;
    const std::size_t wait = line.find("timeout_ms=");
    const int waitMs = wait == std::string::npos ? 0 : std::atoi(line.c_str() + wait + 11);
    // The list does not change in these cases, so a watch ends only when its time is over.
    const auto until = Clock::now() + Millis(waitMs);
    while (!stops && Clock::now() < until && !stream.hasEnded())
      std::this_thread::sleep_for(std::min<Clock::duration>(kPollStep, until - Clock::now()));
    const bool isWatch = line.find("since=") != std::string::npos;
    const std::string body =
        isWatch ? "{\"rev\":" + std::to_string(revision_) + ",\"all\":false,\"targets\":[]}" : listText();
    stream.write(okAnswer(body), Clock::now() + Millis(2000));
  }
}

// --- The gateway -----------------------------------------------------------------------------------------

GatewayProcess::GatewayProcess(const Place& place, Record& record) : record_(record), port_(reservePort()) {
  const std::string name = "n" + std::to_string(place.number);
  const std::string folder = place.folder + "/" + name;
  ::mkdir(folder.c_str(), 0700);
  const std::string file = folder + "/config.json", temporary = folder + "/tmp", log = folder + "/log";
  ::mkdir(temporary.c_str(), 0700);
  std::ofstream(file) << "{\"name\":\"" << name << "\",\"listen\":\"" << addressOf(port_)
                      << "\",\"discovery\":\"" << addressOf(place.discoveryPort)
                      << "\",\"seed\":\"8c1f30d27a5be96" << place.number << "\",\n"
                      << "\"limits\":{\"cores\":1.0,\"memory_mb\":192,\"sockets\":" << place.sockets
                      << "},\n\"known\":" << place.known
                      << ",\n\"settings\":" << settingsText(place.number, place.gateways) << "}\n";
  // All that the child needs is prepared before the fork, because this program has other threads.
  std::vector<std::string> variables = {
      "GW_NAME=" + name,   "GW_LISTEN=" + addressOf(port_), "GW_DISCOVERY=" + addressOf(place.discoveryPort),
      "GW_CONFIG=" + file, "TMPDIR=" + temporary,           "PATH=/usr/local/bin:/usr/bin:/bin"};
  std::vector<char*> environment;
  for (std::string& variable : variables)
    environment.push_back(variable.data());
  environment.push_back(nullptr);
  const int output = ::open(log.c_str(), O_CREAT | O_WRONLY | O_TRUNC | O_CLOEXEC, 0600);
  const pid_t parent = ::getpid();
  process_ = ::fork();
  if (process_ == 0) {
    ::prctl(PR_SET_PDEATHSIG, SIGKILL);
    if (::getppid() != parent || ::chdir(place.root.c_str()) != 0 || ::dup2(output, 1) < 0 ||
        ::dup2(output, 2) < 0)
      ::_exit(2);
    ::execle("/bin/sh", "sh", "-c", place.run.c_str(), static_cast<char*>(nullptr), environment.data());
    ::_exit(2);
  }
  ::close(output);
  record_.line("gateway %s  started with '%s' at %s", name.c_str(), place.run.c_str(),
               addressOf(port_).c_str());
}

GatewayProcess::~GatewayProcess() {
  if (process_ <= 0 || hasEnded())
    return;
  ::kill(process_, SIGKILL);
  ::waitpid(process_, nullptr, 0);
}

bool GatewayProcess::awaitReady(Millis timeout) {
  const auto until = Clock::now() + timeout;
  while (Clock::now() < until && !hasEnded()) {
    std::this_thread::sleep_for(kPollStep);
    const int descriptor = connectToLoopback(port_, Millis(200));
    if (descriptor < 0)
      continue;
    Stream stream(descriptor);
    Message answer;
    if (stream.write("GET /up HTTP/1.1\r\nHost: api.internal\r\n\r\n", until) &&
        stream.read(answer, until) == ReadEnd::complete && answer.status() == 200)
      return true;
  }
  record_.line("the gateway at %s did not become ready", addressOf(port_).c_str());
  return false;
}

void GatewayProcess::signal(int number) {
  if (process_ <= 0)
    return;
  record_.line("gateway at %s  gets signal %d (%s)", addressOf(port_).c_str(), number, ::strsignal(number));
  ::kill(process_, number);
}

bool GatewayProcess::hasEnded() {
  int status = 0;
  if (process_ > 0 && ::waitpid(process_, &status, WNOHANG) == process_) {
    record_.line("gateway at %s  has ended, %s %d", addressOf(port_).c_str(),
                 WIFSIGNALED(status) ? "by signal" : "with exit code",
                 WIFSIGNALED(status) ? WTERMSIG(status) : WEXITSTATUS(status));
    process_ = -1;
  }
  return process_ <= 0;
}

void limitRunTime() {
  std::thread([] {
    std::this_thread::sleep_for(std::chrono::seconds(115));
    std::_Exit(kCouldNotRun);
  }).detach();
}

// --- The deployment --------------------------------------------------------------------------------------

Deployment::Deployment(const Arguments& arguments, Record& record, int servers, int gateways)
    : record_(record), arguments_(arguments), gatewayCount_(gateways), discovery(record, threads) {
  const char* zones[] = {"fukuoka-hall", "kumamoto-hall", "kagoshima-hall"};
  for (int i = 0; i < servers; ++i) {
    this->servers.push_back(std::make_unique<RecordServer>(i, record, threads));
    discovery.add(*this->servers.back(), zones[i % 3], i % 3);
  }
}

bool Deployment::startGateways(int sockets) {
  for (int i = 0; i < gatewayCount_; ++i)
    gateways.push_back(std::make_unique<GatewayProcess>(
        GatewayProcess::Place{arguments_.root, arguments_.run, folder_.path(), i, gatewayCount_, sockets,
                              discovery.port(), discovery.listText()},
        record_));
  for (const auto& gateway : gateways)
    if (!gateway->awaitReady(Millis(10000)))
      return false;
  return true;
}

Deployment::~Deployment() {
  for (const auto& server : servers)
    server->stops = true;
  discovery.stops = true;
  gateways.clear();
  threads.join();
}

// --- Clients ---------------------------------------------------------------------------------------------

int tryMs(const ClassFacts& facts) {
  return static_cast<int>(facts.giveUpMs * 0.55);
}

std::string requestText(const ClassFacts& facts, const std::string& id, const std::string& key) {
  std::string text = std::string(facts.isSafe ? "GET" : "POST") + " /" + facts.name +
                     " HTTP/1.1\r\nHost: api.internal\r\nX-Request-Id: " + id + "\r\nX-Class: " + facts.name +
                     "\r\nCookie: obj=" + key + "\r\nX-Deadline-Ms: " + std::to_string(tryMs(facts)) + "\r\n";
  if (facts.isKeyed)
    text += "Idempotency-Key: " + id + newId() + "\r\n";
  return text + (facts.isSafe ? "\r\n" : "Content-Length: 2\r\n\r\n{}");
}

std::string newId() {
  char text[24];
  std::snprintf(text, sizeof text, "%016llx", static_cast<unsigned long long>(generator()()));
  return text;
}

TemporaryFolder::TemporaryFolder() {
  std::string pattern = (std::filesystem::temp_directory_path() / "hollyrun-review-XXXXXX").string();
  if (!::mkdtemp(pattern.data()))
    throw std::runtime_error("no temporary folder");
  path_ = pattern;
}

TemporaryFolder::~TemporaryFolder() {
  std::error_code ignored;
  std::filesystem::remove_all(path_, ignored);
}

Arguments readArguments(int count, char** values) {
  if (count != 4)
    throw std::runtime_error("usage: case ROOT RUN CASE-FOLDER");
  const char* trouble = std::getenv("TROUBLE");
  return {values[1], values[2], values[3], !trouble || std::string(trouble) != "0"};
}

}  // namespace review
