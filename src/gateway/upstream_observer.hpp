/// What an UpstreamPool asks and reports to its owner: admission and completion of attempts.
#pragma once

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <optional>

#include "gateway/body_stream.hpp"
#include "gateway/http_message.hpp"
#include "hollyrun/balancer.hpp"

namespace hollyrun::gateway {

struct AttemptKey {
  balancer::RequestId request = 0;
  std::uint32_t attempt = 0;
  bool operator==(const AttemptKey&) const = default;
};

struct AttemptKeyHash {
  std::size_t operator()(const AttemptKey& key) const {
    return std::hash<std::uint64_t>{}(key.request * 16 + key.attempt);
  }
};

enum class AttemptStep { connect, write };

/// A step of an attempt that is about to happen.
struct AttemptStart {
  AttemptKey key;
  balancer::HostId host = balancer::kNone;
  AttemptStep step = AttemptStep::connect;
  balancer::Duration timeLeft{};  ///< Of the attempt's own time limit.
};

struct AdmissionResult {
  /// If set, the attempt ends with this outcome, and nothing of it was written.
  std::optional<balancer::Outcome> denied;
  /// The deadline that the request carries to the server; none if it is to carry none.
  std::optional<std::chrono::milliseconds> advertisedDeadline;
};

struct AttemptCompletion {
  AttemptKey key;
  balancer::HostId host = balancer::kNone;
  balancer::Outcome outcome = balancer::Outcome::reset;
  balancer::Duration elapsed{};
  HttpResponse response;                       ///< With Outcome::served: complete, or its head alone.
  std::shared_ptr<BodyStream> body = nullptr;  ///< The response's body, if it is streamed.
  std::optional<std::uint64_t> length = {};    ///< Of the streamed body in bytes, if it is known.
};

/// All calls come from the event loop's thread.
class UpstreamObserver {
 public:
  virtual ~UpstreamObserver() = default;

  /// Exactly one call per attempt, possibly from within start() and cancel().
  virtual void onAttemptComplete(AttemptCompletion completion) = 0;
  /// Asked just before an attempt connects and just before its first byte is written. Nothing else lets the
  /// first byte of a request out.
  virtual AdmissionResult admit(const AttemptStart& start) = 0;
};

}  // namespace hollyrun::gateway
