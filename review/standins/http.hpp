// Blocking sockets on loopback and just enough HTTP/1.1 for the stand-ins of the review's cases.
#pragma once

#include <chrono>
#include <cstdint>
#include <map>
#include <string>

namespace review {

using Clock = std::chrono::steady_clock;
using Millis = std::chrono::milliseconds;

/// Seconds since the start of the program, the time that all stand-ins write to the record.
double secondsNow();
double secondsOf(Clock::time_point time);

/// Why a read ended.
enum class ReadEnd { complete, closedByPeer, resetByPeer, timedOut, malformed };
const char* nameOf(ReadEnd end);

struct Message {
  std::string startLine;
  std::map<std::string, std::string> headers;  // names in lower case
  std::string body;
  bool isHeadComplete = false;
  Clock::time_point firstByteAt{}, lastByteAt{};

  std::string header(const std::string& name) const;
  int status() const;  // of a response; 0 if there is none
};

/// A connected TCP socket. The destructor closes it.
class Stream {
 public:
  explicit Stream(int descriptor);
  ~Stream();
  Stream(const Stream&) = delete;
  Stream& operator=(const Stream&) = delete;

  /// Writes all bytes; returns false if the connection has ended or `until` has passed.
  bool write(const std::string& bytes, Clock::time_point until);
  /// Reads one message. A message without a length ends with the connection only if it is a response.
  ReadEnd read(Message& message, Clock::time_point until);
  /// Returns whether the peer has ended or reset the connection, without reading anything.
  bool hasEnded() const;
  /// Whether bytes that the peer has sent wait to be read, until `until` at most.
  bool awaitBytes(Clock::time_point until) const;
  /// Ends the connection with a reset.
  void reset();

 private:
  ReadEnd readMore(Message& message, Clock::time_point until);
  ReadEnd readBody(Message& message, Clock::time_point until);
  ReadEnd readChunks(Message& message, Clock::time_point until);
  bool takeLine(std::string& line);

  int descriptor_;
  std::string buffer_;  // received and not used yet
};

/// Opens a listening socket at a free port of 127.0.0.1 and stores the port.
int listenOnLoopback(std::uint16_t& port);
/// Connects to a port of 127.0.0.1; returns -1 if that fails or takes too long.
int connectToLoopback(std::uint16_t port, Millis timeout);
/// Binds a port of 127.0.0.1 without listening, so that the kernel gives it to nobody else. A program that
/// sets SO_REUSEADDR can listen at it.
std::uint16_t reservePort();
std::string addressOf(std::uint16_t port);

}  // namespace review
