/// Syntax of one line of the simulator's protocol: a name, then fields `key=value`, set apart by spaces.
/// Knows no event; what the fields mean is decided by the callers.
#pragma once

#include <charconv>
#include <cstdint>
#include <optional>
#include <stdexcept>
#include <string>
#include <string_view>

#include "hollyrun/balancer.hpp"

namespace hollyrun::simulator_adapter {

/// Why a line is rejected.
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
  unknownInstance,
  unknownEvent,
  duplicateRequest,
  unexpectedRow,
  outsideBatch,
};

/// A line that can't be applied. `what()` is the cause as it is reported on standard error.
class LineError : public std::invalid_argument {
 public:
  LineError(LineErrorCode code, const std::string& cause) : std::invalid_argument(cause), code_(code) {}
  LineErrorCode code() const { return code_; }

 private:
  LineErrorCode code_;
};

/// One `key=value` of a line. Views into the line.
struct Field {
  std::string_view key;
  std::string_view value;
};

/// Removes the first word of `rest` and the space behind it, and returns the word.
std::string_view popWord(std::string_view& rest);

/// Goes over the fields of a line, in order; empty words are skipped.
class FieldReader {
 public:
  explicit FieldReader(std::string_view fields) : rest_(fields) {}
  /// The next field; nothing at the line's end. Throws LineError if a word has no '='.
  std::optional<Field> next();

 private:
  std::string_view rest_;
};

/// The value of the first field `key`. Checks no other word, so that a line which is otherwise malformed can
/// still be assigned to its gateway and request.
std::optional<std::string_view> findValue(std::string_view fields, std::string_view key);

/// Reads all of `text` into `number`, in base 10 or as given by `base`; false if any of it isn't part of one.
template <class Number, class... Base>
bool readWhole(std::string_view text, Number& number, Base... base) {
  const char* const end = text.data() + text.size();
  const auto [stopped, error] = std::from_chars(text.data(), end, number, base...);
  return error == std::errc{} && stopped == end;
}

template <class Number>
Number parseNumber(const Field& field) {
  Number number{};
  if (!readWhole(field.value, number))
    throw LineError(LineErrorCode::invalidNumber,
                    "'" + std::string(field.value) + "' is no number (" + std::string(field.key) + ")");
  return number;
}

/// A whole number of nanoseconds.
balancer::Duration parseDuration(const Field& field);

/// `1` or `true`, `0` or `false`.
bool parseBool(const Field& field);

}  // namespace hollyrun::simulator_adapter
