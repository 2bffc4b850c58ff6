// Numbers out of JSON. Danger: the library turns true into 1, 1.5 into 1 and -1 into a huge unsigned number.
#pragma once

#include <cmath>
#include <cstdint>
#include <nlohmann/json.hpp>
#include <stdexcept>
#include <string>

namespace hollyrun::gateway {

// Both throw std::invalid_argument with a plain reason.
inline std::int64_t wholeNumber(const nlohmann::json& value, std::int64_t most) {
  const bool negative = value.is_number_integer() && !value.is_number_unsigned() && value < 0;
  if (value.is_number_integer() && !negative &&
      value.get<std::uint64_t>() <= static_cast<std::uint64_t>(most))
    return value.get<std::int64_t>();
  const double real = value.is_number_float() ? value.get<double>() : -1;  // 4e8 is a whole number, too
  if (real >= 0 && real <= static_cast<double>(most) && real == std::floor(real) && real < 0x1p53)
    return static_cast<std::int64_t>(real);
  throw std::invalid_argument("must be a whole number from 0 to " + std::to_string(most));
}

inline double realNumber(const nlohmann::json& value, double most) {
  if (value.is_number() && value.get<double>() >= 0 && value.get<double>() <= most)
    return value.get<double>();
  throw std::invalid_argument("must be a number from 0 to " +
                              std::to_string(static_cast<std::int64_t>(most)));
}

}  // namespace hollyrun::gateway
