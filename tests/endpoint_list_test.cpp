// Tests of the parser of endpoint lists: valid lists are accepted, invalid and contradictory ones are
// rejected.
#include "gateway/endpoint_list.hpp"

#include "net_peers.hpp"

namespace hollyrun::gateway::testing {
namespace {

TEST(EndpointList, ContradictoryListIsRejected) {
  const json valid = {{"rev", 3}, {"all", true}, {"targets", {target("s-1", loopback(81))}}};
  EXPECT_EQ(parseEndpointList(valid).endpoints.size(), 1u);
  EXPECT_TRUE(parseEndpointList({{"rev", 3}, {"all", true}, {"targets", json::array()}}).endpoints.empty());
  const auto expectRejected = [&](const char* path, const json& value) {
    json list = valid;
    list[json::json_pointer(path)] = value;
    EXPECT_THROW(parseEndpointList(list), std::invalid_argument) << path << " " << value;
  };
  for (const json& value : {json(nullptr), json::object(), json("x"), json(0)})
    expectRejected("/targets", value);
  expectRejected("/targets/1", target("s-1", loopback(82)));
  json delta = valid;
  delta["all"] = false;
  delta["targets"].push_back(target("s-1", loopback(81), "a", "DRAINING"));
  EXPECT_EQ(parseEndpointList(delta).endpoints.size(), 2u)
      << "expected a delta that lists one host twice to be accepted";
  for (const json& value : {json(-1), json(1.5), json("3"), json(true), json(1e300)}) {
    expectRejected("/rev", value);
    expectRejected("/targets/0/boot_ms", value);
  }
  expectRejected("/all", 1);
  expectRejected("/targets/0/capacity_hint", -1);
  expectRejected("/targets/0/endpoint", "127.0.0.1:0");
  expectRejected("/targets/0/endpoint", "127.0.0.1:70000");
  expectRejected("/targets/0/state", "GONE");
}

TEST(EndpointList, MalformedListOrEndpointIsRejected) {
  EXPECT_THROW(parseEndpointList(json::array()), std::invalid_argument);
  EXPECT_THROW(parseEndpointList({{"rev", 1}}), std::invalid_argument);
  EXPECT_THROW(parseEndpointList({{"rev", 1}, {"targets", {{{"uid", ""}, {"state", "SERVING"}}}}}),
               std::invalid_argument);
  EXPECT_THROW(parseEndpoint("1.2.3.4"), std::invalid_argument);
  EXPECT_THROW(parseEndpoint("1.2.3.4:99999"), std::invalid_argument);
  EXPECT_THROW(parseEndpoint("host:80"), std::invalid_argument);
}

}  // namespace
}  // namespace hollyrun::gateway::testing
