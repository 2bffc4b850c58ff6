// The account of memory and the observation of the process that trusts no account.
#include "gateway/overload_manager.hpp"

#include <gtest/gtest.h>

#include <thread>

#include "gateway/body_stream.hpp"
#include "gateway/forwarded_request.hpp"

namespace hollyrun::gateway {
namespace {

constexpr std::size_t kMb = 1 << 20;
constexpr std::size_t kLimit = 32 * kMb;
constexpr std::size_t kProgram = 6 * kMb;
// The manager samples at most this often while the account does not grow.
constexpr auto kSamplePause = std::chrono::milliseconds(12);

class OverloadManagerTest : public ::testing::Test {
 protected:
  OverloadManagerTest() { manager.setProcessLimit(kLimit); }

  // Lets the manager see this memory, and runs what it has scheduled.
  void observe(std::size_t newResident) {
    resident = newResident;
    std::this_thread::sleep_for(kSamplePause);
    manager.observe();
    io.restart();
    io.poll();
  }
  bool closeOne() {
    if (connections == 0)
      return false;
    --connections;
    ++closed;
    heldByConnections.pop_back();
    resident -= kMb;
    return true;
  }
  void holdConnections(std::size_t count) {
    connections = count;
    for (std::size_t i = 0; i < count; ++i)
      heldByConnections.emplace_back(kMb, 'x');
  }

  boost::asio::io_context io;
  Log log{"n0", {.level = LogLevel::off}};
  std::size_t resident = kProgram;
  std::size_t connections = 0, closed = 0, trims = 0;
  std::vector<RequestText> heldByConnections;
  std::shared_ptr<MemoryBudget> budget = std::make_shared<MemoryBudget>(kLimit);
  OverloadManager manager{
      io,
      budget,
      {.residentMemory = [this] { return std::optional(resident); }, .trimHeap = [this] { ++trims; }},
      [this] { return closeOne(); },
      log};
};

TEST_F(OverloadManagerTest, GrantsHalfOfWhatTheProgramLeaves) {
  EXPECT_EQ(budget->limit(), (kLimit - kProgram) / 2);
  EXPECT_EQ(budget->pressure(), MemoryPressure::none);
}

TEST_F(OverloadManagerTest, HalvesWithTheLimitOfAnUpgrade) {
  manager.setProcessLimit(kLimit / 2);
  EXPECT_EQ(budget->limit(), (kLimit / 2 - kProgram) / 2);
}

TEST_F(OverloadManagerTest, LeavesTheMemoryOfAnotherProcessIfAsked) {
  manager.setProcessLimit(kLimit, MemoryReserve::anotherProcess);
  EXPECT_EQ(manager.processLimit(), kLimit - kProgram);
}

TEST_F(OverloadManagerTest, RefusesBeforeTheLimitThoughTheAccountIsEmpty) {
  resident = kProgram + (kLimit - kProgram) * 9 / 10;
  std::this_thread::sleep_for(kSamplePause);
  manager.observe();
  EXPECT_FALSE(budget->hasCapacity(1));
  EXPECT_TRUE(budget->refusesRequests());
  holdConnections(20);
  io.poll();
  EXPECT_GT(closed, 0u);
  EXPECT_GT(trims, 0u);
  EXPECT_FALSE(budget->refusesRequests());
}

TEST_F(OverloadManagerTest, ClosesConnectionsUntilThePressureEnds) {
  holdConnections(20);
  observe(26 * kMb);
  EXPECT_GT(closed, 0u);
  EXPECT_LT(closed, 20u);
  EXPECT_LT(budget->pressure(), MemoryPressure::closing);
}

TEST_F(OverloadManagerTest, ReadsSlowlyBeforeItClosesAnything) {
  holdConnections(20);
  observe(kProgram + (kLimit - kProgram) * 65 / 100);
  EXPECT_EQ(budget->pressure(), MemoryPressure::slowReading);
  EXPECT_EQ(closed, 0u);
  EXPECT_EQ(budget->streamBufferLimit(), 4096u);
}

TEST_F(OverloadManagerTest, ServesAgainWhenWhatRemainsIsTheProgramsOwn) {
  observe(26 * kMb);
  observe(26 * kMb);
  EXPECT_EQ(budget->pressure(), MemoryPressure::none);
  EXPECT_TRUE(budget->hasCapacity(kMb));
  EXPECT_EQ(manager.baseline(), 26 * kMb);
}

TEST_F(OverloadManagerTest, CountsLessAsTheProgramsOwnOnceItIsGone) {
  observe(26 * kMb);
  observe(26 * kMb);
  observe(8 * kMb);
  EXPECT_EQ(manager.baseline(), 8 * kMb);
}

TEST_F(OverloadManagerTest, ServesThoughTheProgramItselfExceedsItsLimit) {
  manager.setProcessLimit(kProgram / 2);
  observe(kProgram);
  EXPECT_EQ(budget->pressure(), MemoryPressure::none);
  EXPECT_TRUE(budget->hasCapacity(1));
}

TEST_F(OverloadManagerTest, ReturnsFreedMemoryWithoutPressure) {
  observe(kProgram + 4 * kMb);
  EXPECT_EQ(budget->pressure(), MemoryPressure::none);
  EXPECT_GT(trims, 0u);
}

// --- The account -----------------------------------------------------------------------------------------

std::size_t used(MemoryUse use) {
  return MemoryBudget::account().used(use);
}

TEST(MemoryAccountTest, HeadsAreCountedAsLongAsTheyAreHeld) {
  const std::size_t before = used(MemoryUse::requestHead);
  {
    HttpRequest message{boost::beast::http::verb::get, "/read", 11};
    for (int i = 0; i < 1'000; ++i)
      message.insert("a", "");
    const std::size_t parsed = used(MemoryUse::requestHead) - before;
    EXPECT_GT(parsed, 64'000u);
    const HttpRequest copy = message;
    EXPECT_GE(used(MemoryUse::requestHead) - before, 2 * parsed);
  }
  EXPECT_EQ(used(MemoryUse::requestHead), before);
}

TEST(MemoryAccountTest, AForwardedHeadCostsItsBytesAndIsSharedByAttempts) {
  const std::size_t before = used(MemoryUse::requestHead);
  HttpRequest message{boost::beast::http::verb::get, "/read", 11};
  for (int i = 0; i < 1'000; ++i)
    message.insert("a", "");
  const ForwardedRequestPtr request = forwardRequest(std::move(message));
  EXPECT_LT(used(MemoryUse::requestHead) - before, 6'000u);
  const ForwardedRequestPtr hedge = request;
  EXPECT_LT(used(MemoryUse::requestHead) - before, 6'000u);
}

TEST(MemoryAccountTest, AnEmptiedStringIsCountedUntilItsMemoryIsReleased) {
  const std::size_t before = used(MemoryUse::response);
  ResponseText text(60'000, 'x');
  text = {};
  EXPECT_GT(used(MemoryUse::response), before);
  releaseMemory(text);
  EXPECT_EQ(used(MemoryUse::response), before);
}

TEST(MemoryAccountTest, AStreamCountsItsDataAndThePieceThatItsConsumerHolds) {
  const std::size_t before = used(MemoryUse::upload);
  UploadStream stream(std::make_shared<MemoryBudget>(kLimit));
  stream.append(std::string(10'000, 'x'));
  {
    const UploadText piece = stream.consume();
    EXPECT_GE(used(MemoryUse::upload) - before, 10'000u);
  }
  EXPECT_EQ(used(MemoryUse::upload), before);
}

// --- The text of an attempt ------------------------------------------------------------------------------

TEST(ForwardedRequestTest, TheDeadlineOfTheAttemptReplacesTheClients) {
  HttpRequest message{boost::beast::http::verb::get, "/read", 11};
  message.set("X-Deadline-Ms", "900");
  message.set("X-Tenant", "t1");
  const ForwardedRequestPtr request = forwardRequest(std::move(message));
  EXPECT_EQ(attemptText(*request, std::chrono::milliseconds(400)),
            "GET /read HTTP/1.1\r\nX-Tenant: t1\r\nX-Deadline-Ms: 400\r\n\r\n");
  EXPECT_EQ(attemptText(*request, std::nullopt),
            "GET /read HTTP/1.1\r\nX-Tenant: t1\r\nX-Deadline-Ms: 900\r\n\r\n");
}

TEST(ForwardedRequestTest, ABufferedBodyIsSentWithItsLengthAndAStreamedOneAsItIsKnown) {
  HttpRequest message{boost::beast::http::verb::post, "/write", 11};
  message.body() = "abc";
  EXPECT_EQ(attemptText(*forwardRequest(message), std::nullopt),
            "POST /write HTTP/1.1\r\nContent-Length: 3\r\n\r\nabc");
  message.body().clear();
  EXPECT_EQ(attemptText(*forwardRequest(message, {.isStreamed = true, .length = 70'000}), std::nullopt),
            "POST /write HTTP/1.1\r\nContent-Length: 70000\r\n\r\n");
  EXPECT_EQ(attemptText(*forwardRequest(message, {.isStreamed = true}), std::nullopt),
            "POST /write HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n");
}

}  // namespace
}  // namespace hollyrun::gateway
