/// The gateway's membership of its fleet (src/membership) on a UDP socket and a timer. It exists only where
/// the configuration names an address for it.
#pragma once

#include <prometheus/metric_family.h>

#include <boost/asio/io_context.hpp>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "gateway/config.hpp"
#include "gateway/log.hpp"

namespace hollyrun::gateway {

class MembershipTransport {
 public:
  /// Binds its address, or retries while another process holds it: the older one of a hot restart, whose
  /// place it then takes over. `onQuotaHoldersChanged` is called after each change of quotaHolders(). The log
  /// has to outlive this object.
  MembershipTransport(boost::asio::io_context& io, const Config& config, Log& log,
                      std::function<void()> onQuotaHoldersChanged);
  ~MembershipTransport();
  MembershipTransport(const MembershipTransport&) = delete;
  MembershipTransport& operator=(const MembershipTransport&) = delete;

  /// Whether these settings are for the same member of the same fleet; else it has to be created anew.
  bool serves(const Config& config) const;
  void reload(const Config& config);
  /// Announces the departure and closes; with a successor, a process that takes the place at once, it only
  /// closes.
  void leave(bool successor);

  /// What the limits of the whole fleet are divided by: all that may hold a part of them, ourselves included.
  std::uint32_t quotaHolders() const;
  /// Where it is reached; port 0 while it has no address.
  udp::endpoint listening() const;
  /// The body of GET /ops/fleet.
  std::string text() const;
  std::vector<prometheus::MetricFamily> metrics() const;

 private:
  class Impl;
  std::shared_ptr<Impl> impl_;
};

/// Digest of the settings that a gateway serves by: equal files give equal digests at all gateways of a
/// fleet.
std::uint64_t digestOf(const Config& config);

}  // namespace hollyrun::gateway
