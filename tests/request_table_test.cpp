// Tests when request contexts are found and when they are removed.
#include "gateway/request_table.hpp"

#include <gtest/gtest.h>

namespace hollyrun::gateway {
namespace {

constexpr DownstreamRequestId kClient = 7;

TEST(RequestTable, FindsAContextByItsIdAndByItsClient) {
  RequestTable table;
  RequestContext& context = table.add(kClient);
  EXPECT_EQ(table.find(context.id), &context);
  EXPECT_EQ(table.findByClient(kClient), &context);
  EXPECT_EQ(table.find(context.id + 1), nullptr);
  EXPECT_EQ(table.findByClient(kClient + 1), nullptr);
}

TEST(RequestTable, AssignsDistinctIds) {
  RequestTable table;
  EXPECT_NE(table.add(kClient).id, table.add(kClient + 1).id);
}

TEST(RequestTable, FindsAFinishedRequestByItsIdOnly) {
  RequestTable table;
  RequestContext& context = table.add(kClient);
  table.finish(context);
  EXPECT_TRUE(context.isFinished);
  EXPECT_EQ(table.findByClient(kClient), nullptr);
  EXPECT_EQ(table.find(context.id), &context);
}

TEST(RequestTable, KeepsAFinishedRequestWhileAnAttemptIsInFlight) {
  RequestTable table;
  RequestContext& context = table.add(kClient);
  const balancer::RequestId id = context.id;
  context.attemptsInFlight = 1;
  table.finish(context);
  table.scheduleRemoval(id);
  table.removeFinished();
  ASSERT_NE(table.find(id), nullptr);
  context.attemptsInFlight = 0;
  table.removeFinished();
  EXPECT_NE(table.find(id), nullptr) << "only scheduled contexts are checked for removal";
  table.scheduleRemoval(id);
  table.scheduleRemoval(id);
  table.removeFinished();
  EXPECT_EQ(table.find(id), nullptr);
}

TEST(RequestTable, KeepsAnUnfinishedRequest) {
  RequestTable table;
  const balancer::RequestId id = table.add(kClient).id;
  table.scheduleRemoval(id);
  table.removeFinished();
  EXPECT_NE(table.find(id), nullptr);
}

}  // namespace
}  // namespace hollyrun::gateway
