/// The last check before an attempt reaches an upstream host. The balancer decides early, and the facts that
/// it decided on may have changed by the time a connection is up; the guard is asked again just before the
/// connection is dialled and before the first byte is written, with the facts read at that moment, and it
/// alone determines the deadline that is sent to the server. It holds no sockets and reads no clock.
///
/// A denial is one of two things. Most are races that have to be expected: the client disconnected, the
/// deadline passed, the server began to drain. The others are decisions that no course of events excuses (a
/// fourth attempt, the repeat of a request that must not be repeated): violations, which are counted apart
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

/// Why an attempt may not take place.
enum class DenialReason : std::uint8_t {
  clientDisconnected,         ///< the client has closed its side, or has its answer
  deadlineExceeded,           ///< nothing is left of the time that the attempt may take
  deduplicationWindowPassed,  ///< a keyed request's repeats are not dropped any more
  notServing,                 ///< the server was listed as draining or removed too long ago
  restarted,  ///< another process runs there than the one that was chosen: its slow start was not asked for
  attemptsExhausted,          ///< violation: more attempts than the settings allow
  notIdempotent,              ///< violation: an earlier attempt may have run, and the class forbids a second
  outsideDeduplicationScope,  ///< violation: an earlier attempt may have run where this server does not know
                              ///< of it
  hedgingForbidden,  ///< violation: an earlier attempt is out, and the settings allow only one at a time
};
inline constexpr std::size_t kDenialReasonCount = 9;

std::string_view nameOf(DenialReason reason);
bool isViolation(DenialReason reason);

/// An upstream host as of the last lists.
struct EndpointStatus {
  HostId id = kNone;
  std::string zone;
  std::int64_t cell = 0;
  EndpointState state = EndpointState::serving;
  Time stateSince{};  ///< when a list first said that this process is not serving
  Time upSince{};     ///< its last start; zero = long past
};

/// The attempts of a request, as seen at the sockets.
class AttemptHistory {
 public:
  void wrote(std::uint32_t attempt, const EndpointStatus& server, Time now);
  void ended(std::uint32_t attempt, Outcome outcome);
  std::uint32_t written() const { return static_cast<std::uint32_t>(attempts_.size()); }

 private:
  friend class DispatchGuard;
  struct Attempt {
    std::uint32_t number = 0;
    HostId server = kNone;
    std::string zone;
    std::int64_t cell = 0;
    Time at{};  // of its first byte
    bool out = true, mayHaveExecuted = true;
  };
  std::vector<Attempt> attempts_;
};

/// The settings that an attempt was decided under. A reload may have changed them since.
struct AttemptTerms {
  Idempotency idempotency = Idempotency::none;
  DeduplicationScope deduplicationScope = DeduplicationScope::all;
  Duration deduplicationWindow{};
  std::uint32_t maxAttempts = 1;
  bool allowHedging = false;
  Time serverUpSince{};  ///< of the process that was chosen
};

/// All that the admission of an attempt depends on, read when it is requested.
struct DispatchFacts {
  Time now{};
  bool clientPresent = false;
  std::uint32_t attempt = 0;  ///< its number, from 0
  Duration left{};            ///< of the attempt's own time, which is no longer than the client's
  const AttemptTerms& terms;
  const EndpointStatus& server;
  const AttemptHistory& history;
};

/// The deadline to send to the server, in whole milliseconds and at least one; or why nothing may be sent.
struct Admission {
  std::optional<DenialReason> denied;
  std::chrono::milliseconds deadline{};
};

class DispatchGuard {
 public:
  /// Asked before a connection is dialled and before an attempt's first byte; counts what it denies.
  Admission admit(const DispatchFacts& facts);

  std::uint64_t denied(DenialReason reason) const { return denied_[static_cast<std::size_t>(reason)]; }

 private:
  static std::optional<DenialReason> judge(const DispatchFacts& facts);
  static std::optional<DenialReason> checkResend(const DispatchFacts& facts);

  std::array<std::uint64_t, kDenialReasonCount> denied_{};
};

}  // namespace hollyrun::balancer
