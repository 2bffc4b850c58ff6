#include "lab/testbed/fleet.hpp"

#include <signal.h>
#include <spdlog/fmt/fmt.h>
#include <stdlib.h>
#include <sys/resource.h>
#include <sys/wait.h>
#include <unistd.h>

#include <algorithm>
#include <cmath>
#include <cstring>
#include <filesystem>
#include <fstream>
#include <nlohmann/json.hpp>
#include <set>
#include <stdexcept>

#include "lab/report/report.hpp"
#include "lab/testbed/process.hpp"
#include "lab/testbed/relay.hpp"

namespace hollyrun::lab {
namespace {

namespace fs = std::filesystem;

constexpr auto kReadinessPollInterval = std::chrono::milliseconds(20);
constexpr Duration kStartTimeout = std::chrono::seconds(15);
// After SIGTERM a gateway drains for the longest deadline plus 0.7 s. The timeout is twice that, for a busy
// machine.
constexpr Duration kShutdownTimeout = std::chrono::seconds(6);
// A longer delay of the testbed's own event loop can hide or cause rule violations of the size that the
// checker detects. The run is void then.
constexpr double kMaxLagMs = 250;
constexpr auto kLagSampleInterval = std::chrono::milliseconds(10);
constexpr double kViewPollIntervalS = 0.05;
constexpr std::size_t kMaxTimelineLines = 20000;
constexpr std::size_t kSeedCount = 3;
constexpr int kMaxStarts = 3;  // another process may bind a port between its choice and its use

// A gateway of the fleet: a fixed address and the process that serves it. Two processes serve the address
// during an upgrade.
struct FleetGateway {
  FleetGateway(asio::io_context& io, std::uint32_t n)
      : number(n), name("gateway-" + std::to_string(n)), port(io) {}
  std::uint32_t number;
  std::string name;
  ReservedPort port;
  std::unique_ptr<ReservedPort> management;
  tcp::endpoint discovery;
  fs::path config, temporaryFolder;
  std::shared_ptr<Process> process;
  int starts = 0;
  bool paused = false;  // by SIGSTOP
};

class FleetTestbed {
 public:
  FleetTestbed(const Scenario& scenario, const FleetPlan& plan)
      : scenario_(scenario),
        plan_(plan),
        day_(scenario, plan.seed),
        platform_(io_, scenario, plan.seed, &observer_),
        signals_(io_, SIGINT, SIGTERM),
        children_(io_, SIGCHLD),
        lagTimer_(io_),
        relay_(io_, plan.seed) {
    for (const FaultSpec& spec : scenario.faultSpecs)
      if (spec.kind != "surge")
        throw std::runtime_error(spec.location + ": [[trouble]] of kind '" + spec.kind +
                                 "' works in virtual time only; use [[fault]] with processes");
    if (::access(plan.program.c_str(), X_OK) != 0)
      throw std::runtime_error("no executable program at " + plan.program);
    dir_ = plan.dir;
    if (dir_.empty()) {
      // When a file is renamed over another, a file system on disk may flush it immediately. That blocked
      // the event loop for 65 ms, and for 300 ms while other runs shared the machine, which made the runs
      // void. A file system in memory does not block. The gateways' temporary folders are in it for the
      // same reason.
      const fs::path memoryFolder = "/dev/shm";
      const fs::path base =
          ::access(memoryFolder.c_str(), W_OK) == 0 ? memoryFolder : fs::temp_directory_path();
      std::string pattern = (base / "hollyrun-fleet-XXXXXX").string();
      if (!::mkdtemp(pattern.data()))
        throw std::runtime_error("cannot create a temporary directory in " + base.string());
      dir_ = pattern;
      ownDir_ = true;
    }
  }
  ~FleetTestbed() {
    killAll();
    std::error_code ignored;
    if (ownDir_)
      fs::remove_all(dir_, ignored);
  }

  FleetResult run() {
    watchSignals();
    watchChildren();
    const auto count = static_cast<std::uint32_t>(std::lround(scenario_.gateways.low));
    std::vector<Target> targets;
    for (std::uint32_t i = 0; i < count; ++i) {
      gateways_.push_back(std::make_unique<FleetGateway>(io_, i));
      FleetGateway& gateway = *gateways_.back();
      gateway.discovery = platform_.addAgent();
      gateway.temporaryFolder = dir_ / (gateway.name + ".tmp");
      gateway.config = dir_ / (gateway.name + ".toml");
      fs::create_directories(gateway.temporaryFolder);
      if (scenario_.membershipPeriodMs > 0)
        relay_.addMember();
      targets.push_back({gateway.name, gateway.port.endpoint(),
                         i % static_cast<std::uint32_t>(scenario_.zones.size()), true});
    }
    load_ = std::make_unique<Load>(io_, scenario_, plan_.seed, LoadPlan{plan_.rate, scenario_.durationS, {}},
                                   platform_.capacity(), std::move(targets));
    observer_.load = load_.get();
    for (auto& gateway : gateways_)
      start(*gateway, [this] { startLoadOnceReady(); });
    io_.run();
    killAll();
    return verdict();
  }

 private:
  // Forwards to the load, which is created after the platform that needs the observer.
  struct ObserverProxy final : AttemptObserver {
    Load* load = nullptr;
    const SentRequest* find(std::uint64_t id) const override { return load ? load->find(id) : nullptr; }
    Checker& checker() override { return load ? load->checker() : unusedChecker; }
    Checker unusedChecker{RuleTolerances{}};
  };

  double secondsSinceStart() const {
    return load_ && load_->started() > Time{} ? inSeconds(clockNow() - load_->started()) : 0;
  }
  void note(const std::string& text) {
    if (timeline_.size() < kMaxTimelineLines)
      timeline_.push_back(fmt::format("{:8.3f}  {}", secondsSinceStart(), text));
  }
  void breach(Rule rule, const std::string& what) {
    load_->checker().addBreach(rule, clockNow(), 0, "", what);
  }
  void runAfter(double delayS, std::function<void()> call) {
    auto timer = std::make_shared<asio::steady_timer>(io_);
    timer->expires_after(seconds(delayS));
    timer->async_wait([timer, call = std::move(call)](error_code ec) {
      if (!ec)
        call();
    });
  }

  // --- Processes ---

  void writeConfig(FleetGateway& gateway, const std::string& text) {
    const fs::path next = gateway.config.string() + ".next";
    std::ofstream(next) << text;
    fs::rename(next, gateway.config);
  }
  std::string configTextFor(const FleetGateway& gateway) const {
    return configOf(scenario_, day_, gateway.number, static_cast<std::uint32_t>(gateways_.size()),
                    textOf(gateway.port.endpoint()), textOf(gateway.discovery),
                    textOf(gateway.management->endpoint()), membershipSection(gateway));
  }
  // The first three gateways are the seeds, so that one of them is alive under all but the largest faults.
  std::string membershipSection(const FleetGateway& gateway) const {
    if (scenario_.membershipPeriodMs <= 0)
      return {};
    std::string seeds;
    for (std::size_t i = 0; i < std::min(kSeedCount, gateways_.size()); ++i)
      seeds += fmt::format("{}\"{}\"", i ? ", " : "", textOf(relay_.advertisedAddress(i)));
    return fmt::format("[membership]\nlisten = \"{}\"\nadvertise = \"{}\"\nseeds = [{}]\nperiod_ms = {}\n\n",
                       textOf(relay_.listenAddress(gateway.number)),
                       textOf(relay_.advertisedAddress(gateway.number)), seeds,
                       static_cast<int>(scenario_.membershipPeriodMs));
  }
  std::shared_ptr<Process> spawn(FleetGateway& gateway) {
    gateway.management = std::make_unique<ReservedPort>(io_);
    writeConfig(gateway, configTextFor(gateway));
    auto process = std::make_shared<Process>(io_, gateway.name);
    process->onOutputLine = [this, name = gateway.name](const std::string& line) {
      note(name + ": " + line);
    };
    process->start(plan_.program, {"GW_CONFIG=" + gateway.config.string(), "GW_NAME=" + gateway.name,
                                   "GW_LISTEN=" + textOf(gateway.port.endpoint()),
                                   "GW_DISCOVERY=" + textOf(gateway.discovery),
                                   "GW_MANAGEMENT=" + textOf(gateway.management->endpoint()),
                                   "TMPDIR=" + gateway.temporaryFolder.string()});
    processes_.push_back(process);
    return process;
  }
  void start(FleetGateway& gateway, std::function<void()> onReady) {
    ++gateway.starts;
    gateway.process = spawn(gateway);
    load_->checker().gatewayRestarted(gateway.number);
    gateway.process->onExit = [this, &gateway, process = gateway.process.get(), onReady] {
      onGatewayExit(gateway, *process, onReady);
    };
    awaitReady(gateway, gateway.process, clockNow() + kStartTimeout, onReady);
  }
  void onGatewayExit(FleetGateway& gateway, Process& process, const std::function<void()>& onReady) {
    if (process.stopRequested || stopping_)
      return;
    if (process.ready)
      return reportCrash(process);
    if (process.lastLine.find("in use") != std::string::npos && gateway.starts < kMaxStarts) {
      note(gateway.name + " found its address in use and is started again");
      return start(gateway, onReady);
    }
    breach(Rule::crash, fmt::format("{} exited with code {} during startup: {}", gateway.name,
                                    process.exitCode, process.lastLine));
    end();
  }
  void reportCrash(Process& process) {
    breach(Rule::crash, fmt::format("{} exited unexpectedly with code {}: {}", process.name, process.exitCode,
                                    process.lastLine));
  }
  void awaitReady(FleetGateway& gateway, const std::shared_ptr<Process>& process, Time deadline,
                  std::function<void()> onReady) {
    if (process->ended || stopping_)
      return;
    if (clockNow() > deadline) {
      breach(Rule::crash, gateway.name + " neither became ready nor exited within the start timeout");
      return end();
    }
    httpGet(io_, gateway.management->endpoint(), "/ops/readiness", std::chrono::seconds(1),
            [this, &gateway, process, deadline, onReady](int status, const std::string&) {
              if (status == 200) {
                process->ready = true;
                note(gateway.name + " is ready");
                return onReady();
              }
              runAfter(inSeconds(kReadinessPollInterval), [this, &gateway, process, deadline, onReady] {
                awaitReady(gateway, process, deadline, onReady);
              });
            });
  }
  void watchChildren() {
    children_.async_wait([this](error_code ec, int) {
      if (ec)
        return;
      reap();
      watchChildren();
    });
  }
  void reap() {
    for (const auto& process : std::vector<std::shared_ptr<Process>>(processes_)) {
      int status = 0;
      rusage used{};
      if (process->ended || ::wait4(process->pid, &status, WNOHANG, &used) != process->pid)
        continue;
      process->ended = true;
      process->exitCode = WIFEXITED(status) ? WEXITSTATUS(status) : 128 + WTERMSIG(status);
      processorS_ += static_cast<double>(used.ru_utime.tv_sec + used.ru_stime.tv_sec) +
                     1e-6 * static_cast<double>(used.ru_utime.tv_usec + used.ru_stime.tv_usec);
      peakMemoryMb_ = std::max(peakMemoryMb_, static_cast<double>(used.ru_maxrss) / 1024);
      note(fmt::format("{} exited with code {}", process->name, process->exitCode));
      // The last output lines may still be in the pipe; handle the exit after them.
      asio::post(io_, [this, process] {
        // A process that is not ready yet may have no handler for SIGTERM and die of it.
        if (process->stopRequested && process->ready && process->exitCode != 0 &&
            process->exitCode != 128 + SIGKILL)
          reportCrash(*process);
        else if (process->onExit)
          process->onExit();
        if (stopping_ && allEnded())
          io_.stop();
      });
    }
  }
  bool allEnded() const {
    return std::all_of(processes_.begin(), processes_.end(),
                       [](const auto& process) { return process->ended; });
  }
  void killAll() {
    for (const auto& process : processes_) {
      if (process->ended)
        continue;
      ::kill(process->pid, SIGKILL);
      ::waitpid(process->pid, nullptr, 0);
      process->ended = true;
    }
  }

  // --- Run ---

  void startLoadOnceReady() {
    if (load_->started() > Time{} || stopping_)
      return;
    for (const auto& gateway : gateways_)
      if (!gateway->process->ready)
        return;
    note("all gateways are ready, the load starts");
    restartViewCheck();
    sampleLag(clockNow() + kLagSampleInterval);
    load_->start([this] { end(); });
    for (const Fault& fault : scenario_.faults)
      runAfter(fault.atS, [this, &fault] { injectFault(fault); });
    runAfter(scenario_.durationS - 0.1, [this] { checkFinalViews(); });
    // Ends the run even if the load never completes: no request is open after the longest deadline.
    runAfter(scenario_.durationS + day_.longestClientTimeout + 3, [this] { end(); });
  }
  void sampleLag(Time due) {
    lagTimer_.expires_after(due - clockNow());
    lagTimer_.async_wait([this, due](error_code ec) {
      if (ec || stopping_)
        return;
      lagMs_ = std::max(lagMs_, inSeconds(clockNow() - due) * 1000);
      sampleLag(clockNow() + kLagSampleInterval);
    });
  }
  void watchSignals() {
    signals_.async_wait([this](error_code ec, int) {
      if (ec)
        return;
      interrupted_ = true;
      io_.stop();
    });
  }
  void end() {
    if (stopping_)
      return;
    stopping_ = true;
    note("the run ends");
    load_->stop();
    for (const auto& process : processes_)
      process->stopRequested = true, process->send(SIGCONT), process->send(SIGTERM);
    if (allEnded())
      io_.stop();
    runAfter(inSeconds(kShutdownTimeout), [this] {
      for (const auto& process : processes_)
        if (!process->ended)
          breach(Rule::crash, process->name + " did not exit after SIGTERM");
      io_.stop();
    });
  }

  // --- Views of the fleet ---

  // Restarts the check of the gateways' views of the fleet. Within the scenario's agree_s after a fault or
  // its end, each running gateway has to see all running gateways and no other member.
  void restartViewCheck() {
    if (scenario_.expectAgreeS <= 0 || stopping_)
      return;
    const int checkNumber = ++viewCheck_;
    pollViews(checkNumber, clockNow(), clockNow() + seconds(scenario_.expectAgreeS));
  }
  void pollViews(int checkNumber, Time from, Time deadline) {
    if (stopping_ || checkNumber != viewCheck_)
      return;
    auto views = std::make_shared<std::map<std::string, std::string>>();
    auto pending = std::make_shared<std::size_t>(gateways_.size());
    for (const auto& gateway : gateways_)
      httpGet(io_, gateway->management->endpoint(), "/ops/fleet", std::chrono::milliseconds(500),
              [this, checkNumber, from, deadline, views, pending, name = gateway->name](
                  int status, const std::string& body) {
                if (status == 200)
                  (*views)[name] = body;
                if (--*pending == 0)
                  compareViews(checkNumber, from, deadline, *views);
              });
  }
  void compareViews(int checkNumber, Time from, Time deadline,
                    const std::map<std::string, std::string>& views) {
    if (stopping_ || checkNumber != viewCheck_)
      return;
    std::string difference;
    std::set<std::string> viewDigests, running;
    for (const auto& gateway : gateways_)
      if (!gateway->process->ended && !gateway->paused)
        running.insert(gateway->name);
    for (const std::string& name : running) {
      const auto it = views.find(name);
      const auto view = nlohmann::json::parse(it == views.end() ? "" : it->second, nullptr, false);
      if (view.is_discarded()) {
        difference = name + " returned no valid /ops/fleet answer";
        continue;
      }
      viewDigests.insert(view.value("view", std::string()));
      std::set<std::string> seen;
      for (const auto& member : view.value("members", nlohmann::json::array())) {
        const std::string state = member.value("state", std::string());
        if (state != "dead" && state != "left")
          seen.insert(member.value("name", std::string()));
      }
      if (seen != running)
        difference = fmt::format("{} sees {} members, expected {}", name, seen.size(), running.size());
    }
    if (difference.empty() && viewDigests.size() > 1)
      difference = fmt::format("{} different view digests", viewDigests.size());
    if (difference.empty()) {
      viewsAgree_ = true;
      return note(fmt::format("all {} gateways agree on the members {:.2f} s after the last fault",
                              running.size(), inSeconds(clockNow() - from)));
    }
    viewsAgree_ = false;
    if (clockNow() > deadline)
      return breach(Rule::check, fmt::format("views differ {:.1f} s after the last fault: {}",
                                             scenario_.expectAgreeS, difference));
    runAfter(kViewPollIntervalS,
             [this, checkNumber, from, deadline] { pollViews(checkNumber, from, deadline); });
  }
  // Fails a run that ends before the views agree. Without this check a scenario that ends within agree_s of
  // its last fault would pass whatever the views are.
  void checkFinalViews() {
    if (scenario_.expectAgreeS > 0 && !stopping_ && !viewsAgree_)
      breach(Rule::check, "the run ended before the views agreed");
  }

  // --- Faults ---

  // Applies or ends a network fault for the datagrams that the fault's gateways send and receive. A fault
  // that names no gateways applies to all. Its `size` is a share of the datagrams, or the longest delay in
  // milliseconds.
  void applyNetworkFault(const Fault& fault, bool on) {
    std::set<std::size_t> affected;
    for (const std::size_t number : gatewaysOf(fault))
      affected.insert(number);
    for (std::size_t a = 0; a < gateways_.size(); ++a)
      for (std::size_t b = 0; b < gateways_.size(); ++b) {
        if (a == b)
          continue;
        const bool from = affected.count(a) > 0, to = affected.count(b) > 0;
        if (fault.kind == "net_mute" && from)
          relay_.cut(a, b, on);
        else if (fault.kind == "net_deaf" && to)
          relay_.cut(a, b, on);
        else if (fault.kind == "net_split" && from != to)
          relay_.cut(a, b, on);
        if (!(from || to) || fault.kind == "net_mute" || fault.kind == "net_deaf" ||
            fault.kind == "net_split")
          continue;
        LinkConditions conditions;
        conditions.minDelayMs = conditions.maxDelayMs = 0;
        if (on && fault.kind == "net_loss")
          conditions.loss = fault.size;
        if (on && fault.kind == "net_copies")
          conditions.duplication = fault.size;
        if (on && fault.kind == "net_spoils")
          conditions.corruption = fault.size;
        if (on && fault.kind == "net_delay")
          conditions.maxDelayMs = fault.size;  // delays are drawn from 0 to this, which reorders datagrams
        relay_.setLinkConditions(a, b, conditions);
      }
  }

  std::vector<std::size_t> gatewaysOf(const Fault& fault) const {
    if (!fault.gateways.empty())
      return fault.gateways;
    std::vector<std::size_t> all;
    for (const auto& gateway : gateways_)
      if (fault.zone.empty() || scenario_.zones[gateway->number % scenario_.zones.size()] == fault.zone)
        all.push_back(gateway->number);
    return all;
  }
  std::vector<std::size_t> serversOf(const Fault& fault) const {
    if (!fault.servers.empty())
      return fault.servers;
    std::vector<std::size_t> all;
    for (std::size_t i = 0; i < platform_.servers(); ++i)
      if (fault.zone.empty() || platform_.zoneOf(i) == fault.zone)
        all.push_back(i);
    return all;
  }
  void injectFault(const Fault& fault) {
    if (stopping_)
      return;
    std::string scope = fault.zone.empty() ? "" : " zone " + fault.zone;
    for (std::size_t number : fault.gateways)
      scope += " gateway-" + std::to_string(number);
    for (std::size_t server : fault.servers)
      scope += " server " + std::to_string(server);
    note("FAULT " + fault.kind + scope);
    // The views may differ during the fault and have to agree again after it.
    ++viewCheck_;
    viewsAgree_ = scenario_.expectAgreeS <= 0;
    if (fault.durationS <= 0 || fault.kind == "kill" || fault.kind == "term")
      restartViewCheck();
    const auto undo = [this, &fault](std::function<void()> call) {
      runAfter(fault.durationS, [this, &fault, call] {
        if (stopping_)
          return;
        note("FAULT " + fault.kind + " ends");
        call();
        restartViewCheck();
      });
    };
    if (fault.kind.starts_with("net_")) {
      applyNetworkFault(fault, true);
      return undo([this, &fault] { applyNetworkFault(fault, false); });
    }
    for (std::size_t number : gatewaysOf(fault)) {
      FleetGateway& gateway = *gateways_[number];
      if (fault.kind == "kill")
        killGateway(gateway, fault);
      else if (fault.kind == "term")
        terminateGateway(gateway, fault);
      else if (fault.kind == "stop") {
        gateway.process->send(SIGSTOP);
        gateway.paused = true;
        load_->setPaused(gateway.number, true);
        undo([this, &gateway] {
          gateway.process->send(SIGCONT);
          gateway.paused = false;
          load_->setPaused(gateway.number, false);
        });
      } else if (fault.kind == "upgrade")
        upgradeGateway(gateway);
      else if (fault.kind == "hup")
        reloadGateway(gateway, fault);
      else if (fault.kind == "discovery_silent") {
        platform_.setAgentSilent(number, true);
        undo([this, number] { platform_.setAgentSilent(number, false); });
      } else if (fault.kind == "discovery_late") {
        platform_.delayUpdates(number, true);
        undo([this, number] { platform_.delayUpdates(number, false); });
      } else if (fault.kind == "discovery_split") {
        for (std::size_t server : fault.servers)
          platform_.hideServer(number, server);
        undo([this, number, &fault] {
          for (std::size_t server : fault.servers)
            platform_.showServer(number, server);
        });
      }
    }
    for (std::size_t server : serversOf(fault)) {
      if (fault.kind == "slow") {
        platform_.setSlowdown(server, fault.size);
        undo([this, server] { platform_.setSlowdown(server, 1); });
      } else if (fault.kind == "jam") {
        platform_.choke(server);
      } else if (fault.kind == "lost") {
        platform_.kill(server);
        undo([this, server] { platform_.start(server); });
      } else if (fault.kind == "cut") {
        platform_.setUnreachable(server, true);
        undo([this, server] { platform_.setUnreachable(server, false); });
      } else if (fault.kind == "drain") {
        platform_.drain(server);
        undo([this, server] {
          platform_.kill(server);
          runAfter(0.5, [this, server] { platform_.start(server); });
        });
      }
    }
  }
  void killGateway(FleetGateway& gateway, const Fault& fault) {
    gateway.process->stopRequested = true;
    gateway.process->send(SIGKILL);
    load_->gatewayKilled(gateway.number);
    runAfter(scenario_.frontendDetectionS.low, [this, &gateway, process = gateway.process] {
      if (gateway.process == process)
        load_->target(gateway.number).inRotation = false;
    });
    runAfter(fault.durationS, [this, &gateway] { restartGateway(gateway); });
  }
  void restartGateway(FleetGateway& gateway) {
    if (stopping_)
      return;
    start(gateway, [this, &gateway] {
      load_->target(gateway.number).inRotation = true;
      restartViewCheck();
    });
  }
  void terminateGateway(FleetGateway& gateway, const Fault& fault) {
    gateway.process->stopRequested = true;
    gateway.process->send(SIGTERM);
    runAfter(0.3, [this, &gateway] { load_->target(gateway.number).inRotation = false; });
    gateway.process->onExit = [this, &gateway, &fault] {
      runAfter(fault.durationS, [this, &gateway] { restartGateway(gateway); });
    };
  }
  void upgradeGateway(FleetGateway& gateway) {
    const auto old = gateway.process;
    gateway.process = spawn(gateway);
    gateway.process->onExit = [this, process = gateway.process.get()] {
      if (!process->stopRequested && !stopping_)
        reportCrash(*process);
    };
    awaitReady(gateway, gateway.process, clockNow() + kStartTimeout, [this, old] {
      old->stopRequested = true;
      old->send(SIGTERM);
      restartViewCheck();
    });
  }
  void reloadGateway(FleetGateway& gateway, const Fault& fault) {
    std::string text = configTextFor(gateway);
    if (fault.file == "broken")
      text += "\n[limits\n";
    if (fault.file == "changed")
      text +=
          "\n[[class]]\nname = \"added\"\neffect = \"safe\"\naim_ms = 500\ngive_up_ms = 900\nworth = "
          "1.0\nlate_share = 0.5\n";
    writeConfig(gateway, text);
    const std::string counter = fault.file == "broken" ? "reconfig_failed" : "reconfig_ok";
    readCounter(gateway, counter, [this, &gateway, counter](int before) {
      gateway.process->send(SIGHUP);
      runAfter(1, [this, &gateway, counter, before, process = gateway.process] {
        if (stopping_ || gateway.process != process)
          return;
        readCounter(gateway, counter, [this, &gateway, counter, before](int after) {
          if (after != before + 1)
            breach(Rule::check,
                   fmt::format("{} did not increment {} by one within 1 s of SIGHUP", gateway.name, counter));
        });
      });
    });
  }
  void readCounter(FleetGateway& gateway, const std::string& counter, std::function<void(int)> done) {
    httpGet(io_, gateway.management->endpoint(), "/ops/stats", std::chrono::seconds(1),
            [counter, done](int, const std::string& body) {
              const auto at = body.find("." + counter + "=");
              done(at == std::string::npos ? -1 : std::atoi(body.c_str() + at + counter.size() + 2));
            });
  }

  FleetResult verdict() {
    FleetResult all;
    Result& result = all.result;
    if (!interrupted_ && load_->started() > Time{} && scenario_.expectGoodput > 0) {
      const double goodput = load_->result().goodput;
      if (goodput < scenario_.expectGoodput)
        breach(Rule::check,
               fmt::format("goodput {:.3f}, expected at least {:.3f}", goodput, scenario_.expectGoodput));
    }
    result = load_->result();
    result.timeline = timeline_;
    all.timeline = timeline_;
    all.lagMs = lagMs_;
    all.cpuS = processorS_;
    all.memoryMb = peakMemoryMb_;
    all.verdict = interrupted_              ? Verdict::interrupted
                  : lagMs_ > kMaxLagMs      ? Verdict::voided
                  : result.breaches.empty() ? Verdict::pass
                                            : Verdict::fail;
    return all;
  }

  const Scenario& scenario_;
  const FleetPlan& plan_;
  DrawnDay day_;
  asio::io_context io_{1};
  ObserverProxy observer_;
  Platform platform_;
  std::unique_ptr<Load> load_;
  asio::signal_set signals_, children_;
  asio::steady_timer lagTimer_;
  Relay relay_;
  int viewCheck_ = 0;
  bool viewsAgree_ = true;
  fs::path dir_;
  bool ownDir_ = false, stopping_ = false, interrupted_ = false;
  std::vector<std::unique_ptr<FleetGateway>> gateways_;
  std::vector<std::shared_ptr<Process>> processes_;
  std::vector<std::string> timeline_;
  double lagMs_ = 0, processorS_ = 0, peakMemoryMb_ = 0;
};

const char* describe(Verdict verdict) {
  switch (verdict) {
    case Verdict::pass:
      return "pass";
    case Verdict::fail:
      return "fail";
    case Verdict::interrupted:
      return "interrupted";
    case Verdict::voided:
      return "void: the testbed itself was late";
  }
  return "?";
}

}  // namespace

std::string configOf(const Scenario& scenario, const DrawnDay& day, std::uint32_t number,
                     std::uint32_t gateways, const std::string& listen, const std::string& discovery,
                     const std::string& management, const std::string& membership) {
  const auto ms = [](Duration d) { return std::chrono::duration_cast<std::chrono::milliseconds>(d).count(); };
  std::string text = fmt::format(
      "name = \"gateway-{}\"\nlisten = \"{}\"\ndiscovery = \"{}\"\nmanagement = \"{}\"\nseed = \"{:x}\"\n\n"
      "[limits]\nmemory_mb = 64\nsockets = 1024\n\n{}"
      "[fleet]\ngateways = {}\nnumber = {}\nzone = \"{}\"\nwarm_keys = {}\ncandidates = {}\n\n"
      "[attempts]\nmost = {}\nsecond_copies = {}\ncancel = {}\nconnect_timeout_ms = {}\n"
      "idle_close_ms = {}\n\n[answers]\nretry_after = {}\nmax_retry_after_ms = {}\n\n"
      "[rules]\nask_within_ms = 10000\ncold_ms = {}\ncold_share = {}\nfall_multiple = {:.3f}\nfall_ms = {}\n",
      number, listen, discovery, management, 0x5eed0000 + number, membership, gateways, number,
      scenario.zones[number % scenario.zones.size()], scenario.keyAffinity, scenario.candidates,
      scenario.maxAttempts, scenario.allowHedging, scenario.cancel,
      static_cast<int>(scenario.connectTimeoutMs), static_cast<int>(scenario.idleTimeoutS * 1000),
      scenario.retryAfter, static_cast<int>(scenario.maxRetryAfterMs),
      static_cast<int>(scenario.slowStartS * 1000), scenario.slowStartInitialFraction,
      scenario.overloadMultiple, static_cast<int>(scenario.overloadWindowMs));
  for (const DrawnClass& drawnClass : day.classes) {
    const auto& settings = drawnClass.settings;
    text += fmt::format(
        "\n[[class]]\nname = \"{}\"\neffect = \"{}\"\naim_ms = {}\ngive_up_ms = {}\nworth = {:.3f}\n"
        "late_share = {:.3f}\n",
        settings.name,
        settings.idempotency == balancer::Idempotency::idempotent ? "safe"
        : settings.idempotency == balancer::Idempotency::keyed    ? "keyed"
                                                                  : "unsafe",
        ms(settings.latencyObjective), ms(settings.clientTimeout), settings.priorityWeight,
        settings.lateValueFraction);
    if (settings.idempotency == balancer::Idempotency::keyed)
      text += fmt::format("group = \"{}\"\nwindow_ms = {}\n",
                          settings.deduplicationScope == balancer::DeduplicationScope::all    ? "all"
                          : settings.deduplicationScope == balancer::DeduplicationScope::zone ? "zone"
                                                                                              : "cell",
                          ms(settings.deduplicationWindow));
  }
  return text;
}

FleetResult playFleet(const Scenario& scenario, const FleetPlan& plan) {
  return FleetTestbed(scenario, plan).run();
}

std::string textOf(const FleetResult& fleet) {
  const Result& result = fleet.result;
  std::string text = " s  calls  tries  refused  failed  in time  p50 ms  p99 ms\n";
  for (std::size_t i = 0; i < result.seconds.size(); ++i) {
    const Second& second = result.seconds[i];
    text += fmt::format("{:2}  {:5}  {:5}  {:7}  {:6}  {:7.3f}  {:6.1f}  {:6.1f}\n", i, second.calls,
                        second.requests, second.rejected, second.failed,
                        second.offeredValue > 0 ? second.inTimeValue / second.offeredValue : 1, second.p50,
                        second.p99);
  }
  text += fmt::format(
      "goodput {:.3f}, worst class {:.3f}, refused {:.3f}, failed {:.3f}; p50 {:.1f} ms, p99 "
      "{:.1f} ms; {} calls\n",
      result.goodput, result.worstClassGoodput, result.rejectedShare, result.failedShare, result.p50,
      result.p99, result.calls);
  text += fmt::format(
      "processes: {:.2f} s of processor time, {:.1f} MB at most; the testbed's own lag {:.0f} ms\n",
      fleet.cpuS, fleet.memoryMb, fleet.lagMs);
  for (const Breach& breach : result.breaches)
    text += lineOf(breach) + "\n";
  return text + "verdict: " + describe(fleet.verdict) + "\n";
}

std::string pageOf(const FleetResult& fleet) {
  std::string page =
      "<!doctype html><meta charset='utf-8'><title>" + escaped(fleet.result.scenario) +
      "</title><style>body{font:14px sans-serif;margin:2em}pre{font:12px monospace}.f{color:#b00;"
      "font-weight:bold}</style>\n<h1>" +
      escaped(fleet.result.scenario) + ": " + describe(fleet.verdict) + "</h1>\n<pre>" +
      escaped(textOf(fleet)) + "</pre>\n<h2>Timeline</h2>\n<pre>";
  for (const std::string& line : fleet.timeline) {
    const bool fault = line.find("FAULT") != std::string::npos;
    page += fault ? "<span class='f'>" + escaped(line) + "</span>\n" : escaped(line) + "\n";
  }
  return page + "</pre>\n";
}

}  // namespace hollyrun::lab
