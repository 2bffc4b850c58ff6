/// The requests under way in this process and what is known of each.
#pragma once

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <memory>
#include <optional>
#include <unordered_map>
#include <vector>

#include "balancer/dispatch_guard.hpp"
#include "gateway/downstream_observer.hpp"
#include "gateway/http_message.hpp"
#include "hollyrun/balancer.hpp"

namespace hollyrun::gateway {

/// One request from its validation until it is finished and none of its attempts is under way.
struct RequestContext {
  balancer::RequestId id = 0;
  DownstreamRequestId client = 0;
  HttpRequest message;
  MemoryReservation reservation;              ///< for a buffered body
  std::shared_ptr<BodyStream> upload;         ///< the body, if it is streamed
  std::optional<std::uint64_t> uploadLength;  ///< in bytes, if it is known
  balancer::Duration timeLimit{};             ///< for the response, from `receivedAt` on
  bool isReceived = false;                    ///< its last byte has arrived
  std::chrono::steady_clock::time_point receivedAt{};
  std::size_t statisticsClass = 0;
  std::uint32_t attemptsStarted = 0;  ///< attempts are numbered from 0
  std::uint32_t attemptsInFlight = 0;
  balancer::AttemptHistory history;                  ///< of the attempts that were written
  balancer::AttemptTerms terms;                      ///< of its class, by the settings when it arrived
  std::vector<balancer::AttemptTerms> attemptTerms;  ///< by attempt, by the settings when it was decided
  bool isFinished = false;                           ///< answered, or its client has disconnected

  /// X-Request-Id
  std::string clientId() const { return message["X-Request-Id"].to_string(); }
};

/// Owns the contexts. References to them stay valid until removeFinished().
class RequestTable {
 public:
  /// Adds a context with a new id.
  RequestContext& add(DownstreamRequestId client);
  /// Null if there is none.
  RequestContext* find(balancer::RequestId id);
  /// Null if there is none or it is finished.
  RequestContext* findByClient(DownstreamRequestId client);

  /// Its client expects no response from here on.
  void finish(RequestContext& context);
  /// Has removeFinished() look at this context.
  void scheduleRemoval(balancer::RequestId id) { removalCandidates_.push_back(id); }
  /// Removes the scheduled contexts that are finished and have no attempt in flight. Actions that name such a
  /// request must have been carried out before.
  void removeFinished();

 private:
  std::unordered_map<balancer::RequestId, RequestContext> contexts_;
  std::unordered_map<DownstreamRequestId, balancer::RequestId> idByClient_;
  std::vector<balancer::RequestId> removalCandidates_;
  balancer::RequestId lastId_ = 0;
};

}  // namespace hollyrun::gateway
