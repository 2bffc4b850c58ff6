/// The schema of the gateway's configuration: every key with its name in the TOML file, its location in the
/// platform's JSON, the type and range of its value, and the environment variable that overrides it. The TOML
/// reader and the printer are driven by these tables.
#pragma once

#include <span>
#include <string_view>

namespace hollyrun::gateway {

/// The type of a value in the TOML file.
enum class ValueType { string, enumeration, endpoint, boolean, integer, number, stringList };

/// A value of an enumeration in both file formats.
struct AllowedValue {
  std::string_view toml;
  std::string_view json;
};

struct SettingKey {
  std::string_view toml;  ///< "limits.sockets"; for a class or tenant the name alone
  std::string_view json;  ///< JSON pointer, "/limits/sockets"; for a class or tenant relative to its entry
  ValueType type = ValueType::string;
  double minimum = 0;    ///< integer, number: inclusive, in the TOML file's unit
  double maximum = 0;    ///< integer, number: inclusive, in the TOML file's unit
  double jsonScale = 1;  ///< factor from the TOML to the JSON unit: 1e6 for ms to ns
  std::span<const AllowedValue> allowedValues = {};  ///< for an enumeration
  std::string_view variable = {};                    ///< GW_* variable that overrides the file; may be empty
};

/// Keys outside of classes and tenants, with their sections.
std::span<const SettingKey> globalKeys();
/// Keys of a [[class]].
std::span<const SettingKey> classKeys();
/// Keys of a [[tenant]].
std::span<const SettingKey> tenantKeys();

}  // namespace hollyrun::gateway
