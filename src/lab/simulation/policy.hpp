// What decides in a gateway of the model: the decision module itself, or a plain policy to compare it with.
#pragma once

#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "hollyrun/balancer.hpp"

namespace hollyrun::lab {

/// One gateway's decisions. The calls are those of balancer::Balancer and mean the same.
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

/// The true state of the servers, for the policy that sees it.
class OmniscientView {
 public:
  virtual ~OmniscientView() = default;
  struct State {
    double seconds = 0;  // until a request sent now would be served; infinite if it would not be
    double held = 0;     // a core
    bool jammed = false;
  };
  /// By true speed, state and backlog, for a request of this work.
  virtual State look(const std::string& address, double work) const = 0;
};

using PolicyMaker =
    std::function<std::unique_ptr<Policy>(const balancer::Settings&, balancer::Time, const OmniscientView&)>;

/// module, random, least, two, truth. Throws std::invalid_argument on another name.
PolicyMaker policyNamed(const std::string& name);
const std::vector<std::string>& policyNames();

}  // namespace hollyrun::lab
