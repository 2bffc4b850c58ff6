// The oracle of a soak: checks the rules using only what the soak's own clients, servers and discovery
// observe.
#pragma once

#include <chrono>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "hollyrun/balancer.hpp"

namespace hollyrun::lab {

using SoakTime = std::chrono::nanoseconds;  ///< time on the monotonic clock of the soak process

enum class SoakRule : std::uint8_t {
  unanswered,      ///< a request got no response in time, or its connection was closed without one
  afterLeaving,    ///< an attempt reached a server after its client had disconnected
  toldTooMuch,     ///< the deadline sent to a server exceeds the client's remaining time
  afterDrain,      ///< an attempt reached a server announced as draining or removed
  ranTwice,        ///< a request was executed again though it is not repeatable, or after its window; or
                   ///< a request that is not repeatable was executed and then rejected
  nobodysRequest,  ///< a server received a request that no client sent
  coldFlood,       ///< a newly started server received more requests than slow start allows
  wrongAnswer,     ///< a client got the response to another request, or 200 without any execution
  servesNobody,    ///< a process does not answer /up after all faults were reverted
  notReady,        ///< a process was not ready within 10 s
  crashed,         ///< a process ended unexpectedly, or did not end in time after SIGTERM
  overLimit        ///< a process exceeded its limit of descriptors or memory
};
std::string_view nameOf(SoakRule rule);

struct SoakViolation {
  SoakRule rule;
  std::string request;  ///< request id; empty if the violation concerns no single request
  std::string text;
};

struct SoakClass {
  std::string name;
  balancer::Idempotency idempotency = balancer::Idempotency::none;
  std::chrono::nanoseconds window{};
};

/// The number of requests that slow start allows a server, summed over all gateways.
struct SlowStartBudget {
  std::chrono::nanoseconds window{};  ///< since the start of the server
  double requests = 0;                ///< expected number; the rule adds a tolerance for random variation
};

class SoakOracle {
 public:
  /// `slack`: the longest delay between an event and its observation.
  explicit SoakOracle(SoakTime slack) : slack_(slack) {}

  // Events observed by clients.
  void requestSent(const std::string& id, const SoakClass& requestClass, std::size_t gateway, SoakTime now,
                   SoakTime timeout);
  /// A request of a client that does not follow the platform's protocol: it may reach a server, and no answer
  /// is owed.
  void otherRequestSent(const std::string& id, std::size_t gateway, SoakTime now);
  void clientLeft(const std::string& id, SoakTime now);
  void requestAnswered(const std::string& id, unsigned status, std::string_view body, SoakTime now);
  /// `isNewConnection`: the request was the first one on its connection.
  void closedUnanswered(const std::string& id, SoakTime now, bool isNewConnection = false);
  void connectionRefused(const std::string& id) { requests_.at(id).complete = true; }
  // Events observed by servers. `deadline`: the remaining time stated in the request's head, if any. It
  // counts from the arrival of the head: the rest of a large request may take long, for example at a slow
  // server.
  void requestArrived(const std::string& id, std::size_t server, std::optional<SoakTime> deadline,
                      SoakTime now, std::optional<SoakTime> headArrivedAt = std::nullopt);
  void requestExecuted(const std::string& id, SoakTime now);
  // Endpoint states that discovery wrote to a gateway. They count as announced from then on.
  void announcedNotServing(std::size_t gateway, std::size_t server, SoakTime now);
  void announcedServing(std::size_t gateway, std::size_t server);
  // Endpoint states that the gateway's agent of discovery has. They count as announced whether or not a watch
  // is open, from the moment at which the agent both has them and can be reached.
  void agentHasNotServing(std::size_t gateway, std::size_t server, SoakTime now);
  void agentHasServing(std::size_t gateway, std::size_t server);
  void agentUnreachable(std::size_t gateway, SoakTime now);
  /// `from` may lie in the future, such as 4 s after SIGHUP.
  void agentReachable(std::size_t gateway, SoakTime from);
  /// The agent takes this long to answer.
  void agentDelayed(std::size_t gateway, SoakTime delay);
  void serverStarted(std::size_t server, const SlowStartBudget& budget, SoakTime now);
  // Faults injected by the soak: a kill excuses all earlier requests of the gateway; a kill that ends a
  // planned restart excuses only those that were just being written; a pause extends the time limits; while
  // idle clients fill the descriptors, new connections may be closed unread.
  void gatewayKilled(std::size_t gateway);
  void gatewayKilledAfterTerm(std::size_t gateway, SoakTime now);
  /// The process has ended. Until then its kernel may still accept connections.
  void gatewayEnded(std::size_t gateway, SoakTime now);
  void crowdArrived(std::size_t gateway) { crowded_.insert(gateway); }
  void crowdLeft(std::size_t gateway) { crowded_.erase(gateway); }
  void gatewayPaused(std::size_t gateway, SoakTime from, SoakTime until);
  void reportViolation(SoakRule rule, std::string text) {
    violations_.push_back({rule, {}, std::move(text)});
  }

  /// How long the soak itself kept the process stopped within this interval.
  SoakTime pausedDuring(std::size_t gateway, SoakTime from, SoakTime until) const;
  /// Reports the requests that are still unanswered. Call once, after the timeout of every client.
  void finish(SoakTime now);
  const std::vector<SoakViolation>& violations() const { return violations_; }
  std::size_t requests() const { return requests_.size(); }
  std::size_t count(unsigned status) const;

 private:
  struct Execution {
    SoakTime at{};
  };
  struct Request {
    SoakClass requestClass;
    std::size_t gateway = 0;
    SoakTime sent{}, timeout{};
    std::optional<SoakTime> left;
    bool complete = false;
    bool isOther = false;  ///< of a client that does not follow the protocol
    std::vector<Execution> executions;
  };
  struct ServerStart {
    SoakTime at{};
    SlowStartBudget budget;
    std::size_t arrivals = 0;
    bool reported = false;
  };
  struct Pause {
    std::size_t gateway = 0;
    SoakTime from{}, until{};
  };

  struct Drain {
    std::optional<SoakTime> written;  ///< discovery wrote it to the gateway
    std::optional<SoakTime> inAgent;  ///< the agent has it
    std::optional<SoakTime> counted;  ///< it counted before the agent became unreachable
  };
  struct Kill {
    SoakTime excusesFrom{};         ///< requests that were sent earlier are not excused
    std::optional<SoakTime> ended;  ///< requests that were sent later are not excused
  };
  struct Agent {
    bool reachable = true;
    SoakTime reachableSince{}, delay{};
  };

  std::optional<SoakTime> countsAsAnnounced(std::size_t gateway, const Drain& drain) const;
  std::optional<SoakTime> countsByAgent(std::size_t gateway, const Drain& drain) const;
  void add(SoakRule rule, const std::string& id, std::string text);
  bool isExcusedByKill(const Request& request) const;
  void checkSlowStart(std::size_t server, SoakTime now);

  SoakTime slack_;
  std::unordered_map<std::string, Request> requests_;
  std::map<std::pair<std::size_t, std::size_t>, Drain> drains_;  // by gateway and server
  std::map<std::size_t, Agent> agents_;                          // by gateway
  std::map<std::size_t, ServerStart> starts_;                    // by server
  std::map<std::size_t, Kill> kills_;                            // by gateway
  std::set<std::size_t> crowded_;                                // gateways
  std::vector<Pause> pauses_;
  std::map<unsigned, std::size_t> statuses_;
  std::vector<SoakViolation> violations_;
};

}  // namespace hollyrun::lab
