/// Reads a configuration file, TOML or the platform's JSON, into the platform's JSON form. Collects all
/// errors instead of stopping at the first one.
#pragma once

#include <map>
#include <nlohmann/json.hpp>
#include <string>
#include <vector>

#include "gateway/config_error.hpp"

namespace hollyrun::gateway {

/// An error or a warning about one key.
struct Diagnostic {
  std::string location;  ///< "file:line" or the file
  std::string key;       ///< key in the file, such as "class[0].aim_ms"
  std::string message;
  ConfigErrorCode code = ConfigErrorCode::rejected;

  /// Returns one line, "location: key: message".
  std::string text() const { return location + ": " + key + ": " + message; }
};

struct ParsedConfigFile {
  nlohmann::json json = nlohmann::json::object();  ///< in the platform's form, without invalid values
  std::vector<Diagnostic> errors;
  std::vector<Diagnostic> warnings;
  std::map<std::string, std::string> locations;  ///< TOML key -> "file:line"; empty for JSON
};

/// Reads TOML if the path ends with `.toml`, else JSON. Does not throw if the file is invalid; its errors are
/// in `errors`.
ParsedConfigFile readConfigFile(const std::string& path);

}  // namespace hollyrun::gateway
