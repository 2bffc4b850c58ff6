/// The downstream side of the gateway: owns the listener and the client connections, and routes each response
/// to the connection of its request.
#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <chrono>
#include <cstddef>
#include <cstdint>
#include <memory>
#include <optional>
#include <unordered_map>
#include <unordered_set>
#include <vector>

#include "gateway/body_stream.hpp"
#include "gateway/close_reason.hpp"
#include "gateway/connection_evictor.hpp"
#include "gateway/downstream_connection.hpp"
#include "gateway/downstream_listener.hpp"
#include "gateway/downstream_observer.hpp"
#include "gateway/http_message.hpp"

namespace hollyrun::gateway {

class DownstreamServer : private ConnectionAdmission {
 public:
  struct Limits {
    std::size_t connections = 640;
    /// From the connect until the head of the first request is complete. From then on the request's body has
    /// to arrive at a minimum rate.
    std::chrono::milliseconds firstRequestTimeout{2500};
    /// From the first byte of a later request until its head is complete; half of it is the grace period
    /// before the minimum rate of its body is enforced. Also the time limit for writing a complete response
    /// or one piece of a streamed response.
    std::chrono::milliseconds requestTimeout{5000};
    /// Between two requests.
    std::chrono::milliseconds idleTimeout{75000};
  };

  /// `observer` has to outlive the server.
  DownstreamServer(boost::asio::io_context& io, Limits limits, DownstreamObserver& observer,
                   std::shared_ptr<MemoryBudget> budget);
  ~DownstreamServer() override;
  DownstreamServer(const DownstreamServer&) = delete;
  DownstreamServer& operator=(const DownstreamServer&) = delete;

  /// If `shared`, another process may listen at the same address. Returns false if this machine has no
  /// descriptor or buffer for the listener now. Throws boost::system::system_error on any other error.
  bool listen(const boost::asio::ip::tcp::endpoint& address, bool shared);
  boost::asio::ip::tcp::endpoint localEndpoint() const { return listener_.localEndpoint(); }
  bool isListening() const { return listener_.isOpen(); }
  int listenerHandle() { return listener_.nativeHandle(); }
  /// Sets the limit on connections; if more are open, some are evicted.
  void setConnectionLimit(std::size_t connections);

  /// Sends the response of a request. Does nothing if the client has disconnected.
  void respond(DownstreamRequestId id, HttpResponse response, ResponseCallback onSent);
  /// Sends a response with a streamed body, chunked if its length is not known.
  void respond(DownstreamRequestId id, HttpResponse head, std::shared_ptr<ResponseStream> body,
               std::optional<std::uint64_t> length, ResponseCallback onSent);
  /// Whether the client that waits for this response is still connected. Queries the socket, so that it
  /// detects a close that the event loop has not reported yet. If it returns `departed`, the caller has to
  /// call disconnectClient().
  ClientPresence clientPresence(DownstreamRequestId id) const;
  /// The earliest time at which the client may have written the last byte of its upload.
  std::chrono::steady_clock::time_point earliestLastByte(DownstreamRequestId id) const;
  /// Closes the connection of a client that has disconnected and notifies the observer.
  void disconnectClient(DownstreamRequestId id);

  /// Makes every further response the last one on its connection.
  void closeAfterResponses();
  /// Accepts the pending connections, then closes the listener and the idle connections. The observer's
  /// onDrained() is called once no connection is left.
  void stopAccepting();
  /// Ends the acceptance of requests: those that have not arrived completely are rejected. Bytes that are
  /// still unread may complete a request, so they are read first.
  void rejectIncompleteRequests();
  /// Closes or refuses the client whose connection holds the most memory, of those that lose nothing that was
  /// taken. Returns false if there is none.
  bool releaseCostliest();
  /// The number of connections that were closed or refused for their memory.
  std::uint64_t memoryEvictions() const { return memoryEvictions_; }
  std::size_t connections() const { return connections_.size(); }
  /// The number of connections closed so far, by reason.
  const CloseCounts& closeCounts() const { return closed_; }

 private:
  friend class DownstreamConnection;  // It adds itself to and removes itself from the members below.

  bool isAtLimit() const override { return countedConnections() >= limits_.connections; }
  bool isOverLimit() const override { return countedConnections() > limits_.connections; }
  bool isRefusing() const override { return budget_->refusesRequests(); }
  bool evictForCapacity(EvictionScope scope) override { return evictor_.evictForCapacity(scope); }
  void admit(boost::asio::ip::tcp::socket socket, std::chrono::steady_clock::time_point queuedSince) override;
  std::size_t countedConnections() const { return connections_.size() - evictor_.evictedCount(); }

  /// Whether the memory budget has capacity, if necessary after the eviction of connections that have stopped
  /// in the middle of a request.
  bool makeRoom(std::size_t bytes);
  /// Resumes after a short pause, because the socket stays readable while it is not read.
  void resumeReadingLater(std::shared_ptr<DownstreamConnection> connection);
  DownstreamRequestId registerRequest(std::shared_ptr<DownstreamConnection> connection);
  std::shared_ptr<DownstreamConnection> removeRequest(DownstreamRequestId id);
  void countClosed(CloseReason reason);
  void removeConnection(const std::shared_ptr<DownstreamConnection>& connection);
  bool isDraining() const { return !listener_.isOpen() && closesAfterResponse_; }
  void checkTimeouts();
  void sweep();

  boost::asio::io_context& io_;
  DownstreamListener listener_;
  Limits limits_;
  DownstreamObserver& observer_;
  std::shared_ptr<MemoryBudget> budget_;
  boost::asio::steady_timer sweepTimer_, resumeTimer_;
  std::vector<std::shared_ptr<DownstreamConnection>> pausedReaders_;
  ConnectionEvictor evictor_;
  std::unordered_set<std::shared_ptr<DownstreamConnection>> connections_;
  std::unordered_map<DownstreamRequestId, std::shared_ptr<DownstreamConnection>> awaitingResponse_;
  DownstreamRequestId lastRequestId_ = 0;
  CloseCounts closed_{};
  std::uint64_t memoryEvictions_ = 0;
  bool closesAfterResponse_ = false;
  bool rejectsIncompleteRequests_ = false;
  bool destroying_ = false;
};

}  // namespace hollyrun::gateway
