#include "gateway/request_validation.hpp"

#include <algorithm>
#include <boost/beast/http/field.hpp>
#include <boost/beast/http/verb.hpp>
#include <charconv>
#include <chrono>
#include <functional>
#include <optional>

namespace hollyrun::gateway {
namespace {

namespace http = boost::beast::http;
using balancer::Idempotency;
using boost::beast::string_view;
using Reason = RequestRejectionReason;

constexpr const char* kHealthCheckPath = "/up";
constexpr const char* kAffinityCookie = "obj";
constexpr std::string_view kHttpScheme = "http://";

template <class Number>
std::optional<Number> parseNumber(string_view text) {
  Number number = 0;
  const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), number);
  if (error != std::errc{} || end != text.data() + text.size())
    return std::nullopt;
  return number;
}

/// Returns the value of one cookie, or an empty view if the header does not contain it.
std::string_view cookieValue(string_view header, std::string_view name) {
  std::string_view rest(header.data(), header.size());
  while (!rest.empty()) {
    const std::size_t end = std::min(rest.find(';'), rest.size());
    std::string_view pair = rest.substr(0, end);
    rest.remove_prefix(std::min(end + 1, rest.size()));
    pair.remove_prefix(std::min(pair.find_first_not_of(' '), pair.size()));
    if (pair.size() > name.size() && pair.substr(0, name.size()) == name && pair[name.size()] == '=')
      return pair.substr(name.size() + 1);
  }
  return {};
}

/// Returns the number that the text states in hexadecimal digits, or a hash of any other text.
std::uint64_t affinityKeyOf(std::string_view text) {
  std::uint64_t key = 0;
  const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), key, 16);
  return error == std::errc{} && end == text.data() + text.size() ? key : std::hash<std::string_view>{}(text);
}

/// Rewrites an absolute target to origin form. Its authority replaces the Host header (RFC 9112, 3.2.2).
/// Returns false if the authority is empty or the message does not have exactly one Host header.
bool rewriteToOriginForm(HttpRequest& message) {
  const std::string target = message.target().to_string();
  if (!boost::beast::iequals(target.substr(0, kHttpScheme.size()), string_view(kHttpScheme.data())))
    return true;
  const std::size_t path = std::min(target.find_first_of("/?", kHttpScheme.size()), target.size());
  if (path == kHttpScheme.size() || message.count(http::field::host) != 1)
    return false;
  message.set(http::field::host, target.substr(kHttpScheme.size(), path - kHttpScheme.size()));
  message.target(path < target.size() && target[path] == '/' ? target.substr(path)
                                                             : "/" + target.substr(path));
  return true;
}

/// Checks that the end of the message is unambiguous (RFC 9112, 6). The parser would read a body in an
/// unknown transfer coding, or a body without a length, as the next request.
std::optional<Reason> checkFraming(const HttpRequest& message, BodyPresence body) {
  if (message.version() != 11)
    return Reason::unsupportedHttpVersion;
  const bool hasTransferCoding = message.count(http::field::transfer_encoding) > 0;
  if (hasTransferCoding && !boost::beast::iequals(message[http::field::transfer_encoding], "chunked"))
    return Reason::unsupportedTransferCoding;
  if (message.method() == http::verb::post && !hasTransferCoding && !message.has_content_length())
    return Reason::missingLength;
  if (message.method() == http::verb::get && (hasTransferCoding || body == BodyPresence::present))
    return Reason::unexpectedBody;
  return std::nullopt;
}

/// Upstream hosts derive the guarantees of a class from the method, so the method has to match the class.
std::optional<Reason> checkMethod(const HttpRequest& message, Idempotency idempotency) {
  const bool isGet = message.method() == http::verb::get;
  if (!isGet && message.method() != http::verb::post)
    return Reason::unsupportedMethod;
  if (isGet != (idempotency == Idempotency::idempotent))
    return Reason::methodClassMismatch;
  return std::nullopt;
}

std::optional<Reason> checkHeaders(const HttpRequest& message, const balancer::ClassSettings& settings) {
  if (!message["X-Class"].empty() && message["X-Class"] != string_view(settings.name))
    return Reason::classMismatch;
  if (message["X-Request-Id"].empty())
    return Reason::missingRequestId;
  // If a field occurs twice, the upstream host might read the one that the gateway did not use.
  for (const char* name : {"X-Request-Id", "X-Class", "X-Deadline-Ms", "Idempotency-Key"})
    if (message.count(name) > 1)
      return Reason::duplicateHeader;
  if (const auto reason = checkMethod(message, settings.idempotency))
    return reason;
  if (message.count(http::field::host) != 1)
    return Reason::invalidHost;
  // Without the key, an upstream host can't deduplicate a retry.
  if (settings.idempotency == Idempotency::keyed && message["Idempotency-Key"].empty())
    return Reason::missingIdempotencyKey;
  return std::nullopt;
}

RequestRejection rejectionFor(Reason reason) {
  return {reason, statusOf(reason)};
}

}  // namespace

http::status statusOf(RequestRejectionReason reason) {
  switch (reason) {
    case Reason::unsupportedHttpVersion:
      return http::status::http_version_not_supported;
    case Reason::unsupportedTransferCoding:
      return http::status::not_implemented;
    case Reason::missingLength:
      return http::status::length_required;
    case Reason::unknownClass:
      return http::status::not_found;
    case Reason::unsupportedMethod:
    case Reason::methodClassMismatch:
      return http::status::method_not_allowed;
    case Reason::unexpectedBody:
    case Reason::invalidTarget:
    case Reason::classMismatch:
    case Reason::missingRequestId:
    case Reason::duplicateHeader:
    case Reason::invalidHost:
    case Reason::missingIdempotencyKey:
    case Reason::invalidDeadline:
      return http::status::bad_request;
  }
  return http::status::bad_request;
}

std::string_view firstPathSegment(string_view target) {
  std::string_view path(target.data(), target.size());
  if (path.empty() || path.front() != '/')
    return {};
  path.remove_prefix(1);
  return path.substr(0, path.find_first_of("/?"));
}

RequestValidator::RequestValidator(const balancer::Settings& settings) : classes_(settings.classes) {
  for (std::size_t i = 0; i < settings.classes.size(); ++i)
    classIndexByName_.emplace(settings.classes[i].name, static_cast<std::uint32_t>(i));
  for (std::size_t i = 0; i < settings.tenants.size(); ++i)
    tenantIndexByName_.emplace(settings.tenants[i].name, static_cast<std::uint32_t>(i));
}

ValidationResult RequestValidator::validate(HttpRequest& message, BodyPresence body) const {
  if (const auto reason = checkFraming(message, body))
    return rejectionFor(*reason);
  if (message.target() == kHealthCheckPath && message.method() == http::verb::get)
    return HealthCheck{};
  if (!rewriteToOriginForm(message))
    return rejectionFor(Reason::invalidTarget);
  const ParseResult result = parseRequest(message);
  if (const auto* reason = std::get_if<Reason>(&result))
    return rejectionFor(*reason);
  return std::get<ValidatedRequest>(result);
}

RequestValidator::ParseResult RequestValidator::parseRequest(const HttpRequest& message) const {
  const auto found = classIndexByName_.find(std::string(firstPathSegment(message.target())));
  if (found == classIndexByName_.end())
    return Reason::unknownClass;
  const balancer::ClassSettings& settings = classes_[found->second];
  if (const auto reason = checkHeaders(message, settings))
    return *reason;
  ValidatedRequest validated;
  validated.request.classIndex = found->second;
  validated.request.remaining = settings.clientTimeout;
  if (message.count("X-Deadline-Ms") > 0) {
    const auto deadlineMs = parseNumber<std::uint32_t>(message["X-Deadline-Ms"]);
    if (!deadlineMs)
      return Reason::invalidDeadline;
    validated.request.remaining = std::chrono::milliseconds(*deadlineMs);
  }
  parseOptionalHeaders(message, validated.request);
  return validated;
}

// Reads the optional fields. An absent or malformed field is ignored: the client only loses the benefit of
// that field.
void RequestValidator::parseOptionalHeaders(const HttpRequest& message, balancer::Request& request) const {
  if (const auto costUs = parseNumber<std::uint32_t>(message["X-Cost-Hint"]))
    request.cost = std::chrono::microseconds(*costUs);
  const auto tenant = tenantIndexByName_.find(message["X-Tenant"].to_string());
  if (tenant != tenantIndexByName_.end())
    request.tenantIndex = tenant->second;
  const std::string_view key = cookieValue(message[http::field::cookie], kAffinityCookie);
  request.hasKey = !key.empty();
  if (request.hasKey)
    request.key = affinityKeyOf(key);
}

}  // namespace hollyrun::gateway
