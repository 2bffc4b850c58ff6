/// Makes the work with the discovery service visible: logs the end of each call and each endpoint's change of
/// state, and exports counters and the age of the endpoint list on /metrics.
#pragma once

#include <prometheus/metric_family.h>

#include <array>
#include <boost/asio/ip/tcp.hpp>
#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "gateway/discovery_call.hpp"
#include "gateway/log.hpp"
#include "hollyrun/balancer.hpp"

namespace hollyrun::gateway {

/// The end of one call.
struct DiscoveryCallReport {
  boost::asio::ip::tcp::endpoint server;
  DiscoveryCallType type{};
  DiscoveryCallResult result{};
  std::string detail;
  std::chrono::milliseconds duration{};
  std::optional<std::int64_t> version;  ///< of the list that it returned
  std::size_t listedEndpoints = 0;
  std::optional<std::chrono::milliseconds> nextCallIn;  ///< empty if another call is open or none follows
};

struct EndpointStateChange {
  std::string uid;
  std::optional<balancer::EndpointState> from;  ///< empty if no list has named the endpoint before
  balancer::EndpointState to{};
  std::int64_t listVersion = 0;
};

class DiscoveryMonitor {
 public:
  using Clock = std::chrono::steady_clock;

  explicit DiscoveryMonitor(Log& log) : log_(log) {}

  void recordCallEnd(const DiscoveryCallReport& report);
  void recordStateChange(const EndpointStateChange& change);

  std::vector<prometheus::MetricFamily> collectMetrics() const;

 private:
  static constexpr std::size_t kEndpointStates = 3;

  /// Time since discovery last confirmed the list in effect.
  std::chrono::duration<double> listAge() const { return Clock::now() - listConfirmedAt_; }

  Log& log_;
  std::array<std::uint64_t, kDiscoveryCallResults> calls_{};   // by result
  std::array<std::uint64_t, kEndpointStates> stateChanges_{};  // by new state
  Clock::time_point listConfirmedAt_ = Clock::now();           // the start, until discovery answers
  std::optional<std::int64_t> listVersion_;                    // of discovery's last list
};

}  // namespace hollyrun::gateway
