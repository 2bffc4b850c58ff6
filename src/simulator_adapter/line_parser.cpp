#include "simulator_adapter/line_parser.hpp"

namespace hollyrun::simulator_adapter {

std::string_view popWord(std::string_view& rest) {
  const std::size_t end = rest.find(' ');
  const std::string_view word = rest.substr(0, end);
  rest = end == std::string_view::npos ? std::string_view{} : rest.substr(end + 1);
  return word;
}

std::optional<Field> FieldReader::next() {
  while (!rest_.empty()) {
    const std::string_view word = popWord(rest_);
    if (word.empty())
      continue;
    const std::size_t separator = word.find('=');
    if (separator == std::string_view::npos)
      throw LineError(LineErrorCode::missingSeparator, "expected key=value, got '" + std::string(word) + "'");
    return Field{word.substr(0, separator), word.substr(separator + 1)};
  }
  return std::nullopt;
}

std::optional<std::string_view> findValue(std::string_view fields, std::string_view key) {
  while (!fields.empty()) {
    const std::string_view word = popWord(fields);
    if (word.size() > key.size() && word.starts_with(key) && word[key.size()] == '=')
      return word.substr(key.size() + 1);
  }
  return std::nullopt;
}

balancer::Duration parseDuration(const Field& field) {
  return balancer::Duration(parseNumber<std::int64_t>(field));
}

bool parseBool(const Field& field) {
  if (field.value == "1" || field.value == "true")
    return true;
  if (field.value == "0" || field.value == "false")
    return false;
  throw LineError(LineErrorCode::invalidBool, "field " + std::string(field.key) +
                                                  ": expected 1, true, 0 or false, got '" +
                                                  std::string(field.value) + "'");
}

}  // namespace hollyrun::simulator_adapter
