#include "lab/simulation/server.hpp"

#include <algorithm>
#include <cmath>

namespace hollyrun::lab {
namespace {

constexpr double kUtilizationSmoothingS = 0.5;  // time constant
constexpr double kLoadSmoothing = 0.5;          // time constant, as a share of chokeDelayS
// The load counts up to this multiple of the threshold, so that a choke takes at least half of chokeDelayS.
constexpr double kMaxLoadMultiple = 1.5;
// A server is also warmed up once it has completed this share of the work that it could do in warmupS.
constexpr double kWarmupWorkShare = 0.5;
constexpr double kMeanWorkWeight = 0.02;  // of the latest request in the moving average of the work

}  // namespace

double Server::rate() const {
  if (paused_ || running_.empty())
    return 0;
  const double core = capacity() / parameters_.cores;
  return core * std::min(1.0, parameters_.cores / static_cast<double>(running_.size()));
}

double Server::capacity() const {
  const double excess = static_cast<double>(inFlight()) / parameters_.cores - parameters_.thrashingThreshold;
  const double thrashingFactor = 1 / (1 + parameters_.thrashing * std::max(excess, 0.0));
  const double connectionFactor =
      1 - parameters_.fullTableOverhead *
              std::min(static_cast<double>(connections) / parameters_.connectionCap, 1.0);
  return parameters_.cores * parameters_.speed * warmth_ * thrashingFactor * connectionFactor / slowdown_ /
         (choked_ ? parameters_.chokeSlowdown : 1);
}

double Server::backlog() const {
  double work = 0;
  for (const Running& running : running_)
    work += std::max(running.until - progress_, 0.0);
  for (const Job& job : queue_)
    work += job.work;
  return work;
}

double Server::workOf(const Job& job, Time now) {
  if (!job.hasKey || parameters_.keyCacheGain <= 0)
    return job.work;
  const auto cached = keyCache_.find(job.key);
  double work = job.work;
  if (cached != keyCache_.end()) {
    if (inSeconds(now - cached->second->second) <= parameters_.keyCacheTtlS)
      work *= 1 - parameters_.keyCacheGain;
    recentKeys_.erase(cached->second);
  }
  recentKeys_.emplace_front(job.key, now);
  keyCache_[job.key] = recentKeys_.begin();
  if (recentKeys_.size() > parameters_.cachedKeys) {
    keyCache_.erase(recentKeys_.back().first);
    recentKeys_.pop_back();
  }
  return work;
}

void Server::start(Time now) {
  while (running_.size() < parameters_.slots && !queue_.empty()) {
    const Job job = queue_.front();
    queue_.pop_front();
    const auto cancelled = std::find(cancelled_.begin(), cancelled_.end(), job.attempt);
    const bool wasCancelled = cancelled != cancelled_.end();
    if (wasCancelled)
      cancelled_.erase(cancelled);
    if ((wasCancelled && parameters_.dropsCancelled) || (parameters_.dropsExpired && now >= job.deadline)) {
      completed_.push_back({job.attempt, now, 0, true});
      continue;
    }
    const double work = workOf(job, now);
    meanWork_ += (meanWork_ > 0 ? kMeanWorkWeight : 1.0) * (work - meanWork_);
    running_.push_back({job, work, progress_ + work});
  }
}

bool Server::offer(Time now, const Job& job) {
  advance(now);
  if (running_.size() >= parameters_.slots && queue_.size() >= parameters_.queueCapacity)
    return false;
  queue_.push_back(job);
  start(now);
  observe(now);
  return true;
}

void Server::cancel(std::uint32_t attempt) {
  const bool isQueued =
      std::any_of(queue_.begin(), queue_.end(), [&](const Job& job) { return job.attempt == attempt; });
  if (isQueued)
    cancelled_.push_back(attempt);
}

std::optional<Time> Server::nextCompletion() const {
  const double speed = rate();
  if (speed <= 0)
    return std::nullopt;
  double first = running_.front().until;
  for (const Running& running : running_)
    first = std::min(first, running.until);
  return last_ + std::max(seconds((first - progress_) / speed), Duration(0)) + Duration(1);
}

void Server::updateUtilization(double elapsed) {
  const double utilization = static_cast<double>(running_.size()) / static_cast<double>(parameters_.slots);
  utilization_ += (1 - std::exp(-elapsed / kUtilizationSmoothingS)) * (utilization - utilization_);
}

void Server::advance(Time now) {
  while (const auto end = nextCompletion()) {
    if (*end > now)
      break;
    const auto first = std::min_element(running_.begin(), running_.end(),
                                        [](const Running& a, const Running& b) { return a.until < b.until; });
    const double elapsed = inSeconds(*end - last_);
    updateUtilization(elapsed);
    progress_ = std::max(progress_, first->until);
    last_ = *end;
    completedWork_ += first->work;
    completed_.push_back({first->job.attempt, *end, first->work, false});
    running_.erase(first);
    start(*end);
    observe(*end);
  }
  if (now <= last_)
    return;
  const double elapsed = inSeconds(now - last_);
  progress_ += rate() * elapsed;
  updateUtilization(elapsed);
  last_ = now;
  observe(now);
}

void Server::observe(Time now) {
  if (warmth_ < 1) {
    const double warmupWork = parameters_.warmupS * parameters_.cores * parameters_.speed * kWarmupWorkShare;
    const double progress = std::max(inSeconds(now - startedAt_) / std::max(parameters_.warmupS, 1e-9),
                                     warmupWork > 0 ? completedWork_ / warmupWork : 1);
    warmth_ = parameters_.initialCapacity + (1 - parameters_.initialCapacity) * std::min(progress, 1.0);
  }
  if (!parameters_.chokesEnabled)
    return;
  // The load is smoothed, because it often drops below the threshold for a moment. If each drop reset the
  // delay, servers that choke at once in the platform's simulator would never choke in this model.
  smoothedLoad_ +=
      (1 - std::exp(-inSeconds(now - loadUpdatedAt_) / (kLoadSmoothing * parameters_.chokeDelayS))) *
      (load_ - smoothedLoad_);
  loadUpdatedAt_ = now;
  load_ = std::min(static_cast<double>(inFlight()) / parameters_.cores,
                   kMaxLoadMultiple * parameters_.chokeThreshold);
  if (!choked_) {
    if (smoothedLoad_ > parameters_.chokeThreshold)
      choke(now);
    return;
  }
  const bool recovering = utilization_ < parameters_.chokeRecoveryUtilization;
  if (recovering && !recovering_)
    recoveringSince_ = now;
  recovering_ = recovering;
  const bool recovered = recovering_ && inSeconds(now - recoveringSince_) >= parameters_.chokeRecoveryS;
  if (recovered || inSeconds(now - chokedAt_) >= parameters_.maxChokeS) {
    choked_ = false;
    smoothedLoad_ = 0;
    chokeLog_.back().to = now;
  }
}

void Server::choke(Time now) {
  choked_ = true;
  recovering_ = false;
  chokedAt_ = now;
  chokeLog_.push_back({now, {}, static_cast<double>(inFlight()) / parameters_.cores});
}

void Server::forceChoke(Time now) {
  advance(now);
  parameters_.chokesEnabled = true;
  if (!choked_)
    choke(now);
}

std::vector<std::uint32_t> Server::dropAll() {
  std::vector<std::uint32_t> all;
  for (const Running& running : running_)
    all.push_back(running.job.attempt);
  for (const Job& job : queue_)
    all.push_back(job.attempt);
  running_.clear();
  queue_.clear();
  cancelled_.clear();
  return all;
}

void Server::restart(Time now) {
  advance(now);
  dropAll();
  completed_.clear();
  if (choked_)
    chokeLog_.back().to = now;
  choked_ = recovering_ = paused_ = false;
  startedAt_ = now;
  completedWork_ = utilization_ = smoothedLoad_ = load_ = 0;
  warmth_ = parameters_.warmupS > 0 ? parameters_.initialCapacity : 1;
  coldArrivals_.clear();
  recentKeys_.clear();
  keyCache_.clear();
  connections = 0;
}

void Server::setSlowdown(Time now, double factor) {
  advance(now);
  slowdown_ = factor;
}

void Server::setPaused(Time now, bool paused) {
  advance(now);
  paused_ = paused;
}

bool Server::overloadedWhileCold(Time now, double work, bool informed, double multiple, double window,
                                 double& informedShare) {
  if (!warmingUp())
    return false;
  coldArrivals_.push_back({now, work, informed});
  while (now - coldArrivals_.front().at > seconds(window))
    coldArrivals_.pop_front();
  double total = 0, informedWork = 0, largest = 0;
  for (const ColdArrival& arrival : coldArrivals_) {
    total += arrival.work;
    largest = std::max(largest, arrival.work);
    if (arrival.informed)
      informedWork += arrival.work;
  }
  informedShare = total > 0 ? informedWork / total : 0;
  const double capacity = parameters_.cores * parameters_.speed * warmth_;
  return total - largest > multiple * capacity * window + 3 * meanWork_;
}

}  // namespace hollyrun::lab
