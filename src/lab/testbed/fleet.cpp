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

constexpr auto kReadyLook = std::chrono::milliseconds(20);
constexpr Duration kReadyMost = std::chrono::seconds(15);
// After SIGTERM a gateway has the longest deadline and 0.7 s; a busy machine is given as much again.
constexpr Duration kEndMost = std::chrono::seconds(6);
// A loop so late hides or makes faults of the size that the checker looks for; such a run proves nothing.
constexpr double kLagMostMs = 250;
constexpr auto kLagLook = std::chrono::milliseconds(10);
constexpr std::size_t kLinesMost = 20000;
constexpr std::size_t kSeeds = 3;
constexpr int kStartsMost = 3;  // a port may be taken between its choice and its use

// A gateway of the fleet: an address that stays and the processes that serve it, two during an upgrade.
struct Member {
  Member(asio::io_context& io, std::uint32_t n) : number(n), name("gateway-" + std::to_string(n)), port(io) {}
  std::uint32_t number;
  std::string name;
  ReservedPort port;
  std::unique_ptr<ReservedPort> management;
  tcp::endpoint discovery;
  fs::path config, tmp;
  std::shared_ptr<Process> process;
  int starts = 0;
  bool held = false;  // by SIGSTOP
};

class FleetTestbed {
 public:
  FleetTestbed(const Scenario& scenario, const FleetPlan& plan)
      : s_(scenario),
        plan_(plan),
        day_(scenario, plan.seed),
        platform_(io_, scenario, plan.seed, &observer_),
        signals_(io_, SIGINT, SIGTERM),
        children_(io_, SIGCHLD),
        lag_(io_),
        relay_(io_, plan.seed) {
    for (const FaultSpec& t : scenario.faultSpecs)
      if (t.kind != "surge")
        throw std::runtime_error(t.location + ": trouble '" + t.kind +
                                 "' is for virtual time; on processes use [[fault]]");
    if (::access(plan.program.c_str(), X_OK) != 0)
      throw std::runtime_error("no program at " + plan.program);
    dir_ = plan.dir;
    if (dir_.empty()) {
      // Danger: a file renamed over another is written to the disk at once; that held the loop for 65 ms
      // alone and for 300 ms beside other runs, and voided them. In memory it does not, as with a gateway's
      // own folder.
      const fs::path memory = "/dev/shm";
      const fs::path base = ::access(memory.c_str(), W_OK) == 0 ? memory : fs::temp_directory_path();
      std::string pattern = (base / "hollyrun-fleet-XXXXXX").string();
      if (!::mkdtemp(pattern.data()))
        throw std::runtime_error("no temporary directory");
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

  FleetResult play() {
    watchSignals();
    watchChildren();
    const auto count = static_cast<std::uint32_t>(std::lround(s_.gateways.low));
    std::vector<Target> targets;
    for (std::uint32_t i = 0; i < count; ++i) {
      members_.push_back(std::make_unique<Member>(io_, i));
      Member& m = *members_.back();
      m.discovery = platform_.addAgent();
      m.tmp = dir_ / (m.name + ".tmp");
      m.config = dir_ / (m.name + ".toml");
      fs::create_directories(m.tmp);
      if (s_.membershipPeriodMs > 0)
        relay_.add();
      targets.push_back({m.name, m.port.endpoint(), i % static_cast<std::uint32_t>(s_.zones.size()), true});
    }
    load_ = std::make_unique<Load>(io_, s_, plan_.seed, LoadPlan{plan_.rate, s_.durationS, {}},
                                   platform_.capacity(), std::move(targets));
    observer_.load = load_.get();
    for (auto& m : members_)
      start(*m, [this] { began(); });
    io_.run();
    killAll();
    return verdict();
  }

 private:
  // The platform is there before the load that can tell it who sent what.
  struct Forward final : AttemptObserver {
    Load* load = nullptr;
    const OnTheWire* find(std::uint64_t id) const override { return load ? load->find(id) : nullptr; }
    Checker& checker() override { return load ? load->checker() : early; }
    Checker early{RuleTolerances{}};
  };

  double since() const {
    return load_ && load_->started() > Time{} ? inSeconds(clockNow() - load_->started()) : 0;
  }
  void note(const std::string& text) {
    if (timeline_.size() < kLinesMost)
      timeline_.push_back(fmt::format("{:8.3f}  {}", since(), text));
  }
  void breach(Rule rule, const std::string& what) {
    load_->checker().addBreach(rule, clockNow(), 0, "", what);
  }
  void later(double s, std::function<void()> call) {
    auto timer = std::make_shared<asio::steady_timer>(io_);
    timer->expires_after(seconds(s));
    timer->async_wait([timer, call = std::move(call)](error_code ec) {
      if (!ec)
        call();
    });
  }

  // --- Processes ---

  void writeConfig(Member& m, const std::string& text) {
    const fs::path next = m.config.string() + ".next";
    std::ofstream(next) << text;
    fs::rename(next, m.config);
  }
  std::string configFor(const Member& m) const {
    return configOf(s_, day_, m.number, static_cast<std::uint32_t>(members_.size()),
                    textOf(m.port.endpoint()), textOf(m.discovery), textOf(m.management->endpoint()),
                    membershipOf(m));
  }
  // The first three are seeds: one of them is there in all but the worst of faults.
  std::string membershipOf(const Member& m) const {
    if (s_.membershipPeriodMs <= 0)
      return {};
    std::string seeds;
    for (std::size_t i = 0; i < std::min(kSeeds, members_.size()); ++i)
      seeds += fmt::format("{}\"{}\"", i ? ", " : "", textOf(relay_.advertised(i)));
    return fmt::format("[membership]\nlisten = \"{}\"\nadvertise = \"{}\"\nseeds = [{}]\nperiod_ms = {}\n\n",
                       textOf(relay_.listen(m.number)), textOf(relay_.advertised(m.number)), seeds,
                       static_cast<int>(s_.membershipPeriodMs));
  }
  std::shared_ptr<Process> spawn(Member& m) {
    m.management = std::make_unique<ReservedPort>(io_);
    writeConfig(m, configFor(m));
    auto p = std::make_shared<Process>(io_, m.name);
    p->onOutputLine = [this, name = m.name](const std::string& line) { note(name + ": " + line); };
    p->start(plan_.program,
             {"GW_CONFIG=" + m.config.string(), "GW_NAME=" + m.name, "GW_LISTEN=" + textOf(m.port.endpoint()),
              "GW_DISCOVERY=" + textOf(m.discovery), "GW_MANAGEMENT=" + textOf(m.management->endpoint()),
              "TMPDIR=" + m.tmp.string()});
    processes_.push_back(p);
    return p;
  }
  void start(Member& m, std::function<void()> ready) {
    ++m.starts;
    m.process = spawn(m);
    load_->checker().gatewayRestarted(m.number);
    m.process->onExit = [this, &m, p = m.process.get(), ready] { overAsItStarted(m, *p, ready); };
    awaitReady(m, m.process, clockNow() + kReadyMost, ready);
  }
  void overAsItStarted(Member& m, Process& p, const std::function<void()>& ready) {
    if (p.stopRequested || stopping_)
      return;
    if (p.ready)
      return crashed(p);
    if (p.lastLine.find("in use") != std::string::npos && m.starts < kStartsMost) {
      note(m.name + " found its address taken and is started again");
      return start(m, ready);
    }
    breach(Rule::crash, fmt::format("{} ended with {} as it started: {}", m.name, p.exitCode, p.lastLine));
    end();
  }
  void crashed(Process& p) {
    breach(Rule::crash, fmt::format("{} ended with {} unasked: {}", p.name, p.exitCode, p.lastLine));
  }
  void awaitReady(Member& m, const std::shared_ptr<Process>& p, Time most, std::function<void()> ready) {
    if (p->ended || stopping_)
      return;
    if (clockNow() > most) {
      breach(Rule::crash, m.name + " neither ended nor became ready");
      return end();
    }
    httpGet(io_, m.management->endpoint(), "/ops/readiness", std::chrono::seconds(1),
            [this, &m, p, most, ready](int status, const std::string&) {
              if (status == 200) {
                p->ready = true;
                note(m.name + " is ready");
                return ready();
              }
              later(inSeconds(kReadyLook), [this, &m, p, most, ready] { awaitReady(m, p, most, ready); });
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
    for (const auto& p : std::vector<std::shared_ptr<Process>>(processes_)) {
      int status = 0;
      rusage used{};
      if (p->ended || ::wait4(p->pid, &status, WNOHANG, &used) != p->pid)
        continue;
      p->ended = true;
      p->exitCode = WIFEXITED(status) ? WEXITSTATUS(status) : 128 + WTERMSIG(status);
      cpu_ += static_cast<double>(used.ru_utime.tv_sec + used.ru_stime.tv_sec) +
              1e-6 * static_cast<double>(used.ru_utime.tv_usec + used.ru_stime.tv_usec);
      memory_ = std::max(memory_, static_cast<double>(used.ru_maxrss) / 1024);
      note(fmt::format("{} ended with {}", p->name, p->exitCode));
      // What it said last is still in its pipe.
      asio::post(io_, [this, p] {
        // One that is ended before it has a handler for the signal dies of it.
        if (p->stopRequested && p->ready && p->exitCode != 0 && p->exitCode != 128 + SIGKILL)
          crashed(*p);
        else if (p->onExit)
          p->onExit();
        if (stopping_ && allEnded())
          io_.stop();
      });
    }
  }
  bool allEnded() const {
    return std::all_of(processes_.begin(), processes_.end(), [](const auto& p) { return p->ended; });
  }
  void killAll() {
    for (const auto& p : processes_) {
      if (p->ended)
        continue;
      ::kill(p->pid, SIGKILL);
      ::waitpid(p->pid, nullptr, 0);
      p->ended = true;
    }
  }

  // --- The day ---

  void began() {
    if (load_->started() > Time{} || stopping_)
      return;
    for (const auto& m : members_)
      if (!m->process->ready)
        return;
    note("all are ready, clients come");
    watchViews();
    watchLag(clockNow() + kLagLook);
    load_->start([this] { end(); });
    for (const Fault& f : s_.faults)
      later(f.atS, [this, &f] { injectFault(f); });
    later(s_.durationS - 0.1, [this] { lastLook(); });
    // Danger: a load that never settles would keep the testbed; past every deadline nothing is open.
    later(s_.durationS + day_.longestClientTimeout + 3, [this] { end(); });
  }
  void watchLag(Time due) {
    lag_.expires_after(due - clockNow());
    lag_.async_wait([this, due](error_code ec) {
      if (ec || stopping_)
        return;
      lagMs_ = std::max(lagMs_, inSeconds(clockNow() - due) * 1000);
      watchLag(clockNow() + kLagLook);
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
    note("the day ends");
    load_->stop();
    for (const auto& p : processes_)
      p->stopRequested = true, p->send(SIGCONT), p->send(SIGTERM);
    if (allEnded())
      io_.stop();
    later(inSeconds(kEndMost), [this] {
      for (const auto& p : processes_)
        if (!p->ended)
          breach(Rule::crash, p->name + " did not end after SIGTERM");
      io_.stop();
    });
  }

  // --- Views of the fleet ---

  // From a fault or its end on, all that are there have to see each other, and nobody else, in time.
  void watchViews() {
    if (s_.expectAgreeS <= 0 || stopping_)
      return;
    const int watch = ++viewWatch_;
    lookAtViews(watch, clockNow(), clockNow() + seconds(s_.expectAgreeS));
  }
  void lookAtViews(int watch, Time from, Time most) {
    if (stopping_ || watch != viewWatch_)
      return;
    auto views = std::make_shared<std::map<std::string, std::string>>();
    auto waited = std::make_shared<std::size_t>(members_.size());
    for (const auto& m : members_)
      httpGet(io_, m->management->endpoint(), "/ops/fleet", std::chrono::milliseconds(500),
              [this, watch, from, most, views, waited, name = m->name](int status, const std::string& body) {
                if (status == 200)
                  (*views)[name] = body;
                if (--*waited == 0)
                  judgeViews(watch, from, most, *views);
              });
  }
  void judgeViews(int watch, Time from, Time most, const std::map<std::string, std::string>& views) {
    if (stopping_ || watch != viewWatch_)
      return;
    std::string why;
    std::set<std::string> digests, there;
    for (const auto& m : members_)
      if (!m->process->ended && !m->held)
        there.insert(m->name);
    for (const std::string& name : there) {
      const auto it = views.find(name);
      const auto view = nlohmann::json::parse(it == views.end() ? "" : it->second, nullptr, false);
      if (view.is_discarded()) {
        why = name + " tells nothing of its fleet";
        continue;
      }
      digests.insert(view.value("view", std::string()));
      std::set<std::string> sees;
      for (const auto& one : view.value("members", nlohmann::json::array())) {
        const std::string state = one.value("state", std::string());
        if (state != "dead" && state != "left")
          sees.insert(one.value("name", std::string()));
      }
      if (sees != there)
        why = fmt::format("{} sees {} of {}", name, sees.size(), there.size());
    }
    if (why.empty() && digests.size() > 1)
      why = fmt::format("{} different views", digests.size());
    if (why.empty()) {
      viewsAgree_ = true;
      return note(fmt::format("all {} see the same fleet, {:.2f} s after the last fault", there.size(),
                              inSeconds(clockNow() - from)));
    }
    viewsAgree_ = false;
    if (clockNow() > most)
      return breach(Rule::check,
                    fmt::format("views differ {:.1f} s after the last fault: {}", s_.expectAgreeS, why));
    later(0.05, [this, watch, from, most] { lookAtViews(watch, from, most); });
  }
  // Danger: a scenario that ends within the time that the views have would pass whatever they show.
  void lastLook() {
    if (s_.expectAgreeS > 0 && !stopping_ && !viewsAgree_)
      breach(Rule::check, "the day ends before the views agree");
  }

  // --- Faults ---

  // Datagrams of these members, or of all, with others: `size` is a share, or milliseconds of delay.
  void network(const Fault& f, bool on) {
    std::set<std::size_t> of;
    for (const std::size_t g : gatewaysOf(f))
      of.insert(g);
    for (std::size_t a = 0; a < members_.size(); ++a)
      for (std::size_t b = 0; b < members_.size(); ++b) {
        if (a == b)
          continue;
        const bool from = of.count(a) > 0, to = of.count(b) > 0;
        if (f.kind == "net_mute" && from)
          relay_.cut(a, b, on);
        else if (f.kind == "net_deaf" && to)
          relay_.cut(a, b, on);
        else if (f.kind == "net_split" && from != to)
          relay_.cut(a, b, on);
        if (!(from || to) || f.kind == "net_mute" || f.kind == "net_deaf" || f.kind == "net_split")
          continue;
        LinkConditions w;
        w.minDelayMs = w.maxDelayMs = 0;
        if (on && f.kind == "net_loss")
          w.loss = f.size;
        if (on && f.kind == "net_copies")
          w.duplication = f.size;
        if (on && f.kind == "net_spoils")
          w.corruption = f.size;
        if (on && f.kind == "net_delay")
          w.maxDelayMs = f.size;  // drawn from none to that: they overtake each other
        relay_.set(a, b, w);
      }
  }

  std::vector<std::size_t> gatewaysOf(const Fault& f) const {
    if (!f.gateways.empty())
      return f.gateways;
    std::vector<std::size_t> all;
    for (const auto& m : members_)
      if (f.zone.empty() || s_.zones[m->number % s_.zones.size()] == f.zone)
        all.push_back(m->number);
    return all;
  }
  std::vector<std::size_t> serversOf(const Fault& f) const {
    if (!f.servers.empty())
      return f.servers;
    std::vector<std::size_t> all;
    for (std::size_t i = 0; i < platform_.servers(); ++i)
      if (f.zone.empty() || platform_.zoneOf(i) == f.zone)
        all.push_back(i);
    return all;
  }
  void injectFault(const Fault& f) {
    if (stopping_)
      return;
    std::string whom = f.zone.empty() ? "" : " zone " + f.zone;
    for (std::size_t g : f.gateways)
      whom += " gateway-" + std::to_string(g);
    for (std::size_t i : f.servers)
      whom += " server " + std::to_string(i);
    note("FAULT " + f.kind + whom);
    // Under these views may differ; they have to agree once it is over.
    ++viewWatch_;
    viewsAgree_ = s_.expectAgreeS <= 0;
    if (f.durationS <= 0 || f.kind == "kill" || f.kind == "term")
      watchViews();
    const auto undo = [this, &f](std::function<void()> call) {
      later(f.durationS, [this, &f, call] {
        if (stopping_)
          return;
        note("FAULT " + f.kind + " ends");
        call();
        watchViews();
      });
    };
    if (f.kind.starts_with("net_")) {
      network(f, true);
      return undo([this, &f] { network(f, false); });
    }
    for (std::size_t g : gatewaysOf(f)) {
      Member& m = *members_[g];
      if (f.kind == "kill")
        killed(m, f);
      else if (f.kind == "term")
        terminated(m, f);
      else if (f.kind == "stop") {
        m.process->send(SIGSTOP);
        m.held = true;
        load_->heldUp(m.number, true);
        undo([this, &m] {
          m.process->send(SIGCONT);
          m.held = false;
          load_->heldUp(m.number, false);
        });
      } else if (f.kind == "upgrade")
        upgraded(m);
      else if (f.kind == "hup")
        hangUp(m, f);
      else if (f.kind == "discovery_silent") {
        platform_.silence(g, true);
        undo([this, g] { platform_.silence(g, false); });
      } else if (f.kind == "discovery_late") {
        platform_.hold(g, true);
        undo([this, g] { platform_.hold(g, false); });
      } else if (f.kind == "discovery_split") {
        for (std::size_t i : f.servers)
          platform_.forgetFor(g, i);
        undo([this, g, &f] {
          for (std::size_t i : f.servers)
            platform_.recall(g, i);
        });
      }
    }
    for (std::size_t i : serversOf(f)) {
      if (f.kind == "slow") {
        platform_.slow(i, f.size);
        undo([this, i] { platform_.slow(i, 1); });
      } else if (f.kind == "jam") {
        platform_.jam(i);
      } else if (f.kind == "lost") {
        platform_.kill(i);
        undo([this, i] { platform_.start(i); });
      } else if (f.kind == "cut") {
        platform_.cut(i, true);
        undo([this, i] { platform_.cut(i, false); });
      } else if (f.kind == "drain") {
        platform_.drain(i);
        undo([this, i] {
          platform_.kill(i);
          later(0.5, [this, i] { platform_.start(i); });
        });
      }
    }
  }
  void killed(Member& m, const Fault& f) {
    m.process->stopRequested = true;
    m.process->send(SIGKILL);
    load_->released(m.number);
    later(s_.frontendDetectionS.low, [this, &m, p = m.process] {
      if (m.process == p)
        load_->target(m.number).known = false;
    });
    later(f.durationS, [this, &m] { back(m); });
  }
  void back(Member& m) {
    if (stopping_)
      return;
    start(m, [this, &m] {
      load_->target(m.number).known = true;
      watchViews();
    });
  }
  void terminated(Member& m, const Fault& f) {
    m.process->stopRequested = true;
    m.process->send(SIGTERM);
    later(0.3, [this, &m] { load_->target(m.number).known = false; });
    m.process->onExit = [this, &m, &f] { later(f.durationS, [this, &m] { back(m); }); };
  }
  void upgraded(Member& m) {
    const auto old = m.process;
    m.process = spawn(m);
    m.process->onExit = [this, p = m.process.get()] {
      if (!p->stopRequested && !stopping_)
        crashed(*p);
    };
    awaitReady(m, m.process, clockNow() + kReadyMost, [this, old] {
      old->stopRequested = true;
      old->send(SIGTERM);
      watchViews();
    });
  }
  void hangUp(Member& m, const Fault& f) {
    std::string text = configFor(m);
    if (f.file == "broken")
      text += "\n[limits\n";
    if (f.file == "changed")
      text +=
          "\n[[class]]\nname = \"added\"\neffect = \"safe\"\naim_ms = 500\ngive_up_ms = 900\nworth = "
          "1.0\nlate_share = 0.5\n";
    writeConfig(m, text);
    const std::string figure = f.file == "broken" ? "reconfig_failed" : "reconfig_ok";
    countOf(m, figure, [this, &m, figure](int before) {
      m.process->send(SIGHUP);
      later(1, [this, &m, figure, before, p = m.process] {
        if (stopping_ || m.process != p)
          return;
        countOf(m, figure, [this, &m, figure, before](int after) {
          if (after != before + 1)
            breach(Rule::check,
                   fmt::format("{} did not count one {} more a second after SIGHUP", m.name, figure));
        });
      });
    });
  }
  void countOf(Member& m, const std::string& figure, std::function<void(int)> done) {
    httpGet(io_, m.management->endpoint(), "/ops/stats", std::chrono::seconds(1),
            [figure, done](int, const std::string& body) {
              const auto at = body.find("." + figure + "=");
              done(at == std::string::npos ? -1 : std::atoi(body.c_str() + at + figure.size() + 2));
            });
  }

  FleetResult verdict() {
    FleetResult all;
    Result& r = all.result;
    if (!interrupted_ && load_->started() > Time{} && s_.expectGoodput > 0) {
      const double got = load_->result().goodput;
      if (got < s_.expectGoodput)
        breach(Rule::check, fmt::format("goodput {:.3f}, expected {:.3f}", got, s_.expectGoodput));
    }
    r = load_->result();
    r.timeline = timeline_;
    all.timeline = timeline_;
    all.lagMs = lagMs_;
    all.cpuS = cpu_;
    all.memoryMb = memory_;
    all.verdict = interrupted_          ? Verdict::interrupted
                  : lagMs_ > kLagMostMs ? Verdict::voided
                  : r.breaches.empty()  ? Verdict::pass
                                        : Verdict::fail;
    return all;
  }

  const Scenario& s_;
  const FleetPlan& plan_;
  DrawnDay day_;
  asio::io_context io_{1};
  Forward observer_;
  Platform platform_;
  std::unique_ptr<Load> load_;
  asio::signal_set signals_, children_;
  asio::steady_timer lag_;
  Relay relay_;
  int viewWatch_ = 0;
  bool viewsAgree_ = true;
  fs::path dir_;
  bool ownDir_ = false, stopping_ = false, interrupted_ = false;
  std::vector<std::unique_ptr<Member>> members_;
  std::vector<std::shared_ptr<Process>> processes_;
  std::vector<std::string> timeline_;
  double lagMs_ = 0, cpu_ = 0, memory_ = 0;
};

const char* wordOf(Verdict v) {
  switch (v) {
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

std::string configOf(const Scenario& s, const DrawnDay& day, std::uint32_t number, std::uint32_t gateways,
                     const std::string& listen, const std::string& discovery, const std::string& management,
                     const std::string& membership) {
  const auto ms = [](Duration d) { return std::chrono::duration_cast<std::chrono::milliseconds>(d).count(); };
  std::string text = fmt::format(
      "name = \"gateway-{}\"\nlisten = \"{}\"\ndiscovery = \"{}\"\nmanagement = \"{}\"\nseed = \"{:x}\"\n\n"
      "[limits]\nmemory_mb = 64\nsockets = 1024\n\n{}"
      "[fleet]\ngateways = {}\nnumber = {}\nzone = \"{}\"\nwarm_keys = {}\ncandidates = {}\n\n"
      "[attempts]\nmost = {}\nsecond_copies = {}\ncancel = {}\nconnect_timeout_ms = {}\n"
      "idle_close_ms = {}\n\n[answers]\nretry_after = {}\nmax_retry_after_ms = {}\n\n"
      "[rules]\nask_within_ms = 10000\ncold_ms = {}\ncold_share = {}\nfall_multiple = {:.3f}\nfall_ms = {}\n",
      number, listen, discovery, management, 0x5eed0000 + number, membership, gateways, number,
      s.zones[number % s.zones.size()], s.keyAffinity, s.candidates, s.maxAttempts, s.allowHedging, s.cancel,
      static_cast<int>(s.connectTimeoutMs), static_cast<int>(s.idleTimeoutS * 1000), s.retryAfter,
      static_cast<int>(s.maxRetryAfterMs), static_cast<int>(s.slowStartS * 1000), s.slowStartInitialFraction,
      s.overloadMultiple, static_cast<int>(s.overloadWindowMs));
  for (const DrawnClass& c : day.classes) {
    const auto& set = c.settings;
    text += fmt::format(
        "\n[[class]]\nname = \"{}\"\neffect = \"{}\"\naim_ms = {}\ngive_up_ms = {}\nworth = {:.3f}\n"
        "late_share = {:.3f}\n",
        set.name,
        set.idempotency == balancer::Idempotency::idempotent ? "safe"
        : set.idempotency == balancer::Idempotency::keyed    ? "keyed"
                                                             : "unsafe",
        ms(set.latencyObjective), ms(set.clientTimeout), set.priorityWeight, set.lateValueFraction);
    if (set.idempotency == balancer::Idempotency::keyed)
      text += fmt::format("group = \"{}\"\nwindow_ms = {}\n",
                          set.deduplicationScope == balancer::DeduplicationScope::all    ? "all"
                          : set.deduplicationScope == balancer::DeduplicationScope::zone ? "zone"
                                                                                         : "cell",
                          ms(set.deduplicationWindow));
  }
  return text;
}

FleetResult playFleet(const Scenario& scenario, const FleetPlan& plan) {
  return FleetTestbed(scenario, plan).play();
}

std::string textOf(const FleetResult& f) {
  const Result& r = f.result;
  std::string text = " s  calls  tries  refused  failed  in time  p50 ms  p99 ms\n";
  for (std::size_t i = 0; i < r.seconds.size(); ++i) {
    const Second& s = r.seconds[i];
    text += fmt::format("{:2}  {:5}  {:5}  {:7}  {:6}  {:7.3f}  {:6.1f}  {:6.1f}\n", i, s.calls, s.requests,
                        s.rejected, s.failed, s.offeredValue > 0 ? s.inTimeValue / s.offeredValue : 1, s.p50,
                        s.p99);
  }
  text += fmt::format(
      "goodput {:.3f}, worst class {:.3f}, refused {:.3f}, failed {:.3f}; p50 {:.1f} ms, p99 "
      "{:.1f} ms; {} calls\n",
      r.goodput, r.worstClassGoodput, r.rejectedShare, r.failedShare, r.p50, r.p99, r.calls);
  text += fmt::format(
      "processes: {:.2f} s of processor time, {:.1f} MB at most; the testbed's own lag {:.0f} ms\n", f.cpuS,
      f.memoryMb, f.lagMs);
  for (const Breach& b : r.breaches)
    text += lineOf(b) + "\n";
  return text + "verdict: " + wordOf(f.verdict) + "\n";
}

std::string pageOf(const FleetResult& f) {
  std::string page =
      "<!doctype html><meta charset='utf-8'><title>" + escaped(f.result.scenario) +
      "</title><style>body{font:14px sans-serif;margin:2em}pre{font:12px monospace}.f{color:#b00;"
      "font-weight:bold}</style>\n<h1>" +
      escaped(f.result.scenario) + ": " + wordOf(f.verdict) + "</h1>\n<pre>" + escaped(textOf(f)) +
      "</pre>\n<h2>What happened</h2>\n<pre>";
  for (const std::string& line : f.timeline) {
    const bool fault = line.find("FAULT") != std::string::npos;
    page += fault ? "<span class='f'>" + escaped(line) + "</span>\n" : escaped(line) + "\n";
  }
  return page + "</pre>\n";
}

}  // namespace hollyrun::lab
