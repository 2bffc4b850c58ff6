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

// Not zero, since a server start at time zero stands for one long ago.
constexpr Time kStart = std::chrono::seconds(100);
constexpr Duration kServerUpdatePeriod = std::chrono::milliseconds(50);
constexpr Duration kSamplePeriod = std::chrono::milliseconds(250);
constexpr Duration kFirstSnapshotDelay = std::chrono::milliseconds(20);  // after a gateway's start
constexpr std::size_t kMaxPolicyLogLines = 500;
constexpr std::size_t kWorstWindowS = 10;
constexpr std::size_t kMembershipSeeds = 3;
constexpr std::uint32_t kInvalidIndex = UINT32_MAX;

enum class EventKind : std::uint8_t {
  clientRequest,     // index: call
  requestArrival,    // index: request, at its gateway
  answerDue,         // index: request, the time for its answer is over
  attemptArrival,    // index: attempt, at its server
  serverCompletion,  // index: server, argument: version of its completion schedule
  serverUpdate,      // index: server
  attemptResult,     // index: attempt, its outcome reaches the gateway
  attemptTimeout,    // index: attempt
  gatewayWake,       // index: gateway, argument: its start count
  endpointUpdate,    // index: gateway, argument: index in endpointChanges_
  callback,          // index: in callbacks_
  sample
};

struct Event {
  Time at;
  std::uint64_t order;
  EventKind kind;
  std::uint32_t index, argument;
  bool operator>(const Event& other) const { return at != other.at ? at > other.at : order > other.order; }
};

enum class CallOutcome : std::uint8_t { open, inTime, late, rejected, failed };

/// A call of a client: its first request and the retries.
struct Call {
  Time firstRequestAt{};
  std::uint32_t classIndex = 0, zone = 0;
  std::uint64_t key = 0;
  double work = 0, value = 0;
  std::uint8_t retriesLeft = 0, requests = 0;
  CallOutcome outcome = CallOutcome::open;
  Time endedAt{};
};

/// A request of a client to a gateway.
struct ClientRequest {
  std::uint32_t call = 0, gateway = 0, gatewayStart = 0;
  Time deadline{};
  bool ended = false;
  std::uint8_t attempts = 0;
  std::array<std::uint32_t, 8> attemptIds{};
};

/// A request of a gateway to a server.
struct Attempt {
  std::uint32_t request = 0, server = 0;
  Time sentAt{};
  std::uint8_t number = 0;
  bool inFlight = true, newConnection = false, connected = false, responseLost = false;
  Outcome outcome = Outcome::served;
  std::uint32_t serverEpoch = 0;
};

/// The connections of a gateway to one server.
struct ConnectionPool {
  std::vector<Time> idle;
  std::uint32_t serverEpoch = 0;
};

struct Gateway {
  std::string name;
  std::uint32_t zone = 0, startCount = 0;
  bool up = false, routable = false;  // routable: the frontend regards it as up
  std::unique_ptr<Policy> policy;
  std::vector<std::uint32_t> serverOf;         // by HostId
  std::vector<ConnectionPool> pools;           // by server
  std::vector<std::uint32_t> openRequests;     // accepted and not ended
  std::vector<EndpointState> announcedStates;  // by server
  std::vector<Time> announcedStarts;           // by server
  Time lastNotification{};
  double weight = 1;
  std::uint32_t replicaCount = 0;  // as last passed to its module
  std::optional<membership::Membership> member;
  Time memberTimer = Time::max();
};

struct Machine {
  Endpoint entry;
  Server server;
  std::uint32_t zone = 0, epoch = 0, scheduleVersion = 0;  // epoch: number of process starts and ends
  bool reachable = true, up = true, draining = false, endedSilently = false;
  double slowdown = 1, errorProbability = 0, resetProbability = 0, lossProbability = 0;
  int pauseCount = 0;
};

struct EndpointChange {
  std::uint32_t server;
  Endpoint entry;
};

class Simulation final : public OmniscientView {
 public:
  Simulation(const Scenario& scenario, std::uint64_t seed, const PolicyFactory& makePolicy)
      : scenario_(scenario),
        seed_(seed),
        makePolicy_(makePolicy),
        day_(scenario, seed),
        fleet_(scenario, seed),
        networkRandom_(seed, "network"),
        discoveryRandom_(seed, "notices"),
        faultRandom_(seed, "trouble"),
        membershipRandom_(seed, "between"),
        checker_(
            {millis(scenario_.answerSlackMs), millis(scenario_.drainGraceMs), scenario_.allowHedging, {}}) {}

  Result play() {
    gatewayTick_ = millis(scenario_.gatewayTickMs);
    createClassRecords();
    createServers();
    createGateways();
    scheduleFaults();
    scheduleArrivals();
    schedule(kStart, EventKind::sample);
    const Time last = kStart + secs(scenario_.durationS) + secs(day_.longestClientTimeout + 1);
    while (!events_.empty() && events_.top().at <= last) {
      const Event event = events_.top();
      events_.pop();
      now_ = event.at;
      ++result_.events;
      dispatch(event);
    }
    computeResult();
    result_.digest = digest_.value();
    return std::move(result_);
  }

  State serverState(const std::string& address, double work) const override {
    const Machine& machine = machines_[byAddress_.at(address)];
    const ServerParameters& parameters = machine.server.parameters();
    State state;
    state.inFlightPerCore = static_cast<double>(machine.server.inFlight()) / parameters.cores;
    state.choked = machine.server.choked();
    const bool isServing = machine.reachable && machine.up && !machine.draining && machine.pauseCount == 0 &&
                           machine.server.queued() < parameters.queueCapacity;
    const double capacity = machine.server.capacity();
    state.secondsToServe = isServing
                               ? machine.server.backlog() / capacity + work * parameters.cores / capacity
                               : std::numeric_limits<double>::infinity();
    return state;
  }

 private:
  static Duration secs(double s) { return lab::seconds(s); }
  static Duration millis(double ms) { return lab::seconds(ms / 1000); }
  double secondsSinceStart(Time time) const { return inSeconds(time - kStart); }

  void schedule(Time when, EventKind kind, std::uint32_t index = 0, std::uint32_t argument = 0) {
    events_.push({std::max(when, now_), nextOrder_++, kind, index, argument});
  }
  void schedule(Time when, std::function<void()> callback) {
    callbacks_.push_back(std::move(callback));
    schedule(when, EventKind::callback, static_cast<std::uint32_t>(callbacks_.size() - 1));
  }
  /// When a gateway handles an event that reaches it at `when`: at its next tick.
  Time nextGatewayTick(Time when) const {
    if (gatewayTick_ <= Duration(0))
      return when;
    const auto rest = when.count() % gatewayTick_.count();
    return rest == 0 ? when : when + gatewayTick_ - Duration(rest);
  }
  std::string timestamp() const {
    char text[32];
    std::snprintf(text, sizeof text, "%8.3f s  ", secondsSinceStart(now_));
    return text;
  }
  void addToTimeline(const std::string& text) { result_.timeline.push_back(timestamp() + text); }

  // --- Setup ----------------------------------------------------------------------------------

  void createClassRecords() {
    for (const DrawnClass& drawnClass : day_.classes) {
      ClassRecord record;
      record.name = drawnClass.settings.name;
      result_.classes.push_back(record);
    }
  }

  void createServers() {
    for (std::size_t i = 0; i < fleet_.kindOf.size(); ++i)
      addMachine(fleet_.kindOf[i], static_cast<std::uint32_t>(i % scenario_.zones.size()),
                 i / fleet_.cellSize);
    for (const Machine& machine : machines_)
      capacity_ += machine.server.parameters().cores * machine.server.parameters().speed;
  }

  std::uint32_t addMachine(std::size_t kind, std::uint32_t zone, std::size_t cell) {
    const auto number = static_cast<std::uint32_t>(machines_.size());
    DrawnMachine drawn = drawMachine(scenario_, seed_, fleet_, day_.chokesEnabled, number, kind, zone, cell);
    const ServerParameters& parameters = drawn.parameters;
    Machine machine{drawn.entry, Server(parameters)};
    machine.zone = zone;
    byAddress_[machine.entry.address] = number;
    machineKinds_.push_back(kind);
    machines_.push_back(std::move(machine));
    machines_.back().server.advance(now_);
    schedule(std::max(now_, kStart) + Duration(kServerUpdatePeriod.count() * (number % 16) / 16),
             EventKind::serverUpdate, number);
    ServerRecord record;
    record.address = machines_.back().entry.address;
    record.zone = scenario_.zones[zone];
    record.kind = machines_.back().entry.machineType;
    record.cores = parameters.cores;
    record.speed = parameters.speed;
    // The samples before the machine was added are filled in, so that all records cover the whole day.
    record.inFlight.assign(sampleCount_, 0);
    record.states.assign(sampleCount_, ServerState::gone);
    result_.servers.push_back(record);
    publishedEndpoints_.push_back(machines_.back().entry);
    isListed_.push_back(now_ <= kStart);
    return number;
  }

  void createGateways() {
    Stream random(seed_, "gateways");
    const auto count = static_cast<std::uint32_t>(std::lround(scenario_.gateways.draw(random)));
    const double spread = scenario_.startSpreadMs.draw(random);
    settings_ = moduleSettings(scenario_, day_);
    settings_.replicaCount =
        scenario_.configuredGateways > 0 ? static_cast<std::uint32_t>(scenario_.configuredGateways) : count;
    gateways_.resize(count);
    for (std::uint32_t gateway = 0; gateway < count; ++gateway) {
      gateways_[gateway].name = "gateway-" + std::to_string(gateway);
      gateways_[gateway].zone = gateway % static_cast<std::uint32_t>(scenario_.zones.size());
      gateways_[gateway].weight = random.uniform(0.8, 1.2);
      schedule(kStart + millis(random.uniform(0, spread)), [this, gateway] { startGateway(gateway, true); });
    }
  }

  void scheduleArrivals() {
    for (const Arrival& arrival :
         arrivalsOf(scenario_, seed_, day_, day_.loadLevel * capacity_ / day_.meanWork, surges_)) {
      Call call;
      call.firstRequestAt = kStart + secs(arrival.at);
      call.classIndex = arrival.classIndex;
      call.zone = arrival.zone;
      call.work = arrival.work;
      call.key = arrival.key;
      call.value = day_.classes[call.classIndex].settings.priorityWeight * call.work;
      call.retriesLeft = static_cast<std::uint8_t>(day_.maxRetries);
      calls_.push_back(call);
      schedule(call.firstRequestAt, EventKind::clientRequest, static_cast<std::uint32_t>(calls_.size() - 1));
    }
    result_.seconds.resize(static_cast<std::size_t>(std::ceil(scenario_.durationS)));
  }

  // --- Clients and gateways -----------------------------------------------------------------------------

  Second& secondOf(Time time) {
    const double offsetS = std::clamp(secondsSinceStart(time), 0.0, scenario_.durationS - 1e-9);
    return result_.seconds[std::min(static_cast<std::size_t>(offsetS), result_.seconds.size() - 1)];
  }

  void sendClientRequest(std::uint32_t id) {
    Call& call = calls_[id];
    const DrawnClass& drawnClass = day_.classes[call.classIndex];
    Duration timeout = balancer::Duration(static_cast<std::int64_t>(
        static_cast<double>(drawnClass.settings.clientTimeout.count()) * day_.requestTimeoutShare));
    timeout = std::min(timeout, drawnClass.settings.clientTimeout - (now_ - call.firstRequestAt));
    if (timeout <= Duration(0))
      return giveUp(call, false);
    Stream random(seed_, "front", static_cast<std::uint64_t>(id) * 32 + call.requests);
    ++call.requests;
    secondOf(call.firstRequestAt).requests += 1;
    ++result_.requests;
    double weightSum = 0;
    std::uint32_t chosen = kInvalidIndex;
    for (const bool sameZone : {true, false}) {
      for (std::uint32_t gateway = 0; gateway < gateways_.size(); ++gateway) {
        if (!gateways_[gateway].routable || (sameZone && gateways_[gateway].zone != call.zone))
          continue;
        weightSum += gateways_[gateway].weight;
        if (random.unit() * weightSum < gateways_[gateway].weight)
          chosen = gateway;
      }
      if (chosen != kInvalidIndex)
        break;
    }
    ClientRequest request;
    request.call = id;
    request.gateway = chosen;
    if (chosen == kInvalidIndex || !gateways_[chosen].up)
      return retryOrGiveUp(id, false, true, {});
    request.gatewayStart = gateways_[chosen].startCount;
    const Time arrival = nextGatewayTick(now_ + secs(day_.clientDelay));
    request.deadline = arrival + timeout;
    requests_.push_back(request);
    schedule(arrival, EventKind::requestArrival, static_cast<std::uint32_t>(requests_.size() - 1));
  }

  void giveUp(Call& call, bool rejected) {
    call.outcome = rejected ? CallOutcome::rejected : CallOutcome::failed;
    call.endedAt = now_;
  }

  // After a request that was not served the client retries, or gives up.
  void retryOrGiveUp(std::uint32_t id, bool rejected, bool unreachable, Duration retryAfter) {
    Call& call = calls_[id];
    const ClassSettings& settings = settings_.classes[call.classIndex];
    const auto wait = retryWait(day_, seed_, id, call.requests, call.retriesLeft, settings,
                                {rejected, unreachable, retryAfter}, now_ - call.firstRequestAt);
    if (!wait)
      return giveUp(call, rejected);
    --call.retriesLeft;
    schedule(now_ + secs(*wait), EventKind::clientRequest, id);
  }

  std::uint32_t replicaCountOf(std::uint32_t gatewayIndex) const {
    const auto& member = gateways_[gatewayIndex].member;
    return std::max(settings_.replicaCount, member ? static_cast<std::uint32_t>(member->quotaHolders()) : 1);
  }

  Settings settingsOf(std::uint32_t gatewayIndex) {
    Settings settings = settings_;
    settings.replicaCount = replicaCountOf(gatewayIndex);
    settings.replicaIndex = std::min(gatewayIndex, settings.replicaCount - 1);
    settings.seed = Stream(seed_, "seed",
                           static_cast<std::uint64_t>(gatewayIndex) * 64 + gateways_[gatewayIndex].startCount)
                        .engine()();
    settings.zone = scenario_.zones[gateways_[gatewayIndex].zone];
    return settings;
  }

  // --- Membership of the gateways -----------------------------------------------------------------------

  static membership::Address addressOf(std::uint32_t gatewayIndex) {
    return {0x7f000001 + (gatewayIndex >> 14), static_cast<std::uint16_t>(1 + (gatewayIndex & 0x3fff))};
  }

  void startMember(std::uint32_t gatewayIndex) {
    if (scenario_.membershipPeriodMs <= 0)
      return;
    Gateway& gateway = gateways_[gatewayIndex];
    membership::MembershipSettings settings;
    settings.probeInterval = millis(scenario_.membershipPeriodMs);
    for (std::uint32_t i = 0; i < std::min<std::size_t>(kMembershipSeeds, gateways_.size()); ++i)
      settings.seeds.push_back(addressOf(i));
    membership::MemberRecord self;
    self.name = gateway.name;
    self.address = addressOf(gatewayIndex);
    self.zone = scenario_.zones[gateway.zone];
    gateway.member.emplace(
        settings, self,
        Stream(seed_, "member", static_cast<std::uint64_t>(gatewayIndex) * 64 + gateway.startCount)
            .engine()(),
        now_);
    gateway.memberTimer = Time::max();
    processMember(gatewayIndex);
  }

  // Sends the datagrams of a member, schedules its timer and passes a changed replica count to the module.
  void processMember(std::uint32_t gatewayIndex) {
    Gateway& gateway = gateways_[gatewayIndex];
    for (membership::Datagram& datagram : std::exchange(gateway.member->datagrams(), {})) {
      const std::uint32_t to = (datagram.to.ip - 0x7f000001) << 14 | (datagram.to.port - 1u);
      if (to >= gateways_.size() || (gateway.zone != gateways_[to].zone &&
                                     (isIsolated(gateway.zone) || isIsolated(gateways_[to].zone))))
        continue;
      const Range& delay = gateway.zone == gateways_[to].zone ? scenario_.sameZoneMs : scenario_.crossZoneMs;
      schedule(now_ + millis(delay.draw(membershipRandom_) / 2),
               [this, gatewayIndex, to, bytes = std::move(datagram.bytes)] {
                 if (!gateways_[to].member)
                   return;
                 gateways_[to].member->onDatagram(now_, addressOf(gatewayIndex), bytes);
                 processMember(to);
               });
    }
    gateway.member->events().clear();
    if (const std::uint32_t replicaCount = replicaCountOf(gatewayIndex);
        gateway.policy && replicaCount != gateway.replicaCount) {
      gateway.replicaCount = replicaCount;
      gateway.policy->onSettings(now_, settingsOf(gatewayIndex));
      executeActions(gatewayIndex);
    }
    if (gateway.member->wakeAt() >= gateway.memberTimer)
      return;
    gateway.memberTimer = gateway.member->wakeAt();
    schedule(gateway.memberTimer, [this, gatewayIndex, startCount = gateway.startCount] {
      Gateway& later = gateways_[gatewayIndex];
      if (!later.member || later.startCount != startCount)
        return;
      later.memberTimer = Time::max();
      later.member->onWake(now_);
      processMember(gatewayIndex);
    });
  }

  void startGateway(std::uint32_t gatewayIndex, bool first) {
    Gateway& gateway = gateways_[gatewayIndex];
    ++gateway.startCount;
    gateway.up = gateway.routable = true;
    gateway.replicaCount = replicaCountOf(gatewayIndex);
    gateway.policy = makePolicy_(settingsOf(gatewayIndex), now_, *this);
    gateway.serverOf.clear();
    gateway.pools.assign(machines_.size(), ConnectionPool{});
    checker_.gatewayRestarted(gatewayIndex);
    std::vector<Endpoint> entries;
    if (first) {
      gateway.announcedStates.assign(machines_.size(), EndpointState::removed);
      gateway.announcedStarts.assign(machines_.size(), Time{});
    }
    for (std::uint32_t server = 0; server < machines_.size(); ++server) {
      const bool isKnown = first ? static_cast<bool>(isListed_[server])
                                 : server < gateway.announcedStates.size() &&
                                       gateway.announcedStates[server] != EndpointState::removed;
      if (!isKnown)
        continue;
      Endpoint entry = publishedEndpoints_[server];
      if (!first)
        entry.state = gateway.announcedStates[server], entry.upSince = gateway.announcedStarts[server];
      entries.push_back(entry);
      recordAnnouncement(gatewayIndex, server, entry);
    }
    gateway.policy->onEndpoints(now_, EndpointListKind::cached, entries);
    executeActions(gatewayIndex);
    startMember(gatewayIndex);
    schedule(now_ + kFirstSnapshotDelay, [this, gatewayIndex, startCount = gateway.startCount] {
      if (gateways_[gatewayIndex].startCount == startCount && gateways_[gatewayIndex].up)
        announceSnapshot(gatewayIndex);
    });
  }

  void killGateway(std::uint32_t gatewayIndex) {
    Gateway& gateway = gateways_[gatewayIndex];
    if (!gateway.up)
      return;
    gateway.up = false;
    for (std::uint32_t request : std::vector<std::uint32_t>(gateway.openRequests)) {
      if (requests_[request].ended)
        continue;
      requests_[request].ended = true;
      checker_.requestDropped(request + 1);
      for (std::uint8_t i = 0; i < requests_[request].attempts; ++i) {
        Attempt& attempt = attempts_[requests_[request].attemptIds[i]];
        if (attempt.inFlight)
          attempt.inFlight = false, closeConnection(attempt, requests_[request].attemptIds[i]);
      }
      retryOrGiveUp(requests_[request].call, false, true, {});
    }
    gateway.openRequests.clear();
    for (std::size_t server = 0; server < gateway.pools.size(); ++server)
      if (gateway.pools[server].serverEpoch == machines_[server].epoch)
        closeConnections(machines_[server], gateway.pools[server].idle.size());
    gateway.pools.clear();
    gateway.policy.reset();
    gateway.member.reset();
  }

  static void closeConnections(Machine& machine, std::size_t count) {
    machine.server.connections -= std::min(machine.server.connections, count);
  }

  void acceptRequest(std::uint32_t id) {
    ClientRequest& request = requests_[id];
    Gateway& gateway = gateways_[request.gateway];
    if (!gateway.up || gateway.startCount != request.gatewayStart)
      return retryOrGiveUp(request.call, false, true, {});
    const Call& call = calls_[request.call];
    checker_.requestAccepted(id + 1, settings_.classes[call.classIndex], request.deadline);
    gateway.openRequests.push_back(id);
    schedule(request.deadline + millis(scenario_.answerSlackMs) + Duration(1), EventKind::answerDue, id);
    Request moduleRequest;
    moduleRequest.id = id + 1;
    moduleRequest.classIndex = call.classIndex;
    moduleRequest.remaining = request.deadline - now_;
    moduleRequest.key = call.key;
    moduleRequest.hasKey = call.key != 0;
    gateway.policy->onRequest(now_, moduleRequest);
    executeActions(request.gateway);
  }

  // Ends a client request, served or not.
  void endRequest(std::uint32_t id, bool served, bool rejected, Duration retryAfter) {
    ClientRequest& request = requests_[id];
    request.ended = true;
    std::vector<std::uint32_t>& open = gateways_[request.gateway].openRequests;
    const auto found = std::find(open.rbegin(), open.rend(), id);
    if (found != open.rend())
      *found = open.back(), open.pop_back();
    Call& call = calls_[request.call];
    if (!served) {
      (rejected ? secondOf(now_).rejected : secondOf(now_).failed) += 1;
      return retryOrGiveUp(request.call, rejected, false, retryAfter);
    }
    if (call.outcome != CallOutcome::open)
      return;
    const Duration elapsed = now_ - call.firstRequestAt - secs(day_.clientDelay);
    call.outcome = elapsed <= day_.classes[call.classIndex].settings.latencyObjective ? CallOutcome::inTime
                                                                                      : CallOutcome::late;
    call.endedAt = now_;
    if (call.firstRequestAt >= kStart + secs(scenario_.warmupS))
      latencies_.add(inSeconds(elapsed) * 1000);
  }

  void executeActions(std::uint32_t gatewayIndex) {
    Gateway& gateway = gateways_[gatewayIndex];
    // A cancel action ends its attempt at once; the policy may respond to that result with further actions.
    while (!gateway.policy->actions().empty()) {
      std::vector<Action> actions;
      actions.swap(gateway.policy->actions());
      for (const Action& action : actions)
        execute(gatewayIndex, action);
    }
  }

  void execute(std::uint32_t gatewayIndex, const Action& action) {
    Gateway& gateway = gateways_[gatewayIndex];
    digest_.add(gatewayIndex, action);
    switch (action.kind) {
      case ActionKind::send:
        send(gatewayIndex, action);
        break;
      case ActionKind::reject:
      case ActionKind::fail: {
        const std::uint32_t id = requestIndexOf(action.request, "answered");
        if (requests_[id].ended)
          break;
        const bool rejected = action.kind == ActionKind::reject;
        checker_.rejectedOrFailed(now_, action.request, rejected);
        endRequest(id, false, rejected,
                   scenario_.retryAfter ? std::min(action.retryAfter, millis(scenario_.maxRetryAfterMs))
                                        : Duration(0));
        break;
      }
      case ActionKind::cancel: {
        const ClientRequest& request = requests_[requestIndexOf(action.request, "cancelled")];
        if (action.attempt >= request.attempts)
          throw std::logic_error("the policy cancelled an attempt that it never sent");
        finishAttempt(request.attemptIds[action.attempt], Outcome::cancelled, true);
        break;
      }
      case ActionKind::close: {
        const std::uint32_t server = serverOf(gatewayIndex, action.host);
        if (server < gateway.pools.size()) {
          if (gateway.pools[server].serverEpoch == machines_[server].epoch)
            closeConnections(machines_[server], gateway.pools[server].idle.size());
          gateway.pools[server].idle.clear();
        }
        break;
      }
      case ActionKind::wake:
        schedule(nextGatewayTick(std::max(action.wakeAt, now_ + Duration(1))), EventKind::gatewayWake,
                 gatewayIndex, gateway.startCount);
        break;
      case ActionKind::log:
        if (result_.policyLog.size() < kMaxPolicyLogLines)
          result_.policyLog.push_back(timestamp() + "[" + std::to_string(gatewayIndex) + "] " + action.text);
        break;
      case ActionKind::pollDiscovery:
        break;
    }
  }

  std::uint32_t requestIndexOf(RequestId request, const char* action) const {
    if (request == 0 || request > requests_.size())
      throw std::logic_error("the policy " + std::string(action) + " a request that no client sent");
    return static_cast<std::uint32_t>(request - 1);
  }

  std::uint32_t serverOf(std::uint32_t gatewayIndex, HostId host) {
    Gateway& gateway = gateways_[gatewayIndex];
    if (host >= gateway.serverOf.size())
      gateway.serverOf.resize(host + 1, kInvalidIndex);
    if (gateway.serverOf[host] == kInvalidIndex)
      gateway.serverOf[host] = byAddress_.at(gateway.policy->address(host));
    return gateway.serverOf[host];
  }

  // --- Attempts -------------------------------------------------------------------------------------------

  bool isIsolated(std::uint32_t zone) const { return isolatedZone_ == zone; }
  bool reachable(std::uint32_t gatewayIndex, const Machine& machine) const {
    return machine.reachable && !(gateways_[gatewayIndex].zone != machine.zone &&
                                  (isIsolated(gateways_[gatewayIndex].zone) || isIsolated(machine.zone)));
  }
  Duration networkDelay(std::uint32_t gatewayIndex, const Machine& machine) {
    const double base =
        gateways_[gatewayIndex].zone == machine.zone ? day_.sameZoneDelay : day_.crossZoneDelay;
    return secs(base * (1 + networkRandom_.exponential(day_.jitter)));
  }

  void send(std::uint32_t gatewayIndex, const Action& action) {
    const std::uint32_t id = requestIndexOf(action.request, "sent");
    ClientRequest& request = requests_[id];
    const std::uint32_t server = serverOf(gatewayIndex, action.host);
    Machine& machine = machines_[server];
    Gateway& gateway = gateways_[gatewayIndex];
    checker_.attemptSent(now_, gatewayIndex, action.request, server, machine.entry);
    if (request.attempts >= request.attemptIds.size())
      throw std::logic_error("the policy sent more than eight attempts of a request");
    Attempt attempt;
    attempt.request = id;
    attempt.server = server;
    attempt.sentAt = now_;
    attempt.number = request.attempts;
    attempt.serverEpoch = machine.epoch;
    const auto number = static_cast<std::uint32_t>(attempts_.size());
    request.attemptIds[request.attempts++] = number;
    attempts_.push_back(attempt);
    Attempt& sentAttempt = attempts_.back();
    if (request.ended || request.attempts > settings_.maxAttempts || action.timeLimit < Duration(0)) {
      sentAttempt.outcome = Outcome::abandoned;
      return schedule(nextGatewayTick(now_ + Duration(1)), EventKind::attemptResult, number);
    }
    secondOf(now_).attempts += 1;
    ++result_.attempts;
    if (calls_[request.call].firstRequestAt >= kStart)
      crossZoneAttempts_ += gateways_[gatewayIndex].zone != machine.zone;
    const Duration limit = std::min(
        action.timeLimit > Duration(0) ? action.timeLimit : request.deadline - now_, request.deadline - now_);
    schedule(nextGatewayTick(now_ + std::max(limit, Duration(1))), EventKind::attemptTimeout, number);
    if (server >= gateway.pools.size())
      gateway.pools.resize(machines_.size());
    ConnectionPool& pool = gateway.pools[server];
    if (pool.serverEpoch != machine.epoch && !machine.endedSilently)
      pool.idle.clear();
    while (!pool.idle.empty() && now_ - pool.idle.back() >= settings_.idleTimeout) {
      if (pool.serverEpoch == machine.epoch)
        closeConnections(machine, pool.idle.size());
      pool.idle.clear();
    }
    if (!pool.idle.empty()) {
      sentAttempt.serverEpoch = pool.serverEpoch;
      sentAttempt.connected = true;
      pool.idle.pop_back();
      if (reachable(gatewayIndex, machine))
        schedule(now_ + networkDelay(gatewayIndex, machine), EventKind::attemptArrival, number);
      return;
    }
    pool.serverEpoch = machine.epoch;
    sentAttempt.newConnection = true;
    if (!reachable(gatewayIndex, machine)) {
      sentAttempt.outcome = Outcome::connectFailed;
      return schedule(nextGatewayTick(now_ + millis(scenario_.connectTimeoutMs)), EventKind::attemptResult,
                      number);
    }
    const Duration roundTrip = networkDelay(gatewayIndex, machine) + networkDelay(gatewayIndex, machine);
    if (!machine.up ||
        static_cast<double>(machine.server.connections) >= machine.server.parameters().connectionCap) {
      sentAttempt.outcome = Outcome::connectFailed;
      return schedule(nextGatewayTick(now_ + roundTrip), EventKind::attemptResult, number);
    }
    ++result_.connections;
    sentAttempt.connected = true;
    machine.server.connections += 1;
    schedule(now_ + secs(inSeconds(roundTrip) * day_.handshakeRtts) + networkDelay(gatewayIndex, machine),
             EventKind::attemptArrival, number);
  }

  void respond(std::uint32_t id, Outcome outcome) {
    Attempt& attempt = attempts_[id];
    if (!attempt.inFlight)
      return;
    const std::uint32_t gatewayIndex = requests_[attempt.request].gateway;
    if (attempt.responseLost || !reachable(gatewayIndex, machines_[attempt.server]))
      return;  // the response is lost on its way
    attempt.outcome = outcome;
    schedule(nextGatewayTick(now_ + networkDelay(gatewayIndex, machines_[attempt.server])),
             EventKind::attemptResult, id);
  }

  void arriveAtServer(std::uint32_t id) {
    Attempt& attempt = attempts_[id];
    Machine& machine = machines_[attempt.server];
    const ClientRequest& request = requests_[attempt.request];
    if (!reachable(request.gateway, machine))
      return;
    if (attempt.serverEpoch != machine.epoch || !machine.up)
      return respond(id, Outcome::reset);
    if (!attempt.inFlight)
      return;  // the gateway closed the connection before the request arrived
    const Call& call = calls_[request.call];
    const DrawnClass& drawnClass = day_.classes[call.classIndex];
    Stream random(seed_, "attempt",
                  (static_cast<std::uint64_t>(request.call) * 32 + call.requests) * 8 + attempt.number);
    Job job;
    job.attempt = id;
    job.key = call.key;
    job.hasKey = call.key != 0 && scenario_.keyAffinity;
    job.deadline = request.deadline;
    job.work = call.work * (drawnClass.attemptNoise > 0 ? random.lognormal(1, drawnClass.attemptNoise) : 1) +
               (attempt.newConnection ? day_.handshakeWork : 0);
    const Gateway& gateway = gateways_[request.gateway];
    double informedShare = 0;
    const bool informed = attempt.server < gateway.announcedStarts.size() &&
                          gateway.announcedStarts[attempt.server] == machine.entry.upSince;
    if (machine.server.overloadedWhileCold(now_, job.work, informed, scenario_.overloadMultiple,
                                           scenario_.overloadWindowMs / 1000, informedShare)) {
      addToTimeline("server " + machine.entry.address + " overloaded while warming up, its process ended");
      checker_.coldServerOverloaded(now_, machine.entry.address, informedShare);
      stopMachine(attempt.server, false);
      publishLater(drawRemovalNotice(), attempt.server, EndpointState::removed, machine.entry.upSince);
      return;
    }
    if (machine.draining)
      return respond(id, Outcome::rejected);
    if (machine.resetProbability > 0 && random.chance(machine.resetProbability)) {
      machine.server.offer(now_, job);  // it is executed, but its response is lost
      scheduleCompletion(attempt.server);
      return respond(id, Outcome::reset);
    }
    attempt.responseLost = machine.lossProbability > 0 && random.chance(machine.lossProbability);
    if (machine.errorProbability > 0 && random.chance(machine.errorProbability))
      return respond(id, Outcome::error);
    if (!machine.server.offer(now_, job))
      return respond(id, Outcome::rejected);
    collectCompleted(attempt.server);
    scheduleCompletion(attempt.server);
  }

  // Responds to the attempts that the server has completed since the last call.
  void collectCompleted(std::uint32_t server) {
    Machine& machine = machines_[server];
    std::vector<Server::CompletedJob> completed;
    completed.swap(machine.server.completed());
    for (const Server::CompletedJob& job : completed) {
      Attempt& attempt = attempts_[job.attempt];
      const bool wanted =
          attempt.inFlight && !requests_[attempt.request].ended && attempt.outcome == Outcome::served;
      if (!wanted)
        wastedWork_ += job.work;
      if (!attempt.inFlight || attempt.outcome != Outcome::served)
        continue;
      if (job.dropped)
        respond(job.attempt, Outcome::rejected);
      else
        respond(job.attempt, Stream(seed_, "error", job.attempt).chance(machine.server.parameters().errorRate)
                                 ? Outcome::error
                                 : Outcome::served);
    }
  }

  void scheduleCompletion(std::uint32_t server) {
    Machine& machine = machines_[server];
    ++machine.scheduleVersion;
    if (const auto completion = machine.server.nextCompletion())
      schedule(std::max(*completion, now_), EventKind::serverCompletion, server, machine.scheduleVersion);
  }

  // The gateway closes the attempt's connection; the server may drop the request from its queue.
  void closeConnection(Attempt& attempt, std::uint32_t id) {
    Machine& machine = machines_[attempt.server];
    if (attempt.serverEpoch != machine.epoch || !attempt.connected)
      return;
    closeConnections(machine, 1);
    machine.server.cancel(id);
  }

  void finishAttempt(std::uint32_t id, Outcome outcome, bool cancelledByGateway) {
    Attempt& attempt = attempts_[id];
    if (!attempt.inFlight)
      return;
    attempt.inFlight = false;
    const std::uint32_t requestId = attempt.request;
    ClientRequest& request = requests_[requestId];
    Gateway& gateway = gateways_[request.gateway];
    if (!gateway.up || gateway.startCount != request.gatewayStart)
      return;
    Machine& machine = machines_[attempt.server];
    if (cancelledByGateway || outcome == Outcome::reset)
      closeConnection(attempt, id);
    else if (outcome != Outcome::connectFailed && outcome != Outcome::abandoned &&
             attempt.serverEpoch == machine.epoch) {
      if (gateway.pools[attempt.server].serverEpoch == machine.epoch)
        gateway.pools[attempt.server].idle.push_back(now_);
    }
    Second& second = secondOf(now_);
    if (outcome == Outcome::rejected)
      second.rejectedAttempts += 1;
    if (outcome == Outcome::timeout)
      second.timeouts += 1;
    if (outcome == Outcome::connectFailed)
      second.connectFailed += 1;
    if (outcome == Outcome::reset)
      second.resets += 1;
    if (outcome == Outcome::error)
      second.errors += 1;
    checker_.attemptEnded(requestId + 1, attempt.number, outcome);
    AttemptResult result;
    result.request = requestId + 1;
    result.attempt = attempt.number;
    result.host = gateway.policy->findHost(machine.entry.address);
    result.outcome = outcome;
    result.elapsed = now_ - attempt.sentAt;
    if (outcome == Outcome::served && !request.ended) {
      checker_.requestServed(requestId + 1);
      endRequest(requestId, true, false, {});
    }
    result.terminal = requests_[requestId].ended;
    const std::uint32_t gatewayIndex = requests_[requestId].gateway;
    gateway.policy->onResult(now_, result);
    // A cancellation comes from executeActions(), whose loop also executes the actions added here.
    if (outcome != Outcome::cancelled)
      executeActions(gatewayIndex);
  }

  void checkAnswered(std::uint32_t id) {
    ClientRequest& request = requests_[id];
    if (request.ended)
      return;
    Gateway& gateway = gateways_[request.gateway];
    checker_.answerDue(now_, id + 1);
    endRequest(id, false, false, {});
    if (!gateway.up || gateway.startCount != request.gatewayStart)
      return;
    gateway.policy->onClientDisconnected(now_, id + 1);
    executeActions(request.gateway);
  }

  // --- Discovery -----------------------------------------------------------------------------------------

  void recordAnnouncement(std::uint32_t gatewayIndex, std::uint32_t server, const Endpoint& entry) {
    Gateway& gateway = gateways_[gatewayIndex];
    gateway.announcedStates.resize(machines_.size(), EndpointState::removed);
    gateway.announcedStarts.resize(machines_.size());
    gateway.announcedStates[server] = entry.state;
    gateway.announcedStarts[server] = entry.upSince;
    checker_.endpointAnnounced(now_, gatewayIndex, server, entry.state);
  }

  void announceChange(std::uint32_t gatewayIndex, std::uint32_t change) {
    if (!gateways_[gatewayIndex].up)
      return;
    const EndpointChange& endpointChange = endpointChanges_[change];
    recordAnnouncement(gatewayIndex, endpointChange.server, endpointChange.entry);
    gateways_[gatewayIndex].policy->onEndpoints(now_, EndpointListKind::delta, {endpointChange.entry});
    executeActions(gatewayIndex);
  }

  void announceSnapshot(std::uint32_t gatewayIndex) {
    std::vector<Endpoint> entries;
    for (std::uint32_t server = 0; server < machines_.size(); ++server) {
      Endpoint entry = publishedEndpoints_[server];
      if (!isListed_[server])
        entry.state = EndpointState::removed;
      recordAnnouncement(gatewayIndex, server, entry);
      if (entry.state != EndpointState::removed)
        entries.push_back(entry);
    }
    gateways_[gatewayIndex].policy->onEndpoints(now_, EndpointListKind::snapshot, entries);
    executeActions(gatewayIndex);
  }

  // Discovery announces a change of a server to every gateway, within the notification spread.
  void publish(std::uint32_t server, EndpointState state, Time upSince) {
    Endpoint entry = machines_[server].entry;
    entry.state = state;
    entry.upSince = upSince;
    publishedEndpoints_[server] = entry;
    isListed_[server] = state != EndpointState::removed;
    endpointChanges_.push_back({server, entry});
    const double spread = scenario_.notificationSpreadMs.draw(discoveryRandom_) / 1000;
    for (std::uint32_t gatewayIndex = 0; gatewayIndex < gateways_.size(); ++gatewayIndex) {
      Time notifyAt = now_ + secs(discoveryRandom_.uniform(0, spread));
      notifyAt = nextGatewayTick(std::max(notifyAt, gateways_[gatewayIndex].lastNotification));
      gateways_[gatewayIndex].lastNotification = notifyAt;
      schedule(notifyAt, EventKind::endpointUpdate, gatewayIndex,
               static_cast<std::uint32_t>(endpointChanges_.size() - 1));
    }
  }
  void publishLater(Duration delay, std::uint32_t server, EndpointState state, Time upSince) {
    Time publishAt = now_ + delay + secs(extraNoticeDelayS_);
    if (day_.discoveryPollPeriod > 0) {  // rounded up to the next poll of discovery
      const auto period = secs(day_.discoveryPollPeriod).count();
      publishAt = Time((publishAt.count() + period - 1) / period * period);
    }
    schedule(publishAt, [this, server, state, upSince] { publish(server, state, upSince); });
  }
  Duration drawRemovalNotice() { return secs(scenario_.removalNoticeS.draw(discoveryRandom_)); }

  // --- Machines and faults -------------------------------------------------------------------------------

  // Ends the process of a server. Unless `silently`, its connections are reset.
  void stopMachine(std::uint32_t server, bool silently) {
    Machine& machine = machines_[server];
    const std::vector<std::uint32_t> dropped = machine.server.dropAll();
    ++machine.scheduleVersion;
    machine.up = false;
    machine.endedSilently = silently;
    if (!silently)
      for (std::uint32_t id : dropped)
        respond(id, Outcome::reset);
    ++machine.epoch;
    machine.server.connections = 0;
  }

  void startMachine(std::uint32_t server) {
    Machine& machine = machines_[server];
    machine.server.restart(now_);
    ++machine.scheduleVersion;
    ++machine.epoch;
    machine.up = true;
    machine.draining = false;
    machine.reachable = true;
    machine.entry.upSince = now_;
  }

  std::vector<std::uint32_t> drawSubset(double share, const std::vector<std::uint32_t>& candidates) {
    std::vector<std::uint32_t> chosen = candidates;
    for (std::size_t i = chosen.size(); i > 1; --i)
      std::swap(chosen[i - 1], chosen[faultRandom_.below(i)]);
    chosen.resize(std::min<std::size_t>(
        chosen.size(),
        static_cast<std::size_t>(std::max(1.0, std::round(share * static_cast<double>(candidates.size()))))));
    std::sort(chosen.begin(), chosen.end());
    return chosen;
  }
  std::vector<std::uint32_t> allServers() const {
    std::vector<std::uint32_t> all(machines_.size());
    for (std::uint32_t i = 0; i < all.size(); ++i)
      all[i] = i;
    return all;
  }

  // Applies a fault to each of the servers at `begin` and reverts it at `end`, in seconds of the day.
  void scheduleFault(double begin, double end, std::vector<std::uint32_t> servers,
                     const std::string& description, std::function<void(std::uint32_t, bool)> apply) {
    for (const bool begins : {true, false})
      schedule(kStart + secs(begins ? begin : end), [this, begins, servers, description, apply] {
        addToTimeline(description +
                      (begins ? " begins, " + std::to_string(servers.size()) + " servers" : " ends"));
        for (std::uint32_t i : servers) {
          apply(i, begins);
          machines_[i].server.advance(now_);
          collectCompleted(i);
          scheduleCompletion(i);
        }
      });
  }

  void scheduleFaults() {
    for (const FaultSpec& spec : scenario_.faultSpecs) {
      const double begin = spec.atS.draw(faultRandom_), length = spec.durationS.draw(faultRandom_),
                   affectedShare = spec.affectedShare.draw(faultRandom_);
      const double size = spec.size.draw(faultRandom_), interval = spec.intervalS.draw(faultRandom_);
      std::uint32_t zone = static_cast<std::uint32_t>(faultRandom_.below(scenario_.zones.size()));
      for (std::uint32_t z = 0; z < scenario_.zones.size(); ++z)
        if (scenario_.zones[z] == spec.zone)
          zone = z;
      const bool happens = faultRandom_.chance(spec.probability.draw(faultRandom_));
      if (!happens)
        continue;
      const double end = begin + length;
      if (spec.kind == "slow") {
        scheduleFault(begin, end, drawSubset(affectedShare, allServers()), "slow",
                      [this, size](std::uint32_t i, bool begins) {
                        machines_[i].slowdown = begins ? std::max(size, 1.0) : 1;
                        machines_[i].server.setSlowdown(now_, machines_[i].slowdown);
                      });
      } else if (spec.kind == "pauses") {
        for (std::uint32_t i : drawSubset(affectedShare, allServers()))
          for (double when = begin + interval * faultRandom_.unit(); when < end; when += interval) {
            schedulePause(i, when, true);
            schedulePause(i, when + size / 1000, false);
          }
        schedule(kStart + secs(begin), [this] { addToTimeline("pauses begin"); });
      } else if (spec.kind == "errors" || spec.kind == "resets" || spec.kind == "lost_answers") {
        double Machine::*probability = spec.kind == "errors"   ? &Machine::errorProbability
                                       : spec.kind == "resets" ? &Machine::resetProbability
                                                               : &Machine::lossProbability;
        scheduleFault(begin, end, drawSubset(affectedShare, allServers()), spec.kind,
                      [this, size, probability](std::uint32_t i, bool begins) {
                        machines_[i].*probability = begins ? size : 0;
                      });
      } else if (spec.kind == "silence") {
        scheduleFault(begin, end, drawSubset(affectedShare, allServers()), "silence",
                      [this](std::uint32_t i, bool begins) {
                        machines_[i].reachable = !begins;
                        if (begins)
                          scheduleSilenceDetection(i);
                      });
      } else if (spec.kind == "zone") {
        std::vector<std::uint32_t> servers;
        for (std::uint32_t i = 0; i < machines_.size(); ++i)
          if (machines_[i].zone == zone)
            servers.push_back(i);
        scheduleFault(begin, end, servers, "zone " + scenario_.zones[zone] + " lost",
                      [this](std::uint32_t i, bool begins) {
                        if (begins) {
                          machines_[i].reachable = false;
                          stopMachine(i, true);
                          scheduleSilenceDetection(i);
                        } else {
                          startMachine(i);
                          publishLater(secs(scenario_.additionNoticeS.draw(discoveryRandom_)), i,
                                       EndpointState::serving, now_);
                        }
                      });
      } else if (spec.kind == "cut") {
        schedule(kStart + secs(begin), [this, zone] {
          addToTimeline("zone " + scenario_.zones[zone] + " isolated"), isolatedZone_ = zone;
        });
        schedule(kStart + secs(end),
                 [this] { addToTimeline("zone no longer isolated"), isolatedZone_ = kInvalidIndex; });
      } else if (spec.kind == "kill") {
        std::vector<std::uint32_t> all(gateways_.size());
        for (std::uint32_t i = 0; i < all.size(); ++i)
          all[i] = i;
        const double notice = scenario_.frontendDetectionS.draw(faultRandom_);
        for (std::uint32_t gatewayIndex : drawSubset(affectedShare, all)) {
          schedule(kStart + secs(begin), [this, gatewayIndex] { killGateway(gatewayIndex); });
          schedule(kStart + secs(begin + notice), [this, gatewayIndex] {
            if (!gateways_[gatewayIndex].up)
              gateways_[gatewayIndex].routable = false;
          });
          schedule(kStart + secs(begin + std::max(length, 0.1) * faultRandom_.uniform(0.5, 1.5)),
                   [this, gatewayIndex] { startGateway(gatewayIndex, false); });
        }
        schedule(kStart + secs(begin), [this] { addToTimeline("gateways killed"); });
      } else if (spec.kind == "deploy") {
        scheduleDeployment(begin, length, affectedShare, std::max(size, 0.01), interval);
      } else if (spec.kind == "late_lists") {
        schedule(kStart + secs(begin),
                 [this, size] { addToTimeline("endpoint updates delayed"), extraNoticeDelayS_ = size; });
        schedule(kStart + secs(end), [this] { extraNoticeDelayS_ = 0; });
      } else if (spec.kind == "settings") {
        schedule(kStart + secs(begin), [this, spec, size] { changeSettings(spec, size); });
      } else if (spec.kind == "surge") {
        surges_.push_back({begin, end, std::max(size, 0.0)});
      }
    }
  }

  void schedulePause(std::uint32_t server, double when, bool begins) {
    schedule(kStart + secs(when), [this, server, begins] {
      Machine& machine = machines_[server];
      machine.pauseCount += begins ? 1 : -1;
      machine.server.setPaused(now_, machine.pauseCount > 0);
      collectCompleted(server);
      scheduleCompletion(server);
    });
  }

  void scheduleSilenceDetection(std::uint32_t server) {
    schedule(now_ + secs(scenario_.silenceDetectionS.draw(discoveryRandom_)), [this, server] {
      if (!machines_[server].reachable)
        publish(server, EndpointState::removed, machines_[server].entry.upSince);
    });
  }

  // Drains and removes the servers in batches and replaces them by new machines, which have new addresses and
  // have to warm up.
  void scheduleDeployment(double begin, double duration, double affectedShare, double batchShare,
                          double drainDuration) {
    const std::vector<std::uint32_t> chosen = drawSubset(affectedShare, allServers());
    const auto batchSize = static_cast<std::size_t>(
        std::max(1.0, std::round(batchShare * static_cast<double>(machines_.size()))));
    const std::size_t steps = (chosen.size() + batchSize - 1) / batchSize;
    schedule(kStart + secs(begin), [this, n = chosen.size()] {
      addToTimeline("deploy begins, " + std::to_string(n) + " servers");
    });
    for (std::size_t i = 0; i < chosen.size(); ++i) {
      const double when = begin + duration * static_cast<double>(i / batchSize) /
                                      static_cast<double>(std::max<std::size_t>(steps, 1));
      schedule(kStart + secs(when), [this, id = chosen[i], drainDuration] {
        Machine& machine = machines_[id];
        if (machine.draining || !machine.up)
          return;
        machine.draining = true;
        publishLater(drawRemovalNotice(), id, EndpointState::draining, machine.entry.upSince);
        schedule(now_ + secs(drainDuration), [this, id] {
          stopMachine(id, false);
          publishLater(drawRemovalNotice(), id, EndpointState::removed, machines_[id].entry.upSince);
          const std::uint32_t replacement = addMachine(machineKinds_[id], machines_[id].zone,
                                                       static_cast<std::size_t>(machines_[id].entry.cell));
          startMachine(replacement);
          publishLater(secs(scenario_.additionNoticeS.draw(discoveryRandom_)), replacement,
                       EndpointState::serving, now_);
        });
      });
    }
  }

  void changeSettings(const FaultSpec& spec, double maxAttempts) {
    if (maxAttempts >= 1)
      settings_.maxAttempts = static_cast<std::uint32_t>(std::min(maxAttempts, 8.0));
    for (std::size_t i = 0; i < settings_.classes.size(); ++i) {
      if (settings_.classes[i].name != spec.className || spec.idempotency.empty())
        continue;
      settings_.classes[i].idempotency = effectNamed(spec.idempotency);
    }
    addToTimeline("settings changed");
    for (std::uint32_t gatewayIndex = 0; gatewayIndex < gateways_.size(); ++gatewayIndex)
      if (gateways_[gatewayIndex].up) {
        gateways_[gatewayIndex].policy->onSettings(now_, settingsOf(gatewayIndex));
        executeActions(gatewayIndex);
      }
  }

  // --- Event dispatch and results ------------------------------------------------------------------------

  void dispatch(const Event& event) {
    switch (event.kind) {
      case EventKind::clientRequest:
        return sendClientRequest(event.index);
      case EventKind::requestArrival:
        return acceptRequest(event.index);
      case EventKind::answerDue:
        return checkAnswered(event.index);
      case EventKind::attemptArrival:
        return arriveAtServer(event.index);
      case EventKind::serverCompletion: {
        Machine& machine = machines_[event.index];
        if (event.argument != machine.scheduleVersion)
          return;
        machine.server.advance(now_);
        collectCompleted(event.index);
        return scheduleCompletion(event.index);
      }
      case EventKind::serverUpdate: {
        Machine& machine = machines_[event.index];
        machine.server.advance(now_);
        collectCompleted(event.index);
        scheduleCompletion(event.index);
        if (machine.up || machine.server.inFlight() > 0 || !machine.draining)
          schedule(now_ + kServerUpdatePeriod, EventKind::serverUpdate, event.index);
        return;
      }
      case EventKind::attemptResult:
        return finishAttempt(event.index, attempts_[event.index].outcome, false);
      case EventKind::attemptTimeout:
        return finishAttempt(event.index, Outcome::timeout, true);
      case EventKind::gatewayWake: {
        Gateway& gateway = gateways_[event.index];
        if (!gateway.up || gateway.startCount != event.argument)
          return;
        gateway.policy->onWake(now_);
        return executeActions(event.index);
      }
      case EventKind::endpointUpdate:
        return announceChange(event.index, event.argument);
      case EventKind::callback: {
        const std::function<void()> callback = std::move(callbacks_[event.index]);
        return callback();
      }
      case EventKind::sample:
        return recordSample();
    }
  }

  ServerState stateOf(const Machine& machine) const {
    if (!machine.reachable)
      return ServerState::silent;
    if (!machine.up)
      return ServerState::gone;
    if (machine.draining)
      return ServerState::draining;
    if (machine.server.choked())
      return ServerState::choked;
    if (machine.pauseCount > 0)
      return ServerState::paused;
    if (machine.slowdown > 1)
      return ServerState::slowed;
    return machine.server.warmingUp() ? ServerState::cold : ServerState::usual;
  }

  void recordSample() {
    ++sampleCount_;
    for (std::size_t i = 0; i < machines_.size(); ++i) {
      result_.servers[i].inFlight.push_back(static_cast<float>(machines_[i].server.inFlight()));
      result_.servers[i].states.push_back(stateOf(machines_[i]));
    }
    double thresholdSum = 0;
    std::size_t gatewaysUp = 0;
    for (const Gateway& gateway : gateways_)
      if (gateway.up)
        thresholdSum += gateway.policy->sheddingThreshold(), ++gatewaysUp;
    if (gatewaysUp > 0)
      secondOf(now_).sheddingThreshold =
          std::max(secondOf(now_).sheddingThreshold, thresholdSum / static_cast<double>(gatewaysUp));
    if (now_ + kSamplePeriod <= kStart + secs(scenario_.durationS))
      schedule(now_ + kSamplePeriod, EventKind::sample);
  }

  void computeResult() {
    Result& result = result_;
    result.scenario = scenario_.name;
    result.seed = seed_;
    double offeredValue = 0, servedValue = 0, lateFailedValue = 0, offeredWork = 0;
    std::uint64_t rejected = 0, failed = 0;
    std::vector<std::vector<double>> latencies(result.seconds.size());
    for (const Call& call : calls_) {
      const ClassSettings& settings = day_.classes[call.classIndex].settings;
      const double value = call.outcome == CallOutcome::inTime ? call.value
                           : call.outcome == CallOutcome::late ? settings.lateValueFraction * call.value
                                                               : 0;
      Second& second = secondOf(call.firstRequestAt);
      second.offeredValue += call.value;
      (call.outcome == CallOutcome::late ? second.lateValue : second.inTimeValue) += value;
      second.calls += 1;
      if (call.outcome == CallOutcome::inTime || call.outcome == CallOutcome::late)
        latencies[static_cast<std::size_t>(&second - result.seconds.data())].push_back(
            inSeconds(call.endedAt - call.firstRequestAt) * 1000);
      offeredWork += call.work;
      if (call.firstRequestAt < kStart + secs(scenario_.warmupS))
        continue;
      ++result.calls;
      ClassRecord& record = result.classes[call.classIndex];
      record.offeredValue += call.value;
      record.servedValue += value;
      record.calls += 1;
      record.inTime += call.outcome == CallOutcome::inTime;
      record.late += call.outcome == CallOutcome::late;
      const bool unserved = call.outcome != CallOutcome::inTime && call.outcome != CallOutcome::late;
      if (!unserved)
        continue;
      (call.outcome == CallOutcome::rejected ? record.rejected : record.failed) += 1;
      ++(call.outcome == CallOutcome::rejected ? rejected : failed);
      if (call.outcome == CallOutcome::open || call.endedAt - call.firstRequestAt > settings.latencyObjective)
        lateFailedValue += call.value;
    }
    for (std::size_t i = 0; i < latencies.size(); ++i) {
      std::sort(latencies[i].begin(), latencies[i].end());
      if (latencies[i].empty())
        continue;
      result.seconds[i].p50 = latencies[i][(latencies[i].size() - 1) / 2];
      result.seconds[i].p99 = latencies[i][(latencies[i].size() - 1) * 99 / 100];
    }
    for (const ClassRecord& record : result.classes)
      offeredValue += record.offeredValue, servedValue += record.servedValue;
    if (result.calls > 0) {
      result.rejectedShare = static_cast<double>(rejected) / static_cast<double>(result.calls);
      result.failedShare = static_cast<double>(failed) / static_cast<double>(result.calls);
    }
    result.priceLateFail = offeredValue > 0 ? scenario_.priceLateFail * lateFailedValue / offeredValue : 0;
    result.goodput = offeredValue > 0 ? servedValue / offeredValue : 1;
    result.worstClassGoodput = 1;
    for (const ClassRecord& record : result.classes)
      if (record.offeredValue > 0)
        result.worstClassGoodput =
            std::min(result.worstClassGoodput, record.servedValue / record.offeredValue);
    result.worstWindowGoodput = result.goodput;
    const std::size_t window = std::min<std::size_t>(kWorstWindowS, result.seconds.size());
    for (std::size_t i = static_cast<std::size_t>(scenario_.warmupS); i + window <= result.seconds.size();
         ++i) {
      double windowOffered = 0, windowServed = 0;
      for (std::size_t j = i; j < i + window; ++j)
        windowOffered += result.seconds[j].offeredValue,
            windowServed += result.seconds[j].inTimeValue + result.seconds[j].lateValue;
      if (windowOffered > 0 && windowServed / windowOffered < result.worstWindowGoodput)
        result.worstWindowGoodput = windowServed / windowOffered,
        result.worstWindowStartS = static_cast<double>(i);
    }
    const double calls = std::max<double>(1, static_cast<double>(calls_.size()));
    result.priceCrossZone = scenario_.priceCrossZone * static_cast<double>(crossZoneAttempts_) / calls;
    result.priceWaste = offeredWork > 0 ? scenario_.priceWaste * wastedWork_ / offeredWork : 0;
    result.priceHandshake = scenario_.priceHandshake * static_cast<double>(result.connections) / calls;
    std::size_t choked = 0;
    for (std::size_t i = 0; i < machines_.size(); ++i) {
      result.servers[i].chokes = machines_[i].server.chokes();
      for (Server::Choke& choke : result.servers[i].chokes) {
        choke.from -= kStart;
        if (choke.to > Time{})
          choke.to -= kStart;
      }
      choked += !result.servers[i].chokes.empty();
    }
    result.chokedShare = static_cast<double>(choked) / static_cast<double>(machines_.size());
    result.priceChoke = scenario_.priceChoke * result.chokedShare;
    result.p50 = latencies_.percentile(0.5);
    result.p90 = latencies_.percentile(0.9);
    result.p99 = latencies_.percentile(0.99);
    result.breaches = checker_.breaches();
    for (Breach& breach : result.breaches)
      breach.at -= kStart;
    result.score = scenario_.goodputWeight * result.goodput +
                   scenario_.worstWindowWeight * result.worstWindowGoodput +
                   scenario_.worstClassWeight * result.worstClassGoodput - result.priceCrossZone -
                   result.priceWaste - result.priceHandshake - result.priceChoke - result.priceLateFail;
  }

  const Scenario& scenario_;
  std::uint64_t seed_;
  const PolicyFactory& makePolicy_;
  DrawnDay day_;
  DrawnFleet fleet_;
  Stream networkRandom_, discoveryRandom_, faultRandom_, membershipRandom_;
  Checker checker_;
  Result result_;
  ActionDigest digest_;
  Time now_{};
  std::uint64_t nextOrder_ = 0;
  std::priority_queue<Event, std::vector<Event>, std::greater<>> events_;
  std::vector<std::function<void()>> callbacks_;

  Duration gatewayTick_{};
  double capacity_ = 0, extraNoticeDelayS_ = 0;
  std::size_t sampleCount_ = 0;
  std::vector<Surge> surges_;
  Settings settings_;
  std::deque<Machine> machines_;  // a deque, since references stay valid while it grows
  std::vector<std::size_t> machineKinds_;
  std::unordered_map<std::string, std::uint32_t> byAddress_;
  std::vector<Endpoint> publishedEndpoints_;
  std::vector<char> isListed_;
  std::vector<EndpointChange> endpointChanges_;
  std::vector<Gateway> gateways_;
  std::vector<Call> calls_;
  std::vector<ClientRequest> requests_;
  std::vector<Attempt> attempts_;
  std::uint32_t isolatedZone_ = kInvalidIndex;
  double wastedWork_ = 0;
  std::uint64_t crossZoneAttempts_ = 0;
  Latencies latencies_;
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
            const PolicyFactory& makePolicy) {
  Result result = Simulation(scenario, seed, makePolicy).play();
  result.policy = policyName;
  return result;
}

}  // namespace hollyrun::lab
