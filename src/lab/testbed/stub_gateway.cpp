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
using gateway::EndpointUpdate;
using Clock = std::chrono::steady_clock;

namespace {

constexpr auto kReportInterval = std::chrono::seconds(1);
constexpr const char* kUnusedAddress = "127.0.0.1:1";  // required by the configuration; nothing listens there
constexpr const char* kAnyPort = "127.0.0.1:0";

}  // namespace

StubGateway::StubGateway(asio::io_context& io, const StubGatewayPlan& plan, std::size_t number,
                         std::function<void()> onChanged)
    : config_(configOf(plan, number)),
      log_(config_.name, config_.log),
      balancer_(config_.balancer, now()),
      discovery_(io, config_.discovery,
                 {[this](const EndpointUpdate& update) { onEndpointList(update.list); }}, {},
                 config_.balancer.seed),
      wakeTimer_(io),
      onChanged_(std::move(onChanged)) {
  if (config_.membership)
    membership_.emplace(io, config_, log_, [this] { updateReplicaCount(); });
  balancer_.onEndpoints(now(), EndpointListKind::cached, {});
  executeActions();
}

StubGateway::~StubGateway() {
  discovery_.stop();
}

Config StubGateway::configOf(const StubGatewayPlan& plan, std::size_t number) {
  const std::string name = "stub-" + std::to_string(number);
  const auto environment = [&](const char* variable) -> const char* {
    const std::string_view requested = variable;
    if (requested == "GW_CONFIG")
      return plan.config.c_str();
    if (requested == "GW_NAME")
      return name.c_str();
    if (requested == "GW_LISTEN")
      return kUnusedAddress;
    if (requested == "GW_DISCOVERY")
      return plan.discovery.c_str();
    if (plan.seeds.empty())
      return nullptr;
    if (requested == "GW_MEMBERSHIP")
      return kAnyPort;
    if (requested == "GW_SEEDS")
      return plan.seeds.c_str();
    return nullptr;
  };
  Config config = gateway::readConfig(environment);
  // With equal seeds all stub gateways would retry discovery at the same moment.
  config.balancer.seed += number;
  config.balancer.replicaIndex = static_cast<std::uint32_t>(number);
  config.log.level = gateway::LogLevel::off;
  return config;
}

balancer::Time StubGateway::now() {
  return clockNow();
}

void StubGateway::onEndpointList(const EndpointList& list) {
  revision_ = list.version;
  if (list.snapshot)
    ++wholeLists_;
  balancer_.onEndpoints(now(), list.snapshot ? EndpointListKind::snapshot : EndpointListKind::delta, {});
  executeActions();
  onChanged_();
}

// Divides the limits of the whole fleet by its number of members, as a gateway does.
void StubGateway::updateReplicaCount() {
  const std::uint32_t size =
      std::max(config_.balancer.replicaCount, membership_ ? membership_->quotaHolders() : 1);
  if (size == config_.balancer.replicaCount)
    return;
  config_.balancer.replicaCount = size;
  balancer_.onSettings(now(), config_.balancer);
  executeActions();
}

void StubGateway::executeActions() {
  for (const balancer::Action& action : std::exchange(balancer_.actions(), {})) {
    if (action.kind == ActionKind::pollDiscovery)
      discovery_.watch();
    else if (action.kind == ActionKind::wake)
      scheduleWake(action.wakeAt);
  }
}

// Keeps the earliest wake only: the decision module requests the next one at each event.
void StubGateway::scheduleWake(balancer::Time at) {
  if (wakeAt_ > balancer::Time{} && wakeAt_ <= at)
    return;
  wakeAt_ = at;
  wakeTimer_.expires_after(at - now());
  wakeTimer_.async_wait([this](error_code ec) {
    if (ec)
      return;
    wakeAt_ = balancer::Time{};
    balancer_.onWake(now());
    executeActions();
  });
}

namespace {

// The stub gateways of one process and their common report.
class StubGateways {
 public:
  StubGateways(asio::io_context& io, const StubGatewayPlan& plan) : lag_(io), timer_(io) {
    for (std::size_t i = 0; i < plan.count; ++i)
      gateways_.push_back(
          std::make_unique<StubGateway>(io, plan, plan.first + i, [this] { reportChange(); }));
    reportRegularly();
  }

 private:
  void reportChange() {
    if (gateways_.empty())
      return;
    StubReport report = last_;
    fillMinimums(report);
    if (report.revision == last_.revision && report.wholeLists == last_.wholeLists)
      return;
    report.changedAtNs = std::chrono::nanoseconds(Clock::now().time_since_epoch()).count();
    write(report);
  }
  void fillMinimums(StubReport& report) const {
    report.revision = gateways_.front()->revision();
    report.wholeLists = gateways_.front()->wholeLists();
    report.membersSeen = gateways_.front()->membersSeen();
    for (const auto& gateway : gateways_) {
      report.revision = std::min(report.revision, gateway->revision());
      report.wholeLists = std::min(report.wholeLists, gateway->wholeLists());
      report.membersSeen = std::min(report.membersSeen, gateway->membersSeen());
    }
  }
  void write(const StubReport& report) {
    last_ = report;
    std::cout << textOf(report) << std::endl;
  }
  void reportRegularly() {
    StubReport report = last_;
    fillMinimums(report);
    report.lagMs = lag_.maxLagMs();
    lag_.reset();
    write(report);
    timer_.expires_after(kReportInterval);
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
