#include "membership/name_conflict.hpp"

namespace hollyrun::membership {
namespace {

// One claim above our own incarnation may be a former process's; one that rises above our answer twice is
// alive.
constexpr unsigned kEstablishingClaims = 3;
constexpr int kServingIntervals = 60;

}  // namespace

NameConflict::Finding NameConflict::onClaim(const MemberRecord& claim, Time now) {
  if (claim.epoch != epoch_) {
    claims_ = 0;
    answeredIncarnation_ = 0;
  }
  epoch_ = claim.epoch;
  if (claim.state != MemberState::suspect)  // a suspicion carries no address
    address_ = claim.address;
  if (claim.incarnation >= answeredIncarnation_)
    ++claims_;
  if (claims_ < kEstablishingClaims)
    return Finding::possible;
  lastHeard_ = now;
  return claims_ == kEstablishingClaims ? Finding::established : Finding::known;
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
  return lastHeard_ > Time{} && now - lastHeard_ < probeInterval * kServingIntervals;
}

void NameConflict::addTo(Fingerprint& fingerprint) const {
  fingerprint.add(conceded_, claims_, answeredIncarnation_);
}

}  // namespace hollyrun::membership
