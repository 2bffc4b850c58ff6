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

// What the plain policies have in common: they keep the rules on repeats, drains and answers, take cold hosts
// by a part of their draws, send again while the class permits, and differ in the host that they choose.
class Plain : public Policy {
 public:
  Plain(const Settings& settings, const OmniscientView& view)
      : set_(settings), view_(view), random_(settings.seed, "plain") {}

  void onSettings(Time, const Settings& settings) override { set_ = settings; }
  void onEndpoints(Time, EndpointListKind kind, const std::vector<Endpoint>& entries) override {
    if (kind == EndpointListKind::unavailable)
      return;
    if (kind != EndpointListKind::delta)
      for (Known& k : hosts_)
        k.entry.state = EndpointState::removed;
    for (const Endpoint& e : entries) {
      const auto [it, fresh] = ids_.emplace(e.address, static_cast<HostId>(hosts_.size()));
      if (fresh)
        hosts_.emplace_back();
      hosts_[it->second].entry = e;
    }
  }
  void onRequest(Time now, const Request& q) override {
    const ClassSettings& c = set_.classes[std::min<std::size_t>(q.classIndex, set_.classes.size() - 1)];
    Held& h = held_[q.id] = Held{c, now + q.remaining, 0, false, {}};
    due_.push({h.deadline, q.id});
    Action& wake = actions_.emplace_back();
    wake.kind = ActionKind::wake;
    wake.wakeAt = h.deadline;
    if (!send(now, q.id, h))
      give(q.id, h);
  }
  void onResult(Time now, const AttemptResult& r) override {
    const auto it = held_.find(r.request);
    hosts_[r.host].held -= 1;
    if (it == held_.end())
      return;
    Held& h = it->second;
    --h.out;
    if (r.outcome == Outcome::rejected || r.outcome == Outcome::connectFailed ||
        r.outcome == Outcome::abandoned)
      h.tries[r.attempt].mayHaveExecuted = false;
    if (r.terminal)
      h.ended = true;
    if (!h.ended && h.out == 0 &&
        (now >= h.deadline || r.outcome == Outcome::abandoned || !send(now, r.request, h)))
      return give(r.request, h);
    if (h.ended && h.out == 0)
      held_.erase(it);
  }
  void onClientDisconnected(Time, RequestId id) override {
    const auto it = held_.find(id);
    if (it == held_.end())
      return;
    it->second.ended = true;
    if (it->second.out == 0)
      held_.erase(it);
  }
  void onWake(Time now) override {
    for (; !due_.empty() && due_.top().first <= now; due_.pop()) {
      const auto it = held_.find(due_.top().second);
      if (it != held_.end() && !it->second.ended)
        give(it->first, it->second);
    }
  }
  std::vector<Action>& actions() override { return actions_; }
  HostId findHost(std::string_view address) const override {
    const auto it = ids_.find(std::string(address));
    return it == ids_.end() ? kNone : it->second;
  }
  const std::string& address(HostId host) const override { return hosts_.at(host).entry.address; }

 protected:
  struct Known {
    Endpoint entry;
    int held = 0;
  };
  /// One of `from`, not empty; kNone refuses the request.
  virtual HostId choose(Time now, const std::vector<HostId>& from, const ClassSettings& set,
                        Time deadline) = 0;

  Settings set_;
  const OmniscientView& view_;
  Stream random_;
  std::vector<Known> hosts_;

 private:
  struct Sent {
    HostId host;
    Time at;
    bool mayHaveExecuted = true;
  };
  struct Held {
    ClassSettings set;
    Time deadline;
    int out = 0;
    bool ended = false;
    std::vector<Sent> tries;
  };
  bool allowed(Time now, const Held& h, const Endpoint& e) const {
    for (const Sent& s : h.tries) {
      if (!s.mayHaveExecuted || h.set.idempotency == Idempotency::idempotent)
        continue;
      if (h.set.idempotency == Idempotency::none)
        return false;
      const Endpoint& first = hosts_[s.host].entry;
      if (h.set.deduplicationScope != DeduplicationScope::all && first.zone != e.zone)
        return false;
      if (h.set.deduplicationScope == DeduplicationScope::cell && first.cell != e.cell)
        return false;
      if (now > s.at + h.set.deduplicationWindow)
        return false;
    }
    return true;
  }
  bool send(Time now, RequestId id, Held& h) {
    if (h.tries.size() >= set_.maxAttempts || now >= h.deadline)
      return false;
    std::vector<HostId> from;
    for (HostId i = 0; i < hosts_.size(); ++i) {
      const Endpoint& e = hosts_[i].entry;
      if (e.state != EndpointState::serving || !allowed(now, h, e))
        continue;
      const double age = e.upSince > Time{} ? std::chrono::duration<double>(now - e.upSince).count() : 1e9;
      const double whole = std::max(std::chrono::duration<double>(set_.slowStartDuration).count(), 1e-9);
      if (age >= whole ||
          random_.chance(set_.slowStartInitialFraction + (1 - set_.slowStartInitialFraction) * age / whole))
        from.push_back(i);
    }
    const HostId host = from.empty() ? kNone : choose(now, from, h.set, h.deadline);
    if (host == kNone)
      return false;
    Action& send = actions_.emplace_back();
    send.kind = ActionKind::send;
    send.request = id;
    send.attempt = static_cast<std::uint32_t>(h.tries.size());
    send.host = host;
    send.timeLimit = h.deadline - now;
    h.tries.push_back({host, now});
    hosts_[host].held += 1;
    ++h.out;
    return true;
  }
  void give(RequestId id, Held& h) {
    const bool mayHaveExecuted =
        std::any_of(h.tries.begin(), h.tries.end(), [](const Sent& s) { return s.mayHaveExecuted; });
    const bool harmless = !mayHaveExecuted || h.set.idempotency == Idempotency::idempotent;
    Action& end = actions_.emplace_back();
    end.kind = harmless ? ActionKind::reject : ActionKind::fail;
    end.request = id;
    h.ended = true;
    if (h.out == 0)
      held_.erase(id);
  }

  std::vector<Action> actions_;
  std::map<RequestId, Held> held_;
  std::unordered_map<std::string, HostId> ids_;
  using Due = std::pair<Time, RequestId>;
  std::priority_queue<Due, std::vector<Due>, std::greater<>> due_;
};

class RandomPolicy final : public Plain {
 public:
  using Plain::Plain;
  HostId choose(Time, const std::vector<HostId>& from, const ClassSettings&, Time) override {
    return from[random_.below(from.size())];
  }
};

class LeastPolicy final : public Plain {
 public:
  using Plain::Plain;
  HostId choose(Time, const std::vector<HostId>& from, const ClassSettings&, Time) override {
    int least = std::numeric_limits<int>::max();
    std::vector<HostId> best;
    for (HostId id : from) {
      if (hosts_[id].held < least)
        best.clear();
      least = std::min(least, hosts_[id].held);
      if (hosts_[id].held == least)
        best.push_back(id);
    }
    return best[random_.below(best.size())];
  }
};

class TwoPolicy final : public Plain {
 public:
  using Plain::Plain;
  HostId choose(Time, const std::vector<HostId>& from, const ClassSettings&, Time) override {
    const HostId a = from[random_.below(from.size())], b = from[random_.below(from.size())];
    return hosts_[a].held <= hosts_[b].held ? a : b;
  }
};

// Sees the true state: the server that would be done first, of those that are not crowded. A jammed one
// rests. The lesser classes go first: the more a request is worth, the fuller a server may be that takes it.
class OmniscientPolicy final : public Plain {
 public:
  using Plain::Plain;
  HostId choose(Time now, const std::vector<HostId>& from, const ClassSettings& set, Time deadline) override {
    double most = 0;
    for (const ClassSettings& c : set_.classes)
      most = std::max(most, c.priorityWeight);
    const double full = kFull * (0.5 + 0.5 * set.priorityWeight / std::max(most, 1e-9));
    double first = std::min(std::chrono::duration<double>(deadline - now).count(),
                            std::chrono::duration<double>(set.latencyObjective).count());
    HostId best = kNone;
    for (HostId id : from) {
      const OmniscientView::State state = view_.look(hosts_[id].entry.address, kWork);
      if (state.jammed || state.held >= full || state.seconds >= first)
        continue;
      first = state.seconds;
      best = id;
    }
    return best;
  }

 private:
  static constexpr double kWork = 0.05;  // seconds: about a usual request
  static constexpr double kFull = 3.5;   // held a core: below what jams one
};

template <class Kind>
std::unique_ptr<Policy> plain(const Settings& settings, Time, const OmniscientView& view) {
  return std::make_unique<Kind>(settings, view);
}

const std::map<std::string, PolicyMaker>& makers() {
  static const std::map<std::string, PolicyMaker> all{
      {"module",
       [](const Settings& s, Time now, const OmniscientView&) -> std::unique_ptr<Policy> {
         return std::make_unique<ModulePolicy>(s, now);
       }},
      {"random", plain<RandomPolicy>},
      {"least", plain<LeastPolicy>},
      {"two", plain<TwoPolicy>},
      {"truth", plain<OmniscientPolicy>}};
  return all;
}

}  // namespace

PolicyMaker policyNamed(const std::string& name) {
  const auto it = makers().find(name);
  if (it == makers().end())
    throw std::invalid_argument("no policy '" + name + "'");
  return it->second;
}

const std::vector<std::string>& policyNames() {
  static const std::vector<std::string> names = [] {
    std::vector<std::string> all;
    for (const auto& [name, maker] : makers())
      all.push_back(name);
    return all;
  }();
  return names;
}

}  // namespace hollyrun::lab
