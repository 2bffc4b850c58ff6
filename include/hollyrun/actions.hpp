/// Actions that a Balancer asks the embedding proxy to carry out.
#pragma once

#include <cstddef>
#include <cstdint>
#include <string>

#include "hollyrun/settings.hpp"

namespace hollyrun::balancer {

/// Why a request is rejected, or answered as failed, without a further attempt.
enum class RejectReason : std::uint8_t {
  none,                  ///< the action does not end a request
  belowThreshold,        ///< overload: the request's score is below the shedding threshold
  deadlineExceeded,      ///< an answer can no longer arrive in time to be useful
  attemptsExhausted,     ///< the request has used all its attempts
  queueTooLong,          ///< no answer expected in time: too many requests of its key are queued before it,
                         ///< or, during an overload, the time left is too short for any host
  noEndpoint,            ///< no host may be sent the request now
  retryBudgetExhausted,  ///< a retry is allowed, but the retry budget is used up
  abandoned,             ///< the last attempt was abandoned before it was sent
};
/// Number of reasons, including `none`.
inline constexpr std::size_t kRejectReasonCount = 8;

/// What the embedding proxy is to do.
enum class ActionKind {
  send,           ///< send an attempt of a request to a host
  reject,         ///< answer the client that the request was not executed and may be retried
  fail,           ///< answer the client that the request failed and may have been executed
  cancel,         ///< cancel an attempt whose answer is no longer needed
  close,          ///< close the idle connections to a host
  wake,           ///< call Balancer::onWake at `wakeAt`; replaces an earlier wake
  pollDiscovery,  ///< poll discovery for the endpoint list
  log,            ///< write a line to the log
};

/// An action. Each field names the kinds that set it; the others leave its default.
struct Action {
  ActionKind kind = ActionKind::log;
  /// Set by send, reject, fail and cancel.
  RequestId request = 0;
  /// Set by send and cancel: number of the attempt within its request, from 0.
  std::uint32_t attempt = 0;
  /// Set by send and close.
  HostId host = kNone;
  /// Set by send: time within which the attempt must end.
  Duration timeLimit{};
  /// Set by send: time from now after which the attempt must no longer be written.
  Duration latestStart = Duration::max();
  /// Set by reject: retry-after for the client; 0 = none.
  Duration retryAfter{};
  /// Set by wake.
  Time wakeAt{};
  /// Set by reject and fail.
  RejectReason reason = RejectReason::none;
  /// Set by log.
  std::string text;
};

}  // namespace hollyrun::balancer
