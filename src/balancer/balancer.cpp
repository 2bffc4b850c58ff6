// The Balancer's construction, settings, endpoint lists, timers and sweeps. request_events.cpp handles the
// events of requests.
#include "hollyrun/balancer.hpp"

#include <string>

#include "balancer/balancer_impl.hpp"
#include "balancer/settings.hpp"

namespace hollyrun::balancer {

Balancer::Impl::Impl(Settings settings, Time now)
    : settings_(std::move(settings)),
      random_(settings_.seed),
      now_(now),
      nextSweepAt_(now + kSweepInterval),
      concurrencyLimit_(settings_, arrivals_, serviceTimes_, now) {
  classes_.applySettings(settings_);
  tenantQuota_.resize(settings_.tenants.size(), now_);
}

void Balancer::Impl::applySettings(Settings settings) {
  settings.seed = settings_.seed;
  settings_ = std::move(settings);
  tenantQuota_.resize(settings_.tenants.size(), now_);
  classes_.applySettings(settings_);
  endpoints_.rebuildIndex();
  slowStart_.trackColdEndpoints(endpoints_, now_);
}

// --- Endpoints ---

void Balancer::Impl::applyEndpoints(EndpointListKind kind, const std::vector<Endpoint>& entries) {
  if (kind == EndpointListKind::unavailable) {
    discovery_.recordFailure(now_, random_);
    return;
  }
  if (kind == EndpointListKind::cached)
    discovery_.recordCachedList(now_);
  else
    discovery_.recordList();
  if (kind != EndpointListKind::delta)
    endpoints_.markAllRemoved();
  for (const Endpoint& entry : entries) {
    const auto [host, newProcess] = endpoints_.update(entry);
    if (settings_.loadAdjustedWeights && kind != EndpointListKind::cached)
      reportedLoad_.applyReport(endpoints_.record(host), entry.weight);
    if (newProcess)
      resetForNewProcess(host);
  }
  endpoints_.reindex();
  slowStart_.trackColdEndpoints(endpoints_, now_);
}

// Discards the statistics of the endpoint's previous process, which do not apply to the new one.
void Balancer::Impl::resetForNewProcess(HostId host) {
  EndpointRecord& record = endpoints_.record(host);
  record.health.resetForNewProcess();
  record.serviceTime = {.relative = serviceTimes_.assumedRelative(record, now_)};
  record.reportedLoad = {};
  record.connections.open = 0;
  record.connections.failedDials = 0;
  for (const auto& requestClass : classes_)
    requestClass->endpointFailureRates.erase(host);
  slowStart_.resetForNewProcess(record, random_.drawUnit(), now_);
}

EndpointCounts Balancer::Impl::endpointCounts() const {
  EndpointCounts counts;
  for (const EndpointRecord& record : endpoints_.records()) {
    if (record.endpoint.state == EndpointState::removed)
      continue;
    ++counts.listed;
    if (!record.isServing() || selector_.isUnavailable(record, now_))
      ++counts.unavailable;
  }
  return counts;
}

// --- Timers ---

void Balancer::Impl::schedule(Time at, const PendingRequest& request, TimerKind kind) {
  timers_.schedule({at, request.slot, request.id, kind});
}

void Balancer::Impl::runTimers() {
  while (const std::optional<Timer> timer = timers_.popDue(now_))
    runTimer(*timer);
  if (now_ < nextSweepAt_)
    return;
  nextSweepAt_ = now_ + kSweepInterval;
  sweepEndpoints();
  sweepPool();
  timers_.removeEnded(requests_.size(), [this](RequestId id) { return isOpen(id); });
}

bool Balancer::Impl::isOpen(RequestId id) {
  const PendingRequest* request = requests_.find(id);
  return request && !request->ended;
}

void Balancer::Impl::runTimer(const Timer& timer) {
  PendingRequest* request = requests_.find(timer.request);
  if (!request || request->ended || request->responseStarted)
    return;
  switch (timer.kind) {
    case TimerKind::deadline:  // answers the client even if the outcome of an attempt is never reported
      rejectOrFail(*request, RejectReason::deadlineExceeded);
      break;
    case TimerKind::hedge:  // an endpoint not yet known to be slow could use up the whole latency objective
      if (shedder_.hasSpareCapacity() && retries_.mayHedge(*request) && send(*request) == RejectReason::none)
        retries_.spendBudget();
      break;
    case TimerKind::keyQueue:
      if (!request->isOrderedPerKey() || request->attemptCount > 0)
        break;
      if (retries_.wouldFinishTooLate(*request, 0, now_))
        rejectOrFail(*request, RejectReason::queueTooLong);
      keySequencer_.markDue(request->key);
      break;
  }
}

void Balancer::Impl::scheduleWake() {
  const std::optional<Time> nextTimer = timers_.nextTime([this](RequestId id) { return isOpen(id); });
  Time wanted = nextTimer ? std::min(nextSweepAt_, *nextTimer) : nextSweepAt_;
  wanted = std::max(wanted, now_ + Duration(1));
  if (wakeAt_ > now_ && wakeAt_ <= wanted)
    return;
  wakeAt_ = wanted;
  actions_.wake(wanted);
}

// --- Sweeps ---

void Balancer::Impl::sweepEndpoints() {
  serviceTimes_.decayUnused(endpoints_, arrivals_.sampleConfidence(), now_);
  outliers_.beginSweep(endpoints_, arrivals_.fastGain(), now_);
  endpoints_.removeEndedAttempts(requests_);
  outliers_.detectSilence(endpoints_, requests_, serviceTimes_.expected(), now_);
  closeUnusedConnections();
  serviceTimes_.updateMedian(endpoints_);
  reportedLoad_.updateMedian(endpoints_);
  outliers_.ejectOutliers(endpoints_, now_, random_, actions_);
  slowStart_.sweepThroughput(endpoints_, arrivals_.fastGain(), now_);
}

void Balancer::Impl::closeUnusedConnections() {
  const std::vector<VirtualNode>& order = endpoints_.subsetOrder();
  for (std::size_t i = endpoints_.activeSize(); i < order.size(); ++i) {
    EndpointRecord& record = endpoints_.record(order[i].host);
    if (!connections_.shouldCloseIdle(record, now_))
      continue;
    connections_.closeAll(record);
    actions_.closeIdle(order[i].host);
  }
}

void Balancer::Impl::sweepPool() {
  concurrencyLimit_.sweepRate();
  arrivals_.sweep();
  concurrencyLimit_.sweepBaseline(shedder_.hasSpareCapacity(), endpoints_);
  shedder_.sweepErrors(endpoints_);
  serviceTimes_.sweepClasses(classes_);
  connections_.decay();
  shedder_.decayRanking(kSlowGain);
  keySequencer_.removeIdle(now_);
  concurrencyLimit_.smoothAtSweep(concurrencyLimit_.inFlightNow(endpoints_, requests_, now_));
  updateThreshold();
  if (!shedder_.hasChangedBand() || !actions_.mayLog(now_))
    return;
  shedder_.markLogged();
  const double maximum = concurrencyLimit_.maximum(slowStart_.warmCount(endpoints_, now_), now_);
  actions_.log(now_, "shedding threshold " + std::to_string(static_cast<int>(shedder_.threshold())) +
                         ", maximum in flight " + std::to_string(static_cast<int>(maximum)) +
                         ", error overload " + std::to_string(shedder_.errorOverload()));
}

void Balancer::Impl::updateThreshold() {
  const double maximum = concurrencyLimit_.maximum(slowStart_.warmCount(endpoints_, now_), now_);
  shedder_.updateThreshold(concurrencyLimit_.smoothedInFlight(), maximum, arrivals_.sampleConfidence());
}

// --- Public interface ---

Balancer::Balancer(Settings settings, Time now) {
  validate(settings);
  impl_ = std::make_unique<Impl>(std::move(settings), now);
}
Balancer::~Balancer() = default;
Balancer::Balancer(Balancer&&) noexcept = default;
Balancer& Balancer::operator=(Balancer&&) noexcept = default;

void Balancer::onSettings(Time now, Settings settings) {
  validate(settings);
  impl_->handle(now, &Impl::applySettings, std::move(settings));
}
void Balancer::onEndpoints(Time now, EndpointListKind kind, const std::vector<Endpoint>& entries) {
  impl_->handle(now, &Impl::applyEndpoints, kind, entries);
}
void Balancer::onRequest(Time now, const Request& request) {
  impl_->handle(now, &Impl::acceptRequest, request);
}
void Balancer::onUploaded(Time now, RequestId request, Duration left) {
  impl_->handle(now, &Impl::completeUpload, request, left);
}
void Balancer::onResponseStarted(Time now, RequestId request, std::uint32_t attempt) {
  impl_->handle(now, &Impl::startResponse, request, attempt);
}
void Balancer::onResult(Time now, const AttemptResult& result) {
  impl_->handle(now, &Impl::completeAttempt, result);
}
void Balancer::onClientDisconnected(Time now, RequestId request) {
  impl_->handle(now, &Impl::disconnectClient, request);
}
void Balancer::onWake(Time now) {
  impl_->handle(now, &Impl::runTimers);
}

std::vector<Action>& Balancer::actions() {
  return impl_->actions();
}
HostId Balancer::findHost(std::string_view address) const {
  return impl_->endpoints().find(address);
}
const std::string& Balancer::address(HostId host) const {
  return impl_->endpoints().records().at(host).endpoint.address;
}
EndpointCounts Balancer::endpointCounts() const {
  return impl_->endpointCounts();
}
double Balancer::sheddingThreshold() const {
  return impl_->sheddingThreshold();
}
std::size_t Balancer::openRequests() const {
  return impl_->openRequests();
}

}  // namespace hollyrun::balancer
