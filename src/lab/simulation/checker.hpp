// The four rules of the platform, watched from outside the gateways. It is told what happens and keeps books
// of its own, so that no fault of a policy or of the model hides a broken rule.
#pragma once

#include <string>
#include <unordered_map>
#include <vector>

#include "hollyrun/balancer.hpp"
#include "lab/simulation/server.hpp"

namespace hollyrun::lab {

enum class Rule { lost, duplicate, drain, fall, crash, check };
const char* nameOf(Rule rule);

struct Breach {
  Rule rule = Rule::lost;
  Time at{};
  std::uint64_t request = 0;  // 0: none
  std::string server;
  std::string what;
};

struct RuleFigures {
  Duration answerSlack{}, drainGrace{};
  bool allowHedging = false;
  Duration wireSlack{};  // on sockets: what was on its way as a request ended arrives so much later
};

class Checker {
 public:
  explicit Checker(RuleFigures figures) : figures_(figures) {}

  /// A gateway has taken a request; it is owed an answer by `deadline`.
  void taken(std::uint64_t request, const balancer::ClassSettings& set, Time deadline);
  void sent(Time now, std::uint32_t gateway, std::uint64_t request, std::uint32_t server,
            const balancer::Endpoint& entry);
  void outcome(std::uint64_t request, std::uint32_t attempt, balancer::Outcome outcome);
  /// The gateway's own final answer: refused or failed.
  void answered(Time now, std::uint64_t request, bool refused);
  /// An outcome that ended the request has reached the gateway.
  void served(std::uint64_t request, Time now = {});
  /// The gateway is gone and owes nothing more.
  void released(std::uint64_t request) { open_.erase(request); }
  /// The testbed ended the process that had taken it, or holds it up: nothing is owed any more, and what that
  /// process sends for it later, not knowing, is held against nobody.
  void excused(std::uint64_t request);
  /// To be called once the answer's time is over.
  void due(Time now, std::uint64_t request);
  void told(Time now, std::uint32_t gateway, std::uint32_t server, balancer::EndpointState state);
  /// A gateway starts afresh, with what it is told from here on.
  void restarted(std::uint32_t gateway);
  /// Anything else that must not be: an end that nobody asked for, or a check of a scenario.
  void breach(Rule rule, Time now, std::uint64_t request, const std::string& server, const std::string& what);
  /// How many attempts for it have come to servers.
  std::size_t attempts(std::uint64_t request) const;
  /// A cold server fell over; the share of its work that came from gateways that knew of its start.
  void fell(Time now, const std::string& server, double informed);

  const std::vector<Breach>& breaches() const { return breaches_; }

 private:
  struct Attempt {
    std::uint32_t server;
    std::string zone;
    std::int64_t cell;
    Time at;
    bool out = true, mayHaveExecuted = true;
  };
  struct Taken {
    balancer::ClassSettings set;
    Time deadline;
    bool ended = false, excused = false;
    std::vector<Attempt> attempts;
    Time endedAt{};
  };
  static std::uint64_t pair(std::uint32_t gateway, std::uint32_t server) {
    return static_cast<std::uint64_t>(gateway) << 32 | server;
  }
  std::string repeatFault(const Taken& t, const Attempt& a, Time now, const balancer::Endpoint& entry) const;
  void forget(std::uint64_t request);

  RuleFigures figures_;
  std::unordered_map<std::uint64_t, Taken> open_;
  std::unordered_map<std::uint64_t, Time> closedSince_;  // (gateway, server) told as draining or gone
  std::vector<Breach> breaches_;
};

}  // namespace hollyrun::lab
