/// Actions that a Balancer asks the embedding proxy to carry out.
#pragma once

#include <cstddef>
#include <cstdint>
#include <string>

#include "hollyrun/settings.hpp"

namespace hollyrun::balancer {

/// Why a request is rejected or failed without a further attempt.
enum class RejectReason : std::uint8_t {
  none,                  ///< not an action that ends a request
  belowThreshold,        ///< its score lies below the shedding threshold: overload
  deadlineExceeded,      ///< no time is left in which an answer is of use
  attemptsExhausted,     ///< all its attempts are made
  queueTooLong,          ///< it would wait too long, in its key's queue or at any host
  noEndpoint,            ///< no host may take it
  retryBudgetExhausted,  ///< a retry is allowed, and the retry budget is used up
  abandoned,             ///< its last attempt was given up unsent
};
/// The number of reasons, `none` included.
inline constexpr std::size_t kRejectReasonCount = 8;

/// What is to be done.
enum class ActionKind {
  send,           ///< an attempt of a request to a host
  reject,         ///< answer the client that the request was not executed and may be sent again
  fail,           ///< answer the client that the request failed and may have been executed
  cancel,         ///< an attempt whose answer is no longer needed
  close,          ///< the idle connections to a host
  wake,           ///< call Balancer::onWake at a time; replaces an earlier wake
  pollDiscovery,  ///< poll discovery for the endpoint list
  log,            ///< write a line to the log
};

/// An action; which fields hold depends on its kind.
struct Action {
  ActionKind kind = ActionKind::log;
  /// send, reject, fail, cancel.
  RequestId request = 0;
  /// send, cancel: number of the attempt, from 0.
  std::uint32_t attempt = 0;
  /// send, close.
  HostId host = kNone;
  /// send: of the attempt.
  Duration timeLimit{};
  /// send: it may not be written later than so long from now.
  Duration latestStart = Duration::max();
  /// reject: 0 = none.
  Duration retryAfter{};
  /// wake.
  Time wakeAt{};
  /// reject, fail.
  RejectReason reason = RejectReason::none;
  /// log.
  std::string text;
};

}  // namespace hollyrun::balancer
