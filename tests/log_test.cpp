// The log: lines as text and as JSON, rate limits, and a pipe that nobody reads.
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
    std::signal(SIGPIPE, SIG_IGN);  // as the program does
    ASSERT_EQ(::pipe2(ends, O_NONBLOCK), 0);
  }
  void TearDown() override {
    ::close(ends[0]);
    ::close(ends[1]);
  }
  // All lines that wait in the pipe.
  std::vector<std::string> readLines() {
    std::string text;
    char buffer[4096];
    for (ssize_t size; (size = ::read(ends[0], buffer, sizeof buffer)) > 0;)
      text.append(buffer, static_cast<std::size_t>(size));
    std::vector<std::string> lines;
    std::istringstream stream(text);
    for (std::string line; std::getline(stream, line);)
      lines.push_back(line);
    return lines;
  }
  int ends[2] = {-1, -1};
};

TEST_F(LogTest, TextLineHasTimeLevelNameKindAndFields) {
  Log log("n3", {}, ends[1]);
  log.write(LogLevel::warning, "reload", "not taken\nat all", {{"host", "s-1"}, {"reason", "two words"}});
  const auto lines = readLines();
  ASSERT_EQ(lines.size(), 1u);
  EXPECT_EQ(lines[0].substr(24), " warning n3 reload: not taken at all host=s-1 reason=\"two words\"");
  EXPECT_EQ(lines[0][23], 'Z');
}

TEST_F(LogTest, JsonLineIsOneObjectWhateverTheText) {
  Log log("n\"3", {.level = LogLevel::debug, .format = LogFormat::json}, ends[1]);
  log.write(LogLevel::debug, "x", "a \"quote\", a \x01 and \xff", {{"host", "s\n1"}});
  const auto lines = readLines();
  ASSERT_EQ(lines.size(), 1u);
  const auto json = nlohmann::json::parse(lines[0]);
  EXPECT_EQ(json["name"], "n\"3");
  EXPECT_EQ(json["level"], "debug");
  EXPECT_EQ(json["host"], "s\n1");
}

TEST_F(LogTest, LevelAndAccessLogSettingsAreApplied) {
  Log log("n", {.level = LogLevel::warning}, ends[1]);
  log.write(LogLevel::info, "a", "no");
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
  Log log("n", {.maxLinesPerSecond = 3}, ends[1]);
  for (int i = 0; i < 50; ++i)
    log.write(LogLevel::info, "often", "again");
  log.write(LogLevel::info, "other", "its own limit");
  const auto first = readLines();
  EXPECT_GE(first.size(), 4u);
  EXPECT_LE(first.size(), 7u) << "a second may end in between";
  // The first line after that second has the number of suppressed ones.
  std::vector<std::string> later;
  while (later.empty()) {
    log.write(LogLevel::info, "often", "again");
    later = readLines();
  }
  EXPECT_NE(later.front().find("left_out="), std::string::npos) << later.front();
}

TEST_F(LogTest, FullPipeDropsAndCountsLinesWithoutBlocking) {
  Log log("n", {.maxLinesPerSecond = 0}, ends[1]);
  const int flags = ::fcntl(ends[1], F_GETFL);
  ::fcntl(ends[1], F_SETFL, flags & ~O_NONBLOCK);  // a write into the full pipe would never come back
  const std::string text(1000, 'a');
  for (int i = 0; i < 500; ++i)
    log.write(LogLevel::info, "long", text);
  EXPECT_GT(log.dropped(), 0u);
  const std::uint64_t dropped = log.dropped();
  EXPECT_EQ(readLines().size() + dropped, 500u);
  log.write(LogLevel::info, "next", "read again");
  const auto after = readLines();
  ASSERT_EQ(after.size(), 1u);
  EXPECT_NE(after[0].find("dropped=" + std::to_string(dropped)), std::string::npos) << after[0];
}

TEST_F(LogTest, ClosedPipeOnlyCountsDroppedLines) {
  Log log("n", {}, ends[1]);
  ::close(ends[0]);
  ends[0] = -1;
  log.write(LogLevel::info, "x", "nobody");
  EXPECT_EQ(log.dropped(), 1u);
}

}  // namespace
}  // namespace hollyrun::gateway
