#include "lab/testbed/process.hpp"

#include <fcntl.h>
#include <signal.h>
#include <sys/prctl.h>
#include <unistd.h>

#include <boost/asio/read_until.hpp>
#include <stdexcept>

namespace hollyrun::lab {

namespace asio = boost::asio;

namespace {

// As execve wants them: pointers into the texts, and a null behind the last.
std::vector<char*> pointersTo(const std::vector<std::string>& texts) {
  std::vector<char*> all;
  for (const std::string& text : texts)
    all.push_back(const_cast<char*>(text.c_str()));
  all.push_back(nullptr);
  return all;
}

}  // namespace

void Process::start(const std::string& program, const std::vector<std::string>& variables,
                    const std::vector<std::string>& arguments) {
  int ends[2];
  if (::pipe2(ends, O_CLOEXEC) != 0)
    throw std::runtime_error("no pipe for " + name);
  std::vector<std::string> words{program};
  words.insert(words.end(), arguments.begin(), arguments.end());
  const std::vector<char*> argv = pointersTo(words), env = pointersTo(variables);
  const pid_t parent = ::getpid();
  pid = ::fork();
  if (pid == 0) {
    ::prctl(PR_SET_PDEATHSIG, SIGKILL);
    if (::getppid() != parent)
      ::_exit(127);  // the testbed went in between
    ::dup2(ends[1], 1);
    ::dup2(ends[1], 2);
    // Danger: a process that inherits the testbed's sockets keeps a dead server's port listening.
    ::close_range(3, ~0U, 0);
    ::execve(program.c_str(), argv.data(), env.data());
    ::_exit(127);
  }
  ::close(ends[1]);
  pipe.assign(ends[0]);
  if (pid < 0)
    throw std::runtime_error("no process for " + name);
  read();
}

void Process::send(int signal) {
  if (!ended)
    ::kill(pid, signal);
}

void Process::read() {
  asio::async_read_until(
      pipe, buffer, '\n', [self = shared_from_this()](boost::system::error_code ec, std::size_t n) {
        if (ec)
          return;
        std::string line(asio::buffers_begin(self->buffer.data()),
                         asio::buffers_begin(self->buffer.data()) + static_cast<std::ptrdiff_t>(n) - 1);
        self->buffer.consume(n);
        self->lastLine = line;
        if (self->onOutputLine)
          self->onOutputLine(line);
        self->read();
      });
}

}  // namespace hollyrun::lab
