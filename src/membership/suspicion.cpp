#include "membership/suspicion.hpp"

#include <algorithm>
#include <cmath>

namespace hollyrun::membership {
namespace {

// Published values: the timeout is at least 4 log10 n probe intervals and at most six times as long. Three
// confirmations shorten it from the maximum to the minimum.
constexpr double kSuspicionMultiplier = 4, kMaxTimeoutMultiplier = 6;
constexpr std::size_t kExpectedConfirmations = 3;

}  // namespace

Duration suspicionTimeout(Duration probeInterval, std::size_t presentCount, std::size_t confirmations) {
  const double minimum = kSuspicionMultiplier * std::max(1.0, std::log10(static_cast<double>(presentCount)));
  const std::size_t expected = std::min(kExpectedConfirmations, presentCount > 2 ? presentCount - 2 : 0);
  double intervals = minimum;
  if (expected > 0) {
    const double fraction = std::log(static_cast<double>(std::max<std::size_t>(confirmations, 1))) /
                            std::log(static_cast<double>(expected) + 1);
    intervals =
        std::max(minimum, minimum * kMaxTimeoutMultiplier - fraction * minimum * (kMaxTimeoutMultiplier - 1));
  }
  return Duration(static_cast<Duration::rep>(intervals * static_cast<double>(probeInterval.count())));
}

void SuspicionTracker::start(const std::string& name, const std::string& reportedBy, Time now) {
  suspicions_[name] = {now, {reportedBy}};
}

bool SuspicionTracker::confirm(const std::string& name, const std::string& reportedBy) {
  const auto found = suspicions_.find(name);
  if (found == suspicions_.end() || found->second.confirmations.size() > kExpectedConfirmations)
    return false;
  return found->second.confirmations.insert(reportedBy).second;
}

void SuspicionTracker::postpone(Duration delay) {
  for (auto& [name, suspicion] : suspicions_)
    suspicion.startedAt += delay;
}

std::vector<std::string> SuspicionTracker::expired(Time now, const Timing& timing) const {
  std::vector<std::string> names;
  for (const auto& [name, suspicion] : suspicions_)
    if (now >= deadline(suspicion, timing))
      names.push_back(name);
  return names;
}

Time SuspicionTracker::nextDeadline(const Timing& timing) const {
  Time next = Time::max();
  for (const auto& [name, suspicion] : suspicions_)
    next = std::min(next, deadline(suspicion, timing));
  return next;
}

void SuspicionTracker::addTo(Fingerprint& fingerprint, Time now) const {
  for (const auto& [name, suspicion] : suspicions_) {
    fingerprint.add(name);
    fingerprint.add((suspicion.startedAt - now).count());
    for (const std::string& reportedBy : suspicion.confirmations)
      fingerprint.add(reportedBy);
  }
  fingerprint.endPart();
}

Time SuspicionTracker::deadline(const Suspicion& suspicion, const Timing& timing) {
  return suspicion.startedAt +
         timing.health.scaled(
             suspicionTimeout(timing.probeInterval, timing.presentCount, suspicion.confirmations.size()));
}

}  // namespace hollyrun::membership
