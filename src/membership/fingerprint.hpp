/// Serializes the state that determines the next steps, so that exhaustive exploration recognizes equal
/// states.
#pragma once

#include <concepts>
#include <string>
#include <string_view>
#include <utility>

namespace hollyrun::membership {

class Fingerprint {
 public:
  template <std::integral... Values>
  void add(Values... values) {
    ((text_ += std::to_string(values) + ","), ...);
  }
  void add(std::string_view name) {
    text_ += name;
    text_ += '|';
  }
  /// Terminates a list of variable length, so that its elements cannot be confused with those of the next
  /// list.
  void endPart() { text_ += ';'; }
  std::string text() && { return std::move(text_); }

 private:
  std::string text_;
};

}  // namespace hollyrun::membership
