/// Conversion of JSON values to numbers with a check of type and range. The JSON library's own conversion
/// turns true into 1, 1.5 into 1 and -1 into a huge unsigned number.
#pragma once

#include <cmath>
#include <cstdint>
#include <nlohmann/json.hpp>
#include <stdexcept>
#include <string>

namespace hollyrun::gateway {

/// Returns a whole number from 0 to `maximum`, which may also be written as a float, such as 4e8. Throws
/// std::invalid_argument whose message states the allowed range.
inline std::int64_t wholeNumber(const nlohmann::json& value, std::int64_t maximum) {
  constexpr double kExactIntegerLimit = 0x1p53;  // above it a double cannot represent every whole number
  const bool isNegative = value.is_number_integer() && !value.is_number_unsigned() && value < 0;
  if (value.is_number_integer() && !isNegative &&
      value.get<std::uint64_t>() <= static_cast<std::uint64_t>(maximum))
    return value.get<std::int64_t>();
  const double real = value.is_number_float() ? value.get<double>() : -1;
  const bool isInRange = real >= 0 && real <= static_cast<double>(maximum) && real < kExactIntegerLimit;
  if (isInRange && real == std::floor(real))
    return static_cast<std::int64_t>(real);
  throw std::invalid_argument("expected a whole number from 0 to " + std::to_string(maximum));
}

/// Returns a number from 0 to `maximum`. Throws std::invalid_argument whose message states the allowed range.
inline double realNumber(const nlohmann::json& value, double maximum) {
  const double real = value.is_number() ? value.get<double>() : -1;
  if (real >= 0 && real <= maximum)
    return real;
  throw std::invalid_argument("expected a number from 0 to " +
                              std::to_string(static_cast<std::int64_t>(maximum)));
}

}  // namespace hollyrun::gateway
