/// One connection of a client: reads its requests, writes their responses, and notices that the client left.
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
#include "gateway/close_reason.hpp"
#include "gateway/connection_evictor.hpp"
#include "gateway/downstream_observer.hpp"
#include "gateway/http_message.hpp"
#include "gateway/incremental_body.hpp"

namespace hollyrun::gateway {

class DownstreamServer;

/// Called once per response: whether it was written completely, or its connection ended before that.
using ResponseCallback = std::function<void(bool complete)>;

/// docs/connections.md has the table of states and events.
class DownstreamConnection : public std::enable_shared_from_this<DownstreamConnection> {
 public:
  using Clock = std::chrono::steady_clock;

  DownstreamConnection(DownstreamServer& server, boost::asio::ip::tcp::socket socket);

  void start() { awaitReadable(); }

  void respond(HttpResponse response, ResponseCallback callback);
  /// With a streamed body, in chunks if its length is not known.
  void respondStreaming(HttpResponse head, std::shared_ptr<BodyStream> body,
                        std::optional<std::uint64_t> length, ResponseCallback callback);

  /// Closes the socket at once. The first reason counts: a connection that lingers has one already.
  void close(CloseReason reason);
  /// Ends our side of the connection and discards what the client still sends until it ends its own. A
  /// connection that is closed with unread bytes in it, or that receives more after the close, is reset, and
  /// the reset may overtake the response; a client whose request meets our end sends it once more.
  void linger(CloseReason reason);
  /// The client left while its request was waiting for its response.
  void handleClientGone();
  /// What has to happen by time alone; called periodically.
  void checkTimeouts(Clock::time_point now);

  /// Between requests, and nothing waits to be read.
  bool isIdle() const;
  /// A part of a request has come, and nothing waits to be read.
  bool isIncomplete() const;
  /// Connected so recently that its first request may be on its way.
  bool mayExpectFirstRequest(Clock::time_point now) const;
  /// Whether the client has ended its side, asked of the socket: the event loop reports no end that lies
  /// behind unread bytes, and may not have reported one yet.
  bool hasClientHungUp();
  Clock::time_point lastReceivedAt() const { return lastReceivedAt_; }

 private:
  enum class State {
    idle,
    readingHead,
    readingBody,
    uploading,         // the request was handed over, its body is streamed
    awaitingResponse,  // the request was handed over complete
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
  void notifyResponseEnd(bool complete);
  void dropBodies();
  void discardInput();
  void handleEndOfStream();

  // Requests: downstream_request_reader.cpp
  void resetForNextRequest();
  void startNextRequest();
  void awaitReadable();
  void awaitPipelined();
  void handleReadable();
  void parseInput();
  bool parseBuffered();
  bool handleHead();
  bool handleExpectation();
  bool sendContinue();
  bool handleBody();
  bool feedUpload(const std::string& piece);
  void beginUpload();
  void resumeUpload();
  void completeUpload();
  void submitRequest();
  DownstreamRequest makeRequest(State next);
  bool reject(boost::beast::http::status status);
  void rejectMalformed(const boost::system::error_code& error);

  // Responses: downstream_response_writer.cpp
  void beginResponse(HttpResponse& response, ResponseCallback callback);
  void finishResponse(const boost::system::error_code& error);
  void writePiece(std::string text, bool isChunked);
  void pumpDownload(bool isChunked);

  DownstreamServer& server_;
  boost::asio::ip::tcp::socket socket_;
  State state_ = State::idle;
  const Clock::time_point connectedAt_ = Clock::now();
  Clock::time_point stateSince_;  // in readingHead, since the first byte of the request
  std::optional<CloseReason> lingerReason_;
  ConnectionEvictor::List* evictionList_ = nullptr;  // the list that holds this connection, if one does
  ConnectionEvictor::List::iterator evictionEntry_;

  boost::beast::flat_buffer buffer_;
  std::optional<boost::beast::http::request_parser<IncrementalBody>> parser_;
  MemoryReservation reservation_;
  std::shared_ptr<BodyStream> upload_;
  DownstreamRequestId requestId_ = 0;
  Clock::time_point lastReceivedAt_ = connectedAt_;
  Clock::time_point bodyStartedAt_;
  Clock::time_point uploadPausedAt_;
  std::size_t bodyBytes_ = 0;
  std::size_t discardedBytes_ = 0;    // while lingering
  bool awaitingFirstRequest_ = true;  // no request has come complete yet
  bool readPending_ = false;          // a wait for the socket to be readable
  bool feedingUpload_ = false;        // data is being appended to the upload

  ResponseCallback responseCallback_;
  std::shared_ptr<BodyStream> download_;
  std::string outgoing_;    // the response or a piece of it, being written
  bool keepAlive_ = false;  // of the request, then of its response
  bool writingPiece_ = false;
  bool lastChunkWritten_ = false;
};

}  // namespace hollyrun::gateway
