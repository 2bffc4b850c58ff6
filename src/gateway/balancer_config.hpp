/// Reads the settings of the decision module from the platform's JSON.
#pragma once

#include <nlohmann/json_fwd.hpp>

#include "hollyrun/balancer.hpp"

namespace hollyrun::gateway {

/// `settings` is the configuration's object of that name. Throws ConfigError on what cannot be read; whether
/// the values go together is left to the module.
balancer::Settings readBalancerSettings(const nlohmann::json& settings);

}  // namespace hollyrun::gateway
