/// The check that a file which replaces a running configuration is complete.
#pragma once

#include <nlohmann/json_fwd.hpp>

namespace hollyrun::gateway {

/// Throws ConfigError unless `replacement` has every key of `running` that is not optional, within objects
/// and classes too. Without it a missing key would silently fall back to its default on a gateway that
/// serves.
void requireRunningKeys(const nlohmann::json& running, const nlohmann::json& replacement);

}  // namespace hollyrun::gateway
