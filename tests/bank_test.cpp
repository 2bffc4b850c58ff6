#include "bank.hpp"

#include <algorithm>
#include <set>

namespace hollyrun::balancer::testing {
namespace {

// A floor of one request a window, or a first token, at each of hundreds of gateways felled every cold host.
TEST(Bank, AColdHostIsNotPushedOverByManyGatewaysTogether) {
  for (bool everywhere : {false, true}) {  // where keys are kept warm, every gateway uses every host
    Settings s = makeSettings();
    s.keyAffinity = everywhere;
    Bank bank(s, 200, 30);
    bank.run(10, 6);
    bank.forget();
    bank.run(2, 6);
    double warm = 0;  // in the two seconds of the rule
    for (int h = 0; h < 30; ++h)
      warm += static_cast<double>(bank.sentTo(h)) / 30;
    bank.tell(EndpointListKind::delta, 30, 31, bank.now());
    std::size_t sum = 0;
    for (int window = 0; window < 3; ++window) {
      bank.forget();
      bank.run(2, 6);
      const double share = 0.2 + 0.8 * (2 * window) / 10;  // what it can do at least when the window begins
      EXPECT_LT(static_cast<double>(bank.sentTo(30)), 3 * share * warm) << "window " << window;
      sum += bank.sentTo(30);
    }
    EXPECT_GT(static_cast<double>(sum), 0.2 * warm) << "it still gets its work";
  }
}

// Budgets that were spent first, by every gateway, gave many cold hosts more than the warm ones got.
TEST(Bank, ManyColdHostsGetLessThanTheWarmOnes) {
  Settings s = makeSettings();
  s.keyAffinity = true;
  Bank bank(s, 100, 20);
  bank.run(10, 6);
  bank.tell(EndpointListKind::delta, 20, 50, bank.now());
  bank.run(1, 6);
  bank.forget();
  bank.run(3, 6);
  double warm = 0, cold = 0;
  for (int h = 0; h < 50; ++h)
    (h < 20 ? warm : cold) += static_cast<double>(bank.sentTo(h));
  EXPECT_LT(cold / 30, 0.4 * warm / 20) << "so much they can do at the least in the mean";
  EXPECT_GT(cold / 30, 0.05 * warm / 20);
}

// After a restart of the whole bank nothing is known of any host, and the list may name cold ones at once.
TEST(Bank, FreshGatewaysTogetherDoNotPushAColdHostOver) {
  Settings s = makeSettings();
  s.keyAffinity = true;
  Bank bank(s, 200, 30);
  bank.tell(EndpointListKind::delta, 30, 31, bank.now());
  bank.run(2, 6);
  double warm = 0;
  for (int h = 0; h < 30; ++h)
    warm += static_cast<double>(bank.sentTo(h)) / 30;
  EXPECT_LT(static_cast<double>(bank.sentTo(30)), 3 * 0.2 * warm);
}

// Hosts accept so many connections: a bank in which every gateway goes everywhere shuts itself out.
TEST(Bank, AHostMeetsFewOfTheGatewaysAndAllAlike) {
  Bank bank(makeSettings(), 320, 50);
  bank.run(5, 6);
  std::size_t least = 320, most = 0;
  for (int h = 0; h < 50; ++h) {
    least = std::min(least, bank.gatewaysAt(h));
    most = std::max(most, bank.gatewaysAt(h));
  }
  EXPECT_LE(most, 64u) << "of 320: a fifth";
  EXPECT_GE(least, 20u);
}

TEST(Bank, NewHostsAreUsedAndConnectionsToFormerOnesGivenBack) {
  Bank bank(makeSettings(), 320, 50);
  bank.run(3, 6);
  bank.tell(EndpointListKind::delta, 50, 100);
  bank.run(3, 6);
  bank.forget();
  bank.run(6, 6);
  std::size_t fresh = 0, all = 0, closed = 0;
  for (int h = 0; h < 100; ++h) {
    all += bank.sentTo(h);
    if (h >= 50)
      fresh += bank.sentTo(h);
  }
  for (const auto& d : bank.drivers)
    closed += d->count(ActionKind::close);
  EXPECT_GT(fresh, all / 3);
  EXPECT_GT(closed, 320u) << "each gateway leaves some of its six for new ones";
}

// One discovery service answers all: gateways that it turns away together must not come back together, and
// none may stay silent past the allowed time.
TEST(Bank, GatewaysTurnedAwayByDiscoveryComeBackSpread) {
  Settings s = makeSettings();
  s.pollDiscovery = true;
  s.maxDiscoverySilence = seconds(10);
  Bank bank(s, 200, 10);
  for (int round = 0; round < 4; ++round) {
    bank.forget();
    for (auto& d : bank.drivers) {
      d->balancer.onEndpoints(d->now, EndpointListKind::unavailable, {});
      d->collect();
    }
    std::vector<std::size_t> asks;
    std::size_t before = 0;
    for (int window = 0; window < 100; ++window) {  // of a tenth of a second
      std::size_t sum = 0;
      for (auto& d : bank.drivers) {
        d->advance(milliseconds(100), milliseconds(20));
        sum += std::min<std::size_t>(d->count(ActionKind::pollDiscovery), 1);
      }
      asks.push_back(sum - before);
      before = sum;
    }
    EXPECT_EQ(before, 200u) << "all ask again within the allowed time";
    EXPECT_LE(*std::max_element(asks.begin(), asks.end()), 50u) << "round " << round;
  }
}

// Jammed servers hold what they are sent until it times out. Counted so long it filled the maximum of every
// gateway, and the pool was refused while nine in ten of its servers idled.
TEST(Bank, AFewJammedHostsDoNotFillTheMaximumOfThinGateways) {
  Settings s = makeSettings();
  s.replicaCount = 300;
  Driver d(s, 190);
  std::size_t before = 0;
  for (int i = 0; i < 800; ++i) {
    d.request(1);
    d.advance(milliseconds(50));
    for (std::size_t k = 0; k < d.out.size();) {
      const Sent o = d.out[k];
      const bool jammed = o.request % 8 == 0;
      if (!jammed)
        d.settle(o, Outcome::served, true, milliseconds(40));
      else if (d.now - o.at >= milliseconds(800))
        d.settle(o, Outcome::timeout, false);
      else
        ++k;
    }
    if (i == 200)
      before = d.count(ActionKind::reject);
  }
  EXPECT_LT(d.count(ActionKind::reject) - before, 60u) << "of 600";
}

// All servers together take five times as long: that is an overload, however little a gateway holds itself.
TEST(Bank, APoolThatSlowsDownWholeIsRelievedByThinGateways) {
  Settings s = makeSettings();
  s.replicaCount = 100;
  Driver d(s, 60);
  std::size_t before = 0;
  for (int i = 0; i < 1200; ++i) {
    d.request(1);
    d.advance(milliseconds(50));
    for (std::size_t k = 0; k < d.out.size();) {
      const Sent o = d.out[k];
      const auto takes = milliseconds(i < 400 ? 40 : 300);
      if (d.now - o.at >= takes)
        d.settle(o, Outcome::served, true, takes);
      else
        ++k;
    }
    if (i == 600)
      before = d.count(ActionKind::reject);
  }
  EXPECT_GT(d.count(ActionKind::reject) - before, 390u) << "of 600";
}

// What a gateway with few requests holds swings by chance; the cubic must not make refusals of it, and still
// refuse when the pool is slow.
TEST(Bank, ThinGatewaysRefuseOnlyWhenThePoolIsSlow) {
  Bank bank(makeSettings(), 100, 20);
  bank.run(10, 6, milliseconds(110));
  bank.forget();
  bank.run(10, 6, milliseconds(110));
  std::size_t refused = 0, asked = 0;
  for (auto& d : bank.drivers) {
    refused += d->count(ActionKind::reject);
    asked += d->count(ActionKind::reject) + d->sent.size();
  }
  EXPECT_LT(refused * 50, asked) << "hosts answer in a quarter of the aim";

  Settings s = makeSettings();
  s.replicaCount = 100;
  Driver slow(s, 20);
  std::size_t before = 0;
  for (int i = 0; i < 600; ++i) {
    slow.request(1);
    slow.advance(milliseconds(150));
    for (std::size_t k = 0; k < slow.out.size();) {
      const Sent o = slow.out[k];
      if (i < 300)
        slow.settle(o, Outcome::served, true, milliseconds(40));
      else if (slow.now - o.at >= milliseconds(380))
        slow.settle(o, Outcome::timeout, false);
      else
        ++k;
    }
    if (i == 300)
      before = slow.count(ActionKind::reject);
  }
  EXPECT_LT(before, 6u);
  EXPECT_GT(slow.count(ActionKind::reject) - before, 100u) << "of 300, after nothing comes in time any more";
}

// A slow host that this gateway cannot know yet ate the whole aim of a request that may be repeated.
TEST(SecondCopy, OnlyWhereAllowedAndOnlyForWhatMayBeRepeated) {
  for (bool parallel : {true, false}) {
    Settings s = makeSettings();
    s.allowHedging = parallel;
    Driver d(s, 6);
    for (std::uint32_t cls : {0u, 1u})
      d.warmUp(cls, 60);
    for (std::uint32_t cls : {0u, 1u}) {
      d.forget();
      d.request(cls);
      d.advance(milliseconds(300));
      EXPECT_EQ(d.sent.size(), parallel && cls == 0 ? 2u : 1u);
      if (d.sent.size() == 2)
        EXPECT_NE(d.sent[0].host, d.sent[1].host);
      while (!d.out.empty())
        d.settle(Sent(d.out.back()), Outcome::served, d.out.size() == 1);
    }
  }
}

// The rule on parallel attempts binds from the reload on, also for what was under way.
TEST(SecondCopy, IsNotSentOnceAReloadHasForbiddenIt) {
  Settings s = makeSettings();
  s.allowHedging = true;
  Driver d(s, 6);
  d.warmUp(0, 60);
  d.forget();
  d.request(0);
  s.allowHedging = false;
  d.balancer.onSettings(d.now, s);
  d.advance(milliseconds(300));
  EXPECT_EQ(d.sent.size(), 1u);
}

// Popular keys heap up on one host unseen by gateways that each hold nothing there; the list tells of it.
TEST(LiveWeights, ACrowdedHostLosesShareAndGetsItBack) {
  Settings s = makeSettings();
  s.loadAdjustedWeights = true;
  Driver d(s, 6);
  const auto run = [&](double weight) {
    d.forget();
    for (int i = 0; i < 400; ++i) {
      if (i % 10 == 0) {
        Endpoint e = makeHost(2);
        e.weight = weight;
        d.balancer.onEndpoints(d.now, EndpointListKind::delta, {e});
      }
      d.request(0);
      d.advance(milliseconds(40));
      while (!d.out.empty())
        d.serve(Sent(d.out.front()));
    }
    return d.sentTo(d.host(2));
  };
  EXPECT_GT(run(1), 40u);
  EXPECT_LT(run(0.1), 40u);
  run(1);
  EXPECT_GT(run(1), 40u);
}

// Thirty resends saved up at each of hundreds of gateways are no budget: a pool that is full would get them
// all at once.
TEST(Resends, AThinGatewaySavesUpFew) {
  Settings s = makeSettings();
  s.maxAttempts = 2;
  Driver d(s, 20);
  d.warmUp(0, 200, milliseconds(200));
  d.forget();
  for (int i = 0; i < 20; ++i) {
    d.request(0);
    while (!d.out.empty())
      d.settle(Sent(d.out.front()), Outcome::rejected, false);
    d.advance(milliseconds(20));
  }
  EXPECT_LE(d.sent.size(), 20u + 13u);
}

// A gateway that meets a host once in many seconds learns it too late; its machine kind is known sooner.
TEST(Pace, ANewHostIsTakenForItsKind) {
  std::vector<Endpoint> list;
  for (int i = 0; i < 12; ++i) {
    list.push_back(makeHost(i));
    list.back().machineType = i % 2 ? "slow" : "fast";
  }
  Driver d(makeSettings(), 0);
  d.balancer.onEndpoints(d.now, EndpointListKind::snapshot, {list.begin(), list.begin() + 8});
  for (int i = 0; i < 400; ++i) {
    d.request(0);
    while (!d.out.empty()) {
      const Sent o = d.out.front();
      const bool slow =
          o.host == d.host(1) || o.host == d.host(3) || o.host == d.host(5) || o.host == d.host(7);
      d.settle(o, Outcome::served, true, milliseconds(slow ? 90 : 30));
    }
    d.advance(milliseconds(50), milliseconds(50));
  }
  d.balancer.onEndpoints(d.now, EndpointListKind::delta, {list.begin() + 8, list.end()});
  d.forget();
  for (int i = 0; i < 60; ++i) {
    d.request(0);
    while (!d.out.empty())
      d.settle(Sent(d.out.front()), Outcome::cancelled, true);  // teaches nothing
  }
  EXPECT_GT(d.sentTo(d.host(8)) + d.sentTo(d.host(10)), 2 * (d.sentTo(d.host(9)) + d.sentTo(d.host(11))));
}

// A kind that drowns answers nothing; it was taken for a usual one at every host not met before.
TEST(Pace, AKindThatOnlyLosesIsKnownAsSlow) {
  for (Outcome loss : {Outcome::timeout, Outcome::rejected}) {
    std::vector<Endpoint> list;
    for (int i = 0; i < 20; ++i) {
      list.push_back(makeHost(i));
      list.back().machineType = i % 2 ? "drowned" : "good";
    }
    Settings s = makeSettings();
    s.replicaCount = 100;
    s.keyAffinity = true;
    Driver d(s, 0);
    d.balancer.onEndpoints(d.now, EndpointListKind::snapshot, {list.begin(), list.begin() + 12});
    for (int i = 0; i < 400; ++i) {
      d.request(0);
      while (!d.out.empty()) {
        const Sent o = d.out.front();
        bool drowned = false;
        for (int h = 1; h < 12; h += 2)
          drowned |= o.host == d.host(h);
        d.settle(o, drowned ? loss : Outcome::served, !drowned, milliseconds(drowned ? 400 : 40));
      }
      d.advance(milliseconds(50), milliseconds(50));
    }
    d.balancer.onEndpoints(d.now, EndpointListKind::delta, {list.begin() + 12, list.end()});
    d.forget();
    for (int i = 0; i < 120; ++i) {
      d.request(0);
      while (!d.out.empty())
        d.settle(Sent(d.out.front()), Outcome::cancelled, true);  // teaches nothing
    }
    std::size_t good = 0, drowned = 0;
    for (int h = 12; h < 20; ++h)
      (h % 2 ? drowned : good) += d.sentTo(d.host(h));
    EXPECT_GT(good, 3 * drowned) << "after outcome " << static_cast<int>(loss);
  }
}

// A tenth of a kind's hosts jammed shut out all of it: the mean of the kind followed what timed out there.
TEST(Pace, AFewJammedHostsDoNotSlowTheirKind) {
  std::vector<Endpoint> list;
  for (int i = 0; i < 40; ++i) {
    list.push_back(makeHost(i));
    list.back().machineType = i % 2 ? "partly" : "good";
  }
  Settings s = makeSettings();
  s.replicaCount = 100;
  s.keyAffinity = true;
  Driver d(s, 0);
  d.balancer.onEndpoints(d.now, EndpointListKind::snapshot, {list.begin(), list.begin() + 20});
  for (int i = 0; i < 400; ++i) {
    d.request(0);
    while (!d.out.empty()) {
      const Sent o = d.out.front();
      const bool jammed = o.host == d.host(1) || o.host == d.host(3);
      d.settle(o, jammed ? Outcome::timeout : Outcome::served, !jammed, milliseconds(jammed ? 800 : 40));
    }
    d.advance(milliseconds(50), milliseconds(50));
  }
  d.balancer.onEndpoints(d.now, EndpointListKind::delta, {list.begin() + 20, list.end()});
  d.forget();
  for (int i = 0; i < 400; ++i) {
    d.request(0);
    while (!d.out.empty())
      d.settle(Sent(d.out.front()), Outcome::cancelled, true);  // teaches nothing
  }
  std::size_t good = 0, partly = 0;
  for (int h = 20; h < 40; ++h)
    (h % 2 ? partly : good) += d.sentTo(d.host(h));
  EXPECT_GT(3 * partly, 2 * good);
}

// One answer in four takes for ever. By the mean of all the usual time followed them, and a second copy of
// what hangs came too late to help.
TEST(Pace, TheUsualTimeIsThatOfMostAnswers) {
  Settings s = makeSettings();
  s.allowHedging = true;
  Driver d(s, 10);
  for (int i = 0; i < 600; ++i) {
    d.request(1);
    d.request(0);
    d.advance(milliseconds(20), milliseconds(20));
    for (std::size_t k = 0; k < d.out.size();) {
      const Sent o = d.out[k];
      if (d.now - o.at >= milliseconds(o.request / 2 % 4 == 0 ? 900 : 40))
        d.serve(o);
      else
        ++k;
    }
  }
  while (!d.out.empty())
    d.serve(Sent(d.out.front()));
  d.warmUp(0, 10, milliseconds(40));  // earns the resend that a copy takes
  d.forget();
  d.request(0);
  d.advance(milliseconds(250), milliseconds(5));
  EXPECT_EQ(d.sent.size(), 2u);
}

// By an unweighted order of keys every host gets the same part of them; each of many gateways holds next to
// nothing anywhere, so none of them sees that the small hosts drown.
TEST(WarmKeys, SmallHostsOfALargePoolGetFewerKeys) {
  constexpr int kHosts = 40;
  std::vector<Endpoint> list;
  for (int i = 0; i < kHosts; ++i) {
    list.push_back(makeHost(i));
    list.back().machineType = i % 2 ? "small" : "large";
  }
  Settings s = makeSettings();
  s.replicaCount = 100;
  s.keyAffinity = true;
  Driver d(s, 0);
  d.balancer.onEndpoints(d.now, EndpointListKind::snapshot, list);
  const auto run = [&](int requests) {
    d.forget();
    for (int i = 0; i < requests; ++i) {
      d.request(0, milliseconds(1000), static_cast<std::uint64_t>(1 + i % 300));
      const Sent o = d.out.front();
      bool small = false;
      for (int h = 1; h < kHosts; h += 2)
        small |= o.host == d.host(h);
      d.settle(o, Outcome::served, true, milliseconds(small ? 90 : 30));
      d.advance(milliseconds(50), milliseconds(50));
    }
  };
  run(200);  // ten seconds: ten answers a host at the most
  run(600);
  std::size_t small = 0, all = d.sent.size();
  for (int h = 1; h < kHosts; h += 2)
    small += d.sentTo(d.host(h));
  EXPECT_EQ(all, 600u);
  EXPECT_LT(small * 4, all);
  EXPECT_GT(small, 0u);
}

// All gateways send a key to the same host. A favourite's is busy, and no one of many gateways sees that.
TEST(WarmKeys, AFavouriteKeyIsSharedByHostsInProportionAndOthersStay) {
  Settings s = makeSettings();
  s.replicaCount = 100;
  s.keyAffinity = true;
  Driver d(s, 50);
  const auto hostsOf = [&](std::uint64_t key, int every) {
    std::set<HostId> met;
    for (int i = 0; i < 600; ++i) {
      const bool mine = i % every == 0;
      d.request(0, milliseconds(1000), mine ? key : static_cast<std::uint64_t>(10000 + i));
      if (mine && i > 100)
        met.insert(d.out.front().host);
      d.settle(d.out.front(), Outcome::served, true, milliseconds(40));
      d.advance(milliseconds(50), milliseconds(50));
    }
    return met.size();
  };
  const std::size_t favourite = hostsOf(1, 10), rare = hostsOf(2, 200);
  EXPECT_GE(favourite, 5u) << "a tenth of the traffic, where a host's part is a fiftieth";
  EXPECT_LE(favourite, 15u) << "it still meets warm hosts";
  EXPECT_LE(rare, 2u);
}

// A connect that fails costs its time-out; the host is down or at its cap, so the next ones go elsewhere.
TEST(Connect, AHostThatDoesNotLetUsInRestsAtOnce) {
  Driver d(makeSettings(), 6);
  d.warmUp(0, 60);
  d.forget();
  for (int i = 0; i < 40; ++i) {
    d.request(0);
    d.advance(milliseconds(10));
    for (std::size_t k = 0; k < d.out.size();) {
      const Sent o = d.out[k];
      if (o.host == d.host(1))
        d.settle(o, Outcome::connectFailed, false);
      else
        d.serve(o);
    }
  }
  EXPECT_EQ(d.sentTo(d.host(1)), 1u);
}

}  // namespace
}  // namespace hollyrun::balancer::testing
