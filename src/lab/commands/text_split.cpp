#include "lab/commands/text_split.hpp"

namespace hollyrun::lab {
namespace {

enum class Brackets { ignored, nested };

std::vector<std::string> split(std::string_view text, Brackets brackets) {
  std::vector<std::string> parts;
  std::size_t start = 0;
  int depth = 0;
  for (std::size_t i = 0; i < text.size(); ++i) {
    const char character = text[i];
    if (brackets == Brackets::nested && (character == '[' || character == '{'))
      ++depth;
    if (brackets == Brackets::nested && (character == ']' || character == '}'))
      --depth;
    if (character != ',' || depth > 0)
      continue;
    parts.emplace_back(text.substr(start, i - start));
    start = i + 1;
  }
  parts.emplace_back(text.substr(start));
  return parts;
}

}  // namespace

std::vector<std::string> splitAtCommas(std::string_view text) {
  return split(text, Brackets::ignored);
}

std::vector<std::string> splitTomlValues(std::string_view text) {
  return split(text, Brackets::nested);
}

}  // namespace hollyrun::lab
