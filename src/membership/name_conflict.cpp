#include "membership/name_conflict.hpp"

namespace hollyrun::membership {
namespace {

// A single claim above our incarnation may stem from a former process. A claimant that reaches the
// incarnation of our answer twice is alive.
constexpr unsigned kClaimsToEstablish = 3;
// Probe intervals without a datagram after which the other process no longer counts as serving.
constexpr int kServingTimeoutIntervals = 60;

}  // namespace

NameConflict::Finding NameConflict::onClaim(const MemberRecord& claim, Time now) {
  if (claim.epoch != epoch_) {
    claims_ = 0;
    answeredIncarnation_ = 0;
  }
  epoch_ = claim.epoch;
  if (claim.state != MemberState::suspect)  // a suspicion has no address
    address_ = claim.address;
  if (claim.incarnation >= answeredIncarnation_)
    ++claims_;
  if (claims_ < kClaimsToEstablish)
    return Finding::possible;
  lastHeard_ = now;
  return claims_ == kClaimsToEstablish ? Finding::established : Finding::known;
}

void NameConflict::onHeard(const MemberRecord& sender, Time now) {
  const bool concededToUs = sender.incarnation == 0;
  if (concededToUs || sender.epoch == epoch_)
    lastHeard_ = now;
}

void NameConflict::resolve() {
  conceded_ = false;
  claims_ = 0;
}

bool NameConflict::isServing(Time now, Duration probeInterval) const {
  return lastHeard_ > Time{} && now - lastHeard_ < probeInterval * kServingTimeoutIntervals;
}

void NameConflict::addTo(Fingerprint& fingerprint) const {
  fingerprint.add(conceded_, claims_, answeredIncarnation_);
}

}  // namespace hollyrun::membership
