// Stub gateways: many to a process, each with the gateway's own settings, discovery and membership code on
// sockets of its own, and without clients or servers. The decision module holds no servers here; it only says
// when a watch that broke is asked for anew, as it does in a gateway.
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
  std::size_t first = 0, count = 1;  ///< numbers of this process's gateways
  std::string config;                ///< the file that all of them read
  std::string discovery;             ///< address:port
  std::string seeds;                 ///< of membership, with commas between; empty: they are no members
};

class StubGateway {
 public:
  /// `changed` is called whenever it has taken a list.
  StubGateway(boost::asio::io_context& io, const StubGatewayPlan& plan, std::size_t number,
              std::function<void()> changed);
  ~StubGateway();
  StubGateway(const StubGateway&) = delete;
  StubGateway& operator=(const StubGateway&) = delete;

  std::int64_t revision() const { return revision_; }  ///< of the list that it holds, -1: none yet
  std::uint64_t wholeLists() const { return wholeLists_; }
  /// Members that it counts, itself included; 0 if it is no member.
  std::uint32_t membersSeen() const { return fleet_ ? fleet_->quotaHolders() : 0; }

 private:
  static gateway::Config configOf(const StubGatewayPlan& plan, std::size_t number);
  static balancer::Time now();

  void told(const gateway::EndpointList& list);
  void unavailable();
  void divide();
  void carryOut();
  void wakeAt(balancer::Time at);

  gateway::Config config_;
  gateway::Log log_;
  balancer::Balancer balancer_;
  gateway::Discovery discovery_;
  boost::asio::steady_timer waker_;
  balancer::Time wakeAt_{};  // zero: no wake is asked for
  std::function<void()> changed_;
  std::int64_t revision_ = -1;
  std::uint64_t wholeLists_ = 0;
  std::optional<gateway::MembershipTransport> fleet_;
};

/// Runs them until the process is ended, and reports on its output. Returns an exit code.
int runStubGateways(const StubGatewayPlan& plan);

}  // namespace hollyrun::lab
