#include "membership/membership.hpp"

#include <algorithm>
#include <tuple>
#include <utility>

namespace hollyrun::membership {
namespace {

// Timeout of a direct ping in tenths of a probe interval. An ack over the network takes far less, and more
// than two thirds of the interval remain for indirect probes.
constexpr int kAckTimeoutTenths = 3;
// After a delay of this many probe intervals, this process cannot tell which members answered in the
// meantime.
constexpr int kStallThresholdIntervals = 3;
// The receivers of leave messages spread them further by gossip.
constexpr std::size_t kMaxLeaveMessages = 16;
constexpr std::size_t kMaxSeedsAtStart = 8;
// Probe intervals between contacts with missing seeds, and between contacts with dead members.
constexpr std::uint64_t kContactIntervals = 4;
// Probe intervals between checks whether our name is free again.
constexpr std::uint64_t kConflictCheckIntervals = 5;

}  // namespace

const char* nameOf(EventType type) {
  static const char* const names[] = {"joined", "suspected", "cleared", "died",
                                      "left",   "changed",   "rival",   "stalled"};
  return names[static_cast<int>(type)];
}

Membership::Membership(MembershipSettings settings, MemberRecord self, std::uint64_t seed, Time now)
    : settings_(std::move(settings)),
      self_(std::move(self)),
      random_(seed),
      now_(now),
      nextIntervalAt_(now),  // seeds are contacted immediately
      antiEntropy_(now, settings_.probeInterval) {
  self_.epoch = random_.draw();
  self_.incarnation = 1;
  self_.state = MemberState::joining;
  updateWakeTime();
}

std::size_t Membership::quotaHolders() const {
  const bool conflictServes = nameConflict_.isServing(now_, settings_.probeInterval);
  return 1 + table_.countNotLeft() + (conflictServes ? 1 : 0);
}

void Membership::onSettings(Time now, MembershipSettings settings, const MemberRecord& self) {
  if (hasLeft_)
    return;
  advance(now);
  settings.fleet = settings_.fleet;
  settings_ = std::move(settings);
  if (sameDescription(self, self_))
    return;
  MemberRecord updated = self;
  updated.name = self_.name;
  updated.epoch = self_.epoch;
  updated.state = self_.state;
  updated.startedMs = self_.startedMs;
  updated.incarnation = self_.incarnation + 1;  // supersedes the record that others have of this member
  self_ = std::move(updated);
  gossip_.add(self_.name);
}

void Membership::leave(Time now) {
  if (hasLeft_)
    return;
  now_ = std::max(now_, now);
  hasLeft_ = true;
  if (conceded())
    return;  // the name belongs to the other process
  self_.state = MemberState::left;
  std::vector<Address> present;
  for (const auto& [name, member] : table_.members())
    if (isPresent(member.record.state))
      present.push_back(member.record.address);
  const std::size_t count = std::min(kMaxLeaveMessages, present.size());
  for (std::size_t i = 0; i < count; ++i) {
    std::swap(present[i], present[i + random_.drawBelow(present.size() - i)]);
    sendWithGossip(present[i], MessageType::leave, 0);
  }
}

std::string Membership::fingerprint(Time now) const {
  Fingerprint fingerprint;
  fingerprint.add(self_.incarnation, static_cast<int>(self_.state), hasLeft_, health_.score(),
                  (nextIntervalAt_ - now).count());
  for (const auto& [name, member] : table_.members()) {
    fingerprint.add(name);
    fingerprint.add(member.record.epoch, member.record.incarnation, static_cast<int>(member.record.state));
  }
  fingerprint.endPart();
  suspicions_.addTo(fingerprint, now);
  detector_.addTo(fingerprint, now);
  requests_.addTo(fingerprint, now);
  gossip_.addTo(fingerprint);
  nameConflict_.addTo(fingerprint);
  return std::move(fingerprint).text();
}

// --- Time ---------------------------------------------------------------------------------------------

void Membership::onWake(Time now) {
  if (hasLeft_)
    return;
  const bool stalled = advance(now);
  if (!stalled && now_ < wakeAt_)
    return;
  runTimers();
  updateWakeTime();
}

// Returns true if this process was stalled for so long that missing messages prove nothing.
bool Membership::advance(Time now) {
  now_ = std::max(now_, now);
  const Duration delay = now_ - wakeAt_;
  if (delay <= health_.scaled(settings_.probeInterval) * kStallThresholdIntervals)
    return false;
  recoverFromStall(delay);
  return true;
}

void Membership::recoverFromStall(Duration delay) {
  ++counters_.stalls;
  requests_.clear();
  detector_.reset();
  suspicions_.postpone(delay);
  // Queued updates date from before the stall and may accuse members that have refuted since.
  gossip_.removeAllExcept(self_.name);
  antiEntropy_.allowPull(now_, settings_.probeInterval);
  nextIntervalAt_ = now_;
  health_.degrade();
  emitEvent(EventType::stalled, self_);
}

void Membership::runTimers() {
  if (detector_.awaitsDirectAck() && now_ >= detector_.indirectAt())
    sendIndirectPings();
  sendNacks();
  expireSuspicions();
  if (now_ >= nextIntervalAt_)
    startInterval();
}

void Membership::startInterval() {
  finishProbe();
  ++intervals_;
  verifications_ = 0;
  removeExpiredMembers();
  nextIntervalAt_ = now_ + health_.scaled(settings_.probeInterval);
  if (conceded()) {
    if (intervals_ % kConflictCheckIntervals == 0)
      contactAboutNameConflict();
    return;
  }
  probeNextMember();
  contactMissingMembers();
}

void Membership::updateWakeTime() {
  wakeAt_ =
      std::min({nextIntervalAt_, requests_.nextDeadline(), suspicions_.nextDeadline(suspicionTiming())});
  if (detector_.awaitsDirectAck())
    wakeAt_ = std::min(wakeAt_, detector_.indirectAt());
  // A confirmation may shorten a suspicion's deadline to a time in the past, which must not count as a stall.
  wakeAt_ = std::max(wakeAt_, now_);
}

void Membership::sendNacks() {
  for (const PendingRequest& request : requests_.removeExpired(now_))
    if (request.type == RequestType::relay)
      sendWithGossip(request.requester, MessageType::nack, request.requesterNonce);
}

void Membership::expireSuspicions() {
  for (const std::string& name : suspicions_.expired(now_, suspicionTiming()))
    reportFailure(name, MemberState::dead);
}

void Membership::removeExpiredMembers() {
  for (const std::string& name : table_.removeExpired(now_, settings_.tombstoneTimeout))
    gossip_.remove(name);
}

// --- Failure detection --------------------------------------------------------------------------------

Duration Membership::ackTimeout() const {
  return settings_.probeInterval * kAckTimeoutTenths / 10;
}

SuspicionTracker::Timing Membership::suspicionTiming() const {
  return {settings_.probeInterval, presentCount(), health_};
}

void Membership::probeNextMember() {
  const Member* target = detector_.nextTarget(table_, random_);
  if (!target)
    return;
  const MemberRecord& record = target->record;
  const Duration timeout = health_.scaled(settings_.probeInterval);
  const std::uint64_t nonce = addRequest(RequestType::probe, record.name, record.address, timeout);
  detector_.startProbe(nonce, now_ + health_.scaled(ackTimeout()));
  // The probe carries the suspicion to a suspect member, so that it can refute it.
  sendWithGossip(record.address, MessageType::ping, nonce, record.name);
}

void Membership::sendIndirectPings() {
  const auto probe = requests_.find(detector_.nonce());
  const std::vector<Address> proxies =
      detector_.selectProxies(table_, probe->target, settings_.indirectProbes, random_);
  for (const Address& proxy : proxies) {
    Message message = createMessage(MessageType::indirectPing, detector_.nonce());
    message.target = probe->target;
    message.targetAddress = probe->address;
    sendWithGossip(proxy, std::move(message), probe->target);
  }
  detector_.onIndirectPingsSent(static_cast<unsigned>(proxies.size()), nextIntervalAt_);
}

void Membership::finishProbe() {
  if (!detector_.isProbing())
    return;
  const auto probe = requests_.find(detector_.nonce());
  requests_.remove(detector_.nonce());
  detector_.endProbe();
  // If this process was woken late, the ack may be unread in its socket, so a missing ack proves nothing
  // about the target.
  const bool wokenLate = now_ - nextIntervalAt_ > ackTimeout();
  if (wokenLate)
    return health_.degrade();
  if (detector_.isMissingNacks())
    health_.degrade();
  reportFailure(probe->target, MemberState::suspect);
}

void Membership::reportFailure(const std::string& name, MemberState state) {
  const Member* member = table_.find(name);
  if (!member)
    return;
  MemberRecord claim = member->record;
  claim.state = state;
  claim.reportedBy = self_.name;
  applyUpdate(claim, ClaimSource::gossip);
}

// --- Contact with missing members ---------------------------------------------------------------------

// Contacts missing seeds, and dead members at intervals, so that the sides of a healed partition find each
// other.
void Membership::contactMissingMembers() {
  const std::vector<Address> missing = missingSeeds();
  if (intervals_ == 1)
    return contactAllSeeds(missing);
  const bool isAlone = table_.presentCount() == 0;
  if (!missing.empty() && (isAlone || intervals_ % kContactIntervals == 0))
    pingAddress(missing[nextSeed_++ % missing.size()]);
  if (intervals_ % kContactIntervals == kContactIntervals / 2)
    contactDeadMember();
}

std::vector<Address> Membership::missingSeeds() const {
  std::vector<Address> missing;
  for (const Address& seed : settings_.seeds)
    if (seed != self_.address && !table_.isPresentAt(seed))
      missing.push_back(seed);
  return missing;
}

void Membership::contactAllSeeds(const std::vector<Address>& seeds) {
  const std::size_t count = std::min(kMaxSeedsAtStart, seeds.size());
  for (std::size_t i = 0; i < count; ++i)
    pingAddress(seeds[(random_.drawBelow(seeds.size()) + i) % seeds.size()]);
}

void Membership::contactDeadMember() {
  if (table_.allPresent())
    return;
  std::vector<const MemberRecord*> dead;
  for (const auto& [name, member] : table_.members())
    if (member.record.state == MemberState::dead)
      dead.push_back(&member.record);
  if (dead.empty())
    return;
  const MemberRecord& record = *dead[nextDeadMember_++ % dead.size()];
  const std::uint64_t nonce =
      addRequest(RequestType::contact, record.name, record.address, settings_.probeInterval);
  // The ping's first update is the claim that the member is dead, which it refutes with a higher incarnation.
  sendWithGossip(record.address, MessageType::ping, nonce, record.name);
}

// Pings the process that uses our name, so that it knows that this one still serves, and a random member,
// which knows whether that process is still present.
void Membership::contactAboutNameConflict() {
  pingAddress(nameConflict_.address());
  const std::vector<Address> present = table_.presentAddressesExcept(self_.address);
  if (!present.empty())
    pingAddress(present[random_.drawBelow(present.size())]);
}

void Membership::pingAddress(const Address& address) {
  const std::uint64_t nonce = addRequest(RequestType::contact, {}, address, settings_.probeInterval);
  sendWithGossip(address, MessageType::ping, nonce);
}

// --- Messages sent ------------------------------------------------------------------------------------

std::uint64_t Membership::addRequest(RequestType type, const std::string& target, const Address& address,
                                     Duration timeout) {
  PendingRequest request;
  request.type = type;
  request.target = target;
  request.address = address;
  request.deadline = now_ + timeout;
  return requests_.add(std::move(request), random_);
}

void Membership::pullView(const std::string& name, const Address& to, std::string cursor) {
  if (requests_.full())
    return;
  antiEntropy_.onPull(now_);
  Message pull =
      createMessage(MessageType::pull, addRequest(RequestType::pull, name, to, settings_.probeInterval));
  pull.cursor = std::move(cursor);
  const BucketDigests own = table_.bucketDigests(self_);
  pull.buckets.assign(own.begin(), own.end());
  transmit(to, pull);
}

Message Membership::createMessage(MessageType type, std::uint64_t nonce) const {
  Message message;
  message.type = type;
  message.nonce = nonce;
  message.viewDigest = digest();
  message.sender = self_;
  if (conceded())
    message.sender.incarnation = 0;  // lower than any claim on our name that others know
  return message;
}

void Membership::sendWithGossip(const Address& to, MessageType type, std::uint64_t nonce,
                                const std::string& subject) {
  sendWithGossip(to, createMessage(type, nonce), subject);
}

// Places the update about `subject` first: the receiver needs it to act on the message.
void Membership::sendWithGossip(const Address& to, Message message, const std::string& subject,
                                Receiver receiver) {
  const unsigned limit = GossipQueue::retransmitLimit(presentCount());
  const bool sameView = receiver == Receiver::knownProcess && hasSameView(to, message.type, subject);
  const MemberRecord* subjectRecord = subject.empty() ? nullptr : findRecord(subject);
  if (subjectRecord && (!sameView || subjectRecord->state != MemberState::alive))
    message.updates.push_back(*subjectRecord);
  for (const std::string* name : gossip_.select({sameView, {self_.name, subject}}, suspicions_, limit))
    message.updates.push_back(*findRecord(*name));
  const std::size_t encodedUpdates = transmit(to, message);
  for (std::size_t i = 0; i < encodedUpdates; ++i)
    gossip_.onTransmitted(message.updates[i].name, limit);
}

// Whether the member is at this address and last announced our view digest, so that it lacks at most
// suspicions.
bool Membership::hasSameView(const Address& to, MessageType type, const std::string& name) const {
  if (type != MessageType::ping && type != MessageType::ack)
    return false;
  const Member* member = table_.find(name);
  return member && member->record.address == to && member->lastHeard > Time{} &&
         member->viewDigest == digest();
}

// Sends the message and returns the number of updates that fitted into the datagram.
std::size_t Membership::transmit(const Address& to, Message& message) {
  message.sequence = ++lastSequence_;
  std::size_t encodedUpdates = 0;
  std::string bytes = encode(message, settings_.fleet, encodedUpdates);
  ++counters_.sent;
  counters_.bytesOut += bytes.size();
  datagrams_.push_back({to, std::move(bytes)});
  return encodedUpdates;
}

const MemberRecord* Membership::findRecord(const std::string& name) const {
  if (name == self_.name)
    return &self_;
  const Member* member = table_.find(name);
  return member ? &member->record : nullptr;
}

}  // namespace hollyrun::membership
