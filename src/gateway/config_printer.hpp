/// Prints the settings in effect, each with its origin, as the `show` command does.
#pragma once

#include <string>
#include <vector>

#include "gateway/config.hpp"
#include "gateway/config_reader.hpp"

namespace hollyrun::gateway {

struct EffectiveSetting {
  std::string key;     ///< "limits.sockets", "class[0].aim_ms"
  std::string value;   ///< as TOML has it; `off` or `any` where TOML has no such value
  std::string origin;  ///< "file:line", a JSON pointer, "variable GW_..." or "default"
};

/// All settings in the order of the schema: the gateway's own, then of each class, then of each tenant.
/// `file` is what `config` was made from.
std::vector<EffectiveSetting> effectiveSettings(const Config& config, const ParsedConfigFile& file,
                                                const Environment& environment);

/// A TOML file with the origins as comments. Read again, it gives the same settings.
std::string tomlText(const std::vector<EffectiveSetting>& settings);

}  // namespace hollyrun::gateway
