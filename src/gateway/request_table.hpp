/// The requests in flight in this process and the state of each.
#pragma once

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <unordered_map>
#include <utility>
#include <vector>

#include "balancer/dispatch_guard.hpp"
#include "gateway/downstream_observer.hpp"
#include "gateway/executed_requests.hpp"
#include "gateway/forwarded_request.hpp"
#include "hollyrun/balancer.hpp"

namespace hollyrun::gateway {

/// The state of one request, from its validation until it is finished and none of its attempts is in flight.
struct RequestContext {
  balancer::RequestId id = 0;
  DownstreamRequestId client = 0;
  RequestText clientId;                  ///< The X-Request-Id header.
  ForwardedRequestPtr forwarded;         ///< Shared with the request's attempts.
  std::shared_ptr<UploadStream> upload;  ///< The body, if it is streamed.
  balancer::Duration timeLimit{};        ///< Time limit of the response, from `receivedAt` on.
  bool isReceived = false;               ///< The last byte of the request has arrived.
  std::chrono::steady_clock::time_point receivedAt{};
  std::size_t statisticsClass = 0;
  std::uint32_t attemptsStarted = 0;  ///< Attempts are numbered from 0.
  std::uint32_t attemptsInFlight = 0;
  std::optional<balancer::Outcome> lastOutcome;  ///< Of the attempt that ended last.
  balancer::AttemptHistory history;              ///< The attempts whose first byte was written.
  balancer::AttemptTerms terms;                  ///< The class's terms in the settings at the arrival.
  /// The terms of each attempt, indexed by attempt: `terms` with the attempt limits in effect at its start.
  std::vector<balancer::AttemptTerms> attemptTerms;
  RequestFingerprint fingerprint = 0;  ///< 0: the request may be executed repeatedly.
  bool isClaimed = false;              ///< This request holds its id's entry in ExecutedRequests.
  bool isFinished = false;             ///< Answered, or the client has disconnected.
};

/// Owns the contexts of requests. References to contexts stay valid until removeFinished().
class RequestTable {
 public:
  /// Adds a context with a new id.
  RequestContext& add(DownstreamRequestId client);
  /// Returns null if there is no such request.
  RequestContext* find(balancer::RequestId id);
  /// Returns null if the client has no request or its request is finished.
  RequestContext* findByClient(DownstreamRequestId client);

  /// Marks the request as finished: its client no longer expects a response.
  void finish(RequestContext& context);
  /// Makes the next removeFinished() check this context.
  void scheduleRemoval(balancer::RequestId id) { removalCandidates_.push_back(id); }
  /// Removes the scheduled contexts that are finished and have no attempt in flight. Pending actions for such
  /// requests must have been executed before.
  void removeFinished();

 private:
  using ContextAllocator =
      CountedAllocator<std::pair<const balancer::RequestId, RequestContext>, MemoryUse::connection>;

  std::unordered_map<balancer::RequestId, RequestContext, std::hash<balancer::RequestId>,
                     std::equal_to<balancer::RequestId>, ContextAllocator>
      contexts_;
  std::unordered_map<DownstreamRequestId, balancer::RequestId> idByClient_;
  std::vector<balancer::RequestId> removalCandidates_;
  balancer::RequestId lastId_ = 0;
};

}  // namespace hollyrun::gateway
