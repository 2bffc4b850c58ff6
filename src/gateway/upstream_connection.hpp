/// One connection to an upstream host, with the attempt that it carries.
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
#include "gateway/http_message.hpp"
#include "gateway/upstream_observer.hpp"
#include "gateway/upstream_response.hpp"
#include "hollyrun/balancer.hpp"

namespace hollyrun::gateway {

class UpstreamPool;

/// What becomes of a connection after its attempt.
enum class ConnectionReuse { close, keepAlive };

/// An attempt as it is given to a connection.
struct AttemptAssignment {
  AttemptKey key;
  HttpRequest request;                 ///< With its body, unless that is streamed.
  std::shared_ptr<BodyStream> upload;  ///< The streamed body, if there is one.
  balancer::Duration timeLimit{};      ///< For the whole attempt.
  balancer::Duration latestStart{};    ///< The request may not be written later than this, from now.
};

/// Carries one attempt after the other. Each attempt is reported to the pool's observer exactly once, with
/// the outcome that the way its socket ended stands for. docs/connections.md has the table of states and
/// events.
class UpstreamConnection : public std::enable_shared_from_this<UpstreamConnection> {
 public:
  using Clock = std::chrono::steady_clock;

  UpstreamConnection(UpstreamPool& pool, balancer::HostId host);

  void assign(AttemptAssignment attempt, Clock::time_point now);
  /// Connects, then sends the assigned request.
  void connect(const boost::asio::ip::tcp::endpoint& endpoint);
  /// Sends the assigned request; the connection is up.
  void sendRequest();
  /// The time limit of the attempt runs anew from now on.
  void restartTimeLimit(balancer::Duration limit);
  /// While it connects: the request may not be written later than this, from now.
  void limitStart(balancer::Duration latestStart);
  /// Ends the attempt. The connection may be kept only after a complete response: what comes late on one
  /// whose attempt was abandoned would be taken for the response to the next request.
  void complete(balancer::Outcome outcome, ConnectionReuse reuse = ConnectionReuse::close);
  /// Closes the socket and reports nothing.
  void close();

  /// For an idle connection: whether it is still open and silent, also if the event loop has not reported yet
  /// that it is not.
  bool isUsable();
  bool isConnecting() const { return state_ == State::connecting; }
  balancer::HostId host() const { return host_; }
  const AttemptKey& attempt() const { return attempt_; }
  Clock::time_point idleSince() const { return idleSince_; }

 private:
  enum class State { connecting, writing, reading, relaying, idle, closed };

  // Lifecycle: upstream_connection.cpp
  void dropBodies();
  void becomeIdle();
  void watchIdle();
  void recordUnsolicitedBytes();
  void armTimer(Clock::time_point at, balancer::Outcome outcome);
  void disarmTimer();
  void armConnectTimer();
  void handleTimeout(balancer::Outcome outcome);

  // The request: upstream_connection.cpp
  bool isAdmitted(AttemptStep step);
  void handleConnected(const boost::system::error_code& error);
  void handleRequestWritten();
  void startUpload();
  void writeUploadPiece(std::string text);
  void pumpUpload();

  // The response: upstream_response_relay.cpp
  void startReading();
  void resetParser();
  void receive();
  void handleReceived(const boost::system::error_code& error);
  void handleEndOfStream();
  void handleReadError(const boost::system::error_code& error);
  bool parseReceived();
  void bufferOrRelay();
  void completeResponse(ConnectionReuse allowed = ConnectionReuse::keepAlive);
  bool isReusable();
  void beginRelay();
  void relayParsed();
  void continueRelay();

  UpstreamPool& pool_;
  balancer::HostId host_;
  boost::asio::ip::tcp::socket socket_;
  State state_ = State::connecting;

  boost::asio::steady_timer timer_;
  std::uint64_t timerGeneration_ = 0;  // recognises the expiry of a timer that was moved when already due

  AttemptKey attempt_;
  HttpRequest request_;
  std::shared_ptr<BodyStream> upload_;
  std::string outgoing_;  // the request or a piece of it, being written
  bool writingPiece_ = false;
  bool lastChunkWritten_ = false;
  Clock::time_point startedAt_;
  Clock::time_point deadline_;
  Clock::time_point latestStart_;

  boost::beast::flat_buffer buffer_;
  std::optional<ResponseParser> parser_;
  MemoryReservation reservation_;
  std::shared_ptr<BodyStream> download_;
  bool receiving_ = false;          // a read is pending
  bool feeding_ = false;            // data is being appended to the download
  bool openEndedTimerSet_ = false;  // the shorter limit for buffering a response of unknown length

  Clock::time_point idleSince_;
  bool watching_ = false;  // a wait for the idle socket is pending
};

}  // namespace hollyrun::gateway
