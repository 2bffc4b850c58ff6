/// Settings of a Balancer and the types that settings, events and actions share.
#pragma once

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace hollyrun::balancer {

/// A length of time.
using Duration = std::chrono::nanoseconds;
/// A point in time: nanoseconds since an arbitrary fixed epoch. Must never decrease.
using Time = std::chrono::nanoseconds;
/// Chosen by the caller; must not be reused.
using RequestId = std::uint64_t;
/// Assigned by the Balancer when a list first names an address.
using HostId = std::uint32_t;
/// No host, class or tenant.
inline constexpr std::uint32_t kNone = UINT32_MAX;

/// Whether a request may be executed more than once.
enum class Idempotency {
  idempotent,  ///< any number of times
  keyed,       ///< again within the scope and time in which servers drop repeats of its idempotency key
  none,        ///< never
};

/// Which endpoints share their record of idempotency keys already seen.
enum class DeduplicationScope {
  all,   ///< all endpoints
  zone,  ///< endpoints of one zone
  cell,  ///< endpoints of one cell of a zone
};

/// A class of requests that share the same handling rules.
struct ClassSettings {
  /// Unique and not empty.
  std::string name;
  /// Latency up to which an answer has its full value; above 0.
  Duration latencyObjective{};
  /// Total time that the client waits over all its tries; at least latencyObjective.
  Duration clientTimeout{};
  /// For Idempotency::keyed: how long servers drop repeats of a key; 0 or more.
  Duration deduplicationWindow{};
  Idempotency idempotency = Idempotency::none;
  /// For Idempotency::keyed: which endpoints drop a repeat.
  DeduplicationScope deduplicationScope = DeduplicationScope::all;
  /// Value of a request relative to others; 0 or more.
  double priorityWeight = 1;
  /// Value of an answer after the latency objective, as a fraction of the full value; 0 to 1.
  double lateValueFraction = 0;
  /// Extension of the latency objective, in multiples of the request's cost; 0 or more.
  double objectiveStretch = 0;
  /// Requests with the same key are executed one at a time, in order of arrival, across all classes that
  /// have this setting.
  bool orderedPerKey = false;
  /// Zones that requests of the class may be sent to; absent: any zone; an empty list allows none.
  std::optional<std::vector<std::string>> zones;
  /// Machine types that requests of the class may be sent to; absent: any type; an empty list allows none.
  std::optional<std::vector<std::string>> machineTypes;
};

/// A tenant whose requests are counted against a quota.
struct TenantSettings {
  std::string name;
  /// Requests per second over all gateways; 0 = no quota.
  double quotaPerSecond = 0;
};

/// All settings of a Balancer. Durations must not be negative.
struct Settings {
  /// Seed of the random number generator.
  std::uint64_t seed = 1;
  /// Number of gateways that share the fleet's limits, including this one; 1 or more.
  std::uint32_t replicaCount = 1;
  /// This gateway's index among the replicas; 0 to replicaCount - 1.
  std::uint32_t replicaIndex = 0;
  /// This gateway's zone; endpoints in the same zone are slightly preferred.
  std::string zone;
  /// Must not be empty.
  std::vector<ClassSettings> classes;
  std::vector<TenantSettings> tenants;
  /// Factor on the priority weight of requests beyond their tenant's quota; 0 to 1.
  double overQuotaWeight = 0.1;
  /// Discovery sends endpoint lists only after it has been polled.
  bool pollDiscovery = false;
  /// Endpoint::weight falls with the load of a host: it is the host's weight without load, divided by
  /// 1 + requests in flight per core.
  bool loadAdjustedWeights = false;
  /// A second attempt may be sent while the first is still in flight.
  bool allowHedging = false;
  /// A host that has recently served a key needs less work to serve it again.
  bool keyAffinity = false;
  /// Clients receive a retry-after with a rejection.
  bool retryAfter = false;
  /// Attempts may be cancelled.
  bool cancel = false;
  /// Maximum number of attempts per request; 1 or more. A value above 8 has the effect of 8.
  std::uint32_t maxAttempts = 1;
  /// Number of available hosts that a request's host is selected from; 0 = all, or a built-in limit in a
  /// large fleet; otherwise 4 or more.
  std::uint32_t candidates = 0;
  /// Maximum number of concurrent attempts per connection; 1 or more.
  std::uint32_t streamsPerConnection = 1;
  /// Idle time after which a connection is closed; 0 = never.
  Duration idleTimeout{};
  /// Longest retry-after that clients respect.
  Duration maxRetryAfter{};
  /// With pollDiscovery: longest time that may pass without a poll; 0 = no limit.
  Duration maxDiscoverySilence{};
  /// Interval between event batches, by which the reported time may lag behind the clock.
  Duration step{};
  /// Time after its start at which a host has its full capacity (is warm).
  Duration slowStartDuration{};
  /// Fraction of its capacity that a host has at its start; above 0, at most 1.
  double slowStartInitialFraction = 1;
  /// A cold host fails if it receives this multiple of its capacity for overloadWindow; above 0.
  double overloadMultiple = 3;
  Duration overloadWindow{};
  /// With orderedPerKey: pause before the next request of a key after a timeout, reset or cancellation.
  Duration keyCooldown{};
};

}  // namespace hollyrun::balancer
