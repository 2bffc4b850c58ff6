// The event loop of the process.
#include "gateway/event_loop.hpp"

#include <gtest/gtest.h>

#include <boost/asio/post.hpp>
#include <stdexcept>

namespace hollyrun::gateway {
namespace {

void throwInHandler(boost::asio::io_context& io) {
  boost::asio::post(io, [] { throw std::runtime_error("in a handler"); });
}

TEST(EventLoopTest, AnExceptionInAHandlerDoesNotEndTheLoop) {
  boost::asio::io_context io;
  Log log{"n0", {.level = LogLevel::off}};
  int handled = 0;
  throwInHandler(io);
  boost::asio::post(io, [&] { ++handled; });
  throwInHandler(io);
  boost::asio::post(io, [&] { ++handled; });
  runEventLoop(io, ExceptionPolicy::log, log);
  EXPECT_EQ(handled, 2);
}

TEST(EventLoopDeathTest, TestsAndSoaksSeeTheException) {
  boost::asio::io_context io;
  Log log{"n0", {.level = LogLevel::off}};
  throwInHandler(io);
  EXPECT_DEATH(runEventLoop(io, ExceptionPolicy::abort, log), "");
}

}  // namespace
}  // namespace hollyrun::gateway
