/// Runs fleet membership (src/membership) over a UDP socket and a timer. It is created only if the
/// configuration sets a membership address.
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
  /// Binds the membership address. While that fails it is retried: during a hot restart the older process
  /// still has the address, and this one takes over its membership when the address is released.
  /// `onQuotaHoldersChanged` is called after each change of quotaHolders(). The log must outlive this object.
  MembershipTransport(boost::asio::io_context& io, const Config& config, Log& log,
                      std::function<void()> onQuotaHoldersChanged);
  ~MembershipTransport();
  MembershipTransport(const MembershipTransport&) = delete;
  MembershipTransport& operator=(const MembershipTransport&) = delete;

  /// Whether the configuration is for the same member of the same fleet, so that reload() can apply it.
  /// Otherwise a new transport has to be created.
  bool serves(const Config& config) const;
  void reload(const Config& config);
  /// Announces the departure and closes the socket. With a successor, a process that takes over this
  /// membership at once, it only closes the socket.
  void leave(bool hasSuccessor);

  /// Number by which fleet-wide limits are divided: all members that may use a part of them, this one
  /// included.
  std::uint32_t quotaHolders() const;
  /// The address that other members send to; port 0 until the socket is bound.
  udp::endpoint listening() const;
  /// The JSON body of GET /ops/fleet.
  std::string text() const;
  std::vector<prometheus::MetricFamily> metrics() const;

 private:
  class Impl;
  std::shared_ptr<Impl> impl_;
};

/// Digest of the settings that the gateways of a fleet share, that is, without a gateway's own number and
/// zone. Equal configuration files have equal digests at all gateways.
std::uint64_t digestOf(const Config& config);

}  // namespace hollyrun::gateway
