#include "membership/pending_requests.hpp"

#include <algorithm>
#include <utility>

namespace hollyrun::membership {
namespace {

constexpr std::size_t kMaxRequests = 256;

}  // namespace

std::uint64_t PendingRequests::add(PendingRequest request, RandomSource& random) {
  std::uint64_t nonce = 0;
  while (nonce == 0 || requests_.count(nonce) > 0)
    nonce = random.draw();
  requests_.emplace(nonce, std::move(request));
  return nonce;
}

std::optional<PendingRequest> PendingRequests::find(std::uint64_t nonce) const {
  const auto found = requests_.find(nonce);
  return found == requests_.end() ? std::nullopt : std::optional(found->second);
}

bool PendingRequests::full() const {
  return requests_.size() >= kMaxRequests;
}

std::vector<PendingRequest> PendingRequests::removeExpired(Time now) {
  std::vector<PendingRequest> expired;
  for (auto entry = requests_.begin(); entry != requests_.end();) {
    PendingRequest& request = entry->second;
    if (request.type == RequestType::probe || now < request.deadline) {
      ++entry;
      continue;
    }
    expired.push_back(std::move(request));
    entry = requests_.erase(entry);
  }
  return expired;
}

Time PendingRequests::nextDeadline() const {
  Time next = Time::max();
  for (const auto& [nonce, request] : requests_)
    if (request.type != RequestType::probe)
      next = std::min(next, request.deadline);
  return next;
}

void PendingRequests::addTo(Fingerprint& fingerprint, Time now) const {
  for (const auto& [nonce, request] : requests_) {
    fingerprint.add(request.target);
    fingerprint.add(static_cast<int>(request.type), (request.deadline - now).count());
  }
  fingerprint.endPart();
}

}  // namespace hollyrun::membership
