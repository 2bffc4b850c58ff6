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
#include "lab/soak/peers.hpp"
#include "lab/testbed/lag_meter.hpp"
#include "lab/testbed/platform.hpp"
#include "lab/testbed/process.hpp"
#include "lab/testbed/process_usage.hpp"

namespace hollyrun::lab {
namespace {

namespace fs = std::filesystem;
using nlohmann::json;
using namespace std::chrono_literals;

constexpr auto kSlack = 100ms;  // of what the peers see; a loop later than this voids the run
constexpr auto kLook = 20ms;    // at processes
constexpr auto kReadyWithin = 10s;
constexpr auto kEndWithin = 8s;   // after SIGTERM
constexpr auto kWait = 1000ms;    // of a client
constexpr auto kSettle = 2500ms;  // after the last request, before the last look
constexpr auto kUsageEvery = 500ms;
constexpr std::size_t kSockets = 256;
constexpr double kMemoryMb = 64;
constexpr auto kColdTime = 9s, kFallWindow = 2s;
constexpr double kColdShare = 0.32, kFallMultiple = 3, kHeadroom = 2;

const SoakClass kClasses[] = {{"read", balancer::Idempotency::idempotent, 0ns},
                              {"write", balancer::Idempotency::none, 0ns},
                              {"put", balancer::Idempotency::keyed, 2s}};

json classJson(const SoakClass& cls) {
  static constexpr const char* kEffects[] = {"retryable", "dedup", "fragile"};
  return {{"name", cls.name},
          {"effect", kEffects[static_cast<std::size_t>(cls.idempotency)]},
          {"group", "all"},
          {"aimNs", 800'000'000},
          {"giveUpNs", 1'000'000'000},
          {"windowNs", cls.window.count()},
          {"points", 1.0}};
}

// The kernel's lines of the sockets at this port: the evidence for an address that could not be had.
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
  SoakResult play();

 private:
  struct Gateway {
    std::unique_ptr<ReservedPort> port;
    std::unique_ptr<FaultFile> faults;
    std::shared_ptr<Process> process;
    std::string folder;
    bool ready = false, stopped = false;
    SoakTime startedAt{}, stoppedAt{}, toldToEnd{};
  };

  void startGateway(std::size_t number);
  void writeConfig(std::size_t number, bool whole);
  void probeReady(std::size_t number);
  void lookAtProcesses();
  void lookAtUsage();
  void ended(std::size_t number, int status);
  void nextRequest();
  SoakCall drawCall();

  void begin(const SoakFault& soakFault);
  void undo(const SoakFault& soakFault);
  void beginAtGateway(const SoakFault& soakFault, std::size_t number);
  void beginAtServer(const SoakFault& soakFault, std::size_t number);
  void undoAtGateway(const SoakFault& soakFault, std::size_t number);
  void undoAtServer(const SoakFault& soakFault, std::size_t number);
  void fault(Gateway& gateway, FaultyCall call, std::uint32_t oneIn, int error, std::uint32_t atMost = 0);
  void signal(std::size_t number, int signal);
  void resume(std::size_t number);
  void after(std::chrono::milliseconds from, std::function<void()> act);
  void lastLook();
  ColdBudget coldBudget() const;
  bool busy(const Gateway& gateway) const {
    return !gateway.process || gateway.process->ended || !gateway.ready;
  }

  SoakPlan plan_;
  asio::io_context io_;
  std::mt19937_64 draw_;
  std::string folder_;
  SoakOracle oracle_{kSlack};
  SoakDiscovery discovery_;
  std::vector<std::unique_ptr<SoakServer>> servers_;
  std::vector<char> serverBusy_;
  std::vector<Gateway> gateways_;
  SoakClients clients_;
  LagMeter lag_{io_};
  asio::steady_timer arrivals_{io_}, looks_{io_}, usage_{io_};
  std::vector<std::shared_ptr<asio::steady_timer>> timers_;
  SoakTime startedAt_{};
  std::uint64_t serial_ = 0;
  bool leaving_ = false, closing_ = false;
  std::vector<SoakFault> played_;
};

std::int64_t unixNowMs() {
  return std::chrono::system_clock::now().time_since_epoch() / 1ms;
}

Soak::Soak(const SoakPlan& plan)
    : plan_(plan),
      draw_(plan.seed),
      folder_((fs::temp_directory_path() /
               ("hollyrun-soak-" + std::to_string(::getpid()) + "-" + std::to_string(plan.seed)))
                  .string()),
      discovery_(io_, plan.gateways, oracle_),
      serverBusy_(plan.servers),
      gateways_(plan.gateways),
      clients_(io_, oracle_, plan.gateways) {
  fs::create_directories(folder_);
  for (std::size_t i = 0; i < plan.servers; ++i) {
    servers_.push_back(std::make_unique<SoakServer>(io_, i, oracle_));
    discovery_.add(i, servers_.back()->endpoint());
  }
  for (std::size_t i = 0; i < plan.gateways; ++i) {
    Gateway& gateway = gateways_[i];
    gateway.port = std::make_unique<ReservedPort>(io_);
    gateway.folder = folder_ + "/g" + std::to_string(i);
    fs::create_directories(gateway.folder);
    gateway.faults = std::make_unique<FaultFile>(gateway.folder + "/faults", plan.seed * 1000 + i);
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
    fs::remove_all(folder_, ignored);
}

void Soak::writeConfig(std::size_t number, bool whole) {
  const Gateway& gateway = gateways_[number];
  json classes = json::array();
  for (const SoakClass& cls : kClasses)
    classes.push_back(classJson(cls));
  const json config = {{"name", "g" + std::to_string(number)},
                       {"listen", textOf(gateway.port->endpoint())},
                       {"discovery", textOf(discovery_.agent(number))},
                       {"seed", "8c1f30d27a5be964"},
                       {"known", json::parse(discovery_.listFor(number))},
                       {"limits", {{"sockets", kSockets}, {"memory_mb", kMemoryMb}}},
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
                          {{"askWithinNs", 4'000'000'000},
                           {"coldNs", std::chrono::nanoseconds(kColdTime).count()},
                           {"coldShare", kColdShare},
                           {"fallMultiple", kFallMultiple},
                           {"fallNs", std::chrono::nanoseconds(kFallWindow).count()}}},
                         {"grades", classes}}}};
  const std::string text = config.dump(), path = gateway.folder + "/config.json";
  std::ofstream(path + ".new") << (whole ? text : text.substr(0, text.size() / 2));
  fs::rename(path + ".new", path);
}

void Soak::startGateway(std::size_t number) {
  Gateway& gateway = gateways_[number];
  writeConfig(number, true);
  gateway.ready = gateway.stopped = false;
  gateway.toldToEnd = {};
  gateway.startedAt = soakNow();
  gateway.process = std::make_shared<Process>(io_, "g" + std::to_string(number));
  std::vector<std::string> variables = {"GW_CONFIG=" + gateway.folder + "/config.json",
                                        "TMPDIR=" + gateway.folder, "HOLLYRUN_ABORT_ON_VIOLATION=1",
                                        "ASAN_OPTIONS=verify_asan_link_order=0"};
  if (!plan_.library.empty()) {
    variables.push_back("LD_PRELOAD=" + plan_.library);
    variables.push_back(std::string(kFaultPageVariable) + "=" + gateway.faults->path());
  }
  gateway.process->start(plan_.program, variables);
  if (plan_.keepLogs)
    gateway.process->onOutputLine = [log = std::make_shared<std::ofstream>(
                                         gateway.folder + "/log", std::ios::app)](const std::string& line) {
      *log << line << std::endl;
    };
  probeReady(number);
}

void Soak::probeReady(std::size_t number) {
  Gateway& gateway = gateways_[number];
  const auto asked = gateway.process;
  httpGet(io_, gateway.port->endpoint(), "/up", 500ms, [this, number, asked](int status, const std::string&) {
    Gateway& now = gateways_[number];
    if (now.process != asked || asked->ended || now.ready || closing_)
      return;
    if (status == 200) {
      now.ready = true;
      return;
    }
    if (soakNow() - now.startedAt > kReadyWithin)
      return oracle_.broke(SoakRule::notReady, asked->name);
    after(50ms, [this, number] { probeReady(number); });
  });
}

void Soak::after(std::chrono::milliseconds from, std::function<void()> act) {
  const auto timer = std::make_shared<asio::steady_timer>(io_, from);
  timer->async_wait([timer, act = std::move(act)](error_code ec) {
    if (!ec)
      act();
  });
}

void Soak::lookAtProcesses() {
  for (std::size_t i = 0; i < gateways_.size(); ++i) {
    Gateway& gateway = gateways_[i];
    int status = 0;
    if (!gateway.process || gateway.process->ended)
      continue;
    if (::waitpid(gateway.process->pid, &status, WNOHANG) == gateway.process->pid)
      ended(i, status);
    else if (gateway.toldToEnd > 0ns && soakNow() - gateway.toldToEnd > kEndWithin)
      oracle_.broke(SoakRule::crashed, gateway.process->name + " did not end after SIGTERM"),
          gateway.toldToEnd = {};
  }
  looks_.expires_after(kLook);
  looks_.async_wait([this](error_code ec) {
    if (!ec)
      lookAtProcesses();
  });
}

void Soak::ended(std::size_t number, int status) {
  Process& process = *gateways_[number].process;
  process.ended = true;
  const bool well = process.stopRequested && (!WIFEXITED(status) || WEXITSTATUS(status) == 0) &&
                    (!WIFSIGNALED(status) || WTERMSIG(status) == SIGKILL || WTERMSIG(status) == SIGTERM);
  if (!well)
    oracle_.broke(SoakRule::crashed,
                  process.name + " ended with " +
                      (WIFSIGNALED(status) ? "signal " + std::to_string(WTERMSIG(status))
                                           : "code " + std::to_string(WEXITSTATUS(status))) +
                      ": " + process.lastLine + socketsAt(gateways_[number].port->endpoint().port()));
  if (!closing_)
    startGateway(number);
}

void Soak::lookAtUsage() {
  for (const Gateway& gateway : gateways_) {
    if (busy(gateway))
      continue;
    const std::size_t descriptors = descriptorsOf(gateway.process->pid);
    double memory = 0;
    try {
      memory = usageOf(gateway.process->pid).residentMb;
    } catch (const std::runtime_error&) {
      continue;  // it has just ended
    }
    if (descriptors > kSockets || memory > kMemoryMb)
      oracle_.broke(SoakRule::overLimit, gateway.process->name + ": " + std::to_string(descriptors) +
                                             " descriptors, " + std::to_string(memory) + " MB");
  }
  usage_.expires_after(kUsageEvery);
  usage_.async_wait([this](error_code ec) {
    if (!ec)
      lookAtUsage();
  });
}

// --- Load ------------------------------------------------------------------------------------------------

SoakCall Soak::drawCall() {
  SoakCall call;
  call.cls = kClasses[draw_() % std::size(kClasses)];
  call.id = "q" + std::to_string(plan_.seed) + "-" + std::to_string(++serial_);
  const bool get = call.cls.idempotency == balancer::Idempotency::idempotent;
  call.body = get ? "" : std::string(draw_() % 3000, 'x');
  call.wait = kWait;
  call.head = std::string(get ? "GET /" : "POST /") + call.cls.name +
              " HTTP/1.1\r\nHost: x\r\nX-Class: " + call.cls.name + "\r\nX-Request-Id: " + call.id +
              "\r\nX-Deadline-Ms: " + std::to_string(kWait.count()) + "\r\n";
  if (call.cls.idempotency == balancer::Idempotency::keyed)
    call.head += "Idempotency-Key: k" + call.id + "\r\n";
  if (!get)
    call.head += "Content-Length: " + std::to_string(call.body.size()) + "\r\n";
  call.head += "\r\n";
  if (leaving_ && draw_() % 3 == 0) {
    call.leaving = static_cast<SoakLeaving>(1 + draw_() % 3);
    call.leaveAfter = std::chrono::milliseconds(draw_() % 30);
  }
  return call;
}

void Soak::nextRequest() {
  if (soakNow() - startedAt_ >= plan_.length)
    return;
  SoakCall call = drawCall();
  call.gateway = draw_() % gateways_.size();
  if (gateways_[call.gateway].ready || draw_() % 4 == 0)
    clients_.ask(gateways_[call.gateway].port->endpoint(), std::move(call));
  const double unit = static_cast<double>((draw_() >> 11) + 1) * 0x1.0p-53;
  arrivals_.expires_after(
      std::chrono::duration_cast<SoakTime>(std::chrono::duration<double>(-std::log(unit) / plan_.rate)));
  arrivals_.async_wait([this](error_code ec) {
    if (!ec)
      nextRequest();
  });
}

// --- Troubles --------------------------------------------------------------------------------------------

void Soak::signal(std::size_t number, int signal) {
  gateways_[number].process->send(signal);
}

void Soak::resume(std::size_t number) {
  Gateway& gateway = gateways_[number];
  if (!std::exchange(gateway.stopped, false))
    return;
  signal(number, SIGCONT);
  oracle_.heldUp(number, gateway.stoppedAt, soakNow());
}

void Soak::fault(Gateway& gateway, FaultyCall call, std::uint32_t oneIn, int error, std::uint32_t atMost) {
  CallFault& one = (*gateway.faults)->of(call);
  one.error = error;
  one.atMost = atMost;
  one.oneIn = oneIn;
}

ColdBudget Soak::coldBudget() const {
  const double capacity = kHeadroom * plan_.rate / static_cast<double>(servers_.size());
  const double seconds = std::chrono::duration<double>(kFallWindow).count();
  return {kFallWindow, kFallMultiple * kColdShare * capacity * seconds};
}

void Soak::begin(const SoakFault& soakFault) {
  if (soakFault.kind == SoakFaultKind::clientsLeave)
    leaving_ = true;
  else if (soakFault.kind >= SoakFaultKind::serverDrain && soakFault.kind <= SoakFaultKind::serverRefuse)
    beginAtServer(soakFault, soakFault.whom % servers_.size());
  else
    beginAtGateway(soakFault, soakFault.whom % gateways_.size());
}

void Soak::beginAtGateway(const SoakFault& soakFault, std::size_t number) {
  Gateway& gateway = gateways_[number];
  if (busy(gateway))
    return;
  switch (soakFault.kind) {
    case SoakFaultKind::gatewayTerm:
      gateway.process->stopRequested = true;
      gateway.ready = false;
      gateway.toldToEnd = soakNow();
      return signal(number, SIGTERM);
    case SoakFaultKind::gatewayKill:
      gateway.process->stopRequested = true;
      gateway.ready = false;
      oracle_.killed(number, soakNow());
      return signal(number, SIGKILL);
    case SoakFaultKind::gatewayPause:
    case SoakFaultKind::gatewayStop:
      if (std::exchange(gateway.stopped, true))
        return;
      gateway.stoppedAt = soakNow();
      return signal(number, SIGSTOP);
    case SoakFaultKind::gatewayReload:
    case SoakFaultKind::gatewayBadReload:
      writeConfig(number, soakFault.kind == SoakFaultKind::gatewayReload);
      return signal(number, SIGHUP);
    case SoakFaultKind::clockStep: {
      static constexpr SoakTime kSteps[] = {-3600s, -5s, 5s, 3600s};
      (*gateway.faults)->wallClockOffsetNs = kSteps[soakFault.draw % std::size(kSteps)].count();
      return;
    }
    case SoakFaultKind::shortCalls:
      fault(gateway, FaultyCall::send, 2, 0, 1 + soakFault.draw % 100);
      return fault(gateway, FaultyCall::receive, 2, 0, 1 + soakFault.draw % 100);
    case SoakFaultKind::interruptedCalls:
      fault(gateway, FaultyCall::receive, 10, EINTR);
      fault(gateway, FaultyCall::poll, 10, EINTR);
      return fault(gateway, FaultyCall::wait, 10, EINTR);
    case SoakFaultKind::acceptFails: {
      static constexpr int kErrors[] = {ECONNABORTED, ENFILE, EMFILE, ENOBUFS, ENOMEM, EPROTO};
      return fault(gateway, FaultyCall::accept, 3, kErrors[soakFault.draw % std::size(kErrors)]);
    }
    case SoakFaultKind::dialFails: {
      static constexpr int kErrors[] = {EADDRNOTAVAIL, ENETUNREACH, ENOBUFS, ECONNREFUSED, ETIMEDOUT};
      fault(gateway, FaultyCall::socket, 10, ENFILE);
      return fault(gateway, FaultyCall::connect, 5, kErrors[soakFault.draw % std::size(kErrors)]);
    }
    case SoakFaultKind::discoverySilent:
      return discovery_.silence(number, true);
    case SoakFaultKind::discoveryClosed:
      return discovery_.closeWatches(number);
    default:
      return;
  }
}

void Soak::beginAtServer(const SoakFault& soakFault, std::size_t number) {
  // Half of the servers stay as they are, so that a request can always be served.
  if (static_cast<std::size_t>(std::ranges::count(serverBusy_, 1)) >= servers_.size() / 2)
    return;
  if (std::exchange(serverBusy_[number], 1))
    return;
  switch (soakFault.kind) {
    case SoakFaultKind::serverDrain:
      return discovery_.change(number, SoakDiscovery::State::draining, 0);
    case SoakFaultKind::serverHang:
      return servers_[number]->become(SoakServer::Mode::hanging);
    case SoakFaultKind::serverReset:
      return servers_[number]->become(SoakServer::Mode::resetting);
    default:
      return servers_[number]->become(SoakServer::Mode::refusing);
  }
}

void Soak::undo(const SoakFault& soakFault) {
  if (soakFault.kind == SoakFaultKind::clientsLeave)
    leaving_ = false;
  else if (soakFault.kind >= SoakFaultKind::serverDrain && soakFault.kind <= SoakFaultKind::serverRefuse)
    undoAtServer(soakFault, soakFault.whom % servers_.size());
  else
    undoAtGateway(soakFault, soakFault.whom % gateways_.size());
}

void Soak::undoAtGateway(const SoakFault& soakFault, std::size_t number) {
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
      return discovery_.silence(number, false);
    default:
      for (CallFault& one : (*gateway.faults)->calls)
        one.oneIn = 0;
  }
}

void Soak::undoAtServer(const SoakFault& soakFault, std::size_t number) {
  if (!serverBusy_[number])
    return;
  servers_[number]->become(SoakServer::Mode::serving);
  if (soakFault.kind != SoakFaultKind::serverDrain) {
    serverBusy_[number] = 0;
    return;
  }
  discovery_.change(number, SoakDiscovery::State::gone, 0);
  after(200ms, [this, number] {
    servers_[number]->restart();
    oracle_.serverStarted(number, coldBudget(), soakNow());
    discovery_.change(number, SoakDiscovery::State::serving, unixNowMs());
    serverBusy_[number] = 0;
  });
}

// --- The run ---------------------------------------------------------------------------------------------

void Soak::lastLook() {
  oracle_.finish(soakNow());
  for (std::size_t i = 0; i < gateways_.size(); ++i) {
    resume(i);
    httpGet(io_, gateways_[i].port->endpoint(), "/up", 2s, [this, i](int status, const std::string&) {
      if (status != 200)
        oracle_.broke(SoakRule::servesNobody,
                      "g" + std::to_string(i) + " answers /up with " + std::to_string(status));
    });
  }
}

SoakResult Soak::play() {
  for (std::size_t i = 0; i < gateways_.size(); ++i)
    startGateway(i);
  lookAtProcesses();
  while (!std::ranges::all_of(gateways_, &Gateway::ready) && oracle_.breaks().empty())
    io_.run_one();
  lag_.reset();
  startedAt_ = soakNow();
  const std::vector<SoakFault> drawn = drawSoakFaults(plan_.seed, plan_.length);
  for (std::size_t i = 0; i < drawn.size(); ++i) {
    if (!plan_.only.empty() && std::ranges::find(plan_.only, i) == plan_.only.end())
      continue;
    played_.push_back(drawn[i]);
    after(drawn[i].at, [this, soakFault = drawn[i]] { begin(soakFault); });
    after(drawn[i].at + drawn[i].span, [this, soakFault = drawn[i]] { undo(soakFault); });
  }
  lookAtUsage();
  nextRequest();
  after(plan_.length + kSettle, [this] { lastLook(); });
  bool done = false;
  after(plan_.length + kSettle + 2500ms, [&done] { done = true; });
  while (!done)
    io_.run_one();
  closing_ = true;

  SoakResult result;
  result.soakFaults = played_;
  result.breaks = oracle_.breaks();
  result.requests = oracle_.requests();
  result.served = oracle_.count(200);
  result.refused = oracle_.count(503);
  result.lagMs = lag_.maxLagMs();
  result.folder = plan_.keepLogs ? folder_ : "";
  const bool late = result.lagMs > std::chrono::duration<double, std::milli>(kSlack).count();
  result.verdict = late                    ? SoakVerdict::voided
                   : result.breaks.empty() ? SoakVerdict::pass
                                           : SoakVerdict::broken;
  return result;
}

}  // namespace

SoakResult playSoak(const SoakPlan& plan) {
  Soak soak(plan);
  return soak.play();
}

std::map<std::string, std::size_t> overlaps(const std::vector<SoakFault>& soakFaults) {
  std::map<std::string, std::size_t> pairs;
  for (std::size_t i = 0; i < soakFaults.size(); ++i)
    for (std::size_t j = i + 1; j < soakFaults.size(); ++j) {
      const SoakFault &a = soakFaults[i], &b = soakFaults[j];
      if (a.at >= b.at + b.span || b.at >= a.at + a.span)
        continue;
      const auto names = std::minmax({std::string(nameOf(a.kind)), std::string(nameOf(b.kind))});
      ++pairs[names.first + " + " + names.second];
    }
  return pairs;
}

}  // namespace hollyrun::lab
