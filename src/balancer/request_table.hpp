/// The requests and attempts under way.
#pragma once

#include <array>
#include <cstdint>
#include <memory>
#include <span>
#include <unordered_map>
#include <vector>

#include "balancer/request_class.hpp"

namespace hollyrun::balancer {

inline constexpr std::size_t kMaxAttempts = 8;  // kept for one request

/// Whether the outcome proves that the attempt was not executed.
inline bool provesNotExecuted(Outcome outcome) {
  return outcome == Outcome::rejected || outcome == Outcome::connectFailed || outcome == Outcome::abandoned ||
         outcome == Outcome::localFailure;
}

struct Attempt {
  HostId host = kNone;
  Time sentAt{};
  bool inFlight = false;
  bool mayHaveExecuted = false;
  bool cancelled = false;
  bool newConnection = false;
  std::size_t idleBucket = 0;  ///< of StaleConnectionEstimator, for the connection used; 0 = fresh or new
};

struct PendingRequest {
  RequestId id = 0;
  std::uint32_t slot = 0;
  std::shared_ptr<RequestClass> requestClass{};  ///< as the settings had it when the request arrived
  Time deadline{};                               ///< the client gives up
  Time objectiveAt{};                            ///< an answer loses value after this
  double cost = 0;                               ///< relative to the mean of the class
  double score = 0;                              ///< 1 to 100, by priority within the recent traffic
  std::uint64_t key = 0;
  bool hasKey = false;
  bool ended = false;            ///< the client's answer is decided, or it is gone; attempts may be in flight
  bool responseStarted = false;  ///< an attempt's answer is being streamed to the client
  bool uploading = false;
  std::array<Attempt, kMaxAttempts> attempts{};
  std::uint32_t attemptCount = 0;
  std::uint32_t attemptsInFlight = 0;

  std::span<const Attempt> attemptsMade() const { return {attempts.data(), attemptCount}; }
  bool isOrderedPerKey() const { return hasKey && requestClass->settings.orderedPerKey; }
};

/// Names an attempt by its request; void once the request has left the slot.
struct RequestReference {
  std::uint32_t slot = 0;
  RequestId request = 0;
};

class RequestTable {
 public:
  bool contains(RequestId request) const { return slotById_.count(request) > 0; }

  /// A new request under this id, with its slot set. References to other requests become invalid.
  PendingRequest& insert(RequestId id);

  PendingRequest* find(RequestId request) {
    const auto found = slotById_.find(request);
    return found == slotById_.end() ? nullptr : &slots_[found->second];
  }
  PendingRequest& atSlot(std::uint32_t slot) { return slots_[slot]; }

  /// The request's fields stay readable until the next insert.
  void erase(const PendingRequest& request) {
    slotById_.erase(request.id);
    freeSlots_.push_back(request.slot);
  }

  /// The request's attempt in flight at the endpoint; null if there is none.
  const Attempt* findInFlight(RequestReference reference, HostId host) const {
    const PendingRequest& request = slots_[reference.slot];
    if (request.id != reference.request)
      return nullptr;
    for (const Attempt& attempt : request.attemptsMade())
      if (attempt.inFlight && attempt.host == host)
        return &attempt;
    return nullptr;
  }

  std::size_t size() const { return slotById_.size(); }

 private:
  std::vector<PendingRequest> slots_;
  std::vector<std::uint32_t> freeSlots_;
  std::unordered_map<RequestId, std::uint32_t> slotById_;
};

}  // namespace hollyrun::balancer
