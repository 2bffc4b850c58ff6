/// What can be wrong with a configuration, as an error code and as an exception.
#pragma once

#include <stdexcept>
#include <string>
#include <utility>

namespace hollyrun::gateway {

enum class ConfigErrorCode {
  unreadableFile,  ///< the file cannot be opened or read to its end
  syntax,          ///< the file is no TOML document or no JSON object
  missingKey,
  wrongType,       ///< of another type than the key holds
  outOfRange,      ///< a number or a length beyond its limits
  malformedValue,  ///< a text that does not parse, as an endpoint or a hexadecimal number
  unknownValue,    ///< none of an enumeration's values
  conflict,        ///< contradicts another key, or stands twice
  unknownKey,      ///< reported as a warning only
  rejected,        ///< the decision module does not accept the settings as a whole
};

/// A configuration that cannot be used. what() is one line for operators that names what is wrong.
class ConfigError : public std::runtime_error {
 public:
  /// `message` is the whole of what(). `location` is "file:line" or the file, empty where no file is known.
  ConfigError(ConfigErrorCode code, std::string key, const std::string& message, std::string location = {})
      : std::runtime_error(message), code_(code), key_(std::move(key)), location_(std::move(location)) {}

  ConfigErrorCode code() const { return code_; }
  /// As the source names it: a key of the file, or a GW_* variable; empty for the file as a whole.
  const std::string& key() const { return key_; }
  const std::string& location() const { return location_; }

 private:
  ConfigErrorCode code_;
  std::string key_;
  std::string location_;
};

}  // namespace hollyrun::gateway
