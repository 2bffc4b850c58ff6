// Runs the gateway process while its calls to discovery fail, and lets a host drain before discovery can be
// reached again. The drain counts from the return of discovery, so no request may reach the host later than
// the grace after it. Arguments: path of the program, path of the fault library.
#include <ostream>

#include "process_fixture.hpp"

namespace hollyrun::gateway::testing {
namespace {

using Clock = std::chrono::steady_clock;

// The rule's grace after a drain counts as announced, the time for which a process may be held up between
// reading its clock and writing, and by when a change counts whatever failed.
constexpr auto kDrainGrace = 1000ms, kHoldUp = 150ms, kLatestAnnouncement = 6000ms;
constexpr std::size_t kFailedCalls = 3;     // several in a row
constexpr auto kUnobservedOutage = 2500ms;  // for failures that leave no trace at the agent
constexpr auto kAnswerDelay = 1500ms;
constexpr std::chrono::milliseconds kEachAskWithin[] = {0ms, 300ms, 1000ms, 10000ms, 60000ms};

enum class CallFailure {
  refused,
  noDescriptor,
  noRoute,
  reset,
  closed,
  errorStatus,
  invalidList,
  cutList,
  unexpectedDelta,
  unanswered,
  neverConnected,
};

enum class Moment { atStart, afterReload, duringWatch };

struct OutageCase {
  Moment moment;
  CallFailure failure;
  std::chrono::milliseconds askWithin;
};

const char* nameOf(CallFailure failure) {
  static constexpr const char* kNames[] = {"Refused",         "NoDescriptor", "NoRoute",       "Reset",
                                           "Closed",          "ErrorStatus",  "InvalidList",   "CutList",
                                           "UnexpectedDelta", "Unanswered",   "NeverConnected"};
  return kNames[static_cast<std::size_t>(failure)];
}

void PrintTo(const OutageCase& tested, std::ostream* out) {
  *out << nameOf(tested.failure) << ", ask_within " << tested.askWithin.count() << " ms";
}

class DiscoveryOutage : public ProcessFaults, public ::testing::WithParamInterface<OutageCase> {
 protected:
  void SetUp() override {
    ProcessFaults::SetUp();
    addHost(answering("x"));
    addHost(answering("x"));
    config["settings"]["rules"]["askWithinNs"] = std::chrono::nanoseconds(GetParam().askWithin).count();
    agent_.script = [this](PeerConnection& call) { handleCall(call); };
  }

  // Starts the process and lets its calls fail from the moment of the test case on.
  void startAndFail(CallFailure failure) {
    address = reserveEndpoint();
    config["listen"] = textOf(address);
    config["known"] = {{"rev", 1}, {"all", true}, {"targets", discovery.list}};
    const Moment moment = GetParam().moment;
    if (moment == Moment::atStart)
      fail(failure);
    config["discovery"] = textOf(moment == Moment::afterReload ? discovery.peer.endpoint : agent_.endpoint);
    writeConfigAndSpawn();
    if (moment == Moment::duringWatch) {
      ASSERT_TRUE(waitUntil([&] { return watch_ != nullptr; }));
      fail(failure);
      watch_->reset();
    } else if (moment == Moment::afterReload) {
      ASSERT_TRUE(waitUntil([&] { return !discovery.held.empty(); }));
      fail(failure);
      config["discovery"] = textOf(agent_.endpoint);
      writeConfig();
      ::kill(pid, SIGHUP);
    }
    ASSERT_TRUE(waitUntil([&] { return acceptsConnections(); }));
  }

  void fail(CallFailure failure) {
    failure_ = failure;
    failingSince_ = Clock::now();
    if (failure == CallFailure::refused)
      injectFault(FaultyCall::connect, ECONNREFUSED);
    if (failure == CallFailure::noRoute)
      injectFault(FaultyCall::connect, ENETUNREACH);
    if (failure == CallFailure::noDescriptor)
      injectFault(FaultyCall::socket, EMFILE);
    if (failure == CallFailure::neverConnected)
      agent_.pause();
  }

  // Whether several calls in a row have failed, the last of them just now.
  bool hasFailedOften() {
    switch (*failure_) {
      case CallFailure::refused:
      case CallFailure::noRoute:
        return faults->of(FaultyCall::connect).injected >= kFailedCalls;
      case CallFailure::noDescriptor:
        return faults->of(FaultyCall::socket).injected >= kFailedCalls;
      case CallFailure::neverConnected:
        return Clock::now() - failingSince_ >= kUnobservedOutage;
      default:
        return failedCalls_ >= kFailedCalls;
    }
  }

  // Discovery can be reached again, and has the drain of the first host.
  void endOutage() {
    if (failure_ == CallFailure::neverConnected)
      agent_.resume();
    faults->of(FaultyCall::connect).oneIn = 0;
    faults->of(FaultyCall::socket).oneIn = 0;
    failure_.reset();
    drained_ = true;
    returnedAt_ = Clock::now();
  }

  // Sends requests until the agent has been called, and returns the time from the return of discovery to that
  // call, less the time for which the test itself stood still.
  Clock::duration sendUntilCalled() {
    Clock::duration stalled{};
    auto last = Clock::now();
    const auto measure = [&] {
      const auto now = Clock::now();
      stalled += std::max<Clock::duration>(now - last - 50ms, {});
      last = now;
    };
    while (!calledAt_ && Clock::now() - returnedAt_ < kTestTimeout) {
      const std::size_t before = served["s-0"];
      sendSequentially(1);
      measure();
      if (served["s-0"] > before)
        lastAtDraining_ = Clock::now() - returnedAt_ - stalled;
    }
    EXPECT_TRUE(calledAt_) << log();
    return calledAt_ ? *calledAt_ - returnedAt_ - stalled : kTestTimeout;
  }

  std::chrono::milliseconds answerDelay{};
  Clock::duration lastAtDraining_{};
  Clock::time_point returnedAt_{};
  bool hasDrain_ = false;  // the process has asked for changes after the drain

 private:
  void injectFault(FaultyCall call, int error) {
    faults->of(call).error = error;
    faults->of(call).oneIn = 1;
  }

  void handleCall(PeerConnection& call) {
    if (failure_)
      return failCall(call);
    const std::string target = call.request.target().to_string();
    hasDrain_ = hasDrain_ || target.find("since=2&") != std::string::npos;
    if (target.find("timeout_ms=20000") != std::string::npos && !hasNewsFor(target))
      return void(watch_ = call.shared_from_this());
    if (drained_ && !calledAt_)
      calledAt_ = Clock::now();
    if (answerDelay == 0ms)
      return call.reply(listFor(target));
    const auto timer = std::make_shared<asio::steady_timer>(io, answerDelay);
    timer->async_wait([this, timer, target, peer = call.shared_from_this()](error_code) {
      if (peer->open)
        peer->reply(listFor(target));
    });
  }

  bool hasNewsFor(const std::string& target) const {
    return drained_ && target.find("since=1&") != std::string::npos;
  }

  std::string listFor(const std::string& target) const {
    const bool isSnapshot = target.find("since=") == std::string::npos;
    json targets = isSnapshot ? discovery.list : json::array();
    if (isSnapshot && drained_)
      targets[0]["state"] = "DRAINING";
    if (hasNewsFor(target))
      targets.push_back(gateway::testing::target("s-0", hosts[0]->endpoint, "a", "DRAINING"));
    const json list{{"rev", drained_ ? 2 : 1}, {"all", isSnapshot}, {"targets", targets}};
    return answerText(200, "", list.dump());
  }

  void failCall(PeerConnection& call) {
    ++failedCalls_;
    switch (*failure_) {
      case CallFailure::reset:
        return call.reset();
      case CallFailure::closed:
        return call.close();
      case CallFailure::errorStatus:
        return call.reply(answerText(503, "", ""));
      case CallFailure::invalidList:
        return call.reply(answerText(200, "", R"({"rev":2,"all":true,"targets":{}})"));
      case CallFailure::cutList: {
        const std::string whole = listFor("");
        return call.reply(whole.substr(0, whole.size() - 1), true);
      }
      case CallFailure::unexpectedDelta:  // an older version, or changes in place of a snapshot
        return call.reply(answerText(200, "", R"({"rev":0,"all":false,"targets":[]})"));
      default:
        return;  // unanswered
    }
  }

  Peer agent_{io, nullptr};
  std::shared_ptr<PeerConnection> watch_;
  std::optional<CallFailure> failure_;
  Clock::time_point failingSince_{};
  std::optional<Clock::time_point> calledAt_;  // the first call after the return
  std::size_t failedCalls_ = 0;
  bool drained_ = false;
};

TEST_P(DiscoveryOutage, NoRequestReachesAHostThatDrainsAtTheReturnOfDiscovery) {
  startAndFail(GetParam().failure);
  ASSERT_TRUE(waitUntil([&] { return hasFailedOften(); })) << log();
  endOutage();
  EXPECT_LE(sendUntilCalled(), kDrainGrace - kHoldUp) << "no call was open or made in time";
  EXPECT_LE(lastAtDraining_, kDrainGrace) << "a request reached the draining host after the grace";
  ASSERT_TRUE(waitUntil([&] { return hasDrain_; }));
  const std::size_t before = served["s-0"];
  EXPECT_EQ(sendSequentially(20).count(200), 20u);
  EXPECT_EQ(served["s-0"], before) << "the drain was not applied";
}

std::vector<OutageCase> casesAt(Moment moment) {
  std::vector<OutageCase> cases;
  for (int failure = 0; failure <= static_cast<int>(CallFailure::neverConnected); ++failure) {
    // A process that starts without a descriptor cannot listen.
    const bool canStart =
        moment != Moment::atStart || static_cast<CallFailure>(failure) != CallFailure::noDescriptor;
    if (canStart)
      cases.push_back({moment, static_cast<CallFailure>(failure), 10000ms});
  }
  for (const auto askWithin : kEachAskWithin)
    if (askWithin != 10000ms)
      cases.push_back({moment, CallFailure::reset, askWithin});
  return cases;
}

std::string caseName(const ::testing::TestParamInfo<OutageCase>& tested) {
  return std::string(nameOf(tested.param.failure)) + "AskWithin" +
         std::to_string(tested.param.askWithin.count()) + "Ms";
}

INSTANTIATE_TEST_SUITE_P(AtStart, DiscoveryOutage, ::testing::ValuesIn(casesAt(Moment::atStart)), caseName);
INSTANTIATE_TEST_SUITE_P(AfterReload, DiscoveryOutage, ::testing::ValuesIn(casesAt(Moment::afterReload)),
                         caseName);
INSTANTIATE_TEST_SUITE_P(DuringWatch, DiscoveryOutage, ::testing::ValuesIn(casesAt(Moment::duringWatch)),
                         caseName);

// An agent that answers late never tells anything to a client that gives up each call before its answer.
class LateDiscovery : public DiscoveryOutage {};

TEST_P(LateDiscovery, DrainIsAppliedThoughEachAnswerIsLate) {
  answerDelay = kAnswerDelay;
  startAndFail(CallFailure::reset);
  endOutage();
  EXPECT_LE(sendUntilCalled(), kDrainGrace - kHoldUp);
  ASSERT_TRUE(waitUntil([&] { return hasDrain_ || Clock::now() - returnedAt_ > kTestTimeout / 2; }));
  ASSERT_TRUE(hasDrain_) << "the drain was not applied";
  EXPECT_LE(Clock::now() - returnedAt_, kLatestAnnouncement + kDrainGrace);
  const std::size_t before = served["s-0"];
  EXPECT_EQ(sendSequentially(20).count(200), 20u);
  EXPECT_EQ(served["s-0"], before) << "the drain was not applied";
}

std::vector<OutageCase> lateCasesAt(Moment moment) {
  std::vector<OutageCase> cases;
  for (const auto askWithin : kEachAskWithin)
    cases.push_back({moment, CallFailure::reset, askWithin});
  return cases;
}

INSTANTIATE_TEST_SUITE_P(AtStart, LateDiscovery, ::testing::ValuesIn(lateCasesAt(Moment::atStart)), caseName);
INSTANTIATE_TEST_SUITE_P(AfterReload, LateDiscovery, ::testing::ValuesIn(lateCasesAt(Moment::afterReload)),
                         caseName);
INSTANTIATE_TEST_SUITE_P(DuringWatch, LateDiscovery, ::testing::ValuesIn(lateCasesAt(Moment::duringWatch)),
                         caseName);

}  // namespace
}  // namespace hollyrun::gateway::testing

int main(int argc, char** argv) {
  return hollyrun::gateway::testing::runProcessTests(argc, argv);
}
