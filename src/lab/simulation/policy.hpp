// The decision maker of a simulated gateway: the decision module itself, or a baseline policy to compare it
// with.
#pragma once

#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "hollyrun/balancer.hpp"

namespace hollyrun::lab {

/// Makes the decisions of one gateway. The interface and its meaning are those of balancer::Balancer.
class Policy {
 public:
  virtual ~Policy() = default;
  virtual void onSettings(balancer::Time now, const balancer::Settings& settings) = 0;
  virtual void onEndpoints(balancer::Time now, balancer::EndpointListKind kind,
                           const std::vector<balancer::Endpoint>& entries) = 0;
  virtual void onRequest(balancer::Time now, const balancer::Request& request) = 0;
  virtual void onResult(balancer::Time now, const balancer::AttemptResult& result) = 0;
  virtual void onClientDisconnected(balancer::Time now, balancer::RequestId request) = 0;
  virtual void onWake(balancer::Time now) = 0;
  virtual std::vector<balancer::Action>& actions() = 0;
  virtual balancer::HostId findHost(std::string_view address) const = 0;
  virtual const std::string& address(balancer::HostId host) const = 0;
  virtual double sheddingThreshold() const { return 0; }  ///< 0 to 100
};

/// The true state of the servers, which only the omniscient policy uses.
class OmniscientView {
 public:
  virtual ~OmniscientView() = default;
  struct State {
    double secondsToServe = 0;  // for a request sent now; infinite if it would not be served
    double inFlightPerCore = 0;
    bool choked = false;
  };
  /// The state of a server by its true speed and backlog, for a request of this work in seconds.
  virtual State serverState(const std::string& address, double work) const = 0;
};

using PolicyFactory =
    std::function<std::unique_ptr<Policy>(const balancer::Settings&, balancer::Time, const OmniscientView&)>;

/// Accepts module, random, least, two and truth. Throws std::invalid_argument on any other name.
PolicyFactory policyNamed(const std::string& name);
const std::vector<std::string>& policyNames();

}  // namespace hollyrun::lab
