#include "lab/testbed/scale_step.hpp"

#include <signal.h>
#include <spdlog/fmt/fmt.h>

#include <algorithm>
#include <cstdlib>
#include <nlohmann/json.hpp>

#include "lab/testbed/scale_testbed.hpp"

namespace hollyrun::lab {
namespace {

constexpr std::size_t kDirectServers = 16;  // few enough that their connections are reused, as in a pool
constexpr double kHangupTimeoutS = 20, kChangeTimeoutS = 20, kOutageTimeoutS = 60;
constexpr double kSettleS = 2;
// The share of a core is not checked in windows shorter than this. A process may use a whole core for a short
// burst, and the step measures the duration of that burst.
constexpr double kMinShareWindowS = 1;
constexpr int kBaselineRequests = 5;  // requests for the statistics, to measure the cost of one
constexpr double kMsPerSecond = 1000, kUsPerSecond = 1e6, kPercent = 100, kBytesPerKilobyte = 1000;

// Resource usage and traffic since the start, as means over the real gateways.
struct GatewayUsage {
  double processorS = 0, residentMb = 0, discoveryBytes = 0, membershipBytes = 0;
  Time at{};
};

class Step {
 public:
  Step(const ScalePlan& plan, const ScaleSize& size) : plan_(plan), size_(size), testbed_(plan, size) {}

  StepResult measure() {
    waitForMembers();
    measureStart();
    testbed_.setRegularChanges(true);
    testbed_.runLoad(gatewayTargets(), std::max(plan_.warmS, 0.1));
    measureIdle();
    measureLoad();
    testbed_.setRegularChanges(false);
    measureHangups();
    measureListChanges();
    measureOutages();
    return result_;
  }

 private:
  std::vector<Target> gatewayTargets() const {
    std::vector<Target> all;
    for (const auto& gateway : testbed_.gateways())
      all.push_back({gateway->name, gateway->port.endpoint(), 0, true});
    return all;
  }
  std::vector<Target> serverTargets() const {
    std::vector<Target> all;
    for (std::size_t i = 0; i < std::min(kDirectServers, size_.servers); ++i)
      all.push_back({fmt::format("server-{}", i), testbed_.serverEndpoint(i), 0, true});
    return all;
  }

  GatewayUsage measureUsage() {
    GatewayUsage sum;
    const double share = 1 / static_cast<double>(testbed_.gateways().size());
    for (const auto& gateway : testbed_.gateways()) {
      const auto& discovery = testbed_.discovery().counts(gateway->discovery);
      sum.discoveryBytes += share * static_cast<double>(discovery.bytesIn + discovery.bytesOut);
      sum.membershipBytes += share * membershipBytes(*gateway);
    }
    // Read after the requests above, so that the measured window excludes their cost.
    for (const auto& gateway : testbed_.gateways()) {
      const ProcessUsage usage = usageOf(gateway->process->pid);
      sum.processorS += share * usage.processorS;
      sum.residentMb += share * usage.residentMb;
    }
    sum.at = clockNow();
    return sum;
  }
  double membershipBytes(const RealGateway& gateway) {
    if (gateway.membership.empty())
      return 0;
    const auto view = nlohmann::json::parse(testbed_.get(gateway, "/ops/fleet"));
    const auto& counters = view.at("counters");
    return counters.at("bytes_in").get<double>() + counters.at("bytes_out").get<double>();
  }
  double processorSeconds() const {
    double sum = 0;
    for (const auto& gateway : testbed_.gateways())
      sum += usageOf(gateway->process->pid).processorS;
    return sum / static_cast<double>(testbed_.gateways().size());
  }

  // --- Load of the testbed itself ---

  void beginHelperCheck() {
    testbed_.resetLag();
    helperCheckFrom_ = clockNow();
    helperUsageBefore_ = testbed_.helperUsage();
  }
  void endHelperCheck(const char* window) {
    const double passed = inSeconds(clockNow() - helperCheckFrom_);
    const auto now = testbed_.helperUsage();
    for (std::size_t i = 0; i < now.size(); ++i) {
      const double share = (now[i].second.processorS - helperUsageBefore_[i].second.processorS) / passed;
      if (passed < kMinShareWindowS)
        continue;
      raiseTo(Figure::busiestShare, share);
      if (share > plan_.maxHelperShare)
        markVoid(fmt::format("{}: {} took {:.2f} of a core", window, now[i].first, share));
    }
    raiseTo(Figure::lagMs, testbed_.lagMs());
    if (testbed_.lagMs() > plan_.maxHelperLagMs)
      markVoid(fmt::format("{}: the testbed was {:.0f} ms late", window, testbed_.lagMs()));
  }
  void raiseTo(Figure figure, double value) {
    result_[figure] = std::max(result_[figure].value_or(0), value);
  }
  void markVoid(const std::string& reason) {
    result_.voidReason += (result_.voidReason.empty() ? "" : "; ") + reason;
  }

  // --- Start, idle and load ---

  void waitForMembers() {
    if (plan_.membershipPeriodMs <= 0 || size_.stubs == 0)
      return testbed_.runFor(kSettleS);
    const auto all = static_cast<std::uint32_t>(size_.gateways + size_.stubs);
    const Time from = clockNow();
    if (testbed_.runUntil([&] { return testbed_.stubMembersSeen() >= all; }, plan_.joinTimeoutS))
      result_[Figure::joinMs] = inSeconds(clockNow() - from) * kMsPerSecond;
    testbed_.runFor(kSettleS);
  }

  void measureStart() {
    double sum = 0;
    for (const auto& gateway : testbed_.gateways())
      sum += gateway->startProcessorS;
    result_[Figure::startMs] = sum / static_cast<double>(testbed_.gateways().size()) * kMsPerSecond;
  }

  void measureIdle() {
    if (plan_.idleS <= 0)
      return;
    const GatewayUsage before = measureUsage();
    testbed_.runFor(plan_.idleS);
    const double processorS = processorSeconds() - before.processorS;
    const double passed = inSeconds(clockNow() - before.at);
    const GatewayUsage after = measureUsage();
    idleShare_ = processorS / passed;
    result_[Figure::idlePercent] = idleShare_ * kPercent;
    result_[Figure::discoveryBytes] = (after.discoveryBytes - before.discoveryBytes) / passed;
    if (plan_.membershipPeriodMs > 0)
      result_[Figure::membershipBytes] = (after.membershipBytes - before.membershipBytes) / passed;
  }

  void measureLoad() {
    if (plan_.loadS <= 0 || size_.rate <= 0)
      return;
    beginHelperCheck();
    const double before = processorSeconds();
    const Time from = clockNow();
    const Load& through = testbed_.runLoad(gatewayTargets(), plan_.loadS);
    const double used = processorSeconds() - before, passed = inSeconds(clockNow() - from);
    endHelperCheck("the load");
    const Result loadResult = through.result();
    const double requests = static_cast<double>(loadResult.requests) / static_cast<double>(size_.gateways);
    result_[Figure::requestUs] = (used - idleShare_ * passed) / requests * kUsPerSecond;
    result_[Figure::unservedPercent] = (loadResult.rejectedShare + loadResult.failedShare) * kPercent;
    result_[Figure::residentMb] = measureUsage().residentMb;
    beginHelperCheck();
    const Load& direct = testbed_.runLoad(serverTargets(), plan_.loadS);
    endHelperCheck("the direct load");
    setLatency(through.latencies(), direct.latencies(), 0.5, Figure::directP50, Figure::addedP50);
    setLatency(through.latencies(), direct.latencies(), 0.99, Figure::directP99, Figure::addedP99);
    setLatency(through.latencies(), direct.latencies(), 0.999, Figure::directP999, Figure::addedP999);
  }
  void setLatency(const Latencies& through, const Latencies& direct, double fraction, Figure directFigure,
                  Figure addedFigure) {
    result_[directFigure] = direct.percentile(fraction);
    result_[addedFigure] = through.percentile(fraction) - direct.percentile(fraction);
  }

  // --- SIGHUP ---

  void measureHangups() {
    double processorS = 0, stallMs = 0;
    for (unsigned i = 0; i < plan_.hangups; ++i) {
      const HangupCost cost = measureHangup(i + 1);
      processorS += cost.processorS / plan_.hangups;
      stallMs = std::max(stallMs, cost.stallMs);
    }
    if (plan_.hangups == 0)
      return;
    result_[Figure::hangupMs] = processorS * kMsPerSecond;
    result_[Figure::stallMs] = stallMs;
  }
  struct HangupCost {
    double processorS = 0, stallMs = 0;
  };
  struct StatsSample {
    int reloads = 0;
    double responseMs = 0;
  };
  // Returns the number of reloads that the gateway's statistics count and the response time of the request.
  StatsSample sampleStats(const RealGateway& gateway) {
    const Time from = clockNow();
    const std::string body = testbed_.get(gateway, "/ops/stats");
    const double ms = inSeconds(clockNow() - from) * kMsPerSecond;
    const std::string counter = ".reconfig_ok=";
    const std::size_t counterAt = body.find(counter);
    if (counterAt == std::string::npos)
      throw std::runtime_error(gateway.name + ": /ops/stats has no counter reconfig_ok");
    return {std::atoi(body.c_str() + counterAt + counter.size()), ms};
  }
  // Sends a SIGHUP and polls the gateway's statistics until it has applied the changed configuration. The
  // cost of polling is subtracted.
  HangupCost measureHangup(unsigned version) {
    const RealGateway& gateway = *testbed_.gateways().front();
    testbed_.writeChangedConfig(gateway, version);
    const auto processorS = [&] { return usageOf(gateway.process->pid).processorS; };
    const double before = processorS();
    StatsSample last;
    double usualMs = 1e9;
    for (int i = 0; i < kBaselineRequests; ++i) {
      last = sampleStats(gateway);
      usualMs = std::min(usualMs, last.responseMs);
    }
    const double requestS = (processorS() - before) / kBaselineRequests, from = processorS();
    const int reloads = last.reloads;
    const Time deadline = clockNow() + seconds(kHangupTimeoutS);
    gateway.process->send(SIGHUP);
    double longestMs = 0;
    int requests = 0;
    while (last.reloads == reloads) {
      if (clockNow() > deadline)
        throw std::runtime_error(
            fmt::format("{} did not reload within {:g} s of SIGHUP", gateway.name, kHangupTimeoutS));
      last = sampleStats(gateway);
      longestMs = std::max(longestMs, last.responseMs);
      ++requests;
    }
    return {std::max(0.0, processorS() - from - requests * requestS), std::max(0.0, longestMs - usualMs)};
  }

  // --- Endpoint list at the stub gateways ---

  void measureListChanges() {
    if (size_.stubs == 0)
      return;
    beginHelperCheck();
    for (unsigned i = 0; i < plan_.listChanges; ++i) {
      const Time from = clockNow();
      const std::int64_t revision = testbed_.discovery().toggleDraining(i % size_.servers);
      if (!testbed_.runUntil([&] { return testbed_.stubRevision() >= revision; }, kChangeTimeoutS))
        throw std::runtime_error("a change of the endpoint list did not reach all stub gateways in time");
      raiseTo(Figure::changeMs, inSeconds(testbed_.stubChangedAt() - from) * kMsPerSecond);
    }
    if (plan_.listChanges > 0)
      endHelperCheck("list changes");
  }

  void measureOutages() {
    if (size_.stubs == 0 || plan_.outageS <= 0)
      return;
    const Recovery resumed = measureOutage(false);
    result_[Figure::resumeMs] = resumed.ms;
    result_[Figure::resumeKb] = resumed.kilobytes;
    const Recovery relisted = measureOutage(true);
    result_[Figure::relistMs] = relisted.ms;
    result_[Figure::relistKb] = relisted.kilobytes;
  }
  struct Recovery {
    double ms = 0, kilobytes = 0;
  };
  // Suspends discovery, as a network partition between regions does, and measures how long all stub gateways
  // need to catch up after it resumes. With `revisionsLost` they have to fetch the whole list.
  Recovery measureOutage(bool revisionsLost) {
    StubDiscovery& discovery = testbed_.discovery();
    discovery.suspend();
    testbed_.runFor(plan_.outageS);
    const std::int64_t revision = discovery.toggleDraining(0);
    const std::uint64_t lists = testbed_.stubWholeLists();
    const auto& counts = discovery.counts(testbed_.stubDiscoveryAddress());
    const std::uint64_t sent = counts.bytesOut;
    const Time from = clockNow();
    discovery.resume(revisionsLost);
    const auto caughtUp = [&] {
      return revisionsLost ? testbed_.stubWholeLists() > lists : testbed_.stubRevision() >= revision;
    };
    if (!testbed_.runUntil(caughtUp, kOutageTimeoutS))
      throw std::runtime_error("the stub gateways did not catch up after the outage of discovery");
    return {inSeconds(testbed_.stubChangedAt() - from) * kMsPerSecond,
            static_cast<double>(counts.bytesOut - sent) / kBytesPerKilobyte};
  }

  const ScalePlan& plan_;
  ScaleSize size_;
  ScaleTestbed testbed_;
  StepResult result_;
  double idleShare_ = 0;
  Time helperCheckFrom_{};
  std::vector<std::pair<std::string, ProcessUsage>> helperUsageBefore_;
};

}  // namespace

StepResult measureStep(const ScalePlan& plan, const ScaleSize& size) {
  return Step(plan, size).measure();
}

}  // namespace hollyrun::lab
