#include "lab/testbed/scale_step.hpp"

#include <signal.h>
#include <spdlog/fmt/fmt.h>

#include <algorithm>
#include <cstdlib>
#include <nlohmann/json.hpp>

#include "lab/testbed/scale_testbed.hpp"

namespace hollyrun::lab {
namespace {

constexpr std::size_t kDirectServers = 16;  // few enough that their connections are kept, as a pool's are
constexpr double kHangupMostS = 20, kChangeMostS = 20, kOutageMostS = 60;
constexpr double kSettleS = 2;
// Of a burst that is shorter a process may well take the whole: that time is what is measured.
constexpr double kShareOverS = 1;
constexpr int kAsksBefore = 5;  // of the statistics, for what one of them costs
constexpr double kMs = 1000, kUs = 1e6, kPercent = 100, kKilobyte = 1000;

// What the real gateways have used, as a mean of them.
struct GatewayCounts {
  double processorS = 0, residentMb = 0, discoveryBytes = 0, membershipBytes = 0;
  Time at{};
};

class Step {
 public:
  Step(const ScalePlan& plan, const ScaleSize& size) : plan_(plan), size_(size), testbed_(plan, size) {}

  StepResult measure() {
    waitForMembers();
    measureStart();
    testbed_.changeRegularly(true);
    testbed_.play(gatewayTargets(), std::max(plan_.warmS, 0.1));
    measureIdle();
    measureLoad();
    testbed_.changeRegularly(false);
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

  GatewayCounts counts() {
    GatewayCounts sum;
    const double share = 1 / static_cast<double>(testbed_.gateways().size());
    for (const auto& gateway : testbed_.gateways()) {
      const auto& discovery = testbed_.discovery().counts(gateway->discovery);
      sum.discoveryBytes += share * static_cast<double>(discovery.bytesIn + discovery.bytesOut);
      sum.membershipBytes += share * membershipBytes(*gateway);
    }
    for (const auto& gateway : testbed_.gateways()) {  // what was asked above is not to be counted within
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
    const auto view = nlohmann::json::parse(testbed_.ask(gateway, "/ops/fleet"));
    const auto& counters = view.at("counters");
    return counters.at("bytes_in").get<double>() + counters.at("bytes_out").get<double>();
  }
  double processorSeconds() const {
    double sum = 0;
    for (const auto& gateway : testbed_.gateways())
      sum += usageOf(gateway->process->pid).processorS;
    return sum / static_cast<double>(testbed_.gateways().size());
  }

  // --- Whether this machine kept up ---

  void beginWatch() {
    testbed_.resetLag();
    watchFrom_ = clockNow();
    helpers_ = testbed_.helperUsage();
  }
  void endWatch(const char* window) {
    const double passed = inSeconds(clockNow() - watchFrom_);
    const auto now = testbed_.helperUsage();
    for (std::size_t i = 0; i < now.size(); ++i) {
      const double share = (now[i].second.processorS - helpers_[i].second.processorS) / passed;
      if (passed < kShareOverS)
        continue;
      raise(Figure::busiestShare, share);
      if (share > plan_.shareMost)
        voidFor(fmt::format("{}: {} took {:.2f} of a core", window, now[i].first, share));
    }
    raise(Figure::lagMs, testbed_.lagMs());
    if (testbed_.lagMs() > plan_.lagMostMs)
      voidFor(fmt::format("{}: the testbed was {:.0f} ms late", window, testbed_.lagMs()));
  }
  void raise(Figure figure, double value) { result_[figure] = std::max(result_[figure].value_or(0), value); }
  void voidFor(const std::string& why) {
    result_.voidReason += (result_.voidReason.empty() ? "" : "; ") + why;
  }

  // --- Measures ---

  void waitForMembers() {
    if (plan_.membershipPeriodMs <= 0 || size_.stubs == 0)
      return testbed_.playFor(kSettleS);
    const auto all = static_cast<std::uint32_t>(size_.gateways + size_.stubs);
    const Time from = clockNow();
    if (testbed_.playUntil([&] { return testbed_.stubMembersSeen() >= all; }, plan_.joinTimeoutS))
      result_[Figure::joinMs] = inSeconds(clockNow() - from) * kMs;
    testbed_.playFor(kSettleS);
  }

  void measureStart() {
    double sum = 0;
    for (const auto& gateway : testbed_.gateways())
      sum += gateway->startProcessorS;
    result_[Figure::startMs] = sum / static_cast<double>(testbed_.gateways().size()) * kMs;
  }

  void measureIdle() {
    if (plan_.idleS <= 0)
      return;
    const GatewayCounts before = counts();
    testbed_.playFor(plan_.idleS);
    const double processorS = processorSeconds() - before.processorS;
    const double passed = inSeconds(clockNow() - before.at);
    const GatewayCounts after = counts();
    idleShare_ = processorS / passed;
    result_[Figure::idlePercent] = idleShare_ * kPercent;
    result_[Figure::discoveryBytes] = (after.discoveryBytes - before.discoveryBytes) / passed;
    if (plan_.membershipPeriodMs > 0)
      result_[Figure::membershipBytes] = (after.membershipBytes - before.membershipBytes) / passed;
  }

  void measureLoad() {
    if (plan_.loadS <= 0 || size_.rate <= 0)
      return;
    beginWatch();
    const double before = processorSeconds();
    const Time from = clockNow();
    const Load& through = testbed_.play(gatewayTargets(), plan_.loadS);
    const double used = processorSeconds() - before, passed = inSeconds(clockNow() - from);
    endWatch("the load");
    const Result r = through.result();
    const double requests = static_cast<double>(r.requests) / static_cast<double>(size_.gateways);
    result_[Figure::requestUs] = (used - idleShare_ * passed) / requests * kUs;
    result_[Figure::unservedPercent] = (r.rejectedShare + r.failedShare) * kPercent;
    result_[Figure::residentMb] = counts().residentMb;
    beginWatch();
    const Load& direct = testbed_.play(serverTargets(), plan_.loadS);
    endWatch("the direct load");
    latency(through.latencies(), direct.latencies(), 0.5, Figure::directP50, Figure::addedP50);
    latency(through.latencies(), direct.latencies(), 0.99, Figure::directP99, Figure::addedP99);
    latency(through.latencies(), direct.latencies(), 0.999, Figure::directP999, Figure::addedP999);
  }
  void latency(const Latencies& through, const Latencies& direct, double part, Figure of, Figure added) {
    result_[of] = direct.percentile(part);
    result_[added] = through.percentile(part) - direct.percentile(part);
  }

  // --- SIGHUP ---

  void measureHangups() {
    double processorS = 0, stallMs = 0;
    for (unsigned i = 0; i < plan_.hangups; ++i) {
      const Hangup one = hangUp(i + 1);
      processorS += one.processorS / plan_.hangups;
      stallMs = std::max(stallMs, one.stallMs);
    }
    if (plan_.hangups == 0)
      return;
    result_[Figure::hangupMs] = processorS * kMs;
    result_[Figure::stallMs] = stallMs;
  }
  struct Hangup {
    double processorS = 0, stallMs = 0;
  };
  struct Asked {
    int reloads = 0;
    double ms = 0;
  };
  // The statistics: how many SIGHUPs it has taken, and how long it took to say so.
  Asked askStatistics(const RealGateway& gateway) {
    const Time from = clockNow();
    const std::string body = testbed_.ask(gateway, "/ops/stats");
    const double ms = inSeconds(clockNow() - from) * kMs;
    const std::string name = ".reconfig_ok=";
    const std::size_t at = body.find(name);
    if (at == std::string::npos)
      throw std::runtime_error(gateway.name + " counts no SIGHUP");
    return {std::atoi(body.c_str() + at + name.size()), ms};
  }
  // One that it is asked again and again until it has taken the settings; what asking costs is taken off.
  Hangup hangUp(unsigned version) {
    const RealGateway& gateway = *testbed_.gateways().front();
    testbed_.writeChangedConfig(gateway, version);
    const auto used = [&] { return usageOf(gateway.process->pid).processorS; };
    const double before = used();
    Asked last;
    double usualMs = 1e9;
    for (int i = 0; i < kAsksBefore; ++i) {
      last = askStatistics(gateway);
      usualMs = std::min(usualMs, last.ms);
    }
    const double askS = (used() - before) / kAsksBefore, from = used();
    const int reloads = last.reloads;
    const Time most = clockNow() + seconds(kHangupMostS);
    gateway.process->send(SIGHUP);
    double longest = 0;
    int asks = 0;
    while (last.reloads == reloads) {
      if (clockNow() > most)
        throw std::runtime_error(gateway.name + " does not take a SIGHUP");
      last = askStatistics(gateway);
      longest = std::max(longest, last.ms);
      ++asks;
    }
    return {std::max(0.0, used() - from - asks * askS), std::max(0.0, longest - usualMs)};
  }

  // --- The list at the stub gateways ---

  void measureListChanges() {
    if (size_.stubs == 0)
      return;
    beginWatch();
    for (unsigned i = 0; i < plan_.listChanges; ++i) {
      const Time from = clockNow();
      const std::int64_t revision = testbed_.discovery().change(i % size_.servers);
      if (!testbed_.playUntil([&] { return testbed_.stubRevision() >= revision; }, kChangeMostS))
        throw std::runtime_error("a change of the list does not reach all stub gateways");
      raise(Figure::changeMs, inSeconds(testbed_.stubChangedAt() - from) * kMs);
    }
    if (plan_.listChanges > 0)
      endWatch("list changes");
  }

  void measureOutages() {
    if (size_.stubs == 0 || plan_.outageS <= 0)
      return;
    const Return cut = outage(false);
    result_[Figure::resumeMs] = cut.ms;
    result_[Figure::resumeKb] = cut.kilobytes;
    const Return anew = outage(true);
    result_[Figure::relistMs] = anew.ms;
    result_[Figure::relistKb] = anew.kilobytes;
  }
  struct Return {
    double ms = 0, kilobytes = 0;
  };
  // Discovery is away for a while, as with regions apart, and all ask it anew once it is back.
  Return outage(bool anew) {
    StubDiscovery& discovery = testbed_.discovery();
    discovery.suspend();
    testbed_.playFor(plan_.outageS);
    const std::int64_t revision = discovery.change(0);
    const std::uint64_t lists = testbed_.stubSnapshots();
    const auto& counts = discovery.counts(testbed_.stubDiscovery());
    const std::uint64_t sent = counts.bytesOut;
    const Time from = clockNow();
    discovery.resume(anew);
    const auto back = [&] {
      return anew ? testbed_.stubSnapshots() > lists : testbed_.stubRevision() >= revision;
    };
    if (!testbed_.playUntil(back, kOutageMostS))
      throw std::runtime_error("the stub gateways do not watch again");
    return {inSeconds(testbed_.stubChangedAt() - from) * kMs,
            static_cast<double>(counts.bytesOut - sent) / kKilobyte};
  }

  const ScalePlan& plan_;
  ScaleSize size_;
  ScaleTestbed testbed_;
  StepResult result_;
  double idleShare_ = 0;
  Time watchFrom_{};
  std::vector<std::pair<std::string, ProcessUsage>> helpers_;
};

}  // namespace

StepResult measureStep(const ScalePlan& plan, const ScaleSize& size) {
  return Step(plan, size).measure();
}

}  // namespace hollyrun::lab
