// Tests of EndpointSelector.
#include "balancer/endpoint_selector.hpp"

#include <gtest/gtest.h>

#include <map>
#include <set>
#include <string>

namespace hollyrun::balancer::testing {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

class EndpointSelectorTest : public ::testing::Test {
 protected:
  EndpointSelectorTest() {
    request_.requestClass = std::make_shared<RequestClass>();
    request_.requestClass->settings.idempotency = Idempotency::idempotent;
  }
  void listEndpoints(int count) {
    for (int i = 0; i < count; ++i) {
      Endpoint endpoint;
      endpoint.address = "host" + std::to_string(i);
      endpoints_.update(endpoint);
    }
    endpoints_.reindex();
  }
  HostId select() { return selector_.select(request_, endpoints_, random_, seconds(100)); }
  std::map<HostId, int> selectMany(int times) {
    std::map<HostId, int> counts;
    for (int i = 0; i < times; ++i)
      ++counts[select()];
    return counts;
  }

  Settings settings_;
  RandomSource random_{1};
  ArrivalRate arrivals_;
  KeyFrequency keyFrequency_;
  SlowStart slowStart_{settings_};
  ServiceTimeModel serviceTimes_{slowStart_};
  OutlierDetector outliers_;
  ConnectionTracker connections_{settings_};
  RetryPolicy retries_{settings_};
  EndpointRegistry endpoints_{settings_};
  PendingRequest request_;
  EndpointSelector selector_{{.settings = settings_,
                              .arrivals = arrivals_,
                              .keyFrequency = keyFrequency_,
                              .slowStart = slowStart_,
                              .serviceTimes = serviceTimes_,
                              .outliers = outliers_,
                              .connections = connections_,
                              .retries = retries_}};
};

TEST_F(EndpointSelectorTest, SelectsNoneWithoutEndpoints) {
  EXPECT_EQ(select(), kNone);
}

TEST_F(EndpointSelectorTest, UsesAllIdleEndpoints) {
  listEndpoints(4);
  EXPECT_EQ(selectMany(200).size(), 4u);
}

TEST_F(EndpointSelectorTest, SelectsUnavailableEndpointOnlyIfNoneIsAvailable) {
  listEndpoints(2);
  endpoints_.record(0).health.state = HealthState::ejected;
  EXPECT_EQ(selectMany(50), (std::map<HostId, int>{{1, 50}}));
  endpoints_.record(1).health.silent = true;
  EXPECT_EQ(selectMany(50).size(), 2u);
}

TEST_F(EndpointSelectorTest, PrefersIdleEndpointToBusyOne) {
  listEndpoints(2);
  endpoints_.record(0).inFlight = 3;
  EXPECT_EQ(selectMany(50), (std::map<HostId, int>{{1, 50}}));
}

TEST_F(EndpointSelectorTest, SelectsFastEndpointMoreOften) {
  listEndpoints(2);
  endpoints_.record(0).serviceTime.relative = 2;
  std::map<HostId, int> counts = selectMany(1000);
  EXPECT_GT(counts[1], 3 * counts[0]);
  EXPECT_GT(counts[0], 100) << "one fifth expected: weights are the inverse square of the service time";
}

TEST_F(EndpointSelectorTest, SelectsAnotherEndpointForRetry) {
  listEndpoints(3);
  request_.attempts[0] = {.host = 1};
  request_.attemptCount = 1;
  EXPECT_EQ(selectMany(100).count(1), 0u);
}

TEST_F(EndpointSelectorTest, KeyAffinitySelectsSameEndpointForKey) {
  settings_.keyAffinity = true;
  listEndpoints(20);
  request_.hasKey = true;
  std::set<HostId> selectedHosts;
  for (request_.key = 0; request_.key < 40; ++request_.key) {
    const std::map<HostId, int> counts = selectMany(20);
    ASSERT_EQ(counts.size(), 1u);
    selectedHosts.insert(counts.begin()->first);
  }
  EXPECT_GT(selectedHosts.size(), 10u) << "keys must be spread over the endpoints";
}

}  // namespace
}  // namespace hollyrun::balancer::testing
