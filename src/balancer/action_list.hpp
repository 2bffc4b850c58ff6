/// Builds the list of actions that a Balancer returns.
#pragma once

#include <chrono>
#include <string>
#include <utility>
#include <vector>

#include "hollyrun/balancer.hpp"

namespace hollyrun::balancer {

class ActionList {
 public:
  std::vector<Action>& actions() { return actions_; }

  void send(RequestId request, std::uint32_t attempt, HostId host, Duration timeLimit, Duration latestStart) {
    Action& action = append(ActionKind::send, request, attempt, host);
    action.timeLimit = timeLimit;
    action.latestStart = latestStart;
  }
  void reject(RequestId request, RejectReason reason, Duration retryAfter) {
    Action& action = append(ActionKind::reject, request);
    action.retryAfter = retryAfter;
    action.reason = reason;
  }
  void fail(RequestId request, RejectReason reason) { append(ActionKind::fail, request).reason = reason; }
  void cancel(RequestId request, std::uint32_t attempt) { append(ActionKind::cancel, request, attempt); }
  void closeIdle(HostId host) { append(ActionKind::close, 0, 0, host); }
  void wake(Time at) { append(ActionKind::wake).wakeAt = at; }
  void pollDiscovery() { append(ActionKind::pollDiscovery); }

  /// Whether the rate limit on log lines permits one now. Callers check before they build the text.
  bool mayLog(Time now) const { return now - lastLogAt_ >= kLogInterval || lastLogAt_ == Time{}; }
  void log(Time now, std::string text) {
    append(ActionKind::log).text = std::move(text);
    lastLogAt_ = now;
  }

 private:
  static constexpr Duration kLogInterval = std::chrono::seconds(1);

  Action& append(ActionKind kind, RequestId request = 0, std::uint32_t attempt = 0, HostId host = kNone) {
    Action& action = actions_.emplace_back();
    action.kind = kind;
    action.request = request;
    action.attempt = attempt;
    action.host = host;
    return action;
  }

  std::vector<Action> actions_;
  Time lastLogAt_{};
};

}  // namespace hollyrun::balancer
