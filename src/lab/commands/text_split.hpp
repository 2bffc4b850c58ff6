/// Splits option values at commas.
#pragma once

#include <string>
#include <string_view>
#include <vector>

namespace hollyrun::lab {

/// Returns the parts between commas, including empty ones; at least one.
std::vector<std::string> splitAtCommas(std::string_view text);

/// Like splitAtCommas, but commas within [..] or {..} are part of a TOML value and do not separate.
std::vector<std::string> splitTomlValues(std::string_view text);

}  // namespace hollyrun::lab
