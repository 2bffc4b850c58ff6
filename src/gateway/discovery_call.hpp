/// One call to the discovery service: an HTTP request for the endpoint list and its response, on a connection
/// that later calls can reuse.
#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/string_body.hpp>
#include <chrono>
#include <cstddef>
#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

#include "gateway/endpoint_list.hpp"

namespace hollyrun::gateway {

enum class DiscoveryCallType : std::uint8_t {
  snapshot,   ///< requests the whole list
  firstPoll,  ///< requests the changes since a version and is answered at once
  poll,       ///< long poll: waits for a change
};

/// The reason for which a call ended.
enum class DiscoveryCallResult : std::uint8_t {
  list,             ///< a valid list
  localError,       ///< this machine lacked a descriptor, port, buffer or route
  connectFailed,    ///< refused, or another error of the network
  connectTimeout,   ///< the connection was not established in time
  connectionLost,   ///< closed or reset before the whole response
  noAnswer,         ///< no whole response in time
  errorStatus,      ///< a status other than 200
  invalidList,      ///< not a valid list
  unexpectedDelta,  ///< changes to a list that this client does not have
  abandoned,        ///< given up: another call was answered, the server was switched, or the process ends
};
inline constexpr std::size_t kDiscoveryCallResults = 10;

/// Return the field values of log lines and the label values of metrics.
std::string_view nameOf(DiscoveryCallType type);
std::string_view nameOf(DiscoveryCallResult result);

struct DiscoveryCallOutcome {
  DiscoveryCallResult result{};
  std::string detail;                ///< the error or status; empty if the result says it all
  std::optional<EndpointList> list;  ///< present if the result is `list`
};

class DiscoveryCall;

class DiscoveryCallObserver {
 public:
  /// Not called for calls that close() ended. `call` may be closed or start again within.
  virtual void onCallComplete(DiscoveryCall& call, DiscoveryCallOutcome outcome) = 0;

 protected:
  ~DiscoveryCallObserver() = default;
};

class DiscoveryCall : public std::enable_shared_from_this<DiscoveryCall> {
 public:
  using Clock = std::chrono::steady_clock;

  struct Request {
    DiscoveryCallType type{};
    std::string target;
    std::chrono::milliseconds connectTimeout{};
    std::chrono::milliseconds timeout{};  ///< for the whole call
  };

  /// `observer` has to outlive the call or close it.
  DiscoveryCall(boost::asio::io_context& io, const boost::asio::ip::tcp::endpoint& server,
                DiscoveryCallObserver& observer);

  /// Starts a call on the open connection or a new one. The previous call must have ended.
  void start(Request request);
  /// Ends the call without a completion and closes the connection.
  void close();

  /// Whether the connection is open, so that the next call can reuse it.
  bool isConnected() const { return socket_.is_open(); }
  DiscoveryCallType type() const { return request_.type; }
  Clock::time_point startedAt() const { return startedAt_; }

 private:
  void limitTime(std::chrono::milliseconds timeout, DiscoveryCallResult result);
  void connect();
  void write();
  void readResponse();
  void handleResponse(const boost::system::error_code& error);
  void fail(const boost::system::error_code& error, DiscoveryCallResult result);
  void complete(DiscoveryCallOutcome outcome);

  boost::asio::ip::tcp::endpoint server_;
  DiscoveryCallObserver* observer_;  // null once closed
  boost::asio::ip::tcp::socket socket_;
  boost::asio::steady_timer timer_;
  boost::beast::flat_buffer buffer_;
  Request request_;
  Clock::time_point startedAt_{};
  std::string serializedRequest_;  // kept while it is written
  std::optional<boost::beast::http::response_parser<boost::beast::http::string_body>> parser_;
  // Number of the current time limit. The handler of an earlier limit may already be queued when the limit is
  // replaced; it is ignored because its number differs.
  std::uint64_t timeLimitNumber_ = 0;
};

}  // namespace hollyrun::gateway
