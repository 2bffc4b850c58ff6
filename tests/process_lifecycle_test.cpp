// How the descriptors of a process are partitioned. Listening, hot restart and drain run as processes in
// program_test and fleet_test.
#include "gateway/process_lifecycle.hpp"

#include <gtest/gtest.h>

namespace hollyrun::gateway {
namespace {

constexpr std::size_t kDescriptors = 1032;  // 1000 besides the reserved ones
constexpr std::size_t kNoMaximum = 1'000'000;

TEST(PartitionDescriptors, AssignsThreeFifthsToClientsAndTwoToUpstreamHosts) {
  const ConnectionLimits limits = partitionDescriptors(kDescriptors, kNoMaximum, ServingProcesses::one);
  EXPECT_EQ(limits.downstream, 600u);
  EXPECT_EQ(limits.upstream, 400u);
}

TEST(PartitionDescriptors, HalvesBothBesideAnotherProcess) {
  const ConnectionLimits limits = partitionDescriptors(kDescriptors, kNoMaximum, ServingProcesses::two);
  EXPECT_EQ(limits.downstream, 300u);
  EXPECT_EQ(limits.upstream, 200u);
}

TEST(PartitionDescriptors, KeepsTheMaximumOfClientConnections) {
  EXPECT_EQ(partitionDescriptors(kDescriptors, 450, ServingProcesses::one).downstream, 450u);
  EXPECT_EQ(partitionDescriptors(kDescriptors, 450, ServingProcesses::two).downstream, 300u);
}

}  // namespace
}  // namespace hollyrun::gateway
