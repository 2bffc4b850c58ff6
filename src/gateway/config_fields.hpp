/// Fields of the platform's JSON as typed values, for the readers of the configuration. All throw ConfigError
/// with the field's name; an absent field and null count as not given.
#pragma once

#include <cstddef>
#include <cstdint>
#include <limits>
#include <nlohmann/json.hpp>
#include <string>
#include <string_view>
#include <type_traits>

#include "gateway/config_error.hpp"
#include "gateway/json_number.hpp"
#include "hollyrun/balancer.hpp"

namespace hollyrun::gateway {

// No setting reaches these, and sums of such times or weights are far from an overflow.
inline constexpr std::int64_t kMaxDurationNs = std::int64_t{366} * 24 * 3600 * 1000000000;
inline constexpr std::int64_t kMaxDescriptors = std::int64_t{1} << 30;
inline constexpr double kMaxNumber = 1e9;

/// Durations are whole nanoseconds from 0 to a year, counts whole numbers from 0, numbers from 0 to 1e9.
template <class T>
T fieldValue(const nlohmann::json& value) {
  if constexpr (std::is_same_v<T, balancer::Duration>)
    return balancer::Duration(wholeNumber(value, kMaxDurationNs));
  else if constexpr (std::is_same_v<T, std::uint32_t>)
    return static_cast<T>(wholeNumber(value, std::numeric_limits<std::uint32_t>::max()));
  else if constexpr (std::is_same_v<T, std::size_t>)
    return static_cast<T>(wholeNumber(value, kMaxDescriptors));
  else if constexpr (std::is_same_v<T, double>)
    return realNumber(value, kMaxNumber);
  else
    return value.get<T>();
}

/// Null where the field is not given.
inline const nlohmann::json* findField(const nlohmann::json& object, const char* name) {
  const auto field = object.find(name);
  return field == object.end() || field->is_null() ? nullptr : &*field;
}

/// Leaves `target` as it is where the field is not given.
template <class T>
void readField(const nlohmann::json& object, const char* name, T& target) {
  const nlohmann::json* field = findField(object, name);
  if (!field)
    return;
  try {
    target = fieldValue<T>(*field);
  } catch (const std::exception& error) {
    const auto code = field->is_number() ? ConfigErrorCode::outOfRange : ConfigErrorCode::wrongType;
    throw ConfigError(code, name, std::string(name) + ": " + error.what());
  }
}

/// An empty object where the field is not given.
inline const nlohmann::json& objectField(const nlohmann::json& object, const char* name) {
  static const nlohmann::json kEmpty = nlohmann::json::object();
  const nlohmann::json* field = findField(object, name);
  if (!field)
    return kEmpty;
  if (!field->is_object())
    throw ConfigError(ConfigErrorCode::wrongType, name,
                      std::string(name) + ": expected an object, got " + field->type_name());
  return *field;
}

/// Null where the field is not given.
inline const nlohmann::json* listField(const nlohmann::json& object, const char* name) {
  const nlohmann::json* field = findField(object, name);
  if (field && !field->is_array())
    throw ConfigError(ConfigErrorCode::wrongType, name,
                      std::string(name) + ": expected a list, got " + field->type_name());
  return field;
}

}  // namespace hollyrun::gateway
