/// The failure detector's probe schedule: one member an interval, in a shuffled round, so that each is probed
/// once in as many intervals as there are members; and the state of the probe under way.
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
  /// The next present member of the round, which is drawn anew where it is over; null: nobody is present.
  const Member* nextTarget(const MemberTable& table, RandomSource& random);
  /// Puts a new member at a random place of the running round.
  void addTarget(const std::string& name, RandomSource& random);

  /// A direct ping was sent; indirect ones follow at `indirectAt` unless it is answered.
  void startProbe(std::uint64_t nonce, Time indirectAt);
  void endProbe() { nonce_ = 0; }
  /// Drops the probe and the round, after this process was held up.
  void reset();

  bool isProbing() const { return nonce_ != 0; }
  std::uint64_t nonce() const { return nonce_; }
  /// Whether only the direct ping was sent so far.
  bool awaitsDirectAck() const { return nonce_ != 0 && expectedNacks_ == 0; }
  Time indirectAt() const { return indirectAt_; }

  /// Up to `count` other members, drawn among those that are not suspect, to probe `target` for us.
  std::vector<Address> selectProxies(const MemberTable& table, const std::string& target, unsigned count,
                                     RandomSource& random) const;
  /// `proxies` members were asked; with none, the next attempt waits for `nextInterval`.
  void onIndirectPingsSent(unsigned proxies, Time nextInterval);
  void onNack() { ++receivedNacks_; }
  /// Whether proxies were silent too, or there was none: the fault may be our own.
  bool lacksNacks() const { return expectedNacks_ == 0 || receivedNacks_ < expectedNacks_; }

  void addTo(Fingerprint& fingerprint, Time now) const;

 private:
  void startRound(const MemberTable& table, RandomSource& random);

  std::vector<std::string> round_;  // still to be probed, the next last
  std::uint64_t nonce_ = 0;         // of this interval's probe; 0: none, or answered
  Time indirectAt_{};
  unsigned expectedNacks_ = 0, receivedNacks_ = 0;
};

}  // namespace hollyrun::membership
