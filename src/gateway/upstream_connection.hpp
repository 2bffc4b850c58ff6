/// One connection to an upstream host and the attempt that it carries.
#pragma once

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <chrono>
#include <cstddef>
#include <cstdint>
#include <memory>
#include <optional>
#include <string>

#include "gateway/body_stream.hpp"
#include "gateway/forwarded_request.hpp"
#include "gateway/head_size.hpp"
#include "gateway/http_message.hpp"
#include "gateway/response_progress.hpp"
#include "gateway/upstream_limits.hpp"
#include "gateway/upstream_observer.hpp"
#include "gateway/upstream_response.hpp"
#include "hollyrun/balancer.hpp"

namespace hollyrun::gateway {

class UpstreamPool;

/// Whether a connection is kept open after its attempt.
enum class ConnectionReuse { close, keepAlive };

/// The streamed body of a request.
struct StreamedUpload {
  std::shared_ptr<UploadStream> body;  ///< Null if the body is not streamed.
  /// The attempt ends if its host accepts nothing for this long. Meanwhile the body is not read, so its
  /// client may have sent the last byte already and be waiting for the response.
  balancer::Duration stallLimit = kStallTimeout;
};

/// An attempt to be carried by a connection.
struct AttemptAssignment {
  AttemptKey key;
  ForwardedRequestPtr request;
  StreamedUpload upload;
  balancer::Duration timeLimit{};    ///< Time limit of the whole attempt.
  balancer::Duration latestStart{};  ///< Time from now after which the request is not written.
};

/// Carries attempts one after the other. Each attempt is reported to the pool's observer exactly once, with
/// an outcome derived from its response, its time limits or the error of its socket. docs/connections.md has
/// the table of states and events.
class UpstreamConnection : public std::enable_shared_from_this<UpstreamConnection> {
 public:
  using Clock = std::chrono::steady_clock;

  UpstreamConnection(UpstreamPool& pool, balancer::HostId host);

  void assign(AttemptAssignment attempt, Clock::time_point now);
  /// Connects, then sends the assigned request.
  void connect(const boost::asio::ip::tcp::endpoint& endpoint);
  /// Sends the assigned request on the established connection.
  void sendRequest();
  /// Restarts the time limit of the attempt from now.
  void restartTimeLimit(balancer::Duration limit);
  /// For a connecting attempt: `latestStart` from now is the latest time at which its request may be written.
  void limitStart(balancer::Duration latestStart);
  /// Completes the attempt. The connection may be kept only after a complete response: the late response to
  /// an abandoned attempt would be taken for the response to the next request.
  void complete(balancer::Outcome outcome, ConnectionReuse reuse = ConnectionReuse::close);
  /// Closes the socket without reporting the attempt.
  void close();

  /// For an idle connection: whether it is still open and has no unread bytes. Checks the socket itself,
  /// since the event loop may not have reported a change yet.
  bool isUsable();
  bool isConnecting() const { return state_ == State::connecting; }
  /// Whether the last byte of the attempt's upload cannot have been written.
  bool isUploadUnfinished() const { return upload_ && !upload_->isFinished(); }
  balancer::HostId host() const { return host_; }
  const AttemptKey& attempt() const { return attempt_; }
  Clock::time_point idleSince() const { return idleSince_; }
  /// For how long the other side has let this connection wait: the client of an upload that has sent nothing,
  /// or the client or the host of a response after its deadline. 0 if the connection is not waiting for them.
  Clock::duration stalledFor(Clock::time_point now) const;
  /// Ends a stalled upload, which cannot have been executed, or a stalled response.
  void endStalled();

 private:
  enum class State { connecting, writing, reading, relaying, idle, closed };

  // Lifecycle, defined in upstream_connection.cpp.
  void releaseBodies();
  void becomeIdle();
  void watchIdle();
  void recordUnsolicitedBytes();
  void armTimer(Clock::time_point at, balancer::Outcome outcome);
  void disarmTimer();
  void armConnectTimer();
  void handleTimeout(balancer::Outcome outcome);

  // Request, defined in upstream_connection.cpp.
  bool isAdmitted(AttemptStep step);
  void handleConnected(const boost::system::error_code& error);
  void handleRequestWritten();
  void startUpload();
  void writeUploadPiece(AttemptText text);
  void armStallTimer();
  void checkStall();
  void continueUpload();

  // Response, defined in upstream_response_relay.cpp.
  void startReading();
  void resetParser();
  void receive();
  void readAvailable();
  void measureHead(std::size_t newBytes);
  void handleReceived(const boost::system::error_code& error);
  void handleEndOfStream();
  void handleReadError(const boost::system::error_code& error);
  bool parseReceived();
  bool mayBufferBody();
  void bufferOrRelay();
  void completeResponse(ConnectionReuse allowed = ConnectionReuse::keepAlive);
  bool isReusable();
  void beginRelay();
  void relayParsed();
  void continueRelay();
  void abortRelay(ResponseCutReason reason);
  void checkProgress();
  Clock::time_point responseEndsAt() const;

  UpstreamPool& pool_;
  balancer::HostId host_;
  boost::asio::ip::tcp::socket socket_;
  State state_ = State::connecting;

  boost::asio::steady_timer timer_;
  // Identifies stale expiries: if a timer is already due when it is rearmed, its old handler still runs.
  std::uint64_t timerGeneration_ = 0;

  AttemptKey attempt_;
  ForwardedRequestPtr request_;
  std::optional<std::chrono::milliseconds> advertisedDeadline_;
  std::shared_ptr<UploadStream> upload_;
  balancer::Duration uploadStallLimit_{};
  std::size_t unacknowledgedBytes_ = 0;  // When the stall timer was armed.
  Clock::time_point acceptedAt_;         // When the host was last seen to accept bytes of the upload.
  AttemptText outgoing_;                 // The request or the piece of it that is being written.
  std::optional<Clock::time_point> starvedSince_;  // No data of the upload is left to write.
  bool writingPiece_ = false;
  bool lastChunkWritten_ = false;
  Clock::time_point startedAt_;
  Clock::time_point deadline_;
  Clock::time_point latestStart_;

  boost::beast::basic_flat_buffer<ResponseAllocator> buffer_;
  std::optional<ResponseParser> parser_;
  HeadMeter headMeter_;  // Of the response.
  std::shared_ptr<ResponseStream> download_;
  ResponseProgress progress_;       // Of the download.
  Clock::time_point pausedAt_;      // When progress_ was paused.
  bool readPending_ = false;        // A socket read is pending.
  bool appending_ = false;          // Data is being appended to the download.
  bool openEndedTimerSet_ = false;  // The shorter limit for buffering a response of unknown length is in use.

  Clock::time_point idleSince_;
  bool idleWaitPending_ = false;  // A wait for the idle socket to become readable is pending.
};

}  // namespace hollyrun::gateway
