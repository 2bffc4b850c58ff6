#include "lab/simulation/cost.hpp"

#include <malloc.h>
#include <spdlog/fmt/fmt.h>

#include <algorithm>
#include <ctime>
#include <map>
#include <optional>
#include <queue>

#include "hollyrun/balancer.hpp"
#include "lab/simulation/digest.hpp"
#include "lab/simulation/random.hpp"

namespace hollyrun::lab {

using namespace balancer;

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr Time kStart = seconds(1000);
constexpr std::size_t kZones = 7, kKinds = 3;
constexpr std::size_t kKeys = 100000;
constexpr double kKeyedShare = 0.7;
constexpr double kErrorShare = 0.01, kTimeoutShare = 0.003;
constexpr double kAnswerMean = 0.02, kAnswerSpread = 0.8;  // seconds, and their coefficient of variation
constexpr double kLeaveSeconds = 2;                        // in the mean between two servers that restart
constexpr Duration kAwayTime = seconds(3);
constexpr std::size_t kWarmUp = 400;  // requests that teach the module and are not counted

double processorSeconds() {
  timespec t{};
  clock_gettime(CLOCK_PROCESS_CPUTIME_ID, &t);
  return static_cast<double>(t.tv_sec) + 1e-9 * static_cast<double>(t.tv_nsec);
}

std::size_t allocatedBytes() {
  const struct mallinfo2 info = mallinfo2();
  return info.uordblks + info.hblkhd;
}

double percentile(std::vector<double> values, double part) {
  if (values.empty())
    return 0;
  const auto at = static_cast<std::ptrdiff_t>(part * static_cast<double>(values.size() - 1));
  std::nth_element(values.begin(), values.begin() + at, values.end());
  return values[static_cast<std::size_t>(at)];
}

/// Classes of all effects; one in six is bound to a zone, one in ten goes in turn.
ClassSettings classOf(std::size_t number) {
  static constexpr double kWorths[] = {5, 2, 3};
  static constexpr Idempotency kEffects[] = {Idempotency::idempotent, Idempotency::none, Idempotency::keyed};
  ClassSettings c;
  c.name = "class-" + std::to_string(number);
  c.latencyObjective = milliseconds(400);
  c.clientTimeout = milliseconds(1000);
  c.deduplicationWindow = milliseconds(5000);
  c.idempotency = kEffects[number % 3];
  c.deduplicationScope = DeduplicationScope::zone;
  c.priorityWeight = kWorths[number % 3];
  c.lateValueFraction = 0.5;
  if (number % 6 == 5)
    c.zones = {"zone-" + std::to_string(number % kZones)};
  c.orderedPerKey = number % 10 == 9;
  return c;
}

Settings settingsOf(const CostSettings& size) {
  Settings s;
  s.seed = size.seed;
  s.replicaCount = static_cast<std::uint32_t>(size.gateways);
  s.replicaIndex = static_cast<std::uint32_t>(size.seed % size.gateways);
  s.zone = "zone-0";
  for (std::size_t i = 0; i < size.classes; ++i)
    s.classes.push_back(classOf(i));
  for (std::size_t i = 0; i < size.tenants; ++i)
    s.tenants.push_back({"tenant-" + std::to_string(i), 1.0 + static_cast<double>(i % 100)});
  s.allowHedging = s.keyAffinity = s.retryAfter = s.cancel = true;
  s.maxAttempts = 3;
  s.candidates = size.candidates;
  s.idleTimeout = seconds(60);
  s.maxRetryAfter = milliseconds(1500);
  s.slowStartDuration = seconds(23);
  s.slowStartInitialFraction = 0.12;
  s.overloadMultiple = 4;
  s.overloadWindow = seconds(1);
  return s;
}

Endpoint entryOf(std::size_t number) {
  Endpoint e;
  e.address = "10." + std::to_string(number / 250) + ".0." + std::to_string(number % 250) + ":8080";
  e.zone = "zone-" + std::to_string(number % kZones);
  e.machineType = "kind-" + std::to_string(number / kZones % kKinds);
  e.cell = static_cast<std::int64_t>(number / 6);
  return e;
}

class Play {
 public:
  explicit Play(const CostSettings& size)
      : size_(size),
        arrivals_(size.seed, "arrivals"),
        answers_(size.seed, "answers"),
        changes_(size.seed, "changes"),
        settings_(settingsOf(size)) {
    for (std::size_t i = 0; i < size.hosts; ++i)
      list_.push_back(entryOf(i));
  }

  CostRow run() {
    row_.size = size_;
    const std::size_t before = allocatedBytes();
    row_.startMs = 1e3 * timed([&] { balancer_.emplace(settings_, now_); });
    row_.listMs = 1e3 * timed([&] { balancer_->onEndpoints(now_, EndpointListKind::snapshot, list_); });
    collect();
    put(now_, Event::arrival);
    put(now_, Event::restart);
    while (arrived_ < size_.requests || !open_.empty())
      step();
    const std::size_t after = allocatedBytes();
    row_.memoryMb = static_cast<double>(after > before ? after - before : 0) / (1 << 20);
    row_.requestMedianNs = 1e9 * percentile(requestTimes_, 0.5);
    row_.requestP99Ns = 1e9 * percentile(requestTimes_, 0.99);
    row_.sweepUs = 1e6 * percentile(sweepTimes_, 0.5);
    row_.updateUs = 1e6 * percentile(updateTimes_, 0.5);
    row_.digest = digest_.value();
    return row_;
  }

 private:
  enum class Event { arrival, answer, wake, restart, back };
  struct Due {
    Time at;
    std::uint64_t order;
    Event event;
    AttemptResult result;
    std::size_t host;
    bool operator>(const Due& o) const { return at != o.at ? at > o.at : order > o.order; }
  };
  struct OpenRequest {
    double spent = 0;  // seconds of processor time so far
    std::uint32_t out = 0;
    bool ended = false, counted = false;
  };

  template <class Work>
  double timed(Work work) {
    const double from = processorSeconds();
    work();
    return processorSeconds() - from;
  }

  void put(Time at, Event event, AttemptResult result = {}, std::size_t host = 0) {
    due_.push({at, ++orders_, event, result, host});
  }

  void step() {
    const Due due = due_.top();
    due_.pop();
    now_ = std::max(now_, due.at);
    switch (due.event) {
      case Event::arrival:
        arrive();
        break;
      case Event::answer:
        settle(due.result);
        break;
      case Event::wake:
        wake();
        break;
      case Event::restart:
        restart();
        break;
      case Event::back:
        back(due.host);
        break;
    }
    collect();
  }

  void arrive() {
    if (arrived_ == size_.requests)
      return;
    if (++arrived_ == size_.requests / 2)
      reload();
    Request q;
    q.id = arrived_;
    q.classIndex = static_cast<std::uint32_t>(arrivals_.below(size_.classes));
    if (size_.tenants > 0)
      q.tenantIndex = static_cast<std::uint32_t>(arrivals_.below(size_.tenants));
    q.remaining = milliseconds(1000);
    q.key = arrivals_.below(kKeys) * 0x9e3779b97f4a7c15ULL;
    q.hasKey = arrivals_.chance(kKeyedShare);
    OpenRequest& r = open_[q.id];
    r.counted = arrived_ > kWarmUp;
    r.spent = timed([&] { balancer_->onRequest(now_, q); });
    put(now_ + inTime(arrivals_.exponential(1 / size_.rate)), Event::arrival);
  }

  void settle(const AttemptResult& result) {
    OpenRequest& r = open_.at(result.request);
    --r.out;
    r.ended |= result.terminal;
    r.spent += timed([&] { balancer_->onResult(now_, result); });
    collect();
    forget(result.request);
  }

  void wake() {
    const double took = timed([&] { balancer_->onWake(now_); });
    if (now_ - swept_ < milliseconds(100))
      return;
    swept_ = now_;
    sweepTimes_.push_back(took);
  }

  // A server drains and goes, and comes back cold.
  void restart() {
    const std::size_t host = changes_.below(list_.size());
    if (list_[host].state == EndpointState::serving) {
      list_[host].state = EndpointState::removed;
      tell(host);
      put(now_ + kAwayTime, Event::back, {}, host);
    }
    put(now_ + inTime(changes_.exponential(kLeaveSeconds)), Event::restart);
  }

  void back(std::size_t host) {
    list_[host].state = EndpointState::serving;
    list_[host].upSince = now_;
    tell(host);
  }

  void tell(std::size_t host) {
    updateTimes_.push_back(
        timed([&] { balancer_->onEndpoints(now_, EndpointListKind::delta, {list_[host]}); }));
  }

  void reload() {
    settings_.classes.front().latencyObjective += milliseconds(10);
    row_.reloadMs = 1e3 * timed([&] { balancer_->onSettings(now_, settings_); });
  }

  void collect() {
    std::vector<Action>& actions = balancer_->actions();
    for (std::size_t i = 0; i < actions.size(); ++i) {
      const Action a = actions[i];
      digest_.add(0, a);
      ++row_.actions;
      carryOut(a);
    }
    actions.clear();
  }

  void carryOut(const Action& a) {
    switch (a.kind) {
      case ActionKind::send:
        answerLater(a);
        break;
      case ActionKind::reject:
      case ActionKind::fail:
        row_.refused += 1;
        open_.at(a.request).ended = true;
        forget(a.request);
        break;
      case ActionKind::wake:
        put(a.wakeAt, Event::wake);
        break;
      case ActionKind::cancel:  // carried out without effect: the answer comes all the same
      case ActionKind::close:
      case ActionKind::pollDiscovery:
      case ActionKind::log:
        break;
    }
  }

  void answerLater(const Action& a) {
    ++open_.at(a.request).out;
    AttemptResult result{a.request, a.attempt, a.host, Outcome::served, {}, true};
    result.elapsed = inTime(answers_.lognormal(kAnswerMean, kAnswerSpread));
    const double luck = answers_.unit();
    if (luck < kErrorShare)
      result.outcome = Outcome::error;
    else if (luck < kErrorShare + kTimeoutShare)
      result.outcome = Outcome::timeout;
    if (result.outcome == Outcome::timeout || result.elapsed > a.timeLimit)
      result.elapsed = a.timeLimit;
    result.terminal = result.outcome == Outcome::served;
    put(now_ + result.elapsed, Event::answer, result);
  }

  void forget(RequestId id) {
    const auto it = open_.find(id);
    if (it == open_.end() || !it->second.ended || it->second.out > 0)
      return;
    if (it->second.counted)
      requestTimes_.push_back(it->second.spent);
    open_.erase(it);
  }

  static Duration inTime(double s) { return Duration(static_cast<Duration::rep>(1e9 * s)); }

  CostSettings size_;
  Stream arrivals_, answers_, changes_;
  Settings settings_;
  std::vector<Endpoint> list_;
  std::optional<Balancer> balancer_;
  Time now_ = kStart, swept_{};
  std::uint64_t orders_ = 0;
  std::size_t arrived_ = 0;
  std::priority_queue<Due, std::vector<Due>, std::greater<>> due_;
  std::map<RequestId, OpenRequest> open_;
  std::vector<double> requestTimes_, sweepTimes_, updateTimes_;
  ActionDigest digest_;
  CostRow row_;
};

}  // namespace

CostRow measureCost(const CostSettings& settings) {
  return Play(settings).run();
}

std::string textOf(const std::vector<CostRow>& rows) {
  std::string text =
      "hosts tenants classes  request_ns    p99_ns  sweep_us  list_ms  update_us  start_ms  reload_ms    MB  "
      "refused  digest\n";
  for (const CostRow& r : rows)
    text += fmt::format(
        "{:5} {:7} {:7}  {:10.0f}  {:8.0f}  {:8.1f}  {:7.2f}  {:9.1f}  {:8.2f}  {:9.2f}  {:4.1f}  {:7}  "
        "{:016x}\n",
        r.size.hosts, r.size.tenants, r.size.classes, r.requestMedianNs, r.requestP99Ns, r.sweepUs, r.listMs,
        r.updateUs, r.startMs, r.reloadMs, r.memoryMb, r.refused, r.digest);
  return text;
}

}  // namespace hollyrun::lab
