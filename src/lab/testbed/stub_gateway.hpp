// Stub gateways: many in one process, without clients or servers. Each runs the gateway's own configuration,
// discovery and membership code on sockets of its own. The decision module gets no endpoints here; it only
// schedules the retries of a failed watch, as in a gateway.
#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <cstdint>
#include <functional>
#include <optional>
#include <string>

#include "gateway/config.hpp"
#include "gateway/discovery.hpp"
#include "gateway/log.hpp"
#include "gateway/membership_transport.hpp"
#include "hollyrun/balancer.hpp"

namespace hollyrun::lab {

struct StubGatewayPlan {
  std::size_t first = 0, count = 1;  ///< numbers of this process's stub gateways
  std::string config;                ///< path of their common configuration
  std::string discovery;             ///< address:port
  std::string seeds;                 ///< of membership, separated by commas; empty: no membership
};

class StubGateway {
 public:
  /// Calls `onChanged` after each update of the endpoint list.
  StubGateway(boost::asio::io_context& io, const StubGatewayPlan& plan, std::size_t number,
              std::function<void()> onChanged);
  ~StubGateway();
  StubGateway(const StubGateway&) = delete;
  StubGateway& operator=(const StubGateway&) = delete;

  std::int64_t revision() const { return revision_; }  ///< of the endpoint list, -1 before the first
  std::uint64_t wholeLists() const { return wholeLists_; }
  /// Returns the number of members that it counts, including itself, or 0 without membership.
  std::uint32_t membersSeen() const { return membership_ ? membership_->quotaHolders() : 0; }

 private:
  static gateway::Config configOf(const StubGatewayPlan& plan, std::size_t number);
  static balancer::Time now();

  void onEndpointList(const gateway::EndpointList& list);
  void updateReplicaCount();
  void executeActions();
  void scheduleWake(balancer::Time at);

  gateway::Config config_;
  gateway::Log log_;
  balancer::Balancer balancer_;
  gateway::Discovery discovery_;
  boost::asio::steady_timer wakeTimer_;
  balancer::Time wakeAt_{};  // zero: no wake is scheduled
  std::function<void()> onChanged_;
  std::int64_t revision_ = -1;
  std::uint64_t wholeLists_ = 0;
  std::optional<gateway::MembershipTransport> membership_;
};

/// Runs stub gateways until SIGTERM or SIGINT and writes reports to standard output. Returns an exit code.
int runStubGateways(const StubGatewayPlan& plan);

}  // namespace hollyrun::lab
