/// Splits the values of options at commas.
#pragma once

#include <string>
#include <string_view>
#include <vector>

namespace hollyrun::lab {

/// The parts between commas, empty ones too; at least one.
std::vector<std::string> splitAtCommas(std::string_view text);

/// The same, but commas within [..] or {..} belong to a TOML value and don't split.
std::vector<std::string> splitTomlValues(std::string_view text);

}  // namespace hollyrun::lab
