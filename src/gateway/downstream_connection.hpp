/// A downstream client's connection: reads requests, writes their responses, and detects that the client has
/// disconnected.
#pragma once

#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/status.hpp>
#include <chrono>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>

#include "gateway/body_stream.hpp"
#include "gateway/client_write_estimate.hpp"
#include "gateway/close_reason.hpp"
#include "gateway/connection_evictor.hpp"
#include "gateway/downstream_observer.hpp"
#include "gateway/head_size.hpp"
#include "gateway/http_message.hpp"
#include "gateway/incremental_body.hpp"

namespace hollyrun::gateway {

class DownstreamServer;

/// Whether a client that waits for its response is still connected. `unknown`: so much of its input is unread
/// that a close behind it may not have reached this machine.
enum class ClientPresence : std::uint8_t { present, departed, unknown };

/// Called once per response. `complete` is false if the connection ended before the whole response was
/// written.
using ResponseCallback = std::function<void(bool complete)>;

/// A state machine; docs/connections.md has its table of states and events.
class DownstreamConnection : public std::enable_shared_from_this<DownstreamConnection> {
 public:
  using Clock = std::chrono::steady_clock;

  /// `queuedSince` is the earliest time at which the connection may have been established.
  DownstreamConnection(DownstreamServer& server, boost::asio::ip::tcp::socket socket,
                       Clock::time_point queuedSince);

  void start() { awaitReadable(); }
  /// Continues to read after a pause under memory pressure.
  void resumeReading();

  void respond(HttpResponse response, ResponseCallback callback);
  /// Sends a response with a streamed body, chunked if its length is not known.
  void respondStreaming(HttpResponse head, std::shared_ptr<ResponseStream> body,
                        std::optional<std::uint64_t> length, ResponseCallback callback);

  /// Closes the socket at once. Only the first reason is recorded: that of linger() if the connection
  /// lingers.
  void close(CloseReason reason);
  /// Half-closes the connection and discards what the client still sends, until the client closes its side or
  /// a limit on time or bytes is exceeded. Closing at once could lose the response: the kernel resets a
  /// connection that is closed with unread bytes or receives bytes after the close, and the reset may
  /// overtake the response. A client whose request crosses the half-close sends the request again.
  void linger(CloseReason reason);
  /// Handles a client that disconnected while its request was waiting for its response.
  void handleClientDisconnected();
  /// Closes the connection or rejects its request if a time limit is exceeded, and detects a disconnected
  /// client while the socket is not being read. Called periodically.
  void checkTimeouts(Clock::time_point now);

  /// Whether the connection is between requests and its socket has no unread bytes.
  bool isIdle() const;
  /// Whether a part of a request has arrived and the socket has no unread bytes.
  bool isIncomplete() const;
  /// Whether the connection is so recent that its first request may still be in transit.
  bool mayExpectFirstRequest(Clock::time_point now) const;
  /// Whether the client has closed its side. Queries the socket, because the event loop may not have reported
  /// the close yet and never reports one that follows unread bytes.
  bool hasClientHungUp();
  ClientPresence clientPresence();
  /// For an upload: the earliest time at which the client may have written its last byte; now if it has not.
  Clock::time_point earliestLastByte();
  Clock::time_point lastReceivedAt() const { return lastReceivedAt_; }
  /// The bytes that this connection's client makes the process hold.
  std::size_t heldBytes() const;
  /// Whether the connection may be closed, or its request be refused, to free memory: nothing that was taken
  /// is lost by that. Under more pressure its client gets less time to go on.
  bool mayReleaseMemory(MemoryPressure pressure) const;
  /// Closes the connection or refuses its request.
  void endForMemory();

 private:
  enum class State {
    idle,
    readingHead,
    readingBody,
    uploading,         // The observer has the request; its body is being streamed.
    awaitingResponse,  // The observer has the complete request.
    responding,
    lingering,
    closed,
  };

  // State and timeouts: downstream_connection.cpp
  void setState(State next);
  ConnectionEvictor::List* evictionListFor(State state);
  bool isEstablished();
  bool isOverdue(Clock::time_point now) const;
  bool isBodyTooSlow(Clock::time_point now) const;
  void rejectIncomplete();
  void notifyResponseEnd(bool complete);
  void dropBodies();
  void discardInput();
  void handleEndOfStream(const boost::system::error_code& error);

  // Requests: downstream_request_reader.cpp
  void resetForNextRequest();
  void startNextRequest();
  void awaitReadable();
  void awaitPipelined();
  void handleReadable();
  bool isReadingRequest() const;
  std::size_t readSize() const;
  void recordArrival();
  void recordBacklog();
  Clock::time_point arrivalOfLastRead();
  void parseInput();
  void awaitMore();
  bool parseBuffered();
  bool hasMemoryForHead();
  bool hasMemoryForBody();
  void releaseInput();
  void shrinkInput();
  bool handleHead();
  bool handleExpectation();
  bool sendContinue();
  bool handleBody();
  bool feedUpload(const RequestBodyText& piece);
  void beginUpload();
  void resumeUpload();
  void reportDelayedUpload(Clock::time_point now);
  void completeUpload();
  void submitRequest();
  DownstreamRequest makeRequest(State next);
  bool rejectForMemory(MemoryUse use);
  bool reject(boost::beast::http::status status);
  void rejectMalformed(const boost::system::error_code& error);

  // Responses: downstream_response_writer.cpp
  void beginResponse(HttpResponse& response, ResponseCallback callback);
  void finishResponse(const boost::system::error_code& error);
  void writePiece(ResponseText text, bool isChunked);
  void pumpDownload(bool isChunked);

  DownstreamServer& server_;
  boost::asio::ip::tcp::socket socket_;
  State state_ = State::idle;
  const Clock::time_point connectedAt_ = Clock::now();
  Clock::time_point stateSince_;  // In readingHead: the arrival of the request's first byte.
  std::optional<CloseReason> lingerReason_;
  ConnectionEvictor::List* evictionList_ = nullptr;  // The list that contains this connection, if any.
  ConnectionEvictor::List::iterator evictionEntry_;

  using HeadAllocator = CountedAllocator<char, MemoryUse::requestHead>;
  using Parser = boost::beast::http::request_parser<BasicIncrementalBody<RequestBodyText>, HeadAllocator>;

  boost::beast::basic_flat_buffer<HeadAllocator> buffer_;
  std::optional<Parser> parser_;  // Empty once no further request is read.
  HeadMeter headMeter_;
  std::size_t unmeasuredBytes_ = 0;    // At the end of buffer_, not seen by headMeter_ yet.
  ClientWriteEstimate writeEstimate_;  // Of an upload.
  std::shared_ptr<UploadStream> upload_;
  DownstreamRequestId requestId_ = 0;
  Clock::time_point lastReceivedAt_ = connectedAt_;
  // If the first request waited in the accept queue, the earliest time at which it may have been sent.
  std::optional<Clock::time_point> firstRequestQueuedSince_;
  std::optional<Clock::time_point> unreadSince_;      // Since when reading has not caught up with the client.
  Clock::time_point earliestWriteAt_ = connectedAt_;  // Of the bytes that were read last.
  Clock::time_point bodyStartedAt_;
  Clock::time_point uploadPausedAt_;
  std::size_t bodyBytes_ = 0;
  std::size_t discardedBytes_ = 0;    // While lingering.
  bool awaitingFirstRequest_ = true;  // No request has been received completely yet.
  bool readPending_ = false;          // A wait for the socket to become readable is pending.
  bool feedingUpload_ = false;        // Data is being appended to the upload.

  ResponseCallback responseCallback_;
  std::shared_ptr<ResponseStream> download_;
  ResponseText outgoing_;   // The response, or the piece of it, that is being written.
  bool keepAlive_ = false;  // First the request's, then its response's.
  bool writingPiece_ = false;
  bool lastChunkWritten_ = false;
};

}  // namespace hollyrun::gateway
