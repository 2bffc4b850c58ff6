#include "http.hpp"

#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <cerrno>
#include <cstdlib>
#include <stdexcept>

namespace review {
namespace {

const Clock::time_point kProgramStart = Clock::now();

int millisUntil(Clock::time_point until) {
  const auto left = std::chrono::ceil<Millis>(until - Clock::now()).count();
  return static_cast<int>(std::clamp<long long>(left, 0, 1000000));
}

bool awaitEvent(int descriptor, short events, Clock::time_point until) {
  pollfd entry{descriptor, events, 0};
  for (;;) {
    const int ready = ::poll(&entry, 1, millisUntil(until));
    if (ready > 0)
      return true;
    if (ready == 0 && Clock::now() >= until)
      return false;
    if (ready < 0 && errno != EINTR)
      return false;
  }
}

std::string lowerCase(std::string text) {
  std::transform(text.begin(), text.end(), text.begin(),
                 [](unsigned char c) { return static_cast<char>(std::tolower(c)); });
  return text;
}

sockaddr_in loopback(std::uint16_t port) {
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_port = htons(port);
  address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  return address;
}

int boundSocket(std::uint16_t& port) {
  const int descriptor = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  const int on = 1;
  ::setsockopt(descriptor, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
  sockaddr_in address = loopback(0);
  socklen_t length = sizeof address;
  if (descriptor < 0 || ::bind(descriptor, reinterpret_cast<sockaddr*>(&address), length) != 0 ||
      ::getsockname(descriptor, reinterpret_cast<sockaddr*>(&address), &length) != 0)
    throw std::runtime_error("no free port on loopback");
  port = ntohs(address.sin_port);
  return descriptor;
}

}  // namespace

double secondsOf(Clock::time_point time) {
  return std::chrono::duration<double>(time - kProgramStart).count();
}

double secondsNow() {
  return secondsOf(Clock::now());
}

const char* nameOf(ReadEnd end) {
  switch (end) {
    case ReadEnd::complete:
      return "complete";
    case ReadEnd::closedByPeer:
      return "connection closed";
    case ReadEnd::resetByPeer:
      return "connection reset";
    case ReadEnd::timedOut:
      return "nothing more came";
    case ReadEnd::malformed:
      return "malformed";
  }
  return "?";
}

std::string Message::header(const std::string& name) const {
  const auto found = headers.find(name);
  return found == headers.end() ? std::string() : found->second;
}

int Message::status() const {
  return startLine.rfind("HTTP/1.1 ", 0) == 0 ? std::atoi(startLine.c_str() + 9) : 0;
}

Stream::Stream(int descriptor) : descriptor_(descriptor) {
  const int on = 1;
  ::setsockopt(descriptor_, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
  ::fcntl(descriptor_, F_SETFL, ::fcntl(descriptor_, F_GETFL) | O_NONBLOCK);
}

Stream::~Stream() {
  ::close(descriptor_);
}

bool Stream::write(const std::string& bytes, Clock::time_point until) {
  std::size_t sent = 0;
  while (sent < bytes.size()) {
    const ssize_t count =
        ::send(descriptor_, bytes.data() + sent, bytes.size() - sent, MSG_NOSIGNAL | MSG_DONTWAIT);
    if (count > 0)
      sent += static_cast<std::size_t>(count);
    else if (errno == EAGAIN && !awaitEvent(descriptor_, POLLOUT, until))
      return false;
    else if (errno != EAGAIN && errno != EINTR)
      return false;
  }
  return true;
}

ReadEnd Stream::readMore(Message& message, Clock::time_point until) {
  for (;;) {
    char bytes[16384];
    const ssize_t count = ::recv(descriptor_, bytes, sizeof bytes, MSG_DONTWAIT);
    if (count > 0) {
      message.lastByteAt = Clock::now();
      if (message.firstByteAt == Clock::time_point{})
        message.firstByteAt = message.lastByteAt;
      buffer_.append(bytes, static_cast<std::size_t>(count));
      return ReadEnd::complete;
    }
    if (count == 0)
      return ReadEnd::closedByPeer;
    if (errno != EAGAIN && errno != EINTR)
      return ReadEnd::resetByPeer;
    if (errno == EAGAIN && !awaitEvent(descriptor_, POLLIN, until))
      return ReadEnd::timedOut;
  }
}

bool Stream::takeLine(std::string& line) {
  const std::size_t end = buffer_.find("\r\n");
  if (end == std::string::npos)
    return false;
  line = buffer_.substr(0, end);
  buffer_.erase(0, end + 2);
  return true;
}

ReadEnd Stream::read(Message& message, Clock::time_point until) {
  message = {};
  if (!buffer_.empty())
    message.firstByteAt = message.lastByteAt = Clock::now();
  for (;;) {
    std::string line;
    while (!takeLine(line)) {
      const ReadEnd end = readMore(message, until);
      if (end != ReadEnd::complete)
        return end;
    }
    if (message.startLine.empty()) {
      message.startLine = line;
      continue;
    }
    if (line.empty())
      break;
    const std::size_t colon = line.find(':');
    if (colon == std::string::npos)
      return ReadEnd::malformed;
    const std::size_t value = line.find_first_not_of(' ', colon + 1);
    message.headers[lowerCase(line.substr(0, colon))] =
        value == std::string::npos ? std::string() : line.substr(value);
  }
  message.isHeadComplete = true;
  return readBody(message, until);
}

ReadEnd Stream::readBody(Message& message, Clock::time_point until) {
  if (lowerCase(message.header("transfer-encoding")) == "chunked")
    return readChunks(message, until);
  const std::string length = message.header("content-length");
  const bool endsWithConnection = length.empty() && message.status() != 0;
  const std::size_t wanted =
      endsWithConnection ? SIZE_MAX : static_cast<std::size_t>(std::atoll(length.c_str()));
  while (buffer_.size() < wanted) {
    const ReadEnd end = readMore(message, until);
    if (end == ReadEnd::closedByPeer && endsWithConnection)
      break;
    if (end != ReadEnd::complete) {
      message.body = buffer_;
      return end;
    }
  }
  message.body = buffer_.substr(0, wanted);
  buffer_.erase(0, std::min(wanted, buffer_.size()));
  return ReadEnd::complete;
}

ReadEnd Stream::readChunks(Message& message, Clock::time_point until) {
  for (;;) {
    std::string line;
    while (!takeLine(line)) {
      const ReadEnd end = readMore(message, until);
      if (end != ReadEnd::complete)
        return end;
    }
    const std::size_t size = std::strtoull(line.c_str(), nullptr, 16);
    while (buffer_.size() < size + 2) {
      const ReadEnd end = readMore(message, until);
      if (end != ReadEnd::complete)
        return end;
    }
    message.body += buffer_.substr(0, size);
    buffer_.erase(0, size + 2);
    if (size == 0)
      return ReadEnd::complete;
  }
}

bool Stream::hasEnded() const {
  char byte = 0;
  const ssize_t count = ::recv(descriptor_, &byte, 1, MSG_PEEK | MSG_DONTWAIT);
  return count == 0 || (count < 0 && errno != EAGAIN && errno != EINTR);
}

bool Stream::awaitBytes(Clock::time_point until) const {
  return !buffer_.empty() || awaitEvent(descriptor_, POLLIN, until);
}

void Stream::reset() {
  const linger hard{1, 0};
  ::setsockopt(descriptor_, SOL_SOCKET, SO_LINGER, &hard, sizeof hard);
  ::shutdown(descriptor_, SHUT_RD);
}

int listenOnLoopback(std::uint16_t& port) {
  const int descriptor = boundSocket(port);
  if (::listen(descriptor, 512) != 0)
    throw std::runtime_error("cannot listen on loopback");
  return descriptor;
}

int connectToLoopback(std::uint16_t port, Millis timeout) {
  const int descriptor = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC | SOCK_NONBLOCK, 0);
  const sockaddr_in address = loopback(port);
  if (::connect(descriptor, reinterpret_cast<const sockaddr*>(&address), sizeof address) == 0)
    return descriptor;
  int error = errno;
  socklen_t length = sizeof error;
  if (error == EINPROGRESS && awaitEvent(descriptor, POLLOUT, Clock::now() + timeout) &&
      ::getsockopt(descriptor, SOL_SOCKET, SO_ERROR, &error, &length) == 0 && error == 0)
    return descriptor;
  ::close(descriptor);
  return -1;
}

std::uint16_t reservePort() {
  std::uint16_t port = 0;
  boundSocket(port);  // kept until the program ends
  return port;
}

std::string addressOf(std::uint16_t port) {
  return "127.0.0.1:" + std::to_string(port);
}

}  // namespace review
