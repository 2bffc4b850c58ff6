#include "gateway/connection_evictor.hpp"

#include <algorithm>
#include <chrono>

#include "gateway/downstream_connection.hpp"

namespace hollyrun::gateway {
namespace {

using Clock = std::chrono::steady_clock;

// A connection with an incomplete request may be evicted once nothing was received on it for this long.
constexpr auto kMinSilence = std::chrono::milliseconds(500);
// Evicted connections that may linger at the same time. They do not count towards the connection limit; their
// descriptors are part of the reserve that partitionDescriptors() keeps.
constexpr std::size_t kMaxEvictedLingering = 8;
// Limit on the connections whose socket is checked for unread bytes in one search. Connections with unread
// bytes are not evicted; they are read in the next iteration of the event loop.
constexpr std::size_t kMaxCandidates = 16;

}  // namespace

bool ConnectionEvictor::evictForCapacity(EvictionScope scope) {
  std::shared_ptr<DownstreamConnection> candidate = oldestIdle(scope);
  if (!candidate)
    candidate = oldestIncomplete();
  if (candidate) {
    evict(candidate);
    return true;
  }
  const std::shared_ptr<DownstreamConnection> lingering = oldestLingering();
  if (lingering)
    lingering->close(CloseReason::evicted);
  return lingering != nullptr;
}

bool ConnectionEvictor::evictIncomplete() {
  const std::shared_ptr<DownstreamConnection> candidate = oldestIncomplete();
  if (candidate)
    evict(candidate);
  return candidate != nullptr;
}

void ConnectionEvictor::evict(const std::shared_ptr<DownstreamConnection>& connection) {
  evicted_.push_back(connection);
  connection->linger(CloseReason::evicted);
  if (evicted_.size() > kMaxEvictedLingering)
    std::shared_ptr<DownstreamConnection>(evicted_.front())->close(CloseReason::evicted);
}

void ConnectionEvictor::remove(const std::shared_ptr<DownstreamConnection>& connection) {
  std::erase(evicted_, connection);
}

std::shared_ptr<DownstreamConnection> ConnectionEvictor::oldestIdle(EvictionScope scope) const {
  const auto now = Clock::now();
  std::size_t examined = 0;
  for (DownstreamConnection* connection : idle_) {
    if (scope == EvictionScope::sparingNew && connection->mayExpectFirstRequest(now))
      continue;
    if (connection->isIdle())
      return connection->shared_from_this();
    if (++examined == kMaxCandidates)
      break;
  }
  return nullptr;
}

std::shared_ptr<DownstreamConnection> ConnectionEvictor::oldestIncomplete() const {
  const auto latestReceipt = Clock::now() - kMinSilence;
  std::size_t examined = 0;
  for (DownstreamConnection* connection : incomplete_) {
    if (connection->lastReceivedAt() >= latestReceipt)
      break;
    if (connection->isIncomplete())
      return connection->shared_from_this();
    if (++examined == kMaxCandidates)
      break;
  }
  return nullptr;
}

std::shared_ptr<DownstreamConnection> ConnectionEvictor::oldestLingering() const {
  for (DownstreamConnection* connection : lingering_) {
    std::shared_ptr<DownstreamConnection> candidate = connection->shared_from_this();
    if (!isEvicted(candidate))
      return candidate;
  }
  return nullptr;
}

bool ConnectionEvictor::isEvicted(const std::shared_ptr<DownstreamConnection>& connection) const {
  return std::find(evicted_.begin(), evicted_.end(), connection) != evicted_.end();
}

}  // namespace hollyrun::gateway
