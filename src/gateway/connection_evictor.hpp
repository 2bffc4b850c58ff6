/// Chooses the client connection that is closed when another one needs its place.
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
  sparingNew,  ///< Not those whose first request may be on its way.
};

/// Keeps the connections that may be closed for capacity in lists by state, the oldest first. The accept
/// queue of a connection flood is long: a search among all connections for each one in it would hold up the
/// event loop for a second.
class ConnectionEvictor {
 public:
  using List = std::list<DownstreamConnection*>;

  /// Closes the connection that has been idle for longest; else, of those with a part of a request, the one
  /// silent for longest; else one that lingers. A client that sends slowly, but sends, stays, and so does
  /// every complete request. False if no connection may be closed.
  ///
  /// The next request may be on its way to the connection that is evicted, so it lingers, too, and only the
  /// first of several evicted ones is closed at once.
  bool evictForCapacity(EvictionScope scope = EvictionScope::all);

  /// The connection is closed.
  void remove(const std::shared_ptr<DownstreamConnection>& connection);

  /// Evicted connections that still linger; they don't count against the limit.
  std::size_t evictedCount() const { return evicted_.size(); }

  List& idle() { return idle_; }
  List& incomplete() { return incomplete_; }
  List& lingering() { return lingering_; }

 private:
  std::shared_ptr<DownstreamConnection> oldestIdle(EvictionScope scope) const;
  std::shared_ptr<DownstreamConnection> oldestIncomplete() const;
  std::shared_ptr<DownstreamConnection> oldestLingering() const;
  bool isEvicted(const std::shared_ptr<DownstreamConnection>& connection) const;

  List idle_, incomplete_, lingering_;
  std::deque<std::shared_ptr<DownstreamConnection>> evicted_;  // in the order of their eviction
};

}  // namespace hollyrun::gateway
