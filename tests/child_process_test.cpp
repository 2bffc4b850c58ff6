// Tests the child processes of the testbed.
#include <gtest/gtest.h>
#include <signal.h>
#include <sys/wait.h>

#include <boost/asio/io_context.hpp>
#include <boost/asio/signal_set.hpp>
#include <fstream>
#include <memory>
#include <string>

#include "lab/testbed/process.hpp"

namespace hollyrun::lab {
namespace {

// Guards against a signal that arrives between fork and execve and is handled by the testbed's handler: the
// testbed took it for its own, and the child survived it.
TEST(ChildProcessTest, SignalRightAfterStartEndsTheChildAlone) {
  constexpr int kStarts = 300;
  boost::asio::io_context io;
  boost::asio::signal_set testbedSignals(io, SIGTERM);
  bool testbedReceivedSignal = false;
  testbedSignals.async_wait([&](boost::system::error_code error, int) { testbedReceivedSignal = !error; });
  for (int i = 0; i < kStarts; ++i) {
    const auto child = std::make_shared<Process>(io, "child");
    child->start("/bin/sleep", {}, {"10"});
    child->send(SIGTERM);
    int status = 0;
    ASSERT_EQ(::waitpid(child->pid, &status, 0), child->pid);
    io.restart();
    io.poll();
    ASSERT_FALSE(testbedReceivedSignal) << "the testbed received the signal of child " << i;
    ASSERT_TRUE(WIFSIGNALED(status)) << "child " << i << " survived its signal";
    ASSERT_EQ(WTERMSIG(status), SIGTERM);
  }
}

bool isBlockedSignalsLine(const std::string& line) {
  return line.starts_with("SigBlk:");
}

// The line of /proc/self/status that lists the blocked signals.
std::string ownBlockedSignals() {
  std::ifstream status("/proc/self/status");
  std::string line;
  while (std::getline(status, line) && !isBlockedSignalsLine(line)) {
  }
  return line;
}

// Guards against a start that leaves signals blocked, in the testbed or in the child.
TEST(ChildProcessTest, StartLeavesNoSignalBlocked) {
  boost::asio::io_context io;
  const std::string blockedBefore = ownBlockedSignals();
  ASSERT_TRUE(isBlockedSignalsLine(blockedBefore));
  const auto child = std::make_shared<Process>(io, "child");
  std::string blockedInChild;
  child->onOutputLine = [&](const std::string& line) {
    if (isBlockedSignalsLine(line))
      blockedInChild = line;
  };
  child->start("/bin/cat", {}, {"/proc/self/status"});
  EXPECT_EQ(ownBlockedSignals(), blockedBefore);
  int status = 0;
  ASSERT_EQ(::waitpid(child->pid, &status, 0), child->pid);
  io.run();
  EXPECT_EQ(blockedInChild, blockedBefore);
}

}  // namespace
}  // namespace hollyrun::lab
