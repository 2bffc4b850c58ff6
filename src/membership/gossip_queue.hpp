/// Dissemination: updates are piggybacked on probes and acks until each was transmitted often enough to reach
/// all members.
#pragma once

#include <cstddef>
#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "membership/fingerprint.hpp"
#include "membership/suspicion.hpp"

namespace hollyrun::membership {

class GossipQueue {
 public:
  /// Describes the member that updates are sent to.
  struct Receiver {
    /// Its view digest equals this member's, so it lacks no updates except suspicions, which the digest does
    /// not cover.
    bool hasSameView = false;
    std::vector<std::string> excluded;  ///< members whose records the datagram contains already
  };

  /// Returns how often an update is transmitted in a fleet of `presentCount` members, this one included.
  static unsigned retransmitLimit(std::size_t presentCount);

  /// Queues an update for the member `name`, whose record changed; its transmission count restarts at 0.
  void add(const std::string& name);
  void remove(const std::string& name) { updates_.erase(name); }
  void removeAllExcept(const std::string& name);
  void clear() { updates_.clear(); }

  /// Selects the names whose records to send: the least transmitted first, then the latest. Updates that the
  /// receiver has already, as its view is the same, count as transmitted. The result is valid until the queue
  /// changes.
  std::vector<const std::string*> select(const Receiver& receiver, const SuspicionTracker& suspicions,
                                         unsigned limit);
  /// Counts a transmission of the update and removes it once it reaches `limit`.
  void onTransmitted(const std::string& name, unsigned limit);

  void addTo(Fingerprint& fingerprint) const;

 private:
  struct GossipUpdate {
    unsigned transmissions = 0;
    std::uint64_t order = 0;  // increases with each queued update
  };
  std::map<std::string, GossipUpdate> updates_;  // keyed by the name of the changed member
  std::uint64_t lastOrder_ = 0;
};

}  // namespace hollyrun::membership
