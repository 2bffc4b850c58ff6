#include "lab/testbed/scale_testbed.hpp"

#include <signal.h>
#include <spdlog/fmt/fmt.h>
#include <stdlib.h>
#include <sys/wait.h>
#include <unistd.h>

#include <algorithm>
#include <boost/asio/ip/udp.hpp>
#include <fstream>

#include "lab/testbed/fleet.hpp"
#include "lab/testbed/stub_server.hpp"

namespace hollyrun::lab {

namespace fs = std::filesystem;
using udp = asio::ip::udp;

namespace {

constexpr std::size_t kStubsPerProcess = 52;  // gateways of a process: 410 in eight
constexpr std::size_t kSeeds = 3;
constexpr std::size_t kCell = 6;  // servers of one
constexpr double kReadyMostS = 30, kAnswerMostS = 10;
// What a load owes once its arrivals have ended: the longest deadline and some.
constexpr double kLoadEndS = 10;
constexpr double kMemoryMostMb = 12 * 1024;
// Rigs beside each other have servers at other addresses: 127.1.0.0 to 127.63.255.255, by process.
constexpr std::uint32_t kServersFrom = 0x7f010001;
constexpr std::uint32_t kServersBlock = 1 << 14, kServersBlocks = 250;

std::uint32_t firstServerAddress() {
  return kServersFrom + static_cast<std::uint32_t>(::getpid()) % kServersBlocks * kServersBlock;
}

// A port that was free a moment ago. It may be taken since, and the gateway tries until it is free again.
std::string freeMembershipAddress(asio::io_context& io) {
  return textOf(udp::socket(io, {asio::ip::address_v4::loopback(), 0}).local_endpoint());
}

fs::path makeFolder() {
  // Danger: files that are renamed over others are written to a disk at once, which holds the testbed up.
  const fs::path memory = "/dev/shm";
  const fs::path base = ::access(memory.c_str(), W_OK) == 0 ? memory : fs::temp_directory_path();
  std::string pattern = (base / "hollyrun-scale-XXXXXX").string();
  if (!::mkdtemp(pattern.data()))
    throw std::runtime_error("no temporary directory");
  return pattern;
}

void write(const fs::path& path, const std::string& text) {
  const fs::path next = path.string() + ".next";
  std::ofstream(next) << text;
  fs::rename(next, path);
}

}  // namespace

RealGateway::RealGateway(asio::io_context& io, std::size_t n)
    : number(n), name("gateway-" + std::to_string(n)), port(io), management(io) {}

ScaleTestbed::ScaleTestbed(const ScalePlan& plan, const ScaleSize& size)
    : plan_(plan),
      size_(size),
      scenario_(scenarioOf(plan, size)),
      day_(scenario_, plan.seed),
      signals_(io_, SIGINT, SIGTERM),
      children_(io_, SIGCHLD),
      lag_(io_),
      changes_(io_),
      dir_(makeFolder()),
      loadSeed_(plan.seed) {
  signals_.async_wait([this](error_code ec, int) { interrupted_ = !ec; });
  watchChildren();
  try {
    startServers();
    startGateways();
  } catch (...) {
    killAll();
    throw;
  }
}

ScaleTestbed::~ScaleTestbed() {
  killAll();
}

// --- The loop ---------------------------------------------------------------------------------------------

bool ScaleTestbed::playUntil(const std::function<bool()>& holds, double mostS) {
  const Time most = clockNow() + seconds(mostS);
  while (!holds()) {
    if (interrupted_)
      throw ScaleInterrupted();
    if (!failure_.empty())
      throw std::runtime_error(failure_);
    if (clockNow() >= most)
      return false;
    io_.run_one_for(std::min<Duration>(most - clockNow(), std::chrono::milliseconds(100)));
  }
  return true;
}

void ScaleTestbed::playFor(double s) {
  playUntil([] { return false; }, s);
  checkMemory();
}

ScaleTestbed::OpsAnswer ScaleTestbed::answerOf(const RealGateway& gateway, const std::string& target) {
  const auto answer = std::make_shared<OpsAnswer>();
  httpGet(io_, gateway.management.endpoint(), target, seconds(kAnswerMostS),
          [answer](int status, const std::string& body) {
            *answer = {status, body};
          });
  playUntil([&] { return answer->status >= 0; }, kAnswerMostS + 1);
  return *answer;
}

std::string ScaleTestbed::ask(const RealGateway& gateway, const std::string& target) {
  const OpsAnswer answer = answerOf(gateway, target);
  if (answer.status != 200)
    throw std::runtime_error(gateway.name + " does not answer " + target);
  return answer.body;
}

void ScaleTestbed::checkMemory() const {
  double sum = usageOf(::getpid()).residentMb;
  for (const auto& process : processes_)
    if (!process->ended)
      sum += usageOf(process->pid).residentMb;
  if (sum > kMemoryMostMb)
    throw std::runtime_error(fmt::format("all processes hold {:.0f} MB", sum));
}

// --- Processes --------------------------------------------------------------------------------------------

void ScaleTestbed::watchChildren() {
  children_.async_wait([this](error_code ec, int) {
    if (ec)
      return;
    reap();
    watchChildren();
  });
}

void ScaleTestbed::reap() {
  for (const auto& process : processes_) {
    int status = 0;
    if (process->ended || ::waitpid(process->pid, &status, WNOHANG) != process->pid)
      continue;
    process->ended = true;
    process->exitCode = WIFEXITED(status) ? WEXITSTATUS(status) : 128 + WTERMSIG(status);
    // What it said last is still in its pipe.
    asio::post(io_, [this, process] {
      failure_ = fmt::format("{} ended with {}: {}", process->name, process->exitCode, process->lastLine);
    });
  }
}

void ScaleTestbed::killAll() {
  for (const auto& process : processes_) {
    if (process->ended)
      continue;
    ::kill(process->pid, SIGKILL);
    ::waitpid(process->pid, nullptr, 0);
    process->ended = true;
  }
  std::error_code ignored;
  fs::remove_all(dir_, ignored);
}

ScaleTestbed::Helper& ScaleTestbed::startHelper(const std::string& name, std::vector<std::string> arguments) {
  stubs_.push_back(std::make_unique<Helper>());
  Helper& helper = *stubs_.back();
  helper.process = std::make_shared<Process>(io_, name);
  helper.process->onOutputLine = [&helper](const std::string& line) {
    const auto report = parseStubReport(line);
    if (!report)
      return;
    helper.report = *report;
    helper.lagMs = std::max(helper.lagMs, report->lagMs);
  };
  helper.process->start(plan_.lab, {}, arguments);
  processes_.push_back(helper.process);
  return helper;
}

void ScaleTestbed::startServers() {
  const std::uint32_t first = firstServerAddress();
  startHelper("stub servers", {"stub-servers", "--first-address", std::to_string(first), "--count",
                               std::to_string(size_.servers), "--answer-ms", std::to_string(plan_.answerMs)});
  servers_ = std::move(stubs_.back());
  stubs_.pop_back();
  if (!playUntil([this] { return servers_->report.port != 0; }, kReadyMostS))
    throw std::runtime_error("the stub servers do not listen");
  std::vector<ListedServer> listed;
  for (std::size_t i = 0; i < size_.servers; ++i)
    listed.push_back({fmt::format("server-{}", i), scenario_.zones[i % scenario_.zones.size()],
                      serverEndpoint(i), static_cast<std::int64_t>(i / kCell)});
  discovery_ = std::make_unique<StubDiscovery>(io_, listed);
}

tcp::endpoint ScaleTestbed::serverEndpoint(std::size_t number) const {
  return stubServerEndpoint(firstServerAddress(), number, servers_->report.port);
}

std::string ScaleTestbed::seeds() const {
  std::string all;
  for (std::size_t i = 0; i < std::min(kSeeds, gateways_.size()); ++i)
    if (!gateways_[i]->membership.empty())
      all += (all.empty() ? "" : ",") + gateways_[i]->membership;
  return all;
}

void ScaleTestbed::startGateways() {
  for (std::size_t i = 0; i < size_.gateways; ++i) {
    gateways_.push_back(std::make_unique<RealGateway>(io_, i));
    RealGateway& gateway = *gateways_.back();
    gateway.discovery = discovery_->addAddress();
    gateway.config = dir_ / (gateway.name + ".toml");
    if (plan_.membershipPeriodMs > 0)
      gateway.membership = freeMembershipAddress(io_);
  }
  stubAddress_ = discovery_->addAddress();
  for (const auto& gateway : gateways_)
    startGateway(*gateway, seeds());
  for (const auto& gateway : gateways_) {
    const auto ready = [&] { return answerOf(*gateway, "/ops/readiness").status == 200; };
    if (!playUntil(ready, kReadyMostS))
      throw std::runtime_error(gateway->name + " is not ready");
    gateway->startProcessorS = usageOf(gateway->process->pid).processorS;
  }
  startStubGateways(seeds());
}

void ScaleTestbed::startGateway(RealGateway& gateway, const std::string& seeds) {
  const fs::path own = dir_ / (gateway.name + ".tmp");
  fs::create_directories(own);
  write(gateway.config, configOf(gateway, seeds, 0));
  gateway.process = std::make_shared<Process>(io_, gateway.name);
  gateway.process->start(plan_.program, {"GW_CONFIG=" + gateway.config.string(), "TMPDIR=" + own.string()});
  processes_.push_back(gateway.process);
}

void ScaleTestbed::startStubGateways(const std::string& seeds) {
  const fs::path config = dir_ / "stub.toml";
  write(config, stubConfig());
  for (std::size_t first = 0; first < size_.stubs; first += kStubsPerProcess) {
    std::vector<std::string> arguments{"stub-gateways",
                                       "--first",
                                       std::to_string(size_.gateways + first),
                                       "--count",
                                       std::to_string(std::min(kStubsPerProcess, size_.stubs - first)),
                                       "--config",
                                       config.string(),
                                       "--discovery",
                                       textOf(discovery_->endpoint(stubAddress_))};
    if (!seeds.empty())
      arguments.insert(arguments.end(), {"--seeds", seeds});
    startHelper("stub gateways " + std::to_string(first), arguments);
  }
  if (!playUntil([this] { return stubs_.empty() || stubRevision() >= discovery_->revision(); }, kReadyMostS))
    throw std::runtime_error("the stub gateways have no list");
}

// --- Settings ---------------------------------------------------------------------------------------------

// The settings allow no number of a gateway beyond it.
std::uint32_t ScaleTestbed::configuredGateways() const {
  return static_cast<std::uint32_t>(std::max(plan_.configuredGateways, size_.gateways + size_.stubs));
}

std::string ScaleTestbed::configOf(const RealGateway& gateway, const std::string& seeds,
                                   unsigned version) const {
  std::string membership;
  if (!gateway.membership.empty()) {
    std::string quoted;
    for (std::size_t from = 0, to = 0; to != std::string::npos; from = to + 1) {
      to = seeds.find(',', from);
      quoted += (from == 0 ? "\"" : ", \"") + seeds.substr(from, to - from) + "\"";
    }
    membership = fmt::format("[membership]\nlisten = \"{}\"\nseeds = [{}]\nperiod_ms = {}\n\n",
                             gateway.membership, quoted, static_cast<int>(plan_.membershipPeriodMs));
  }
  Scenario varied = scenario_;
  varied.maxRetryAfterMs += version;  // the one value that tells one version from another
  std::string text =
      lab::configOf(varied, day_, static_cast<std::uint32_t>(gateway.number), configuredGateways(),
                    textOf(gateway.port.endpoint()), textOf(discovery_->endpoint(gateway.discovery)),
                    textOf(gateway.management.endpoint()), membership);
  // The rate of the whole load for each: none of it is over its share.
  for (std::size_t i = 0; i < size_.tenants; ++i)
    text += fmt::format("\n[[tenant]]\nname = \"{}\"\nquota_per_s = {}\n", tenantName(i),
                        std::max(size_.rate * configuredGateways(), 1.0));
  return text;
}

std::string ScaleTestbed::stubConfig() const {
  ScaleSize own = size_;
  own.classes = 0;
  const Scenario scenario = scenarioOf(plan_, own);
  const std::string membership =
      plan_.membershipPeriodMs > 0
          ? fmt::format("[membership]\nperiod_ms = {}\n\n", static_cast<int>(plan_.membershipPeriodMs))
          : "";
  const std::string nowhere = "127.0.0.1:1";
  return lab::configOf(scenario, DrawnDay(scenario, plan_.seed), 0, configuredGateways(), nowhere, nowhere,
                       nowhere, membership);
}

void ScaleTestbed::writeChangedConfig(const RealGateway& gateway, unsigned version) {
  write(gateway.config, configOf(gateway, seeds(), version));
}

// --- Load and changes -------------------------------------------------------------------------------------

const Load& ScaleTestbed::play(std::vector<Target> targets, double s) {
  const double rate = size_.rate * static_cast<double>(size_.gateways);
  loads_.push_back(std::make_unique<Load>(io_, scenario_, ++loadSeed_, LoadPlan{rate, s, {}, size_.tenants},
                                          0, std::move(targets)));
  Load& load = *loads_.back();
  bool done = false;
  load.start([&done] { done = true; });
  if (!playUntil([&done] { return done; }, s + kLoadEndS))
    throw std::runtime_error("a load does not end");
  checkMemory();
  return load;
}

void ScaleTestbed::changeRegularly(bool on) {
  changes_.cancel();
  if (!on || size_.changes <= 0)
    return;
  changes_.expires_after(seconds(1 / size_.changes));
  changes_.async_wait([this](error_code ec) {
    if (ec)
      return;
    changeOne();
    changeRegularly(true);
  });
}

// One after another, from the last on: the first servers are asked directly.
void ScaleTestbed::changeOne() {
  discovery_->change(size_.servers - 1 - changed_++ % size_.servers);
}

// --- Stub processes
// ---------------------------------------------------------------------------------------

std::int64_t ScaleTestbed::stubRevision() const {
  std::int64_t least = discovery_->revision();
  for (const auto& helper : stubs_)
    least = std::min(least, helper->report.revision);
  return least;
}

std::uint64_t ScaleTestbed::stubSnapshots() const {
  std::uint64_t least = UINT64_MAX;
  for (const auto& helper : stubs_)
    least = std::min(least, helper->report.wholeLists);
  return least;
}

std::uint32_t ScaleTestbed::stubMembersSeen() const {
  std::uint32_t least = UINT32_MAX;
  for (const auto& helper : stubs_)
    least = std::min(least, helper->report.membersSeen);
  return least;
}

Time ScaleTestbed::stubChangedAt() const {
  std::int64_t latest = 0;
  for (const auto& helper : stubs_)
    latest = std::max(latest, helper->report.changedAtNs);
  const Duration offset = clockNow() - std::chrono::steady_clock::now().time_since_epoch();
  return std::chrono::nanoseconds(latest) + offset;
}

std::vector<std::pair<std::string, ProcessUsage>> ScaleTestbed::helperUsage() const {
  std::vector<std::pair<std::string, ProcessUsage>> all{{"the testbed", usageOf(::getpid())}};
  all.emplace_back(servers_->process->name, usageOf(servers_->process->pid));
  for (const auto& helper : stubs_)
    all.emplace_back(helper->process->name, usageOf(helper->process->pid));
  return all;
}

double ScaleTestbed::lagMs() const {
  double most = std::max(lag_.maxLagMs(), servers_->lagMs);
  for (const auto& helper : stubs_)
    most = std::max(most, helper->lagMs);
  return most;
}

void ScaleTestbed::resetLag() {
  lag_.reset();
  servers_->lagMs = 0;
  for (const auto& helper : stubs_)
    helper->lagMs = 0;
}

}  // namespace hollyrun::lab
