/// Who is in the fleet: SWIM with suspicion, incarnations, local health awareness (Lifeguard) and
/// anti-entropy. Sans-I/O: datagrams and the time go in, datagrams and events come out; it reads no clock.
/// The gateway, the simulation in virtual time and exhaustive exploration run the same code; a copy is an
/// independent state. docs/membership.md describes the protocol.
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
  std::string fleet = "fleet";  ///< messages of another one are dropped
  std::vector<Address> seeds;   ///< contacted at the start, and while they are missing
  Duration probeInterval = std::chrono::seconds(1);
  unsigned indirectProbes = 3;    ///< members asked to probe one that did not answer
  std::size_t maxMembers = 1024;  ///< kept in the view, those that left or died included
  Duration tombstoneTimeout =
      std::chrono::hours(1);  ///< a member that left or died is remembered for so long
};

enum class EventType {
  joined,        ///< also one that returns, or a new process of a known name
  suspected,     ///< did not answer a probe
  refuted,       ///< answered a suspicion
  died,          ///< the suspicion timed out
  left,          ///< announced that it goes
  changed,       ///< its settings, version, zone or address did
  nameConflict,  ///< another process lives under our name
  stalled,       ///< this process was held up; says nothing of others
};
/// The text in logs, which is older than two enumerators: refuted is "cleared" and nameConflict is "rival".
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
  std::uint64_t stale = 0;  ///< well formed, but no proof that the sender is alive: its updates were ignored
  std::uint64_t full = 0;   ///< members ignored because the view holds settings.maxMembers
  std::uint64_t refuted = 0, suspicions = 0, deaths = 0, stalls = 0;
};

class Membership {
 public:
  /// `self`: name, address, zone, region, version, settings digest and start time; epoch, incarnation and
  /// state are set here.
  Membership(MembershipSettings settings, MemberRecord self, std::uint64_t seed, Time now);

  void onDatagram(Time now, const Address& from, std::string_view bytes);
  /// At or after wakeAt(); extra calls do no harm.
  void onWake(Time now);
  /// New seeds, probe interval, settings digest, zone or region. The fleet and our name stay.
  void onSettings(Time now, MembershipSettings settings, const MemberRecord& self);
  /// Announces that it goes; from then on nothing is answered.
  void leave(Time now);

  Time wakeAt() const { return wakeAt_; }
  std::vector<Datagram>& datagrams() { return datagrams_; }
  std::vector<Event>& events() { return events_; }

  const MemberRecord& self() const { return self_; }
  /// All known members but ourselves, by name.
  const MemberTable::Members& others() const { return table_.members(); }
  /// Of who is present, by epoch and incarnation; equal views have equal digests.
  std::uint64_t digest() const { return table_.viewDigest(self_); }
  /// Ourselves included.
  std::size_t presentCount() const { return table_.presentCount() + 1; }
  /// Ourselves included.
  std::map<std::string, std::size_t> presentByZone() const { return table_.presentByZone(self_); }
  /// All that may hold a part of the fleet's quota, ourselves included: the dead may live beyond a partition,
  /// so they count until they are forgotten, and so does another process of our name.
  std::size_t quotaHolders() const;
  /// Present members that last announced another view than ours.
  std::vector<std::string> disagreeing() const { return table_.disagreeing(digest()); }
  /// Another process has our name; this one is no member.
  bool conceded() const { return nameConflict_.conceded(); }
  /// 0: healthy; higher: we answer or hear late ourselves.
  unsigned healthScore() const { return health_.score(); }
  const Counters& counters() const { return counters_; }

  /// All state that decides what happens next, with times relative to `now`, for exhaustive exploration.
  std::string fingerprint(Time now) const;

 private:
  /// Who claims something about a member.
  enum class ClaimSource { gossip, memberItself };
  /// Whether the process that a datagram goes to is the one that the view describes.
  enum class Receiver { knownProcess, unknownProcess };

  // Time
  bool advance(Time now);
  void recoverFromStall(Duration late);
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
  void accuse(const std::string& name, MemberState state);
  SuspicionTracker::Timing suspicionTiming() const;

  // Contact with seeds, dead members and the process that has our name
  void contactMissing();
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
  bool makeCapacity();
  void confirmSuspicion(Member& member, const MemberRecord& claim);
  void replaceRecord(Member& member, const MemberRecord& claim);
  void raiseChange(const MemberRecord& before, const MemberRecord& after);
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
  void raise(EventType type, const MemberRecord& record) { events_.push_back({type, record}); }

  MembershipSettings settings_;
  MemberRecord self_;
  RandomSource random_;
  Time now_{}, wakeAt_{};
  Time nextIntervalAt_{};        // when the next probe interval begins
  std::uint64_t intervals_ = 0;  // begun so far
  bool hasLeft_ = false;

  MemberTable table_;
  SuspicionTracker suspicions_;
  FailureDetector detector_;
  LocalHealth health_;
  PendingRequests requests_;
  GossipQueue gossip_;
  AntiEntropy antiEntropy_;
  NameConflict nameConflict_;

  std::uint64_t lastSequence_ = 0;                 // of our datagrams
  std::size_t nextSeed_ = 0, nextDeadMember_ = 0;  // to be contacted
  std::size_t verifications_ = 0;                  // pings of unverified senders in this interval
  std::vector<Datagram> datagrams_;
  std::vector<Event> events_;
  Counters counters_;
};

}  // namespace hollyrun::membership
