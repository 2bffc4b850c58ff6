/// Chooses the downstream connection that is closed to free capacity for another one.
#pragma once

#include <cstddef>
#include <deque>
#include <list>
#include <memory>

namespace hollyrun::gateway {

class DownstreamConnection;

/// Which connections may be evicted.
enum class EvictionScope {
  all,
  sparingNew,  ///< All but new connections, whose first request may be in flight.
};

/// Keeps the connections that may be evicted in one list for each state, the oldest first. During a
/// connection flood the accept queue is long, and a search through all connections for each accepted one
/// would block the event loop for a second.
class ConnectionEvictor {
 public:
  using List = std::list<DownstreamConnection*>;

  /// Evicts one connection: the one idle for longest; else, of those with an incomplete request, the one that
  /// has received nothing for longest; else the oldest lingering one that was not evicted before. Connections
  /// of clients that send slowly and connections with a complete request are not evicted. Returns false if no
  /// connection may be evicted.
  ///
  /// A request may be in flight to the evicted connection, so the connection lingers before it is closed. If
  /// too many evicted connections linger, the oldest of them is closed immediately.
  bool evictForCapacity(EvictionScope scope = EvictionScope::all);

  /// Evicts the connection with an incomplete request that has received nothing for longest. Returns false if
  /// there is none.
  bool evictIncomplete();

  /// Must be called when the connection is closed.
  void remove(const std::shared_ptr<DownstreamConnection>& connection);

  /// The number of evicted connections that still linger. They do not count towards the connection limit.
  std::size_t evictedCount() const { return evicted_.size(); }

  List& idle() { return idle_; }
  List& incomplete() { return incomplete_; }
  List& lingering() { return lingering_; }

 private:
  void evict(const std::shared_ptr<DownstreamConnection>& connection);
  std::shared_ptr<DownstreamConnection> oldestIdle(EvictionScope scope) const;
  std::shared_ptr<DownstreamConnection> oldestIncomplete() const;
  std::shared_ptr<DownstreamConnection> oldestLingering() const;
  bool isEvicted(const std::shared_ptr<DownstreamConnection>& connection) const;

  List idle_, incomplete_, lingering_;
  std::deque<std::shared_ptr<DownstreamConnection>> evicted_;  // in order of eviction
};

}  // namespace hollyrun::gateway
