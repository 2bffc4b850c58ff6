#include "lab/testbed/process.hpp"

#include <fcntl.h>
#include <signal.h>
#include <sys/prctl.h>
#include <unistd.h>

#include <boost/asio/read_until.hpp>
#include <optional>
#include <stdexcept>

namespace hollyrun::lab {

namespace asio = boost::asio;

namespace {

// Returns the texts as execve expects them: an array of pointers that a null pointer ends.
std::vector<char*> pointersTo(const std::vector<std::string>& texts) {
  std::vector<char*> all;
  for (const std::string& text : texts)
    all.push_back(const_cast<char*>(text.c_str()));
  all.push_back(nullptr);
  return all;
}

// Blocks all signals of the calling thread; the destructor restores the former mask.
class SignalBlock {
 public:
  SignalBlock() {
    sigset_t all;
    ::sigfillset(&all);
    ::pthread_sigmask(SIG_BLOCK, &all, &previousMask_);
  }
  ~SignalBlock() { ::pthread_sigmask(SIG_SETMASK, &previousMask_, nullptr); }
  SignalBlock(const SignalBlock&) = delete;
  SignalBlock& operator=(const SignalBlock&) = delete;

 private:
  sigset_t previousMask_{};
};

// Restores the default action of each signal that has a handler. Ignored signals stay ignored, as in execve.
void resetSignalHandlers() {
  for (int signal = 1; signal < NSIG; ++signal) {
    struct sigaction action {};
    const bool exists = ::sigaction(signal, nullptr, &action) == 0;
    if (!exists || action.sa_handler == SIG_IGN || action.sa_handler == SIG_DFL)
      continue;
    ::signal(signal, SIG_DFL);
  }
}

}  // namespace

void Process::start(const std::string& program, const std::vector<std::string>& variables,
                    const std::vector<std::string>& arguments) {
  int pipeEnds[2];
  if (::pipe2(pipeEnds, O_CLOEXEC) != 0)
    throw std::runtime_error("cannot create the output pipe of " + name);
  std::vector<std::string> commandLine{program};
  commandLine.insert(commandLine.end(), arguments.begin(), arguments.end());
  const std::vector<char*> argv = pointersTo(commandLine), env = pointersTo(variables);
  const pid_t parent = ::getpid();
  // Until execve, the child has the testbed's handlers. One of them that ran in the child would write to the
  // pipe of the testbed's signal_set, and the child would survive the signal. So signals stay pending until
  // the child has reset the handlers.
  std::optional<SignalBlock> signalBlock(std::in_place);
  pid = ::fork();
  if (pid == 0) {
    resetSignalHandlers();
    signalBlock.reset();
    ::prctl(PR_SET_PDEATHSIG, SIGKILL);
    if (::getppid() != parent)
      ::_exit(127);  // the testbed exited before prctl
    ::dup2(pipeEnds[1], STDOUT_FILENO);
    ::dup2(pipeEnds[1], STDERR_FILENO);
    // A child that inherits the testbed's sockets would keep the port of a stopped server listening.
    ::close_range(3, ~0U, 0);
    ::execve(program.c_str(), argv.data(), env.data());
    ::_exit(127);
  }
  signalBlock.reset();
  ::close(pipeEnds[1]);
  pipe_.assign(pipeEnds[0]);
  if (pid < 0)
    throw std::runtime_error("cannot fork a process for " + name);
  read();
}

void Process::send(int signal) {
  if (!ended)
    ::kill(pid, signal);
}

void Process::read() {
  asio::async_read_until(
      pipe_, buffer_, '\n', [self = shared_from_this()](boost::system::error_code ec, std::size_t n) {
        if (ec)
          return;
        std::string line(asio::buffers_begin(self->buffer_.data()),
                         asio::buffers_begin(self->buffer_.data()) + static_cast<std::ptrdiff_t>(n) - 1);
        self->buffer_.consume(n);
        self->lastLine = line;
        if (self->onOutputLine)
          self->onOutputLine(line);
        self->read();
      });
}

}  // namespace hollyrun::lab
