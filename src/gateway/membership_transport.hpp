// The gateway's place in the fleet: membership (src/membership) on a UDP socket and a timer. It exists only
// where the configuration names an address for it.
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
  /// Binds its address, or tries on where another process still holds it: the older one of an upgrade, whose
  /// place it then takes. `sized` hears of each change of the number to divide by. The log has to outlive it.
  MembershipTransport(boost::asio::io_context& io, const Config& config, Log& log,
                      std::function<void()> sized);
  ~MembershipTransport();
  MembershipTransport(const MembershipTransport&) = delete;
  MembershipTransport& operator=(const MembershipTransport&) = delete;

  /// Whether these settings are for the same place in the same fleet; else it has to be made anew.
  bool serves(const Config& config) const;
  void reload(const Config& config);
  /// Says goodbye and closes; with a successor, a process that takes the place at once, it only closes.
  void leave(bool successor);

  /// What the limits of the whole fleet are divided by: all that may hold a part of them, ourselves included.
  std::uint32_t quotaHolders() const;
  /// Where it is reached; port 0 while it has no address.
  udp::endpoint listening() const;
  std::string text() const;  ///< of GET /ops/fleet
  std::vector<prometheus::MetricFamily> metrics() const;

 private:
  class Link;
  std::shared_ptr<Link> link_;
};

/// Of what a gateway serves by, for comparison: equal files give equal digests at all gateways of a fleet.
std::uint64_t digestOf(const Config& config);

}  // namespace hollyrun::gateway
