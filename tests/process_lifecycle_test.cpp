// Division of file descriptors between client and upstream connections and between processes. Listening, hot
// restart and drain are tested with real processes in program_test and fleet_test.
#include "gateway/process_lifecycle.hpp"

#include <gtest/gtest.h>

namespace hollyrun::gateway {
namespace {

constexpr std::size_t kDescriptors = 1032;  // 1000 and the 32 reserved ones
constexpr std::size_t kUnlimited = 1'000'000;

TEST(PartitionDescriptors, AssignsThreeFifthsToClientsAndTwoFifthsToUpstreamHosts) {
  const ConnectionLimits limits = partitionDescriptors(kDescriptors, kUnlimited, ServingProcesses::one);
  EXPECT_EQ(limits.downstream, 600u);
  EXPECT_EQ(limits.upstream, 400u);
}

TEST(PartitionDescriptors, HalvesBothLimitsBesideAnotherProcess) {
  const ConnectionLimits limits = partitionDescriptors(kDescriptors, kUnlimited, ServingProcesses::two);
  EXPECT_EQ(limits.downstream, 300u);
  EXPECT_EQ(limits.upstream, 200u);
}

TEST(PartitionDescriptors, LimitsClientConnectionsToTheirMaximum) {
  EXPECT_EQ(partitionDescriptors(kDescriptors, 450, ServingProcesses::one).downstream, 450u);
  EXPECT_EQ(partitionDescriptors(kDescriptors, 450, ServingProcesses::two).downstream, 300u);
}

}  // namespace
}  // namespace hollyrun::gateway
