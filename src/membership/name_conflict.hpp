/// Name conflicts: another process claims this member's name. A claim may stem from a former process that
/// other members still remember. If its incarnation repeatedly reaches that of this member's refutations, the
/// other process is alive. Of two living processes, the one with the smaller epoch concedes the name.
#pragma once

#include <cstdint>

#include "membership/fingerprint.hpp"
#include "membership/message.hpp"
#include "membership/time.hpp"

namespace hollyrun::membership {

class NameConflict {
 public:
  enum class Finding {
    possible,     ///< the claim may stem from a former process
    established,  ///< this claim proves that the other process is alive
    known,        ///< an earlier claim proved it
  };
  /// Called when a present process of another epoch claims the name with at least our incarnation.
  Finding onClaim(const MemberRecord& claim, Time now);
  /// Called when this member refuted the claim by raising its own incarnation to `incarnation`.
  void onRefuted(std::uint64_t incarnation) { answeredIncarnation_ = incarnation; }
  /// Called for each datagram from another process of the same name.
  void onHeard(const MemberRecord& sender, Time now);

  /// Leaves the name to the other process. This process keeps serving but is no longer a member.
  void concede() { conceded_ = true; }
  /// Called when the other process has ended and the name is free again.
  void resolve();

  bool conceded() const { return conceded_; }
  std::uint64_t epoch() const { return epoch_; }
  const Address& address() const { return address_; }
  /// Whether the other process was heard from recently, so that it still counts as a quota holder.
  bool isServing(Time now, Duration probeInterval) const;

  void addTo(Fingerprint& fingerprint) const;

 private:
  bool conceded_ = false;
  // The other process:
  std::uint64_t epoch_ = 0;
  Address address_;
  Time lastHeard_{};
  unsigned claims_ = 0;                    // claims that were not below our answers
  std::uint64_t answeredIncarnation_ = 0;  // our incarnation in the answer to its last claim
};

}  // namespace hollyrun::membership
