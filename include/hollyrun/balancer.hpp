// The balancer: the decisions of an HTTP load balancer run as a set of replicated proxies.
//
// The embedding proxy feeds a Balancer with events and the clock, and carries out the actions that
// come back. The Balancer does no I/O, reads no clock, starts no thread and keeps no globals: the same
// seed, settings and events give the same actions.
//
// Misuse: an event that names an unknown request, attempt or host is ignored; so is a second request
// under an id that is still open. A request of an unknown class is handled as Idempotency::none with the
// lowest priority. Settings that make no sense are rejected by the constructor (std::invalid_argument).
#pragma once

#include <chrono>
#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace hollyrun::balancer {

using Duration = std::chrono::nanoseconds;
using Time = std::chrono::nanoseconds;  // since any fixed start; must never go back
using RequestId = std::uint64_t;        // chosen by the caller, never used again
using HostId = std::uint32_t;           // given out by the Balancer at first sight of an address
inline constexpr std::uint32_t kNone = UINT32_MAX;

/// Whether a request may be executed more than once.
enum class Idempotency {
  idempotent,  ///< any number of times
  keyed,       ///< again, where servers drop repeats of its idempotency key
  none,        ///< never
};
/// Which endpoints share the idempotency keys that they have seen.
enum class DeduplicationScope { all, zone, cell };

struct ClassSettings {
  std::string name;
  Duration latencyObjective{};     // an answer has its full value up to here
  Duration clientTimeout{};        // the client's total wait
  Duration deduplicationWindow{};  // keyed: how long repeats are dropped
  Idempotency idempotency = Idempotency::none;
  DeduplicationScope deduplicationScope = DeduplicationScope::all;
  double priorityWeight = 1;
  double lateValueFraction = 0;  // value of an answer past the objective, as a fraction
  double objectiveStretch = 0;   // added to the objective, in multiples of the request's cost
  bool orderedPerKey = false;    // requests with one key go one at a time, in order, over all such classes
  std::optional<std::vector<std::string>> zones;         // the only zones it may be sent to; absent: any
  std::optional<std::vector<std::string>> machineTypes;  // the only machine types; an empty list allows none
};

struct TenantSettings {
  std::string name;
  double quotaPerSecond = 0;  // over all gateways; 0 = no quota
};

struct Settings {
  std::uint64_t seed = 1;
  std::uint32_t replicaCount = 1;  // gateways that share the limits of the fleet, this one included
  std::uint32_t replicaIndex = 0;  // this gateway's place among them, from 0
  std::string zone;
  std::vector<ClassSettings> classes;
  std::vector<TenantSettings> tenants;
  double overQuotaWeight = 0.1;  // factor on the priority weight of what a tenant sends beyond its quota
  bool pollDiscovery = false;    // the endpoint list comes only when polled for
  bool loadAdjustedWeights =
      false;                      // Endpoint::weight falls with what a host holds: size / (1 + held a core)
  bool allowHedging = false;      // a second attempt may be out while the first runs
  bool keyAffinity = false;       // a host that lately served a key serves it with less work
  bool retryAfter = false;        // clients receive a retry-after
  bool cancel = false;            // attempts may be cancelled
  std::uint32_t maxAttempts = 1;  // for one request
  std::uint32_t candidates = 0;   // ready hosts that a request chooses from; 0 = all of them
  std::uint32_t streamsPerConnection = 1;  // attempts that one connection carries at a time
  Duration idleTimeout{};                  // a connection without use is closed after this; 0 = never
  Duration maxRetryAfter{};                // the longest that clients heed
  Duration maxDiscoverySilence{};          // pollDiscovery: longest silence towards discovery; 0 = no limit
  Duration step{};                         // spacing of the event batches: how late the clock may be read
  Duration slowStartDuration{};            // a host is warm this long after its start
  double slowStartInitialFraction = 1;     // share of its capacity that it starts with
  double overloadMultiple = 3;             // a cold host falls when sent this multiple of its capacity
  Duration overloadWindow{};               // for this long
  Duration keyCooldown{};  // orderedPerKey: a key rests so long after a time-out, reset or cancel
};

enum class EndpointState { serving, draining, removed };

struct Endpoint {
  std::string address;
  std::string zone;
  std::string machineType;
  std::int64_t cell = 0;
  double weight = 1;  // comparable across hosts
  EndpointState state = EndpointState::serving;
  Time upSince{};  // latest start; zero = long past
};

/// What a list of endpoints is.
enum class EndpointListKind {
  delta,        ///< names the endpoints that changed
  snapshot,     ///< names all endpoints; the others are removed
  cached,       ///< a snapshot of earlier, which may be stale
  unavailable,  ///< the poll failed: no list
};

struct Request {
  RequestId id = 0;
  std::uint32_t classIndex = kNone;   // into Settings::classes
  std::uint32_t tenantIndex = kNone;  // into Settings::tenants
  Duration remaining{};               // until the client gives this try up
  Duration cost{};                    // expected work; zero = not known
  std::uint64_t key = 0;
  bool hasKey = false;
  bool uploading = false;  // its body is still on its way: `remaining` counts from onUploaded
};

enum class Outcome {
  served,
  error,          // may have run
  rejected,       // by the server, never ran
  timeout,        // may have run
  connectFailed,  // never ran
  reset,          // may have run
  cancelled,      // may have run
  abandoned,      // not sent: nobody wants it any more
  localFailure    // not sent, for a reason that says nothing of the endpoint
};

struct AttemptResult {
  RequestId request = 0;
  std::uint32_t attempt = 0;
  HostId host = kNone;
  Outcome outcome = Outcome::served;
  Duration elapsed{};
  bool terminal = false;  // nothing more is owed for the request
};

/// Why a request is rejected or failed without a further attempt.
enum class RejectReason : std::uint8_t {
  none,                  ///< not an action that ends a request
  belowThreshold,        ///< its score lies below the shedding threshold: overload
  deadlineExceeded,      ///< no time is left in which an answer is of use
  attemptsExhausted,     ///< all its attempts are made
  queueTooLong,          ///< it would wait too long, for its key's turn or at any host
  noEndpoint,            ///< no host may take it
  retryBudgetExhausted,  ///< a repeat is allowed, and the budget for repeats is used up
  abandoned,             ///< its last attempt was given up unsent
};
inline constexpr std::size_t kRejectReasonCount = 8;

enum class ActionKind { send, reject, fail, cancel, close, wake, pollDiscovery, log };

struct Action {
  ActionKind kind = ActionKind::log;
  RequestId request = 0;                     // send, reject, fail, cancel
  std::uint32_t attempt = 0;                 // send, cancel: number of the attempt, from 0
  HostId host = kNone;                       // send; close: its idle connections
  Duration timeLimit{};                      // send: of the attempt
  Duration latestStart = Duration::max();    // send: it may not be written later than so long from now
  Duration retryAfter{};                     // reject: 0 = none
  Time wakeAt{};                             // wake
  RejectReason reason = RejectReason::none;  // reject, fail
  std::string text;                          // log
};

struct EndpointCounts {
  std::size_t listed = 0, unavailable = 0;  // avoided: listed, and sent nothing now if others can be
};

class Balancer {
 public:
  // Throws std::invalid_argument that says which setting is wrong.
  Balancer(Settings settings, Time now);
  ~Balancer();
  Balancer(Balancer&&) noexcept;
  Balancer& operator=(Balancer&&) noexcept;

  // New settings bind from here on; requests under way keep their class as it was. The seed stays, and what
  // was learned of hosts and classes too. Throws std::invalid_argument, and nothing has changed then.
  void onSettings(Time now, Settings settings);
  void onEndpoints(Time now, EndpointListKind kind, const std::vector<Endpoint>& entries);
  void onRequest(Time now, const Request& request);
  void onUploaded(Time now, RequestId request, Duration left);                 // its last byte has come
  void onResponseStarted(Time now, RequestId request, std::uint32_t attempt);  // streamed classes
  void onResult(Time now, const AttemptResult& result);
  void onClientDisconnected(Time now, RequestId request);
  void onWake(Time now);  // at or after the time asked for in ActionKind::wake; extra calls do no harm

  // Actions since the last clear, in the order in which they are to be carried out.
  std::vector<Action>& actions();

  HostId findHost(std::string_view address) const;  // kNone if no list has named it
  const std::string& address(HostId host) const;
  EndpointCounts endpointCounts() const;
  double sheddingThreshold() const;  // 0 to 100: scores below it are refused now
  std::size_t openRequests() const;  // requests and attempts not yet over

 private:
  struct Impl;
  std::unique_ptr<Impl> impl_;
};

}  // namespace hollyrun::balancer
