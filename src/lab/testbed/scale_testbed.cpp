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

constexpr std::size_t kStubGatewaysPerProcess = 52;  // 410 stub gateways need eight processes
constexpr std::size_t kSeedCount = 3;
constexpr std::size_t kServersPerCell = 6;
constexpr double kStartTimeoutS = 30, kOpsTimeoutS = 10;
// Requests may stay open for the longest deadline after the last arrival. The timeout allows some more time.
constexpr double kLoadEndTimeoutS = 10;
constexpr double kMaxMemoryMb = 12 * 1024;
// The process id selects one of the address blocks from 127.1.0.0 to 127.63.255.255, so that testbeds that
// run at the same time use different addresses.
constexpr std::uint32_t kFirstServerAddress = 0x7f010001;
constexpr std::uint32_t kAddressesPerBlock = 1 << 14, kAddressBlocks = 250;

std::uint32_t firstServerAddress() {
  return kFirstServerAddress + static_cast<std::uint32_t>(::getpid()) % kAddressBlocks * kAddressesPerBlock;
}

// Returns an address whose port is free now. If another process binds the port before the gateway does, the
// gateway retries until it is free again.
std::string freeMembershipAddress(asio::io_context& io) {
  return textOf(udp::socket(io, {asio::ip::address_v4::loopback(), 0}).local_endpoint());
}

fs::path makeFolder() {
  // When a file is renamed over another, a file system on disk may flush it immediately, which blocks the
  // testbed. A file system in memory does not.
  const fs::path memoryFolder = "/dev/shm";
  const fs::path base = ::access(memoryFolder.c_str(), W_OK) == 0 ? memoryFolder : fs::temp_directory_path();
  std::string pattern = (base / "hollyrun-scale-XXXXXX").string();
  if (!::mkdtemp(pattern.data()))
    throw std::runtime_error("cannot create a temporary directory in " + base.string());
  return pattern;
}

void write(const fs::path& path, const std::string& text) {
  const fs::path next = path.string() + ".next";
  std::ofstream(next) << text;
  fs::rename(next, path);
}

}  // namespace

RealGateway::RealGateway(asio::io_context& io, std::size_t gatewayNumber)
    : number(gatewayNumber), name("gateway-" + std::to_string(gatewayNumber)), port(io), management(io) {}

ScaleTestbed::ScaleTestbed(const ScalePlan& plan, const ScaleSize& size)
    : plan_(plan),
      size_(size),
      scenario_(scenarioOf(plan, size)),
      day_(scenario_, plan.seed),
      signals_(io_, SIGINT, SIGTERM),
      children_(io_, SIGCHLD),
      lag_(io_),
      changeTimer_(io_),
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

// --- Event loop -------------------------------------------------------------------------------------------

bool ScaleTestbed::runUntil(const std::function<bool()>& condition, double timeoutS) {
  const Time deadline = clockNow() + seconds(timeoutS);
  while (!condition()) {
    if (interrupted_)
      throw ScaleInterrupted();
    if (!failure_.empty())
      throw std::runtime_error(failure_);
    if (clockNow() >= deadline)
      return false;
    io_.run_one_for(std::min<Duration>(deadline - clockNow(), std::chrono::milliseconds(100)));
  }
  return true;
}

void ScaleTestbed::runFor(double durationS) {
  runUntil([] { return false; }, durationS);
  checkMemory();
}

ScaleTestbed::OpsResponse ScaleTestbed::requestOps(const RealGateway& gateway, const std::string& target) {
  const auto response = std::make_shared<OpsResponse>();
  httpGet(io_, gateway.management.endpoint(), target, seconds(kOpsTimeoutS),
          [response](int status, const std::string& body) {
            *response = {status, body};
          });
  runUntil([&] { return response->status >= 0; }, kOpsTimeoutS + 1);
  return *response;
}

std::string ScaleTestbed::get(const RealGateway& gateway, const std::string& target) {
  const OpsResponse response = requestOps(gateway, target);
  if (response.status != 200)
    throw std::runtime_error(
        fmt::format("{}: GET {} failed with status {}", gateway.name, target, response.status));
  return response.body;
}

void ScaleTestbed::checkMemory() const {
  double residentMb = usageOf(::getpid()).residentMb;
  for (const auto& process : processes_)
    if (!process->ended)
      residentMb += usageOf(process->pid).residentMb;
  if (residentMb > kMaxMemoryMb)
    throw std::runtime_error(fmt::format("the processes use {:.0f} MB of memory, allowed are {:.0f} MB",
                                         residentMb, kMaxMemoryMb));
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
    // The last output lines may still be in the pipe; handle the exit after them.
    asio::post(io_, [this, process] {
      failure_ =
          fmt::format("{} exited with code {}: {}", process->name, process->exitCode, process->lastLine);
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
  if (!runUntil([this] { return servers_->report.port != 0; }, kStartTimeoutS))
    throw std::runtime_error("the stub servers did not start listening in time");
  std::vector<ListedServer> listed;
  for (std::size_t i = 0; i < size_.servers; ++i)
    listed.push_back({fmt::format("server-{}", i), scenario_.zones[i % scenario_.zones.size()],
                      serverEndpoint(i), static_cast<std::int64_t>(i / kServersPerCell)});
  discovery_ = std::make_unique<StubDiscovery>(io_, listed);
}

tcp::endpoint ScaleTestbed::serverEndpoint(std::size_t number) const {
  return stubServerEndpoint(firstServerAddress(), number, servers_->report.port);
}

std::string ScaleTestbed::seeds() const {
  std::string all;
  for (std::size_t i = 0; i < std::min(kSeedCount, gateways_.size()); ++i)
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
  stubDiscoveryAddress_ = discovery_->addAddress();
  for (const auto& gateway : gateways_)
    startGateway(*gateway, seeds());
  for (const auto& gateway : gateways_) {
    const auto ready = [&] { return requestOps(*gateway, "/ops/readiness").status == 200; };
    if (!runUntil(ready, kStartTimeoutS))
      throw std::runtime_error(gateway->name + " did not become ready in time");
    gateway->startProcessorS = usageOf(gateway->process->pid).processorS;
  }
  startStubGateways(seeds());
}

void ScaleTestbed::startGateway(RealGateway& gateway, const std::string& seeds) {
  const fs::path temporaryFolder = dir_ / (gateway.name + ".tmp");
  fs::create_directories(temporaryFolder);
  write(gateway.config, configOf(gateway, seeds, 0));
  gateway.process = std::make_shared<Process>(io_, gateway.name);
  gateway.process->start(plan_.program,
                         {"GW_CONFIG=" + gateway.config.string(), "TMPDIR=" + temporaryFolder.string()});
  processes_.push_back(gateway.process);
}

void ScaleTestbed::startStubGateways(const std::string& seeds) {
  const fs::path config = dir_ / "stub.toml";
  write(config, stubConfig());
  for (std::size_t first = 0; first < size_.stubs; first += kStubGatewaysPerProcess) {
    std::vector<std::string> arguments{"stub-gateways",
                                       "--first",
                                       std::to_string(size_.gateways + first),
                                       "--count",
                                       std::to_string(std::min(kStubGatewaysPerProcess, size_.stubs - first)),
                                       "--config",
                                       config.string(),
                                       "--discovery",
                                       textOf(discovery_->endpoint(stubDiscoveryAddress_))};
    if (!seeds.empty())
      arguments.insert(arguments.end(), {"--seeds", seeds});
    startHelper("stub gateways " + std::to_string(first), arguments);
  }
  if (!runUntil([this] { return stubs_.empty() || stubRevision() >= discovery_->revision(); },
                kStartTimeoutS))
    throw std::runtime_error("the stub gateways did not receive the endpoint list in time");
}

// --- Configuration ----------------------------------------------------------------------------------------

// A configuration is valid only if the gateway's number is below fleet.gateways.
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
  Scenario scenario = scenario_;
  scenario.maxRetryAfterMs += version;  // the value that differs between versions
  std::string text =
      lab::configOf(scenario, day_, static_cast<std::uint32_t>(gateway.number), configuredGateways(),
                    textOf(gateway.port.endpoint()), textOf(discovery_->endpoint(gateway.discovery)),
                    textOf(gateway.management.endpoint()), membership);
  // Each tenant's quota is the rate of the whole load, so that no request exceeds a quota.
  for (std::size_t i = 0; i < size_.tenants; ++i)
    text += fmt::format("\n[[tenant]]\nname = \"{}\"\nquota_per_s = {}\n", tenantName(i),
                        std::max(size_.rate * configuredGateways(), 1.0));
  return text;
}

std::string ScaleTestbed::stubConfig() const {
  ScaleSize scenarioSize = size_;
  scenarioSize.classes = 0;
  const Scenario scenario = scenarioOf(plan_, scenarioSize);
  const std::string membership =
      plan_.membershipPeriodMs > 0
          ? fmt::format("[membership]\nperiod_ms = {}\n\n", static_cast<int>(plan_.membershipPeriodMs))
          : "";
  const std::string unusedAddress = "127.0.0.1:1";
  return lab::configOf(scenario, DrawnDay(scenario, plan_.seed), 0, configuredGateways(), unusedAddress,
                       unusedAddress, unusedAddress, membership);
}

void ScaleTestbed::writeChangedConfig(const RealGateway& gateway, unsigned version) {
  write(gateway.config, configOf(gateway, seeds(), version));
}

// --- Load and list changes --------------------------------------------------------------------------------

const Load& ScaleTestbed::runLoad(std::vector<Target> targets, double durationS) {
  const double rate = size_.rate * static_cast<double>(size_.gateways);
  loads_.push_back(std::make_unique<Load>(
      io_, scenario_, ++loadSeed_, LoadPlan{rate, durationS, {}, size_.tenants}, 0, std::move(targets)));
  Load& load = *loads_.back();
  bool done = false;
  load.start([&done] { done = true; });
  if (!runUntil([&done] { return done; }, durationS + kLoadEndTimeoutS))
    throw std::runtime_error("the load did not end in time");
  checkMemory();
  return load;
}

void ScaleTestbed::setRegularChanges(bool on) {
  changeTimer_.cancel();
  if (!on || size_.changes <= 0)
    return;
  changeTimer_.expires_after(seconds(1 / size_.changes));
  changeTimer_.async_wait([this](error_code ec) {
    if (ec)
      return;
    changeNextServer();
    setRegularChanges(true);
  });
}

// Changes the servers in turn, beginning with the last, because the direct load is sent to the first ones.
void ScaleTestbed::changeNextServer() {
  discovery_->toggleDraining(size_.servers - 1 - changesMade_++ % size_.servers);
}

// --- Stub processes ---------------------------------------------------------------------------------------

std::int64_t ScaleTestbed::stubRevision() const {
  std::int64_t lowest = discovery_->revision();
  for (const auto& helper : stubs_)
    lowest = std::min(lowest, helper->report.revision);
  return lowest;
}

std::uint64_t ScaleTestbed::stubWholeLists() const {
  std::uint64_t lowest = UINT64_MAX;
  for (const auto& helper : stubs_)
    lowest = std::min(lowest, helper->report.wholeLists);
  return lowest;
}

std::uint32_t ScaleTestbed::stubMembersSeen() const {
  std::uint32_t lowest = UINT32_MAX;
  for (const auto& helper : stubs_)
    lowest = std::min(lowest, helper->report.membersSeen);
  return lowest;
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
  double maxLagMs = std::max(lag_.maxLagMs(), servers_->lagMs);
  for (const auto& helper : stubs_)
    maxLagMs = std::max(maxLagMs, helper->lagMs);
  return maxLagMs;
}

void ScaleTestbed::resetLag() {
  lag_.reset();
  servers_->lagMs = 0;
  for (const auto& helper : stubs_)
    helper->lagMs = 0;
}

}  // namespace hollyrun::lab
