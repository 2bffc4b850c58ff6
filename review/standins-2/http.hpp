/// Blocking HTTP/1.1 over loopback sockets, for the stand-ins of the review's cases.
#pragma once

#include <arpa/inet.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <cctype>
#include <cerrno>
#include <chrono>
#include <cstdint>
#include <cstdlib>
#include <map>
#include <stdexcept>
#include <string>

namespace review {

using Clock = std::chrono::steady_clock;
using std::chrono::milliseconds;

/// Owns a socket.
class Socket {
 public:
  explicit Socket(int fd = -1) : fd_(fd) {}
  Socket(Socket&& other) noexcept : fd_(other.fd_) { other.fd_ = -1; }
  Socket& operator=(Socket&& other) noexcept {
    std::swap(fd_, other.fd_);
    return *this;
  }
  ~Socket() { close(); }
  int fd() const { return fd_; }
  bool isOpen() const { return fd_ >= 0; }
  void close() {
    if (fd_ >= 0)
      ::close(fd_);
    fd_ = -1;
  }
  /// Makes the next close reset the connection.
  void resetOnClose() const {
    const linger option{1, 0};
    ::setsockopt(fd_, SOL_SOCKET, SO_LINGER, &option, sizeof option);
  }

 private:
  int fd_;
};

inline sockaddr_in loopback(std::uint16_t port) {
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  address.sin_port = htons(port);
  return address;
}

inline std::uint16_t portOf(const Socket& socket) {
  sockaddr_in address{};
  socklen_t length = sizeof address;
  ::getsockname(socket.fd(), reinterpret_cast<sockaddr*>(&address), &length);
  return ntohs(address.sin_port);
}

inline Socket listenOnFreePort() {
  Socket socket(::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0));
  const sockaddr_in address = loopback(0);
  if (::bind(socket.fd(), reinterpret_cast<const sockaddr*>(&address), sizeof address) != 0 ||
      ::listen(socket.fd(), 1024) != 0)
    throw std::runtime_error("cannot listen on a loopback port");
  return socket;
}

/// A port that was free a moment ago.
inline std::uint16_t freePort() {
  return portOf(listenOnFreePort());
}

/// Returns a closed socket if nobody listens.
inline Socket connectTo(std::uint16_t port) {
  Socket socket(::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0));
  const sockaddr_in address = loopback(port);
  if (::connect(socket.fd(), reinterpret_cast<const sockaddr*>(&address), sizeof address) != 0)
    return Socket();
  const int on = 1;
  ::setsockopt(socket.fd(), IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
  return socket;
}

inline bool sendAll(const Socket& socket, const std::string& text) {
  std::size_t sent = 0;
  while (sent < text.size()) {
    const ssize_t n = ::send(socket.fd(), text.data() + sent, text.size() - sent, MSG_NOSIGNAL);
    if (n < 0 && errno == EINTR)
      continue;
    if (n <= 0)
      return false;
    sent += static_cast<std::size_t>(n);
  }
  return true;
}

/// A message with a length (or without a body). The names of its fields are in lower case.
struct Message {
  std::string startLine;
  std::map<std::string, std::string> fields;
  std::string body;

  std::string field(const std::string& name) const {
    const auto found = fields.find(name);
    return found == fields.end() ? std::string() : found->second;
  }
  /// Of a response.
  int status() const { return startLine.size() > 9 ? std::atoi(startLine.c_str() + 9) : 0; }
  /// Of a request.
  std::string target() const {
    const std::size_t begin = startLine.find(' ') + 1;
    return startLine.substr(begin, startLine.find(' ', begin) - begin);
  }
};

enum class ReadResult { message, closed, reset, timeout };

inline const char* nameOf(ReadResult result) {
  static constexpr const char* kNames[] = {"message", "closed", "reset", "timeout"};
  return kNames[static_cast<int>(result)];
}

/// Reads messages from one connection; keeps what follows a message for the next.
class MessageReader {
 public:
  ReadResult read(const Socket& socket, Message& message, Clock::time_point until) {
    for (;;) {
      if (parse(message))
        return ReadResult::message;
      const auto left = std::chrono::duration_cast<milliseconds>(until - Clock::now()).count();
      pollfd descriptor{socket.fd(), POLLIN, 0};
      if (left < 0 || ::poll(&descriptor, 1, static_cast<int>(left) + 1) == 0)
        return ReadResult::timeout;
      char bytes[16384];
      const ssize_t n = ::recv(socket.fd(), bytes, sizeof bytes, 0);
      if (n < 0 && errno == EINTR)
        continue;
      if (n <= 0)
        return n == 0 ? ReadResult::closed : ReadResult::reset;
      input_.append(bytes, static_cast<std::size_t>(n));
    }
  }

 private:
  bool parse(Message& message) {
    const std::size_t headEnd = input_.find("\r\n\r\n");
    if (headEnd == std::string::npos)
      return false;
    Message parsed;
    std::size_t lineBegin = 0;
    while (lineBegin < headEnd) {
      const std::size_t lineEnd = input_.find("\r\n", lineBegin);
      const std::string line = input_.substr(lineBegin, lineEnd - lineBegin);
      if (lineBegin == 0) {
        parsed.startLine = line;
      } else if (const std::size_t colon = line.find(':'); colon != std::string::npos) {
        std::string name = line.substr(0, colon);
        std::transform(name.begin(), name.end(), name.begin(),
                       [](unsigned char c) { return static_cast<char>(std::tolower(c)); });
        const std::size_t value = line.find_first_not_of(' ', colon + 1);
        parsed.fields[name] = value == std::string::npos ? "" : line.substr(value);
      }
      lineBegin = lineEnd + 2;
    }
    const std::size_t length = std::strtoull(parsed.field("content-length").c_str(), nullptr, 10);
    if (input_.size() < headEnd + 4 + length)
      return false;
    parsed.body = input_.substr(headEnd + 4, length);
    input_.erase(0, headEnd + 4 + length);
    message = std::move(parsed);
    return true;
  }

  std::string input_;
};

inline std::string response(int status, const std::string& reason, const std::string& body,
                            const std::string& fields = "") {
  return "HTTP/1.1 " + std::to_string(status) + " " + reason + "\r\n" + fields +
         "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

}  // namespace review
