// The part of Membership that processes received messages and their claims about members.
#include <algorithm>
#include <tuple>
#include <utility>

#include "membership/membership.hpp"

namespace hollyrun::membership {
namespace {

constexpr std::size_t kMaxUpdatesPerMessage = 64;  // well-formed messages contain fewer
// Limits the pings to unverified senders, and so the cost of a flood of messages from unknown processes.
constexpr std::size_t kMaxVerificationsPerInterval = 64;
// Even if messages are lost, the incarnation of a member cannot rise so far without being noticed.
constexpr std::uint64_t kMaxIncarnationJump = 100'000;

}  // namespace

// --- Messages received --------------------------------------------------------------------------------

void Membership::onDatagram(Time now, const Address& from, std::string_view bytes) {
  ++counters_.received;
  counters_.bytesIn += bytes.size();
  if (hasLeft_)
    return;
  DecodeError error{};
  const std::optional<Message> message = decode(bytes, settings_.fleet, error);
  if (!message) {
    ++counters_.decodeErrors[static_cast<std::size_t>(error)];
    return;
  }
  advance(now);
  const bool isOwn = message->sender.name == self_.name && message->sender.epoch == self_.epoch;
  if (isOwn) {
    ++counters_.stale;
    return;
  }
  dispatch(*message, from);
  updateWakeTime();
}

void Membership::dispatch(const Message& message, const Address& from) {
  switch (message.type) {
    case MessageType::ping:
      return onPing(message, from);
    case MessageType::indirectPing:
      return onIndirectPing(message, from);
    case MessageType::ack:
    case MessageType::indirectAck:
    case MessageType::nack:
    case MessageType::view:
      return onResponse(message, from);
    case MessageType::leave:
      return processSender(message, from, false);
    case MessageType::pull:
      return onPull(message, from);
  }
}

void Membership::onPing(const Message& message, const Address& from) {
  processSender(message, from, false);
  // The view may describe a former or another process of that name, so the sender may not know its content.
  const Receiver receiver =
      table_.knowsProcess(message.sender) ? Receiver::knownProcess : Receiver::unknownProcess;
  sendWithGossip(from, createMessage(MessageType::ack, message.nonce), message.sender.name, receiver);
}

void Membership::onIndirectPing(const Message& message, const Address& from) {
  processSender(message, from, false);
  // Pings only known members at their recorded address, so that nobody can direct our pings at third parties.
  const Member* target = table_.find(message.target);
  if (!target || requests_.full())
    return;
  PendingRequest request;
  // Without a nonce the requester could not match an answer, so none is sent.
  request.type = message.nonce != 0 ? RequestType::relay : RequestType::contact;
  request.target = message.target;
  request.address = target->record.address;
  request.deadline = now_ + ackTimeout();
  request.requester = from;
  request.requesterNonce = message.nonce;
  const std::uint64_t nonce = requests_.add(std::move(request), random_);
  sendWithGossip(target->record.address, MessageType::ping, nonce, message.target);
}

void Membership::onPull(const Message& message, const Address& from) {
  processSender(message, from, false);
  if (Member* requester = table_.find(message.sender.name))
    requester->differingNames = differingNames(message, table_, self_);
  Message view = createMessage(MessageType::view, message.nonce);
  fillView(view, message, table_, self_, settings_.fleet);
  transmit(from, view);
}

void Membership::onResponse(const Message& message, const Address& from) {
  const std::optional<PendingRequest> request = requests_.find(message.nonce);
  // The address may belong to another member by now, whose answer proves nothing about the requested one.
  const bool fromTarget = request && (request->target.empty() || request->target == message.sender.name);
  const bool fromProxy = request && request->type == RequestType::probe && message.type != MessageType::ack;
  processSender(message, from, fromTarget || fromProxy);
  if (!request)
    return;
  if (message.type == MessageType::nack) {
    if (request->type == RequestType::probe)
      detector_.onNack();
    return;
  }
  if (message.type == MessageType::view)
    return onView(message, from, *request, fromTarget);
  onAck(message, *request, fromTarget);
}

void Membership::onView(const Message& message, const Address& from, const PendingRequest& request,
                        bool fromTarget) {
  if (request.type != RequestType::pull)
    return;
  requests_.remove(message.nonce);
  if (!message.cursor.empty() && fromTarget)
    pullView(request.target, from, message.cursor);
}

void Membership::onAck(const Message& message, const PendingRequest& request, bool fromTarget) {
  const bool isProbe = request.type == RequestType::probe;
  const bool isValid = message.type == MessageType::ack ? fromTarget : isProbe;
  if (!isValid || request.type == RequestType::pull)
    return;
  requests_.remove(message.nonce);
  if (request.type == RequestType::relay)
    sendWithGossip(request.requester, MessageType::indirectAck, request.requesterNonce, request.target);
  if (!isProbe)
    return;
  detector_.endProbe();
  health_.improve();
}

// Accepts updates only from a sender that is known to be alive: it answers one of our requests, or it is a
// present member and the datagram is newer than all its earlier ones. Any other datagram may be a copy that
// is hours old.
void Membership::processSender(const Message& message, const Address& from, bool isResponse) {
  const MemberRecord& sender = message.sender;
  const bool hasOurName = sender.name == self_.name;
  if (hasOurName) {
    applyUpdateAboutSelf(sender);
    nameConflict_.onHeard(sender, now_);
  }
  if (!isResponse && !isNewerThanAllBefore(message, from))
    return processUnverified(message, from);
  markJoined();
  applyGossip(message, isResponse);
  if (hasOurName)
    return;
  applyUpdate(sender, ClaimSource::memberItself);
  recordSender(message, from);
}

bool Membership::isNewerThanAllBefore(const Message& message, const Address& from) const {
  const Member* member = table_.find(message.sender.name);
  return member && isPresent(member->record.state) && member->record.epoch == message.sender.epoch &&
         member->record.address == from && message.sequence > member->lastSequence;
}

void Membership::processUnverified(const Message& message, const Address& from) {
  ++counters_.stale;
  // A claim about this member is safe to apply however old it is, since our refutation supersedes it.
  for (const MemberRecord& claim : message.updates)
    if (claim.name == self_.name && claim.epoch == self_.epoch)
      applyUpdateAboutSelf(claim);
  const bool isRequest = message.type == MessageType::ping || message.type == MessageType::pull ||
                         message.type == MessageType::indirectPing;
  const MemberRecord& sender = message.sender;
  if (!isRequest || sender.state == MemberState::left || verifications_ >= kMaxVerificationsPerInterval ||
      sender.name == self_.name)
    return;
  ++verifications_;
  const std::uint64_t nonce = addRequest(RequestType::contact, sender.name, from, settings_.probeInterval);
  sendWithGossip(from, MessageType::ping, nonce, sender.name);
}

void Membership::markJoined() {
  if (self_.state != MemberState::joining || conceded())
    return;
  self_.state = MemberState::alive;
  gossip_.add(self_.name);
}

void Membership::applyGossip(const Message& message, bool isResponse) {
  // After a partition, each side regards the members of the other as dead. Deaths reported by the other side
  // are applied as suspicions, which living members refute; otherwise all members would be declared dead
  // again.
  const Member* sender = table_.find(message.sender.name);
  const bool treatDeathsAsSuspicions =
      message.type == MessageType::view || (sender && !isPresent(sender->record.state));
  bool nameIsClaimed = conceded() && message.sender.name == self_.name;
  const std::size_t count = std::min(kMaxUpdatesPerMessage, message.updates.size());
  for (std::size_t i = 0; i < count; ++i) {
    MemberRecord claim = message.updates[i];
    nameIsClaimed = nameIsClaimed || claim.name == self_.name;
    if (treatDeathsAsSuspicions && claim.state == MemberState::dead)
      claim.state = MemberState::suspect;
    applyUpdate(claim, ClaimSource::gossip);
  }
  // The first update of an ack is its sender's record of our name. Without one, the sender does not know the
  // other process any more.
  if (conceded() && isResponse && !nameIsClaimed && message.type == MessageType::ack)
    nameConflict_.resolve();
}

void Membership::recordSender(const Message& message, const Address& from) {
  Member* member = table_.find(message.sender.name);
  if (!member || member->record.epoch != message.sender.epoch)
    return;
  member->lastSequence = message.sequence;
  member->viewDigest = message.viewDigest;
  member->lastHeard = now_;
  if (message.viewDigest == digest()) {
    member->differingNames.clear();
    return;
  }
  if (isPresent(member->record.state) && !conceded() && antiEntropy_.mayPull(now_, settings_.probeInterval))
    pullView(message.sender.name, from, {});
}

// --- Claims about members -----------------------------------------------------------------------------

void Membership::applyUpdate(const MemberRecord& claim, ClaimSource source) {
  if (claim.name == self_.name)
    return applyUpdateAboutSelf(claim);
  Member* member = table_.find(claim.name);
  if (!member)
    return addMember(claim);
  const MemberRecord& known = member->record;
  if (source == ClaimSource::gossip && claim.incarnation > known.incarnation + kMaxIncarnationJump) {
    ++counters_.decodeErrors[static_cast<std::size_t>(DecodeError::invalid)];
    return;
  }
  const bool isSameSuspicion = claim.state == MemberState::suspect && known.state == MemberState::suspect &&
                               claim.epoch == known.epoch && claim.incarnation == known.incarnation;
  if (isSameSuspicion)
    return confirmSuspicion(*member, claim);
  if (claim.comparePrecedence(known) > 0)
    replaceRecord(*member, claim);
}

void Membership::addMember(const MemberRecord& claim) {
  // Claims that a member is suspect, dead or has left carry no address, so an unknown member cannot be added.
  if (claim.state == MemberState::suspect || !isPresent(claim.state))
    return;
  if (!ensureCapacity()) {
    ++counters_.full;
    return;
  }
  table_.insert(claim, now_);
  gossip_.add(claim.name);
  detector_.addTarget(claim.name, random_);
  emitEvent(EventType::joined, claim);
}

bool Membership::ensureCapacity() {
  if (table_.size() < settings_.maxMembers)
    return true;
  const std::optional<std::string> evicted = table_.evictLongestAbsent();
  if (evicted)
    gossip_.remove(*evicted);
  return evicted.has_value();
}

void Membership::confirmSuspicion(Member& member, const MemberRecord& claim) {
  if (!suspicions_.confirm(claim.name, claim.reportedBy))
    return;
  member.record.reportedBy = claim.reportedBy;
  gossip_.add(claim.name);
}

void Membership::replaceRecord(Member& member, const MemberRecord& claim) {
  const MemberRecord before = member.record;
  MemberRecord after = claim;
  const bool describesMember = claim.state == MemberState::joining || claim.state == MemberState::alive;
  if (!describesMember) {
    after = before;
    after.epoch = claim.epoch;
    after.incarnation = claim.incarnation;
    after.state = claim.state;
    after.reportedBy = claim.reportedBy;
  }
  table_.update(member, after, now_);
  if (after.state == MemberState::suspect)
    suspicions_.start(after.name, after.reportedBy, now_);
  else
    suspicions_.cancel(after.name);
  gossip_.add(claim.name);
  emitChangeEvent(before, after);
}

void Membership::emitChangeEvent(const MemberRecord& before, const MemberRecord& after) {
  const bool wasPresent = isPresent(before.state);
  if (isPresent(after.state)) {
    if (!wasPresent || before.epoch != after.epoch) {
      emitEvent(EventType::joined, after);
    } else if (after.state == MemberState::suspect) {
      ++counters_.suspicions;
      emitEvent(EventType::suspected, after);
    } else if (before.state == MemberState::suspect) {
      emitEvent(EventType::refuted, after);
    } else if (!sameDescription(before, after)) {
      emitEvent(EventType::changed, after);
    }
    return;
  }
  if (after.state == MemberState::dead && wasPresent) {
    ++counters_.deaths;
    emitEvent(EventType::died, after);
  } else if (after.state == MemberState::left && before.state != MemberState::left) {
    emitEvent(EventType::left, after);
  }
}

void Membership::applyUpdateAboutSelf(const MemberRecord& claim) {
  if (claim.epoch != self_.epoch)
    return applyClaimOfOtherProcess(claim);
  if (claim.incarnation < self_.incarnation || claim.state <= self_.state)
    return;
  if (claim.state == MemberState::suspect || claim.state == MemberState::dead)
    health_.degrade();
  refute(claim.incarnation);
}

// Handles a claim on our name by or about another process, either a former one or one that is still running.
void Membership::applyClaimOfOtherProcess(const MemberRecord& claim) {
  if (conceded()) {
    if (isPresent(claim.state))
      return;
    nameConflict_.resolve();
    return refute(claim.incarnation);
  }
  if (std::tie(claim.incarnation, claim.epoch) < std::tie(self_.incarnation, self_.epoch))
    return;
  if (isPresent(claim.state)) {
    const NameConflict::Finding finding = nameConflict_.onClaim(claim, now_);
    if (finding == NameConflict::Finding::established)
      emitEvent(EventType::nameConflict, claim);
    // Both processes know both epochs, so exactly one of them concedes.
    if (finding != NameConflict::Finding::possible && self_.epoch < nameConflict_.epoch())
      return concedeName();
  }
  refute(claim.incarnation);
  nameConflict_.onRefuted(self_.incarnation);
}

void Membership::concedeName() {
  nameConflict_.concede();
  self_.state = MemberState::joining;
  gossip_.clear();
  requests_.clear();
  detector_.endProbe();
}

void Membership::refute(std::uint64_t incarnation) {
  self_.incarnation = std::max(self_.incarnation, incarnation) + 1;
  ++counters_.refuted;
  gossip_.add(self_.name);
}

}  // namespace hollyrun::membership
