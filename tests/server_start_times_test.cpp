// Tests the estimated start times of upstream hosts while the wall clock is right, wrong or stepped.
#include "gateway/server_start_times.hpp"

#include <gtest/gtest.h>

namespace hollyrun::gateway {
namespace {

using namespace std::chrono_literals;
using balancer::Time;
using Source = ServerStartTimes::Source;

class ServerStartTimesTest : public ::testing::Test {
 protected:
  static constexpr Time kProcessStart = 24h;  // On the monotonic clock.
  // The correct Unix time at kProcessStart.
  static constexpr std::chrono::milliseconds kTrueUnix = std::chrono::milliseconds(1'800'000'000'000);

  // Readings of the clocks at `elapsed` after the process start, with an error of the wall clock.
  static ServerStartTimes::Clocks at(Time elapsed, std::chrono::nanoseconds wallClockError) {
    return {kProcessStart + elapsed, kTrueUnix + elapsed + wallClockError};
  }
  // A server whose true start time is `offset` after the process start.
  static ListedEndpoint server(const std::string& uid, std::chrono::milliseconds offset) {
    ListedEndpoint host;
    host.uid = uid;
    host.startUnixMs = (kTrueUnix + offset).count();
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

TEST_F(ServerStartTimesTest, UsesTheStatedTimesWhileTheWallClockIsRight) {
  ServerStartTimes times(at(0s, 0s));
  EXPECT_EQ(times.startTimesOf(list({startedLongAgo("a"), server("b", -3s)}), Source::discovery, at(1s, 0s)),
            (std::vector<Time>{Time{}, kProcessStart - 3s}));
  EXPECT_EQ(times.startTimesOf(list({server("c", 4s)}, false), Source::discovery, at(5s, 0s)),
            std::vector<Time>{kProcessStart + 4s});
}

TEST_F(ServerStartTimesTest, KeepsTheStartOfAProcessWhenTheWallClockIsStepped) {
  ServerStartTimes times(at(0s, 0s));
  const auto before = times.startTimesOf(list({server("a", -3s)}), Source::cached, at(0s, 0s));
  for (const auto wallClockError : {-3600s, -5s, 5s, 3600s})
    EXPECT_EQ(times.startTimesOf(list({server("a", -3s)}), Source::discovery, at(2s, wallClockError)),
              before);
}

TEST_F(ServerStartTimesTest, ReturnsNoStartInTheFuture) {
  ServerStartTimes times(at(0s, -3600s));
  const auto starts =
      times.startTimesOf(list({server("a", -3s), server("b", -20s)}), Source::discovery, at(1s, -3600s));
  EXPECT_EQ(starts[0], kProcessStart + 1s) << "the youngest host starts now";
  EXPECT_EQ(starts[1], kProcessStart - 16s) << "the other host keeps its stated age difference";
}

TEST_F(ServerStartTimesTest, PlacesANewHostAfterTheLastListWithoutIt) {
  for (const auto wallClockError : {5s, 3600s}) {
    ServerStartTimes times(at(0s, wallClockError));
    times.startTimesOf(list({startedLongAgo("a")}), Source::discovery, at(1s, wallClockError));
    times.startTimesOf(list({}, false), Source::discovery, at(8s, wallClockError));
    const auto starts =
        times.startTimesOf(list({server("b", 8s)}, false), Source::discovery, at(9s, wallClockError));
    EXPECT_GE(starts[0], kProcessStart + 8s);
    EXPECT_LE(starts[0], kProcessStart + 9s);
  }
}

TEST_F(ServerStartTimesTest, PlacesARestartAfterTheLastListOfTheFormerProcess) {
  ServerStartTimes times(at(0s, 3600s));
  times.startTimesOf(list({server("a", -100s)}), Source::discovery, at(1s, 3600s));
  const auto starts = times.startTimesOf(list({server("a", 2s)}, false), Source::discovery, at(3s, 3600s));
  EXPECT_GE(starts[0], kProcessStart + 1s);
}

TEST_F(ServerStartTimesTest, MakesNoHostOlderWhenTheWallClockIsStepped) {
  for (const auto step : {-3600s, -5s, 5s, 3600s}) {
    ServerStartTimes times(at(0s, 0s));
    times.startTimesOf(list({startedLongAgo("a")}), Source::discovery, at(1s, 0s));
    const auto starts = times.startTimesOf(list({server("b", 30s)}, false), Source::discovery, at(31s, step));
    EXPECT_GE(starts[0], kProcessStart + 30s) << step.count();
    EXPECT_LE(starts[0], kProcessStart + 31s) << step.count();
  }
}

TEST_F(ServerStartTimesTest, DerivesNoBoundFromACachedList) {
  ServerStartTimes times(at(0s, 0s));
  times.startTimesOf(list({}), Source::cached, at(0s, 0s));  // A cached list may be of any age.
  EXPECT_EQ(times.startTimesOf(list({server("a", -3s)}), Source::discovery, at(1s, 0s)),
            std::vector<Time>{kProcessStart - 3s});
}

TEST_F(ServerStartTimesTest, EstimatesAgainAfterTheHostWasRemoved) {
  ServerStartTimes times(at(0s, 3600s));
  times.startTimesOf(list({server("a", -100s)}), Source::discovery, at(1s, 3600s));
  times.startTimesOf(list({startedLongAgo("b")}), Source::discovery, at(2s, 3600s));
  EXPECT_GE(times.startTimesOf(list({server("a", 3s)}, false), Source::discovery, at(4s, 3600s))[0],
            kProcessStart + 2s);
}

TEST_F(ServerStartTimesTest, ReturnsANonzeroStartForOneBeforeTheClockEpoch) {
  ServerStartTimes times(at(0s, 0s));
  EXPECT_GT(times.startTimesOf(list({server("a", -48h)}), Source::discovery, at(1s, 0s))[0], Time{});
}

}  // namespace
}  // namespace hollyrun::gateway
