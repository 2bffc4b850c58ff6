/// Suspicion (SWIM, Lifeguard): a member that did not answer is declared dead only after a time in which it
/// can refute; confirmations by further members shorten that time.
#pragma once

#include <cstddef>
#include <map>
#include <set>
#include <string>
#include <vector>

#include "membership/fingerprint.hpp"
#include "membership/local_health.hpp"
#include "membership/time.hpp"

namespace hollyrun::membership {

/// How long a member stays suspect before it is declared dead; `presentCount` includes ourselves.
Duration suspicionTimeout(Duration probeInterval, std::size_t presentCount, std::size_t confirmations);

class SuspicionTracker {
 public:
  /// What all deadlines depend on.
  struct Timing {
    Duration probeInterval{};
    std::size_t presentCount = 0;  ///< ourselves included
    LocalHealth health;            ///< of the member that holds the suspicion
  };

  bool isSuspect(const std::string& name) const { return suspicions_.count(name) > 0; }
  /// Begins a suspicion, or begins it anew.
  void start(const std::string& name, const std::string& reportedBy, Time now);
  void cancel(const std::string& name) { suspicions_.erase(name); }
  /// Whether this is a further confirmation: by another member, and not more than shorten the timeout.
  bool confirm(const std::string& name, const std::string& reportedBy);
  /// Gives all suspects more time, after this process was held up and could not hear them.
  void postpone(Duration delay);

  std::vector<std::string> expired(Time now, const Timing& timing) const;
  /// Time::max() where nobody is suspect.
  Time nextDeadline(const Timing& timing) const;

  void addTo(Fingerprint& fingerprint, Time now) const;

 private:
  struct Suspicion {
    Time startedAt{};
    std::set<std::string> confirmations;  // names of the members that reported it
  };
  static Time deadline(const Suspicion& suspicion, const Timing& timing);

  std::map<std::string, Suspicion> suspicions_;  // by the suspect's name
};

}  // namespace hollyrun::membership
