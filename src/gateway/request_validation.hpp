/// Validates client requests: turns an HTTP message into a request for the balancer, a health check or a
/// typed rejection. Validation performs no I/O and reads no clock.
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

/// The reason why a message is not accepted as a request. statusOf() maps each reason to a response status.
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

/// A `GET /up` request, with which load balancers in front of this process probe it.
struct HealthCheck {};

/// The class, tenant, client timeout, cost and affinity key from the message. `request.remaining` is the
/// whole client timeout; the caller sets `id` and `uploading`.
struct ValidatedRequest {
  balancer::Request request;
};

using ValidationResult = std::variant<ValidatedRequest, HealthCheck, RequestRejection>;

enum class BodyPresence { absent, present };

/// Validates against the classes and tenants of one set of settings. A settings change requires a new
/// validator.
class RequestValidator {
 public:
  explicit RequestValidator(const balancer::Settings& settings);

  /// Checks framing, target, class and headers, in this order. Rewrites an absolute target and the Host
  /// header in `message` to origin form and leaves the rest of `message` unchanged.
  ValidationResult validate(HttpRequest& message, BodyPresence body) const;

 private:
  using ParseResult = std::variant<ValidatedRequest, RequestRejectionReason>;

  ParseResult parseRequest(const HttpRequest& message) const;
  void parseOptionalHeaders(const HttpRequest& message, balancer::Request& request) const;

  std::vector<balancer::ClassSettings> classes_;
  std::unordered_map<std::string, std::uint32_t> classIndexByName_, tenantIndexByName_;
};

/// Returns the first segment of the path, which names the request's class: "checkout" for "/checkout/7?x=1".
/// Returns an empty view if the target is not a path.
std::string_view firstPathSegment(boost::beast::string_view target);

}  // namespace hollyrun::gateway
