// Who is in the fleet: SWIM with suspicion, incarnations, local health and exchange of views. It does no I/O
// and reads no clock: datagrams and the time go in, datagrams and events come out. The same code runs in the
// gateway, in the lab's virtual time and under exhaustive schedules; a copy is a state of its own.
// docs/membership.md.
#pragma once

#include <array>
#include <chrono>
#include <cstddef>
#include <cstdint>
#include <map>
#include <pcg_random.hpp>
#include <set>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "membership/message.hpp"

namespace hollyrun::membership {

using Duration = std::chrono::nanoseconds;
using Time = std::chrono::nanoseconds;  ///< of a clock that never goes back; its start means nothing

struct MembershipSettings {
  std::string fleet = "fleet";  ///< messages of another one are dropped
  std::vector<Address> seeds;   ///< asked at the start, and while they are missing
  Duration probeInterval = std::chrono::seconds(1);
  unsigned indirectProbes = 3;    ///< members asked to probe one that did not answer
  std::size_t maxMembers = 1024;  ///< kept in the view, the gone included
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
/// The text in logs.
const char* nameOf(EventType type);

struct Event {
  EventType type = EventType::joined;
  MemberRecord member;
};

struct Datagram {
  Address to;
  std::string bytes;
};

/// A member as this process holds it.
struct Member {
  MemberRecord record;
  Time since{};                ///< of its state
  std::uint64_t sequence = 0;  ///< the last that it said in this life
  std::set<std::string> confirmations;
  Time suspectSince{};
  std::uint64_t digest = 0;          ///< of its view, as it last said
  Time heard{};                      ///< when; zero: never from itself
  std::vector<std::string> differs;  ///< while its view is another: names that may be why
};

struct Counters {
  std::uint64_t received = 0, sent = 0, bytesIn = 0, bytesOut = 0;
  std::array<std::uint64_t, kDecodeErrorCount> decodeErrors{};
  std::uint64_t stale = 0;  ///< well formed, but no proof that its sender lives: its news was not taken
  std::uint64_t full = 0;   ///< members left out, for the view holds as many as it may
  std::uint64_t refuted = 0, suspicions = 0, deaths = 0, stalls = 0;
};

class Membership {
 public:
  /// `self`: name, address, zone, region, version, settings and start; the rest is drawn or starts at
  /// nothing.
  Membership(MembershipSettings settings, MemberRecord self, std::uint64_t seed, Time now);

  void onDatagram(Time now, const Address& from, std::string_view bytes);
  void onWake(Time now);  ///< at or after wakeAt(); extra calls do no harm
  /// New seeds, period, digest, zone or region. The fleet's name and our own stay.
  void onSettings(Time now, MembershipSettings settings, const MemberRecord& self);
  /// Says that it goes and answers nothing any more.
  void leave(Time now);

  Time wakeAt() const { return wakeAt_; }
  std::vector<Datagram>& datagrams() { return datagrams_; }
  std::vector<Event>& events() { return events_; }

  const MemberRecord& self() const { return self_; }
  const std::map<std::string, Member>& others() const { return others_; }  ///< without ourselves, by name
  /// Over who is present, in which life and with which incarnation; equal views have equal digests.
  std::uint64_t digest() const;
  std::size_t presentCount() const;                          ///< ourselves included
  std::map<std::string, std::size_t> presentByZone() const;  ///< ourselves included
  /// The careful size of the fleet: the dead may live beyond a cut, so they count until they are forgotten,
  /// and so does a rival of our name.
  std::size_t quotaHolders() const;
  /// Present members that last told of another view than ours.
  std::vector<std::string> disagreeing() const;
  bool joined() const { return self_.state == MemberState::alive; }
  bool conceded() const { return conceded_; }            ///< another process has our name; we are no member
  unsigned healthScore() const { return healthScore_; }  ///< 0 well; higher: we answer or hear late ourselves
  const Counters& counters() const { return counters_; }

  /// How long a member stays suspect before it is held dead, by the number present and by its confirmations.
  static Duration suspicion(Duration period, std::size_t present, std::size_t confirmations);
  /// Everything that decides what happens next, with times relative to `now`; for exhaustive exploration.
  std::string fingerprint(Time now) const;

 private:
  struct Question {  // asked and not answered
    std::string target;
    Address at;
    Time until{};
    bool probe = false, pull = false;
    Address asker;  // of whom we ask for; its nonce
    std::uint64_t askerNonce = 0;
  };
  struct News {
    unsigned told = 0;
    std::uint64_t added = 0;
  };

  bool advance(Time now);
  void tick();
  void probeNext();
  void probeLate();
  void probeOver();
  void reachOut();
  void pullFrom(const std::string& name, const Address& to, std::string cursor);
  void noteDifference(const Message& pull);
  void answerPull(const Address& to, const Message& pull);
  void heard(const Message& m, const Address& from, bool proven);
  void answered(const Message& m, const Address& from);
  void take(const MemberRecord& claim, bool ofItself = false);
  void takeOfSelf(const MemberRecord& claim);
  void refute(std::uint64_t above);
  void accuse(const std::string& name, MemberState state);
  Time suspectUntil(const Member& m) const;
  void expireSuspicions();
  void forgetGone();
  void put(Member& m, const MemberRecord& record);
  void raise(EventType type, const MemberRecord& record) { events_.push_back({type, record}); }
  void spread(const std::string& name);
  void compareViews(const std::string& name, const Address& at, std::uint64_t digest);
  std::uint64_t ask(const std::string& target, const Address& at, Duration wait, bool probe);
  void send(const Address& to, MessageType type, std::uint64_t nonce, const std::string& first = {});
  void send(const Address& to, Message m, bool withNews, const std::string& first, bool stranger = false);
  bool lives(const MemberRecord& who) const;
  Message frame(MessageType type, std::uint64_t nonce) const;
  const MemberRecord* recordOf(const std::string& name) const;
  unsigned retransmitLimit() const;
  Duration scaled(Duration d) const { return d * (healthScore_ + 1); }
  Duration timeout() const;
  void well();
  void unwell();
  std::uint64_t draw() { return static_cast<std::uint64_t>(random_()) << 32 | random_(); }
  std::size_t drawBelow(std::size_t n) {
    return static_cast<std::size_t>(random_(static_cast<std::uint32_t>(n)));
  }
  void setWake();
  std::array<std::uint64_t, kBucketCount> buckets() const;  // ourselves included
  static std::size_t bucketOf(const std::string& name);
  static std::uint64_t digestOf(const MemberRecord& r);

  MembershipSettings settings_;
  MemberRecord self_;
  pcg32 random_;
  Time now_{}, wakeAt_{}, periodAt_{}, lateAt_{};
  std::map<std::string, Member> others_;
  std::array<std::uint64_t, kBucketCount> buckets_{};  // sums over the present others
  std::size_t present_ = 0;                            // others
  std::map<Address, std::size_t> presentAt_;           // how many of the present others say they are there
  std::set<std::string> suspects_;                     // names of the others that are suspect
  std::vector<std::string> round_;                     // still to be probed, the next last
  std::map<std::uint64_t, Question> questions_;        // by nonce
  std::uint64_t probe_ = 0;                            // nonce of this period's probe, 0: none, or answered
  unsigned nacksWanted_ = 0, nacks_ = 0;
  std::map<std::string, News> news_;  // of ourselves and of the others that we know
  std::uint64_t sequence_ = 0, added_ = 0, periods_ = 0;
  unsigned healthScore_ = 0;
  std::size_t seedAt_ = 0, goneAt_ = 0, verifies_ = 0;
  Time pulledAt_{};
  bool left_ = false, conceded_ = false;
  std::uint64_t rivalEpoch_ = 0,
                rivalOver_ = 0;  // a claim on our name from another life, and our answer to it
  unsigned rivalTimes_ = 0;
  Address rivalAt_;
  Time rivalHeard_{};
  std::vector<Datagram> datagrams_;
  std::vector<Event> events_;
  Counters counters_;
};

}  // namespace hollyrun::membership
