// Simulates the fleet's membership in virtual time: any number of members that run the gateway's own code,
// and a network that loses, delays, duplicates, corrupts and blocks datagrams, as drawn from the seed.
#pragma once

#include <functional>
#include <memory>
#include <optional>
#include <queue>
#include <string>
#include <vector>

#include "lab/simulation/random.hpp"
#include "membership/membership.hpp"

namespace hollyrun::lab {

/// The faults of a network path.
struct LinkConditions {
  double loss = 0, duplication = 0, corruption = 0;  ///< probability for each datagram
  double minDelayMs = 0.2, maxDelayMs = 2;           ///< one way; datagrams are reordered if they differ
};

class MemberSimulation {
 public:
  struct Node {
    std::unique_ptr<membership::Membership> logic;  ///< null while the member is dead
    std::string name, zone;
    membership::Address address;
    bool stopped = false;
    std::uint64_t startCount = 0;
    std::vector<std::pair<membership::Time, std::string>> inbox;  ///< datagrams received while stopped
    std::vector<membership::Address> inboxSenders;                ///< senders of the inbox, in its order
  };
  /// An event that a member raised.
  struct Seen {
    membership::Time at;
    std::size_t node;
    membership::Event event;
  };

  MemberSimulation(std::uint64_t seed, membership::MembershipSettings settings,
                   LinkConditions linkConditions = {});

  std::size_t add(const std::string& name, const std::string& zone = "a");
  void start(std::size_t node);
  void kill(std::size_t node) { nodes_[node].logic.reset(); }
  void leave(std::size_t node);
  /// Suspends a member. Datagrams to it wait in its inbox until wake(); those that exceed the socket buffer
  /// are lost.
  void stop(std::size_t node) { nodes_[node].stopped = true; }
  /// Resumes a stopped member, which then handles its inbox and its expired timer.
  void wake(std::size_t node);
  void runUntil(membership::Time until);
  void runFor(membership::Duration duration) { runUntil(now_ + duration); }
  /// Runs until `done`, which is checked four times per period. Returns false if it does not hold within
  /// `timeout`.
  bool runUntil(const std::function<bool()>& done, membership::Duration timeout);
  /// Delivers a datagram that no member sent.
  void inject(std::size_t to, const membership::Address& from, std::string bytes);

  membership::Time now() const { return now_; }
  std::vector<Node>& nodes() { return nodes_; }
  const membership::Membership& at(std::size_t node) const { return *nodes_[node].logic; }
  std::vector<Seen>& seen() { return seen_; }
  LinkConditions& linkConditions() { return linkConditions_; }
  membership::MembershipSettings& settings() { return settings_; }
  /// Whether the network delivers datagrams from one member to another; by default it does.
  std::function<bool(std::size_t from, std::size_t to)> passes;
  /// Observes each datagram as it is sent.
  std::function<void(std::size_t from, std::size_t to, const std::string& bytes)> tap;
  /// Completes the record of a member that starts; by default the record stays unchanged.
  std::function<void(membership::MemberRecord& self)> describe;

  std::vector<std::size_t> living() const;
  /// Whether the views of all running members are equal and contain exactly these members.
  bool agreed() const;
  /// The sums over all members that are alive.
  membership::Counters counters() const;
  std::uint64_t steps() const { return steps_; }

 private:
  /// A timer of a member, or a datagram in flight to it.
  struct ScheduledEvent {
    membership::Time at;
    std::uint64_t order;
    std::size_t node;
    bool timer = false;
    std::uint64_t startCount = 0;  ///< of the member that set the timer
    membership::Address from;
    std::string bytes;
    bool operator>(const ScheduledEvent& other) const {
      return at != other.at ? at > other.at : order > other.order;
    }
  };
  void collect(std::size_t node);
  std::optional<std::size_t> nodeAt(const membership::Address& address) const;

  std::uint64_t seed_;
  membership::MembershipSettings settings_;
  LinkConditions linkConditions_;
  Stream random_;
  membership::Time now_ = std::chrono::hours(1);
  std::uint64_t order_ = 0, steps_ = 0;
  std::vector<Node> nodes_;
  std::map<membership::Address, std::size_t> byAddress_;
  std::vector<membership::Time> timers_;  ///< earliest scheduled timer of each member
  std::priority_queue<ScheduledEvent, std::vector<ScheduledEvent>, std::greater<>> schedule_;
  std::vector<Seen> seen_;
};

/// Processor time of this thread in microseconds, so that other load on the machine does not count.
double processorMicros();
/// Fills a record with fields of the size that a gateway's record has, since each datagram carries it.
void describeAsGateway(membership::MemberRecord& self);

/// One row of the table in docs/membership.md.
struct MembersRow {
  std::size_t members = 0;
  double loss = 0;
  double detectP50 = 0, detectP99 = 0;  ///< periods from a kill until the first member reports the death
  double allP50 = 0, allP99 = 0;        ///< periods until all members know of the death
  double allMax = 0;                    ///< the longest of these times
  double joinP99 = 0;                   ///< periods until all members know a joined member
  double falseDeaths = 0;               ///< per hour and member before the first kill, at a period of 1 s
  double datagrams = 0, bytes = 0;      ///< sent per member and period
  double micros = 0;                    ///< processor time per event
  double microsPerPeriod = 0;           ///< processor time per member and period
  double kilobytes = 0;                 ///< allocated memory per member
  std::uint64_t trace = 0;              ///< hash of all datagrams and events in order; 0 unless requested
};
struct MembersRun {
  std::size_t members = 0;
  double loss = 0;
  std::size_t kills = 0;
  std::uint64_t seed = 1;
  bool trace = false;
};
MembersRow measureMembers(const MembersRun& run);
std::string textOf(const std::vector<MembersRow>& rows);

}  // namespace hollyrun::lab
