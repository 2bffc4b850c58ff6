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
constexpr std::size_t kZones = 7, kMachineTypes = 3, kHostsPerCell = 6;
constexpr std::size_t kKeys = 100000;
constexpr double kKeyedShare = 0.7;  // of the requests
constexpr double kErrorShare = 0.01, kTimeoutShare = 0.003;
constexpr double kMeanResponseTimeS = 0.02, kResponseTimeCv = 0.8;
constexpr double kMeanRestartIntervalS = 2;  // between two restarts of servers
constexpr Duration kRestartDowntime = seconds(3);
constexpr Duration kSweepPeriod = milliseconds(100);  // interval of the sweeps in the decision module
constexpr std::size_t kWarmupRequests = 400;          // excluded from the measurement

double processorSeconds() {
  timespec time{};
  clock_gettime(CLOCK_PROCESS_CPUTIME_ID, &time);
  return static_cast<double>(time.tv_sec) + 1e-9 * static_cast<double>(time.tv_nsec);
}

std::size_t allocatedBytes() {
  const struct mallinfo2 info = mallinfo2();
  return info.uordblks + info.hblkhd;
}

double percentile(std::vector<double> values, double fraction) {
  if (values.empty())
    return 0;
  const auto at = static_cast<std::ptrdiff_t>(fraction * static_cast<double>(values.size() - 1));
  std::nth_element(values.begin(), values.begin() + at, values.end());
  return values[static_cast<std::size_t>(at)];
}

/// Classes of each idempotency; one in six is bound to a zone, one in ten is ordered per key.
ClassSettings classOf(std::size_t number) {
  static constexpr double kPriorityWeights[] = {5, 2, 3};
  static constexpr Idempotency kIdempotencies[] = {Idempotency::idempotent, Idempotency::none,
                                                   Idempotency::keyed};
  ClassSettings settings;
  settings.name = "class-" + std::to_string(number);
  settings.latencyObjective = milliseconds(400);
  settings.clientTimeout = milliseconds(1000);
  settings.deduplicationWindow = milliseconds(5000);
  settings.idempotency = kIdempotencies[number % 3];
  settings.deduplicationScope = DeduplicationScope::zone;
  settings.priorityWeight = kPriorityWeights[number % 3];
  settings.lateValueFraction = 0.5;
  if (number % 6 == 5)
    settings.zones = {"zone-" + std::to_string(number % kZones)};
  settings.orderedPerKey = number % 10 == 9;
  return settings;
}

Settings settingsOf(const CostSettings& size) {
  Settings settings;
  settings.seed = size.seed;
  settings.replicaCount = static_cast<std::uint32_t>(size.gateways);
  settings.replicaIndex = static_cast<std::uint32_t>(size.seed % size.gateways);
  settings.zone = "zone-0";
  for (std::size_t i = 0; i < size.classes; ++i)
    settings.classes.push_back(classOf(i));
  for (std::size_t i = 0; i < size.tenants; ++i)
    settings.tenants.push_back({"tenant-" + std::to_string(i), 1.0 + static_cast<double>(i % 100)});
  settings.allowHedging = settings.keyAffinity = settings.retryAfter = settings.cancel = true;
  settings.maxAttempts = 3;
  settings.candidates = size.candidates;
  settings.idleTimeout = seconds(60);
  settings.maxRetryAfter = milliseconds(1500);
  settings.slowStartDuration = seconds(23);
  settings.slowStartInitialFraction = 0.12;
  settings.overloadMultiple = 4;
  settings.overloadWindow = seconds(1);
  return settings;
}

Endpoint endpointOf(std::size_t number) {
  Endpoint endpoint;
  endpoint.address = "10." + std::to_string(number / 250) + ".0." + std::to_string(number % 250) + ":8080";
  endpoint.zone = "zone-" + std::to_string(number % kZones);
  endpoint.machineType = "kind-" + std::to_string(number / kZones % kMachineTypes);
  endpoint.cell = static_cast<std::int64_t>(number / kHostsPerCell);
  return endpoint;
}

/// Runs the module in virtual time and measures the processor time of its calls.
class CostMeasurement {
 public:
  explicit CostMeasurement(const CostSettings& size)
      : size_(size),
        arrivals_(size.seed, "arrivals"),
        answers_(size.seed, "answers"),
        changes_(size.seed, "changes"),
        settings_(settingsOf(size)) {
    for (std::size_t i = 0; i < size.hosts; ++i)
      endpoints_.push_back(endpointOf(i));
  }

  CostRow run() {
    row_.size = size_;
    const std::size_t bytesBefore = allocatedBytes();
    row_.startMs = 1e3 * timed([&] { balancer_.emplace(settings_, now_); });
    row_.listMs = 1e3 * timed([&] { balancer_->onEndpoints(now_, EndpointListKind::snapshot, endpoints_); });
    executeActions();
    schedule(now_, EventKind::arrival);
    schedule(now_, EventKind::removal);
    while (arrived_ < size_.requests || !openRequests_.empty())
      step();
    const std::size_t bytesAfter = allocatedBytes();
    row_.memoryMb = static_cast<double>(bytesAfter > bytesBefore ? bytesAfter - bytesBefore : 0) / (1 << 20);
    row_.requestMedianNs = 1e9 * percentile(requestTimes_, 0.5);
    row_.requestP99Ns = 1e9 * percentile(requestTimes_, 0.99);
    row_.sweepUs = 1e6 * percentile(sweepTimes_, 0.5);
    row_.updateUs = 1e6 * percentile(updateTimes_, 0.5);
    row_.digest = digest_.value();
    return row_;
  }

 private:
  enum class EventKind { arrival, result, wake, removal, restart };
  struct Event {
    Time at;
    std::uint64_t order;
    EventKind kind;
    AttemptResult result;
    std::size_t host;
    bool operator>(const Event& other) const { return at != other.at ? at > other.at : order > other.order; }
  };
  struct OpenRequest {
    double processorSeconds = 0;  // so far
    std::uint32_t attemptsInFlight = 0;
    bool ended = false, measured = false;
  };

  template <class Work>
  double timed(Work work) {
    const double start = processorSeconds();
    work();
    return processorSeconds() - start;
  }

  void schedule(Time at, EventKind kind, AttemptResult result = {}, std::size_t host = 0) {
    events_.push({at, ++scheduledEvents_, kind, result, host});
  }

  void step() {
    const Event event = events_.top();
    events_.pop();
    now_ = std::max(now_, event.at);
    switch (event.kind) {
      case EventKind::arrival:
        arrive();
        break;
      case EventKind::result:
        deliverResult(event.result);
        break;
      case EventKind::wake:
        wake();
        break;
      case EventKind::removal:
        removeHost();
        break;
      case EventKind::restart:
        restartHost(event.host);
        break;
    }
    executeActions();
  }

  void arrive() {
    if (arrived_ == size_.requests)
      return;
    if (++arrived_ == size_.requests / 2)
      reload();
    Request request;
    request.id = arrived_;
    request.classIndex = static_cast<std::uint32_t>(arrivals_.below(size_.classes));
    if (size_.tenants > 0)
      request.tenantIndex = static_cast<std::uint32_t>(arrivals_.below(size_.tenants));
    request.remaining = milliseconds(1000);
    request.key = arrivals_.below(kKeys) * 0x9e3779b97f4a7c15ULL;
    request.hasKey = arrivals_.chance(kKeyedShare);
    OpenRequest& open = openRequests_[request.id];
    open.measured = arrived_ > kWarmupRequests;
    open.processorSeconds = timed([&] { balancer_->onRequest(now_, request); });
    schedule(now_ + toDuration(arrivals_.exponential(1 / size_.rate)), EventKind::arrival);
  }

  void deliverResult(const AttemptResult& result) {
    OpenRequest& open = openRequests_.at(result.request);
    --open.attemptsInFlight;
    open.ended |= result.terminal;
    open.processorSeconds += timed([&] { balancer_->onResult(now_, result); });
    executeActions();
    eraseIfComplete(result.request);
  }

  void wake() {
    const double elapsed = timed([&] { balancer_->onWake(now_); });
    if (now_ - lastSweep_ < kSweepPeriod)
      return;
    lastSweep_ = now_;
    sweepTimes_.push_back(elapsed);
  }

  // Removes a server, which returns as a restarted one.
  void removeHost() {
    const std::size_t host = changes_.below(endpoints_.size());
    if (endpoints_[host].state == EndpointState::serving) {
      endpoints_[host].state = EndpointState::removed;
      announce(host);
      schedule(now_ + kRestartDowntime, EventKind::restart, {}, host);
    }
    schedule(now_ + toDuration(changes_.exponential(kMeanRestartIntervalS)), EventKind::removal);
  }

  void restartHost(std::size_t host) {
    endpoints_[host].state = EndpointState::serving;
    endpoints_[host].upSince = now_;
    announce(host);
  }

  void announce(std::size_t host) {
    updateTimes_.push_back(
        timed([&] { balancer_->onEndpoints(now_, EndpointListKind::delta, {endpoints_[host]}); }));
  }

  void reload() {
    settings_.classes.front().latencyObjective += milliseconds(10);
    row_.reloadMs = 1e3 * timed([&] { balancer_->onSettings(now_, settings_); });
  }

  void executeActions() {
    std::vector<Action>& actions = balancer_->actions();
    for (std::size_t i = 0; i < actions.size(); ++i) {
      const Action action = actions[i];
      digest_.add(0, action);
      ++row_.actions;
      execute(action);
    }
    actions.clear();
  }

  void execute(const Action& action) {
    switch (action.kind) {
      case ActionKind::send:
        scheduleResult(action);
        break;
      case ActionKind::reject:
      case ActionKind::fail:
        row_.rejected += 1;
        openRequests_.at(action.request).ended = true;
        eraseIfComplete(action.request);
        break;
      case ActionKind::wake:
        schedule(action.wakeAt, EventKind::wake);
        break;
      case ActionKind::cancel:  // has no effect here: the result still arrives
      case ActionKind::close:
      case ActionKind::pollDiscovery:
      case ActionKind::log:
        break;
    }
  }

  void scheduleResult(const Action& action) {
    ++openRequests_.at(action.request).attemptsInFlight;
    AttemptResult result{action.request, action.attempt, action.host, Outcome::served, {}, true};
    result.elapsed = toDuration(answers_.lognormal(kMeanResponseTimeS, kResponseTimeCv));
    const double drawn = answers_.unit();
    if (drawn < kErrorShare)
      result.outcome = Outcome::error;
    else if (drawn < kErrorShare + kTimeoutShare)
      result.outcome = Outcome::timeout;
    if (result.outcome == Outcome::timeout || result.elapsed > action.timeLimit)
      result.elapsed = action.timeLimit;
    result.terminal = result.outcome == Outcome::served;
    schedule(now_ + result.elapsed, EventKind::result, result);
  }

  void eraseIfComplete(RequestId id) {
    const auto it = openRequests_.find(id);
    if (it == openRequests_.end() || !it->second.ended || it->second.attemptsInFlight > 0)
      return;
    if (it->second.measured)
      requestTimes_.push_back(it->second.processorSeconds);
    openRequests_.erase(it);
  }

  static Duration toDuration(double s) { return Duration(static_cast<Duration::rep>(1e9 * s)); }

  CostSettings size_;
  Stream arrivals_, answers_, changes_;
  Settings settings_;
  std::vector<Endpoint> endpoints_;
  std::optional<Balancer> balancer_;
  Time now_ = kStart, lastSweep_{};
  std::uint64_t scheduledEvents_ = 0;
  std::size_t arrived_ = 0;
  std::priority_queue<Event, std::vector<Event>, std::greater<>> events_;
  std::map<RequestId, OpenRequest> openRequests_;
  std::vector<double> requestTimes_, sweepTimes_, updateTimes_;
  ActionDigest digest_;
  CostRow row_;
};

}  // namespace

CostRow measureCost(const CostSettings& settings) {
  return CostMeasurement(settings).run();
}

std::string textOf(const std::vector<CostRow>& rows) {
  std::string text =
      "hosts tenants classes  request_ns    p99_ns  sweep_us  list_ms  update_us  start_ms  reload_ms    MB  "
      "refused  digest\n";
  for (const CostRow& row : rows)
    text += fmt::format(
        "{:5} {:7} {:7}  {:10.0f}  {:8.0f}  {:8.1f}  {:7.2f}  {:9.1f}  {:8.2f}  {:9.2f}  {:4.1f}  {:7}  "
        "{:016x}\n",
        row.size.hosts, row.size.tenants, row.size.classes, row.requestMedianNs, row.requestP99Ns,
        row.sweepUs, row.listMs, row.updateUs, row.startMs, row.reloadMs, row.memoryMb, row.rejected,
        row.digest);
  return text;
}

}  // namespace hollyrun::lab
