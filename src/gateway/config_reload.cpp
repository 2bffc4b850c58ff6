#include "gateway/config_reload.hpp"

#include <algorithm>
#include <iterator>
#include <nlohmann/json.hpp>
#include <string>
#include <string_view>

#include "gateway/config_fields.hpp"

namespace hollyrun::gateway {
namespace {

using nlohmann::json;

// Keys that a reloaded file may lack: those that the platform may omit at any time, and those that only apply
// at the start.
constexpr std::string_view kOptionalKeys[] = {"aimStretch", "staysIn", "boundTo",   "passesDeadline",
                                              "warmKeys",   "known",   "seed",      "name",
                                              "management", "log",     "membership"};

bool isOptional(const std::string& key) {
  return std::find(std::begin(kOptionalKeys), std::end(kOptionalKeys), key) != std::end(kOptionalKeys);
}

// Returns the keys that all classes have, with the values of the first class.
json commonKeys(const json& classes) {
  if (classes.empty())
    return json::object();
  const json& first = classes.front();
  json common = first;
  for (const json& entry : classes)
    for (const auto& [key, value] : first.items())
      if (!entry.contains(key))
        common.erase(key);
  return common;
}

void requireClassKeys(const json& running, const json& replacement) {
  if (!replacement.is_array() || replacement.empty())
    throw ConfigError(ConfigErrorCode::missingKey, "grades",
                      "grades: expected a list with at least one class");
  const json required = commonKeys(running);
  for (const json& entry : replacement)
    requireRunningKeys(required, entry);
}

}  // namespace

void requireRunningKeys(const json& running, const json& replacement) {
  if (!replacement.is_object())
    throw ConfigError(
        ConfigErrorCode::wrongType, "",
        std::string("expected an object as in the running configuration, got ") + replacement.type_name());
  for (const auto& [key, value] : running.items()) {
    if (isOptional(key) || value.is_null())
      continue;
    const json* field = findField(replacement, key.c_str());
    if (!field)
      throw ConfigError(ConfigErrorCode::missingKey, key,
                        key + ": required key of the running configuration is missing");
    if (value.is_object())
      requireRunningKeys(value, *field);
    if (key == "grades")
      requireClassKeys(value, *field);
  }
}

}  // namespace hollyrun::gateway
