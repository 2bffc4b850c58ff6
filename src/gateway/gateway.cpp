#include "gateway/gateway.hpp"

#include <algorithm>
#include <chrono>
#include <functional>
#include <limits>
#include <utility>

#include "gateway/endpoint_text.hpp"
#include "gateway/memory_metrics.hpp"
#include "gateway/request_metrics.hpp"

namespace hollyrun::gateway {
namespace {

namespace asio = boost::asio;
using tcp = asio::ip::tcp;
using balancer::EndpointListKind;
using Sharing = ProcessLifecycle::AddressSharing;

std::size_t executedRequestsBytes(const Config& config) {
  return config.memoryBytes / 64;
}

UpstreamPool::Limits upstreamLimits(const Config& config) {
  constexpr std::size_t kUnlimited = std::numeric_limits<std::size_t>::max();
  const auto connections = partitionDescriptors(config.sockets, kUnlimited, ServingProcesses::one);
  return {connections.upstream, config.connectTimeout, config.balancer.idleTimeout};
}

DownstreamServer::Limits downstreamLimits(const Config& config, DownstreamServer::Limits limits) {
  limits.connections =
      partitionDescriptors(config.sockets, limits.connections, ServingProcesses::one).downstream;
  return limits;
}

ProcessLifecycle::Resources resourcesOf(const Config& config, const DownstreamServer::Limits& limits) {
  return {.descriptors = config.sockets,
          .maxDownstream = limits.connections,
          // The file of executed requests counts as memory.
          .memoryBytes = config.memoryBytes - executedRequestsBytes(config)};
}

// Differs between gateways even where their configurations have the same seed.
std::uint64_t discoverySeed(const Config& config) {
  return config.balancer.seed ^ std::hash<std::string>{}(config.name + textOf(config.listen));
}

}  // namespace

Gateway::Gateway(asio::io_context& io, const Config& config, const Options& options, Log& log)
    : io_(io),
      log_(log),
      state_(config.balancer, executedRequestsBytes(config), log,
             options.abortOnViolation ? ViolationPolicy::abort : ViolationPolicy::log),
      memory_(std::make_shared<MemoryBudget>(config.memoryBytes)),
      overload_(
          io, memory_, options.process, [this] { return downstream_.releaseCostliest(); }, log),
      upstream_(io, upstreamLimits(config), *this, memory_),
      discoveryMonitor_(log),
      endpoints_(state_, upstream_, discoveryMonitor_),
      discovery_(io, config.discovery, discoveryCallbacks(), options.discovery, discoverySeed(config)),
      admission_(state_, endpoints_, downstream_),
      completion_(state_, downstream_),
      actions_(io, state_, endpoints_, admission_, completion_, {upstream_, downstream_, discovery_, log}),
      intake_(state_, completion_, actions_, upstream_, downstream_),
      process_(io, config.listen, config.management ? Sharing::shared : Sharing::exclusive,
               resourcesOf(config, options.clients), overload_, downstream_, upstream_, log),
      downstream_(io, downstreamLimits(config, options.clients), *this, memory_) {
  applySettings(config.balancer);
  applyCachedEndpoints(config);
  if (config.management) {
    management_.emplace(io, *config.management, managementCallbacks());
    process_.enableHotRestart(config.temporaryDirectory);
    shareExecutedRequests(config);
  }
  joinFleet(config);
  process_.start();
}

Gateway::~Gateway() {
  upstream_.stop();
  discovery_.stop();
}

std::optional<tcp::endpoint> Gateway::management() const {
  return management_ ? std::optional(management_->listening()) : std::nullopt;
}

// The other process of a hot restart must not execute a request that this one may have executed.
void Gateway::shareExecutedRequests(const Config& config) {
  if (config.listen.port() == 0)
    return;
  const std::string path = config.temporaryDirectory + "/executed-" + textOf(config.listen);
  if (!state_.executedRequests.share(path))
    log_.write(LogLevel::warning, "hot_restart",
               "cannot share the ids of executed requests with another process in " + path);
}

// --- Wiring ---------------------------------------------------------------------------------------------

void Gateway::onRequest(DownstreamRequest request) {
  intake_.receiveRequest(std::move(request), isAcceptingClients() ? Readiness::ready : Readiness::notReady);
}

void Gateway::onClientDisconnected(DownstreamRequestId id) {
  intake_.disconnectClient(id);
}

void Gateway::onUploadComplete(DownstreamRequestId id, std::chrono::steady_clock::time_point lastByteAt) {
  intake_.completeUpload(id, lastByteAt);
}

void Gateway::onUploadDelayed(DownstreamRequestId id, std::chrono::steady_clock::time_point lastByteAt) {
  intake_.checkDelayedUpload(id, lastByteAt);
}

void Gateway::onLocalRejection(const std::string& target, RejectionKind kind) {
  intake_.recordLocalRejection(target, kind);
}

void Gateway::onClosedUnanswered(DownstreamRequestId id, CloseReason reason) {
  intake_.recordClosedUnanswered(id, reason);
}

void Gateway::onClosed(CloseReason reason) {
  state_.requestLog.logClose(reason);
}

void Gateway::onDrained() {
  process_.onDrained();
}

void Gateway::onAttemptComplete(AttemptCompletion completion) {
  actions_.onAttemptComplete(std::move(completion));
}

AdmissionResult Gateway::admit(const AttemptStart& start) {
  return admission_.admit(start);
}

void Gateway::onResponseCut(const ResponseCut& cut) {
  state_.counters.recordResponseCut(cut.reason);
  state_.requestLog.logResponseCut(cut);
}

Discovery::Callbacks Gateway::discoveryCallbacks() {
  return {
      .onEndpoints =
          [this](const EndpointUpdate& update) {
            applyEndpointList(update.list,
                              update.list.snapshot ? EndpointListKind::snapshot : EndpointListKind::delta,
                              state_.clock.toBalancer(update.changedSince));
          },
      .onCallEnded = [this](const DiscoveryCallReport& report) { discoveryMonitor_.recordCallEnd(report); }};
}

Management::Callbacks Gateway::managementCallbacks() {
  return {.isReady = [this] { return isAcceptingClients(); },
          .renderStatistics = [this] { return state_.statistics.render(gauges()); },
          .renderMetrics = [this] { return state_.statistics.metrics(gauges(), collectMetrics()); },
          .renderFleet = [this] { return fleet_ ? fleet_->text() : std::string(); }};
}

// --- Endpoints ------------------------------------------------------------------------------------------

void Gateway::applyEndpointList(const EndpointList& list, EndpointListKind kind,
                                balancer::Time changedSince) {
  endpoints_.applyEndpointList(list, kind, changedSince);
  if (kind != EndpointListKind::cached)
    process_.onDiscoveryAnswer();
  actions_.executePending();
}

// The balancer requests the watch of discovery when it receives its first list, even an empty one.
void Gateway::applyCachedEndpoints(const Config& config) {
  if (config.cachedEndpoints)
    discovery_.setKnownVersion(config.cachedEndpoints->version);
  const EndpointList empty{.version = 0, .snapshot = true, .endpoints = {}};
  applyEndpointList(config.cachedEndpoints ? *config.cachedEndpoints : empty, EndpointListKind::cached,
                    state_.clock.now());
}

// --- Settings and fleet ---------------------------------------------------------------------------------

void Gateway::applySettings(const balancer::Settings& settings) {
  state_.settings = settings;
  intake_.applySettings();
}

void Gateway::reload(const Config& config) {
  applySettings(config.balancer);
  upstream_.setTimeouts(config.connectTimeout, config.balancer.idleTimeout);
  state_.balancer.onSettings(state_.clock.now(), config.balancer);
  state_.statistics.recordReload(Statistics::ReloadResult::applied);
  joinFleet(config);
  if (config.discovery != discovery_.server())
    discovery_.switchServer(config.discovery);
  actions_.executePending();
}

// Applies the configured membership. If the gateway's addresses or name or the fleet's name have changed,
// leaves the fleet as the old member and joins as a new one.
void Gateway::joinFleet(const Config& config) {
  configuredReplicaCount_ = config.balancer.replicaCount;
  if (process_.isShuttingDown())
    return;
  if (fleet_ && fleet_->serves(config)) {
    fleet_->reload(config);
  } else {
    if (fleet_)
      fleet_->leave(false);
    fleet_.reset();
    if (config.membership)
      fleet_.emplace(io_, config, log_, [this] { repartitionFleetLimits(); });
  }
  repartitionFleetLimits();
}

// Divides fleet-wide limits by the number of quota holders (members that may use a part of them), but never
// by fewer than the configured number of replicas: otherwise the two sides of a network partition would
// together exceed the limits.
void Gateway::repartitionFleetLimits() {
  const std::uint32_t replicas = std::max(configuredReplicaCount_, fleet_ ? fleet_->quotaHolders() : 1);
  if (replicas == state_.settings.replicaCount)
    return;
  state_.settings.replicaCount = replicas;
  state_.balancer.onSettings(state_.clock.now(), state_.settings);
  log_.write(LogLevel::info, "fleet", "fleet-wide limits are divided by a new number of replicas",
             {{"by", std::to_string(replicas)}});
  actions_.executePending();
}

// --- Metrics --------------------------------------------------------------------------------------------

bool Gateway::isAcceptingClients() const {
  return endpoints_.isReady() && !process_.isShuttingDown() && downstream_.isListening();
}

Statistics::Gauges Gateway::gauges() const {
  const balancer::EndpointCounts endpoints = state_.balancer.endpointCounts();
  return {.upstreamAttempts = upstream_.writtenAttempts(),
          .endpointsListed = endpoints.listed,
          .endpointsUnavailable = endpoints.unavailable};
}

std::vector<prometheus::MetricFamily> Gateway::collectMetrics() const {
  auto families = fleet_ ? fleet_->metrics() : std::vector<prometheus::MetricFamily>();
  for (auto& family : collectRequestMetrics(state_.counters, admission_.guard(), downstream_.closeCounts()))
    families.push_back(std::move(family));
  for (auto& family : collectMemoryMetrics(*memory_, overload_, downstream_.memoryEvictions()))
    families.push_back(std::move(family));
  for (auto& family : discoveryMonitor_.collectMetrics())
    families.push_back(std::move(family));
  return families;
}

// --- Shutdown -------------------------------------------------------------------------------------------

void Gateway::shutDown(std::function<void()> onDrained) {
  if (process_.isShuttingDown())
    return;
  const ShutdownSchedule schedule = planShutdown(std::chrono::steady_clock::now(), state_.settings.classes);
  process_.beginShutdown(std::move(onDrained));
  intake_.limitResponses(schedule.lastResponse);
  upstream_.limitResponses(schedule.lastResponse);
  if (fleet_)
    fleet_->leave(process_.isOtherProcessPresent());
  process_.drainClients(schedule);
}

}  // namespace hollyrun::gateway
