// Runs the processes of one step of a scale run: real gateways, stub gateways and stub servers. An emulated
// discovery runs in the testbed's own process. The processes end with the testbed.
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

/// Thrown after SIGINT or SIGTERM.
struct ScaleInterrupted : std::runtime_error {
  ScaleInterrupted() : std::runtime_error("interrupted") {}
};

struct RealGateway {
  RealGateway(asio::io_context& io, std::size_t gatewayNumber);

  std::size_t number;
  std::string name;
  ReservedPort port, management;
  std::size_t discovery = 0;  ///< number of its address at the emulated discovery
  std::string membership;     ///< address:port; empty: without membership
  std::filesystem::path config;
  std::shared_ptr<Process> process;
  double startProcessorS = 0;  ///< processor time until it was ready
};

class ScaleTestbed {
 public:
  /// Throws std::runtime_error if a process does not start.
  ScaleTestbed(const ScalePlan& plan, const ScaleSize& size);
  ~ScaleTestbed();
  ScaleTestbed(const ScaleTestbed&) = delete;
  ScaleTestbed& operator=(const ScaleTestbed&) = delete;

  /// Runs the event loop until the condition is true. Returns false after the timeout. Throws
  /// ScaleInterrupted, and std::runtime_error if a process has ended.
  bool runUntil(const std::function<bool()>& condition, double timeoutS);
  /// Runs the event loop for a time. Also throws std::runtime_error if the processes exceed the bound on
  /// memory.
  void runFor(double durationS);
  /// Sends a GET request to a gateway's management address and returns the body. Throws std::runtime_error if
  /// the status is not 200.
  std::string get(const RealGateway& gateway, const std::string& target);

  const std::vector<std::unique_ptr<RealGateway>>& gateways() const { return gateways_; }
  StubDiscovery& discovery() { return *discovery_; }
  /// Returns the number of the discovery address that the stub gateways share.
  std::size_t stubDiscoveryAddress() const { return stubDiscoveryAddress_; }
  tcp::endpoint serverEndpoint(std::size_t number) const;

  /// Runs a load on the targets to its end and returns it with its results.
  const Load& runLoad(std::vector<Target> targets, double durationS);
  /// Starts or stops changes of the endpoint list at the size's rate.
  void setRegularChanges(bool on);

  /// Writes a configuration that differs in a single value, to be applied at a SIGHUP.
  void writeChangedConfig(const RealGateway& gateway, unsigned version);

  // What the stub gateways have reported, over all their processes.
  std::int64_t stubRevision() const;      ///< lowest revision of the endpoint list
  std::uint64_t stubWholeLists() const;   ///< lowest number of whole lists received
  std::uint32_t stubMembersSeen() const;  ///< lowest number of members
  Time stubChangedAt() const;             ///< latest time of a list change, on the clock of clockNow()

  /// Returns the usage of the testbed and of its helper processes, to detect that they are overloaded.
  std::vector<std::pair<std::string, ProcessUsage>> helperUsage() const;
  /// Returns the longest delay of an event loop of the testbed or a helper process since resetLag().
  double lagMs() const;
  void resetLag();

 private:
  struct Helper {
    std::shared_ptr<Process> process;
    StubReport report;
    double lagMs = 0;  // maximum since the last reset
  };

  void startServers();
  void startGateways();
  void startGateway(RealGateway& gateway, const std::string& seeds);
  void startStubGateways(const std::string& seeds);
  Helper& startHelper(const std::string& name, std::vector<std::string> arguments);
  std::string seeds() const;
  struct OpsResponse {
    int status = -1;  // -1: pending, 0: no response
    std::string body;
  };
  OpsResponse requestOps(const RealGateway& gateway, const std::string& target);
  std::string configOf(const RealGateway& gateway, const std::string& seeds, unsigned version) const;
  std::string stubConfig() const;
  std::uint32_t configuredGateways() const;
  void changeNextServer();
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
  asio::steady_timer changeTimer_;
  std::filesystem::path dir_;
  std::vector<std::shared_ptr<Process>> processes_;
  std::vector<std::unique_ptr<Helper>> stubs_;
  std::unique_ptr<Helper> servers_;
  std::unique_ptr<StubDiscovery> discovery_;
  std::size_t stubDiscoveryAddress_ = 0, changesMade_ = 0;
  std::vector<std::unique_ptr<RealGateway>> gateways_;
  std::vector<std::unique_ptr<Load>> loads_;  // kept, because their connections stay in the event loop
  std::uint64_t loadSeed_;
  std::string failure_;
  bool interrupted_ = false;
};

}  // namespace hollyrun::lab
