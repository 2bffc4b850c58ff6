#include "lab/simulation/policy.hpp"

#include <algorithm>
#include <limits>
#include <map>
#include <queue>
#include <stdexcept>
#include <unordered_map>

#include "lab/simulation/random.hpp"

namespace hollyrun::lab {

using namespace balancer;

namespace {

class ModulePolicy final : public Policy {
 public:
  ModulePolicy(const Settings& settings, Time now) : balancer_(settings, now) {}
  void onSettings(Time now, const Settings& settings) override { balancer_.onSettings(now, settings); }
  void onEndpoints(Time now, EndpointListKind kind, const std::vector<Endpoint>& entries) override {
    balancer_.onEndpoints(now, kind, entries);
  }
  void onRequest(Time now, const Request& request) override { balancer_.onRequest(now, request); }
  void onResult(Time now, const AttemptResult& result) override { balancer_.onResult(now, result); }
  void onClientDisconnected(Time now, RequestId request) override {
    balancer_.onClientDisconnected(now, request);
  }
  void onWake(Time now) override { balancer_.onWake(now); }
  std::vector<Action>& actions() override { return balancer_.actions(); }
  HostId findHost(std::string_view address) const override { return balancer_.findHost(address); }
  const std::string& address(HostId host) const override { return balancer_.address(host); }
  double sheddingThreshold() const override { return balancer_.sheddingThreshold(); }

 private:
  Balancer balancer_;
};

// The common part of the baseline policies. They observe the rules on repeats, drains and answers, and retry
// while the class permits it. A server that warms up is a candidate with a probability that grows with its
// age. The policies differ in the candidate that they choose.
class BaselinePolicy : public Policy {
 public:
  BaselinePolicy(const Settings& settings, const OmniscientView& view)
      : settings_(settings), view_(view), random_(settings.seed, "plain") {}

  void onSettings(Time, const Settings& settings) override { settings_ = settings; }
  void onEndpoints(Time, EndpointListKind kind, const std::vector<Endpoint>& entries) override {
    if (kind == EndpointListKind::unavailable)
      return;
    if (kind != EndpointListKind::delta)
      for (Host& host : hosts_)
        host.entry.state = EndpointState::removed;
    for (const Endpoint& entry : entries) {
      const auto [it, isNew] = ids_.emplace(entry.address, static_cast<HostId>(hosts_.size()));
      if (isNew)
        hosts_.emplace_back();
      hosts_[it->second].entry = entry;
    }
  }
  void onRequest(Time now, const Request& request) override {
    const ClassSettings& classSettings =
        settings_.classes[std::min<std::size_t>(request.classIndex, settings_.classes.size() - 1)];
    OpenRequest& open = openRequests_[request.id] =
        OpenRequest{classSettings, now + request.remaining, 0, false, {}};
    deadlines_.push({open.deadline, request.id});
    Action& wake = actions_.emplace_back();
    wake.kind = ActionKind::wake;
    wake.wakeAt = open.deadline;
    if (!send(now, request.id, open))
      rejectOrFail(request.id, open);
  }
  void onResult(Time now, const AttemptResult& result) override {
    const auto it = openRequests_.find(result.request);
    hosts_[result.host].inFlight -= 1;
    if (it == openRequests_.end())
      return;
    OpenRequest& open = it->second;
    --open.inFlight;
    if (result.outcome == Outcome::rejected || result.outcome == Outcome::connectFailed ||
        result.outcome == Outcome::abandoned)
      open.attempts[result.attempt].mayHaveExecuted = false;
    if (result.terminal)
      open.ended = true;
    if (!open.ended && open.inFlight == 0 &&
        (now >= open.deadline || result.outcome == Outcome::abandoned || !send(now, result.request, open)))
      return rejectOrFail(result.request, open);
    if (open.ended && open.inFlight == 0)
      openRequests_.erase(it);
  }
  void onClientDisconnected(Time, RequestId id) override {
    const auto it = openRequests_.find(id);
    if (it == openRequests_.end())
      return;
    it->second.ended = true;
    if (it->second.inFlight == 0)
      openRequests_.erase(it);
  }
  void onWake(Time now) override {
    for (; !deadlines_.empty() && deadlines_.top().first <= now; deadlines_.pop()) {
      const auto it = openRequests_.find(deadlines_.top().second);
      if (it != openRequests_.end() && !it->second.ended)
        rejectOrFail(it->first, it->second);
    }
  }
  std::vector<Action>& actions() override { return actions_; }
  HostId findHost(std::string_view address) const override {
    const auto it = ids_.find(std::string(address));
    return it == ids_.end() ? kNone : it->second;
  }
  const std::string& address(HostId host) const override { return hosts_.at(host).entry.address; }

 protected:
  struct Host {
    Endpoint entry;
    int inFlight = 0;
  };
  /// Chooses one of `hosts`, which is not empty; kNone rejects the request.
  virtual HostId choose(Time now, const std::vector<HostId>& hosts, const ClassSettings& classSettings,
                        Time deadline) = 0;

  Settings settings_;
  const OmniscientView& view_;
  Stream random_;
  std::vector<Host> hosts_;

 private:
  struct Attempt {
    HostId host;
    Time sentAt;
    bool mayHaveExecuted = true;
  };
  struct OpenRequest {
    ClassSettings settings;
    Time deadline;
    int inFlight = 0;
    bool ended = false;
    std::vector<Attempt> attempts;
  };
  bool mayRepeatAt(Time now, const OpenRequest& open, const Endpoint& entry) const {
    for (const Attempt& attempt : open.attempts) {
      if (!attempt.mayHaveExecuted || open.settings.idempotency == Idempotency::idempotent)
        continue;
      if (open.settings.idempotency == Idempotency::none)
        return false;
      const Endpoint& first = hosts_[attempt.host].entry;
      if (open.settings.deduplicationScope != DeduplicationScope::all && first.zone != entry.zone)
        return false;
      if (open.settings.deduplicationScope == DeduplicationScope::cell && first.cell != entry.cell)
        return false;
      if (now > attempt.sentAt + open.settings.deduplicationWindow)
        return false;
    }
    return true;
  }
  bool send(Time now, RequestId id, OpenRequest& open) {
    if (open.attempts.size() >= settings_.maxAttempts || now >= open.deadline)
      return false;
    std::vector<HostId> hosts;
    for (HostId i = 0; i < hosts_.size(); ++i) {
      const Endpoint& entry = hosts_[i].entry;
      if (entry.state != EndpointState::serving || !mayRepeatAt(now, open, entry))
        continue;
      const double age = entry.upSince > Time{} ? std::chrono::duration<double>(now - entry.upSince).count()
                                                : kAgeOfUnknownStartS;
      const double slowStart =
          std::max(std::chrono::duration<double>(settings_.slowStartDuration).count(), 1e-9);
      if (age >= slowStart || random_.chance(settings_.slowStartInitialFraction +
                                             (1 - settings_.slowStartInitialFraction) * age / slowStart))
        hosts.push_back(i);
    }
    const HostId host = hosts.empty() ? kNone : choose(now, hosts, open.settings, open.deadline);
    if (host == kNone)
      return false;
    Action& send = actions_.emplace_back();
    send.kind = ActionKind::send;
    send.request = id;
    send.attempt = static_cast<std::uint32_t>(open.attempts.size());
    send.host = host;
    send.timeLimit = open.deadline - now;
    open.attempts.push_back({host, now});
    hosts_[host].inFlight += 1;
    ++open.inFlight;
    return true;
  }
  void rejectOrFail(RequestId id, OpenRequest& open) {
    const bool mayHaveExecuted = std::any_of(open.attempts.begin(), open.attempts.end(),
                                             [](const Attempt& attempt) { return attempt.mayHaveExecuted; });
    const bool safeToRepeat = !mayHaveExecuted || open.settings.idempotency == Idempotency::idempotent;
    Action& end = actions_.emplace_back();
    end.kind = safeToRepeat ? ActionKind::reject : ActionKind::fail;
    end.request = id;
    open.ended = true;
    if (open.inFlight == 0)
      openRequests_.erase(id);
  }

  static constexpr double kAgeOfUnknownStartS = 1e9;  // longer than any slow start

  std::vector<Action> actions_;
  std::map<RequestId, OpenRequest> openRequests_;
  std::unordered_map<std::string, HostId> ids_;
  using RequestDeadline = std::pair<Time, RequestId>;
  std::priority_queue<RequestDeadline, std::vector<RequestDeadline>, std::greater<>> deadlines_;
};

class RandomPolicy final : public BaselinePolicy {
 public:
  using BaselinePolicy::BaselinePolicy;
  HostId choose(Time, const std::vector<HostId>& hosts, const ClassSettings&, Time) override {
    return hosts[random_.below(hosts.size())];
  }
};

class LeastRequestPolicy final : public BaselinePolicy {
 public:
  using BaselinePolicy::BaselinePolicy;
  HostId choose(Time, const std::vector<HostId>& hosts, const ClassSettings&, Time) override {
    int least = std::numeric_limits<int>::max();
    std::vector<HostId> best;
    for (HostId id : hosts) {
      if (hosts_[id].inFlight < least)
        best.clear();
      least = std::min(least, hosts_[id].inFlight);
      if (hosts_[id].inFlight == least)
        best.push_back(id);
    }
    return best[random_.below(best.size())];
  }
};

class PowerOfTwoChoicesPolicy final : public BaselinePolicy {
 public:
  using BaselinePolicy::BaselinePolicy;
  HostId choose(Time, const std::vector<HostId>& hosts, const ClassSettings&, Time) override {
    const HostId a = hosts[random_.below(hosts.size())], b = hosts[random_.below(hosts.size())];
    return hosts_[a].inFlight <= hosts_[b].inFlight ? a : b;
  }
};

// Sees the true state of the servers. Among those that are neither choked nor full, it chooses the one that
// would complete the request first, and rejects the request if none would within its deadline and latency
// objective. The limit of requests in flight grows with the priority weight of the class, so that
// requests of low weight are rejected first.
class OmniscientPolicy final : public BaselinePolicy {
 public:
  using BaselinePolicy::BaselinePolicy;
  HostId choose(Time now, const std::vector<HostId>& hosts, const ClassSettings& classSettings,
                Time deadline) override {
    double maxWeight = 0;
    for (const ClassSettings& other : settings_.classes)
      maxWeight = std::max(maxWeight, other.priorityWeight);
    const double limit =
        kMaxInFlightPerCore * (0.5 + 0.5 * classSettings.priorityWeight / std::max(maxWeight, 1e-9));
    double first = std::min(std::chrono::duration<double>(deadline - now).count(),
                            std::chrono::duration<double>(classSettings.latencyObjective).count());
    HostId best = kNone;
    for (HostId id : hosts) {
      const OmniscientView::State state = view_.serverState(hosts_[id].entry.address, kTypicalWorkS);
      if (state.choked || state.inFlightPerCore >= limit || state.secondsToServe >= first)
        continue;
      first = state.secondsToServe;
      best = id;
    }
    return best;
  }

 private:
  static constexpr double kTypicalWorkS = 0.05;       // of a request
  static constexpr double kMaxInFlightPerCore = 3.5;  // below the load at which a server chokes
};

template <class Kind>
std::unique_ptr<Policy> makeBaseline(const Settings& settings, Time, const OmniscientView& view) {
  return std::make_unique<Kind>(settings, view);
}

const std::map<std::string, PolicyFactory>& policyFactories() {
  static const std::map<std::string, PolicyFactory> all{
      {"module",
       [](const Settings& settings, Time now, const OmniscientView&) -> std::unique_ptr<Policy> {
         return std::make_unique<ModulePolicy>(settings, now);
       }},
      {"random", makeBaseline<RandomPolicy>},
      {"least", makeBaseline<LeastRequestPolicy>},
      {"two", makeBaseline<PowerOfTwoChoicesPolicy>},
      {"truth", makeBaseline<OmniscientPolicy>}};
  return all;
}

}  // namespace

PolicyFactory policyNamed(const std::string& name) {
  const auto it = policyFactories().find(name);
  if (it == policyFactories().end())
    throw std::invalid_argument("unknown policy '" + name +
                                "', expected module, random, least, two or truth");
  return it->second;
}

const std::vector<std::string>& policyNames() {
  static const std::vector<std::string> names = [] {
    std::vector<std::string> all;
    for (const auto& [name, factory] : policyFactories())
      all.push_back(name);
    return all;
  }();
  return names;
}

}  // namespace hollyrun::lab
