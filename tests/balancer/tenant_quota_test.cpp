// Tests of TenantQuota against plain token buckets that are refilled at every request.
#include "balancer/tenant_quota.hpp"

#include <gtest/gtest.h>

#include <random>

namespace hollyrun::balancer::testing {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

// Refills every bucket at every request, as the definition of a token bucket says.
class EagerBuckets {
 public:
  EagerBuckets(std::vector<double> perSecond, Time now)
      : perSecond_(std::move(perSecond)), tokens_(perSecond_.size()), at_(now) {}
  bool tryAcquire(std::size_t tenant, Time now) {
    for (std::size_t i = 0; i < tokens_.size(); ++i)
      tokens_[i] = std::min(tokens_[i] + toSeconds(now - at_) * perSecond_[i], perSecond_[i]);
    at_ = now;
    if (tokens_[tenant] < 1)
      return false;
    tokens_[tenant] -= 1;
    return true;
  }

 private:
  std::vector<double> perSecond_, tokens_;
  Time at_;
};

TEST(TenantQuotaTest, MatchesBucketsRefilledAtEveryRequest) {
  std::mt19937_64 engine(5);
  std::vector<double> quotas;
  for (int i = 0; i < 40; ++i)
    quotas.push_back(0.3 + 0.77 * i);
  Time now = seconds(1000);
  EagerBuckets eager(quotas, now);
  TenantQuota lazy;
  lazy.resize(quotas.size(), now);
  std::size_t within = 0, beyond = 0;
  for (int i = 0; i < 100000; ++i) {
    now += Duration(engine() % 3000000);
    const std::size_t tenant = engine() % quotas.size();
    const bool expected = eager.tryAcquire(tenant, now);
    ASSERT_EQ(lazy.tryAcquire(static_cast<std::uint32_t>(tenant), quotas[tenant], now), expected)
        << "request " << i;
    ++(expected ? within : beyond);
  }
  EXPECT_GT(within, 10000u);
  EXPECT_GT(beyond, 10000u);
}

TEST(TenantQuotaTest, HoldsTokensOfOneSecondAndStartsEmpty) {
  TenantQuota buckets;
  Time now = seconds(1000);
  buckets.resize(1, now);
  EXPECT_FALSE(buckets.tryAcquire(0, 10, now));
  now += seconds(3600);
  for (int i = 0; i < 10; ++i)
    EXPECT_TRUE(buckets.tryAcquire(0, 10, now)) << i;
  EXPECT_FALSE(buckets.tryAcquire(0, 10, now));
  now += milliseconds(100);
  EXPECT_TRUE(buckets.tryAcquire(0, 10, now));
  buckets.resize(2, now);
  EXPECT_FALSE(buckets.tryAcquire(1, 10, now)) << "the bucket of a new tenant must start empty";
}

}  // namespace
}  // namespace hollyrun::balancer::testing
