/// Formatting of numbers for configuration files and messages.
#pragma once

#include <sstream>
#include <string>

namespace hollyrun::gateway {

/// Returns the shortest form with up to 15 significant digits, such as "5", "0.25" or "1e+15".
inline std::string numberText(double value) {
  constexpr int kSignificantDigits = 15;
  std::ostringstream stream;
  stream.precision(kSignificantDigits);
  stream << value;
  return stream.str();
}

}  // namespace hollyrun::gateway
