/// Client of the discovery service: keeps a watch on the endpoint list by long polling.
///
/// What discovery has counts as announced to this gateway whether or not a call is open, so the time without
/// an open call has to stay well below the grace for draining endpoints. A failed call is therefore repeated
/// after a short random delay, however many have failed before, and a call that is not answered gets a second
/// one beside it.
#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <chrono>
#include <cstdint>
#include <functional>
#include <memory>
#include <optional>

#include "balancer/random_source.hpp"
#include "gateway/discovery_call.hpp"
#include "gateway/discovery_monitor.hpp"
#include "gateway/endpoint_list.hpp"

namespace hollyrun::gateway {

/// A list from discovery.
struct EndpointUpdate {
  const EndpointList& list;
  /// The earliest time at which its changes may have been announced: now for an open watch, the last answer
  /// before a watch that was interrupted.
  std::chrono::steady_clock::time_point changedSince;
};

class Discovery : private DiscoveryCallObserver {
 public:
  using Clock = std::chrono::steady_clock;

  struct Callbacks {
    std::function<void(const EndpointUpdate&)> onEndpoints;
    std::function<void(const DiscoveryCallReport&)> onCallEnded = nullptr;  ///< Optional.
  };
  struct Timeouts {
    std::chrono::milliseconds watch{20000};  ///< The time that a long poll waits for a change.
    /// The time that a long poll may take beyond its wait before it counts as failed. A change that it did
    /// not deliver has to be applied within 2 s after the end of the wait.
    std::chrono::milliseconds answer{1000};
    std::chrono::milliseconds connect{250};
    /// The time that a call without a wait may take. A change counts as announced 6 s after discovery had it,
    /// so slower answers are too late.
    std::chrono::milliseconds firstAnswer{5000};
    /// The time until a call without a wait gets a second one beside it, which is replaced as often.
    std::chrono::milliseconds hedge{400};
  };

  /// `seed` should differ between gateways, so that they do not repeat failed calls at the same moments.
  Discovery(boost::asio::io_context& io, boost::asio::ip::tcp::endpoint server, Callbacks callbacks,
            Timeouts timeouts, std::uint64_t seed);
  ~Discovery();
  Discovery(const Discovery&) = delete;
  Discovery& operator=(const Discovery&) = delete;

  /// Sets the version of the list in effect, so that the first call requests changes since that version.
  void setKnownVersion(std::int64_t version) { version_ = version; }
  const boost::asio::ip::tcp::endpoint& server() const { return server_; }
  /// Starts the watch. Has no effect if it has started already.
  void watch();
  /// Switches to another discovery server and starts a watch there, which begins with a snapshot.
  void switchServer(boost::asio::ip::tcp::endpoint server);
  void stop();

 private:
  /// What happens when the timer expires.
  enum class TimerAction { retry, hedge, poll };

  void startFirstCall();
  void startPoll();
  std::shared_ptr<DiscoveryCall> openFirstCall();
  void onCallComplete(DiscoveryCall& call, DiscoveryCallOutcome outcome) override;
  DiscoveryCallResult checkVersion(const DiscoveryCallOutcome& outcome);
  void handleList(DiscoveryCall& call, const EndpointList& list);
  void handleFailure(DiscoveryCall& call, DiscoveryCallResult result, const DiscoveryCallOutcome& outcome);
  void abandon(std::shared_ptr<DiscoveryCall>& call);
  void abandonCalls();
  std::chrono::milliseconds drawRetryDelay(DiscoveryCallResult result);
  void startTimer(std::chrono::milliseconds delay, TimerAction action);
  void cancelTimer();
  void runTimer(TimerAction action);
  std::chrono::milliseconds timeUntilTimer() const;
  void report(const DiscoveryCall& call, DiscoveryCallResult result, const DiscoveryCallOutcome& outcome,
              std::optional<std::chrono::milliseconds> nextCallIn);

  boost::asio::io_context& io_;
  boost::asio::ip::tcp::endpoint server_;
  Callbacks callbacks_;
  Timeouts timeouts_;
  balancer::RandomSource random_;
  boost::asio::steady_timer timer_;
  // Number of the current wait. The handler of an earlier wait may already be queued when the timer is
  // started anew or cancelled; it is ignored because its number differs.
  std::uint64_t timerNumber_ = 0;
  bool isWatching_ = false;
  std::optional<std::int64_t> version_;
  Clock::time_point confirmedAt_ = Clock::now();  // the start, until discovery has answered
  std::shared_ptr<DiscoveryCall> call_;           // null while the next call is delayed
  std::shared_ptr<DiscoveryCall> hedge_;          // beside a call without a wait that is not answered yet
};

}  // namespace hollyrun::gateway
