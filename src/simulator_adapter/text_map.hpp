/// A hash map with string keys that can be searched by std::string_view without a copy.
#pragma once

#include <functional>
#include <string>
#include <string_view>
#include <unordered_map>

namespace hollyrun::simulator_adapter {

struct TextHash {
  using is_transparent = void;
  std::size_t operator()(std::string_view text) const { return std::hash<std::string_view>{}(text); }
};

template <class Value>
using TextMap = std::unordered_map<std::string, Value, TextHash, std::equal_to<>>;

}  // namespace hollyrun::simulator_adapter
