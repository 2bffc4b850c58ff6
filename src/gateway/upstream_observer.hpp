/// The interface through which an UpstreamPool requests the admission of attempts and reports their
/// completion.
#pragma once

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <optional>

#include "gateway/body_stream.hpp"
#include "gateway/http_message.hpp"
#include "gateway/response_cut.hpp"
#include "hollyrun/balancer.hpp"

namespace hollyrun::gateway {

/// Identifies an attempt of a request.
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

/// The next step of an attempt, for which admission is requested.
struct AttemptStart {
  AttemptKey key;
  balancer::HostId host = balancer::kNone;
  AttemptStep step = AttemptStep::connect;
  balancer::Duration timeLeft{};  ///< Time until the attempt's time limit expires.
};

struct AdmissionResult {
  /// If set, the attempt ends with this outcome before any byte of it is written.
  std::optional<balancer::Outcome> denied;
  /// The value of the request's X-Deadline-Ms header. If empty, the header is not changed.
  std::optional<std::chrono::milliseconds> advertisedDeadline;
};

struct AttemptCompletion {
  AttemptKey key;
  balancer::HostId host = balancer::kNone;
  balancer::Outcome outcome = balancer::Outcome::reset;
  balancer::Duration elapsed{};
  HttpResponse response;  ///< If served: complete, or only the head if `body` is set.
  std::shared_ptr<ResponseStream> body = nullptr;  ///< The response's body, if it is streamed.
  std::optional<std::uint64_t> length = {};        ///< Length of `body` in bytes, if known.
};

/// All calls are made on the event loop's thread.
class UpstreamObserver {
 public:
  virtual ~UpstreamObserver() = default;

  /// Called exactly once per attempt, possibly from within start() or cancel().
  virtual void onAttemptComplete(AttemptCompletion completion) = 0;
  /// Called immediately before an attempt connects and again immediately before its first byte is written. No
  /// request is written without this admission.
  virtual AdmissionResult admit(const AttemptStart& start) = 0;
  /// A streamed response ended before its last byte.
  virtual void onResponseCut(const ResponseCut&) {}
};

}  // namespace hollyrun::gateway
