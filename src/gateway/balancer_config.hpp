/// Reads the balancer's settings from the platform's JSON.
#pragma once

#include <nlohmann/json_fwd.hpp>

#include "hollyrun/balancer.hpp"

namespace hollyrun::gateway {

/// `settings` is the object `settings` of the configuration. Throws ConfigError if a key is missing or a
/// value has the wrong type or range. Whether the values are consistent is checked by the Balancer.
balancer::Settings readBalancerSettings(const nlohmann::json& settings);

}  // namespace hollyrun::gateway
