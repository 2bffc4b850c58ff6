// Checks and compares settings. What makes no sense is rejected before any decision is taken on it.
#pragma once

#include "hollyrun/balancer.hpp"

namespace hollyrun::balancer {

void validate(const Settings& settings);  // throws std::invalid_argument that names the setting

bool operator==(const ClassSettings& a, const ClassSettings& b);

}  // namespace hollyrun::balancer
