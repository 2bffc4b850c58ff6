/// Runs a task periodically on an io_context until the object is destroyed.
#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <chrono>
#include <functional>
#include <utility>

namespace hollyrun::lab {

class PeriodicTask {
 public:
  /// The task first runs after one period.
  PeriodicTask(boost::asio::io_context& io, std::chrono::seconds period, std::function<void()> task)
      : timer_(io), period_(period), task_(std::move(task)) {
    schedule();
  }
  PeriodicTask(const PeriodicTask&) = delete;
  PeriodicTask& operator=(const PeriodicTask&) = delete;

 private:
  void schedule() {
    timer_.expires_after(period_);
    timer_.async_wait([this](boost::system::error_code error) {
      if (error)
        return;
      task_();
      schedule();
    });
  }

  boost::asio::steady_timer timer_;
  std::chrono::seconds period_;
  std::function<void()> task_;
};

}  // namespace hollyrun::lab
