/// Validation of client requests: one function turns a message into a request for the balancer, a health
/// check or a typed rejection. It does no I/O and has no clock.
#pragma once

#include <boost/beast/core/string.hpp>
#include <boost/beast/http/status.hpp>
#include <cstdint>
#include <string>
#include <string_view>
#include <unordered_map>
#include <variant>
#include <vector>

#include "gateway/http_message.hpp"
#include "hollyrun/balancer.hpp"

namespace hollyrun::gateway {

/// Why a message is not accepted as a request. statusOf() maps each to the status of the answer.
enum class RequestRejectionReason {
  unsupportedHttpVersion,
  unsupportedTransferCoding,
  missingLength,
  unexpectedBody,
  invalidTarget,
  unknownClass,
  classMismatch,
  missingRequestId,
  duplicateHeader,
  unsupportedMethod,
  methodClassMismatch,
  invalidHost,
  missingIdempotencyKey,
  invalidDeadline,
};

boost::beast::http::status statusOf(RequestRejectionReason reason);

struct RequestRejection {
  RequestRejectionReason reason;
  boost::beast::http::status status;
};

/// A `GET /up`, by which load balancers in front probe this process.
struct HealthCheck {};

/// What the message states: class, tenant, client timeout, cost and affinity key. `request.remaining` is the
/// client's whole timeout; `id` and `uploading` are left to the caller.
struct ValidatedRequest {
  balancer::Request request;
};

using ValidationResult = std::variant<ValidatedRequest, HealthCheck, RequestRejection>;

enum class BodyPresence { absent, present };

/// Holds the classes and tenants of the settings in effect. A settings change needs a new validator.
class RequestValidator {
 public:
  explicit RequestValidator(const balancer::Settings& settings);

  /// Checks framing, target, class and headers, in this order. An absolute target is rewritten to origin form
  /// in `message`, which is left as it was in all other respects.
  ValidationResult validate(HttpRequest& message, BodyPresence body) const;

 private:
  using Result = std::variant<ValidatedRequest, RequestRejectionReason>;

  Result describe(const HttpRequest& message) const;
  void describeOptionalHeaders(const HttpRequest& message, balancer::Request& request) const;

  std::vector<balancer::ClassSettings> classes_;
  std::unordered_map<std::string, std::uint32_t> classIndexByName_, tenantIndexByName_;
};

/// The first segment of the path, which names the request's class: "checkout" of "/checkout/7?x=1". Empty if
/// the target is no path.
std::string_view firstPathSegment(boost::beast::string_view target);

}  // namespace hollyrun::gateway
