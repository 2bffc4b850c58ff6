/// The failure detector's probe schedule and the state of the current probe. One member is probed in each
/// interval, in the order of a shuffled round, so that each of n members is probed once in n intervals.
#pragma once

#include <cstddef>
#include <cstdint>
#include <string>
#include <vector>

#include "membership/fingerprint.hpp"
#include "membership/member_table.hpp"
#include "membership/random_source.hpp"
#include "membership/time.hpp"

namespace hollyrun::membership {

class FailureDetector {
 public:
  /// Returns the next present member of the round, and starts a new round if none is left. Returns null if no
  /// other member is present.
  const Member* nextTarget(const MemberTable& table, RandomSource& random);
  /// Inserts a new member at a random position of the current round.
  void addTarget(const std::string& name, RandomSource& random);

  /// Called when a direct ping was sent. If it is not acknowledged, indirect pings follow at `indirectAt`.
  void startProbe(std::uint64_t nonce, Time indirectAt);
  void endProbe() { nonce_ = 0; }
  /// Discards the current probe and round, after this process was stalled.
  void reset();

  bool isProbing() const { return nonce_ != 0; }
  std::uint64_t nonce() const { return nonce_; }
  /// Whether a direct ping is unanswered and no proxy was sent an indirect ping yet.
  bool awaitsDirectAck() const { return nonce_ != 0 && expectedNacks_ == 0; }
  Time indirectAt() const { return indirectAt_; }

  /// Draws up to `count` members other than `target` that are not suspect, to send it indirect pings.
  std::vector<Address> selectProxies(const MemberTable& table, const std::string& target, unsigned count,
                                     RandomSource& random) const;
  /// Called after `proxies` members were sent indirect pings. If there were none, the next attempt is made at
  /// `nextInterval`.
  void onIndirectPingsSent(unsigned proxies, Time nextInterval);
  void onNack() { ++receivedNacks_; }
  /// Whether some proxy sent no nack either, or there was no proxy: the fault may be this member's own.
  bool isMissingNacks() const { return expectedNacks_ == 0 || receivedNacks_ < expectedNacks_; }

  void addTo(Fingerprint& fingerprint, Time now) const;

 private:
  void startRound(const MemberTable& table, RandomSource& random);

  std::vector<std::string> round_;  // members still to be probed in this round; the next one is at the back
  std::uint64_t nonce_ = 0;         // nonce of the current probe; 0 if there is none or it was answered
  Time indirectAt_{};
  unsigned expectedNacks_ = 0, receivedNacks_ = 0;
};

}  // namespace hollyrun::membership
