/// Collects the state that decides the next steps, so that exhaustive exploration recognizes equal states.
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
  /// Ends a list of unknown length, so that its elements cannot be read as the next part's.
  void endPart() { text_ += ';'; }
  std::string text() && { return std::move(text_); }

 private:
  std::string text_;
};

}  // namespace hollyrun::membership
