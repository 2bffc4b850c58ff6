/// Name conflicts: another process claims to be the member of our name. A claim may be a former process's,
/// still remembered by others; one that rises above our answers again and again is alive, and of two living
/// processes the one with the smaller epoch concedes the name.
#pragma once

#include <cstdint>

#include "membership/fingerprint.hpp"
#include "membership/message.hpp"
#include "membership/time.hpp"

namespace hollyrun::membership {

class NameConflict {
 public:
  enum class Finding {
    possible,     ///< may be a former process of our name
    established,  ///< has just been shown to be alive
    known,        ///< was shown to be alive before
  };
  /// A present process of another epoch claims our name, at least at our incarnation.
  Finding onClaim(const MemberRecord& claim, Time now);
  /// We refuted its claim with this incarnation of our own.
  void onRefuted(std::uint64_t incarnation) { answeredIncarnation_ = incarnation; }
  /// A datagram of a process of our name.
  void onHeard(const MemberRecord& sender, Time now);

  /// The name is the other process's; this one goes on serving and is no member.
  void concede() { conceded_ = true; }
  /// The other process is gone and the name is free.
  void resolve();

  bool conceded() const { return conceded_; }
  std::uint64_t epoch() const { return epoch_; }
  const Address& address() const { return address_; }
  /// Whether the other process was heard of lately, so that it still holds its part of the quota.
  bool isServing(Time now, Duration probeInterval) const;

  void addTo(Fingerprint& fingerprint) const;

 private:
  bool conceded_ = false;
  // Of the other process:
  std::uint64_t epoch_ = 0;
  Address address_;
  Time lastHeard_{};
  unsigned claims_ = 0;                    // above our answers
  std::uint64_t answeredIncarnation_ = 0;  // our answer to its last claim
};

}  // namespace hollyrun::membership
