// A program that the testbed started: its output line by line, its end, and that it dies with the testbed.
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

/// A process of the program. Its output and standard error are read line by line; it dies with the testbed,
/// also if that is killed (PR_SET_PDEATHSIG).
struct Process : std::enable_shared_from_this<Process> {
  Process(boost::asio::io_context& io, std::string named) : name(std::move(named)), pipe(io) {}

  /// `variables` are its whole environment, NAME=VALUE. Throws std::runtime_error if there is none.
  void start(const std::string& program, const std::vector<std::string>& variables,
             const std::vector<std::string>& arguments = {});
  void send(int signal);

  std::string name, lastLine;
  pid_t pid = -1;
  bool stopRequested = false;  ///< by the testbed, so that its end is no crash
  bool ended = false, ready = false;
  int exitCode = 0;
  std::function<void(const std::string&)> onOutputLine;
  std::function<void()> onExit;

 private:
  void read();
  boost::asio::posix::stream_descriptor pipe;
  boost::asio::streambuf buffer{1 << 20};
};

}  // namespace hollyrun::lab
