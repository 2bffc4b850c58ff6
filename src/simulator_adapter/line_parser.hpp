/// Parses the syntax of a line of the simulator's protocol: a name followed by `key=value` fields, separated
/// by spaces. The meaning of the fields is up to the callers.
#pragma once

#include <charconv>
#include <cstdint>
#include <optional>
#include <stdexcept>
#include <string>
#include <string_view>

#include "hollyrun/balancer.hpp"

namespace hollyrun::simulator_adapter {

/// Reason why a line is rejected.
enum class LineErrorCode {
  missingSeparator,
  invalidNumber,
  invalidBool,
  invalidKey,
  invalidSettings,
  missingField,
  unknownDisposition,
  unknownPhase,
  unknownListKind,
  unknownList,
  unknownGateway,
  unknownEvent,
  duplicateRequest,
  unexpectedRow,
  outsideBatch,
};

/// Thrown for a line that can't be applied. `what()` is the cause that is reported on standard error.
class LineError : public std::invalid_argument {
 public:
  LineError(LineErrorCode code, const std::string& cause) : std::invalid_argument(cause), code_(code) {}
  LineErrorCode code() const { return code_; }

 private:
  LineErrorCode code_;
};

/// One `key=value` of a line; both are views into the line.
struct Field {
  std::string_view key;
  std::string_view value;
};

/// Removes the first word and the space after it from `rest`, and returns the word.
std::string_view popWord(std::string_view& rest);

/// Iterates over the fields of a line in order, skipping empty words.
class FieldReader {
 public:
  explicit FieldReader(std::string_view fields) : rest_(fields) {}
  /// Returns the next field, or nothing at the end of the line. Throws LineError if a word has no '='.
  std::optional<Field> next();

 private:
  std::string_view rest_;
};

/// Returns the value of the first field named `key`. Does not validate the other words, so that a malformed
/// line can still be attributed to its gateway and request.
std::optional<std::string_view> findValue(std::string_view fields, std::string_view key);

/// Parses all of `text` into `number`, in base 10 or the given `base`. Returns false if the text is not a
/// number, is followed by other characters or is out of range.
template <class Number, class... Base>
bool parseWhole(std::string_view text, Number& number, Base... base) {
  const char* const end = text.data() + text.size();
  const auto [stopped, error] = std::from_chars(text.data(), end, number, base...);
  return error == std::errc{} && stopped == end;
}

template <class Number>
Number parseNumber(const Field& field) {
  Number number{};
  if (!parseWhole(field.value, number))
    throw LineError(LineErrorCode::invalidNumber, "field " + std::string(field.key) +
                                                      ": expected a number in range, got '" +
                                                      std::string(field.value) + "'");
  return number;
}

/// Parses a whole number of nanoseconds.
balancer::Duration parseDuration(const Field& field);

/// Parses `1` or `true`, `0` or `false`.
bool parseBool(const Field& field);

}  // namespace hollyrun::simulator_adapter
