// The fleet's membership in virtual time: any number of members, each the code that the gateway runs, and a
// network between them that loses, delays, copies, corrupts and cuts by seed.
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

/// What the network does to each datagram.
struct LinkConditions {
  double loss = 0, copies = 0, spoils = 0;  ///< shares
  double leastMs = 0.2, mostMs = 2;         ///< of the way; reorders where they differ
};

class MemberSimulation {
 public:
  struct Node {
    std::unique_ptr<membership::Membership> logic;  ///< null: dead
    std::string name, zone;
    membership::Address address;
    bool stopped = false;
    std::uint64_t lives = 0;
    std::vector<std::pair<membership::Time, std::string>> inbox;  ///< while stopped
    std::vector<membership::Address> from;
  };
  struct Seen {  // an event at a member
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
  void stop(std::size_t node) { nodes_[node].stopped = true; }
  void wake(std::size_t node);
  void runUntil(membership::Time until);
  void runFor(membership::Duration d) { runUntil(now_ + d); }
  /// Runs until `done`, looked at four times a period; false if it is not within `most`.
  bool runUntil(const std::function<bool()>& done, membership::Duration most);
  /// A datagram out of nowhere.
  void inject(std::size_t to, const membership::Address& from, std::string bytes);

  membership::Time now() const { return now_; }
  std::vector<Node>& nodes() { return nodes_; }
  const membership::Membership& at(std::size_t node) const { return *nodes_[node].logic; }
  std::vector<Seen>& seen() { return seen_; }
  LinkConditions& linkConditions() { return linkConditions_; }
  membership::MembershipSettings& settings() { return settings_; }
  /// Whether a datagram may pass; default all.
  std::function<bool(std::size_t from, std::size_t to)> passes;
  /// Sees each datagram as it is sent.
  std::function<void(std::size_t from, std::size_t to, const std::string& bytes)> tap;
  /// Completes the record of a member that starts; default: as it is.
  std::function<void(membership::MemberRecord& self)> describe;

  std::vector<std::size_t> living() const;
  /// All living, running members hold each other and nobody else for present.
  bool agreed() const;
  /// Sums over all members that live now.
  membership::Counters counters() const;
  std::uint64_t steps() const { return steps_; }

 private:
  struct Due {
    membership::Time at;
    std::uint64_t order;
    std::size_t node;
    bool wake = false;
    std::uint64_t life = 0;
    membership::Address from;
    std::string bytes;
    bool operator>(const Due& o) const { return at != o.at ? at > o.at : order > o.order; }
  };
  void collect(std::size_t node);
  std::optional<std::size_t> nodeAt(const membership::Address& address) const;

  std::uint64_t seed_;
  membership::MembershipSettings settings_;
  LinkConditions linkConditions_;
  Stream draw_;
  membership::Time now_ = std::chrono::hours(1);
  std::uint64_t order_ = 0, steps_ = 0;
  std::vector<Node> nodes_;
  std::map<membership::Address, std::size_t> byAddress_;
  std::vector<membership::Time> wakes_;
  std::priority_queue<Due, std::vector<Due>, std::greater<>> due_;
  std::vector<Seen> seen_;
};

/// Processor time of this thread, in microseconds; the machine may be busy with other work.
double processorMicros();
/// Gives a record what a gateway's holds: it is sent in each datagram, so its length counts.
void describeAsGateway(membership::MemberRecord& self);

/// One row of the table in docs/membership.md.
struct MembersRow {
  std::size_t members = 0;
  double loss = 0;
  double detectP50 = 0, detectP99 = 0;  ///< periods from a kill until the first holds it dead
  double allP50 = 0, allP99 = 0;        ///< periods until all do
  double allMost = 0;                   ///< the longest of them
  double joinP99 = 0;                   ///< periods until all know a newcomer
  double falseDeaths = 0;               ///< an hour and member, at a period of 1 s, on a quiet day
  double datagrams = 0, bytes = 0;      ///< sent a member and period
  double micros = 0;                    ///< processor time of an event
  double microsPerPeriod = 0;           ///< processor time a member and period
  double kilobytes = 0;                 ///< memory a member, by the allocator's count
  std::uint64_t trace = 0;              ///< of all that was sent and raised, in order; 0 unless asked for
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
