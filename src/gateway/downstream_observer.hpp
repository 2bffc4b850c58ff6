/// The events that a DownstreamServer reports to its owner: requests, disconnected clients, and the end of a
/// drain.
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

/// Identifies a client request and its response; ids are not reused.
using DownstreamRequestId = std::uint64_t;

struct DownstreamRequest {
  DownstreamRequestId id = 0;
  HttpRequest message;  ///< Includes the body if that is buffered completely.
  /// Arrival of the last byte of the request or, for a streamed body, of the last byte of its head.
  std::chrono::steady_clock::time_point receivedAt;
  std::shared_ptr<UploadStream> upload;       ///< The body if it is streamed.
  std::optional<std::uint64_t> uploadLength;  ///< Bytes, if known.
};

/// Why the server rejected a request itself, without its observer.
enum class RejectionKind {
  invalid,     ///< Malformed, too large, or too slow.
  overloaded,  ///< No memory left for the body.
};

/// All methods are called on the event loop's thread and may call the server.
class DownstreamObserver {
 public:
  virtual ~DownstreamObserver() = default;

  /// A request has arrived; DownstreamServer::respond() sends its response, now or later.
  virtual void onRequest(DownstreamRequest request) = 0;
  /// The client disconnected before its response began, or the server itself rejected the request while its
  /// body was being streamed. No response is needed.
  virtual void onClientDisconnected(DownstreamRequestId id) = 0;
  /// The last byte of a streamed request body has been read. `lastByteAt` is the earliest time at which the
  /// client may have written it.
  virtual void onUploadComplete(DownstreamRequestId id, std::chrono::steady_clock::time_point lastByteAt) = 0;
  /// A streamed request body is not being read, because its host reads slowly. `lastByteAt` is the earliest
  /// time at which the client may have written the last byte. Called repeatedly.
  virtual void onUploadDelayed(DownstreamRequestId, std::chrono::steady_clock::time_point) {}
  /// The server rejected a request itself. `target` is empty if no complete head had arrived.
  virtual void onLocalRejection(const std::string& target, RejectionKind kind) = 0;
  /// The gateway closed a connection whose client was waiting for its response: the request is lost.
  virtual void onClosedUnanswered(DownstreamRequestId id, CloseReason reason) = 0;
  /// A connection was closed, whether or not its client was waiting for a response.
  virtual void onClosed(CloseReason) {}
  /// The last connection has been closed after stopAccepting().
  virtual void onDrained() = 0;
  /// Called within stopAccepting(), when all pending connections are accepted and the listener is still open.
  virtual void onLastAccept() {}
};

}  // namespace hollyrun::gateway
