/// Events that the embedding proxy reports to a Balancer.
#pragma once

#include <cstdint>
#include <string>

#include "hollyrun/settings.hpp"

namespace hollyrun::balancer {

/// Whether an endpoint accepts requests.
enum class EndpointState {
  serving,   ///< accepts requests
  draining,  ///< completes those that it has and accepts no more
  removed,   ///< is no longer listed
};

/// An entry of an endpoint list.
struct Endpoint {
  /// Identifies the endpoint over its restarts.
  std::string address;
  std::string zone;
  std::string machineType;
  /// Within the zone; scope of Idempotency::keyed with DeduplicationScope::cell.
  std::int64_t cell = 0;
  /// Capacity, comparable across endpoints; above 0.
  double weight = 1;
  EndpointState state = EndpointState::serving;
  /// Latest start of its process; zero = long past.
  Time upSince{};
};

/// What a list of endpoints is.
enum class EndpointListKind {
  delta,        ///< names the endpoints that changed
  snapshot,     ///< names all endpoints; the others are removed
  cached,       ///< a snapshot of earlier, which may be stale
  unavailable,  ///< the poll failed: no list
};

/// A request of a client.
struct Request {
  RequestId id = 0;
  /// Into Settings::classes; any other index stands for an unknown class.
  std::uint32_t classIndex = kNone;
  /// Into Settings::tenants; any other index stands for a tenant without a quota.
  std::uint32_t tenantIndex = kNone;
  /// Until the client gives this try up; counts from onUploaded while `uploading`.
  Duration remaining{};
  /// Expected work; zero = not known.
  Duration cost{};
  /// With hasKey: for key affinity and for classes ordered per key.
  std::uint64_t key = 0;
  bool hasKey = false;
  /// Its body has not arrived completely.
  bool uploading = false;
};

/// The end of an attempt.
enum class Outcome {
  served,         ///< answered
  error,          ///< the server failed; may have been executed
  rejected,       ///< by the server, never executed
  timeout,        ///< may have been executed
  connectFailed,  ///< never executed
  reset,          ///< the connection was lost; may have been executed
  cancelled,      ///< may have been executed
  abandoned,      ///< not sent: the client no longer waits
  localFailure    ///< not sent, for a reason that says nothing about the endpoint
};

/// The result of an attempt that ActionKind::send asked for.
struct AttemptResult {
  RequestId request = 0;
  /// Number of the attempt, from 0.
  std::uint32_t attempt = 0;
  HostId host = kNone;
  Outcome outcome = Outcome::served;
  /// From the send to the outcome.
  Duration elapsed{};
  /// The client's request is answered: nothing more is to be done for it.
  bool terminal = false;
};

}  // namespace hollyrun::balancer
