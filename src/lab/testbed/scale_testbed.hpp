// The processes of one step of a scale run: real gateways, stub gateways and stub servers, with an
// emulated discovery in the testbed itself. All of them end with it.
#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/signal_set.hpp>
#include <filesystem>
#include <functional>
#include <memory>
#include <optional>
#include <stdexcept>
#include <string>
#include <utility>
#include <vector>

#include "lab/testbed/lag_meter.hpp"
#include "lab/testbed/load.hpp"
#include "lab/testbed/process.hpp"
#include "lab/testbed/process_usage.hpp"
#include "lab/testbed/scale_plan.hpp"
#include "lab/testbed/stub_discovery.hpp"
#include "lab/testbed/stub_report.hpp"

namespace hollyrun::lab {

/// SIGINT or SIGTERM came.
struct ScaleInterrupted : std::runtime_error {
  ScaleInterrupted() : std::runtime_error("interrupted") {}
};

struct RealGateway {
  RealGateway(asio::io_context& io, std::size_t n);

  std::size_t number;
  std::string name;
  ReservedPort port, management;
  std::size_t discovery = 0;  ///< its address at discovery
  std::string membership;     ///< address:port; empty: it is no member
  std::filesystem::path config;
  std::shared_ptr<Process> process;
  double startProcessorS = 0;  ///< until it was ready
};

class ScaleTestbed {
 public:
  /// Throws std::runtime_error if a process does not start.
  ScaleTestbed(const ScalePlan& plan, const ScaleSize& size);
  ~ScaleTestbed();
  ScaleTestbed(const ScaleTestbed&) = delete;
  ScaleTestbed& operator=(const ScaleTestbed&) = delete;

  /// Plays on until the condition holds; false if it did not in that time. Throws ScaleInterrupted, and
  /// std::runtime_error if a process ended or the memory of all is beyond the bound.
  bool playUntil(const std::function<bool()>& holds, double mostS);
  void playFor(double s);
  /// GET from a gateway's management address; throws std::runtime_error if it does not answer 200.
  std::string ask(const RealGateway& gateway, const std::string& target);

  const std::vector<std::unique_ptr<RealGateway>>& gateways() const { return gateways_; }
  StubDiscovery& discovery() { return *discovery_; }
  std::size_t stubDiscovery() const { return stubAddress_; }  ///< address of the stub gateways there
  tcp::endpoint serverEndpoint(std::size_t number) const;

  /// A load on these targets; its results once it has ended.
  const Load& play(std::vector<Target> targets, double seconds);
  /// Has changes of the list come at the size's rate from now on, or none.
  void changeRegularly(bool on);

  /// Other text with the same meaning for most, to be taken at a SIGHUP.
  void writeChangedConfig(const RealGateway& gateway, unsigned version);

  /// What all stub processes have come to.
  std::int64_t stubRevision() const;
  std::uint64_t stubSnapshots() const;
  std::uint32_t stubMembersSeen() const;
  Time stubChangedAt() const;  ///< clock of clockNow()

  /// Of the testbed and of its helper processes, to judge whether they were fast enough.
  std::vector<std::pair<std::string, ProcessUsage>> helperUsage() const;
  double lagMs() const;
  void resetLag();

 private:
  struct Helper {
    std::shared_ptr<Process> process;
    StubReport report;
    double lagMs = 0;  // the most since the last reset
  };

  void startServers();
  void startGateways();
  void startGateway(RealGateway& gateway, const std::string& seeds);
  void startStubGateways(const std::string& seeds);
  Helper& startHelper(const std::string& name, std::vector<std::string> arguments);
  std::string seeds() const;
  struct OpsAnswer {
    int status = -1;  // 0: it did not answer
    std::string body;
  };
  OpsAnswer answerOf(const RealGateway& gateway, const std::string& target);
  std::string configOf(const RealGateway& gateway, const std::string& seeds, unsigned version) const;
  std::string stubConfig() const;
  std::uint32_t configuredGateways() const;
  void changeOne();
  void watchChildren();
  void reap();
  void checkMemory() const;
  void killAll();

  const ScalePlan& plan_;
  ScaleSize size_;
  Scenario scenario_;
  DrawnDay day_;
  asio::io_context io_{1};
  asio::signal_set signals_, children_;
  LagMeter lag_;
  asio::steady_timer changes_;
  std::filesystem::path dir_;
  std::vector<std::shared_ptr<Process>> processes_;
  std::vector<std::unique_ptr<Helper>> stubs_;
  std::unique_ptr<Helper> servers_;
  std::unique_ptr<StubDiscovery> discovery_;
  std::size_t stubAddress_ = 0, changed_ = 0;
  std::vector<std::unique_ptr<RealGateway>> gateways_;
  std::vector<std::unique_ptr<Load>> loads_;  // their connections stay with the loop
  std::uint64_t loadSeed_;
  std::string failure_;
  bool interrupted_ = false;
};

}  // namespace hollyrun::lab
