/// Checks that a file which replaces a running configuration is complete.
#pragma once

#include <nlohmann/json_fwd.hpp>

namespace hollyrun::gateway {

/// Throws ConfigError unless `replacement` has every required key of `running`, also within objects and
/// classes. Without this check a missing key would silently change to its default on a serving gateway.
void requireRunningKeys(const nlohmann::json& running, const nlohmann::json& replacement);

}  // namespace hollyrun::gateway
