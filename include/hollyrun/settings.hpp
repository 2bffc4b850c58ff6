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
/// A point in time: nanoseconds since any fixed start. It must never go back.
using Time = std::chrono::nanoseconds;
/// Chosen by the caller, never used again.
using RequestId = std::uint64_t;
/// Assigned by the Balancer when it first sees an address.
using HostId = std::uint32_t;
/// No host, class or tenant.
inline constexpr std::uint32_t kNone = UINT32_MAX;

/// Whether a request may be executed more than once.
enum class Idempotency {
  idempotent,  ///< any number of times
  keyed,       ///< again, where servers drop repeats of its idempotency key
  none,        ///< never
};

/// Which endpoints share the idempotency keys that they have seen.
enum class DeduplicationScope {
  all,   ///< all endpoints
  zone,  ///< those of one zone
  cell,  ///< those of one cell of a zone
};

/// A class of requests that are handled alike.
struct ClassSettings {
  /// Unique and not empty.
  std::string name;
  /// An answer has its full value up to here; above 0.
  Duration latencyObjective{};
  /// The client's total wait over all its tries; not below latencyObjective.
  Duration clientTimeout{};
  /// Idempotency::keyed: how long servers drop repeats; 0 or more.
  Duration deduplicationWindow{};
  Idempotency idempotency = Idempotency::none;
  /// Idempotency::keyed: where a repeat is dropped.
  DeduplicationScope deduplicationScope = DeduplicationScope::all;
  /// Value of a request relative to others; 0 or more.
  double priorityWeight = 1;
  /// Value of an answer past the objective, as a fraction of the full value; 0 to 1.
  double lateValueFraction = 0;
  /// Added to the objective, in multiples of the request's cost; 0 or more.
  double objectiveStretch = 0;
  /// Requests with one key are executed one at a time, in order of arrival, over all classes with this
  /// setting.
  bool orderedPerKey = false;
  /// The only zones that it may be sent to; absent: any; an empty list allows none.
  std::optional<std::vector<std::string>> zones;
  /// The only machine types that it may be sent to; absent: any; an empty list allows none.
  std::optional<std::vector<std::string>> machineTypes;
};

/// A tenant whose requests are counted against a quota.
struct TenantSettings {
  std::string name;
  /// Requests a second over all gateways; 0 = no quota.
  double quotaPerSecond = 0;
};

/// All settings of a Balancer. Durations must not be negative.
struct Settings {
  /// Of all random draws.
  std::uint64_t seed = 1;
  /// Gateways that share the limits of the fleet, this one included; 1 or more.
  std::uint32_t replicaCount = 1;
  /// This gateway's place among them; 0 .. replicaCount - 1.
  std::uint32_t replicaIndex = 0;
  /// This gateway's zone; endpoints of it are preferred slightly.
  std::string zone;
  /// At least one.
  std::vector<ClassSettings> classes;
  std::vector<TenantSettings> tenants;
  /// Factor on the priority weight of what a tenant sends beyond its quota; 0 to 1.
  double overQuotaWeight = 0.1;
  /// The endpoint list arrives only when discovery is polled for it.
  bool pollDiscovery = false;
  /// Endpoint::weight falls with the requests that a host has in flight: size / (1 + requests per core).
  bool loadAdjustedWeights = false;
  /// A second attempt may be in flight while the first is.
  bool allowHedging = false;
  /// A host that lately served a key serves it with less work.
  bool keyAffinity = false;
  /// Clients receive a retry-after with a rejection.
  bool retryAfter = false;
  /// Attempts may be cancelled.
  bool cancel = false;
  /// Attempts of one request; 1 or more.
  std::uint32_t maxAttempts = 1;
  /// Ready hosts that a request chooses from; 0 = all of them, else 4 or more.
  std::uint32_t candidates = 0;
  /// Attempts that one connection carries at a time; 1 or more.
  std::uint32_t streamsPerConnection = 1;
  /// A connection is closed after this time without use; 0 = never.
  Duration idleTimeout{};
  /// The longest retry-after that clients respect.
  Duration maxRetryAfter{};
  /// pollDiscovery: the longest time without a poll; 0 = no limit.
  Duration maxDiscoverySilence{};
  /// Interval of the event batches: how late the clock may be read.
  Duration step{};
  /// A host is warm this long after its start.
  Duration slowStartDuration{};
  /// Fraction of its capacity that a host starts with; above 0, at most 1.
  double slowStartInitialFraction = 1;
  /// A cold host fails when it is sent this multiple of its capacity for overloadWindow; above 0.
  double overloadMultiple = 3;
  Duration overloadWindow{};
  /// orderedPerKey: nothing is sent for a key this long after a time-out, reset or cancel.
  Duration keyCooldown{};
};

}  // namespace hollyrun::balancer
