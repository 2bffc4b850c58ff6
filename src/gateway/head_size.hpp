/// The size of a message head, measured before it is parsed.
#pragma once

#include <cstddef>
#include <string_view>

namespace hollyrun::gateway {

/// Measures a head that arrives in pieces, up to and including its empty line. A large head is parsed only
/// once it is complete: until then its bytes are held, not its fields, which take many times as much.
class HeadMeter {
 public:
  /// Memory that each parsed field takes beyond its own bytes: its node in the parser's list and tree, and
  /// the allocator's part.
  static constexpr std::size_t kParsedFieldBytes = 96;

  void measure(std::string_view input) {
    for (const char c : input) {
      if (isComplete_)
        return;
      ++bytes_;
      if (c == '\n')
        endLine();
      else if (c != '\r')
        ++lineBytes_;
    }
  }

  bool isComplete() const { return isComplete_; }
  /// Whether the parser should get what has arrived: the head is complete, small, or larger than a head may
  /// be.
  bool isParsable(std::size_t smallHeadBytes, std::size_t headerLimit) const {
    return isComplete_ || parsedBytes() <= smallHeadBytes || bytes_ > headerLimit;
  }
  std::size_t bytes() const { return bytes_; }
  /// The memory that the head takes once it is parsed.
  std::size_t parsedBytes() const { return bytes_ + lines_ * kParsedFieldBytes; }

 private:
  void endLine() {
    isComplete_ = lineBytes_ == 0 && lines_ > 0;
    ++lines_;
    lineBytes_ = 0;
  }

  std::size_t bytes_ = 0;
  std::size_t lines_ = 0;
  std::size_t lineBytes_ = 0;
  bool isComplete_ = false;
};

}  // namespace hollyrun::gateway
