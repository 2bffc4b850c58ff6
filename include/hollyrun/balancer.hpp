/// The balancer: the decision logic of an HTTP load balancer that runs as a set
/// of replicated proxies.
///
/// The embedding proxy reports events and the current time to a Balancer and
/// carries out the actions that the Balancer returns. The Balancer does no I/O,
/// reads no clock, starts no thread and has no global state: the same seed,
/// settings and events produce the same actions.
///
/// Invalid input: an event that names an unknown request or attempt is ignored,
/// and so is a request whose id is still in use. The host of an AttemptResult is
/// not evaluated: an attempt's host is known from its ActionKind::send. A request
/// of an unknown class is handled as Idempotency::none with the lowest priority.
/// The constructor and onSettings reject invalid settings with
/// std::invalid_argument.
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

/// Numbers of known endpoints.
struct EndpointCounts {
  /// Endpoints that the latest lists name as serving or draining.
  std::size_t listed = 0;
  /// Listed endpoints that are draining, or that receive no requests while
  /// others are available.
  std::size_t unavailable = 0;
};

/// Makes the decisions of one gateway. Events must be reported in order of
/// time, by one thread at a time.
class Balancer {
 public:
  /// Throws std::invalid_argument with a message that names the invalid setting.
  Balancer(Settings settings, Time now);
  ~Balancer();
  Balancer(Balancer &&) noexcept;
  Balancer &operator=(Balancer &&) noexcept;

  /// Replaces the settings. Open requests keep the class settings that they
  /// arrived with. The seed and the statistics about hosts and classes are
  /// kept; only the clients' usual remaining time is estimated anew for a class
  /// whose settings have changed. Throws std::invalid_argument for invalid
  /// settings and then changes nothing.
  void onSettings(Time now, Settings settings);
  /// A list of endpoints has arrived, or the poll for it has failed.
  void onEndpoints(Time now, EndpointListKind kind, const std::vector<Endpoint> &entries);
  /// A request has arrived.
  void onRequest(Time now, const Request &request);
  /// The last byte of the request has arrived; the client will wait for at most
  /// `left` from now.
  void onUploaded(Time now, RequestId request, Duration left);
  /// An attempt's answer is being streamed to the client: no other attempt can
  /// answer the request any more.
  void onResponseStarted(Time now, RequestId request, std::uint32_t attempt);
  /// An attempt has ended.
  void onResult(Time now, const AttemptResult &result);
  /// The client has closed its connection.
  void onClientDisconnected(Time now, RequestId request);
  /// Must be called at or after the time that ActionKind::wake asks for; further
  /// calls are harmless.
  void onWake(Time now);

  /// Pending actions, in the order in which they are to be carried out. The
  /// caller clears the list.
  std::vector<Action> &actions();

  /// Returns kNone if no endpoint list has named the address.
  HostId findHost(std::string_view address) const;
  /// Throws std::out_of_range for an unknown host.
  const std::string &address(HostId host) const;
  EndpointCounts endpointCounts() const;
  /// Requests whose score is below the threshold are rejected; 0 to 100.
  double sheddingThreshold() const;
  /// Number of requests that have not ended or still have attempts in flight.
  std::size_t openRequests() const;

 private:
  struct Impl;
  std::unique_ptr<Impl> impl_;
};

}  // namespace hollyrun::balancer
