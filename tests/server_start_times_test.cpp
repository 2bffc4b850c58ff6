// Starts of record servers on the monotonic clock, whatever the wall clock says.
#include "gateway/server_start_times.hpp"

#include <gtest/gtest.h>

namespace hollyrun::gateway {
namespace {

using namespace std::chrono_literals;
using balancer::Time;
using Source = ServerStartTimes::Source;

class StartTimes : public ::testing::Test {
 protected:
  static constexpr Time kBegin = 24h;  // of the process, on the monotonic clock
  static constexpr std::chrono::milliseconds kTrueUnix = std::chrono::milliseconds(1'800'000'000'000);

  // The clocks at `since` after the begin, with the wall clock off by `wrong`.
  static ServerStartTimes::Clocks at(Time since, std::chrono::nanoseconds wrong) {
    return {kBegin + since, kTrueUnix + since + wrong};
  }
  // A server that really started `since` after the begin.
  static ListedEndpoint server(const std::string& uid, std::chrono::milliseconds since) {
    ListedEndpoint host;
    host.uid = uid;
    host.startUnixMs = (kTrueUnix + since).count();
    return host;
  }
  static EndpointList list(std::vector<ListedEndpoint> hosts, bool snapshot = true) {
    return {.version = 1, .snapshot = snapshot, .endpoints = std::move(hosts)};
  }
  static ListedEndpoint startedLongAgo(const std::string& uid) {
    ListedEndpoint host;
    host.uid = uid;
    return host;
  }
};

TEST_F(StartTimes, AreThoseOfDiscoveryWhileTheClockIsRight) {
  ServerStartTimes times(at(0s, 0s));
  EXPECT_EQ(times.startTimesOf(list({startedLongAgo("a"), server("b", -3s)}), Source::discovery, at(1s, 0s)),
            (std::vector<Time>{Time{}, kBegin - 3s}));
  EXPECT_EQ(times.startTimesOf(list({server("c", 4s)}, false), Source::discovery, at(5s, 0s)),
            std::vector<Time>{kBegin + 4s});
}

TEST_F(StartTimes, StayTheSameForTheSameProcessWhateverTheClockDoes) {
  ServerStartTimes times(at(0s, 0s));
  const auto before = times.startTimesOf(list({server("a", -3s)}), Source::cached, at(0s, 0s));
  for (const auto wrong : {-3600s, -5s, 5s, 3600s})
    EXPECT_EQ(times.startTimesOf(list({server("a", -3s)}), Source::discovery, at(2s, wrong)), before);
}

TEST_F(StartTimes, AreNeverInTheFuture) {
  ServerStartTimes times(at(0s, -3600s));
  const auto starts =
      times.startTimesOf(list({server("a", -3s), server("b", -20s)}), Source::discovery, at(1s, -3600s));
  EXPECT_EQ(starts[0], kBegin + 1s) << "the youngest is as young as can be";
  EXPECT_EQ(starts[1], kBegin - 16s) << "and the others are as much older as they were told";
}

TEST_F(StartTimes, OfANewHostAreNotBeforeTheListWithoutIt) {
  for (const auto wrong : {5s, 3600s}) {
    ServerStartTimes times(at(0s, wrong));
    times.startTimesOf(list({startedLongAgo("a")}), Source::discovery, at(1s, wrong));
    times.startTimesOf(list({}, false), Source::discovery, at(8s, wrong));
    const auto starts = times.startTimesOf(list({server("b", 8s)}, false), Source::discovery, at(9s, wrong));
    EXPECT_GE(starts[0], kBegin + 8s);
    EXPECT_LE(starts[0], kBegin + 9s);
  }
}

TEST_F(StartTimes, OfARestartedHostAreNotBeforeTheListOfItsFormerProcess) {
  ServerStartTimes times(at(0s, 3600s));
  times.startTimesOf(list({server("a", -100s)}), Source::discovery, at(1s, 3600s));
  const auto starts = times.startTimesOf(list({server("a", 2s)}, false), Source::discovery, at(3s, 3600s));
  EXPECT_GE(starts[0], kBegin + 1s);
}

TEST_F(StartTimes, AClockStepWhileRunningMakesNoHostOlder) {
  for (const auto step : {-3600s, -5s, 5s, 3600s}) {
    ServerStartTimes times(at(0s, 0s));
    times.startTimesOf(list({startedLongAgo("a")}), Source::discovery, at(1s, 0s));
    const auto starts = times.startTimesOf(list({server("b", 30s)}, false), Source::discovery, at(31s, step));
    EXPECT_GE(starts[0], kBegin + 30s) << step.count();
    EXPECT_LE(starts[0], kBegin + 31s) << step.count();
  }
}

TEST_F(StartTimes, ACachedListSetsNoLowerBound) {
  ServerStartTimes times(at(0s, 0s));
  times.startTimesOf(list({}), Source::cached, at(0s, 0s));  // it may be of any age
  EXPECT_EQ(times.startTimesOf(list({server("a", -3s)}), Source::discovery, at(1s, 0s)),
            std::vector<Time>{kBegin - 3s});
}

TEST_F(StartTimes, OfAHostThatWasRemovedAreEstimatedAgain) {
  ServerStartTimes times(at(0s, 3600s));
  times.startTimesOf(list({server("a", -100s)}), Source::discovery, at(1s, 3600s));
  times.startTimesOf(list({startedLongAgo("b")}), Source::discovery, at(2s, 3600s));
  EXPECT_GE(times.startTimesOf(list({server("a", 3s)}, false), Source::discovery, at(4s, 3600s))[0],
            kBegin + 2s);
}

TEST_F(StartTimes, BeforeTheClockBeganAreStillStarts) {
  ServerStartTimes times(at(0s, 0s));
  EXPECT_GT(times.startTimesOf(list({server("a", -48h)}), Source::discovery, at(1s, 0s))[0], Time{});
}

}  // namespace
}  // namespace hollyrun::gateway
