/// Suspicion (SWIM, Lifeguard): a member that did not answer a probe is declared dead only after a timeout in
/// which it can refute the suspicion. Confirmations by further members shorten the timeout.
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

/// Returns how long a member stays suspect before it is declared dead; `presentCount` includes this member.
Duration suspicionTimeout(Duration probeInterval, std::size_t presentCount, std::size_t confirmations);

class SuspicionTracker {
 public:
  /// Parameters that all deadlines depend on.
  struct Timing {
    Duration probeInterval{};
    std::size_t presentCount = 0;  ///< includes this member
    LocalHealth health;            ///< health of this member, which tracks the suspicions
  };

  bool isSuspect(const std::string& name) const { return suspicions_.count(name) > 0; }
  /// Starts or restarts a suspicion.
  void start(const std::string& name, const std::string& reportedBy, Time now);
  void cancel(const std::string& name) { suspicions_.erase(name); }
  /// Records a confirmation. Returns whether it counts: it comes from a further member, and the number of
  /// confirmations that shorten the timeout is not reached yet.
  bool confirm(const std::string& name, const std::string& reportedBy);
  /// Extends all deadlines after this process was stalled and could not receive refutations.
  void postpone(Duration delay);

  /// Returns the members whose timeout has passed.
  std::vector<std::string> expired(Time now, const Timing& timing) const;
  /// Returns the earliest deadline; Time::max() if no member is suspect.
  Time nextDeadline(const Timing& timing) const;

  void addTo(Fingerprint& fingerprint, Time now) const;

 private:
  struct Suspicion {
    Time startedAt{};
    std::set<std::string> confirmations;  // names of the members that reported it
  };
  static Time deadline(const Suspicion& suspicion, const Timing& timing);

  std::map<std::string, Suspicion> suspicions_;  // keyed by the suspect's name
};

}  // namespace hollyrun::membership
