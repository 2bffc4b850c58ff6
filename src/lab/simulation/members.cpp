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

constexpr std::size_t kSocketBufferDatagrams = 500;  // a stopped member loses further ones
constexpr int kMaxStartPeriods = 60;                 // bounded, since under loss the views may never agree
constexpr int kMaxDetectionPeriods = 400;

MemberSimulation::MemberSimulation(std::uint64_t seed, membership::MembershipSettings settings,
                                   LinkConditions linkConditions)
    : passes([](std::size_t, std::size_t) { return true; }),
      seed_(seed),
      settings_(std::move(settings)),
      linkConditions_(linkConditions),
      random_(seed, "members") {}

std::size_t MemberSimulation::add(const std::string& name, const std::string& zone) {
  Node node;
  node.name = name;
  node.zone = zone;
  node.address = {0x7f000001, static_cast<std::uint16_t>(1000 + nodes_.size())};
  byAddress_[node.address] = nodes_.size();
  nodes_.push_back(std::move(node));
  timers_.push_back(Time::max());
  return nodes_.size() - 1;
}

void MemberSimulation::start(std::size_t i) {
  Node& node = nodes_[i];
  membership::MemberRecord self;
  self.name = node.name;
  self.address = node.address;
  self.zone = node.zone;
  self.version = "1";
  if (describe)
    describe(self);
  node.stopped = false;
  node.inbox.clear();
  node.inboxSenders.clear();
  ++node.startCount;
  timers_[i] = Time::max();
  node.logic =
      std::make_unique<Membership>(settings_, self, seed_ * 1000003 + i * 101 + node.startCount, now_);
  collect(i);
}

void MemberSimulation::leave(std::size_t i) {
  nodes_[i].logic->leave(now_);
  collect(i);
  kill(i);
}

void MemberSimulation::wake(std::size_t i) {
  Node& node = nodes_[i];
  node.stopped = false;
  // An event loop that continues may handle its expired timer before or after the datagrams in its socket.
  const bool timerFirst = random_.chance(0.5);
  if (timerFirst && node.logic)
    node.logic->onWake(now_);
  for (std::size_t k = 0; k < node.inbox.size(); ++k)
    if (node.logic)
      node.logic->onDatagram(now_, node.inboxSenders[k], node.inbox[k].second);
  node.inbox.clear();
  node.inboxSenders.clear();
  if (!node.logic)
    return;
  node.logic->onWake(now_);
  timers_[i] = Time::max();
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
  for (membership::Datagram& datagram : std::exchange(logic.datagrams(), {})) {
    const auto to = nodeAt(datagram.to);
    if (tap && to)
      tap(i, *to, datagram.bytes);
    if (!to || !passes(i, *to) || random_.chance(linkConditions_.loss))
      continue;
    for (int copies = random_.chance(linkConditions_.duplication) ? 2 : 1; copies > 0; --copies) {
      ScheduledEvent arrival;
      arrival.at = now_ + Duration(static_cast<std::int64_t>(
                              1e6 * random_.uniform(linkConditions_.minDelayMs, linkConditions_.maxDelayMs)));
      arrival.order = ++order_;
      arrival.node = *to;
      arrival.from = nodes_[i].address;
      arrival.bytes = datagram.bytes;
      if (random_.chance(linkConditions_.corruption))
        arrival.bytes[random_.below(arrival.bytes.size())] = static_cast<char>(random_.below(256));
      schedule_.push(std::move(arrival));
    }
  }
  for (membership::Event& event : std::exchange(logic.events(), {}))
    seen_.push_back({now_, i, std::move(event)});
  if (logic.wakeAt() >= timers_[i])
    return;
  timers_[i] = logic.wakeAt();
  ScheduledEvent wake;
  wake.at = std::max(now_, timers_[i]);
  wake.order = ++order_;
  wake.node = i;
  wake.timer = true;
  wake.startCount = nodes_[i].startCount;
  schedule_.push(std::move(wake));
}

void MemberSimulation::runUntil(Time until) {
  while (!schedule_.empty() && schedule_.top().at <= until) {
    const ScheduledEvent event = schedule_.top();
    schedule_.pop();
    now_ = std::max(now_, event.at);
    Node& node = nodes_[event.node];
    if (!node.logic || (event.timer && event.startCount != node.startCount))
      continue;
    if (node.stopped) {
      if (!event.timer && node.inbox.size() < kSocketBufferDatagrams)
        node.inbox.push_back({now_, event.bytes}), node.inboxSenders.push_back(event.from);
      continue;
    }
    ++steps_;
    if (event.timer) {
      timers_[event.node] = Time::max();
      node.logic->onWake(now_);
    } else {
      node.logic->onDatagram(now_, event.from, event.bytes);
    }
    collect(event.node);
  }
  now_ = std::max(now_, until);
}

bool MemberSimulation::runUntil(const std::function<bool()>& done, Duration timeout) {
  const Time end = now_ + timeout;
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
  for (const Node& node : nodes_) {
    if (!node.logic)
      continue;
    const membership::Counters& counters = node.logic->counters();
    sum.sent += counters.sent;
    sum.bytesOut += counters.bytesOut;
    sum.deaths += counters.deaths;
    sum.suspicions += counters.suspicions;
    sum.received += counters.received;
    sum.stale += counters.stale;
  }
  return sum;
}

namespace {

double inPeriods(Duration duration, const membership::MembershipSettings& settings) {
  return static_cast<double>(duration.count()) / static_cast<double>(settings.probeInterval.count());
}

double allocatedBytes() {
  return static_cast<double>(mallinfo2().uordblks);
}

/// Hashes all datagrams and events in order, so that two builds can be compared byte for byte.
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

double quantileOf(std::vector<double> values, double fraction) {
  if (values.empty())
    return 0;
  std::sort(values.begin(), values.end());
  return values[static_cast<std::size_t>(fraction * static_cast<double>(values.size() - 1))];
}

}  // namespace

double processorMicros() {
  timespec time{};
  clock_gettime(CLOCK_THREAD_CPUTIME_ID, &time);
  return static_cast<double>(time.tv_sec) * 1e6 + static_cast<double>(time.tv_nsec) / 1e3;
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
  const auto clearEvents = [&] {
    if (run.trace)
      for (const MemberSimulation::Seen& seen : simulation.seen())
        trace.add(seen);
    simulation.seen().clear();
  };
  Stream random(run.seed, "kills");
  for (std::size_t i = 0; i < run.members; ++i)
    simulation.start(simulation.add("gateway-" + std::to_string(i)));
  simulation.runUntil([&] { return simulation.agreed(); }, settings.probeInterval * kMaxStartPeriods);

  const membership::Counters before = simulation.counters();
  const std::uint64_t steps = simulation.steps();
  const int quietPeriods = 120;
  clearEvents();
  const double startMicros = processorMicros();
  simulation.runFor(settings.probeInterval * quietPeriods);
  const double micros = processorMicros() - startMicros;
  const membership::Counters after = simulation.counters();
  const double memberPeriods = static_cast<double>(run.members) * quietPeriods;
  row.micros = micros / static_cast<double>(simulation.steps() - steps);
  row.microsPerPeriod = micros / memberPeriods;
  row.datagrams = static_cast<double>(after.sent - before.sent) / memberPeriods;
  row.bytes = static_cast<double>(after.bytesOut - before.bytesOut) / memberPeriods;
  std::set<std::pair<std::string, std::uint64_t>> falseDeaths;  // each counted once, whoever reports it
  for (const auto& seen : simulation.seen())
    if (seen.event.type == membership::EventType::died)
      falseDeaths.insert({seen.event.member.name, seen.event.member.incarnation});
  row.falseDeaths = static_cast<double>(falseDeaths.size()) / memberPeriods * 3600;
  clearEvents();
  simulation.seen().shrink_to_fit();
  row.kilobytes = (allocatedBytes() - allocated) / static_cast<double>(run.members) / 1000;

  std::vector<double> firstDetection, fullDetection, join;  // periods
  for (std::size_t k = 0; k < run.kills; ++k) {
    const std::size_t victim = random.below(run.members);
    simulation.runFor(Duration(static_cast<std::int64_t>(random.unit() * 1e9)));
    const std::string name = simulation.nodes()[victim].name;
    clearEvents();
    simulation.kill(victim);
    const Time killedAt = simulation.now();
    const auto deathKnownToAll = [&] {
      for (const std::size_t i : simulation.living()) {
        const auto it = simulation.at(i).others().find(name);
        if (it != simulation.at(i).others().end() && membership::isPresent(it->second.record.state))
          return false;
      }
      return true;
    };
    simulation.runUntil(deathKnownToAll, settings.probeInterval * kMaxDetectionPeriods);
    fullDetection.push_back(inPeriods(simulation.now() - killedAt, settings));
    for (const auto& seen : simulation.seen())
      if (seen.event.type == membership::EventType::died && seen.event.member.name == name) {
        firstDetection.push_back(inPeriods(seen.at - killedAt, settings));
        break;
      }
    simulation.start(victim);
    const Time restartedAt = simulation.now();
    const auto joinKnownToAll = [&] {
      for (const std::size_t i : simulation.living()) {
        if (i == victim)
          continue;
        const auto it = simulation.at(i).others().find(name);
        if (it == simulation.at(i).others().end() || !membership::isPresent(it->second.record.state))
          return false;
      }
      return true;
    };
    simulation.runUntil(joinKnownToAll, settings.probeInterval * kMaxDetectionPeriods);
    join.push_back(inPeriods(simulation.now() - restartedAt, settings));
  }
  row.detectP50 = quantileOf(firstDetection, 0.5);
  row.detectP99 = quantileOf(firstDetection, 0.99);
  row.allP50 = quantileOf(fullDetection, 0.5);
  row.allP99 = quantileOf(fullDetection, 0.99);
  row.allMax = quantileOf(fullDetection, 1);
  row.joinP99 = quantileOf(join, 0.99);
  clearEvents();
  if (run.trace)
    row.trace = trace.hash();
  return row;
}

std::string textOf(const std::vector<MembersRow>& rows) {
  std::string text =
      "members  loss  detect p50  p99  all know p50   p99  most  newcomer p99  false deaths/h  datagrams  "
      "bytes "
      " us an event  us a period  kB\n";
  for (const MembersRow& row : rows) {
    text += fmt::format(
        "{:7}  {:4.2f}  {:10.1f}  {:3.0f}  {:12.1f}  {:4.0f}  {:4.0f}  {:12.1f}  {:14.2f}  {:9.1f}  {:5.0f}  "
        "{:11.1f}  {:11.0f}  {:2.0f}",
        row.members, row.loss, row.detectP50, row.detectP99, row.allP50, row.allP99, row.allMax, row.joinP99,
        row.falseDeaths, row.datagrams, row.bytes, row.micros, row.microsPerPeriod, row.kilobytes);
    text += row.trace == 0 ? "\n" : fmt::format("  trace {:016x}\n", row.trace);
  }
  return text;
}

}  // namespace hollyrun::lab
