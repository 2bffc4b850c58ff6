/// Events that the embedding proxy reports to a Balancer.
#pragma once

#include <cstdint>
#include <string>

#include "hollyrun/settings.hpp"

namespace hollyrun::balancer {

/// Whether an endpoint accepts requests.
enum class EndpointState {
  serving,   ///< accepts requests
  draining,  ///< completes its requests and accepts no new ones
  removed,   ///< no longer listed
};

/// An entry of an endpoint list.
struct Endpoint {
  /// Identifies the endpoint across restarts; any unique text, not necessarily a network address.
  std::string address;
  std::string zone;
  std::string machineType;
  /// Cell within the zone: the scope of deduplication under DeduplicationScope::cell.
  std::int64_t cell = 0;
  /// Capacity relative to other endpoints; above 0.
  double weight = 1;
  EndpointState state = EndpointState::serving;
  /// Latest start of the endpoint's process; zero = long ago.
  Time upSince{};
};

/// How a list of endpoints is to be read.
enum class EndpointListKind {
  delta,        ///< names only the endpoints that changed
  snapshot,     ///< names all endpoints; endpoints that it does not name are removed
  cached,       ///< an earlier snapshot, which may be stale
  unavailable,  ///< the poll failed and returned no list
};

/// A client's request.
struct Request {
  RequestId id = 0;
  /// Index into Settings::classes; any index out of range means an unknown class.
  std::uint32_t classIndex = kNone;
  /// Index into Settings::tenants; any index out of range means a tenant without a quota.
  std::uint32_t tenantIndex = kNone;
  /// Time until the client abandons this try. While `uploading`, it counts from onUploaded.
  Duration remaining{};
  /// Expected work; zero = unknown.
  Duration cost{};
  /// Used for key affinity and by classes that are ordered per key; valid if `hasKey`.
  std::uint64_t key = 0;
  bool hasKey = false;
  /// The request's body has not arrived completely.
  bool uploading = false;
};

/// How an attempt ended.
enum class Outcome {
  served,         ///< answered
  error,          ///< the server failed; may have been executed
  rejected,       ///< rejected by the server; not executed
  timeout,        ///< no answer in time; may have been executed
  connectFailed,  ///< no connection was opened; not executed
  reset,          ///< the connection was lost; may have been executed
  cancelled,      ///< cancelled by the proxy; may have been executed
  abandoned,      ///< not sent because the client no longer waits
  localFailure    ///< not sent for a reason unrelated to the endpoint
};

/// The result of an attempt that was requested by ActionKind::send.
struct AttemptResult {
  RequestId request = 0;
  /// Number of the attempt within its request, from 0.
  std::uint32_t attempt = 0;
  HostId host = kNone;
  Outcome outcome = Outcome::served;
  /// Time from sending the attempt to its outcome.
  Duration elapsed{};
  /// The client's request is answered and needs no further action.
  bool terminal = false;
};

}  // namespace hollyrun::balancer
