/// Error codes of configuration errors and the exception that carries them.
#pragma once

#include <stdexcept>
#include <string>
#include <utility>

namespace hollyrun::gateway {

enum class ConfigErrorCode {
  unreadableFile,  ///< the file cannot be opened or read to its end
  syntax,          ///< the file is not a valid TOML document or JSON object
  missingKey,
  wrongType,       ///< a value of another type than the key requires
  outOfRange,      ///< a number or a length outside its limits
  malformedValue,  ///< a string that cannot be parsed, such as an endpoint or a hexadecimal number
  unknownValue,    ///< not a value of the enumeration
  conflict,        ///< contradicts another key, or is a duplicate
  unknownKey,      ///< reported as a warning only
  rejected,        ///< the balancer rejects the settings as a whole
};

/// Thrown for an invalid configuration. what() is a one-line message for operators.
class ConfigError : public std::runtime_error {
 public:
  /// `message` becomes what(). `location` is "file:line" or the file, empty if there is no file.
  ConfigError(ConfigErrorCode code, std::string key, const std::string& message, std::string location = {})
      : std::runtime_error(message), code_(code), key_(std::move(key)), location_(std::move(location)) {}

  ConfigErrorCode code() const { return code_; }
  /// The key in the file or the GW_* variable; empty if the error concerns the file as a whole.
  const std::string& key() const { return key_; }
  const std::string& location() const { return location_; }

 private:
  ConfigErrorCode code_;
  std::string key_;
  std::string location_;
};

}  // namespace hollyrun::gateway
