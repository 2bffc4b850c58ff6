/// Dissemination: updates that are piggybacked on probes and acks until each was transmitted often enough for
/// all members to have it.
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
  /// To whom updates are sent.
  struct Receiver {
    /// Its view digest is ours, so it has all updates but suspicions, which no digest covers.
    bool hasSameView = false;
    std::vector<std::string> excluded;  ///< names that the datagram covers otherwise
  };

  /// Transmissions of one update in a fleet of so many present members, ourselves included.
  static unsigned retransmitLimit(std::size_t presentCount);

  /// The record of that name changed; its transmissions are counted from 0.
  void add(const std::string& name);
  void remove(const std::string& name) { updates_.erase(name); }
  void removeAllExcept(const std::string& name);
  void clear() { updates_.clear(); }

  /// Names to send, the least transmitted first, then the latest; updates that the receiver has by its view
  /// count as transmitted to it. Valid until the queue changes.
  std::vector<const std::string*> select(const Receiver& receiver, const SuspicionTracker& suspicions,
                                         unsigned limit);
  /// Counts a transmission of that name and drops the update at the limit.
  void onTransmitted(const std::string& name, unsigned limit);

  void addTo(Fingerprint& fingerprint) const;

 private:
  struct GossipUpdate {
    unsigned transmissions = 0;
    std::uint64_t order = 0;  // rises with each update
  };
  std::map<std::string, GossipUpdate> updates_;  // by the name of the member that changed
  std::uint64_t lastOrder_ = 0;
};

}  // namespace hollyrun::membership
