/// Membership of a fleet: SWIM with suspicion, incarnations, local health awareness (Lifeguard) and
/// anti-entropy. Performs no I/O and reads no clock: datagrams and the time are passed in, datagrams and
/// events are returned. The gateway, the simulation in virtual time and the exhaustive exploration run the
/// same code. A copied Membership is an independent instance. docs/membership.md describes the protocol.
#pragma once

#include <array>
#include <chrono>
#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "membership/anti_entropy.hpp"
#include "membership/failure_detector.hpp"
#include "membership/gossip_queue.hpp"
#include "membership/local_health.hpp"
#include "membership/member_table.hpp"
#include "membership/message.hpp"
#include "membership/name_conflict.hpp"
#include "membership/pending_requests.hpp"
#include "membership/random_source.hpp"
#include "membership/suspicion.hpp"
#include "membership/time.hpp"

namespace hollyrun::membership {

struct MembershipSettings {
  std::string fleet = "fleet";  ///< messages of other fleets are dropped
  std::vector<Address> seeds;   ///< contacted at the start and while no member is present at their address
  Duration probeInterval = std::chrono::seconds(1);
  unsigned indirectProbes = 3;    ///< number of members that probe an unresponsive one on our behalf
  std::size_t maxMembers = 1024;  ///< limit of the view, including members that left or died
  /// How long a member that left or died is remembered.
  Duration tombstoneTimeout = std::chrono::hours(1);
};

enum class EventType {
  joined,        ///< a member joined or returned, or a new process of a known member started
  suspected,     ///< a member did not answer a probe
  refuted,       ///< a member refuted its suspicion
  died,          ///< the suspicion of a member timed out
  left,          ///< a member announced that it leaves
  changed,       ///< the settings, version, region, zone or address of a member changed
  nameConflict,  ///< another process uses this member's name
  stalled,       ///< this process was not scheduled for long; implies nothing about other members
};
/// Returns the name used in logs. The names are kept for compatibility, so two of them differ from the
/// enumerators: refuted is "cleared" and nameConflict is "rival".
const char* nameOf(EventType type);

struct Event {
  EventType type = EventType::joined;
  MemberRecord member;
};

struct Datagram {
  Address to;
  std::string bytes;
};

struct Counters {
  std::uint64_t received = 0, sent = 0, bytesIn = 0, bytesOut = 0;
  std::array<std::uint64_t, kDecodeErrorCount> decodeErrors{};
  /// Valid datagrams that do not prove that their sender is alive; their updates were ignored.
  std::uint64_t stale = 0;
  std::uint64_t full = 0;  ///< new members that were ignored because the view has settings.maxMembers members
  std::uint64_t refuted = 0, suspicions = 0, deaths = 0, stalls = 0;
};

/// One member's instance of the protocol.
class Membership {
 public:
  /// `self` provides name, address, zone, region, version, settings digest and start time; the constructor
  /// sets epoch, incarnation and state.
  Membership(MembershipSettings settings, MemberRecord self, std::uint64_t seed, Time now);

  void onDatagram(Time now, const Address& from, std::string_view bytes);
  /// Must be called at or soon after wakeAt(); additional calls are harmless.
  void onWake(Time now);
  /// Applies new settings and a new description of this member. The fleet and the name do not change.
  void onSettings(Time now, MembershipSettings settings, const MemberRecord& self);
  /// Announces that this member leaves. Messages are ignored from then on.
  void leave(Time now);

  Time wakeAt() const { return wakeAt_; }
  std::vector<Datagram>& datagrams() { return datagrams_; }
  std::vector<Event>& events() { return events_; }

  const MemberRecord& self() const { return self_; }
  /// All known members except this one, keyed by name.
  const MemberTable::Members& others() const { return table_.members(); }
  /// Digest of the names, epochs and incarnations of the present members; equal views have equal digests.
  std::uint64_t digest() const { return table_.viewDigest(self_); }
  /// Number of present members, including this one.
  std::size_t presentCount() const { return table_.presentCount() + 1; }
  /// Number of present members in each zone, including this one.
  std::map<std::string, std::size_t> presentByZone() const { return table_.presentByZone(self_); }
  /// Number of processes that may use a share of the fleet's quota, including this one. Dead members count
  /// until they are removed, since they may be alive beyond a partition; so does another process of our name.
  std::size_t quotaHolders() const;
  /// Present members whose last announced view digest differs from this member's.
  std::vector<std::string> disagreeing() const { return table_.disagreeing(digest()); }
  /// Whether another process has this member's name, so that this process is not a member.
  bool conceded() const { return nameConflict_.conceded(); }
  /// 0 if healthy; rises while this member sends or receives messages late.
  unsigned healthScore() const { return health_.score(); }
  const Counters& counters() const { return counters_; }

  /// Serializes all state that determines the next steps, with times relative to `now`, for exhaustive
  /// exploration.
  std::string fingerprint(Time now) const;

 private:
  /// Origin of a claim about a member.
  enum class ClaimSource { gossip, memberItself };
  /// Whether the view describes the process that a datagram is sent to, or only a former process of its name.
  enum class Receiver { knownProcess, unknownProcess };

  // Time
  bool advance(Time now);
  void recoverFromStall(Duration delay);
  void runTimers();
  void startInterval();
  void updateWakeTime();
  void sendNacks();
  void expireSuspicions();
  void removeExpiredMembers();

  // Failure detection
  Duration ackTimeout() const;
  void probeNextMember();
  void sendIndirectPings();
  void finishProbe();
  void reportFailure(const std::string& name, MemberState state);
  SuspicionTracker::Timing suspicionTiming() const;

  // Contact with missing members: seeds, dead members and the process that uses our name
  void contactMissingMembers();
  std::vector<Address> missingSeeds() const;
  void contactAllSeeds(const std::vector<Address>& seeds);
  void contactDeadMember();
  void contactAboutNameConflict();
  void pingAddress(const Address& address);

  // Messages received
  void dispatch(const Message& message, const Address& from);
  void onPing(const Message& message, const Address& from);
  void onIndirectPing(const Message& message, const Address& from);
  void onPull(const Message& message, const Address& from);
  void onResponse(const Message& message, const Address& from);
  void onView(const Message& message, const Address& from, const PendingRequest& request, bool fromTarget);
  void onAck(const Message& message, const PendingRequest& request, bool fromTarget);
  void processSender(const Message& message, const Address& from, bool isResponse);
  void processUnverified(const Message& message, const Address& from);
  bool isNewerThanAllBefore(const Message& message, const Address& from) const;
  void applyGossip(const Message& message, bool isResponse);
  void recordSender(const Message& message, const Address& from);
  void markJoined();

  // Claims about members
  void applyUpdate(const MemberRecord& claim, ClaimSource source);
  void addMember(const MemberRecord& claim);
  bool ensureCapacity();
  void confirmSuspicion(Member& member, const MemberRecord& claim);
  void replaceRecord(Member& member, const MemberRecord& claim);
  void emitChangeEvent(const MemberRecord& before, const MemberRecord& after);
  void applyUpdateAboutSelf(const MemberRecord& claim);
  void applyClaimOfOtherProcess(const MemberRecord& claim);
  void concedeName();
  void refute(std::uint64_t incarnation);

  // Messages sent
  std::uint64_t addRequest(RequestType type, const std::string& target, const Address& address,
                           Duration timeout);
  void pullView(const std::string& name, const Address& to, std::string cursor);
  Message createMessage(MessageType type, std::uint64_t nonce) const;
  void sendWithGossip(const Address& to, MessageType type, std::uint64_t nonce,
                      const std::string& subject = {});
  void sendWithGossip(const Address& to, Message message, const std::string& subject,
                      Receiver receiver = Receiver::knownProcess);
  bool hasSameView(const Address& to, MessageType type, const std::string& name) const;
  std::size_t transmit(const Address& to, Message& message);
  const MemberRecord* findRecord(const std::string& name) const;
  void emitEvent(EventType type, const MemberRecord& record) { events_.push_back({type, record}); }

  MembershipSettings settings_;
  MemberRecord self_;
  RandomSource random_;
  Time now_{}, wakeAt_{};
  Time nextIntervalAt_{};        // start of the next probe interval
  std::uint64_t intervals_ = 0;  // number of probe intervals that have started
  bool hasLeft_ = false;

  MemberTable table_;
  SuspicionTracker suspicions_;
  FailureDetector detector_;
  LocalHealth health_;
  PendingRequests requests_;
  GossipQueue gossip_;
  AntiEntropy antiEntropy_;
  NameConflict nameConflict_;

  std::uint64_t lastSequence_ = 0;                 // sequence number of the last datagram sent
  std::size_t nextSeed_ = 0, nextDeadMember_ = 0;  // rotating indexes of the next ones to contact
  std::size_t verifications_ = 0;                  // pings sent to unverified senders in this interval
  std::vector<Datagram> datagrams_;
  std::vector<Event> events_;
  Counters counters_;
};

}  // namespace hollyrun::membership
