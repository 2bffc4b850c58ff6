#include "lab/soak/soak.hpp"

#include <signal.h>
#include <sys/wait.h>
#include <unistd.h>

#include <algorithm>
#include <boost/asio/steady_timer.hpp>
#include <cerrno>
#include <filesystem>
#include <fstream>
#include <memory>
#include <nlohmann/json.hpp>
#include <random>
#include <stdexcept>
#include <utility>

#include "lab/faults/fault_file.hpp"
#include "lab/soak/flood.hpp"
#include "lab/soak/peers.hpp"
#include "lab/soak/slow_crowd.hpp"
#include "lab/testbed/lag_meter.hpp"
#include "lab/testbed/platform.hpp"
#include "lab/testbed/process.hpp"
#include "lab/testbed/process_usage.hpp"

namespace hollyrun::lab {
namespace {

namespace fs = std::filesystem;
using nlohmann::json;
using namespace std::chrono_literals;

// The peers may observe an event this long after it happened. A longer delay of the soak's own event loop
// makes the run void.
constexpr auto kMaxLoopDelay = 100ms;
constexpr auto kProcessPollInterval = 20ms;
constexpr auto kReadyTimeout = 10s;
constexpr auto kTerminationTimeout = 8s;  // from SIGTERM to the exit of the process
constexpr auto kClientTimeout = 1000ms;
// The platform's earliest SIGKILL after SIGTERM: the longest deadline of the deployment plus 0.7 s.
constexpr auto kEarliestKill = kClientTimeout + 700ms;
constexpr auto kSignalInterval = 100ms;  // between the signals of a series
// More than a gateway accepts, which is three fifths of its descriptors at most.
constexpr double kCrowdPerDescriptor = 0.7;
constexpr std::size_t kCrowdBatch = 10;
constexpr auto kCrowdBatchInterval = 10ms;
constexpr std::size_t kPipelinedRequests = 50;
constexpr std::uint64_t kReturnDivisor = 1 << 16;  // the bit of a random value that makes a crowd come again
constexpr auto kFloodPause = 2ms;                  // between writes of fifty requests
constexpr auto kMaxDrainBeforeReturn = 500ms;
constexpr auto kDrainAfterReturn = 2000ms;
constexpr std::chrono::milliseconds kLateAnswers[] = {200ms, 600ms, 1200ms, 2500ms};
// Time limit of the settings without a call of discovery, by seed; 0: none.
constexpr std::chrono::milliseconds kAskWithin[] = {4000ms, 500ms, 10000ms, 0ms, 60000ms};
constexpr auto kCompletionTime = 2500ms;  // between the last request and the final check
constexpr auto kFinalCheckTime = 2500ms;  // for the requests of the final check
constexpr auto kUsagePollInterval = 500ms;
// The least and the most descriptors of the pages, by seed, with the least memory.
constexpr std::size_t kSocketLimits[] = {256, 1024};
constexpr double kMemoryLimitMb = 32;
constexpr std::size_t kLargeBodyShare = 20;  // one request in so many
constexpr std::size_t kMaxLargeBody = 400'000;
constexpr auto kSlowStartTime = 9s, kFallWindow = 2s;
constexpr double kSlowStartShare = 0.32, kFallMultiple = 3, kHeadroom = 2;

const SoakClass kClasses[] = {{"read", balancer::Idempotency::idempotent, 0ns},
                              {"write", balancer::Idempotency::none, 0ns},
                              {"put", balancer::Idempotency::keyed, 2s}};

json classJson(const SoakClass& requestClass) {
  static constexpr const char* kEffects[] = {"retryable", "dedup", "fragile"};
  return {{"name", requestClass.name},
          {"effect", kEffects[static_cast<std::size_t>(requestClass.idempotency)]},
          {"group", "all"},
          {"aimNs", 800'000'000},
          {"giveUpNs", 1'000'000'000},
          {"windowNs", requestClass.window.count()},
          {"points", 1.0}};
}

// Returns the kernel's table lines of the sockets at this port. They explain a failure to bind the address.
std::string socketsAt(unsigned short port) {
  std::ifstream table("/proc/net/tcp");
  char local[16];
  std::snprintf(local, sizeof local, ":%04X ", port);
  std::string found;
  for (std::string line; std::getline(table, line);)
    if (line.find(local) != std::string::npos)
      found += "\n    " + line;
  return found;
}

std::size_t descriptorsOf(pid_t pid) {
  std::error_code ec;
  fs::directory_iterator entries("/proc/" + std::to_string(pid) + "/fd", ec);
  return ec ? 0 : static_cast<std::size_t>(std::distance(begin(entries), end(entries)));
}

class Soak {
 public:
  explicit Soak(const SoakPlan& plan);
  ~Soak();
  SoakResult run();

 private:
  struct Gateway {
    std::unique_ptr<ReservedPort> port;
    std::unique_ptr<FaultFile> faults;
    std::shared_ptr<Process> process;
    std::string directory;
    std::unique_ptr<SoakCrowd> crowd;
    std::unique_ptr<SlowCrowd> slowCrowd;
    std::shared_ptr<Flood> flood;
    bool ready = false, stopped = false, terminating = false;
    SoakTime startedAt{}, stoppedAt{}, termSentAt{};
  };

  void startGateway(std::size_t number);
  void writeConfig(std::size_t number, bool whole);
  void probeReady(std::size_t number);
  void pollProcesses();
  void pollUsage();
  void processEnded(std::size_t number, int status);
  void nextRequest();
  SoakCall drawCall();

  void inject(const SoakFault& soakFault);
  void revert(const SoakFault& soakFault);
  void injectAtGateway(const SoakFault& soakFault, std::size_t number);
  void injectAtServer(const SoakFault& soakFault, std::size_t number);
  void revertAtGateway(const SoakFault& soakFault, std::size_t number);
  void revertAtServer(const SoakFault& soakFault, std::size_t number);
  void injectCallFault(Gateway& gateway, FaultyCall call, std::uint32_t oneIn, int error,
                       std::uint32_t maxBytes = 0);
  void signal(std::size_t number, int signal);
  void terminate(std::size_t number, bool killsAtEarliest);
  void killAfterTerm(std::size_t number, const std::shared_ptr<Process>& terminated);
  void reload(std::size_t number, bool movesDiscovery);
  void signalInSeries(std::size_t number, std::uint64_t variant);
  void beginOutage(const SoakFault& soakFault);
  void endOutage(const SoakFault& soakFault);
  void resume(std::size_t number);
  void schedule(std::chrono::milliseconds delay, std::function<void()> action);
  void finalCheck();
  SlowStartBudget slowStartBudget() const;
  std::size_t socketLimit() const { return kSocketLimits[plan_.seed % std::size(kSocketLimits)]; }
  std::size_t crowdSize() const {
    return static_cast<std::size_t>(kCrowdPerDescriptor * static_cast<double>(socketLimit()));
  }
  void sendSlowCrowd(std::size_t number, std::uint64_t variant);
  void sendFlood(std::size_t number, std::uint64_t variant);
  void noteOtherRequest(std::size_t number, const std::string& id);
  bool unavailable(const Gateway& gateway) const {
    return !gateway.process || gateway.process->ended || !gateway.ready;
  }

  SoakPlan plan_;
  asio::io_context io_;
  std::mt19937_64 random_;
  std::string directory_;
  SoakOracle oracle_{kMaxLoopDelay};
  SoakDiscovery discovery_;
  std::vector<std::unique_ptr<SoakServer>> servers_;
  std::vector<char> serverFaulty_;
  std::vector<Gateway> gateways_;
  SoakClients clients_;
  LagMeter lag_{io_};
  asio::steady_timer arrivals_{io_}, processPoll_{io_}, usagePoll_{io_};
  std::vector<std::shared_ptr<asio::steady_timer>> timers_;
  SoakTime startedAt_{};
  std::uint64_t requestCount_ = 0, otherPeers_ = 0;
  bool clientsDisconnect_ = false, stopping_ = false;
  std::vector<SoakFault> injected_;
};

std::int64_t unixNowMs() {
  return std::chrono::system_clock::now().time_since_epoch() / 1ms;
}

Soak::Soak(const SoakPlan& plan)
    : plan_(plan),
      random_(plan.seed),
      directory_((fs::temp_directory_path() /
                  ("hollyrun-soak-" + std::to_string(::getpid()) + "-" + std::to_string(plan.seed)))
                     .string()),
      discovery_(io_, plan.gateways, oracle_),
      serverFaulty_(plan.servers),
      gateways_(plan.gateways),
      clients_(io_, oracle_, plan.gateways) {
  fs::create_directories(directory_);
  for (std::size_t i = 0; i < plan.servers; ++i) {
    servers_.push_back(std::make_unique<SoakServer>(io_, i, oracle_));
    discovery_.add(i, servers_.back()->endpoint());
  }
  for (std::size_t i = 0; i < plan.gateways; ++i) {
    Gateway& gateway = gateways_[i];
    gateway.port = std::make_unique<ReservedPort>(io_);
    gateway.directory = directory_ + "/g" + std::to_string(i);
    fs::create_directories(gateway.directory);
    gateway.faults = std::make_unique<FaultFile>(gateway.directory + "/faults", plan.seed * 1000 + i);
  }
}

Soak::~Soak() {
  for (Gateway& gateway : gateways_)
    if (gateway.process && !gateway.process->ended) {
      ::kill(gateway.process->pid, SIGKILL);
      ::waitpid(gateway.process->pid, nullptr, 0);
    }
  std::error_code ignored;
  if (!plan_.keepLogs)
    fs::remove_all(directory_, ignored);
}

void Soak::writeConfig(std::size_t number, bool whole) {
  const Gateway& gateway = gateways_[number];
  json classes = json::array();
  for (const SoakClass& requestClass : kClasses)
    classes.push_back(classJson(requestClass));
  const json config = {{"name", "g" + std::to_string(number)},
                       {"listen", textOf(gateway.port->endpoint())},
                       {"discovery", textOf(discovery_.agent(number))},
                       {"seed", "8c1f30d27a5be964"},
                       {"known", json::parse(discovery_.fullList())},
                       {"limits", {{"sockets", socketLimit()}, {"memory_mb", kMemoryLimitMb}}},
                       {"settings",
                        {{"groupSize", plan_.gateways},
                         {"myNumber", number},
                         {"zone", "a"},
                         {"registryMode", "ask"},
                         {"stepNs", 5'000'000},
                         {"ceilings",
                          {{"cancel", true},
                           {"maxAttempts", 3},
                           {"connectTimeoutNs", 500'000'000},
                           {"idleCloseNs", 5'000'000'000},
                           {"maxRetryAfterNs", 1'000'000'000}}},
                         {"rules",
                          {{"askWithinNs", SoakTime(kAskWithin[plan_.seed % std::size(kAskWithin)]).count()},
                           {"coldNs", std::chrono::nanoseconds(kSlowStartTime).count()},
                           {"coldShare", kSlowStartShare},
                           {"fallMultiple", kFallMultiple},
                           {"fallNs", std::chrono::nanoseconds(kFallWindow).count()}}},
                         {"grades", classes}}}};
  const std::string text = config.dump(), path = gateway.directory + "/config.json";
  std::ofstream(path + ".new") << (whole ? text : text.substr(0, text.size() / 2));
  fs::rename(path + ".new", path);
}

void Soak::startGateway(std::size_t number) {
  Gateway& gateway = gateways_[number];
  writeConfig(number, true);
  discovery_.announceFullList(number);
  gateway.ready = gateway.stopped = gateway.terminating = false;
  gateway.termSentAt = {};
  gateway.startedAt = soakNow();
  gateway.process = std::make_shared<Process>(io_, "g" + std::to_string(number));
  std::vector<std::string> variables = {"GW_CONFIG=" + gateway.directory + "/config.json",
                                        "TMPDIR=" + gateway.directory, "HOLLYRUN_ABORT_ON_VIOLATION=1",
                                        "ASAN_OPTIONS=verify_asan_link_order=0"};
  if (!plan_.library.empty()) {
    variables.push_back("LD_PRELOAD=" + plan_.library);
    variables.push_back(std::string(kFaultPageVariable) + "=" + gateway.faults->path());
  }
  gateway.process->start(plan_.program, variables);
  if (plan_.keepLogs)
    gateway.process->onOutputLine =
        [log = std::make_shared<std::ofstream>(gateway.directory + "/log", std::ios::app)](
            const std::string& line) { *log << line << std::endl; };
  probeReady(number);
}

void Soak::probeReady(std::size_t number) {
  Gateway& gateway = gateways_[number];
  const auto probed = gateway.process;
  httpGet(io_, gateway.port->endpoint(), "/up", 500ms,
          [this, number, probed](int status, const std::string&) {
            Gateway& current = gateways_[number];
            if (current.process != probed || probed->ended || current.ready || stopping_)
              return;
            if (status == 200) {
              current.ready = true;
              return;
            }
            if (soakNow() - current.startedAt > kReadyTimeout)
              return oracle_.reportViolation(SoakRule::notReady, probed->name + " was not ready in time");
            schedule(50ms, [this, number] { probeReady(number); });
          });
}

void Soak::schedule(std::chrono::milliseconds delay, std::function<void()> action) {
  const auto timer = std::make_shared<asio::steady_timer>(io_, delay);
  timer->async_wait([timer, action = std::move(action)](error_code ec) {
    if (!ec)
      action();
  });
}

void Soak::pollProcesses() {
  for (std::size_t i = 0; i < gateways_.size(); ++i) {
    Gateway& gateway = gateways_[i];
    int status = 0;
    if (!gateway.process || gateway.process->ended)
      continue;
    if (::waitpid(gateway.process->pid, &status, WNOHANG) == gateway.process->pid)
      processEnded(i, status);
    else if (gateway.termSentAt > 0ns && soakNow() - gateway.termSentAt > kTerminationTimeout)
      oracle_.reportViolation(SoakRule::crashed,
                              gateway.process->name + " did not end in time after SIGTERM"),
          gateway.termSentAt = {};
  }
  processPoll_.expires_after(kProcessPollInterval);
  processPoll_.async_wait([this](error_code ec) {
    if (!ec)
      pollProcesses();
  });
}

void Soak::processEnded(std::size_t number, int status) {
  Process& process = *gateways_[number].process;
  process.ended = true;
  oracle_.gatewayEnded(number, soakNow());
  const bool expected = process.stopRequested && (!WIFEXITED(status) || WEXITSTATUS(status) == 0) &&
                        (!WIFSIGNALED(status) || WTERMSIG(status) == SIGKILL || WTERMSIG(status) == SIGTERM);
  if (!expected)
    oracle_.reportViolation(SoakRule::crashed,
                            process.name + " ended unexpectedly with " +
                                (WIFSIGNALED(status) ? "signal " + std::to_string(WTERMSIG(status))
                                                     : "exit code " + std::to_string(WEXITSTATUS(status))) +
                                ": " + process.lastLine +
                                socketsAt(gateways_[number].port->endpoint().port()));
  if (!stopping_)
    startGateway(number);
}

void Soak::pollUsage() {
  for (const Gateway& gateway : gateways_) {
    if (unavailable(gateway))
      continue;
    const std::size_t descriptors = descriptorsOf(gateway.process->pid);
    double memory = 0;
    try {
      memory = usageOf(gateway.process->pid).peakResidentMb;
    } catch (const std::runtime_error&) {
      continue;  // the process has just ended
    }
    if (descriptors > socketLimit() || memory > kMemoryLimitMb)
      oracle_.reportViolation(SoakRule::overLimit,
                              gateway.process->name + " uses " + std::to_string(descriptors) +
                                  " descriptors and at its peak " + std::to_string(memory) +
                                  " MB; the limits are " + std::to_string(socketLimit()) + " and " +
                                  std::to_string(kMemoryLimitMb));
  }
  usagePoll_.expires_after(kUsagePollInterval);
  usagePoll_.async_wait([this](error_code ec) {
    if (!ec)
      pollUsage();
  });
}

// --- Load ------------------------------------------------------------------------------------------------

SoakCall Soak::drawCall() {
  SoakCall call;
  call.requestClass = kClasses[random_() % std::size(kClasses)];
  call.id = "q" + std::to_string(plan_.seed) + "-" + std::to_string(++requestCount_);
  const bool get = call.requestClass.idempotency == balancer::Idempotency::idempotent;
  const bool isLarge = random_() % kLargeBodyShare == 0;
  const std::size_t bytes = random_() % (isLarge ? kMaxLargeBody : 3000);
  call.body = get ? "" : std::string(bytes, 'x');
  ServerPlan plan;
  plan.response.bytes = isLarge ? bytes : 0;
  call.timeout = kClientTimeout;
  call.head = std::string(get ? "GET /" : "POST /") + call.requestClass.name +
              (isLarge ? queryOf(plan) : "") + " HTTP/1.1\r\nHost: x\r\nX-Class: " + call.requestClass.name +
              "\r\nX-Request-Id: " + call.id + "\r\n";
  if (call.requestClass.idempotency == balancer::Idempotency::keyed)
    call.head += "Idempotency-Key: k" + call.id + "\r\n";
  if (!get)
    call.head += "Content-Length: " + std::to_string(call.body.size()) + "\r\n";
  if (clientsDisconnect_ && random_() % 3 == 0) {
    call.disconnect = static_cast<SoakDisconnect>(1 + random_() % 3);
    call.disconnectAfter = std::chrono::milliseconds(random_() % 30);
  }
  return call;
}

void Soak::nextRequest() {
  if (soakNow() - startedAt_ >= plan_.length)
    return;
  SoakCall call = drawCall();
  call.gateway = random_() % gateways_.size();
  // After SIGTERM clients go on to use the connections that are open.
  if (gateways_[call.gateway].terminating && clients_.hasOpenConnection(call.gateway))
    clients_.sendOnOpenConnection(std::move(call));
  else if (gateways_[call.gateway].ready || random_() % 4 == 0)
    clients_.send(gateways_[call.gateway].port->endpoint(), std::move(call));
  const double uniform = static_cast<double>((random_() >> 11) + 1) * 0x1.0p-53;
  arrivals_.expires_after(
      std::chrono::duration_cast<SoakTime>(std::chrono::duration<double>(-std::log(uniform) / plan_.rate)));
  arrivals_.async_wait([this](error_code ec) {
    if (!ec)
      nextRequest();
  });
}

// --- Faults ----------------------------------------------------------------------------------------------

void Soak::signal(std::size_t number, int signal) {
  gateways_[number].process->send(signal);
}

void Soak::terminate(std::size_t number, bool killsAtEarliest) {
  Gateway& gateway = gateways_[number];
  gateway.process->stopRequested = true;
  gateway.ready = false;
  gateway.terminating = true;
  gateway.termSentAt = soakNow();
  signal(number, SIGTERM);
  if (killsAtEarliest)
    schedule(kEarliestKill,
             [this, number, terminated = gateway.process] { killAfterTerm(number, terminated); });
}

void Soak::killAfterTerm(std::size_t number, const std::shared_ptr<Process>& terminated) {
  const Gateway& gateway = gateways_[number];
  if (gateway.process != terminated || terminated->ended)
    return;
  // The soak's own SIGSTOP is no part of the time that the platform gives.
  const SoakTime earliest = gateway.termSentAt + kEarliestKill +
                            oracle_.pausedDuring(number, gateway.termSentAt, soakNow()) +
                            (gateway.stopped ? soakNow() - gateway.stoppedAt : SoakTime{});
  if (gateway.stopped || soakNow() < earliest)
    return schedule(kProcessPollInterval, [this, number, terminated] { killAfterTerm(number, terminated); });
  oracle_.gatewayKilledAfterTerm(number, soakNow());
  signal(number, SIGKILL);
}

void Soak::reload(std::size_t number, bool movesDiscovery) {
  if (movesDiscovery)
    discovery_.move(number);
  writeConfig(number, true);
  signal(number, SIGHUP);
}

void Soak::signalInSeries(std::size_t number, std::uint64_t variant) {
  const std::shared_ptr<Process> process = gateways_[number].process;
  const auto later = [&](std::chrono::milliseconds delay, std::function<void()> action) {
    schedule(delay, [process, action = std::move(action)] {
      if (!process->ended)
        action();
    });
  };
  const auto terminateLater = [&](std::chrono::milliseconds delay) {
    later(delay, [this, number] {
      if (!gateways_[number].terminating)
        terminate(number, true);
    });
  };
  switch (variant % 4) {
    case 0:  // three configurations, each of which moves discovery
      reload(number, true);
      later(kSignalInterval, [this, number] { reload(number, true); });
      return later(2 * kSignalInterval, [this, number] { reload(number, true); });
    case 1:  // the process may see one signal for both
      reload(number, true);
      return reload(number, true);
    case 2:
      reload(number, true);
      return terminateLater(kSignalInterval);
    default:
      terminate(number, true);
      return later(kSignalInterval, [this, number] { reload(number, true); });
  }
}

// A server begins to drain while no gateway can reach discovery, so that the drain counts with its return.
void Soak::beginOutage(const SoakFault& soakFault) {
  static constexpr SoakAgentMode kModes[] = {SoakAgentMode::silent, SoakAgentMode::muted,
                                             SoakAgentMode::refusing, SoakAgentMode::failing,
                                             SoakAgentMode::invalid};
  const SoakAgentMode mode = kModes[soakFault.randomValue % std::size(kModes)];
  for (std::size_t i = 0; i < discovery_.agents(); ++i)
    discovery_.setMode(i, mode);
  const auto drainBefore = std::min<std::chrono::milliseconds>(
      std::chrono::milliseconds(soakFault.randomValue / std::size(kModes) % kMaxDrainBeforeReturn.count()),
      soakFault.duration);
  SoakFault drain = soakFault;
  drain.kind = SoakFaultKind::serverDrain;
  schedule(soakFault.duration - drainBefore, [this, drain] { inject(drain); });
  schedule(soakFault.duration + kDrainAfterReturn, [this, drain] { revert(drain); });
}

void Soak::endOutage(const SoakFault&) {
  for (std::size_t i = 0; i < discovery_.agents(); ++i)
    discovery_.setMode(i, SoakAgentMode::answering);
}

// As the clients of an idle crowd, these fill the descriptors, so new connections may be shut unread.
void Soak::sendSlowCrowd(std::size_t number, std::uint64_t variant) {
  Gateway& gateway = gateways_[number];
  oracle_.crowdArrived(number);
  const std::string prefix = "crowd" + std::to_string(plan_.seed) + "-" + std::to_string(++otherPeers_) + "-";
  gateway.slowCrowd = std::make_unique<SlowCrowd>(io_, gateway.port->endpoint(), prefix);
  gateway.slowCrowd->onRequest = [this, number](const std::string& id) { noteOtherRequest(number, id); };
  const bool isMixed = variant % 2 == 0;
  const std::size_t kinds = isMixed ? kCrowdKinds : 1;
  gateway.slowCrowd->pipelinedRequests = kPipelinedRequests;
  if (variant / kReturnDivisor % 2 == 0)
    gateway.slowCrowd->visits = CrowdVisits{};
  // In batches, so that the soak's own event loop is not delayed.
  for (std::size_t arrived = 0; arrived < crowdSize(); arrived += kCrowdBatch) {
    const auto kind = static_cast<CrowdKind>((variant / 2 + arrived / kCrowdBatch % kinds) % kCrowdKinds);
    schedule(kCrowdBatchInterval * (arrived / kCrowdBatch), [this, number, kind] {
      if (gateways_[number].slowCrowd)
        gateways_[number].slowCrowd->arrive(kind, kCrowdBatch);
    });
  }
}

void Soak::sendFlood(std::size_t number, std::uint64_t variant) {
  const std::string prefix = "flood" + std::to_string(plan_.seed) + "-" + std::to_string(++otherPeers_) + "-";
  Gateway& gateway = gateways_[number];
  gateway.flood = Flood::start(io_, gateway.port->endpoint(), static_cast<FloodKind>(variant % kFloodKinds),
                               variant / kFloodKinds % 2 == 0, prefix);
  gateway.flood->pause = kFloodPause;
  gateway.flood->onRequest = [this, number](const std::string& id) { noteOtherRequest(number, id); };
}

// Requests of crowds and floods may reach a server, but nothing is owed to such a peer.
void Soak::noteOtherRequest(std::size_t number, const std::string& id) {
  oracle_.otherRequestSent(id, number, soakNow());
}

void Soak::resume(std::size_t number) {
  Gateway& gateway = gateways_[number];
  if (!std::exchange(gateway.stopped, false))
    return;
  signal(number, SIGCONT);
  oracle_.gatewayPaused(number, gateway.stoppedAt, soakNow());
}

void Soak::injectCallFault(Gateway& gateway, FaultyCall call, std::uint32_t oneIn, int error,
                           std::uint32_t maxBytes) {
  CallFault& callFault = (*gateway.faults)->of(call);
  callFault.error = error;
  callFault.maxBytes = maxBytes;
  callFault.oneIn = oneIn;
}

// Returns the number of requests that a newly started server may receive within kFallWindow. Assumes that the
// capacity of a server is kHeadroom times its share of the load.
SlowStartBudget Soak::slowStartBudget() const {
  const double capacity = kHeadroom * plan_.rate / static_cast<double>(servers_.size());
  const double seconds = std::chrono::duration<double>(kFallWindow).count();
  return {kFallWindow, kFallMultiple * kSlowStartShare * capacity * seconds};
}

void Soak::inject(const SoakFault& soakFault) {
  if (soakFault.kind == SoakFaultKind::clientsLeave)
    clientsDisconnect_ = true;
  else if (soakFault.kind == SoakFaultKind::discoveryOutage)
    beginOutage(soakFault);
  else if (soakFault.kind >= SoakFaultKind::serverDrain && soakFault.kind <= SoakFaultKind::serverRefuse)
    injectAtServer(soakFault, soakFault.target % servers_.size());
  else
    injectAtGateway(soakFault, soakFault.target % gateways_.size());
}

void Soak::injectAtGateway(const SoakFault& soakFault, std::size_t number) {
  Gateway& gateway = gateways_[number];
  if (unavailable(gateway))
    return;
  switch (soakFault.kind) {
    case SoakFaultKind::gatewayTerm:
      return terminate(number, soakFault.randomValue % 2 == 0);
    case SoakFaultKind::signalSeries:
      return signalInSeries(number, soakFault.randomValue);
    case SoakFaultKind::gatewayKill:
      gateway.process->stopRequested = true;
      gateway.ready = false;
      oracle_.gatewayKilled(number);
      return signal(number, SIGKILL);
    case SoakFaultKind::gatewayPause:
    case SoakFaultKind::gatewayStop:
      if (std::exchange(gateway.stopped, true))
        return;
      gateway.stoppedAt = soakNow();
      return signal(number, SIGSTOP);
    case SoakFaultKind::gatewayReload:
      return reload(number, soakFault.randomValue % 2 == 0);
    case SoakFaultKind::gatewayBadReload:
      writeConfig(number, false);
      return signal(number, SIGHUP);
    case SoakFaultKind::idleCrowd:
      oracle_.crowdArrived(number);
      gateway.crowd = std::make_unique<SoakCrowd>(io_);
      return gateway.crowd->arrive(gateway.port->endpoint(), crowdSize());
    case SoakFaultKind::slowCrowd:
      return sendSlowCrowd(number, soakFault.randomValue);
    case SoakFaultKind::flood:
      return sendFlood(number, soakFault.randomValue);
    case SoakFaultKind::clockStep: {
      static constexpr SoakTime kSteps[] = {-3600s, -5s, 5s, 3600s};
      (*gateway.faults)->wallClockOffsetNs = kSteps[soakFault.randomValue % std::size(kSteps)].count();
      return;
    }
    case SoakFaultKind::shortCalls:
      injectCallFault(gateway, FaultyCall::send, 2, 0, 1 + soakFault.randomValue % 100);
      return injectCallFault(gateway, FaultyCall::receive, 2, 0, 1 + soakFault.randomValue % 100);
    case SoakFaultKind::interruptedCalls:
      injectCallFault(gateway, FaultyCall::receive, 10, EINTR);
      injectCallFault(gateway, FaultyCall::poll, 10, EINTR);
      return injectCallFault(gateway, FaultyCall::wait, 10, EINTR);
    case SoakFaultKind::acceptFails: {
      static constexpr int kErrors[] = {ECONNABORTED, ENFILE, EMFILE, ENOBUFS, ENOMEM, EPROTO};
      return injectCallFault(gateway, FaultyCall::accept, 3,
                             kErrors[soakFault.randomValue % std::size(kErrors)]);
    }
    case SoakFaultKind::dialFails: {
      static constexpr int kErrors[] = {EADDRNOTAVAIL, ENETUNREACH, ENOBUFS, ECONNREFUSED, ETIMEDOUT};
      injectCallFault(gateway, FaultyCall::socket, 10, ENFILE);
      return injectCallFault(gateway, FaultyCall::connect, 5,
                             kErrors[soakFault.randomValue % std::size(kErrors)]);
    }
    case SoakFaultKind::discoverySilent:
      return discovery_.setMode(
          number, soakFault.randomValue % 2 == 0 ? SoakAgentMode::silent : SoakAgentMode::muted);
    case SoakFaultKind::discoveryRefuses:
      return discovery_.setMode(number, SoakAgentMode::refusing);
    case SoakFaultKind::discoveryFails:
      return discovery_.setMode(
          number, soakFault.randomValue % 2 == 0 ? SoakAgentMode::failing : SoakAgentMode::invalid);
    case SoakFaultKind::discoveryLate:
      return discovery_.setMode(number, SoakAgentMode::late,
                                kLateAnswers[soakFault.randomValue % std::size(kLateAnswers)]);
    case SoakFaultKind::discoveryClosed:
      return discovery_.closeWatches(number);
    default:
      return;
  }
}

void Soak::injectAtServer(const SoakFault& soakFault, std::size_t number) {
  // Half of the servers stay without a fault, so that a request can always be served.
  if (static_cast<std::size_t>(std::ranges::count(serverFaulty_, 1)) >= servers_.size() / 2)
    return;
  if (std::exchange(serverFaulty_[number], 1))
    return;
  switch (soakFault.kind) {
    case SoakFaultKind::serverDrain:
      return discovery_.setState(number, SoakDiscovery::State::draining, 0);
    case SoakFaultKind::serverHang:
      return servers_[number]->setMode(SoakServer::Mode::hanging);
    case SoakFaultKind::serverReset:
      return servers_[number]->setMode(SoakServer::Mode::resetting);
    default:
      return servers_[number]->setMode(SoakServer::Mode::refusing);
  }
}

void Soak::revert(const SoakFault& soakFault) {
  if (soakFault.kind == SoakFaultKind::clientsLeave)
    clientsDisconnect_ = false;
  else if (soakFault.kind == SoakFaultKind::discoveryOutage)
    endOutage(soakFault);
  else if (soakFault.kind >= SoakFaultKind::serverDrain && soakFault.kind <= SoakFaultKind::serverRefuse)
    revertAtServer(soakFault, soakFault.target % servers_.size());
  else
    revertAtGateway(soakFault, soakFault.target % gateways_.size());
}

void Soak::revertAtGateway(const SoakFault& soakFault, std::size_t number) {
  Gateway& gateway = gateways_[number];
  switch (soakFault.kind) {
    case SoakFaultKind::gatewayPause:
    case SoakFaultKind::gatewayStop:
      return resume(number);
    case SoakFaultKind::gatewayBadReload:
      return writeConfig(number, true);
    case SoakFaultKind::clockStep:
      (*gateway.faults)->wallClockOffsetNs = 0;
      return;
    case SoakFaultKind::discoverySilent:
    case SoakFaultKind::discoveryRefuses:
    case SoakFaultKind::discoveryFails:
    case SoakFaultKind::discoveryLate:
      return discovery_.setMode(number, SoakAgentMode::answering);
    case SoakFaultKind::idleCrowd:
      gateway.crowd.reset();
      // Connections that the gateway closed for the crowd may still be on their way to their clients.
      return schedule(kMaxLoopDelay, [this, number] { oracle_.crowdLeft(number); });
    case SoakFaultKind::slowCrowd:
      gateway.slowCrowd.reset();
      return schedule(kMaxLoopDelay, [this, number] { oracle_.crowdLeft(number); });
    case SoakFaultKind::flood:
      if (const auto flood = std::exchange(gateway.flood, nullptr))
        flood->stop();
      return;
    case SoakFaultKind::gatewayTerm:
    case SoakFaultKind::signalSeries:
    case SoakFaultKind::gatewayReload:
    case SoakFaultKind::discoveryClosed:
      return;
    default:
      for (CallFault& callFault : (*gateway.faults)->calls)
        callFault.oneIn = 0;
  }
}

void Soak::revertAtServer(const SoakFault& soakFault, std::size_t number) {
  if (!serverFaulty_[number])
    return;
  servers_[number]->setMode(SoakServer::Mode::serving);
  if (soakFault.kind != SoakFaultKind::serverDrain) {
    serverFaulty_[number] = 0;
    return;
  }
  discovery_.setState(number, SoakDiscovery::State::removed, 0);
  schedule(200ms, [this, number] {
    servers_[number]->restart();
    oracle_.serverStarted(number, slowStartBudget(), soakNow());
    discovery_.setState(number, SoakDiscovery::State::serving, unixNowMs());
    serverFaulty_[number] = 0;
  });
}

// --- The run ---------------------------------------------------------------------------------------------

void Soak::finalCheck() {
  oracle_.finish(soakNow());
  for (std::size_t i = 0; i < gateways_.size(); ++i) {
    resume(i);
    httpGet(io_, gateways_[i].port->endpoint(), "/up", 2s, [this, i](int status, const std::string&) {
      if (status != 200)
        oracle_.reportViolation(SoakRule::servesNobody, "g" + std::to_string(i) +
                                                            " answered /up with status " +
                                                            std::to_string(status) + ", expected 200");
    });
  }
}

SoakResult Soak::run() {
  for (std::size_t i = 0; i < gateways_.size(); ++i)
    startGateway(i);
  pollProcesses();
  while (!std::ranges::all_of(gateways_, &Gateway::ready) && oracle_.violations().empty())
    io_.run_one();
  lag_.reset();
  startedAt_ = soakNow();
  const std::vector<SoakFault> drawn = drawSoakFaults(plan_.seed, plan_.length);
  for (std::size_t i = 0; i < drawn.size(); ++i) {
    if (!plan_.only.empty() && std::ranges::find(plan_.only, i) == plan_.only.end())
      continue;
    injected_.push_back(drawn[i]);
    schedule(drawn[i].at, [this, soakFault = drawn[i]] { inject(soakFault); });
    schedule(drawn[i].at + drawn[i].duration, [this, soakFault = drawn[i]] { revert(soakFault); });
  }
  pollUsage();
  nextRequest();
  schedule(plan_.length + kCompletionTime, [this] { finalCheck(); });
  bool done = false;
  schedule(plan_.length + kCompletionTime + kFinalCheckTime, [&done] { done = true; });
  while (!done)
    io_.run_one();
  stopping_ = true;

  SoakResult result;
  result.soakFaults = injected_;
  result.violations = oracle_.violations();
  result.requests = oracle_.requests();
  result.served = oracle_.count(200);
  result.refused = oracle_.count(503);
  result.lagMs = lag_.maxLagMs();
  result.logDirectory = plan_.keepLogs ? directory_ : "";
  const bool loopDelayed = result.lagMs > std::chrono::duration<double, std::milli>(kMaxLoopDelay).count();
  result.verdict = loopDelayed                 ? SoakVerdict::voided
                   : result.violations.empty() ? SoakVerdict::pass
                                               : SoakVerdict::broken;
  return result;
}

}  // namespace

SoakResult playSoak(const SoakPlan& plan) {
  Soak soak(plan);
  return soak.run();
}

std::map<std::string, std::size_t> overlaps(const std::vector<SoakFault>& soakFaults) {
  std::map<std::string, std::size_t> pairs;
  for (std::size_t i = 0; i < soakFaults.size(); ++i)
    for (std::size_t j = i + 1; j < soakFaults.size(); ++j) {
      const SoakFault &first = soakFaults[i], &second = soakFaults[j];
      if (first.at >= second.at + second.duration || second.at >= first.at + first.duration)
        continue;
      const auto names = std::minmax({std::string(nameOf(first.kind)), std::string(nameOf(second.kind))});
      ++pairs[names.first + " + " + names.second];
    }
  return pairs;
}

}  // namespace hollyrun::lab
