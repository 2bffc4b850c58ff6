// How a peer of the tests writes a message body and how it reads the other side's. A request's plan for its
// response stands in the request's target, so that the record server needs no other knowledge.
#pragma once

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>

namespace hollyrun::lab {

/// How the end of a body is marked.
enum class BodyFraming : std::uint8_t { length, chunked, close };

/// How a body of `bytes` bytes is written: in pieces, with a pause after each.
struct BodyPlan {
  BodyFraming framing = BodyFraming::length;
  std::size_t bytes = 0;
  std::size_t pieceBytes = 16 << 10;
  std::chrono::milliseconds pause{0};
  bool isEnded = true;  ///< false: the writer falls silent after `bytes` and never marks the end
};

/// What the record server does with a request: the rate at which it reads it, then its response.
struct ServerPlan {
  std::size_t readBytesPerSecond = 0;  ///< 0: as fast as it can
  std::size_t shortFields = 0;         ///< fields of four bytes in the head of the response
  BodyPlan response;
};

/// The plan as a query, such as `?read=0&framing=chunked&bytes=70000&piece=4096&pause=100&ended=1`.
std::string queryOf(const ServerPlan& plan);
/// Reads a plan from a request's target. Absent values keep their defaults.
ServerPlan serverPlanOf(std::string_view target);

/// The byte at an offset of the body that belongs to a request. It depends on the request, so that a body
/// that is passed to another client, and one with a part missing, are both detected.
char bodyByte(std::uint64_t bodyKey, std::size_t offset);
std::uint64_t bodyKeyOf(std::string_view requestId);
std::string bodyText(std::uint64_t bodyKey, std::size_t offset, std::size_t bytes);

}  // namespace hollyrun::lab
