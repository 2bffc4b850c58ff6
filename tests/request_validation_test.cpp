// Unit tests of request validation: each rejection reason, and the fields of an accepted request.
#include "gateway/request_validation.hpp"

#include <gtest/gtest.h>

#include <chrono>
#include <functional>
#include <ostream>

namespace hollyrun::gateway {
namespace {

namespace http = boost::beast::http;
using Reason = RequestRejectionReason;
using std::chrono::milliseconds;

balancer::Settings settings() {
  balancer::Settings settings;
  settings.classes.resize(3);
  settings.classes[0].name = "read";
  settings.classes[0].idempotency = balancer::Idempotency::idempotent;
  settings.classes[0].clientTimeout = milliseconds(700);
  settings.classes[1].name = "write";
  settings.classes[1].idempotency = balancer::Idempotency::none;
  settings.classes[2].name = "put";
  settings.classes[2].idempotency = balancer::Idempotency::keyed;
  settings.tenants.resize(2);
  settings.tenants[0].name = "first";
  settings.tenants[1].name = "second";
  return settings;
}

HttpRequest getRequest() {
  HttpRequest message{http::verb::get, "/read/7?x=1", 11};
  message.set(http::field::host, "gateway");
  message.set("X-Request-Id", "r1");
  return message;
}

HttpRequest postRequest(const char* target) {
  HttpRequest message{http::verb::post, target, 11};
  message.set(http::field::host, "gateway");
  message.set("X-Request-Id", "r1");
  message.content_length(0);
  return message;
}

ValidationResult validate(HttpRequest& message, BodyPresence body = BodyPresence::absent) {
  return RequestValidator(settings()).validate(message, body);
}

balancer::Request validatedRequest(HttpRequest message) {
  const ValidationResult result = validate(message);
  EXPECT_TRUE(std::holds_alternative<ValidatedRequest>(result));
  const auto* validated = std::get_if<ValidatedRequest>(&result);
  return validated ? validated->request : balancer::Request{};
}

struct RejectionCase {
  const char* name;
  std::function<HttpRequest()> message;
  Reason reason;
  unsigned status;
  BodyPresence body = BodyPresence::absent;
};
std::ostream& operator<<(std::ostream& out, const RejectionCase& rejectionCase) {
  return out << rejectionCase.name;
}

HttpRequest modified(HttpRequest message, const std::function<void(HttpRequest&)>& change) {
  change(message);
  return message;
}

class RequestRejections : public ::testing::TestWithParam<RejectionCase> {};

TEST_P(RequestRejections, HaveTheExpectedReasonAndStatus) {
  HttpRequest message = GetParam().message();
  const ValidationResult result = validate(message, GetParam().body);
  const auto* rejection = std::get_if<RequestRejection>(&result);
  ASSERT_NE(rejection, nullptr);
  EXPECT_EQ(rejection->reason, GetParam().reason);
  EXPECT_EQ(static_cast<unsigned>(rejection->status), GetParam().status);
}

std::vector<RejectionCase> rejectionCases() {
  const auto get = [](std::function<void(HttpRequest&)> change) {
    return [change] { return modified(getRequest(), change); };
  };
  const auto post = [](
                        const char* target, std::function<void(HttpRequest&)> change = [](HttpRequest&) {}) {
    return [target, change] { return modified(postRequest(target), change); };
  };
  return {
      {"Http10", get([](HttpRequest& m) { m.version(10); }), Reason::unsupportedHttpVersion, 505},
      {"UnknownCoding", post("/write", [](HttpRequest& m) { m.set(http::field::transfer_encoding, "gzip"); }),
       Reason::unsupportedTransferCoding, 501},
      {"PostWithoutLength", post("/write", [](HttpRequest& m) { m.erase(http::field::content_length); }),
       Reason::missingLength, 411},
      {"GetWithBody", getRequest, Reason::unexpectedBody, 400, BodyPresence::present},
      {"GetWithCoding", get([](HttpRequest& m) { m.set(http::field::transfer_encoding, "chunked"); }),
       Reason::unexpectedBody, 400},
      {"AbsoluteTargetWithoutHost", get([](HttpRequest& m) { m.target("http:///read"); }),
       Reason::invalidTarget, 400},
      {"UnknownClass", post("/other"), Reason::unknownClass, 404},
      {"TargetIsNotAPath", get([](HttpRequest& m) { m.target("read"); }), Reason::unknownClass, 404},
      {"ClassHeaderMismatch", get([](HttpRequest& m) { m.set("X-Class", "write"); }), Reason::classMismatch,
       400},
      {"MissingRequestId", get([](HttpRequest& m) { m.erase("X-Request-Id"); }), Reason::missingRequestId,
       400},
      {"TwoRequestIds", get([](HttpRequest& m) { m.insert("X-Request-Id", "r2"); }), Reason::duplicateHeader,
       400},
      {"TwoDeadlines", get([](HttpRequest& m) {
         m.insert("X-Deadline-Ms", "5");
         m.insert("X-Deadline-Ms", "5");
       }),
       Reason::duplicateHeader, 400},
      {"Put", get([](HttpRequest& m) { m.method(http::verb::put); }), Reason::unsupportedMethod, 405},
      {"PostOfIdempotentClass", post("/read"), Reason::methodClassMismatch, 405},
      {"MissingHost", get([](HttpRequest& m) { m.erase(http::field::host); }), Reason::invalidHost, 400},
      {"KeyedWithoutKey", post("/put"), Reason::missingIdempotencyKey, 400},
      {"DeadlineIsNotANumber", get([](HttpRequest& m) { m.set("X-Deadline-Ms", "soon"); }),
       Reason::invalidDeadline, 400},
  };
}

INSTANTIATE_TEST_SUITE_P(RequestValidator, RequestRejections, ::testing::ValuesIn(rejectionCases()),
                         [](const auto& info) { return info.param.name; });

TEST(RequestValidator, UsesTheClassTimeoutWithoutADeadlineHeader) {
  const balancer::Request request = validatedRequest(getRequest());
  EXPECT_EQ(request.classIndex, 0u);
  EXPECT_EQ(request.remaining, milliseconds(700));
  EXPECT_EQ(request.tenantIndex, balancer::kNone);
  EXPECT_FALSE(request.hasKey);
}

TEST(RequestValidator, ReadsDeadlineCostTenantAndAffinityKey) {
  HttpRequest message = getRequest();
  message.set("X-Deadline-Ms", "250");
  message.set("X-Cost-Hint", "1500");
  message.set("X-Tenant", "second");
  message.set(http::field::cookie, "a=b; obj=ff; c=d");
  const balancer::Request request = validatedRequest(message);
  EXPECT_EQ(request.remaining, milliseconds(250));
  EXPECT_EQ(request.cost, std::chrono::microseconds(1500));
  EXPECT_EQ(request.tenantIndex, 1u);
  EXPECT_TRUE(request.hasKey);
  EXPECT_EQ(request.key, 255u);
}

TEST(RequestValidator, IgnoresANonNumericCostAndAnUnknownTenant) {
  HttpRequest message = getRequest();
  message.set("X-Cost-Hint", "much");
  message.set("X-Tenant", "third");
  const balancer::Request request = validatedRequest(message);
  EXPECT_EQ(request.cost, balancer::Duration{});
  EXPECT_EQ(request.tenantIndex, balancer::kNone);
}

TEST(RequestValidator, RewritesAnAbsoluteTargetAndItsHost) {
  HttpRequest message = getRequest();
  message.target("HTTP://named:81?x=1");
  message.set("X-Class", "");
  validate(message);
  EXPECT_EQ(message.target(), "/?x=1");
  EXPECT_EQ(message[http::field::host], "named:81");
}

TEST(RequestValidator, RecognizesAHealthCheckWithoutARequestId) {
  HttpRequest message{http::verb::get, "/up", 11};
  EXPECT_TRUE(std::holds_alternative<HealthCheck>(validate(message)));
  HttpRequest http10{http::verb::get, "/up", 10};
  EXPECT_TRUE(std::holds_alternative<RequestRejection>(validate(http10))) << "framing is checked first";
}

}  // namespace
}  // namespace hollyrun::gateway
