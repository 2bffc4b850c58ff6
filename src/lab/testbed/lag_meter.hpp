// Measures how late an event loop runs its handlers: the delay of a timer that expires every 10 ms.
#pragma once

#include <algorithm>
#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <chrono>

namespace hollyrun::lab {

class LagMeter {
 public:
  explicit LagMeter(boost::asio::io_context& io) : timer_(io) { wait(); }

  /// Returns the longest delay since the last reset, in milliseconds.
  double maxLagMs() const { return maxLagMs_; }
  void reset() { maxLagMs_ = 0; }

 private:
  static constexpr auto kSampleInterval = std::chrono::milliseconds(10);

  void wait() {
    timer_.expires_after(kSampleInterval);
    timer_.async_wait([this, due = timer_.expiry()](boost::system::error_code ec) {
      if (ec)
        return;
      const std::chrono::duration<double, std::milli> late = std::chrono::steady_clock::now() - due;
      maxLagMs_ = std::max(maxLagMs_, late.count());
      wait();
    });
  }

  boost::asio::steady_timer timer_;
  double maxLagMs_ = 0;
};

}  // namespace hollyrun::lab
