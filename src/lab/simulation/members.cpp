#include "lab/simulation/members.hpp"

#include <malloc.h>
#include <spdlog/fmt/fmt.h>

#include <algorithm>
#include <chrono>
#include <cmath>
#include <ctime>

#define XXH_INLINE_ALL
#include <xxhash.h>

namespace hollyrun::lab {

using membership::Address;
using membership::Duration;
using membership::Membership;
using membership::Time;

MemberSimulation::MemberSimulation(std::uint64_t seed, membership::MembershipSettings settings,
                                   LinkConditions linkConditions)
    : passes([](std::size_t, std::size_t) { return true; }),
      seed_(seed),
      settings_(std::move(settings)),
      linkConditions_(linkConditions),
      draw_(seed, "members") {}

std::size_t MemberSimulation::add(const std::string& name, const std::string& zone) {
  Node node;
  node.name = name;
  node.zone = zone;
  node.address = {0x7f000001, static_cast<std::uint16_t>(1000 + nodes_.size())};
  byAddress_[node.address] = nodes_.size();
  nodes_.push_back(std::move(node));
  wakes_.push_back(Time::max());
  return nodes_.size() - 1;
}

void MemberSimulation::start(std::size_t i) {
  Node& n = nodes_[i];
  membership::MemberRecord self;
  self.name = n.name;
  self.address = n.address;
  self.zone = n.zone;
  self.version = "1";
  if (describe)
    describe(self);
  n.stopped = false;
  n.inbox.clear();
  n.from.clear();
  ++n.lives;
  wakes_[i] = Time::max();
  n.logic = std::make_unique<Membership>(settings_, self, seed_ * 1000003 + i * 101 + n.lives, now_);
  collect(i);
}

void MemberSimulation::leave(std::size_t i) {
  nodes_[i].logic->leave(now_);
  collect(i);
  kill(i);
}

void MemberSimulation::wake(std::size_t i) {
  Node& n = nodes_[i];
  n.stopped = false;
  // What its socket kept comes first: a loop that goes on reads before its timer, or after it.
  const bool timerFirst = draw_.chance(0.5);
  if (timerFirst && n.logic)
    n.logic->onWake(now_);
  for (std::size_t k = 0; k < n.inbox.size(); ++k)
    if (n.logic)
      n.logic->onDatagram(now_, n.from[k], n.inbox[k].second);
  n.inbox.clear();
  n.from.clear();
  if (!n.logic)
    return;
  n.logic->onWake(now_);
  wakes_[i] = Time::max();
  collect(i);
}

std::optional<std::size_t> MemberSimulation::nodeAt(const Address& address) const {
  const auto it = byAddress_.find(address);
  return it == byAddress_.end() ? std::nullopt : std::optional(it->second);
}

void MemberSimulation::inject(std::size_t to, const Address& from, std::string bytes) {
  if (!nodes_[to].logic)
    return;
  nodes_[to].logic->onDatagram(now_, from, bytes);
  collect(to);
}

void MemberSimulation::collect(std::size_t i) {
  Membership& logic = *nodes_[i].logic;
  for (membership::Datagram& d : std::exchange(logic.datagrams(), {})) {
    const auto to = nodeAt(d.to);
    if (tap && to)
      tap(i, *to, d.bytes);
    if (!to || !passes(i, *to) || draw_.chance(linkConditions_.loss))
      continue;
    for (int copies = draw_.chance(linkConditions_.copies) ? 2 : 1; copies > 0; --copies) {
      Due due;
      due.at = now_ + Duration(static_cast<std::int64_t>(
                          1e6 * draw_.uniform(linkConditions_.leastMs, linkConditions_.mostMs)));
      due.order = ++order_;
      due.node = *to;
      due.from = nodes_[i].address;
      due.bytes = d.bytes;
      if (draw_.chance(linkConditions_.spoils))
        due.bytes[draw_.below(due.bytes.size())] = static_cast<char>(draw_.below(256));
      due_.push(std::move(due));
    }
  }
  for (membership::Event& e : std::exchange(logic.events(), {}))
    seen_.push_back({now_, i, std::move(e)});
  if (logic.wakeAt() >= wakes_[i])
    return;
  wakes_[i] = logic.wakeAt();
  Due due;
  due.at = std::max(now_, wakes_[i]);
  due.order = ++order_;
  due.node = i;
  due.wake = true;
  due.life = nodes_[i].lives;
  due_.push(std::move(due));
}

void MemberSimulation::runUntil(Time until) {
  while (!due_.empty() && due_.top().at <= until) {
    const Due due = due_.top();
    due_.pop();
    now_ = std::max(now_, due.at);
    Node& n = nodes_[due.node];
    if (!n.logic || (due.wake && due.life != n.lives))
      continue;
    if (n.stopped) {
      // A socket holds so much; the rest is lost.
      if (!due.wake && n.inbox.size() < 500)
        n.inbox.push_back({now_, due.bytes}), n.from.push_back(due.from);
      continue;
    }
    ++steps_;
    if (due.wake) {
      wakes_[due.node] = Time::max();
      n.logic->onWake(now_);
    } else {
      n.logic->onDatagram(now_, due.from, due.bytes);
    }
    collect(due.node);
  }
  now_ = std::max(now_, until);
}

bool MemberSimulation::runUntil(const std::function<bool()>& done, Duration most) {
  const Time end = now_ + most;
  while (!done()) {
    if (now_ >= end)
      return false;
    runUntil(std::min(end, now_ + settings_.probeInterval / 4));
  }
  return true;
}

std::vector<std::size_t> MemberSimulation::living() const {
  std::vector<std::size_t> all;
  for (std::size_t i = 0; i < nodes_.size(); ++i)
    if (nodes_[i].logic && !nodes_[i].stopped)
      all.push_back(i);
  return all;
}

bool MemberSimulation::agreed() const {
  const std::vector<std::size_t> all = living();
  for (const std::size_t i : all)
    if (at(i).presentCount() != all.size() || at(i).digest() != at(all.front()).digest())
      return false;
  return true;
}

membership::Counters MemberSimulation::counters() const {
  membership::Counters sum;
  for (const Node& n : nodes_) {
    if (!n.logic)
      continue;
    const membership::Counters& c = n.logic->counters();
    sum.sent += c.sent;
    sum.bytesOut += c.bytesOut;
    sum.deaths += c.deaths;
    sum.suspicions += c.suspicions;
    sum.received += c.received;
    sum.stale += c.stale;
  }
  return sum;
}

namespace {

double inPeriods(Duration d, const membership::MembershipSettings& s) {
  return static_cast<double>(d.count()) / static_cast<double>(s.probeInterval.count());
}

double allocatedBytes() {
  return static_cast<double>(mallinfo2().uordblks);
}

/// Hashes all that is sent, in order, so that two builds can be compared to the byte.
class Trace {
 public:
  void add(std::size_t from, std::size_t to, const std::string& bytes) {
    hash_ = XXH3_64bits_withSeed(bytes.data(), bytes.size(), hash_ + from * 1'000'003 + to);
  }
  void add(const MemberSimulation::Seen& seen) {
    add(seen.node, static_cast<std::size_t>(seen.event.type), seen.event.member.name);
    hash_ += static_cast<std::uint64_t>(seen.at.count());
  }
  std::uint64_t hash() const { return hash_; }

 private:
  std::uint64_t hash_ = 0;
};

double quantileOf(std::vector<double> v, double at) {
  if (v.empty())
    return 0;
  std::sort(v.begin(), v.end());
  return v[static_cast<std::size_t>(at * static_cast<double>(v.size() - 1))];
}

}  // namespace

double processorMicros() {
  timespec t{};
  clock_gettime(CLOCK_THREAD_CPUTIME_ID, &t);
  return static_cast<double>(t.tv_sec) * 1e6 + static_cast<double>(t.tv_nsec) / 1e3;
}

void describeAsGateway(membership::MemberRecord& self) {
  self.region = "region-1";
  self.version = "0.1.0";
  self.settingsDigest = XXH3_64bits("settings", 8);
  self.startedMs = 1'780'000'000'000;
}

MembersRow measureMembers(const MembersRun& run) {
  MembersRow row;
  row.members = run.members;
  row.loss = run.loss;
  membership::MembershipSettings settings;
  settings.seeds = {{0x7f000001, 1000}, {0x7f000001, 1001}};
  LinkConditions linkConditions;
  linkConditions.loss = run.loss;
  const double allocated = allocatedBytes();
  MemberSimulation simulation(run.seed, settings, linkConditions);
  simulation.describe = describeAsGateway;
  Trace trace;
  if (run.trace)
    simulation.tap = [&trace](std::size_t from, std::size_t to, const std::string& bytes) {
      trace.add(from, to, bytes);
    };
  const auto forgetSeen = [&] {
    if (run.trace)
      for (const MemberSimulation::Seen& s : simulation.seen())
        trace.add(s);
    simulation.seen().clear();
  };
  Stream draw(run.seed, "kills");
  for (std::size_t i = 0; i < run.members; ++i)
    simulation.start(simulation.add("gateway-" + std::to_string(i)));
  simulation.runUntil([&] { return simulation.agreed(); },
                      settings.probeInterval * 60);  // under loss views never rest

  const membership::Counters before = simulation.counters();
  const std::uint64_t steps = simulation.steps();
  const int quiet = 120;  // periods
  forgetSeen();
  const double clock = processorMicros();
  simulation.runFor(settings.probeInterval * quiet);
  const double took = processorMicros() - clock;
  const membership::Counters after = simulation.counters();
  const double each = static_cast<double>(run.members) * quiet;
  row.micros = took / static_cast<double>(simulation.steps() - steps);
  row.microsPerPeriod = took / each;
  row.datagrams = static_cast<double>(after.sent - before.sent) / each;
  row.bytes = static_cast<double>(after.bytesOut - before.bytesOut) / each;
  std::set<std::pair<std::string, std::uint64_t>> killed;  // wrongly, each once
  for (const auto& s : simulation.seen())
    if (s.event.type == membership::EventType::died)
      killed.insert({s.event.member.name, s.event.member.incarnation});
  row.falseDeaths = static_cast<double>(killed.size()) / each * 3600;
  forgetSeen();
  simulation.seen().shrink_to_fit();
  row.kilobytes = (allocatedBytes() - allocated) / static_cast<double>(run.members) / 1000;

  std::vector<double> detect, all, join;
  for (std::size_t k = 0; k < run.kills; ++k) {
    const std::size_t victim = draw.below(run.members);
    simulation.runFor(Duration(static_cast<std::int64_t>(draw.unit() * 1e9)));
    const std::string name = simulation.nodes()[victim].name;
    forgetSeen();
    simulation.kill(victim);
    const Time at = simulation.now();
    const auto gone = [&] {
      for (const std::size_t i : simulation.living()) {
        const auto it = simulation.at(i).others().find(name);
        if (it != simulation.at(i).others().end() && membership::isPresent(it->second.record.state))
          return false;
      }
      return true;
    };
    simulation.runUntil(gone, settings.probeInterval * 400);
    all.push_back(inPeriods(simulation.now() - at, settings));
    for (const auto& s : simulation.seen())
      if (s.event.type == membership::EventType::died && s.event.member.name == name) {
        detect.push_back(inPeriods(s.at - at, settings));
        break;
      }
    simulation.start(victim);
    const Time back = simulation.now();
    const auto known = [&] {
      for (const std::size_t i : simulation.living()) {
        if (i == victim)
          continue;
        const auto it = simulation.at(i).others().find(name);
        if (it == simulation.at(i).others().end() || !membership::isPresent(it->second.record.state))
          return false;
      }
      return true;
    };
    simulation.runUntil(known, settings.probeInterval * 400);
    join.push_back(inPeriods(simulation.now() - back, settings));
  }
  row.detectP50 = quantileOf(detect, 0.5);
  row.detectP99 = quantileOf(detect, 0.99);
  row.allP50 = quantileOf(all, 0.5);
  row.allP99 = quantileOf(all, 0.99);
  row.allMost = quantileOf(all, 1);
  row.joinP99 = quantileOf(join, 0.99);
  forgetSeen();
  if (run.trace)
    row.trace = trace.hash();
  return row;
}

std::string textOf(const std::vector<MembersRow>& rows) {
  std::string text =
      "members  loss  detect p50  p99  all know p50   p99  most  newcomer p99  false deaths/h  datagrams  "
      "bytes "
      " us an event  us a period  kB\n";
  for (const MembersRow& r : rows) {
    text += fmt::format(
        "{:7}  {:4.2f}  {:10.1f}  {:3.0f}  {:12.1f}  {:4.0f}  {:4.0f}  {:12.1f}  {:14.2f}  {:9.1f}  {:5.0f}  "
        "{:11.1f}  {:11.0f}  {:2.0f}",
        r.members, r.loss, r.detectP50, r.detectP99, r.allP50, r.allP99, r.allMost, r.joinP99, r.falseDeaths,
        r.datagrams, r.bytes, r.micros, r.microsPerPeriod, r.kilobytes);
    text += r.trace == 0 ? "\n" : fmt::format("  trace {:016x}\n", r.trace);
  }
  return text;
}

}  // namespace hollyrun::lab
