#include "lab/simulation/server.hpp"

#include <algorithm>
#include <cmath>

namespace hollyrun::lab {
namespace {

constexpr double kBusySmooth = 0.5;   // seconds over which "mostly idle" is judged
constexpr double kCrowdSmooth = 0.5;  // of the time that it has to be crowded: the mean is taken over it
constexpr double kCrowdMost = 1.5;    // times the bound counts: it takes half of its time at the least
constexpr double kWarmByWork = 0.5;   // of the work of the whole cold time makes it warm

}  // namespace

double Server::rate() const {
  if (paused_ || running_.empty())
    return 0;
  const double core = capacity() / figures_.cores;
  return core * std::min(1.0, figures_.cores / static_cast<double>(running_.size()));
}

double Server::capacity() const {
  const double over = static_cast<double>(held()) / figures_.cores - figures_.thrashAt;
  const double thrash = 1 / (1 + figures_.thrash * std::max(over, 0.0));
  const double table =
      1 - figures_.fullTax * std::min(static_cast<double>(connections) / figures_.connectionCap, 1.0);
  return figures_.cores * figures_.speed * warmth_ * thrash * table / slow_ /
         (choked_ ? figures_.chokeSlower : 1);
}

double Server::backlog() const {
  double work = 0;
  for (const Running& r : running_)
    work += std::max(r.until - progress_, 0.0);
  for (const Job& j : waiting_)
    work += j.work;
  return work;
}

double Server::workOf(const Job& job, Time now) {
  if (!job.hasKey || figures_.warmGain <= 0)
    return job.work;
  const auto known = keys_.find(job.key);
  double work = job.work;
  if (known != keys_.end()) {
    if (inSeconds(now - known->second->second) <= figures_.warmKeepS)
      work *= 1 - figures_.warmGain;
    recent_.erase(known->second);
  }
  recent_.emplace_front(job.key, now);
  keys_[job.key] = recent_.begin();
  if (recent_.size() > figures_.keyAffinity) {
    keys_.erase(recent_.back().first);
    recent_.pop_back();
  }
  return work;
}

void Server::start(Time now) {
  while (running_.size() < figures_.slots && !waiting_.empty()) {
    const Job job = waiting_.front();
    waiting_.pop_front();
    const auto given = std::find(abandoned_.begin(), abandoned_.end(), job.attempt);
    const bool gone = given != abandoned_.end();
    if (gone)
      abandoned_.erase(given);
    if ((gone && figures_.dropsCancelled) || (figures_.dropsExpired && now >= job.deadline)) {
      ended_.push_back({job.attempt, now, 0, true});
      continue;
    }
    const double work = workOf(job, now);
    meanWork_ += (meanWork_ > 0 ? 0.02 : 1.0) * (work - meanWork_);
    running_.push_back({job, work, progress_ + work});
  }
}

bool Server::offer(Time now, const Job& job) {
  advance(now);
  if (running_.size() >= figures_.slots && waiting_.size() >= figures_.room)
    return false;
  waiting_.push_back(job);
  start(now);
  observe(now);
  return true;
}

void Server::abandon(std::uint32_t attempt) {
  const bool waits =
      std::any_of(waiting_.begin(), waiting_.end(), [&](const Job& j) { return j.attempt == attempt; });
  if (waits)
    abandoned_.push_back(attempt);
}

std::optional<Time> Server::nextEnd() const {
  const double speed = rate();
  if (speed <= 0)
    return std::nullopt;
  double first = running_.front().until;
  for (const Running& r : running_)
    first = std::min(first, r.until);
  return last_ + std::max(seconds((first - progress_) / speed), Duration(0)) + Duration(1);
}

void Server::noteBusy(double passed) {
  const double busy = static_cast<double>(running_.size()) / static_cast<double>(figures_.slots);
  busy_ += (1 - std::exp(-passed / kBusySmooth)) * (busy - busy_);
}

void Server::advance(Time now) {
  while (const auto end = nextEnd()) {
    if (*end > now)
      break;
    const auto first = std::min_element(running_.begin(), running_.end(),
                                        [](const Running& a, const Running& b) { return a.until < b.until; });
    const double passed = inSeconds(*end - last_);
    noteBusy(passed);
    progress_ = std::max(progress_, first->until);
    last_ = *end;
    done_ += first->work;
    ended_.push_back({first->job.attempt, *end, first->work, false});
    running_.erase(first);
    start(*end);
    observe(*end);
  }
  if (now <= last_)
    return;
  const double passed = inSeconds(now - last_);
  progress_ += rate() * passed;
  noteBusy(passed);
  last_ = now;
  observe(now);
}

void Server::observe(Time now) {
  if (warmth_ < 1) {
    const double full = figures_.coldS * figures_.cores * figures_.speed * kWarmByWork;
    const double way =
        std::max(inSeconds(now - startedAt_) / std::max(figures_.coldS, 1e-9), full > 0 ? done_ / full : 1);
    warmth_ = figures_.coldFrom + (1 - figures_.coldFrom) * std::min(way, 1.0);
  }
  if (!figures_.chokes)
    return;
  // Crowded in the mean: with every dip counted as relief a server never jams that the simulator jams at
  // once.
  crowd_ +=
      (1 - std::exp(-inSeconds(now - crowdAt_) / (kCrowdSmooth * figures_.chokeOverS))) * (level_ - crowd_);
  crowdAt_ = now;
  level_ = std::min(static_cast<double>(held()) / figures_.cores, kCrowdMost * figures_.chokeAt);
  if (!choked_) {
    if (crowd_ > figures_.chokeAt)
      choke(now);
    return;
  }
  const bool resting = busy_ < figures_.chokeBelow;
  if (resting && !resting_)
    restSince_ = now;
  resting_ = resting;
  const bool rested = resting_ && inSeconds(now - restSince_) >= figures_.chokeRestS;
  if (rested || inSeconds(now - chokedAt_) >= figures_.chokeMostS) {
    choked_ = false;
    crowd_ = 0;
    chokeLog_.back().to = now;
  }
}

void Server::choke(Time now) {
  choked_ = true;
  resting_ = false;
  chokedAt_ = now;
  chokeLog_.push_back({now, {}, static_cast<double>(held()) / figures_.cores});
}

void Server::jam(Time now) {
  advance(now);
  figures_.chokes = true;
  if (!choked_)
    choke(now);
}

std::vector<std::uint32_t> Server::drop() {
  std::vector<std::uint32_t> all;
  for (const Running& r : running_)
    all.push_back(r.job.attempt);
  for (const Job& j : waiting_)
    all.push_back(j.attempt);
  running_.clear();
  waiting_.clear();
  abandoned_.clear();
  return all;
}

void Server::restart(Time now) {
  advance(now);
  drop();
  ended_.clear();
  if (choked_)
    chokeLog_.back().to = now;
  choked_ = resting_ = paused_ = false;
  startedAt_ = now;
  done_ = busy_ = crowd_ = level_ = 0;
  warmth_ = figures_.coldS > 0 ? figures_.coldFrom : 1;
  arrived_.clear();
  recent_.clear();
  keys_.clear();
  connections = 0;
}

void Server::slow(Time now, double factor) {
  advance(now);
  slow_ = factor;
}

void Server::pause(Time now, bool on) {
  advance(now);
  paused_ = on;
}

bool Server::overdriven(Time now, double work, bool informed, double multiple, double window, double& share) {
  if (!cold())
    return false;
  arrived_.push_back({now, work, informed});
  while (now - arrived_.front().at > seconds(window))
    arrived_.pop_front();
  double all = 0, known = 0, largest = 0;
  for (const Arrived& a : arrived_) {
    all += a.work;
    largest = std::max(largest, a.work);
    if (a.informed)
      known += a.work;
  }
  share = all > 0 ? known / all : 0;
  const double able = figures_.cores * figures_.speed * warmth_;
  return all - largest > multiple * able * window + 3 * meanWork_;
}

}  // namespace hollyrun::lab
