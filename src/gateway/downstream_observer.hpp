/// What a DownstreamServer reports to its owner: requests, departures of clients, and the end of a drain.
#pragma once

#include <chrono>
#include <cstdint>
#include <memory>
#include <optional>
#include <string>

#include "gateway/body_stream.hpp"
#include "gateway/close_reason.hpp"
#include "gateway/http_message.hpp"

namespace hollyrun::gateway {

/// Identifies one request of a client and its response; never used again.
using DownstreamRequestId = std::uint64_t;

struct DownstreamRequest {
  DownstreamRequestId id = 0;
  HttpRequest message;  ///< With its body, if that is buffered whole.
  /// When its last byte arrived; for an upload, when its head did.
  std::chrono::steady_clock::time_point receivedAt;
  MemoryReservation reservation;              ///< For the buffered body.
  std::shared_ptr<BodyStream> upload;         ///< The body, if it is streamed.
  std::optional<std::uint64_t> uploadLength;  ///< In bytes, if it is known.
};

/// Why the server answered a request by itself, without its observer.
enum class RejectionKind {
  invalid,     ///< Malformed, too large, or too slow.
  overloaded,  ///< No memory for its body.
};

/// All calls come from the event loop's thread and may call the server back.
class DownstreamObserver {
 public:
  virtual ~DownstreamObserver() = default;

  /// A request to be answered by DownstreamServer::answer(), now or later.
  virtual void onRequest(DownstreamRequest request) = 0;
  /// The client left before its response began; no response is wanted.
  virtual void onClientDisconnected(DownstreamRequestId id) = 0;
  /// The last byte of a streamed request body has arrived.
  virtual void onUploadComplete(DownstreamRequestId id) = 0;
  /// The server answered by itself. `target` is empty if no complete head had arrived.
  virtual void onLocalRejection(const std::string& target, RejectionKind kind) = 0;
  /// This side closed a connection whose client waits for its response: a lost request.
  virtual void onClosedUnanswered(DownstreamRequestId id, CloseReason reason) = 0;
  /// After stopAccepting(): the last connection is closed.
  virtual void onDrained() = 0;
  /// In stopAccepting(): all pending connections are accepted, and the listener is still open.
  virtual void onLastAccept() {}
};

}  // namespace hollyrun::gateway
