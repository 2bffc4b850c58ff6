/// Requests that were sent and not answered yet, by nonce. A response proves that its sender is alive only
/// where it repeats such a nonce.
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
  contact,  ///< a ping of a seed, a dead member or an unverified sender
  probe,    ///< the failure detector's ping of this probe interval
  pull,     ///< for records that differ
  relay,    ///< a ping on behalf of another member's probe
};

struct PendingRequest {
  RequestType type = RequestType::contact;
  std::string target;  ///< the member's name; empty: only its address is known
  Address address;
  Time deadline{};
  Address requester;                 ///< relay: whom to answer
  std::uint64_t requesterNonce = 0;  ///< relay: of that member's request
};

class PendingRequests {
 public:
  /// Its nonce, which is never 0.
  std::uint64_t add(PendingRequest request, RandomSource& random);
  std::optional<PendingRequest> find(std::uint64_t nonce) const;
  void remove(std::uint64_t nonce) { requests_.erase(nonce); }
  void clear() { requests_.clear(); }
  /// Whether no more requests are made for others' sake, so that a flood of messages costs bounded memory.
  bool full() const;

  /// Removes those whose deadline has passed, but for the probe, which the failure detector ends.
  std::vector<PendingRequest> takeExpired(Time now);
  /// Time::max() where nothing but a probe is pending.
  Time nextDeadline() const;

  void addTo(Fingerprint& fingerprint, Time now) const;

 private:
  std::map<std::uint64_t, PendingRequest> requests_;
};

}  // namespace hollyrun::membership
