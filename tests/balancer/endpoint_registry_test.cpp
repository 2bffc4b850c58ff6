// Tests of EndpointRegistry: known endpoints, subset and ring.
#include "balancer/endpoint_registry.hpp"

#include <gtest/gtest.h>

#include <set>
#include <string>

namespace hollyrun::balancer::testing {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

Endpoint makeEndpoint(int number) {
  Endpoint endpoint;
  endpoint.address = "10.0.0." + std::to_string(number) + ":80";
  endpoint.machineType = "m";
  return endpoint;
}

class EndpointRegistryTest : public ::testing::Test {
 protected:
  void listEndpoints(int count) {
    for (int i = 0; i < count; ++i)
      endpoints_.update(makeEndpoint(i));
    endpoints_.reindex();
  }
  Settings settings_;
  EndpointRegistry endpoints_{settings_};
};

TEST_F(EndpointRegistryTest, RestartIsNewProcessAndStateChangeIsNot) {
  Endpoint endpoint = makeEndpoint(1);
  EXPECT_TRUE(endpoints_.update(endpoint).newProcess);
  endpoint.state = EndpointState::draining;
  EXPECT_FALSE(endpoints_.update(endpoint).newProcess);
  endpoint.upSince = seconds(5);
  const EndpointRegistry::UpdateResult restarted = endpoints_.update(endpoint);
  EXPECT_TRUE(restarted.newProcess);
  EXPECT_EQ(restarted.host, endpoints_.find(endpoint.address));
}

TEST_F(EndpointRegistryTest, OnlyServingEndpointsAreIndexed) {
  listEndpoints(10);
  EXPECT_EQ(endpoints_.serving().size(), 10u);
  Endpoint draining = makeEndpoint(3);
  draining.state = EndpointState::draining;
  const HostId host = endpoints_.update(draining).host;
  endpoints_.reindex();
  EXPECT_EQ(endpoints_.serving().size(), 9u);
  EXPECT_EQ(std::count(endpoints_.serving().begin(), endpoints_.serving().end(), host), 0);
  EXPECT_EQ(endpoints_.subsetOrder().size(), 9u);
  EXPECT_EQ(endpoints_.find("unknown"), kNone);
}

TEST_F(EndpointRegistryTest, IncrementalUpdatesGiveSameOrderAsCompleteList) {
  listEndpoints(20);
  listEndpoints(40);
  EndpointRegistry complete(settings_);
  for (int i = 0; i < 40; ++i)
    complete.update(makeEndpoint(i));
  complete.reindex();
  EXPECT_EQ(endpoints_.subsetOrder(), complete.subsetOrder());
  EXPECT_EQ(endpoints_.serving(), complete.serving());
}

TEST_F(EndpointRegistryTest, FullRoundOfGatewaysWithCandidateLimitCoversAllEndpoints) {
  settings_.candidates = 4;
  settings_.replicaCount = 32;
  std::set<HostId> covered;
  for (settings_.replicaIndex = 0; settings_.replicaIndex < 8; ++settings_.replicaIndex) {
    EndpointRegistry gateway(settings_);
    for (int i = 0; i < 200; ++i)
      gateway.update(makeEndpoint(i));
    gateway.reindex();
    for (std::size_t i = 0; i < gateway.subsetSize(); ++i)
      covered.insert(gateway.subsetOrder()[i].host);
  }
  EXPECT_EQ(covered.size(), 200u) << "a full round of eight gateways must cover all endpoints";
}

TEST_F(EndpointRegistryTest, CandidateLimitAppliesFrom600EndpointsAndEndsBelow450) {
  listEndpoints(599);
  EXPECT_EQ(endpoints_.candidateLimit(), 0u);
  listEndpoints(600);
  EXPECT_EQ(endpoints_.candidateLimit(), 64u);
  EXPECT_EQ(endpoints_.ring().size(), 8 * 600u);
  endpoints_.markAllRemoved();
  listEndpoints(450);
  EXPECT_EQ(endpoints_.candidateLimit(), 64u);
  endpoints_.markAllRemoved();
  listEndpoints(449);
  EXPECT_EQ(endpoints_.candidateLimit(), 0u);
}

TEST_F(EndpointRegistryTest, EndpointIsBusyWhileAttemptIsInFlight) {
  listEndpoints(3);
  RequestTable requests;
  PendingRequest& request = requests.insert(1);
  request.attempts[0] = {.host = 2, .sentAt = seconds(1), .inFlight = true};
  request.attemptCount = 1;
  endpoints_.addAttempt(2, request);
  endpoints_.removeEndedAttempts(requests);
  EXPECT_EQ(endpoints_.busy(), std::vector<HostId>{2});
  request.attempts[0].inFlight = false;
  endpoints_.removeEndedAttempts(requests);
  EXPECT_TRUE(endpoints_.busy().empty());
}

}  // namespace
}  // namespace hollyrun::balancer::testing
