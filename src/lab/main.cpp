// hollyrun-lab: plays scenarios of the platform with the decision module or a plain policy.
//
// Exit codes: 0 all well; 1 a rule was broken (a line each on standard output); 2 the command line, a
// scenario or a file is wrong (the reason on standard error); 3 a run on processes is void, for this machine
// was late itself; 130 interrupted.
#include <spdlog/fmt/fmt.h>
#include <spdlog/sinks/stdout_color_sinks.h>
#include <spdlog/spdlog.h>

#include <CLI/CLI.hpp>
#include <chrono>
#include <cstdio>
#include <fstream>
#include <map>

#include "lab/report/experiment.hpp"
#include "lab/report/report.hpp"
#include "lab/report/store.hpp"
#include "lab/rig/fleet.hpp"
#include "lab/rig/load.hpp"
#include "lab/rig/platform.hpp"
#include "lab/rig/scale_command.hpp"
#include "lab/simulation/cost.hpp"
#include "lab/simulation/explore.hpp"
#include "lab/simulation/member_faults.hpp"
#include "lab/simulation/members.hpp"
#include "lab/simulation/scenario.hpp"
#include "lab/soak/soak_command.hpp"

using namespace hollyrun::lab;

namespace {

constexpr int kBroken = 1, kWrong = 2, kVoid = 3, kInterrupted = 130;

struct Options {
  std::vector<std::string> files, set;
  std::string policy = "module", seeds = "1", label = "run", db, a = "module", b = "random", vary, out;
  std::vector<std::int64_t> ids;
  unsigned threads = 0;
  bool series = false, text = false, log = false, trace = false;
  std::string program = "build/hollyrun", dir, config, cls;
  std::vector<std::string> to;
  double rate = 0, seconds = 0;
  std::uint64_t seed = 1;
  std::vector<std::size_t> sizes{3, 30, 300};
  std::vector<double> losses{0, 0.05, 0.3};
  std::size_t kills = 20;
  std::vector<std::string> memberFaults;
  int apart = 300;
  unsigned depth = 0, crashes = 1;
  std::vector<std::size_t> hosts{200, 1000, 4800}, tenants{0, 27000};
  CostSettings cost;
};

// An arm of a comparison: `policy`, `policy,key=value,...`, or `@label` of a file of results.
struct Arm {
  std::string name, policy = "module", label;
  std::vector<std::string> set;
  explicit Arm(const std::string& text) : name(text) {
    if (text.starts_with("@")) {
      label = text.substr(1);
      return;
    }
    std::vector<std::string> parts;
    std::size_t from = 0;
    int depth = 0;  // commas within [..] or {..} belong to a value
    for (std::size_t i = 0; i <= text.size(); ++i) {
      const char c = i < text.size() ? text[i] : ',';
      if (c == '[' || c == '{')
        ++depth;
      if (c == ']' || c == '}')
        --depth;
      if (i < text.size() && (c != ',' || depth > 0))
        continue;
      parts.push_back(text.substr(from, i - from));
      from = i + 1;
    }
    policy = parts.front();
    policyNamed(policy);  // throws on an unknown one
    set.assign(parts.begin() + 1, parts.end());
  }
};

class Progress {
 public:
  explicit Progress(std::size_t all) : all_(all), told_(std::chrono::steady_clock::now()) {}
  void operator()(std::size_t done) {
    const auto now = std::chrono::steady_clock::now();
    if (now - told_ < std::chrono::seconds(2))
      return;
    told_ = now;
    spdlog::info("{} of {} days played", done, all_);
  }

 private:
  std::size_t all_;
  std::chrono::steady_clock::time_point told_;
};

// Every scenario with every seed.
std::vector<Result> playAll(const std::vector<Scenario>& scenarios, const std::string& policy,
                            const Options& o) {
  std::vector<Day> days;
  for (const Scenario& s : scenarios)
    for (std::uint64_t seed : seedsFrom(o.seeds))
      days.push_back({&s, policy, seed});
  Progress progress(days.size());
  return hollyrun::lab::playAll(days, o.threads, o.series, std::ref(progress));
}

std::vector<std::string> merged(const std::vector<std::string>& a, const std::vector<std::string>& b) {
  std::vector<std::string> all = a;
  all.insert(all.end(), b.begin(), b.end());
  return all;
}

int breachesOf(const std::vector<Result>& results) {
  int code = 0;
  for (const Result& r : results)
    for (const Breach& b : r.breaches) {
      if (r.policy != "module")
        continue;  // a plain policy is a yardstick, not on trial
      fmt::print("{} seed {}: {}\n", r.scenario, r.seed, lineOf(b));
      code = kBroken;
    }
  return code;
}

void keep(const Options& o, const std::vector<Result>& results) {
  if (o.db.empty())
    return;
  Store(o.db).put(o.label, results, o.series);
}

void header() {
  fmt::print(
      "scenario policy seed G whole worst10s worst_class refused failed jammed p50_ms p99_ms digest\n");
}

int check(const Options& o) {
  int code = 0;
  for (const std::string& file : o.files) {
    try {
      readScenario(file, o.set);
      fmt::print("{}: good\n", file);
    } catch (const ScenarioError& e) {
      fmt::print(stderr, "{}\n", e.what());
      code = kWrong;
    }
  }
  return code;
}

int run(const Options& o) {
  std::vector<Scenario> scenarios;
  for (const std::string& file : o.files)
    scenarios.push_back(readScenario(file, o.set));
  policyNamed(o.policy);
  const std::vector<Result> results = playAll(scenarios, o.policy, o);
  keep(o, results);
  if (results.size() == 1 || o.text) {
    for (const Result& r : results) {
      fmt::print("{}", textOf(r));
      if (o.log)
        for (const std::string& line : r.said)
          fmt::print("{}\n", line);
    }
    if (results.size() == 1)
      return results.front().breaches.empty() || o.policy != "module" ? 0 : kBroken;
  }
  header();
  std::vector<double> all;
  for (const Result& r : results)
    fmt::print("{}\n", lineOf(r)), all.push_back(r.g);
  const Estimate e = estimate(all);
  fmt::print("mean G {:.4f} -+ {:.4f} over {} days\n", e.mean, e.half, e.count);
  return breachesOf(results);
}

// The arm's results by scenario and seed: played, or as they were kept.
std::map<std::pair<std::string, std::uint64_t>, Result> resultsOf(const Arm& arm, const Options& o,
                                                                  int& code) {
  std::map<std::pair<std::string, std::uint64_t>, Result> all;
  if (!arm.label.empty()) {
    if (o.db.empty())
      throw std::runtime_error("@" + arm.label + " needs --db");
    for (StoredRun& kept : Store(o.db).runs(arm.label))
      all.insert_or_assign({kept.result.scenario, kept.result.seed}, std::move(kept.result));
    if (all.empty())
      throw std::runtime_error("no runs are kept under '" + arm.label + "'");
    return all;
  }
  std::vector<Scenario> scenarios;
  for (const std::string& file : o.files)
    scenarios.push_back(readScenario(file, merged(o.set, arm.set)));
  const std::vector<Result> results = playAll(scenarios, arm.policy, o);
  code = std::max(code, breachesOf(results));
  for (const Result& r : results)
    all.insert_or_assign({r.scenario, r.seed}, r);
  return all;
}

int compare(const Options& o) {
  const Arm armA(o.a), armB(o.b);
  int code = 0;
  const auto a = resultsOf(armA, o, code), b = resultsOf(armB, o, code);
  const std::pair<const char*, double (*)(const Result&)> figures[] = {
      {"G", [](const Result& r) { return r.g; }},
      {"whole day", [](const Result& r) { return r.whole; }},
      {"worst 10 s", [](const Result& r) { return r.worstWindow; }},
      {"worst class", [](const Result& r) { return r.worstClass; }},
      {"refused", [](const Result& r) { return r.refusedShare; }},
      {"failed", [](const Result& r) { return r.failedShare; }},
      {"jammed", [](const Result& r) { return r.chokedShare; }},
      {"p99 ms", [](const Result& r) { return r.p99; }}};
  std::vector<std::string> names{""};  // all scenarios together, and each
  for (const auto& [key, r] : a)
    if (names.back() != key.first)
      names.push_back(key.first);
  if (names.size() == 2)
    names.erase(names.begin());
  fmt::print("a = {}, b = {}; difference a - b with its 95 % confidence interval\n", armA.name, armB.name);
  for (const std::string& name : names) {
    fmt::print("{}\n", name.empty() ? "all scenarios" : name);
    for (const auto& [figure, of] : figures) {
      std::vector<double> as, bs, differences;
      for (const auto& [key, r] : a) {
        const auto other = b.find(key);
        if (other == b.end() || (!name.empty() && key.first != name))
          continue;
        as.push_back(of(r));
        bs.push_back(of(other->second));
        differences.push_back(as.back() - bs.back());
      }
      if (differences.empty())
        throw std::runtime_error("the two arms have no scenario and seed in common");
      const Estimate e = estimate(differences);
      const char* verdict = std::abs(e.mean) <= e.half ? "not told apart"
                            : e.mean > 0               ? "a higher"
                                                       : "b higher";
      fmt::print("  {:<12} a {:>9.4f}  b {:>9.4f}  a - b {:>+9.4f} -+ {:.4f}  {} up, {} down of {}  {}\n",
                 figure, estimate(as).mean, estimate(bs).mean, e.mean, e.half, e.better, e.worse, e.count,
                 verdict);
    }
  }
  return code;
}

int sweep(const Options& o) {
  const std::size_t equals = o.vary.find('=');
  if (equals == std::string::npos)
    throw std::runtime_error("--vary wants KEY=VALUE,VALUE,...");
  const std::string key = o.vary.substr(0, equals);
  const Arm values("module," + o.vary.substr(equals + 1));  // the same splitting at commas
  fmt::print("{} policy G mean half refused failed jammed p99_ms\n", key);
  int code = 0;
  std::string policies = o.policy + ",";
  for (const std::string& value : values.set) {
    for (std::size_t from = 0, to; (to = policies.find(',', from)) != std::string::npos; from = to + 1) {
      const std::string policy = policies.substr(from, to - from);
      policyNamed(policy);
      std::vector<Scenario> scenarios;
      for (const std::string& file : o.files)
        scenarios.push_back(readScenario(file, merged(o.set, {key + "=" + value})));
      const std::vector<Result> results = playAll(scenarios, policy, o);
      keep(o, results);
      code = std::max(code, breachesOf(results));
      std::vector<double> g, refused, failed, jammed, p99;
      for (const Result& r : results) {
        g.push_back(r.g), refused.push_back(r.refusedShare), failed.push_back(r.failedShare);
        jammed.push_back(r.chokedShare), p99.push_back(r.p99);
      }
      const Estimate e = estimate(g);
      fmt::print("{} {} {:.4f} {:.4f} {:.4f} {:.4f} {:.4f} {:.1f}\n", value, policy, e.mean, e.half,
                 estimate(refused).mean, estimate(failed).mean, estimate(jammed).mean, estimate(p99).mean);
    }
  }
  return code;
}

int report(const Options& o) {
  Store store(o.db);
  std::vector<StoredRun> runs;
  if (o.ids.empty())
    for (const StoredRun& r : store.runs(o.label == "run" ? "" : o.label))
      runs.push_back(r);
  for (std::int64_t id : o.ids)
    runs.push_back(store.run(id));
  if (runs.empty())
    throw std::runtime_error(o.db + " holds no such runs");
  if (o.out.empty()) {
    fmt::print("run label ");
    header();
    for (const StoredRun& r : runs)
      fmt::print("{} {} {}\n", r.id, r.label, lineOf(r.result));
    return 0;
  }
  std::ofstream file(o.out);
  file << htmlOf(runs);
  file.close();
  if (!file)
    throw std::runtime_error(o.out + " could not be written");
  fmt::print("{}: {} runs\n", o.out, runs.size());
  return 0;
}

void keepOne(const Options& o, const Result& r) {
  if (!o.db.empty())
    Store(o.db).put(o.label, {r}, false);
}

// The emulated platform until it is interrupted, or for so long.
int serve(const Options& o) {
  const Scenario scenario = readScenario(o.files.front(), o.set);
  asio::io_context io(1);
  Platform platform(io, scenario, o.seed, nullptr);
  const std::string discovery = textOf(platform.addAgent());
  const HeldPort listen(io), management(io);
  fmt::print("discovery   {}\n{} record servers: {}\n", discovery, platform.servers(), platform.stateLine());
  if (!o.config.empty()) {
    std::ofstream file(o.config);
    file << configOf(scenario, DrawnDay(scenario, o.seed), 0, 1, textOf(listen.endpoint()), discovery,
                     textOf(management.endpoint()));
    file.close();
    if (!file)
      throw std::runtime_error(o.config + " could not be written");
    fmt::print(
        "gateway     hollyrun serve --config {}\nrecord      curl -H 'X-Request-Id: 1' http://{}/{}/1\n",
        o.config, textOf(listen.endpoint()), scenario.classes.front().set.name);
    fmt::print("load        hollyrun-lab load {} --to {}\n", o.files.front(), textOf(listen.endpoint()));
  }
  std::fflush(stdout);
  asio::signal_set signals(io, SIGINT, SIGTERM);
  signals.async_wait([&](error_code, int) { io.stop(); });
  asio::steady_timer end(io), tell(io);
  if (o.seconds > 0) {
    end.expires_after(seconds(o.seconds));
    end.async_wait([&](error_code) { io.stop(); });
  }
  std::function<void()> show = [&] {
    tell.expires_after(std::chrono::seconds(5));
    tell.async_wait([&](error_code ec) {
      if (ec)
        return;
      if (platform.held() > 0)
        spdlog::info("held {}", platform.stateLine());
      show();
    });
  };
  show();
  io.run();
  return 0;
}

tcp::endpoint endpointOf(const std::string& text) {
  const auto colon = text.rfind(':');
  error_code ec;
  const auto address = asio::ip::make_address(text.substr(0, colon), ec);
  const int port = colon == std::string::npos ? 0 : std::atoi(text.c_str() + colon + 1);
  if (ec || port < 1 || port > 65535)
    throw std::runtime_error("'" + text + "' is no ADDRESS:PORT");
  if (!address.is_loopback())
    throw std::runtime_error(text + ": a load goes to loopback only");
  return {address, static_cast<unsigned short>(port)};
}

int load(const Options& o) {
  const Scenario scenario = readScenario(o.files.front(), o.set);
  asio::io_context io(1);
  std::vector<Target> targets;
  for (std::size_t i = 0; i < o.to.size(); ++i)
    targets.push_back(
        {o.to[i], endpointOf(o.to[i]), static_cast<std::uint32_t>(i % scenario.zones.size()), true});
  const double capacity = capacityOf(scenario, o.seed, DrawnFleet(scenario, o.seed));
  Load clients(io, scenario, o.seed, {o.rate, o.seconds > 0 ? o.seconds : 10, o.cls}, capacity, targets);
  bool interrupted = false;
  asio::signal_set signals(io, SIGINT, SIGTERM);
  signals.async_wait([&](error_code ec, int) {
    if (ec)
      return;
    interrupted = true;
    io.stop();
  });
  asio::steady_timer tell(io);
  std::function<void()> show = [&] {
    tell.expires_after(std::chrono::seconds(1));
    tell.async_wait([&](error_code ec) {
      if (ec)
        return;
      const Result r = clients.result();
      spdlog::info("{} calls, {} open, {:.3f} of the worth in time, p99 {:.1f} ms", r.calls, clients.open(),
                   r.whole, r.p99);
      show();
    });
  };
  show();
  clients.start([&] { io.stop(); });
  io.run();
  const Result r = clients.result();
  keepOne(o, r);
  fmt::print("{}", textOf(r));
  const Latencies& l = clients.latencies();
  fmt::print("times ms: p50 {:.2f}  p90 {:.2f}  p99 {:.2f}  p99.9 {:.2f}\n", l.percentile(0.5),
             l.percentile(0.9), l.percentile(0.99), l.percentile(0.999));
  if (interrupted)
    return kInterrupted;
  return r.breaches.empty() ? 0 : kBroken;
}

int fleet(const Options& o) {
  const Scenario scenario = readScenario(o.files.front(), o.set);
  const FleetResult result = playFleet(scenario, {o.program, o.dir, o.seed, o.rate});
  keepOne(o, result.result);
  if (!o.out.empty()) {
    std::ofstream file(o.out);
    file << pageOf(result);
    file.close();
    if (!file)
      throw std::runtime_error(o.out + " could not be written");
  }
  if (o.log)
    for (const std::string& line : result.line)
      fmt::print("{}\n", line);
  fmt::print("{}", textOf(result));
  switch (result.verdict) {
    case Verdict::pass:
      return 0;
    case Verdict::fail:
      return kBroken;
    case Verdict::voided:
      return kVoid;
    case Verdict::interrupted:
      return kInterrupted;
  }
  return kBroken;
}

int members(const Options& o) {
  if (o.depth > 0) {
    const Explored e = exploreMembers(o.depth, o.crashes, 50);
    fmt::print(
        "three members, {} steps deep, {} crashes: {} states, {} steps, {} of the states played on until all "
        "agreed\n",
        o.depth, o.crashes, e.states, e.steps, e.healed);
    for (const std::string& what : e.broken)
      fmt::print("{}\n", what);
    return e.broken.empty() ? 0 : kBroken;
  }
  if (!o.memberFaults.empty()) {
    std::vector<MemberFaultRow> rows;
    for (const std::size_t n : o.sizes)
      for (const std::string& fault : o.memberFaults) {
        const std::vector<MemberFaultRow> phases =
            measureMemberFault({memberFaultNamed(fault).value(), n, std::chrono::seconds(o.apart), o.seed});
        rows.insert(rows.end(), phases.begin(), phases.end());
      }
    fmt::print("{}", textOf(rows));
    return 0;
  }
  std::vector<MembersRow> rows;
  for (const std::size_t n : o.sizes)
    for (const double loss : o.losses)
      rows.push_back(measureMembers({n, loss, o.kills, o.seed, o.trace}));
  fmt::print("{}", textOf(rows));
  return 0;
}

int cost(const Options& o) {
  std::vector<CostRow> rows;
  for (const std::size_t hosts : o.hosts)
    for (const std::size_t tenants : o.tenants) {
      CostSettings size = o.cost;
      size.hosts = hosts;
      size.tenants = tenants;
      rows.push_back(measureCost(size));
    }
  fmt::print("{}", textOf(rows));
  return 0;
}

}  // namespace

int main(int argc, char** argv) {
  spdlog::set_default_logger(spdlog::stderr_color_mt("hollyrun-lab"));
  spdlog::set_pattern("%v");
  CLI::App app{"hollyrun lab: the decision module on a model of the record platform, in virtual time"};
  app.require_subcommand(1);
  app.footer(
      "Exit codes: 0 well, 1 a rule was broken, 2 wrong arguments, scenario or file. See docs/lab.md.");
  Options o;
  int (*command)(const Options&) = nullptr;
  const auto add = [&](const char* name, const char* what, int (*f)(const Options&)) {
    CLI::App* sub = app.add_subcommand(name, what);
    sub->callback([&command, f] { command = f; });
    return sub;
  };
  const auto plays = [&](CLI::App* sub) {
    sub->add_option("scenario", o.files, "scenario files (TOML)")->required();
    sub->add_option("--set", o.set, "KEY=VALUE over the file's, in TOML: load.level=0.9")
        ->allow_extra_args(false);
    sub->add_option("--seeds,--seed", o.seeds, "7, 1-30 or 1,4,9-12")->capture_default_str();
    sub->add_option("--threads", o.threads, "days at a time; 0: one a core")->capture_default_str();
    sub->add_option("--db", o.db, "SQLite file for the results");
  };
  CLI::App* checks = add("check", "read scenarios and name their faults", check);
  checks->add_option("scenario", o.files, "scenario files (TOML)")->required();
  checks->add_option("--set", o.set, "KEY=VALUE over the file's")->allow_extra_args(false);
  CLI::App* runs = add("run", "play scenarios", run);
  plays(runs);
  runs->add_option("--policy", o.policy, "module, random, least, two or truth")->capture_default_str();
  runs->add_option("--label", o.label, "name of these runs in the file of results")->capture_default_str();
  runs->add_flag("--series", o.series, "keep the servers' states over time, for a report");
  runs->add_flag("--text", o.text, "the whole text of each day, not only its line");
  runs->add_flag("--log", o.log, "with the text: what the gateways logged");
  CLI::App* compares = add("compare", "play two arms on the same seeds and tell the difference", compare);
  plays(compares);
  compares->add_option("-a", o.a, "POLICY[,KEY=VALUE...], or @LABEL of --db")->capture_default_str();
  compares->add_option("-b", o.b, "likewise")->capture_default_str();
  CLI::App* sweeps = add("sweep", "play over the values of one key", sweep);
  plays(sweeps);
  sweeps->add_option("--vary", o.vary, "KEY=VALUE,VALUE,...")->required();
  sweeps->add_option("--policy", o.policy, "policies, set apart by commas")->capture_default_str();
  sweeps->add_option("--label", o.label, "name of these runs in the file of results")->capture_default_str();
  CLI::App* reports = add("report", "list kept runs, or draw them into one HTML file", report);
  reports->add_option("--db", o.db, "SQLite file of the results")->required()->check(CLI::ExistingFile);
  reports->add_option("--run", o.ids, "numbers of runs; none: all, without plots");
  reports->add_option("--label", o.label, "only runs of this label");
  reports->add_option("--out", o.out, "HTML file to write; none: a list");
  const auto real = [&](CLI::App* sub) {
    sub->add_option("file", o.files, "scenario (TOML)")->required()->expected(1);
    sub->add_option("--set", o.set, "KEY=VALUE over the file's")->allow_extra_args(false);
    sub->add_option("--seed", o.seed, "of all that is drawn")->capture_default_str();
  };
  const auto kept = [&](CLI::App* sub) {
    sub->add_option("--rate", o.rate, "first tries a second; 0: by the scenario's level");
    sub->add_option("--db", o.db, "SQLite file that keeps the results");
    sub->add_option("--label", o.label, "name of this run there")->capture_default_str();
  };
  CLI::App* serves = add("serve", "the emulated platform on loopback, in real time", serve);
  real(serves);
  serves->add_option("--write", o.config, "write a gateway's configuration to this file");
  serves->add_option("--for", o.seconds, "seconds; 0: until it is interrupted");
  CLI::App* loads = add("load", "clients in an open loop against gateways on loopback", load);
  real(loads);
  kept(loads);
  loads->add_option("--to", o.to, "ADDRESS:PORT of a gateway, or several")->required();
  loads->add_option("--for", o.seconds, "seconds of arrivals, up to 3600; 10 unless told");
  loads->add_option("--class", o.cls, "only this class of the scenario");
  CLI::App* fleets = add("fleet", "real processes of the program under load and faults, judged", fleet);
  real(fleets);
  kept(fleets);
  fleets->add_option("--program", o.program, "the built gateway")->capture_default_str();
  fleets->add_option("--dir", o.dir,
                     "an existing folder for the processes' files; none: one that goes again");
  fleets->add_option("--out", o.out, "HTML page to write");
  fleets->add_flag("--log", o.log, "print the time line, too");
  CLI::App* all =
      add("members", "the fleet's membership in virtual time: a table of times and cost", members);
  all->add_option("--members", o.sizes, "numbers of members")->check(CLI::Range(2, 1000));
  all->add_option("--loss", o.losses, "shares of datagrams that get lost")->check(CLI::Range(0.0, 0.9));
  all->add_option("--kills", o.kills, "members killed and started again for each row")->capture_default_str();
  all->add_option("--seed", o.seed, "of all that is drawn")->capture_default_str();
  all->add_flag("--trace", o.trace, "a hash of all that is sent and raised, to compare two builds");
  all->add_option("--fault", o.memberFaults,
                  "instead: zone, cut or restarts, what it costs until views agree")
      ->check(CLI::IsMember({"zone", "cut", "restarts"}));
  all->add_option("--apart", o.apart, "with cut: its length in periods")->capture_default_str();
  all->add_option("--explore", o.depth, "instead: three members through every schedule of so many steps")
      ->check(CLI::Range(1, 12));
  all->add_option("--crashes", o.crashes, "with it: the most on a way")->capture_default_str();
  ScaleCommand scale(app);
  SoakCommand soak(app);
  CLI::App* costs = add("cost", "processor time and memory of the decision module alone", cost);
  costs->add_option("--hosts", o.hosts, "numbers of servers")->check(CLI::Range(1, 60000));
  costs->add_option("--tenants", o.tenants, "numbers of tenants")->check(CLI::Range(0, 1000000));
  costs->add_option("--classes", o.cost.classes, "number of classes")->check(CLI::Range(1, 10000));
  costs->add_option("--gateways", o.cost.gateways, "in the fleet")->check(CLI::Range(1, 100000));
  costs->add_option("--candidates", o.cost.candidates, "hosts to choose from; 0: all")->capture_default_str();
  costs->add_option("--rate", o.cost.rate, "requests a second of the one gateway")->capture_default_str();
  costs->add_option("--requests", o.cost.requests, "played for each row")->capture_default_str();
  costs->add_option("--seed", o.cost.seed, "of all that is drawn")->capture_default_str();
  try {
    app.parse(argc, argv);
  } catch (const CLI::ParseError& e) {
    const int code = app.exit(e);
    return code == 0 ? 0 : kWrong;
  }
  try {
    if (soak.named())
      return soak.run();
    return command ? command(o) : scale.run(argc, argv);
  } catch (const std::exception& e) {
    fmt::print(stderr, "{}\n", e.what());
    return kWrong;
  }
}
