#include "membership/membership.hpp"

#include <algorithm>
#include <cmath>
#include <tuple>
#include <utility>

#define XXH_INLINE_ALL
#include <xxhash.h>

namespace hollyrun::membership {
namespace {

// --- Constants, each with its reason ------------------------------------------------------------------

// Of a period: an answer over the network takes far less, and two thirds are left for those asked to help.
constexpr int kTimeoutTenths = 3;
constexpr unsigned kHealthMost = 8;  // as in the published local health: probes nine times slower at the most
// Suspicion: least and most as published (4 log10 n periods, six times that), shortened by three witnesses.
constexpr double kSuspicionLeast = 4, kSuspicionMost = 6;
constexpr std::size_t kMaxConfirmations = 3;
constexpr unsigned kRetransmitFactor =
    3;  // a piece of news goes out 3 log2 n times: all hear it but with odds of 1/n^2
constexpr int kStallPeriods = 3;         // so late, we know nothing of who answered meanwhile
constexpr std::size_t kCandidates = 24;  // news weighed for a datagram; some ten fit
constexpr std::size_t kVerifiesMost = 64,
                      kQuestionsMost = 256;  // a period, and in all: a flood costs no more
constexpr std::size_t kNewsMost = 64;        // read of one datagram; one of proper size holds fewer
constexpr std::size_t kFarewells = 16;       // told directly that we leave; they spread it
constexpr std::size_t kSeedsAtOnce = 8;
constexpr std::size_t kDiffersMost = 8;  // names shown to operators
constexpr std::uint64_t kReachPeriods = 4,
                        kYieldedPeriods = 5;  // to seeds, the dead; to learn of our rival's end
// A claim so far above what is known of a member is no accident of order.
constexpr std::uint64_t kMaxIncarnationJump = 100'000;
// One claim above our own may be an older life's. One that rises above our answer twice lives.
constexpr unsigned kRivalTimes = 3;
constexpr int kRivalPeriods = 60;  // a rival not heard of for so long has gone

bool samePlace(const MemberRecord& a, const MemberRecord& b) {
  const auto all = [](const MemberRecord& r) {
    return std::tie(r.address, r.zone, r.region, r.version, r.settingsDigest);
  };
  return all(a) == all(b);
}

}  // namespace

const char* nameOf(EventType type) {
  static const char* const names[] = {"joined", "suspected", "cleared", "died",
                                      "left",   "changed",   "rival",   "stalled"};
  return names[static_cast<int>(type)];
}

Membership::Membership(MembershipSettings settings, MemberRecord self, std::uint64_t seed, Time now)
    : settings_(std::move(settings)), self_(std::move(self)), random_(seed, 0x6d656d62), now_(now) {
  self_.epoch = draw();
  self_.incarnation = 1;
  self_.state = MemberState::joining;
  periodAt_ = now;  // the seeds are asked at once
  pulledAt_ = now - settings_.probeInterval;
  setWake();
}

// --- Time ---------------------------------------------------------------------------------------------

Duration Membership::timeout() const {
  return settings_.probeInterval * kTimeoutTenths / 10;
}

Duration Membership::suspicion(Duration period, std::size_t present, std::size_t confirmations) {
  const double least = kSuspicionLeast * std::max(1.0, std::log10(static_cast<double>(present)));
  const std::size_t wanted = std::min(kMaxConfirmations, present > 2 ? present - 2 : 0);
  double periods = least;
  if (wanted > 0) {
    const double part = std::log(static_cast<double>(std::max<std::size_t>(confirmations, 1))) /
                        std::log(static_cast<double>(wanted) + 1);
    periods = std::max(least, least * kSuspicionMost - part * least * (kSuspicionMost - 1));
  }
  return Duration(static_cast<Duration::rep>(periods * static_cast<double>(period.count())));
}

// True if we were held up so long that nothing may be concluded from silence meanwhile.
bool Membership::advance(Time now) {
  now_ = std::max(now_, now);
  const Duration late = now_ - wakeAt_;
  if (late <= scaled(settings_.probeInterval) * kStallPeriods)
    return false;
  ++counters_.stalls;
  questions_.clear();
  probe_ = 0;
  round_.clear();
  for (const std::string& name : suspects_)
    others_.at(name).suspectSince += late;
  // Danger: what was to be told is as old as the stall; told now, it would accuse those that were cleared
  // since.
  std::erase_if(news_, [&](const auto& n) { return n.first != self_.name; });
  pulledAt_ = now_ - settings_.probeInterval;
  periodAt_ = now_;
  unwell();
  raise(EventType::stalled, self_);
  return true;
}

void Membership::setWake() {
  wakeAt_ = periodAt_;
  if (probe_ != 0 && nacksWanted_ == 0)
    wakeAt_ = std::min(wakeAt_, lateAt_);
  for (const auto& [nonce, q] : questions_)
    if (!q.probe)
      wakeAt_ = std::min(wakeAt_, q.until);
  for (const std::string& name : suspects_)
    wakeAt_ = std::min(wakeAt_, suspectUntil(others_.at(name)));
  // Danger: a suspicion that a further witness shortens may be over already; that makes nobody late.
  wakeAt_ = std::max(wakeAt_, now_);
}

void Membership::onWake(Time now) {
  if (left_)
    return;
  if (!advance(now) && now_ < wakeAt_)
    return;
  tick();
  setWake();
}

void Membership::tick() {
  if (probe_ != 0 && nacksWanted_ == 0 && now_ >= lateAt_)
    probeLate();
  for (auto it = questions_.begin(); it != questions_.end();) {
    const Question q = it->second;
    if (q.probe || now_ < q.until) {
      ++it;
      continue;
    }
    it = questions_.erase(it);
    if (q.askerNonce != 0)
      send(q.asker, MessageType::nack, q.askerNonce);
  }
  expireSuspicions();
  if (now_ < periodAt_)
    return;
  probeOver();
  ++periods_;
  verifies_ = 0;
  forgetGone();
  periodAt_ = now_ + scaled(settings_.probeInterval);
  if (conceded_) {
    if (periods_ % kYieldedPeriods == 0)
      reachOut();
    return;
  }
  probeNext();
  reachOut();
}

// --- Probes -------------------------------------------------------------------------------------------

std::uint64_t Membership::ask(const std::string& target, const Address& at, Duration wait, bool probe) {
  std::uint64_t nonce = 0;
  while (nonce == 0 || questions_.count(nonce))
    nonce = draw();
  Question q;
  q.target = target;
  q.at = at;
  q.until = now_ + wait;
  q.probe = probe;
  questions_.emplace(nonce, std::move(q));
  return nonce;
}

void Membership::probeNext() {
  nacksWanted_ = nacks_ = 0;
  for (bool refilled = false;;) {
    if (round_.empty()) {
      if (refilled)
        return;
      refilled = true;
      for (const auto& [name, m] : others_)
        if (membership::isPresent(m.record.state))
          round_.push_back(name);
      for (std::size_t i = round_.size(); i > 1; --i)
        std::swap(round_[i - 1], round_[drawBelow(i)]);
      if (round_.empty())
        return;
    }
    const std::string name = std::move(round_.back());
    round_.pop_back();
    const auto it = others_.find(name);
    if (it == others_.end() || !membership::isPresent(it->second.record.state))
      continue;
    probe_ = ask(name, it->second.record.address, scaled(settings_.probeInterval), true);
    lateAt_ = now_ + scaled(timeout());
    // One that we suspect is told so first, so that it can refute.
    send(it->second.record.address, MessageType::ping, probe_, name);
    return;
  }
}

void Membership::probeLate() {
  const std::string target = questions_.at(probe_).target;
  std::vector<const Member*> able;
  for (const auto& [name, m] : others_)
    if (name != target && (m.record.state == MemberState::alive || m.record.state == MemberState::joining))
      able.push_back(&m);
  for (unsigned i = 0; i < settings_.indirectProbes && !able.empty(); ++i) {
    const std::size_t at = drawBelow(able.size());
    Message m = frame(MessageType::indirectPing, probe_);
    m.target = target;
    m.targetAddress = questions_.at(probe_).at;
    send(able[at]->record.address, std::move(m), true, target);
    able.erase(able.begin() + static_cast<std::ptrdiff_t>(at));
    ++nacksWanted_;
  }
  if (nacksWanted_ == 0)
    lateAt_ = periodAt_;  // nobody to ask
}

void Membership::probeOver() {
  const auto it = questions_.find(probe_);
  if (probe_ == 0 || it == questions_.end())
    return;
  const std::string target = it->second.target;
  questions_.erase(it);
  probe_ = 0;
  // Danger: where we wake late ourselves, the answer may lie unread in our socket.
  if (now_ - periodAt_ > timeout())
    return unwell();
  // Helpers that say nothing either, or none to ask: the fault may be ours.
  if (nacksWanted_ == 0 || nacks_ < nacksWanted_)
    unwell();
  accuse(target, MemberState::suspect);
}

void Membership::well() {
  if (healthScore_ > 0)
    --healthScore_;
}
void Membership::unwell() {
  healthScore_ = std::min(healthScore_ + 1, kHealthMost);
}

// Seeds while they are missing, and the dead now and then, so that two halves find each other again.
void Membership::reachOut() {
  std::vector<Address> missing;
  for (const Address& seed : settings_.seeds)
    if (seed != self_.address && !presentAt_.count(seed))
      missing.push_back(seed);
  const auto ping = [this](const Address& at) {
    send(at, MessageType::ping, ask({}, at, settings_.probeInterval, false));
  };
  if (conceded_) {  // our rival, which then knows that we serve; and another, which knows whether it is there
    ping(rivalAt_);
    std::vector<Address> here;
    for (const auto& [address, members] : presentAt_)
      if (address != self_.address)
        here.push_back(address);
    if (!here.empty())
      ping(here[drawBelow(here.size())]);
    return;
  }
  if (periods_ == 1) {
    for (std::size_t i = 0; i < std::min(kSeedsAtOnce, missing.size()); ++i)
      ping(missing[(drawBelow(missing.size()) + i) % missing.size()]);
    return;
  }
  const bool alone = present_ == 0;
  if (!missing.empty() && (alone || periods_ % kReachPeriods == 0))
    ping(missing[seedAt_++ % missing.size()]);
  if (periods_ % kReachPeriods != kReachPeriods / 2)
    return;
  if (others_.size() == present_)
    return;
  std::vector<const Member*> dead;
  for (const auto& [name, m] : others_)
    if (m.record.state == MemberState::dead)
      dead.push_back(&m);
  if (dead.empty())
    return;
  const Member& m = *dead[goneAt_++ % dead.size()];
  // It learns first of all that it is held dead, and answers with a higher incarnation.
  send(m.record.address, MessageType::ping,
       ask(m.record.name, m.record.address, settings_.probeInterval, false), m.record.name);
}

// --- Views --------------------------------------------------------------------------------------------

std::size_t Membership::bucketOf(const std::string& name) {
  return XXH3_64bits(name.data(), name.size()) % kBucketCount;
}

std::uint64_t Membership::digestOf(const MemberRecord& r) {
  const std::uint64_t life[2] = {r.epoch, r.incarnation};
  return XXH3_64bits_withSeed(r.name.data(), r.name.size(), XXH3_64bits(life, sizeof life));
}

std::array<std::uint64_t, kBucketCount> Membership::buckets() const {
  std::array<std::uint64_t, kBucketCount> all = buckets_;
  all[bucketOf(self_.name)] += digestOf(self_);
  return all;
}

std::uint64_t Membership::digest() const {
  std::uint64_t sum = digestOf(self_);
  for (const std::uint64_t b : buckets_)
    sum += b;
  return sum;
}

std::size_t Membership::presentCount() const {
  return present_ + 1;
}

std::map<std::string, std::size_t> Membership::presentByZone() const {
  std::map<std::string, std::size_t> all{{self_.zone, 1}};
  for (const auto& [name, m] : others_)
    if (membership::isPresent(m.record.state))
      ++all[m.record.zone];
  return all;
}

std::size_t Membership::quotaHolders() const {
  std::size_t all = 1;
  for (const auto& [name, m] : others_)
    all += m.record.state != MemberState::left;
  const bool rival = rivalHeard_ > Time{} && now_ - rivalHeard_ < settings_.probeInterval * kRivalPeriods;
  return all + (rival ? 1 : 0);
}

std::vector<std::string> Membership::disagreeing() const {
  std::vector<std::string> names;
  const std::uint64_t own = digest();
  for (const auto& [name, m] : others_)
    if (membership::isPresent(m.record.state) && m.heard > Time{} && m.digest != own)
      names.push_back(name);
  return names;
}

void Membership::compareViews(const std::string& name, const Address& at, std::uint64_t theirs) {
  if (theirs == digest() || now_ - pulledAt_ < settings_.probeInterval)
    return;
  pullFrom(name, at, {});
}

void Membership::pullFrom(const std::string& name, const Address& to, std::string cursor) {
  if (questions_.size() >= kQuestionsMost)
    return;
  pulledAt_ = now_;
  Message m = frame(MessageType::pull, ask(name, to, settings_.probeInterval, false));
  questions_.at(m.nonce).pull = true;
  m.cursor = std::move(cursor);
  const auto own = buckets();
  m.buckets.assign(own.begin(), own.end());
  send(to, std::move(m), false, {});
}

void Membership::answerPull(const Address& to, const Message& pull) {
  const auto own = buckets();
  Message m = frame(MessageType::view, pull.nonce);
  bool more = false;
  for (auto it = others_.upper_bound(pull.cursor); it != others_.end(); ++it) {
    const std::size_t bucket = bucketOf(it->first);
    if (own[bucket] == pull.buckets[bucket])
      continue;
    more = m.updates.size() == kCandidates;
    if (more)
      break;
    m.updates.push_back(it->second.record);
  }
  // Where the rest begins is known once it is seen what fits, with the longest cursor.
  std::size_t took = 0;
  m.cursor = std::string(kMaxTextBytes, '~');
  encode(m, settings_.fleet, took);
  more = more || took < m.updates.size();
  m.updates.resize(took);
  m.cursor = more && took > 0 ? m.updates.back().name : std::string();
  send(to, std::move(m), false, {});
}

// --- What is heard ------------------------------------------------------------------------------------

void Membership::onDatagram(Time now, const Address& from, std::string_view bytes) {
  ++counters_.received;
  counters_.bytesIn += bytes.size();
  if (left_)
    return;
  DecodeError why{};
  const std::optional<Message> m = decode(bytes, settings_.fleet, why);
  if (!m) {
    ++counters_.decodeErrors[static_cast<std::size_t>(why)];
    return;
  }
  advance(now);
  // Our own words, sent back to us.
  if (m->sender.name == self_.name && m->sender.epoch == self_.epoch) {
    ++counters_.stale;
    return;
  }
  switch (m->type) {
    case MessageType::ping:
      heard(*m, from, false);
      // Danger: what a former life of that name knew, or a rival at its address, this one may not.
      send(from, frame(MessageType::ack, m->nonce), true, m->sender.name, !lives(m->sender));
      break;
    case MessageType::indirectPing: {
      heard(*m, from, false);
      const auto it = others_.find(m->target);
      // Only those that we know are asked: nobody is to point us at an address.
      if (it == others_.end() || questions_.size() >= kQuestionsMost)
        break;
      const std::uint64_t nonce = ask(m->target, it->second.record.address, timeout(), false);
      questions_.at(nonce).asker = from;
      questions_.at(nonce).askerNonce = m->nonce;
      send(it->second.record.address, MessageType::ping, nonce, m->target);
      break;
    }
    case MessageType::ack:
    case MessageType::indirectAck:
    case MessageType::nack:
    case MessageType::view:
      answered(*m, from);
      break;
    case MessageType::leave:
      heard(*m, from, false);
      break;
    case MessageType::pull:
      heard(*m, from, false);
      noteDifference(*m);
      answerPull(from, *m);
      break;
  }
  setWake();
}

// The asker's parts that differ from ours name what we disagree about.
void Membership::noteDifference(const Message& pull) {
  const auto it = others_.find(pull.sender.name);
  if (it == others_.end())
    return;
  std::vector<std::string>& names = it->second.differs;
  names.clear();
  const auto own = buckets();
  const auto look = [&](const std::string& name) {
    const std::size_t bucket = bucketOf(name);
    if (own[bucket] != pull.buckets[bucket] && names.size() < kDiffersMost)
      names.push_back(name);
  };
  look(self_.name);
  for (const auto& [name, m] : others_)
    look(name);
}

void Membership::answered(const Message& m, const Address& from) {
  const auto it = questions_.find(m.nonce);
  const bool known = it != questions_.end();
  // Danger: an address may have gone to another member; its answer says nothing of the one asked.
  const bool self = known && (it->second.target.empty() || it->second.target == m.sender.name);
  const bool proven = known && (self || (it->second.probe && m.type != MessageType::ack));
  const Question q = known ? it->second : Question{};
  heard(m, from, proven);
  if (!known)
    return;
  if (m.type == MessageType::nack) {
    if (q.probe)
      ++nacks_;
    return;
  }
  if (m.type == MessageType::view) {
    if (!q.pull)
      return;
    questions_.erase(m.nonce);
    if (!m.cursor.empty() && self)
      pullFrom(q.target, from, m.cursor);
    return;
  }
  if ((m.type == MessageType::ack && !self) || (m.type == MessageType::indirectAck && !q.probe) || q.pull)
    return;
  questions_.erase(m.nonce);
  if (q.askerNonce != 0)
    send(q.asker, MessageType::indirectAck, q.askerNonce, q.target);
  if (!q.probe)
    return;
  probe_ = 0;
  well();
}

// News is taken from a sender that lives: it answers what we asked, or is a present member of which this is a
// later word than all before. Else it may be a copy, hours old.
void Membership::heard(const Message& m, const Address& from, bool proven) {
  const MemberRecord& who = m.sender;
  if (who.name == self_.name) {
    takeOfSelf(who);
    // One that gave way to us still serves.
    if (who.incarnation == 0 || who.epoch == rivalEpoch_)
      rivalHeard_ = now_;
  }
  auto it = others_.find(who.name);
  const bool later = it != others_.end() && membership::isPresent(it->second.record.state) &&
                     it->second.record.epoch == who.epoch && it->second.record.address == from &&
                     m.sequence > it->second.sequence;
  if (!proven && !later) {
    ++counters_.stale;
    // What it says against ourselves does no harm, however old: we know better, and the others hear it.
    for (const MemberRecord& claim : m.updates)
      if (claim.name == self_.name && claim.epoch == self_.epoch)
        takeOfSelf(claim);
    const bool lives =
        m.type == MessageType::ping || m.type == MessageType::pull || m.type == MessageType::indirectPing;
    if (!lives || who.state == MemberState::left || verifies_ >= kVerifiesMost || who.name == self_.name)
      return;
    ++verifies_;
    send(from, MessageType::ping, ask(who.name, from, settings_.probeInterval, false), who.name);
    return;
  }
  if (self_.state == MemberState::joining && !conceded_) {
    self_.state = MemberState::alive;
    spread(self_.name);
  }
  // Danger: after a cut each side holds the other dead. Taken as it is, that would kill all a second time; a
  // suspicion lets them answer.
  const bool doubt =
      m.type == MessageType::view || (it != others_.end() && !membership::isPresent(it->second.record.state));
  bool known = conceded_ && who.name == self_.name;
  for (std::size_t i = 0; i < std::min(kNewsMost, m.updates.size()); ++i) {
    MemberRecord claim = m.updates[i];
    known = known || claim.name == self_.name;
    if (doubt && claim.state == MemberState::dead)
      claim.state = MemberState::suspect;
    take(claim);
  }
  // Nobody remembers our rival: the name is free.
  if (conceded_ && proven && !known && m.type == MessageType::ack) {
    conceded_ = false;
    rivalTimes_ = 0;
  }
  if (who.name == self_.name)
    return;
  take(who, true);
  it = others_.find(who.name);
  if (it == others_.end() || it->second.record.epoch != who.epoch)
    return;
  it->second.sequence = m.sequence;
  it->second.digest = m.viewDigest;
  it->second.heard = now_;
  if (m.viewDigest == digest())
    it->second.differs.clear();
  if (membership::isPresent(it->second.record.state) && !conceded_)
    compareViews(who.name, from, m.viewDigest);
}

void Membership::take(const MemberRecord& claim, bool ofItself) {
  if (claim.name == self_.name)
    return takeOfSelf(claim);
  auto it = others_.find(claim.name);
  if (it == others_.end()) {
    // Of one that we never knew, an end is no news.
    if (claim.state == MemberState::suspect || !membership::isPresent(claim.state))
      return;
    if (others_.size() >= settings_.maxMembers) {
      auto oldest = others_.end();
      for (auto at = others_.begin(); at != others_.end(); ++at)
        if (!membership::isPresent(at->second.record.state) &&
            (oldest == others_.end() || at->second.since < oldest->second.since))
          oldest = at;
      if (oldest == others_.end()) {
        ++counters_.full;
        return;
      }
      news_.erase(oldest->first);
      others_.erase(oldest);
    }
    Member m;
    m.since = now_;
    it = others_.emplace(claim.name, std::move(m)).first;
    put(it->second, claim);
    spread(claim.name);
    // Probed within a round, at a place drawn as for all others.
    round_.insert(round_.begin() + static_cast<std::ptrdiff_t>(drawBelow(round_.size() + 1)), claim.name);
    return raise(EventType::joined, claim);
  }
  Member& m = it->second;
  const MemberRecord before = m.record;
  if (!ofItself && claim.incarnation > before.incarnation + kMaxIncarnationJump) {
    ++counters_.decodeErrors[static_cast<std::size_t>(DecodeError::invalid)];
    return;
  }
  const bool sameLife = claim.epoch == before.epoch && claim.incarnation == before.incarnation;
  if (claim.state == MemberState::suspect && before.state == MemberState::suspect && sameLife) {
    if (m.confirmations.size() <= kMaxConfirmations && m.confirmations.insert(claim.reportedBy).second) {
      m.record.reportedBy = claim.reportedBy;
      spread(claim.name);
    }
    return;
  }
  if (claim.comparePrecedence(before) <= 0)
    return;
  MemberRecord next = claim;
  if (claim.state == MemberState::suspect || !membership::isPresent(claim.state)) {  // they speak of no place
    next = before;
    next.epoch = claim.epoch;
    next.incarnation = claim.incarnation;
    next.state = claim.state;
    next.reportedBy = claim.reportedBy;
  }
  put(m, next);
  spread(claim.name);
  const bool was = membership::isPresent(before.state), is = membership::isPresent(next.state);
  if (is && (!was || before.epoch != next.epoch))
    raise(EventType::joined, next);
  else if (next.state == MemberState::suspect)
    ++counters_.suspicions, raise(EventType::suspected, next);
  else if (is && before.state == MemberState::suspect)
    raise(EventType::refuted, next);
  else if (is && !samePlace(before, next))
    raise(EventType::changed, next);
  else if (next.state == MemberState::dead && was)
    ++counters_.deaths, raise(EventType::died, next);
  else if (next.state == MemberState::left && before.state != MemberState::left)
    raise(EventType::left, next);
}

void Membership::put(Member& m, const MemberRecord& record) {
  const MemberRecord before = std::exchange(m.record, record);
  const bool was = membership::isPresent(before.state) && !before.name.empty(),
             is = membership::isPresent(record.state);
  const std::size_t bucket = bucketOf(record.name);
  if (was) {
    buckets_[bucket] -= digestOf(before);
    --present_;
    const auto at = presentAt_.find(before.address);
    if (--at->second == 0)
      presentAt_.erase(at);
  }
  if (is) {
    buckets_[bucket] += digestOf(record);
    ++present_;
    ++presentAt_[record.address];
  }
  if (before.state != record.state || before.epoch != record.epoch)
    m.since = now_;
  if (before.epoch != record.epoch)
    m.sequence = 0, m.heard = Time{};
  m.confirmations.clear();
  if (record.state != MemberState::suspect) {
    suspects_.erase(record.name);
    return;
  }
  suspects_.insert(record.name);
  m.confirmations.insert(record.reportedBy);
  m.suspectSince = now_;
}

void Membership::takeOfSelf(const MemberRecord& claim) {
  if (claim.epoch == self_.epoch) {
    if (claim.incarnation < self_.incarnation || claim.state <= self_.state)
      return;
    if (claim.state == MemberState::suspect || claim.state == MemberState::dead)
      unwell();
    return refute(claim.incarnation);
  }
  if (conceded_) {
    // Our rival is gone: the name is ours again.
    if (membership::isPresent(claim.state))
      return;
    conceded_ = false;
    rivalTimes_ = 0;
    return refute(claim.incarnation);
  }
  if (std::tie(claim.incarnation, claim.epoch) < std::tie(self_.incarnation, self_.epoch))
    return;
  if (membership::isPresent(claim.state)) {
    if (claim.epoch != rivalEpoch_)
      rivalTimes_ = 0, rivalOver_ = 0;
    rivalEpoch_ = claim.epoch;
    if (claim.state != MemberState::suspect)
      rivalAt_ = claim.address;
    if (claim.incarnation >= rivalOver_)
      ++rivalTimes_;
    if (rivalTimes_ >= kRivalTimes) {
      rivalHeard_ = now_;
      if (rivalTimes_ == kRivalTimes)
        raise(EventType::nameConflict, claim);
      if (self_.epoch < rivalEpoch_) {  // both know both lives, so just one goes
        conceded_ = true;
        self_.state = MemberState::joining;
        news_.clear();
        questions_.clear();
        probe_ = 0;
        return;
      }
    }
  }
  refute(claim.incarnation);
  rivalOver_ = self_.incarnation;
}

void Membership::refute(std::uint64_t above) {
  self_.incarnation = std::max(self_.incarnation, above) + 1;
  ++counters_.refuted;
  spread(self_.name);
}

void Membership::accuse(const std::string& name, MemberState state) {
  const auto it = others_.find(name);
  if (it == others_.end())
    return;
  MemberRecord claim = it->second.record;
  claim.state = state;
  claim.reportedBy = self_.name;
  take(claim);
}

Time Membership::suspectUntil(const Member& m) const {
  return m.suspectSince + scaled(suspicion(settings_.probeInterval, present_ + 1, m.confirmations.size()));
}

void Membership::expireSuspicions() {
  std::vector<std::string> over;
  for (const std::string& name : suspects_)
    if (now_ >= suspectUntil(others_.at(name)))
      over.push_back(name);
  for (const std::string& name : over)
    accuse(name, MemberState::dead);
}

void Membership::forgetGone() {
  if (others_.size() == present_)
    return;
  std::erase_if(others_, [&](const auto& entry) {
    const Member& m = entry.second;
    if (membership::isPresent(m.record.state) || now_ - m.since <= settings_.tombstoneTimeout)
      return false;
    news_.erase(entry.first);
    return true;
  });
}

// --- What is said -------------------------------------------------------------------------------------

bool Membership::lives(const MemberRecord& who) const {
  const auto it = others_.find(who.name);
  return it != others_.end() && it->second.record.epoch == who.epoch;
}

const MemberRecord* Membership::recordOf(const std::string& name) const {
  if (name == self_.name)
    return &self_;
  const auto it = others_.find(name);
  return it == others_.end() ? nullptr : &it->second.record;
}

unsigned Membership::retransmitLimit() const {
  return kRetransmitFactor * static_cast<unsigned>(std::ceil(std::log2(static_cast<double>(present_ + 2))));
}

void Membership::spread(const std::string& name) {
  news_[name] = {0, ++added_};
}

Message Membership::frame(MessageType type, std::uint64_t nonce) const {
  Message m;
  m.type = type;
  m.nonce = nonce;
  m.viewDigest = digest();
  m.sender = self_;
  if (conceded_)
    m.sender.incarnation = 0;  // above nothing that is known of our name
  return m;
}

void Membership::send(const Address& to, MessageType type, std::uint64_t nonce, const std::string& first) {
  send(to, frame(type, nonce), true, first);
}

void Membership::send(const Address& to, Message m, bool withNews, const std::string& first, bool stranger) {
  m.sequence = ++sequence_;
  const unsigned limit = retransmitLimit();
  if (withNews) {
    // What the receiver has to hear comes first, then what was told least, then the latest.
    const MemberRecord* about = first.empty() ? nullptr : recordOf(first);
    const auto known = others_.find(first);
    // One whose view is ours knows all but suspicions.
    const bool agrees = (m.type == MessageType::ping || m.type == MessageType::ack) &&
                        known != others_.end() && known->second.record.address == to &&
                        known->second.heard > Time{} && known->second.digest == digest() && !stranger;
    if (about && (!agrees || about->state != MemberState::alive))
      m.updates.push_back(*about);
    std::vector<std::pair<std::tuple<unsigned, std::uint64_t>, const std::string*>> told;
    for (auto it = news_.begin(); it != news_.end();) {
      auto& [name, n] = *it;
      const bool knows = agrees && !suspects_.count(name);
      if (knows && ++n.told >= limit) {
        it = news_.erase(it);
        continue;
      }
      ++it;
      if (!knows && name != self_.name && name != first)
        told.push_back({{n.told, ~n.added}, &name});
    }
    const std::size_t most = std::min(kCandidates, told.size());
    std::partial_sort(told.begin(), told.begin() + static_cast<std::ptrdiff_t>(most), told.end());
    for (std::size_t i = 0; i < most; ++i)
      m.updates.push_back(*recordOf(*told[i].second));
  }
  std::size_t took = 0;
  std::string bytes = encode(m, settings_.fleet, took);
  if (withNews)
    for (std::size_t i = 0; i < took; ++i)
      if (const auto it = news_.find(m.updates[i].name); it != news_.end() && ++it->second.told >= limit)
        news_.erase(it);
  ++counters_.sent;
  counters_.bytesOut += bytes.size();
  datagrams_.push_back({to, std::move(bytes)});
}

void Membership::onSettings(Time now, MembershipSettings settings, const MemberRecord& self) {
  if (left_)
    return;
  advance(now);
  settings.fleet = settings_.fleet;
  settings_ = std::move(settings);
  if (samePlace(self, self_))
    return;
  const auto keep = std::tuple(self_.name, self_.epoch, self_.incarnation, self_.state, self_.startedMs);
  self_ = self;
  std::tie(self_.name, self_.epoch, self_.incarnation, self_.state, self_.startedMs) = keep;
  ++self_.incarnation;  // what others hold of us is older now
  spread(self_.name);
}

void Membership::leave(Time now) {
  if (left_)
    return;
  now_ = std::max(now_, now);
  left_ = true;
  if (conceded_)
    return;  // the name is another's
  self_.state = MemberState::left;
  std::vector<Address> there;
  for (const auto& [name, m] : others_)
    if (membership::isPresent(m.record.state))
      there.push_back(m.record.address);
  for (std::size_t i = 0; i < std::min(kFarewells, there.size()); ++i) {
    std::swap(there[i], there[i + drawBelow(there.size() - i)]);
    send(there[i], MessageType::leave, 0);
  }
}

std::string Membership::fingerprint(Time now) const {
  std::string text;
  const auto add = [&text](auto... values) { ((text += std::to_string(values) + ","), ...); };
  add(self_.incarnation, static_cast<int>(self_.state), left_, conceded_, healthScore_,
      (periodAt_ - now).count(), probe_ != 0, nacksWanted_, nacks_, rivalTimes_, rivalOver_);
  if (probe_ != 0 && nacksWanted_ == 0)
    add((lateAt_ - now).count());
  for (const auto& [name, m] : others_) {
    text += name + ":";
    add(m.record.epoch, m.record.incarnation, static_cast<int>(m.record.state));
    if (m.record.state == MemberState::suspect) {
      add((m.suspectSince - now).count());
      for (const std::string& by : m.confirmations)
        text += by + ",";
    }
  }
  for (const auto& [name, n] : news_)
    text += name + "=" + std::to_string(n.told) + ",";
  for (const std::string& name : round_)
    text += name + "|";
  for (const auto& [nonce, q] : questions_) {
    text += q.target + "?";
    add(q.probe, q.pull, q.askerNonce != 0, (q.until - now).count());
  }
  return text;
}

}  // namespace hollyrun::membership
