/// The last check before an attempt reaches an upstream host. The state that the balancer based its decision
/// on may have changed by the time a connection is established. The guard is therefore consulted again just
/// before the connection is dialled and just before the first byte is written, with the state at that moment.
/// It alone determines the deadline that is sent to the server. It owns no sockets and reads no clock.
///
/// Denials are of two kinds. Most follow from expected races: the client disconnected, the deadline passed,
/// the server began to drain. The others are violations, wrong decisions that no order of events can explain
/// (a fourth attempt, the repeat of a request that must not be repeated). Violations are counted separately
/// and end the process where that is configured, so that tests and soaks find them.
#pragma once

#include <array>
#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "hollyrun/balancer.hpp"

namespace hollyrun::balancer {

/// Why an attempt must not be sent.
enum class DenialReason : std::uint8_t {
  clientDisconnected,         ///< the client has disconnected or already has its answer
  deadlineExceeded,           ///< no time is left for the attempt
  deduplicationWindowPassed,  ///< servers no longer drop repeats of this keyed request
  notServing,                 ///< the server was listed as draining or removed too long ago
  restarted,          ///< the server restarted after it was selected, so the slow start of the new process
                      ///< was not considered
  attemptsExhausted,  ///< violation: more attempts than the settings allow
  notIdempotent,      ///< violation: an earlier attempt may have been executed, and the class forbids repeats
  outsideDeduplicationScope,  ///< violation: an earlier attempt may have been executed at a server that does
                              ///< not share its idempotency keys with this one
  hedgingForbidden,  ///< violation: an earlier attempt is in flight, and the settings forbid a second
};
inline constexpr std::size_t kDenialReasonCount = 9;

std::string_view nameOf(DenialReason reason);
bool isViolation(DenialReason reason);

/// The state of an upstream host according to the latest lists.
struct EndpointStatus {
  HostId id = kNone;
  std::string zone;
  std::int64_t cell = 0;
  EndpointState state = EndpointState::serving;
  Time stateSince{};  ///< earliest time at which its not serving may have been announced
  Time upSince{};     ///< latest start of the host's process; zero = long ago
};

/// The attempts of a request whose first byte was written to a socket.
class AttemptHistory {
 public:
  void recordWrite(std::uint32_t attempt, const EndpointStatus& server, Time now);
  void recordEnd(std::uint32_t attempt, Outcome outcome);
  /// Whether an attempt is in flight or did not prove that it was not executed.
  bool mayHaveExecuted() const;
  std::uint32_t written() const { return static_cast<std::uint32_t>(attempts_.size()); }

 private:
  friend class DispatchGuard;
  struct Attempt {
    std::uint32_t number = 0;
    HostId server = kNone;
    std::string zone;
    std::int64_t cell = 0;
    Time firstByteAt{};
    bool inFlight = true, mayHaveExecuted = true;
  };
  std::vector<Attempt> attempts_;
};

/// The settings under which an attempt was decided; a reload may have changed the settings since.
struct AttemptTerms {
  Idempotency idempotency = Idempotency::none;
  DeduplicationScope deduplicationScope = DeduplicationScope::all;
  Duration deduplicationWindow{};
  std::uint32_t maxAttempts = 1;
  bool allowHedging = false;
  Time serverUpSince{};  ///< start of the process that was selected
};

/// The state that the admission of an attempt depends on, read when the admission is requested.
struct DispatchFacts {
  Time now{};
  bool clientPresent = false;
  std::uint32_t attempt = 0;  ///< number of the attempt within its request, from 0
  Duration timeLeft{};        ///< time left for the attempt, at most the time left for the client's request
  const AttemptTerms& terms;
  const EndpointStatus& server;
  const AttemptHistory& history;
};

/// The deadline to send to the server, in whole milliseconds and at least one, or the reason for a denial.
struct Admission {
  std::optional<DenialReason> denied;
  std::chrono::milliseconds deadline{};
};

class DispatchGuard {
 public:
  /// Decides whether the attempt may proceed; called before a connection is dialled and before the attempt's
  /// first byte is written. Counts denials by reason.
  Admission admit(const DispatchFacts& facts);

  std::uint64_t denied(DenialReason reason) const { return denied_[static_cast<std::size_t>(reason)]; }

 private:
  static std::optional<DenialReason> findDenial(const DispatchFacts& facts);
  static std::optional<DenialReason> checkResend(const DispatchFacts& facts);

  std::array<std::uint64_t, kDenialReasonCount> denied_{};
};

}  // namespace hollyrun::balancer
