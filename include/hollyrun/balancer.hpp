/// The balancer: the decisions of an HTTP load balancer run as a set of
/// replicated proxies.
///
/// The embedding proxy reports events and the clock to a Balancer, and carries
/// out the actions that it returns. The Balancer does no I/O, reads no clock,
/// starts no thread and keeps no globals: the same seed, settings and events
/// give the same actions.
///
/// Misuse: an event that names an unknown request, attempt or host is ignored;
/// so is a second request under an id that is still open. A request of an
/// unknown class is handled as Idempotency::none with the lowest priority.
/// Settings that make no sense are rejected by the constructor
/// (std::invalid_argument).
#pragma once

#include <cstddef>
#include <cstdint>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

#include "hollyrun/actions.hpp"
#include "hollyrun/events.hpp"
#include "hollyrun/settings.hpp"

namespace hollyrun::balancer {

/// Endpoints that are known now.
struct EndpointCounts {
  /// By the last lists.
  std::size_t listed = 0;
  /// Those of them that are sent nothing while others are ready.
  std::size_t unavailable = 0;
};

/// Decides for one gateway. Events must come in order of time, from one thread
/// at a time.
class Balancer {
 public:
  /// Throws std::invalid_argument that says which setting is wrong.
  Balancer(Settings settings, Time now);
  ~Balancer();
  Balancer(Balancer &&) noexcept;
  Balancer &operator=(Balancer &&) noexcept;

  /// New settings apply from now on; requests under way keep their class as it
  /// was. The seed stays, and what was learned about hosts and classes too.
  /// Throws std::invalid_argument; nothing has changed then.
  void onSettings(Time now, Settings settings);
  /// A list of endpoints has arrived, or the poll for it has failed.
  void onEndpoints(Time now, EndpointListKind kind, const std::vector<Endpoint> &entries);
  /// A request has arrived.
  void onRequest(Time now, const Request &request);
  /// The last byte of the request has arrived; its client waits for `left` from
  /// now on.
  void onUploaded(Time now, RequestId request, Duration left);
  /// An attempt's answer is being streamed to the client: no other attempt can
  /// answer the request any more.
  void onResponseStarted(Time now, RequestId request, std::uint32_t attempt);
  /// An attempt has ended.
  void onResult(Time now, const AttemptResult &result);
  /// The client has closed its connection.
  void onClientDisconnected(Time now, RequestId request);
  /// At or after the time of ActionKind::wake; extra calls do no harm.
  void onWake(Time now);

  /// Actions since the last clear, in the order in which they are to be carried
  /// out.
  std::vector<Action> &actions();

  /// kNone if no list has named the address.
  HostId findHost(std::string_view address) const;
  /// Throws std::out_of_range for an unknown host.
  const std::string &address(HostId host) const;
  EndpointCounts endpointCounts() const;
  /// Requests with a score below it are rejected now; 0 to 100.
  double sheddingThreshold() const;
  /// Requests that are not over, or have attempts in flight.
  std::size_t openRequests() const;

 private:
  struct Impl;
  std::unique_ptr<Impl> impl_;
};

}  // namespace hollyrun::balancer
