/// One gateway: the parts that serve requests, and the wiring between them. The parts give the balancer the
/// events of the sockets and carry out its actions.
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
#include "gateway/downstream_server.hpp"
#include "gateway/endpoint_table.hpp"
#include "gateway/gateway_state.hpp"
#include "gateway/log.hpp"
#include "gateway/management.hpp"
#include "gateway/membership_transport.hpp"
#include "gateway/process_lifecycle.hpp"
#include "gateway/request_completion.hpp"
#include "gateway/request_intake.hpp"
#include "gateway/upstream_pool.hpp"

namespace hollyrun::gateway {

class Gateway : private DownstreamObserver, private UpstreamObserver {
 public:
  /// Other than the defaults in tests only.
  struct Options {
    DownstreamServer::Limits clients;
    Discovery::Timeouts discovery;
    /// A broken rule ends the process, so that a test or a soak finds it; in service it is counted and
    /// logged.
    bool abortOnViolation = false;
  };

  /// Polls discovery at once. Listens at once, too, unless another process serves the address: then as soon
  /// as it can take over. Throws boost::system::system_error if it can't listen. The log has to outlive it.
  Gateway(boost::asio::io_context& io, const Config& config, Options options, Log& log);
  ~Gateway() override;
  Gateway(const Gateway&) = delete;
  Gateway& operator=(const Gateway&) = delete;

  boost::asio::ip::tcp::endpoint listening() const { return downstream_.localEndpoint(); }
  /// Where the management endpoint listens; none if it is off.
  std::optional<boost::asio::ip::tcp::endpoint> management() const;
  /// Null if membership is off.
  const MembershipTransport* fleet() const { return fleet_ ? &*fleet_ : nullptr; }

  /// New requests are bound to the new settings. If discovery has a new address, the current endpoint list
  /// stays in effect until that one answers.
  void reload(const Config& config);
  /// Counts a reload whose configuration was rejected.
  void reloadFailed() { state_.statistics.recordReload(Statistics::ReloadResult::rejected); }
  /// Graceful shutdown: finishes all accepted requests, closes all connections, then calls `onDrained`.
  void shutDown(std::function<void()> onDrained);

 private:
  // DownstreamObserver
  void onRequest(DownstreamRequest request) override;
  void onClientDisconnected(DownstreamRequestId id) override;
  void onUploadComplete(DownstreamRequestId id) override;
  void onLocalRejection(const std::string& target, RejectionKind kind) override;
  void onClosedUnanswered(DownstreamRequestId id, CloseReason reason) override;
  void onDrained() override;
  // UpstreamObserver
  void onAttemptComplete(AttemptCompletion completion) override;
  AdmissionResult admit(const AttemptStart& start) override;

  Discovery::Callbacks discoveryCallbacks();
  Management::Callbacks managementCallbacks();

  void applyEndpointList(const EndpointList& list, balancer::EndpointListKind kind);
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
  UpstreamPool upstream_;
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
  // Declared last, so that it is destroyed first: until then it may report requests to the other parts.
  DownstreamServer downstream_;
};

}  // namespace hollyrun::gateway
