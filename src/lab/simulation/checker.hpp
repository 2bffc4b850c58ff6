// Checks the four rules of the platform from outside the gateways. The checker keeps its own record of the
// reported events, so that no fault of a policy or of the model hides a broken rule.
#pragma once

#include <string>
#include <unordered_map>
#include <vector>

#include "hollyrun/balancer.hpp"
#include "lab/simulation/server.hpp"

namespace hollyrun::lab {

enum class Rule {
  lost,       ///< each request is answered in time
  duplicate,  ///< no request is executed twice unless its class permits it
  drain,      ///< no attempt goes to a server that drains or has been removed
  fall,       ///< no server is overloaded while it warms up
  crash,      ///< no process ends unexpectedly
  check,      ///< an expectation of the scenario
};
const char* nameOf(Rule rule);

struct Breach {
  Rule rule = Rule::lost;
  Time at{};
  std::uint64_t request = 0;  // 0: the breach concerns no single request
  std::string server;
  std::string what;
};

struct RuleTolerances {
  Duration answerSlack{}, drainGrace{};
  bool allowHedging = false;
  Duration wireSlack{};  // on sockets: attempts sent before a request ended may arrive this much later
};

class Checker {
 public:
  explicit Checker(RuleTolerances tolerances) : tolerances_(tolerances) {}

  /// A gateway has accepted a request, which has to be answered by `deadline`.
  void requestAccepted(std::uint64_t request, const balancer::ClassSettings& settings, Time deadline);
  /// An attempt is sent, or on sockets arrives at its server; `entry` is the server's true entry.
  void attemptSent(Time now, std::uint32_t gateway, std::uint64_t request, std::uint32_t server,
                   const balancer::Endpoint& entry);
  void attemptEnded(std::uint64_t request, std::uint32_t attempt, balancer::Outcome outcome);
  /// The gateway has answered the request without a server's response: with a rejection or a failure.
  void rejectedOrFailed(Time now, std::uint64_t request, bool rejected);
  /// An outcome that ended the request has reached the gateway.
  void requestServed(std::uint64_t request, Time now = {});
  /// The gateway has ended; the request needs no answer any more.
  void requestDropped(std::uint64_t request) { requests_.erase(request); }
  /// The testbed has ended or suspended the process that accepted the request: it needs no answer any more,
  /// and later attempts of that process for it break no rule.
  void excuse(std::uint64_t request);
  /// Has to be called when the deadline of the request has passed.
  void answerDue(Time now, std::uint64_t request);
  /// Discovery has announced the state of a server to a gateway.
  void endpointAnnounced(Time now, std::uint32_t gateway, std::uint32_t server,
                         balancer::EndpointState state);
  /// A gateway has restarted; only states announced from now on count.
  void gatewayRestarted(std::uint32_t gateway);
  /// Records a breach that the caller detected, such as an unexpected end of a process or a failed check of a
  /// scenario.
  void addBreach(Rule rule, Time now, std::uint64_t request, const std::string& server,
                 const std::string& what);
  /// The number of the request's attempts that attemptSent() has recorded.
  std::size_t attemptCount(std::uint64_t request) const;
  /// A server was overloaded while it warmed up. `informedShare` is the share of its work that came from
  /// gateways that knew of its start.
  void coldServerOverloaded(Time now, const std::string& server, double informedShare);

  const std::vector<Breach>& breaches() const { return breaches_; }

 private:
  struct Attempt {
    std::uint32_t server;
    std::string zone;
    std::int64_t cell;
    Time sentAt;
    bool inFlight = true, mayHaveExecuted = true;
  };
  struct TrackedRequest {
    balancer::ClassSettings settings;
    Time deadline;
    bool ended = false, excused = false;
    std::vector<Attempt> attempts;
    Time endedAt{};
  };
  static std::uint64_t gatewayServerKey(std::uint32_t gateway, std::uint32_t server) {
    return static_cast<std::uint64_t>(gateway) << 32 | server;
  }
  std::string repeatViolation(const TrackedRequest& request, const Attempt& earlier, Time now,
                              const balancer::Endpoint& entry) const;
  void eraseIfComplete(std::uint64_t request);

  RuleTolerances tolerances_;
  std::unordered_map<std::uint64_t, TrackedRequest> requests_;
  /// Since when the server is announced to the gateway as draining or removed, by gatewayServerKey().
  std::unordered_map<std::uint64_t, Time> notServingSince_;
  std::vector<Breach> breaches_;
};

}  // namespace hollyrun::lab
