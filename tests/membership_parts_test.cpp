// Unit tests of the parts of membership. Their interaction is tested in membership_test.
#include <gtest/gtest.h>

#include <chrono>
#include <set>

#include "membership/anti_entropy.hpp"
#include "membership/failure_detector.hpp"
#include "membership/gossip_queue.hpp"
#include "membership/local_health.hpp"
#include "membership/member_table.hpp"
#include "membership/name_conflict.hpp"
#include "membership/pending_requests.hpp"
#include "membership/suspicion.hpp"

namespace hollyrun::membership {
namespace {

constexpr Time kNow = std::chrono::hours(1);
constexpr Duration kInterval = std::chrono::seconds(1);

MemberRecord recordOf(const std::string& name, MemberState state = MemberState::alive) {
  MemberRecord record;
  record.name = name;
  record.address = {0x7f000001, static_cast<std::uint16_t>(1000 + name.back())};
  record.zone = "a";
  record.epoch = 7;
  record.incarnation = 1;
  record.state = state;
  return record;
}

std::vector<std::string> namesOf(const std::vector<const std::string*>& selected) {
  std::vector<std::string> names;
  for (const std::string* name : selected)
    names.push_back(*name);
  return names;
}

TEST(MemberTable, CountsAndDigestsCoverOnlyPresentMembers) {
  MemberTable table;
  const MemberRecord self = recordOf("self");
  const std::uint64_t alone = table.viewDigest(self);
  Member& member = table.insert(recordOf("b"), kNow);
  EXPECT_EQ(table.presentCount(), 1u);
  EXPECT_TRUE(table.isPresentAt(recordOf("b").address));
  const std::uint64_t both = table.viewDigest(self);
  EXPECT_NE(both, alone);
  table.update(member, recordOf("b", MemberState::suspect), kNow);
  EXPECT_EQ(table.viewDigest(self), both) << "the digest does not cover suspicions, which are transient";
  table.update(member, recordOf("b", MemberState::dead), kNow);
  EXPECT_EQ(table.viewDigest(self), alone);
  EXPECT_EQ(table.presentCount(), 0u);
  EXPECT_FALSE(table.isPresentAt(recordOf("b").address));
  EXPECT_EQ(table.countNotLeft(), 1u) << "a dead member may be alive beyond a partition";
}

TEST(MemberTable, RestartOfAMemberResetsSequenceAndLastHeard) {
  MemberTable table;
  Member& member = table.insert(recordOf("b"), kNow);
  member.lastSequence = 40;
  member.lastHeard = kNow;
  MemberRecord restarted = recordOf("b");
  restarted.epoch = 8;
  EXPECT_FALSE(table.knowsProcess(restarted));
  table.update(member, restarted, kNow + kInterval);
  EXPECT_TRUE(table.knowsProcess(restarted));
  EXPECT_EQ(member.lastSequence, 0u);
  EXPECT_EQ(member.lastHeard, Time{});
  EXPECT_EQ(member.stateSince, kNow + kInterval);
}

TEST(MemberTable, EvictsTheLongestAbsentMemberFirstAndExpiresAbsentOnes) {
  MemberTable table;
  table.insert(recordOf("a"), kNow);
  for (const char* name : {"b", "c"})
    table.insert(recordOf(name), kNow);
  table.update(*table.find("c"), recordOf("c", MemberState::dead), kNow + kInterval);
  table.update(*table.find("b"), recordOf("b", MemberState::left), kNow + 2 * kInterval);
  EXPECT_EQ(table.evictLongestAbsent(), "c");
  EXPECT_TRUE(table.removeExpired(kNow + 3 * kInterval, kInterval).empty());
  EXPECT_EQ(table.removeExpired(kNow + 4 * kInterval, kInterval), std::vector<std::string>{"b"});
  EXPECT_EQ(table.evictLongestAbsent(), std::nullopt);
  EXPECT_EQ(table.size(), 1u);
}

TEST(Suspicion, ConfirmationsShortenTheTimeoutFromItsMaximumToItsMinimum) {
  const Duration longest = suspicionTimeout(kInterval, 10, 1);
  const Duration shortest = suspicionTimeout(kInterval, 10, 4);
  EXPECT_EQ(longest, 6 * shortest);
  EXPECT_EQ(shortest, 4 * kInterval);
  EXPECT_LT(suspicionTimeout(kInterval, 10, 2), longest);
  EXPECT_GT(suspicionTimeout(kInterval, 10, 2), suspicionTimeout(kInterval, 10, 3));
  EXPECT_EQ(suspicionTimeout(kInterval, 2, 1), 4 * kInterval) << "with two members, nobody can confirm";
  EXPECT_EQ(suspicionTimeout(kInterval, 100, 4), 8 * kInterval) << "4 log10 n";
}

TEST(Suspicion, CountsConfirmationsOfFurtherMembersUpToTheExpectedNumber) {
  SuspicionTracker suspicions;
  EXPECT_FALSE(suspicions.confirm("x", "a")) << "x is not suspect";
  suspicions.start("x", "a", kNow);
  EXPECT_FALSE(suspicions.confirm("x", "a"));
  for (const char* reportedBy : {"b", "c", "d"})
    EXPECT_TRUE(suspicions.confirm("x", reportedBy));
  EXPECT_FALSE(suspicions.confirm("x", "e"));
}

TEST(Suspicion, ExpiresAtItsDeadlineUnlessPostponed) {
  SuspicionTracker suspicions;
  const SuspicionTracker::Timing timing{kInterval, 2, {}};
  EXPECT_EQ(suspicions.nextDeadline(timing), Time::max());
  suspicions.start("x", "a", kNow);
  const Time deadline = kNow + 4 * kInterval;
  EXPECT_EQ(suspicions.nextDeadline(timing), deadline);
  EXPECT_TRUE(suspicions.expired(deadline - Duration(1), timing).empty());
  EXPECT_EQ(suspicions.expired(deadline, timing), std::vector<std::string>{"x"});
  suspicions.postpone(kInterval);
  EXPECT_TRUE(suspicions.expired(deadline, timing).empty());
  suspicions.cancel("x");
  EXPECT_FALSE(suspicions.isSuspect("x"));
}

TEST(LocalHealth, ScalesTimeoutsUpToNineTimes) {
  LocalHealth health;
  health.improve();
  EXPECT_EQ(health.scaled(kInterval), kInterval);
  for (int i = 0; i < 20; ++i)
    health.degrade();
  EXPECT_EQ(health.score(), 8u);
  EXPECT_EQ(health.scaled(kInterval), 9 * kInterval);
  health.improve();
  EXPECT_EQ(health.score(), 7u);
}

TEST(GossipQueue, SelectsTheLeastTransmittedFirstThenTheLatest) {
  GossipQueue gossip;
  const SuspicionTracker suspicions;
  for (const char* name : {"a", "b", "c"})
    gossip.add(name);
  gossip.onTransmitted("c", 10);
  EXPECT_EQ(namesOf(gossip.select({}, suspicions, 10)), (std::vector<std::string>{"b", "a", "c"}));
  GossipQueue::Receiver receiver;
  receiver.excluded = {"a", "b"};
  EXPECT_EQ(namesOf(gossip.select(receiver, suspicions, 10)), std::vector<std::string>{"c"});
}

TEST(GossipQueue, RemovesAnUpdateAtTheRetransmitLimit) {
  EXPECT_EQ(GossipQueue::retransmitLimit(7), 9u) << "3 log2 (n + 1)";
  GossipQueue gossip;
  const SuspicionTracker suspicions;
  gossip.add("a");
  gossip.onTransmitted("a", 2);
  EXPECT_EQ(gossip.select({}, suspicions, 2).size(), 1u);
  gossip.onTransmitted("a", 2);
  EXPECT_TRUE(gossip.select({}, suspicions, 2).empty());
}

TEST(GossipQueue, SelectsOnlySuspicionsForAReceiverWithTheSameView) {
  GossipQueue gossip;
  SuspicionTracker suspicions;
  gossip.add("a");
  gossip.add("b");
  suspicions.start("b", "c", kNow);
  const GossipQueue::Receiver receiver{true, {}};
  EXPECT_EQ(namesOf(gossip.select(receiver, suspicions, 2)), std::vector<std::string>{"b"});
  gossip.select(receiver, suspicions, 2);
  EXPECT_EQ(namesOf(gossip.select({}, suspicions, 2)), std::vector<std::string>{"b"})
      << "updates that the receiver has count as transmitted";
}

TEST(PendingRequests, RemovesExpiredRequestsExceptProbes) {
  PendingRequests requests;
  RandomSource random(1);
  PendingRequest request;
  request.type = RequestType::probe;
  request.deadline = kNow;
  const std::uint64_t probe = requests.add(request, random);
  EXPECT_EQ(requests.nextDeadline(), Time::max());
  request.type = RequestType::relay;
  const std::uint64_t relay = requests.add(request, random);
  EXPECT_NE(relay, probe);
  EXPECT_EQ(requests.nextDeadline(), kNow);
  EXPECT_TRUE(requests.removeExpired(kNow - Duration(1)).empty());
  ASSERT_EQ(requests.removeExpired(kNow).size(), 1u);
  EXPECT_FALSE(requests.find(relay));
  EXPECT_TRUE(requests.find(probe));
}

TEST(FailureDetector, ProbesEachPresentMemberOnceInARound) {
  MemberTable table;
  for (const char* name : {"a", "b", "c", "d"})
    table.insert(recordOf(name), kNow);
  table.update(*table.find("d"), recordOf("d", MemberState::dead), kNow);
  FailureDetector detector;
  RandomSource random(1);
  for (int round = 0; round < 3; ++round) {
    std::set<std::string> probed;
    for (int i = 0; i < 3; ++i)
      probed.insert(detector.nextTarget(table, random)->record.name);
    EXPECT_EQ(probed, (std::set<std::string>{"a", "b", "c"}));
  }
  EXPECT_EQ(FailureDetector().nextTarget(MemberTable(), random), nullptr);
}

TEST(FailureDetector, SelectsProxiesThatAreNeitherTargetNorSuspect) {
  MemberTable table;
  for (const char* name : {"a", "b", "c", "d"})
    table.insert(recordOf(name), kNow);
  table.update(*table.find("b"), recordOf("b", MemberState::suspect), kNow);
  RandomSource random(1);
  const auto proxies = FailureDetector().selectProxies(table, "a", 3, random);
  EXPECT_EQ(std::set<Address>(proxies.begin(), proxies.end()),
            (std::set<Address>{recordOf("c").address, recordOf("d").address}));
}

TEST(FailureDetector, IsMissingNacksUntilEveryProxySentOne) {
  FailureDetector detector;
  detector.startProbe(5, kNow);
  EXPECT_TRUE(detector.awaitsDirectAck());
  EXPECT_TRUE(detector.isMissingNacks()) << "no proxy was sent an indirect ping";
  detector.onIndirectPingsSent(2, kNow + kInterval);
  EXPECT_FALSE(detector.awaitsDirectAck());
  detector.onNack();
  EXPECT_TRUE(detector.isMissingNacks());
  detector.onNack();
  EXPECT_FALSE(detector.isMissingNacks());
}

TEST(NameConflict, EstablishedByClaimsThatReachOurAnswers) {
  NameConflict conflict;
  MemberRecord claim = recordOf("self");
  EXPECT_EQ(conflict.onClaim(claim, kNow), NameConflict::Finding::possible);
  conflict.onRefuted(2);
  EXPECT_EQ(conflict.onClaim(claim, kNow), NameConflict::Finding::possible)
      << "a claim below our answer is an old one";
  claim.incarnation = 2;
  EXPECT_EQ(conflict.onClaim(claim, kNow), NameConflict::Finding::possible);
  conflict.onRefuted(3);
  EXPECT_FALSE(conflict.isServing(kNow, kInterval));
  claim.incarnation = 3;
  EXPECT_EQ(conflict.onClaim(claim, kNow), NameConflict::Finding::established);
  EXPECT_TRUE(conflict.isServing(kNow, kInterval));
  EXPECT_FALSE(conflict.isServing(kNow + 60 * kInterval, kInterval));
  claim.incarnation = 4;
  EXPECT_EQ(conflict.onClaim(claim, kNow), NameConflict::Finding::known);
  claim.epoch = 8;
  EXPECT_EQ(conflict.onClaim(claim, kNow), NameConflict::Finding::possible)
      << "a different epoch is yet another process";
}

TEST(AntiEntropy, ViewContainsTheRecordsOfDifferingBuckets) {
  MemberTable table, requesterTable;
  const MemberRecord self = recordOf("self");
  for (int i = 0; i < 60; ++i) {
    const MemberRecord record = recordOf("m" + std::to_string(i));
    table.insert(record, kNow);
    if (i != 17)
      requesterTable.insert(record, kNow);
  }
  Message pull;
  const BucketDigests digests = requesterTable.bucketDigests(self);
  pull.buckets.assign(digests.begin(), digests.end());
  const auto differing = differingNames(pull, table, self);
  EXPECT_NE(std::find(differing.begin(), differing.end(), "m17"), differing.end());
  Message view;
  view.sender = self;
  fillView(view, pull, table, self, "fleet");
  bool found = false;
  for (const MemberRecord& record : view.updates) {
    found = found || record.name == "m17";
    EXPECT_EQ(MemberTable::bucketOf(record.name), MemberTable::bucketOf("m17"));
  }
  EXPECT_TRUE(found);
  EXPECT_TRUE(view.cursor.empty());
  pull.buckets.assign(kBucketCount, 0);  // all buckets differ: more records than fit into a datagram
  Message partialView;
  partialView.sender = self;
  fillView(partialView, pull, table, self, "fleet");
  ASSERT_FALSE(partialView.updates.empty());
  EXPECT_EQ(partialView.cursor, partialView.updates.back().name);
}

}  // namespace
}  // namespace hollyrun::membership
