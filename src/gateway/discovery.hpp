/// Client of the discovery service: watches the endpoint list by long polling. The balancer decides when to
/// start a new watch after a failure.
#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <chrono>
#include <cstdint>
#include <functional>
#include <memory>
#include <optional>

#include "gateway/discovery_call.hpp"
#include "gateway/discovery_monitor.hpp"
#include "gateway/endpoint_list.hpp"

namespace hollyrun::gateway {

class Discovery : private DiscoveryCallObserver {
 public:
  struct Callbacks {
    std::function<void(const EndpointList&)> onEndpoints;
    std::function<void()> onFailure;  ///< The watch has ended; watch() starts a new one.
    std::function<void(const DiscoveryCallReport&)> onCallEnded = nullptr;  ///< Optional.
  };
  struct Timeouts {
    std::chrono::milliseconds watch{20000};  ///< The time that a long poll waits for a change.
    /// The time that any request may take beyond its wait before it counts as failed. A change that a failed
    /// poll did not deliver has to be applied within 2 s after the end of the poll's wait, and the balancer's
    /// backoff takes up to 1.5 s of that.
    std::chrono::milliseconds answer{1000};
  };

  Discovery(boost::asio::io_context& io, boost::asio::ip::tcp::endpoint server, Callbacks callbacks,
            Timeouts timeouts);
  ~Discovery();
  Discovery(const Discovery&) = delete;
  Discovery& operator=(const Discovery&) = delete;

  /// Sets the version of the list in effect, so that the next watch requests changes since that version.
  void setKnownVersion(std::int64_t version) { version_ = version; }
  const boost::asio::ip::tcp::endpoint& server() const { return server_; }
  /// Starts a watch and abandons the current one, if any.
  void watch();
  /// Switches to another discovery server and starts a watch there, which begins with a snapshot.
  void switchServer(boost::asio::ip::tcp::endpoint server);
  void stop();

 private:
  /// The first poll returns at once, so that the balancer is notified that the watch works; later polls wait
  /// for a change.
  void send(DiscoveryCallType type);
  void onCallComplete(DiscoveryCall& call, DiscoveryCallOutcome outcome) override;
  DiscoveryCallResult applyOutcome(DiscoveryCallOutcome& outcome, DiscoveryCallType type);
  void report(const DiscoveryCall& call, DiscoveryCallResult result, const DiscoveryCallOutcome& outcome);

  boost::asio::io_context& io_;
  boost::asio::ip::tcp::endpoint server_;
  Callbacks callbacks_;
  Timeouts timeouts_;
  std::optional<std::int64_t> version_;
  std::shared_ptr<DiscoveryCall> call_;
};

}  // namespace hollyrun::gateway
