#include <gtest/gtest.h>

#include <functional>

#include "simulator_adapter/event_parser.hpp"
#include "simulator_adapter/line_parser.hpp"
#include "simulator_adapter/request_ids.hpp"

namespace hollyrun::simulator_adapter {
namespace {

using balancer::EndpointListKind;
using balancer::EndpointState;
using balancer::Outcome;
using balancer::RequestId;

/// Returns the code of the LineError that `parse` throws, or nothing if it throws none.
std::optional<LineErrorCode> errorOf(const std::function<void()>& parse) {
  try {
    parse();
  } catch (const LineError& error) {
    return error.code();
  }
  return std::nullopt;
}

TEST(LineParser, ReadsFieldsInOrderAndSkipsEmptyWords) {
  FieldReader reader("  a=1   b=  c=x=y ");
  const std::optional<Field> first = reader.next();
  ASSERT_TRUE(first);
  EXPECT_EQ(first->key, "a");
  EXPECT_EQ(first->value, "1");
  const std::optional<Field> second = reader.next();
  ASSERT_TRUE(second);
  EXPECT_EQ(second->key, "b");
  EXPECT_EQ(second->value, "");
  const std::optional<Field> third = reader.next();
  ASSERT_TRUE(third);
  EXPECT_EQ(third->key, "c");
  EXPECT_EQ(third->value, "x=y");
  EXPECT_FALSE(reader.next());
}

TEST(LineParser, WordWithoutSeparatorFailsFieldReaderButNotFindValue) {
  EXPECT_EQ(errorOf([] { FieldReader("noise a=1").next(); }), LineErrorCode::missingSeparator);
  EXPECT_EQ(findValue("noise a=1 a=2", "a"), "1");
  EXPECT_EQ(findValue("noise ab=1", "a"), std::nullopt);
}

TEST(LineParser, RejectsMalformedNumbersAndBools) {
  EXPECT_EQ(parseNumber<int>({"key", "-7"}), -7);
  for (const char* value : {"", "x", "7x", " 7", "99999999999"})
    EXPECT_EQ(errorOf([value] { parseNumber<int>({"key", value}); }), LineErrorCode::invalidNumber) << value;
  EXPECT_TRUE(parseBool({"key", "true"}));
  EXPECT_FALSE(parseBool({"key", "0"}));
  EXPECT_EQ(errorOf([] { parseBool({"key", "yes"}); }), LineErrorCode::invalidBool);
}

TEST(EventParser, ParsesRequestNamesAndKey) {
  const RequestEvent event =
      parseRequest("i=g ref=r leftNs=5 costNs=3 tierClass=plan realm=acme routeKey=ff repeat=1 future=x");
  EXPECT_EQ(event.request.remaining, balancer::Duration(5));
  EXPECT_EQ(event.request.cost, balancer::Duration(3));
  EXPECT_EQ(event.className, "plan");
  EXPECT_EQ(event.tenantName, "acme");
  EXPECT_TRUE(event.request.hasKey);
  EXPECT_EQ(event.request.key, 255u);
}

TEST(EventParser, RejectsRequestWithMissingOrMalformedField) {
  EXPECT_EQ(errorOf([] { parseRequest("tierClass=plan"); }), LineErrorCode::missingField);
  EXPECT_EQ(errorOf([] { parseRequest("leftNs=5"); }), LineErrorCode::missingField);
  EXPECT_EQ(errorOf([] { parseRequest("leftNs=5 tierClass=p routeKey=xyz"); }), LineErrorCode::invalidKey);
  EXPECT_EQ(errorOf([] { parseRequest("leftNs=5 tierClass=p repeat=maybe"); }), LineErrorCode::invalidBool);
}

TEST(EventParser, MapsEachDispositionToAnOutcome) {
  const struct {
    const char* code;
    Outcome outcome;
  } cases[] = {{"10", Outcome::served},    {"20", Outcome::error},         {"30", Outcome::rejected},
               {"40", Outcome::timeout},   {"50", Outcome::connectFailed}, {"60", Outcome::reset},
               {"70", Outcome::cancelled}, {"80", Outcome::abandoned}};
  for (const auto& [code, outcome] : cases) {
    const ResultEvent event = parseResult(std::string("ref=r go=2 terminal=1 disposition=") + code);
    EXPECT_EQ(event.result.outcome, outcome) << code;
    EXPECT_EQ(event.result.attempt, 2u);
    EXPECT_TRUE(event.result.terminal);
  }
  EXPECT_EQ(errorOf([] { parseResult("ref=r go=0 disposition=11"); }), LineErrorCode::unknownDisposition);
  EXPECT_EQ(errorOf([] { parseResult("ref=r go=0"); }), LineErrorCode::missingField);
}

TEST(EventParser, ParsesEndpointStatesAndListKinds) {
  EXPECT_EQ(parseEndpoint("host=h:1 phase=LAME").state, EndpointState::draining);
  EXPECT_EQ(parseEndpoint("host=h:1 phase=OUT").state, EndpointState::removed);
  EXPECT_EQ(errorOf([] { parseEndpoint("host=h:1 phase=GONE"); }), LineErrorCode::unknownPhase);
  EXPECT_EQ(errorOf([] { parseEndpoint("phase=IN"); }), LineErrorCode::missingField);
  EXPECT_EQ(parseEndpointUpdate("kind=update buffer=3").kind, EndpointListKind::delta);
  EXPECT_EQ(parseEndpointUpdate("kind=replace buffer=3").listIndex, 3u);
  EXPECT_EQ(parseEndpointUpdate("kind=unavailable buffer=-").listIndex, std::nullopt);
  EXPECT_EQ(errorOf([] { parseEndpointUpdate("kind=odd buffer=0"); }), LineErrorCode::unknownListKind);
}

TEST(RequestIds, KeepsNameUntilRequestAndItsAttemptsHaveEnded) {
  RequestIds requests;
  const RequestId id = requests.add("r");
  requests.countAttemptSent(id);
  requests.markEnded(id);
  requests.releaseIfEnded(id);
  EXPECT_EQ(requests.find("r"), id);
  requests.countAttemptEnded(id);
  requests.releaseIfEnded(id);
  EXPECT_EQ(requests.find("r"), std::nullopt);
  requests.releaseIfEnded(id);  // releasing twice has no effect
  const RequestId again = requests.add("r");
  EXPECT_NE(again, id) << "ids must not be reused";
  EXPECT_EQ(requests.name(again), "r");
  EXPECT_NE(requests.add("s"), again);
}

}  // namespace
}  // namespace hollyrun::simulator_adapter
