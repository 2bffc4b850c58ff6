/// Prints the settings in effect, each with its origin, for the command `show`.
#pragma once

#include <string>
#include <vector>

#include "gateway/config.hpp"
#include "gateway/config_reader.hpp"

namespace hollyrun::gateway {

struct EffectiveSetting {
  std::string key;     ///< TOML key, such as "limits.sockets" or "class[0].aim_ms"
  std::string value;   ///< in TOML syntax; `off` or `any` for an absent value, which TOML cannot express
  std::string origin;  ///< "file:line", a JSON pointer, "variable GW_..." or "default"
};

/// Returns all settings in the order of the schema: the global ones, then those of each class, then those of
/// each tenant. `file` is the file that `config` was parsed from.
std::vector<EffectiveSetting> effectiveSettings(const Config& config, const ParsedConfigFile& file,
                                                const Environment& environment);

/// Returns a TOML file with the origins as comments. Reading it yields the same settings.
std::string tomlText(const std::vector<EffectiveSetting>& settings);

}  // namespace hollyrun::gateway
