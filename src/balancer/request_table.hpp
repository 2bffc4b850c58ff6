/// The open requests and their attempts.
#pragma once

#include <array>
#include <cstdint>
#include <memory>
#include <span>
#include <unordered_map>
#include <vector>

#include "balancer/request_class.hpp"

namespace hollyrun::balancer {

/// Maximum number of attempts per request, even if the settings allow more.
inline constexpr std::size_t kMaxAttempts = 8;

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
  std::size_t idleBucket = 0;  ///< StaleConnectionEstimator bucket of the connection used; 0 = fresh or new
};

struct PendingRequest {
  RequestId id = 0;
  std::uint32_t slot = 0;
  std::shared_ptr<RequestClass> requestClass{};  ///< with the settings at the request's arrival
  Time deadline{};                               ///< the client stops waiting
  Time objectiveAt{};                            ///< time after which an answer loses value
  double cost = 0;                               ///< relative to the mean of the class
  double score = 0;                              ///< 1 to 100, by priority within the recent traffic
  std::uint64_t key = 0;
  bool hasKey = false;
  bool ended = false;  ///< the client's answer is decided or the client has disconnected; attempts may be in
                       ///< flight
  bool responseStarted = false;  ///< an attempt's answer is being streamed to the client
  bool uploading = false;
  std::array<Attempt, kMaxAttempts> attempts{};
  std::uint32_t attemptCount = 0;
  std::uint32_t attemptsInFlight = 0;

  std::span<const Attempt> attemptsMade() const { return {attempts.data(), attemptCount}; }
  bool isOrderedPerKey() const { return hasKey && requestClass->settings.orderedPerKey; }
};

/// Refers to an attempt's request; invalid once the request's slot is reused.
struct RequestReference {
  std::uint32_t slot = 0;
  RequestId request = 0;
};

class RequestTable {
 public:
  bool contains(RequestId request) const { return slotById_.count(request) > 0; }

  /// Adds a request with this id and sets its slot. C++ references to other requests become invalid.
  PendingRequest& insert(RequestId id);

  PendingRequest* find(RequestId request) {
    const auto found = slotById_.find(request);
    return found == slotById_.end() ? nullptr : &slots_[found->second];
  }
  PendingRequest& atSlot(std::uint32_t slot) { return slots_[slot]; }

  /// Removes the request. Its fields stay readable until the next insert.
  void erase(const PendingRequest& request) {
    slotById_.erase(request.id);
    freeSlots_.push_back(request.slot);
  }

  /// Returns the request's attempt in flight at the endpoint; null if there is none.
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
