/// Unanswered requests, keyed by nonce. A response proves that its sender is alive only if it repeats the
/// nonce of such a request.
#pragma once

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "membership/fingerprint.hpp"
#include "membership/message.hpp"
#include "membership/random_source.hpp"
#include "membership/time.hpp"

namespace hollyrun::membership {

enum class RequestType {
  contact,  ///< a ping to a seed, a dead member or an unverified sender
  probe,    ///< the failure detector's ping in this probe interval
  pull,     ///< a request for differing records
  relay,    ///< a ping on behalf of another member
};

struct PendingRequest {
  RequestType type = RequestType::contact;
  std::string target;  ///< the member's name; empty if only its address is known
  Address address;
  Time deadline{};
  Address requester;                 ///< relay: the address to answer to
  std::uint64_t requesterNonce = 0;  ///< relay: the nonce of the requester's message
};

class PendingRequests {
 public:
  /// Adds the request and returns its nonce, which is never 0.
  std::uint64_t add(PendingRequest request, RandomSource& random);
  std::optional<PendingRequest> find(std::uint64_t nonce) const;
  void remove(std::uint64_t nonce) { requests_.erase(nonce); }
  void clear() { requests_.clear(); }
  /// Whether no further relays and pulls are sent, which bounds the memory that a flood of messages can use.
  bool full() const;

  /// Removes and returns the requests whose deadline has passed, except probes, which the failure detector
  /// ends.
  std::vector<PendingRequest> removeExpired(Time now);
  /// Returns the earliest deadline except that of probes; Time::max() if there is none.
  Time nextDeadline() const;

  void addTo(Fingerprint& fingerprint, Time now) const;

 private:
  std::map<std::uint64_t, PendingRequest> requests_;
};

}  // namespace hollyrun::membership
