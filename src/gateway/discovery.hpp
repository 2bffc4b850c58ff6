/// Client of the discovery service: watches the endpoint list by long polls. When to start a new watch after
/// a failure is decided by the balancer.
#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http/empty_body.hpp>
#include <boost/beast/http/message.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/string_body.hpp>
#include <chrono>
#include <functional>
#include <memory>
#include <optional>

#include "gateway/endpoint_list.hpp"

namespace hollyrun::gateway {

class Discovery {
 public:
  struct Callbacks {
    std::function<void(const EndpointList&)> onEndpoints;
    std::function<void()> onFailure;  ///< the watch has ended
  };
  struct Timeouts {
    std::chrono::milliseconds watch{20000};  ///< how long a long poll may wait for a change
    /// How much longer any call may take before it counts as failed. A change that a failed poll did not
    /// deliver has to be applied within 2 s after the poll's wait, and the balancer's backoff takes up to 1.5
    /// s of that.
    std::chrono::milliseconds answer{1000};
  };

  Discovery(boost::asio::io_context& io, boost::asio::ip::tcp::endpoint server, Callbacks callbacks,
            Timeouts timeouts);
  ~Discovery();
  Discovery(const Discovery&) = delete;
  Discovery& operator=(const Discovery&) = delete;

  /// Sets the version of the list that is held already, so that a watch asks for changes to it.
  void setKnownVersion(std::int64_t version) { version_ = version; }
  const boost::asio::ip::tcp::endpoint& server() const { return server_; }
  /// Starts a watch; one that is under way is abandoned.
  void watch();
  /// Continues with another discovery server and starts a watch there, from a snapshot on.
  void switchServer(boost::asio::ip::tcp::endpoint server);
  void stop();

 private:
  struct Connection;
  /// firstPoll returns at once, so that the balancer learns that the watch is up; later ones wait for a
  /// change.
  enum class RequestType { snapshot, firstPoll, poll };

  void send(RequestType type);
  void complete(RequestType type, const std::optional<EndpointList>& list);
  void fail();

  boost::asio::io_context& io_;
  boost::asio::ip::tcp::endpoint server_;
  Callbacks callbacks_;
  Timeouts timeouts_;
  std::optional<std::int64_t> version_;
  std::shared_ptr<Connection> connection_;
};

}  // namespace hollyrun::gateway
