/// Validates and compares settings.
#pragma once

#include "hollyrun/balancer.hpp"

namespace hollyrun::balancer {

/// Throws std::invalid_argument that names the setting.
void validate(const Settings& settings);

/// All fields are equal.
bool operator==(const ClassSettings& a, const ClassSettings& b);

}  // namespace hollyrun::balancer
