// Lists of endpoints in discovery's form: what is accepted and what is rejected.
#include "gateway/endpoint_list.hpp"

#include "net_peers.hpp"

namespace hollyrun::gateway::testing {
namespace {

TEST(EndpointList, ContradictoryListIsRejected) {
  const json good = {{"rev", 3}, {"all", true}, {"targets", {target("s-1", loopback(81))}}};
  EXPECT_EQ(parseEndpointList(good).endpoints.size(), 1u);
  EXPECT_TRUE(parseEndpointList({{"rev", 3}, {"all", true}, {"targets", json::array()}}).endpoints.empty());
  const auto bad = [&](const char* where, const json& value) {
    json list = good;
    list[json::json_pointer(where)] = value;
    EXPECT_THROW(parseEndpointList(list), std::invalid_argument) << where << " " << value;
  };
  for (const json& value : {json(nullptr), json::object(), json("x"), json(0)})
    bad("/targets", value);
  bad("/targets/1", target("s-1", loopback(82)));
  json changes = good;
  changes["all"] = false;
  changes["targets"].push_back(target("s-1", loopback(81), "a", "DRAINING"));
  EXPECT_EQ(parseEndpointList(changes).endpoints.size(), 2u) << "one host may change twice";
  for (const json& value : {json(-1), json(1.5), json("3"), json(true), json(1e300)}) {
    bad("/rev", value);
    bad("/targets/0/boot_ms", value);
  }
  bad("/all", 1);
  bad("/targets/0/capacity_hint", -1);
  bad("/targets/0/endpoint", "127.0.0.1:0");
  bad("/targets/0/endpoint", "127.0.0.1:70000");
  bad("/targets/0/state", "GONE");
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
