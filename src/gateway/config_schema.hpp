/// The schema of the gateway's configuration: every key once, with its name in the operators' TOML file, its
/// location in the platform's JSON, the type and range of its value, and the variable that overrides it.
/// The reader, the checks and the printer go by these tables.
#pragma once

#include <span>
#include <string_view>

namespace hollyrun::gateway {

/// The type of a value in the TOML file.
enum class ValueType { string, enumeration, endpoint, boolean, integer, number, stringList };

/// A value of an enumeration in both forms of the file.
struct AllowedValue {
  std::string_view toml;
  std::string_view json;
};

struct SettingKey {
  std::string_view toml;  ///< "limits.sockets"; of a class or tenant the bare name
  std::string_view json;  ///< a JSON pointer: "/limits/sockets"; of a class or tenant within its entry
  ValueType type = ValueType::string;
  double minimum = 0;                                ///< integer, number: inclusive, in the TOML file's unit
  double maximum = 0;                                ///< integer, number: inclusive, in the TOML file's unit
  double jsonScale = 1;                              ///< JSON units in one TOML unit: 1e6 for ms to ns
  std::span<const AllowedValue> allowedValues = {};  ///< of an enumeration
  std::string_view variable = {};                    ///< GW_* variable that overrides the file; empty: none
};

/// Keys of the gateway itself, with their sections.
std::span<const SettingKey> globalKeys();
/// Keys of one [[class]].
std::span<const SettingKey> classKeys();
/// Keys of one [[tenant]].
std::span<const SettingKey> tenantKeys();

}  // namespace hollyrun::gateway
