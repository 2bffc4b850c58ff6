// The log: text and JSON lines, rate limits, and writing to a full or closed pipe.
#include "gateway/log.hpp"

#include <fcntl.h>
#include <gtest/gtest.h>
#include <unistd.h>

#include <csignal>
#include <nlohmann/json.hpp>
#include <sstream>
#include <vector>

namespace hollyrun::gateway {
namespace {

class LogTest : public ::testing::Test {
 protected:
  void SetUp() override {
    std::signal(SIGPIPE, SIG_IGN);  // as main() does
    ASSERT_EQ(::pipe2(pipe, O_NONBLOCK), 0);
  }
  void TearDown() override {
    ::close(pipe[0]);
    ::close(pipe[1]);
  }
  // Reads all lines that are in the pipe.
  std::vector<std::string> readLines() {
    std::string text;
    char buffer[4096];
    for (ssize_t size; (size = ::read(pipe[0], buffer, sizeof buffer)) > 0;)
      text.append(buffer, static_cast<std::size_t>(size));
    std::vector<std::string> lines;
    std::istringstream stream(text);
    for (std::string line; std::getline(stream, line);)
      lines.push_back(line);
    return lines;
  }
  int pipe[2] = {-1, -1};  // the read end and the write end
};

TEST_F(LogTest, TextLineHasTimeLevelNameKindAndFields) {
  Log log("n3", {}, pipe[1]);
  log.write(LogLevel::warning, "reload", "not\napplied", {{"host", "s-1"}, {"reason", "two words"}});
  const auto lines = readLines();
  ASSERT_EQ(lines.size(), 1u);
  EXPECT_EQ(lines[0].substr(24), " warning n3 reload: not applied host=s-1 reason=\"two words\"");
  EXPECT_EQ(lines[0][23], 'Z');
}

TEST_F(LogTest, JsonLineIsOneValidObjectForAnyText) {
  Log log("n\"3", {.level = LogLevel::debug, .format = LogFormat::json}, pipe[1]);
  log.write(LogLevel::debug, "x", "a \"quote\", a \x01 and \xff", {{"host", "s\n1"}});
  const auto lines = readLines();
  ASSERT_EQ(lines.size(), 1u);
  const auto json = nlohmann::json::parse(lines[0]);
  EXPECT_EQ(json["name"], "n\"3");
  EXPECT_EQ(json["level"], "debug");
  EXPECT_EQ(json["host"], "s\n1");
}

TEST_F(LogTest, LevelAndAccessLogSettingsAreApplied) {
  Log log("n", {.level = LogLevel::warning}, pipe[1]);
  log.write(LogLevel::info, "a", "below the level");
  log.writeAccess("r", "lookup", "success", 1.5);
  EXPECT_TRUE(readLines().empty());
  log.applySettings({.level = LogLevel::info, .accessLog = true});
  log.writeAccess("r", "lookup", "success", 1.5);
  const auto lines = readLines();
  ASSERT_EQ(lines.size(), 1u);
  EXPECT_NE(lines[0].find("n access request=r class=lookup end=success ms=1.500"), std::string::npos)
      << lines[0];
}

TEST_F(LogTest, MessageKindIsRateLimitedAndSuppressedLinesAreCounted) {
  Log log("n", {.maxLinesPerSecond = 3}, pipe[1]);
  for (int i = 0; i < 50; ++i)
    log.write(LogLevel::info, "frequent", "again");
  log.write(LogLevel::info, "other", "a limit of its own");
  const auto first = readLines();
  EXPECT_GE(first.size(), 4u);
  EXPECT_LE(first.size(), 7u) << "at most two windows of 3 lines and the other kind's line";
  // The first line of the next window reports the number of suppressed ones.
  std::vector<std::string> later;
  while (later.empty()) {
    log.write(LogLevel::info, "frequent", "again");
    later = readLines();
  }
  EXPECT_NE(later.front().find("left_out="), std::string::npos) << later.front();
}

TEST_F(LogTest, FullPipeDropsAndCountsLinesWithoutBlocking) {
  Log log("n", {.maxLinesPerSecond = 0}, pipe[1]);
  const int flags = ::fcntl(pipe[1], F_GETFL);
  ::fcntl(pipe[1], F_SETFL, flags & ~O_NONBLOCK);  // writing to the full pipe would block forever
  const std::string text(1000, 'a');
  for (int i = 0; i < 500; ++i)
    log.write(LogLevel::info, "long", text);
  EXPECT_GT(log.dropped(), 0u);
  const std::uint64_t dropped = log.dropped();
  EXPECT_EQ(readLines().size() + dropped, 500u);
  log.write(LogLevel::info, "next", "the pipe has been read");
  const auto after = readLines();
  ASSERT_EQ(after.size(), 1u);
  EXPECT_NE(after[0].find("dropped=" + std::to_string(dropped)), std::string::npos) << after[0];
}

TEST_F(LogTest, ClosedPipeOnlyCountsDroppedLines) {
  Log log("n", {}, pipe[1]);
  ::close(pipe[0]);
  pipe[0] = -1;
  log.write(LogLevel::info, "x", "nobody reads");
  EXPECT_EQ(log.dropped(), 1u);
}

}  // namespace
}  // namespace hollyrun::gateway
