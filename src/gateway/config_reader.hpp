/// Reads a configuration file, the operators' TOML or the platform's JSON, into the platform's JSON form, and
/// collects all that is wrong with it instead of stopping at the first error.
#pragma once

#include <map>
#include <nlohmann/json.hpp>
#include <string>
#include <vector>

#include "gateway/config_error.hpp"

namespace hollyrun::gateway {

/// An error or a warning about one key.
struct Diagnostic {
  std::string location;  ///< "file:line", or the file alone
  std::string key;       ///< as the file names it: "class[0].aim_ms"
  std::string message;
  ConfigErrorCode code = ConfigErrorCode::rejected;

  /// "location: key: message", one line.
  std::string text() const { return location + ": " + key + ": " + message; }
};

struct ParsedConfigFile {
  nlohmann::json json = nlohmann::json::object();  ///< in the platform's form; what is wrong is left out
  std::vector<Diagnostic> errors;
  std::vector<Diagnostic> warnings;
  std::map<std::string, std::string> locations;  ///< "file:line" by the key's TOML name; empty for JSON
};

/// Reads TOML if the path ends with `.toml`, else JSON. Never throws on what the file holds: see `errors`.
ParsedConfigFile readConfigFile(const std::string& path);

}  // namespace hollyrun::gateway
