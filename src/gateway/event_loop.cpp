#include "gateway/event_loop.hpp"

#include <cstdlib>
#include <exception>
#include <string>

namespace hollyrun::gateway {

void runEventLoop(boost::asio::io_context& io, ExceptionPolicy policy, Log& log) {
  for (;;) {
    try {
      io.run();
      return;
    } catch (const std::exception& error) {
      log.write(LogLevel::error, "exception",
                std::string("a handler ended with an exception: ") + error.what());
      if (policy == ExceptionPolicy::abort)
        std::abort();
    }
  }
}

}  // namespace hollyrun::gateway
