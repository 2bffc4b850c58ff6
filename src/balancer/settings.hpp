/// Validates and compares settings.
#pragma once

#include "hollyrun/balancer.hpp"

namespace hollyrun::balancer {

/// Throws std::invalid_argument with a message that names the first invalid setting.
void validate(const Settings& settings);

/// Whether all fields are equal.
bool operator==(const ClassSettings& a, const ClassSettings& b);

}  // namespace hollyrun::balancer
