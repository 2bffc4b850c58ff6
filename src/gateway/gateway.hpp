/// One gateway: owns the components that serve requests and connects them. The components report socket
/// events to the balancer and execute its actions.
#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "gateway/action_executor.hpp"
#include "gateway/attempt_admission.hpp"
#include "gateway/config.hpp"
#include "gateway/discovery.hpp"
#include "gateway/discovery_monitor.hpp"
#include "gateway/downstream_server.hpp"
#include "gateway/endpoint_table.hpp"
#include "gateway/gateway_state.hpp"
#include "gateway/log.hpp"
#include "gateway/management.hpp"
#include "gateway/membership_transport.hpp"
#include "gateway/overload_manager.hpp"
#include "gateway/process_lifecycle.hpp"
#include "gateway/request_completion.hpp"
#include "gateway/request_intake.hpp"
#include "gateway/upstream_pool.hpp"

namespace hollyrun::gateway {

class Gateway : private DownstreamObserver, private UpstreamObserver {
 public:
  /// Only tests change the defaults of `clients` and `discovery`.
  struct Options {
    DownstreamServer::Limits clients;
    Discovery::Timeouts discovery;
    /// Whether a violated rule of request handling aborts the process, so that a test or a soak detects the
    /// violation. In production violations are counted and logged.
    bool abortOnViolation = false;
    /// By default the memory of the process is not observed: a test's own memory counts there, too.
    OverloadManager::Process process;
  };

  /// Starts to poll discovery at once. Starts to listen at once, or, if another process serves the address,
  /// as soon as this one can take over. Throws boost::system::system_error if it cannot listen. `log` has to
  /// outlive the gateway.
  Gateway(boost::asio::io_context& io, const Config& config, const Options& options, Log& log);
  ~Gateway() override;
  Gateway(const Gateway&) = delete;
  Gateway& operator=(const Gateway&) = delete;

  boost::asio::ip::tcp::endpoint listening() const { return downstream_.localEndpoint(); }
  /// The address at which the management endpoint listens, if it is enabled.
  std::optional<boost::asio::ip::tcp::endpoint> management() const;
  /// Null if membership is disabled.
  const MembershipTransport* fleet() const { return fleet_ ? &*fleet_ : nullptr; }

  /// Applies a new configuration. Requests in progress keep the class settings that they arrived with. If the
  /// address of discovery has changed, the current endpoint list stays in effect until the new server
  /// responds.
  void reload(const Config& config);
  /// Counts a reload whose configuration was rejected.
  void reloadFailed() { state_.statistics.recordReload(Statistics::ReloadResult::rejected); }
  /// Graceful shutdown: finishes all accepted requests, closes all connections, then calls `onDrained`.
  void shutDown(std::function<void()> onDrained);

 private:
  // DownstreamObserver
  void onRequest(DownstreamRequest request) override;
  void onClientDisconnected(DownstreamRequestId id) override;
  void onUploadComplete(DownstreamRequestId id, std::chrono::steady_clock::time_point lastByteAt) override;
  void onUploadDelayed(DownstreamRequestId id, std::chrono::steady_clock::time_point lastByteAt) override;
  void onLocalRejection(const std::string& target, RejectionKind kind) override;
  void onClosedUnanswered(DownstreamRequestId id, CloseReason reason) override;
  void onClosed(CloseReason reason) override;
  void onDrained() override;
  // UpstreamObserver
  void onAttemptComplete(AttemptCompletion completion) override;
  AdmissionResult admit(const AttemptStart& start) override;
  void onResponseCut(const ResponseCut& cut) override;

  Discovery::Callbacks discoveryCallbacks();
  Management::Callbacks managementCallbacks();

  void shareExecutedRequests(const Config& config);
  void applyEndpointList(const EndpointList& list, balancer::EndpointListKind kind,
                         balancer::Time changedSince);
  void applyCachedEndpoints(const Config& config);
  void applySettings(const balancer::Settings& settings);
  void joinFleet(const Config& config);
  void repartitionFleetLimits();
  bool isAcceptingClients() const;
  Statistics::Gauges gauges() const;
  std::vector<prometheus::MetricFamily> collectMetrics() const;

  boost::asio::io_context& io_;
  Log& log_;
  GatewayState state_;
  std::shared_ptr<MemoryBudget> memory_;
  OverloadManager overload_;
  UpstreamPool upstream_;
  DiscoveryMonitor discoveryMonitor_;
  EndpointTable endpoints_;
  Discovery discovery_;
  AttemptAdmission admission_;
  RequestCompletion completion_;
  ActionExecutor actions_;
  RequestIntake intake_;
  ProcessLifecycle process_;
  std::uint32_t configuredReplicaCount_ = 1;
  std::optional<MembershipTransport> fleet_;
  std::optional<Management> management_;
  // Declared last, so that it is destroyed first: until then it may report requests to the other components.
  DownstreamServer downstream_;
};

}  // namespace hollyrun::gateway
