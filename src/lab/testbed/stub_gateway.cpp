#include "lab/testbed/stub_gateway.hpp"

#include <algorithm>
#include <boost/asio/signal_set.hpp>
#include <chrono>
#include <csignal>
#include <iostream>
#include <memory>
#include <utility>
#include <vector>

#include "lab/testbed/lag_meter.hpp"
#include "lab/testbed/platform.hpp"
#include "lab/testbed/stub_report.hpp"

namespace hollyrun::lab {

namespace asio = boost::asio;
using balancer::ActionKind;
using balancer::EndpointListKind;
using boost::system::error_code;
using gateway::Config;
using gateway::EndpointList;
using Clock = std::chrono::steady_clock;

namespace {

constexpr auto kReportEvery = std::chrono::seconds(1);
constexpr const char* kNoClients = "127.0.0.1:1";  // the settings need an address; nobody listens there
constexpr const char* kAnyPort = "127.0.0.1:0";

}  // namespace

StubGateway::StubGateway(asio::io_context& io, const StubGatewayPlan& plan, std::size_t number,
                         std::function<void()> changed)
    : config_(configOf(plan, number)),
      log_(config_.name, config_.log),
      balancer_(config_.balancer, now()),
      discovery_(io, config_.discovery,
                 {[this](const EndpointList& list) { told(list); }, [this] { unavailable(); }}, {}),
      waker_(io),
      changed_(std::move(changed)) {
  if (config_.membership)
    fleet_.emplace(io, config_, log_, [this] { divide(); });
  balancer_.onEndpoints(now(), EndpointListKind::cached, {});
  carryOut();
}

StubGateway::~StubGateway() {
  discovery_.stop();
}

Config StubGateway::configOf(const StubGatewayPlan& plan, std::size_t number) {
  const std::string name = "stub-" + std::to_string(number);
  const auto environment = [&](const char* variable) -> const char* {
    const std::string_view asked = variable;
    if (asked == "GW_CONFIG")
      return plan.config.c_str();
    if (asked == "GW_NAME")
      return name.c_str();
    if (asked == "GW_LISTEN")
      return kNoClients;
    if (asked == "GW_DISCOVERY")
      return plan.discovery.c_str();
    if (plan.seeds.empty())
      return nullptr;
    if (asked == "GW_MEMBERSHIP")
      return kAnyPort;
    if (asked == "GW_SEEDS")
      return plan.seeds.c_str();
    return nullptr;
  };
  Config config = gateway::readConfig(environment);
  config.balancer.seed += number;  // or all would ask discovery anew at the same moment
  config.balancer.replicaIndex = static_cast<std::uint32_t>(number);
  config.log.level = gateway::LogLevel::off;
  return config;
}

balancer::Time StubGateway::now() {
  return clockNow();
}

void StubGateway::told(const EndpointList& list) {
  revision_ = list.version;
  if (list.snapshot)
    ++wholeLists_;
  balancer_.onEndpoints(now(), list.snapshot ? EndpointListKind::snapshot : EndpointListKind::delta, {});
  carryOut();
  changed_();
}

void StubGateway::unavailable() {
  balancer_.onEndpoints(now(), EndpointListKind::unavailable, {});
  carryOut();
}

// As in a gateway: what the whole fleet may do is divided by its members.
void StubGateway::divide() {
  const std::uint32_t size = std::max(config_.balancer.replicaCount, fleet_ ? fleet_->quotaHolders() : 1);
  if (size == config_.balancer.replicaCount)
    return;
  config_.balancer.replicaCount = size;
  balancer_.onSettings(now(), config_.balancer);
  carryOut();
}

void StubGateway::carryOut() {
  for (const balancer::Action& action : std::exchange(balancer_.actions(), {})) {
    if (action.kind == ActionKind::pollDiscovery)
      discovery_.watch();
    else if (action.kind == ActionKind::wake)
      wakeAt(action.wakeAt);
  }
}

// Only the earliest counts: the module asks anew at each event.
void StubGateway::wakeAt(balancer::Time at) {
  if (wakeAt_ > balancer::Time{} && wakeAt_ <= at)
    return;
  wakeAt_ = at;
  waker_.expires_after(at - now());
  waker_.async_wait([this](error_code ec) {
    if (ec)
      return;
    wakeAt_ = balancer::Time{};
    balancer_.onWake(now());
    carryOut();
  });
}

namespace {

// The gateways of one process, and what they have come to together.
class StubGateways {
 public:
  StubGateways(asio::io_context& io, const StubGatewayPlan& plan) : lag_(io), timer_(io) {
    for (std::size_t i = 0; i < plan.count; ++i)
      gateways_.push_back(std::make_unique<StubGateway>(io, plan, plan.first + i, [this] { changed(); }));
    reportRegularly();
  }

 private:
  void changed() {
    if (gateways_.empty())
      return;
    StubReport now = last_;
    sum(now);
    if (now.revision == last_.revision && now.wholeLists == last_.wholeLists)
      return;
    now.changedAtNs = std::chrono::nanoseconds(Clock::now().time_since_epoch()).count();
    say(now);
  }
  void sum(StubReport& into) const {
    into.revision = gateways_.front()->revision();
    into.wholeLists = gateways_.front()->wholeLists();
    into.membersSeen = gateways_.front()->membersSeen();
    for (const auto& gateway : gateways_) {
      into.revision = std::min(into.revision, gateway->revision());
      into.wholeLists = std::min(into.wholeLists, gateway->wholeLists());
      into.membersSeen = std::min(into.membersSeen, gateway->membersSeen());
    }
  }
  void say(const StubReport& report) {
    last_ = report;
    std::cout << textOf(report) << std::endl;
  }
  void reportRegularly() {
    StubReport now = last_;
    sum(now);
    now.lagMs = lag_.maxLagMs();
    lag_.reset();
    say(now);
    timer_.expires_after(kReportEvery);
    timer_.async_wait([this](error_code ec) {
      if (!ec)
        reportRegularly();
    });
  }

  std::vector<std::unique_ptr<StubGateway>> gateways_;
  LagMeter lag_;
  asio::steady_timer timer_;
  StubReport last_;
};

}  // namespace

int runStubGateways(const StubGatewayPlan& plan) {
  asio::io_context io(1);
  asio::signal_set stops(io, SIGTERM, SIGINT);
  stops.async_wait([&io](error_code, int) { io.stop(); });
  StubGateways gateways(io, plan);
  io.run();
  return 0;
}

}  // namespace hollyrun::lab
