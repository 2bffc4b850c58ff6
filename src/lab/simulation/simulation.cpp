#include "lab/simulation/simulation.hpp"

#include <algorithm>
#include <cmath>
#include <cstdio>
#include <deque>
#include <functional>
#include <limits>
#include <queue>
#include <stdexcept>
#include <unordered_map>

#include "lab/simulation/digest.hpp"
#include "lab/simulation/draw.hpp"
#include "lab/simulation/latencies.hpp"
#include "membership/membership.hpp"

namespace hollyrun::lab {

using namespace balancer;

namespace {

constexpr Time kStart = std::chrono::seconds(100);  // zero would read as "long past"
constexpr Duration kServerTick = std::chrono::milliseconds(50);
constexpr Duration kSample = std::chrono::milliseconds(250);
constexpr std::size_t kSaidMost = 500;
constexpr std::uint32_t kNobody = UINT32_MAX;

enum class EventKind : std::uint8_t {
  clientTry,   // a: call
  arrive,      // a: try, reaches its gateway
  due,         // a: try, its answer's time is over
  atServer,    // a: attempt
  serverDone,  // a: server, b: turn
  tick,        // a: server
  atGateway,   // a: attempt, its outcome arrives
  timeout,     // a: attempt
  wake,        // a: gateway, b: its life
  tell,        // a: gateway, b: list change
  call,        // a: in calls_
  sample
};

struct Event {
  Time at;
  std::uint64_t order;
  EventKind what;
  std::uint32_t a, b;
  bool operator>(const Event& o) const { return at != o.at ? at > o.at : order > o.order; }
};

enum class CallEnd : std::uint8_t { open, inTime, late, refused, failed };

struct Call {  // of a client: its first try and its retries
  Time first{};
  std::uint32_t cls = 0, zone = 0;
  std::uint64_t key = 0;
  double work = 0, value = 0;
  std::uint8_t left = 0, tries = 0;
  CallEnd end = CallEnd::open;
  Time endAt{};
};

struct Try {
  std::uint32_t call = 0, gateway = 0, life = 0;
  Time deadline{};
  bool ended = false;
  std::uint8_t attempts = 0;
  std::array<std::uint32_t, 8> ids{};
};

struct Attempt {
  std::uint32_t of = 0, server = 0;
  Time at{};
  std::uint8_t number = 0;
  bool out = true, fresh = false, connected = false, swallowed = false;
  Outcome outcome = Outcome::served;
  std::uint32_t epoch = 0;
};

struct Pool {  // a gateway's connections to one server
  std::vector<Time> idle;
  std::uint32_t epoch = 0;
};

struct Gateway {
  std::string name;
  std::uint32_t zone = 0, life = 0;
  bool up = false, known = false;  // known: the front takes it for up
  std::unique_ptr<Policy> policy;
  std::vector<std::uint32_t> serverOf;  // by HostId
  std::vector<Pool> pools;              // by server
  std::vector<std::uint32_t> open;      // tries not ended
  std::vector<EndpointState> told;      // by server
  std::vector<Time> toldStart;          // by server: the start that it was told
  Time lastTold{};
  double weight = 1;
  std::uint32_t replicaCount = 0;  // as its module has it
  std::optional<membership::Membership> member;
  Time memberWake = Time::max();
};

struct Machine {
  Endpoint entry;
  Server server;
  std::uint32_t zone = 0, epoch = 0, turn = 0;
  bool reachable = true, up = true, draining = false, leftSilently = false;
  double slow = 1, errors = 0, resets = 0, losses = 0;
  int paused = 0;
};

struct Change {
  std::uint32_t server;
  Endpoint entry;
};

class Simulation final : public OmniscientView {
 public:
  Simulation(const Scenario& scenario, std::uint64_t seed, const PolicyMaker& maker)
      : s_(scenario),
        seed_(seed),
        maker_(maker),
        d_(scenario, seed),
        fleet_(scenario, seed),
        network_(seed, "network"),
        notices_(seed, "notices"),
        faultSpec_(seed, "trouble"),
        between_(seed, "between"),
        checker_({millis(s_.answerSlackMs), millis(s_.drainGraceMs), s_.secondCopies, {}}) {}

  Result play() {
    tick_ = millis(s_.tickMs);
    drawDay();
    drawServers();
    drawGateways();
    drawFaults();
    drawArrivals();
    at(kStart, EventKind::sample);
    const Time last = kStart + secs(s_.lengthS) + secs(d_.longest + 1);
    while (!events_.empty() && events_.top().at <= last) {
      const Event e = events_.top();
      events_.pop();
      now_ = e.at;
      ++result_.events;
      dispatch(e);
    }
    settle();
    result_.digest = digest_.value();
    return std::move(result_);
  }

  State look(const std::string& address, double work) const override {
    const Machine& m = machines_[byAddress_.at(address)];
    const ServerFigures& f = m.server.figures();
    State state;
    state.held = static_cast<double>(m.server.held()) / f.cores;
    state.jammed = m.server.choked();
    const bool serves = m.reachable && m.up && !m.draining && m.paused == 0 && m.server.waiting() < f.room;
    const double able = m.server.capacity();
    state.seconds =
        serves ? m.server.backlog() / able + work * f.cores / able : std::numeric_limits<double>::infinity();
    return state;
  }

 private:
  static Duration secs(double s) { return lab::seconds(s); }
  static Duration millis(double ms) { return lab::seconds(ms / 1000); }
  double sinceStart(Time t) const { return inSeconds(t - kStart); }

  void at(Time when, EventKind what, std::uint32_t a = 0, std::uint32_t b = 0) {
    events_.push({std::max(when, now_), order_++, what, a, b});
  }
  void at(Time when, std::function<void()> call) {
    calls_.push_back(std::move(call));
    at(when, EventKind::call, static_cast<std::uint32_t>(calls_.size() - 1));
  }
  /// When a gateway handles what reaches it then: its next tick.
  Time door(Time when) const {
    if (tick_ <= Duration(0))
      return when;
    const auto rest = when.count() % tick_.count();
    return rest == 0 ? when : when + tick_ - Duration(rest);
  }
  std::string stamp() const {
    char when[32];
    std::snprintf(when, sizeof when, "%8.3f s  ", sinceStart(now_));
    return when;
  }
  void note(const std::string& text) { result_.happened.push_back(stamp() + text); }

  // --- Drawing the day ----------------------------------------------------------------------------------

  void drawDay() {
    for (const DrawnClass& d : d_.classes) {
      ClassRecord record;
      record.name = d.set.name;
      result_.classes.push_back(record);
    }
  }

  void drawServers() {
    for (std::size_t i = 0; i < fleet_.kindOf.size(); ++i)
      addMachine(fleet_.kindOf[i], static_cast<std::uint32_t>(i % s_.zones.size()), i / fleet_.cellSize);
    for (const Machine& m : machines_)
      capacity_ += m.server.figures().cores * m.server.figures().speed;
  }

  std::uint32_t addMachine(std::size_t kind, std::uint32_t zone, std::size_t cell) {
    const auto number = static_cast<std::uint32_t>(machines_.size());
    DrawnMachine drawn = drawMachine(s_, seed_, fleet_, d_.chokes, number, kind, zone, cell);
    const ServerFigures& f = drawn.figures;
    Machine m{drawn.entry, Server(f)};
    m.zone = zone;
    byAddress_[m.entry.address] = number;
    kindOf_.push_back(kind);
    machines_.push_back(std::move(m));
    machines_.back().server.advance(now_);
    at(std::max(now_, kStart) + Duration(kServerTick.count() * (number % 16) / 16), EventKind::tick, number);
    ServerRecord record;
    record.address = machines_.back().entry.address;
    record.zone = s_.zones[zone];
    record.kind = machines_.back().entry.machineType;
    record.cores = f.cores;
    record.speed = f.speed;
    // Its record begins with the day, so that all lie on one clock.
    record.held.assign(samples_, 0);
    record.states.assign(samples_, ServerState::gone);
    result_.servers.push_back(record);
    published_.push_back(machines_.back().entry);
    publishedIn_.push_back(now_ <= kStart);
    return number;
  }

  void drawGateways() {
    Stream fleet(seed_, "gateways");
    const auto count = static_cast<std::uint32_t>(std::lround(s_.gateways.draw(fleet)));
    const double spread = s_.startSpreadMs.draw(fleet);
    settings_ = moduleSettings(s_, d_);
    settings_.replicaCount =
        s_.configuredGateways > 0 ? static_cast<std::uint32_t>(s_.configuredGateways) : count;
    gateways_.resize(count);
    for (std::uint32_t g = 0; g < count; ++g) {
      gateways_[g].name = "gateway-" + std::to_string(g);
      gateways_[g].zone = g % static_cast<std::uint32_t>(s_.zones.size());
      gateways_[g].weight = fleet.uniform(0.8, 1.2);
      at(kStart + millis(fleet.uniform(0, spread)), [this, g] { startGateway(g, true); });
    }
  }

  void drawArrivals() {
    for (const Arrival& a : arrivalsOf(s_, seed_, d_, d_.level * capacity_ / d_.meanWork, surges_)) {
      Call c;
      c.first = kStart + secs(a.at);
      c.cls = a.cls;
      c.zone = a.zone;
      c.work = a.work;
      c.key = a.key;
      c.value = d_.classes[c.cls].set.priorityWeight * c.work;
      c.left = static_cast<std::uint8_t>(d_.retries);
      clientCalls_.push_back(c);
      at(c.first, EventKind::clientTry, static_cast<std::uint32_t>(clientCalls_.size() - 1));
    }
    result_.seconds.resize(static_cast<std::size_t>(std::ceil(s_.lengthS)));
  }

  // --- Clients and gateways -----------------------------------------------------------------------------

  Second& secondOf(Time t) {
    const double s = std::clamp(sinceStart(t), 0.0, s_.lengthS - 1e-9);
    return result_.seconds[std::min(static_cast<std::size_t>(s), result_.seconds.size() - 1)];
  }

  void clientTry(std::uint32_t id) {
    Call& c = clientCalls_[id];
    const DrawnClass& d = d_.classes[c.cls];
    Duration left = balancer::Duration(
        static_cast<std::int64_t>(static_cast<double>(d.set.clientTimeout.count()) * d_.tryShare));
    left = std::min(left, d.set.clientTimeout - (now_ - c.first));
    if (left <= Duration(0))
      return leave(c, false);
    Stream front(seed_, "front", static_cast<std::uint64_t>(id) * 32 + c.tries);
    ++c.tries;
    secondOf(c.first).tries += 1;
    ++result_.tries;
    double sum = 0;
    std::uint32_t chosen = kNobody;
    for (const bool own : {true, false}) {
      for (std::uint32_t g = 0; g < gateways_.size(); ++g) {
        if (!gateways_[g].known || (own && gateways_[g].zone != c.zone))
          continue;
        sum += gateways_[g].weight;
        if (front.unit() * sum < gateways_[g].weight)
          chosen = g;
      }
      if (chosen != kNobody)
        break;
    }
    Try t;
    t.call = id;
    t.gateway = chosen;
    if (chosen == kNobody || !gateways_[chosen].up)
      return retry(id, false, true, {});
    t.life = gateways_[chosen].life;
    const Time arrives = door(now_ + secs(d_.clientHop));
    t.deadline = arrives + left;
    tries_.push_back(t);
    at(arrives, EventKind::arrive, static_cast<std::uint32_t>(tries_.size() - 1));
  }

  void leave(Call& c, bool refused) {
    c.end = refused ? CallEnd::refused : CallEnd::failed;
    c.endAt = now_;
  }

  // After a try without success: the client comes again, or leaves it at that.
  void retry(std::uint32_t id, bool refused, bool unreachable, Duration after) {
    Call& c = clientCalls_[id];
    const ClassSettings& set = settings_.classes[c.cls];
    const auto wait =
        retryWait(d_, seed_, id, c.tries, c.left, set, {refused, unreachable, after}, now_ - c.first);
    if (!wait)
      return leave(c, refused);
    --c.left;
    at(now_ + secs(*wait), EventKind::clientTry, id);
  }

  std::uint32_t sizeFor(std::uint32_t g) const {
    const auto& member = gateways_[g].member;
    return std::max(settings_.replicaCount, member ? static_cast<std::uint32_t>(member->quotaHolders()) : 1);
  }

  Settings settingsOf(std::uint32_t g) {
    Settings set = settings_;
    set.replicaCount = sizeFor(g);
    set.replicaIndex = std::min(g, set.replicaCount - 1);
    set.seed = Stream(seed_, "seed", static_cast<std::uint64_t>(g) * 64 + gateways_[g].life).engine()();
    set.zone = s_.zones[gateways_[g].zone];
    return set;
  }

  // --- The gateways among themselves ---

  static membership::Address addressOf(std::uint32_t g) {
    return {0x7f000001 + (g >> 14), static_cast<std::uint16_t>(1 + (g & 0x3fff))};
  }

  void startMember(std::uint32_t g) {
    if (s_.membershipPeriodMs <= 0)
      return;
    Gateway& w = gateways_[g];
    membership::MembershipSettings set;
    set.probeInterval = millis(s_.membershipPeriodMs);
    for (std::uint32_t i = 0; i < std::min<std::size_t>(3, gateways_.size()); ++i)
      set.seeds.push_back(addressOf(i));
    membership::MemberRecord self;
    self.name = w.name;
    self.address = addressOf(g);
    self.zone = s_.zones[w.zone];
    w.member.emplace(set, self,
                     Stream(seed_, "member", static_cast<std::uint64_t>(g) * 64 + w.life).engine()(), now_);
    w.memberWake = Time::max();
    settleMember(g);
  }

  // Sends what the member wants to say, wakes it when it asks for it, and gives the module a new size.
  void settleMember(std::uint32_t g) {
    Gateway& w = gateways_[g];
    for (membership::Datagram& d : std::exchange(w.member->datagrams(), {})) {
      const std::uint32_t to = (d.to.ip - 0x7f000001) << 14 | (d.to.port - 1u);
      if (to >= gateways_.size() ||
          (w.zone != gateways_[to].zone && (cut(w.zone) || cut(gateways_[to].zone))))
        continue;
      const Range& way = w.zone == gateways_[to].zone ? s_.sameMs : s_.crossMs;
      at(now_ + millis(way.draw(between_) / 2), [this, g, to, bytes = std::move(d.bytes)] {
        if (!gateways_[to].member)
          return;
        gateways_[to].member->onDatagram(now_, addressOf(g), bytes);
        settleMember(to);
      });
    }
    w.member->events().clear();
    if (const std::uint32_t size = sizeFor(g); w.policy && size != w.replicaCount) {
      w.replicaCount = size;
      w.policy->onSettings(now_, settingsOf(g));
      carryOut(g);
    }
    if (w.member->wakeAt() >= w.memberWake)
      return;
    w.memberWake = w.member->wakeAt();
    at(w.memberWake, [this, g, life = w.life] {
      Gateway& later = gateways_[g];
      if (!later.member || later.life != life)
        return;
      later.memberWake = Time::max();
      later.member->onWake(now_);
      settleMember(g);
    });
  }

  void startGateway(std::uint32_t g, bool first) {
    Gateway& w = gateways_[g];
    ++w.life;
    w.up = w.known = true;
    w.replicaCount = sizeFor(g);
    w.policy = maker_(settingsOf(g), now_, *this);
    w.serverOf.clear();
    w.pools.assign(machines_.size(), Pool{});
    checker_.restarted(g);
    std::vector<Endpoint> entries;
    if (first) {
      w.told.assign(machines_.size(), EndpointState::removed);
      w.toldStart.assign(machines_.size(), Time{});
    }
    for (std::uint32_t m = 0; m < machines_.size(); ++m) {
      const bool in = first ? static_cast<bool>(publishedIn_[m])
                            : m < w.told.size() && w.told[m] != EndpointState::removed;
      if (!in)
        continue;
      Endpoint e = published_[m];
      if (!first)
        e.state = w.told[m], e.upSince = w.toldStart[m];
      entries.push_back(e);
      learn(g, m, e);
    }
    w.policy->onEndpoints(now_, EndpointListKind::cached, entries);
    carryOut(g);
    startMember(g);
    at(now_ + std::chrono::milliseconds(20), [this, g, life = w.life] {
      if (gateways_[g].life == life && gateways_[g].up)
        tellAll(g);
    });
  }

  void killGateway(std::uint32_t g) {
    Gateway& w = gateways_[g];
    if (!w.up)
      return;
    w.up = false;
    for (std::uint32_t t : std::vector<std::uint32_t>(w.open)) {
      if (tries_[t].ended)
        continue;
      tries_[t].ended = true;
      checker_.released(t + 1);
      for (std::uint8_t i = 0; i < tries_[t].attempts; ++i) {
        Attempt& a = attempts_[tries_[t].ids[i]];
        if (a.out)
          a.out = false, hangUp(a, tries_[t].ids[i]);
      }
      retry(tries_[t].call, false, true, {});
    }
    w.open.clear();
    for (std::size_t m = 0; m < w.pools.size(); ++m)
      if (w.pools[m].epoch == machines_[m].epoch)
        lower(machines_[m], w.pools[m].idle.size());
    w.pools.clear();
    w.policy.reset();
    w.member.reset();
  }

  static void lower(Machine& m, std::size_t connections) {
    m.server.connections -= std::min(m.server.connections, connections);
  }

  void arrive(std::uint32_t id) {
    Try& t = tries_[id];
    Gateway& w = gateways_[t.gateway];
    if (!w.up || w.life != t.life)
      return retry(t.call, false, true, {});
    const Call& c = clientCalls_[t.call];
    checker_.taken(id + 1, settings_.classes[c.cls], t.deadline);
    w.open.push_back(id);
    at(t.deadline + millis(s_.answerSlackMs) + Duration(1), EventKind::due, id);
    Request q;
    q.id = id + 1;
    q.classIndex = c.cls;
    q.remaining = t.deadline - now_;
    q.key = c.key;
    q.hasKey = c.key != 0;
    w.policy->onRequest(now_, q);
    carryOut(t.gateway);
  }

  // The try is over, with success or without.
  void end(std::uint32_t id, bool served, bool refused, Duration after) {
    Try& t = tries_[id];
    t.ended = true;
    std::vector<std::uint32_t>& open = gateways_[t.gateway].open;
    const auto found = std::find(open.rbegin(), open.rend(), id);
    if (found != open.rend())
      *found = open.back(), open.pop_back();
    Call& c = clientCalls_[t.call];
    if (!served) {
      (refused ? secondOf(now_).refused : secondOf(now_).failed) += 1;
      return retry(t.call, refused, false, after);
    }
    if (c.end != CallEnd::open)
      return;
    const Duration taken = now_ - c.first - secs(d_.clientHop);
    c.end = taken <= d_.classes[c.cls].set.latencyObjective ? CallEnd::inTime : CallEnd::late;
    c.endAt = now_;
    if (c.first >= kStart + secs(s_.warmS))
      latency_.add(inSeconds(taken) * 1000);
  }

  void carryOut(std::uint32_t g) {
    Gateway& w = gateways_[g];
    // A cancel settles its attempt at once, and the policy may have something to say to that.
    while (!w.policy->actions().empty()) {
      std::vector<Action> actions;
      actions.swap(w.policy->actions());
      for (const Action& a : actions)
        carryOut(g, a);
    }
  }

  void carryOut(std::uint32_t g, const Action& a) {
    Gateway& w = gateways_[g];
    digest_.add(g, a);
    switch (a.kind) {
      case ActionKind::send:
        send(g, a);
        break;
      case ActionKind::reject:
      case ActionKind::fail: {
        const std::uint32_t id = tryOf(a.request, "answered");
        if (tries_[id].ended)
          break;
        const bool refused = a.kind == ActionKind::reject;
        checker_.answered(now_, a.request, refused);
        end(id, false, refused,
            s_.retryAfter ? std::min(a.retryAfter, millis(s_.maxRetryAfterMs)) : Duration(0));
        break;
      }
      case ActionKind::cancel: {
        const Try& t = tries_[tryOf(a.request, "cancelled")];
        if (a.attempt >= t.attempts)
          throw std::logic_error("an attempt was cancelled that was never made");
        finishAttempt(t.ids[a.attempt], Outcome::cancelled, true);
        break;
      }
      case ActionKind::close: {
        const std::uint32_t m = serverOf(g, a.host);
        if (m < w.pools.size()) {
          if (w.pools[m].epoch == machines_[m].epoch)
            lower(machines_[m], w.pools[m].idle.size());
          w.pools[m].idle.clear();
        }
        break;
      }
      case ActionKind::wake:
        at(door(std::max(a.wakeAt, now_ + Duration(1))), EventKind::wake, g, w.life);
        break;
      case ActionKind::log:
        if (result_.said.size() < kSaidMost)
          result_.said.push_back(stamp() + "[" + std::to_string(g) + "] " + a.text);
        break;
      case ActionKind::pollDiscovery:
        break;
    }
  }

  std::uint32_t tryOf(RequestId request, const char* what) const {
    if (request == 0 || request > tries_.size())
      throw std::logic_error("a request was " + std::string(what) + " that no client sent");
    return static_cast<std::uint32_t>(request - 1);
  }

  std::uint32_t serverOf(std::uint32_t g, HostId host) {
    Gateway& w = gateways_[g];
    if (host >= w.serverOf.size())
      w.serverOf.resize(host + 1, kNobody);
    if (w.serverOf[host] == kNobody)
      w.serverOf[host] = byAddress_.at(w.policy->address(host));
    return w.serverOf[host];
  }

  // --- Attempts -------------------------------------------------------------------------------------------

  bool cut(std::uint32_t zone) const { return cutZone_ == zone; }
  bool reachable(std::uint32_t g, const Machine& m) const {
    return m.reachable && !(gateways_[g].zone != m.zone && (cut(gateways_[g].zone) || cut(m.zone)));
  }
  Duration hop(std::uint32_t g, const Machine& m) {
    const double base = gateways_[g].zone == m.zone ? d_.sameHop : d_.crossHop;
    return secs(base * (1 + network_.exponential(d_.jitter)));
  }

  void send(std::uint32_t g, const Action& action) {
    const std::uint32_t id = tryOf(action.request, "sent");
    Try& t = tries_[id];
    const std::uint32_t server = serverOf(g, action.host);
    Machine& m = machines_[server];
    Gateway& w = gateways_[g];
    checker_.sent(now_, g, action.request, server, m.entry);
    if (t.attempts >= t.ids.size())
      throw std::logic_error("a request was sent more than eight times");
    Attempt a;
    a.of = id;
    a.server = server;
    a.at = now_;
    a.number = t.attempts;
    a.epoch = m.epoch;
    const auto number = static_cast<std::uint32_t>(attempts_.size());
    t.ids[t.attempts++] = number;
    attempts_.push_back(a);
    Attempt& made = attempts_.back();
    if (t.ended || t.attempts > settings_.maxAttempts || action.timeLimit < Duration(0)) {
      made.outcome = Outcome::abandoned;
      return at(door(now_ + Duration(1)), EventKind::atGateway, number);
    }
    secondOf(now_).attempts += 1;
    ++result_.attempts;
    if (clientCalls_[t.call].first >= kStart)
      crossed_ += gateways_[g].zone != m.zone;
    const Duration limit =
        std::min(action.timeLimit > Duration(0) ? action.timeLimit : t.deadline - now_, t.deadline - now_);
    at(door(now_ + std::max(limit, Duration(1))), EventKind::timeout, number);
    if (server >= w.pools.size())
      w.pools.resize(machines_.size());
    Pool& pool = w.pools[server];
    if (pool.epoch != m.epoch && !m.leftSilently)
      pool.idle.clear();
    while (!pool.idle.empty() && now_ - pool.idle.back() >= settings_.idleTimeout) {
      if (pool.epoch == m.epoch)
        lower(m, pool.idle.size());
      pool.idle.clear();
    }
    if (!pool.idle.empty()) {
      made.epoch = pool.epoch;
      made.connected = true;
      pool.idle.pop_back();
      if (reachable(g, m))
        at(now_ + hop(g, m), EventKind::atServer, number);
      return;
    }
    pool.epoch = m.epoch;
    made.fresh = true;
    if (!reachable(g, m)) {
      made.outcome = Outcome::connectFailed;
      return at(door(now_ + millis(s_.connectTimeoutMs)), EventKind::atGateway, number);
    }
    const Duration trip = hop(g, m) + hop(g, m);
    if (!m.up || static_cast<double>(m.server.connections) >= m.server.figures().connectionCap) {
      made.outcome = Outcome::connectFailed;
      return at(door(now_ + trip), EventKind::atGateway, number);
    }
    ++result_.connections;
    made.connected = true;
    m.server.connections += 1;
    at(now_ + secs(inSeconds(trip) * d_.handshakeRtts) + hop(g, m), EventKind::atServer, number);
  }

  void respond(std::uint32_t id, Outcome outcome) {
    Attempt& a = attempts_[id];
    if (!a.out)
      return;
    const std::uint32_t g = tries_[a.of].gateway;
    if (a.swallowed || !reachable(g, machines_[a.server]))
      return;  // on its way
    a.outcome = outcome;
    at(door(now_ + hop(g, machines_[a.server])), EventKind::atGateway, id);
  }

  void atServer(std::uint32_t id) {
    Attempt& a = attempts_[id];
    Machine& m = machines_[a.server];
    const Try& t = tries_[a.of];
    if (!reachable(t.gateway, m))
      return;
    if (a.epoch != m.epoch || !m.up)
      return respond(id, Outcome::reset);
    if (!a.out)
      return;  // given up and its connection closed before it came
    const Call& c = clientCalls_[t.call];
    const DrawnClass& d = d_.classes[c.cls];
    Stream draw(seed_, "attempt", (static_cast<std::uint64_t>(t.call) * 32 + c.tries) * 8 + a.number);
    Job job;
    job.attempt = id;
    job.key = c.key;
    job.hasKey = c.key != 0 && s_.keyAffinity;
    job.deadline = t.deadline;
    job.work = c.work * (d.noise > 0 ? draw.lognormal(1, d.noise) : 1) + (a.fresh ? d_.handshakeWork : 0);
    const Gateway& w = gateways_[t.gateway];
    double informed = 0;
    const bool knew = a.server < w.toldStart.size() && w.toldStart[a.server] == m.entry.upSince;
    if (m.server.overdriven(now_, job.work, knew, s_.overloadMultiple, s_.fallMs / 1000, informed)) {
      note("cold server " + m.entry.address + " fell over");
      checker_.fell(now_, m.entry.address, informed);
      stopMachine(a.server, false);
      publishLater(noticeTime(), a.server, EndpointState::removed, m.entry.upSince);
      return;
    }
    if (m.draining)
      return respond(id, Outcome::rejected);
    if (m.resets > 0 && draw.chance(m.resets)) {
      m.server.offer(now_, job);  // it runs, but the answer is lost
      reschedule(a.server);
      return respond(id, Outcome::reset);
    }
    a.swallowed = m.losses > 0 && draw.chance(m.losses);
    if (m.errors > 0 && draw.chance(m.errors))
      return respond(id, Outcome::error);
    if (!m.server.offer(now_, job))
      return respond(id, Outcome::rejected);
    collect(a.server);
    reschedule(a.server);
  }

  // What the server has finished since it was last looked at.
  void collect(std::uint32_t server) {
    Machine& m = machines_[server];
    std::vector<Server::Ended> ended;
    ended.swap(m.server.ended());
    for (const Server::Ended& e : ended) {
      Attempt& a = attempts_[e.attempt];
      const bool wanted = a.out && !tries_[a.of].ended && a.outcome == Outcome::served;
      if (!wanted)
        waste_ += e.work;
      if (!a.out || a.outcome != Outcome::served)
        continue;
      if (e.dropped)
        respond(e.attempt, Outcome::rejected);
      else
        respond(e.attempt, Stream(seed_, "error", e.attempt).chance(m.server.figures().errorRate)
                               ? Outcome::error
                               : Outcome::served);
    }
  }

  void reschedule(std::uint32_t server) {
    Machine& m = machines_[server];
    ++m.turn;
    if (const auto end = m.server.nextEnd())
      at(std::max(*end, now_), EventKind::serverDone, server, m.turn);
  }

  // The gateway closes the attempt's connection; waiting work may be dropped for it.
  void hangUp(Attempt& a, std::uint32_t id) {
    Machine& m = machines_[a.server];
    if (a.epoch != m.epoch || !a.connected)
      return;
    lower(m, 1);
    m.server.abandon(id);
  }

  void finishAttempt(std::uint32_t id, Outcome outcome, bool givenUp) {
    Attempt& a = attempts_[id];
    if (!a.out)
      return;
    a.out = false;
    const std::uint32_t tryId = a.of;
    Try& t = tries_[tryId];
    Gateway& w = gateways_[t.gateway];
    if (!w.up || w.life != t.life)
      return;
    Machine& m = machines_[a.server];
    if (givenUp || outcome == Outcome::reset)
      hangUp(a, id);
    else if (outcome != Outcome::connectFailed && outcome != Outcome::abandoned && a.epoch == m.epoch) {
      if (w.pools[a.server].epoch == m.epoch)
        w.pools[a.server].idle.push_back(now_);
    }
    Second& second = secondOf(now_);
    if (outcome == Outcome::rejected)
      second.full += 1;
    if (outcome == Outcome::timeout)
      second.timeouts += 1;
    if (outcome == Outcome::connectFailed)
      second.connectFailed += 1;
    if (outcome == Outcome::reset)
      second.resets += 1;
    if (outcome == Outcome::error)
      second.errors += 1;
    checker_.outcome(tryId + 1, a.number, outcome);
    AttemptResult r;
    r.request = tryId + 1;
    r.attempt = a.number;
    r.host = w.policy->findHost(m.entry.address);
    r.outcome = outcome;
    r.elapsed = now_ - a.at;
    if (outcome == Outcome::served && !t.ended) {
      checker_.served(tryId + 1);
      end(tryId, true, false, {});
    }
    r.terminal = tries_[tryId].ended;
    const std::uint32_t g = tries_[tryId].gateway;
    w.policy->onResult(now_, r);
    if (outcome != Outcome::cancelled)
      carryOut(g);  // else it is being carried out already
  }

  void due(std::uint32_t id) {
    Try& t = tries_[id];
    if (t.ended)
      return;
    Gateway& w = gateways_[t.gateway];
    checker_.due(now_, id + 1);
    end(id, false, false, {});
    if (!w.up || w.life != t.life)
      return;
    w.policy->onClientDisconnected(now_, id + 1);
    carryOut(t.gateway);
  }

  // --- Discovery
  // --------------------------------------------------------------------------------------------

  void learn(std::uint32_t g, std::uint32_t server, const Endpoint& e) {
    Gateway& w = gateways_[g];
    w.told.resize(machines_.size(), EndpointState::removed);
    w.toldStart.resize(machines_.size());
    w.told[server] = e.state;
    w.toldStart[server] = e.upSince;
    checker_.told(now_, g, server, e.state);
  }

  void tell(std::uint32_t g, std::uint32_t change) {
    if (!gateways_[g].up)
      return;
    const Change& c = changes_[change];
    learn(g, c.server, c.entry);
    gateways_[g].policy->onEndpoints(now_, EndpointListKind::delta, {c.entry});
    carryOut(g);
  }

  void tellAll(std::uint32_t g) {
    std::vector<Endpoint> entries;
    for (std::uint32_t m = 0; m < machines_.size(); ++m) {
      Endpoint e = published_[m];
      if (!publishedIn_[m])
        e.state = EndpointState::removed;
      learn(g, m, e);
      if (e.state != EndpointState::removed)
        entries.push_back(e);
    }
    gateways_[g].policy->onEndpoints(now_, EndpointListKind::snapshot, entries);
    carryOut(g);
  }

  // Discovery has noticed: every gateway hears of it within the spread.
  void publish(std::uint32_t server, EndpointState state, Time upSince) {
    Endpoint e = machines_[server].entry;
    e.state = state;
    e.upSince = upSince;
    published_[server] = e;
    publishedIn_[server] = state != EndpointState::removed;
    changes_.push_back({server, e});
    const double spread = s_.spreadMs.draw(notices_) / 1000;
    for (std::uint32_t g = 0; g < gateways_.size(); ++g) {
      Time when = now_ + secs(notices_.uniform(0, spread));
      when = door(std::max(when, gateways_[g].lastTold));
      gateways_[g].lastTold = when;
      at(when, EventKind::tell, g, static_cast<std::uint32_t>(changes_.size() - 1));
    }
  }
  void publishLater(Duration in, std::uint32_t server, EndpointState state, Time upSince) {
    Time when = now_ + in + secs(lateLists_);
    if (d_.lookPeriod > 0) {  // discovery looks every so often
      const auto period = secs(d_.lookPeriod).count();
      when = Time((when.count() + period - 1) / period * period);
    }
    at(when, [this, server, state, upSince] { publish(server, state, upSince); });
  }
  Duration noticeTime() { return secs(s_.noticeS.draw(notices_)); }

  // --- Machines and troubles
  // --------------------------------------------------------------------------------

  // The process ends: its connections are reset, or nobody hears anything of it.
  void stopMachine(std::uint32_t server, bool silently) {
    Machine& m = machines_[server];
    const std::vector<std::uint32_t> held = m.server.drop();
    ++m.turn;
    m.up = false;
    m.leftSilently = silently;
    if (!silently)
      for (std::uint32_t id : held)
        respond(id, Outcome::reset);
    ++m.epoch;
    m.server.connections = 0;
  }

  void startMachine(std::uint32_t server) {
    Machine& m = machines_[server];
    m.server.restart(now_);
    ++m.turn;
    ++m.epoch;
    m.up = true;
    m.draining = false;
    m.reachable = true;
    m.entry.upSince = now_;
  }

  std::vector<std::uint32_t> some(double part, const std::vector<std::uint32_t>& from) {
    std::vector<std::uint32_t> all = from;
    for (std::size_t i = all.size(); i > 1; --i)
      std::swap(all[i - 1], all[faultSpec_.below(i)]);
    all.resize(std::min<std::size_t>(
        all.size(),
        static_cast<std::size_t>(std::max(1.0, std::round(part * static_cast<double>(from.size()))))));
    std::sort(all.begin(), all.end());
    return all;
  }
  std::vector<std::uint32_t> firstServers() const {
    std::vector<std::uint32_t> all(machines_.size());
    for (std::uint32_t i = 0; i < all.size(); ++i)
      all[i] = i;
    return all;
  }

  // On between `from` and `to` for each of the servers.
  void during(double from, double to, std::vector<std::uint32_t> servers, const std::string& text,
              std::function<void(std::uint32_t, bool)> set) {
    for (const bool on : {true, false})
      at(kStart + secs(on ? from : to), [this, on, servers, text, set] {
        note(text + (on ? " begins, " + std::to_string(servers.size()) + " servers" : " ends"));
        for (std::uint32_t i : servers) {
          set(i, on);
          machines_[i].server.advance(now_);
          collect(i);
          reschedule(i);
        }
      });
  }

  void drawFaults() {
    for (const FaultSpec& t : s_.faultSpecs) {
      const double from = t.atS.draw(faultSpec_), length = t.lengthS.draw(faultSpec_),
                   part = t.part.draw(faultSpec_);
      const double size = t.size.draw(faultSpec_), every = t.everyS.draw(faultSpec_);
      std::uint32_t zone = static_cast<std::uint32_t>(faultSpec_.below(s_.zones.size()));
      for (std::uint32_t z = 0; z < s_.zones.size(); ++z)
        if (s_.zones[z] == t.zone)
          zone = z;
      const bool happens = faultSpec_.chance(t.chance.draw(faultSpec_));
      if (!happens)
        continue;
      const double to = from + length;
      if (t.kind == "slow") {
        during(from, to, some(part, firstServers()), "slow", [this, size](std::uint32_t i, bool on) {
          machines_[i].slow = on ? std::max(size, 1.0) : 1;
          machines_[i].server.slow(now_, machines_[i].slow);
        });
      } else if (t.kind == "pauses") {
        for (std::uint32_t i : some(part, firstServers()))
          for (double when = from + every * faultSpec_.unit(); when < to; when += every) {
            pauseAt(i, when, true);
            pauseAt(i, when + size / 1000, false);
          }
        at(kStart + secs(from), [this] { note("pauses begin"); });
      } else if (t.kind == "errors" || t.kind == "resets" || t.kind == "lost_answers") {
        double Machine::*share = t.kind == "errors"   ? &Machine::errors
                                 : t.kind == "resets" ? &Machine::resets
                                                      : &Machine::losses;
        during(from, to, some(part, firstServers()), t.kind,
               [this, size, share](std::uint32_t i, bool on) { machines_[i].*share = on ? size : 0; });
      } else if (t.kind == "silence") {
        during(from, to, some(part, firstServers()), "silence", [this](std::uint32_t i, bool on) {
          machines_[i].reachable = !on;
          if (on)
            noticeSilence(i);
        });
      } else if (t.kind == "zone") {
        std::vector<std::uint32_t> servers;
        for (std::uint32_t i = 0; i < machines_.size(); ++i)
          if (machines_[i].zone == zone)
            servers.push_back(i);
        during(from, to, servers, "zone " + s_.zones[zone] + " lost", [this](std::uint32_t i, bool on) {
          if (on) {
            machines_[i].reachable = false;
            stopMachine(i, true);
            noticeSilence(i);
          } else {
            startMachine(i);
            publishLater(secs(s_.addS.draw(notices_)), i, EndpointState::serving, now_);
          }
        });
      } else if (t.kind == "cut") {
        at(kStart + secs(from),
           [this, zone] { note("zone " + s_.zones[zone] + " cut off"), cutZone_ = zone; });
        at(kStart + secs(to), [this] { note("cut ends"), cutZone_ = kNobody; });
      } else if (t.kind == "kill") {
        std::vector<std::uint32_t> all(gateways_.size());
        for (std::uint32_t i = 0; i < all.size(); ++i)
          all[i] = i;
        const double notice = s_.frontNoticeS.draw(faultSpec_);
        for (std::uint32_t g : some(part, all)) {
          at(kStart + secs(from), [this, g] { killGateway(g); });
          at(kStart + secs(from + notice), [this, g] {
            if (!gateways_[g].up)
              gateways_[g].known = false;
          });
          at(kStart + secs(from + std::max(length, 0.1) * faultSpec_.uniform(0.5, 1.5)),
             [this, g] { startGateway(g, false); });
        }
        at(kStart + secs(from), [this] { note("gateways killed"); });
      } else if (t.kind == "deploy") {
        deploy(from, length, part, std::max(size, 0.01), every);
      } else if (t.kind == "late_lists") {
        at(kStart + secs(from), [this, size] { note("lists come late"), lateLists_ = size; });
        at(kStart + secs(to), [this] { lateLists_ = 0; });
      } else if (t.kind == "settings") {
        at(kStart + secs(from), [this, t, size] { newSettings(t, size); });
      } else if (t.kind == "surge") {
        surges_.push_back({from, to, std::max(size, 0.0)});
      }
    }
  }

  void pauseAt(std::uint32_t i, double when, bool on) {
    at(kStart + secs(when), [this, i, on] {
      Machine& m = machines_[i];
      m.paused += on ? 1 : -1;
      m.server.pause(now_, m.paused > 0);
      collect(i);
      reschedule(i);
    });
  }

  void noticeSilence(std::uint32_t i) {
    at(now_ + secs(s_.silentNoticeS.draw(notices_)), [this, i] {
      if (!machines_[i].reachable)
        publish(i, EndpointState::removed, machines_[i].entry.upSince);
    });
  }

  // Batches drain, go, and are replaced by machines with new addresses, cold.
  void deploy(double from, double length, double part, double batch, double drain) {
    const std::vector<std::uint32_t> chosen = some(part, firstServers());
    const auto each =
        static_cast<std::size_t>(std::max(1.0, std::round(batch * static_cast<double>(machines_.size()))));
    const std::size_t steps = (chosen.size() + each - 1) / each;
    at(kStart + secs(from),
       [this, n = chosen.size()] { note("deploy begins, " + std::to_string(n) + " servers"); });
    for (std::size_t i = 0; i < chosen.size(); ++i) {
      const double when = from + length * static_cast<double>(i / each) /
                                     static_cast<double>(std::max<std::size_t>(steps, 1));
      at(kStart + secs(when), [this, id = chosen[i], drain] {
        Machine& m = machines_[id];
        if (m.draining || !m.up)
          return;
        m.draining = true;
        publishLater(noticeTime(), id, EndpointState::draining, m.entry.upSince);
        at(now_ + secs(drain), [this, id] {
          stopMachine(id, false);
          publishLater(noticeTime(), id, EndpointState::removed, machines_[id].entry.upSince);
          const std::uint32_t fresh =
              addMachine(kindOf_[id], machines_[id].zone, static_cast<std::size_t>(machines_[id].entry.cell));
          startMachine(fresh);
          publishLater(secs(s_.addS.draw(notices_)), fresh, EndpointState::serving, now_);
        });
      });
    }
  }

  void newSettings(const FaultSpec& t, double attempts) {
    if (attempts >= 1)
      settings_.maxAttempts = static_cast<std::uint32_t>(std::min(attempts, 8.0));
    for (std::size_t i = 0; i < settings_.classes.size(); ++i) {
      if (settings_.classes[i].name != t.className || t.idempotency.empty())
        continue;
      settings_.classes[i].idempotency = effectNamed(t.idempotency);
    }
    note("settings changed");
    for (std::uint32_t g = 0; g < gateways_.size(); ++g)
      if (gateways_[g].up) {
        gateways_[g].policy->onSettings(now_, settingsOf(g));
        carryOut(g);
      }
  }

  // --- Clock and books
  // ----------------------------------------------------------------------------------------

  void dispatch(const Event& e) {
    switch (e.what) {
      case EventKind::clientTry:
        return clientTry(e.a);
      case EventKind::arrive:
        return arrive(e.a);
      case EventKind::due:
        return due(e.a);
      case EventKind::atServer:
        return atServer(e.a);
      case EventKind::serverDone: {
        Machine& m = machines_[e.a];
        if (e.b != m.turn)
          return;
        m.server.advance(now_);
        collect(e.a);
        return reschedule(e.a);
      }
      case EventKind::tick: {
        Machine& m = machines_[e.a];
        m.server.advance(now_);
        collect(e.a);
        reschedule(e.a);
        if (m.up || m.server.held() > 0 || !m.draining)
          at(now_ + kServerTick, EventKind::tick, e.a);
        return;
      }
      case EventKind::atGateway:
        return finishAttempt(e.a, attempts_[e.a].outcome, false);
      case EventKind::timeout:
        return finishAttempt(e.a, Outcome::timeout, true);
      case EventKind::wake: {
        Gateway& w = gateways_[e.a];
        if (!w.up || w.life != e.b)
          return;
        w.policy->onWake(now_);
        return carryOut(e.a);
      }
      case EventKind::tell:
        return tell(e.a, e.b);
      case EventKind::call: {
        const std::function<void()> call = std::move(calls_[e.a]);
        return call();
      }
      case EventKind::sample:
        return sample();
    }
  }

  ServerState stateOf(const Machine& m) const {
    if (!m.reachable)
      return ServerState::silent;
    if (!m.up)
      return ServerState::gone;
    if (m.draining)
      return ServerState::draining;
    if (m.server.choked())
      return ServerState::choked;
    if (m.paused > 0)
      return ServerState::paused;
    if (m.slow > 1)
      return ServerState::slowed;
    return m.server.cold() ? ServerState::cold : ServerState::usual;
  }

  void sample() {
    ++samples_;
    for (std::size_t i = 0; i < machines_.size(); ++i) {
      result_.servers[i].held.push_back(static_cast<float>(machines_[i].server.held()));
      result_.servers[i].states.push_back(stateOf(machines_[i]));
    }
    double cut = 0;
    std::size_t up = 0;
    for (const Gateway& w : gateways_)
      if (w.up)
        cut += w.policy->sheddingThreshold(), ++up;
    if (up > 0)
      secondOf(now_).sheddingThreshold =
          std::max(secondOf(now_).sheddingThreshold, cut / static_cast<double>(up));
    if (now_ + kSample <= kStart + secs(s_.lengthS))
      at(now_ + kSample, EventKind::sample);
  }

  void settle() {
    Result& r = result_;
    r.scenario = s_.name;
    r.seed = seed_;
    double asked = 0, served = 0, lateFailed = 0, offered = 0;
    std::uint64_t refused = 0, failed = 0;
    std::vector<std::vector<double>> times(r.seconds.size());
    for (const Call& c : clientCalls_) {
      const ClassSettings& set = d_.classes[c.cls].set;
      const double value = c.end == CallEnd::inTime ? c.value
                           : c.end == CallEnd::late ? set.lateValueFraction * c.value
                                                    : 0;
      Second& second = secondOf(c.first);
      second.asked += c.value;
      (c.end == CallEnd::late ? second.late : second.inTime) += value;
      second.calls += 1;
      if (c.end == CallEnd::inTime || c.end == CallEnd::late)
        times[static_cast<std::size_t>(&second - r.seconds.data())].push_back(inSeconds(c.endAt - c.first) *
                                                                              1000);
      offered += c.work;
      if (c.first < kStart + secs(s_.warmS))
        continue;
      ++r.calls;
      ClassRecord& record = r.classes[c.cls];
      record.asked += c.value;
      record.served += value;
      record.calls += 1;
      record.inTime += c.end == CallEnd::inTime;
      record.late += c.end == CallEnd::late;
      const bool unserved = c.end != CallEnd::inTime && c.end != CallEnd::late;
      if (!unserved)
        continue;
      (c.end == CallEnd::refused ? record.refused : record.failed) += 1;
      ++(c.end == CallEnd::refused ? refused : failed);
      if (c.end == CallEnd::open || c.endAt - c.first > set.latencyObjective)
        lateFailed += c.value;
    }
    for (std::size_t i = 0; i < times.size(); ++i) {
      std::sort(times[i].begin(), times[i].end());
      if (times[i].empty())
        continue;
      r.seconds[i].p50 = times[i][(times[i].size() - 1) / 2];
      r.seconds[i].p99 = times[i][(times[i].size() - 1) * 99 / 100];
    }
    for (const ClassRecord& record : r.classes)
      asked += record.asked, served += record.served;
    if (r.calls > 0) {
      r.refusedShare = static_cast<double>(refused) / static_cast<double>(r.calls);
      r.failedShare = static_cast<double>(failed) / static_cast<double>(r.calls);
    }
    r.priceLateFail = asked > 0 ? s_.priceLateFail * lateFailed / asked : 0;
    r.whole = asked > 0 ? served / asked : 1;
    r.worstClass = 1;
    for (const ClassRecord& record : r.classes)
      if (record.asked > 0)
        r.worstClass = std::min(r.worstClass, record.served / record.asked);
    r.worstWindow = r.whole;
    const std::size_t window = std::min<std::size_t>(10, r.seconds.size());
    for (std::size_t i = static_cast<std::size_t>(s_.warmS); i + window <= r.seconds.size(); ++i) {
      double a = 0, got = 0;
      for (std::size_t j = i; j < i + window; ++j)
        a += r.seconds[j].asked, got += r.seconds[j].inTime + r.seconds[j].late;
      if (a > 0 && got / a < r.worstWindow)
        r.worstWindow = got / a, r.worstAt = static_cast<double>(i);
    }
    const double first = std::max<double>(1, static_cast<double>(clientCalls_.size()));
    r.priceCrossZone = s_.priceCrossZone * static_cast<double>(crossed_) / first;
    r.priceWaste = offered > 0 ? s_.priceWaste * waste_ / offered : 0;
    r.priceHandshake = s_.priceHandshake * static_cast<double>(r.connections) / first;
    std::size_t choked = 0;
    for (std::size_t i = 0; i < machines_.size(); ++i) {
      r.servers[i].chokes = machines_[i].server.chokes();
      for (Server::Choke& c : r.servers[i].chokes) {
        c.from -= kStart;
        if (c.to > Time{})
          c.to -= kStart;
      }
      choked += !r.servers[i].chokes.empty();
    }
    r.chokedShare = static_cast<double>(choked) / static_cast<double>(machines_.size());
    r.priceChoke = s_.priceChoke * r.chokedShare;
    r.p50 = latency_.percentile(0.5);
    r.p90 = latency_.percentile(0.9);
    r.p99 = latency_.percentile(0.99);
    r.breaches = checker_.breaches();
    for (Breach& b : r.breaches)
      b.at -= kStart;
    r.g = s_.goalWhole * r.whole + s_.goalWorstWindow * r.worstWindow + s_.goalWorstClass * r.worstClass -
          r.priceCrossZone - r.priceWaste - r.priceHandshake - r.priceChoke - r.priceLateFail;
  }

  const Scenario& s_;
  std::uint64_t seed_;
  const PolicyMaker& maker_;
  DrawnDay d_;
  DrawnFleet fleet_;
  Stream network_, notices_, faultSpec_, between_;
  Checker checker_;
  Result result_;
  ActionDigest digest_;
  Time now_{};
  std::uint64_t order_ = 0;
  std::priority_queue<Event, std::vector<Event>, std::greater<>> events_;
  std::vector<std::function<void()>> calls_;

  Duration tick_{};
  double capacity_ = 0, lateLists_ = 0;
  std::size_t samples_ = 0;
  std::vector<Surge> surges_;
  Settings settings_;
  std::deque<Machine> machines_;  // grows while references are held
  std::vector<std::size_t> kindOf_;
  std::unordered_map<std::string, std::uint32_t> byAddress_;
  std::vector<Endpoint> published_;
  std::vector<char> publishedIn_;
  std::vector<Change> changes_;
  std::vector<Gateway> gateways_;
  std::vector<Call> clientCalls_;
  std::vector<Try> tries_;
  std::vector<Attempt> attempts_;
  std::uint32_t cutZone_ = kNobody;
  double waste_ = 0;
  std::uint64_t crossed_ = 0;
  Latencies latency_;
};

}  // namespace

const char* nameOf(ServerState state) {
  switch (state) {
    case ServerState::usual:
      return "usual";
    case ServerState::cold:
      return "cold";
    case ServerState::choked:
      return "choked";
    case ServerState::slowed:
      return "slowed";
    case ServerState::paused:
      return "paused";
    case ServerState::silent:
      return "silent";
    case ServerState::draining:
      return "draining";
    case ServerState::gone:
      return "gone";
  }
  return "?";
}

Result play(const Scenario& scenario, std::uint64_t seed, const std::string& policyName,
            const PolicyMaker& policy) {
  Result result = Simulation(scenario, seed, policy).play();
  result.policy = policyName;
  return result;
}

}  // namespace hollyrun::lab
