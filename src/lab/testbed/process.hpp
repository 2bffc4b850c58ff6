// A child process of the testbed: its start, its output by line and its exit.
#pragma once

#include <sys/types.h>

#include <boost/asio/io_context.hpp>
#include <boost/asio/posix/stream_descriptor.hpp>
#include <boost/asio/streambuf.hpp>
#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace hollyrun::lab {

/// A child process whose standard output and standard error are read line by line. PR_SET_PDEATHSIG ends it
/// with the testbed, even if the testbed is killed.
struct Process : std::enable_shared_from_this<Process> {
  Process(boost::asio::io_context& io, std::string processName) : name(std::move(processName)), pipe_(io) {}

  /// Starts the program. `variables` (NAME=VALUE) are its whole environment. Throws std::runtime_error if the
  /// process cannot be created.
  void start(const std::string& program, const std::vector<std::string>& variables,
             const std::vector<std::string>& arguments = {});
  void send(int signal);

  std::string name, lastLine;
  pid_t pid = -1;
  bool stopRequested = false;  ///< the testbed ends it: its exit is not a crash
  bool ended = false, ready = false;
  int exitCode = 0;
  std::function<void(const std::string&)> onOutputLine;
  std::function<void()> onExit;

 private:
  void read();
  boost::asio::posix::stream_descriptor pipe_;
  boost::asio::streambuf buffer_{1 << 20};
};

}  // namespace hollyrun::lab
