/// Typed access to fields of the platform's JSON. The functions throw ConfigError with the field's name if a
/// value is invalid. A field that is absent or null counts as not set.
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

// Limits far above all practical settings, and so low that sums of durations or weights cannot overflow.
inline constexpr std::int64_t kMaxDurationNs = std::int64_t{366} * 24 * 3600 * 1000000000;
inline constexpr std::int64_t kMaxDescriptors = std::int64_t{1} << 30;
inline constexpr double kMaxNumber = 1e9;

/// Converts `value`: durations are whole nanoseconds from 0 to a year, counts whole numbers from 0, other
/// numbers from 0 to 1e9. Throws if the type or the range is wrong.
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

/// Returns the field, or null if it is not set.
inline const nlohmann::json* findField(const nlohmann::json& object, const char* name) {
  const auto field = object.find(name);
  return field == object.end() || field->is_null() ? nullptr : &*field;
}

/// Reads the field into `target`; leaves `target` unchanged if the field is not set.
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

/// Returns the field, which must be an object, or an empty object if it is not set.
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

/// Returns the field, which must be a list, or null if it is not set.
inline const nlohmann::json* listField(const nlohmann::json& object, const char* name) {
  const nlohmann::json* field = findField(object, name);
  if (field && !field->is_array())
    throw ConfigError(ConfigErrorCode::wrongType, name,
                      std::string(name) + ": expected a list, got " + field->type_name());
  return field;
}

}  // namespace hollyrun::gateway
