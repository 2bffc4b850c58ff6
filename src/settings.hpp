// Checks and compares settings. What makes no sense is rejected before any decision is taken on it.
#pragma once

#include "ochrehill/ochrehill.hpp"

namespace ochrehill {

void validate(const Settings& settings);  // throws std::invalid_argument that names the setting

bool operator==(const ClassSettings& a, const ClassSettings& b);

}  // namespace ochrehill
