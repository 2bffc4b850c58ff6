/// Numbers as configuration files and messages show them.
#pragma once

#include <sstream>
#include <string>

namespace hollyrun::gateway {

/// The shortest form with up to 15 significant digits: "5", "0.25", "1e+12".
inline std::string numberText(double value) {
  constexpr int kSignificantDigits = 15;
  std::ostringstream out;
  out.precision(kSignificantDigits);
  out << value;
  return out.str();
}

}  // namespace hollyrun::gateway
