// What the module keeps so that a request costs the same whatever the number of tenants and hosts, against
// the plain sums that it stands for.
#include <gtest/gtest.h>

#include <random>

#include "balancer/slow_start.hpp"
#include "balancer/tenant_quota.hpp"

namespace hollyrun::balancer::testing {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

// Every bucket filled at every request, as the definition of a quota has it.
class EagerBuckets {
 public:
  EagerBuckets(std::vector<double> perSecond, Time now)
      : perSecond_(std::move(perSecond)), tokens_(perSecond_.size()), at_(now) {}
  bool take(std::size_t tenant, Time now) {
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

TEST(TenantQuotaTest, GivesWhatBucketsFilledAtEveryRequestGive) {
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
    const bool expected = eager.take(tenant, now);
    ASSERT_EQ(lazy.tryAcquire(static_cast<std::uint32_t>(tenant), quotas[tenant], now), expected)
        << "request " << i;
    ++(expected ? within : beyond);
  }
  EXPECT_GT(within, 10000u);
  EXPECT_GT(beyond, 10000u);
}

TEST(TenantQuotaTest, SavesUpOneSecondsWorthAndStartsEmpty) {
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
  EXPECT_FALSE(buckets.tryAcquire(1, 10, now)) << "a new tenant";
}

TEST(RampDeficitTest, LacksWhatItsHostsLack) {
  std::mt19937_64 engine(6);
  constexpr double slowStartDuration = 23;
  double now = 5000;
  std::vector<double> starts;
  for (int i = 0; i < 500; ++i)
    starts.push_back(now - 40 * static_cast<double>(engine() % 1000) / 1000);
  RampDeficit deficit;
  deficit.assign(starts);
  for (int i = 0; i < 300; ++i, now += 0.1) {
    double expected = 0;
    for (double start : starts)
      expected += std::max(0.0, 1 - (now - start) / slowStartDuration);
    ASSERT_NEAR(deficit.at(now, slowStartDuration), expected, 1e-9) << "after " << i;
  }
  EXPECT_EQ(deficit.at(now, slowStartDuration), 0) << "all are warm";
}

}  // namespace
}  // namespace hollyrun::balancer::testing
