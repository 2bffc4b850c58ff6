#include "gateway/config_reader.hpp"

#define TOML_EXCEPTIONS 1
#include <toml++/toml.h>

#include <algorithm>
#include <cmath>
#include <cstdint>
#include <fstream>
#include <functional>
#include <iterator>
#include <optional>
#include <set>
#include <span>
#include <string_view>

#include "gateway/config_schema.hpp"
#include "gateway/endpoint_list.hpp"
#include "gateway/number_text.hpp"

namespace hollyrun::gateway {
namespace {

using nlohmann::json;
using KeyNames = std::set<std::string, std::less<>>;

class TomlReader {
 public:
  TomlReader(std::string path, ParsedConfigFile& parsed) : path_(std::move(path)), parsed_(parsed) {}

  /// Stores the values of `keys` in `target`. `prefix` is prepended to each key in diagnostics.
  void readTable(const toml::table& table, std::span<const SettingKey> keys, const std::string& prefix,
                 json& target);

  /// Stores a list of tables, [[name]], in `target`; leaves `target` unchanged if the list is absent.
  void readList(const toml::table& root, const std::string& name, std::span<const SettingKey> keys,
                json& target);

 private:
  void readListEntry(const toml::table& entry, const std::string& prefix, std::span<const SettingKey> keys,
                     std::set<std::string>& names, json& target);
  void reportUnknownKeys(const toml::table& table, const KeyNames& knownKeys, const std::string& prefix,
                         const std::string& section);

  // These functions add an error and return no value if the node is invalid.
  std::optional<json> readValue(const SettingKey& key, const toml::node& node, const std::string& name);
  std::optional<json> readBoolean(const toml::node& node, const std::string& name);
  std::optional<json> readNumber(const SettingKey& key, const toml::node& node, const std::string& name);
  std::optional<json> readStringList(const toml::node& node, const std::string& name);
  std::optional<json> readString(const SettingKey& key, const toml::node& node, const std::string& name);
  std::optional<json> readEndpoint(const std::string& text, const toml::node& node, const std::string& name);
  std::optional<json> readEnumeration(const SettingKey& key, const std::string& text, const toml::node& node,
                                      const std::string& name);

  std::string locationOf(const toml::node& node) const;
  std::nullopt_t addError(const toml::node& node, const std::string& name, ConfigErrorCode code,
                          const std::string& message);

  std::string path_;
  ParsedConfigFile& parsed_;
};

std::string TomlReader::locationOf(const toml::node& node) const {
  const auto line = node.source().begin.line;
  return line > 0 ? path_ + ":" + std::to_string(line) : path_;
}

std::nullopt_t TomlReader::addError(const toml::node& node, const std::string& name, ConfigErrorCode code,
                                    const std::string& message) {
  parsed_.errors.push_back({locationOf(node), name, message, code});
  return std::nullopt;
}

void TomlReader::readTable(const toml::table& table, std::span<const SettingKey> keys,
                           const std::string& prefix, json& target) {
  KeyNames knownKeys;
  for (const SettingKey& key : keys) {
    knownKeys.emplace(key.toml);
    const toml::node_view<const toml::node> found = table.at_path(key.toml);
    if (!found)
      continue;
    const std::string name = prefix + std::string(key.toml);
    parsed_.locations[name] = locationOf(*found.node());
    if (const auto value = readValue(key, *found.node(), name))
      target[json::json_pointer(std::string(key.json))] = *value;
  }
  reportUnknownKeys(table, knownKeys, prefix, "");
}

void TomlReader::readList(const toml::table& root, const std::string& name, std::span<const SettingKey> keys,
                          json& target) {
  const toml::node* node = root.get(name);
  if (!node)
    return;
  parsed_.locations[name] = locationOf(*node);
  const toml::array* entries = node->as_array();
  if (!entries || !entries->is_homogeneous(toml::node_type::table)) {
    addError(*node, name, ConfigErrorCode::wrongType, "expected a list of tables, [[" + name + "]]");
    return;
  }
  target = json::array();
  std::set<std::string> names;
  for (std::size_t i = 0; i < entries->size(); ++i) {
    const std::string prefix = name + "[" + std::to_string(i) + "].";
    readListEntry(*entries->get(i)->as_table(), prefix, keys, names, target);
  }
}

void TomlReader::readListEntry(const toml::table& entry, const std::string& prefix,
                               std::span<const SettingKey> keys, std::set<std::string>& names, json& target) {
  json value = json::object();
  readTable(entry, keys, prefix, value);
  if (!value.contains("name"))
    addError(entry, prefix + "name", ConfigErrorCode::missingKey, "required key is missing");
  else if (!names.insert(value["name"]).second)
    addError(entry, prefix + "name", ConfigErrorCode::conflict, "duplicate name");
  target.push_back(value);
}

void TomlReader::reportUnknownKeys(const toml::table& table, const KeyNames& knownKeys,
                                   const std::string& prefix, const std::string& section) {
  for (const auto& [key, node] : table) {
    const std::string name = section + std::string(key.str());
    const bool isList = prefix.empty() && (name == "class" || name == "tenant");
    if (knownKeys.contains(name) || isList)
      continue;
    const bool isSection = std::any_of(knownKeys.begin(), knownKeys.end(), [&](const std::string& known) {
      return known.starts_with(name + ".");
    });
    if (isSection && node.is_table())
      reportUnknownKeys(*node.as_table(), knownKeys, prefix, name + ".");
    else if (isSection)
      addError(node, prefix + name, ConfigErrorCode::wrongType, "expected a table");
    else
      parsed_.warnings.push_back(
          {locationOf(node), prefix + name, "unknown key, ignored", ConfigErrorCode::unknownKey});
  }
}

std::optional<json> TomlReader::readValue(const SettingKey& key, const toml::node& node,
                                          const std::string& name) {
  switch (key.type) {
    case ValueType::boolean:
      return readBoolean(node, name);
    case ValueType::integer:
    case ValueType::number:
      return readNumber(key, node, name);
    case ValueType::stringList:
      return readStringList(node, name);
    case ValueType::string:
    case ValueType::enumeration:
    case ValueType::endpoint:
      return readString(key, node, name);
  }
  return std::nullopt;
}

std::optional<json> TomlReader::readBoolean(const toml::node& node, const std::string& name) {
  if (const auto value = node.value_exact<bool>())
    return json(*value);
  return addError(node, name, ConfigErrorCode::wrongType, "expected true or false");
}

std::optional<json> TomlReader::readNumber(const SettingKey& key, const toml::node& node,
                                           const std::string& name) {
  if (!node.is_number())
    return addError(node, name, ConfigErrorCode::wrongType, "expected a number");
  const double value = *node.value<double>();
  const double scaled = value * key.jsonScale;
  const bool isInteger = key.type == ValueType::integer;
  const bool inRange = std::isfinite(value) && value >= key.minimum && value <= key.maximum;
  if (!inRange || (isInteger && scaled != std::floor(scaled))) {
    const char* type = isInteger && key.jsonScale == 1 ? "whole number" : "number";
    return addError(node, name, ConfigErrorCode::outOfRange,
                    std::string("expected a ") + type + " from " + numberText(key.minimum) + " to " +
                        numberText(key.maximum) + ", got " + numberText(value));
  }
  if (isInteger)
    return json(static_cast<std::int64_t>(std::llround(scaled)));
  return json(scaled);
}

std::optional<json> TomlReader::readStringList(const toml::node& node, const std::string& name) {
  const toml::array* list = node.as_array();
  if (!list || !(list->empty() || list->is_homogeneous(toml::node_type::string)))
    return addError(node, name, ConfigErrorCode::wrongType, "expected a list of strings");
  json texts = json::array();
  for (const toml::node& text : *list)
    texts.push_back(*text.value<std::string>());
  return texts;
}

std::optional<json> TomlReader::readString(const SettingKey& key, const toml::node& node,
                                           const std::string& name) {
  const auto text = node.value_exact<std::string>();
  if (!text)
    return addError(node, name, ConfigErrorCode::wrongType, "expected a string");
  if (key.type == ValueType::endpoint)
    return readEndpoint(*text, node, name);
  if (key.type == ValueType::enumeration)
    return readEnumeration(key, *text, node, name);
  return json(*text);
}

std::optional<json> TomlReader::readEndpoint(const std::string& text, const toml::node& node,
                                             const std::string& name) {
  try {
    parseEndpoint(text);
  } catch (const std::invalid_argument& error) {
    return addError(node, name, ConfigErrorCode::malformedValue, error.what());
  }
  return json(text);
}

std::optional<json> TomlReader::readEnumeration(const SettingKey& key, const std::string& text,
                                                const toml::node& node, const std::string& name) {
  std::string allowed;
  for (const AllowedValue& value : key.allowedValues) {
    if (text == value.toml)
      return json(std::string(value.json));
    allowed += (allowed.empty() ? "" : ", ") + std::string(value.toml);
  }
  return addError(node, name, ConfigErrorCode::unknownValue,
                  "unknown value '" + text + "', expected one of: " + allowed);
}

/// Checks constraints that involve more than one key.
class CrossKeyCheck {
 public:
  CrossKeyCheck(const std::string& path, ParsedConfigFile& parsed) : path_(path), parsed_(parsed) {}

  void run() {
    const json settings = parsed_.json.value("settings", json::object());
    if (settings.value("myNumber", 0u) >= settings.value("groupSize", 1u))
      addError("fleet.number", ConfigErrorCode::conflict, "must be less than fleet.gateways");
    const json classes = settings.value("grades", json::array());
    if (classes.empty() && !isSet("class"))
      addError("class", ConfigErrorCode::missingKey, "at least one [[class]] is required");
    for (std::size_t i = 0; i < classes.size(); ++i)
      checkClass(classes[i], "class[" + std::to_string(i) + "].");
  }

 private:
  void checkClass(const json& settings, const std::string& prefix) {
    const std::int64_t objectiveNs = settings.value("aimNs", std::int64_t{0});
    if (objectiveNs == 0 && !isSet(prefix + "aim_ms"))
      addError(prefix + "aim_ms", ConfigErrorCode::missingKey, "required key is missing");
    if (settings.contains("giveUpNs") && settings.value("giveUpNs", std::int64_t{0}) < objectiveNs)
      addError(prefix + "give_up_ms", ConfigErrorCode::conflict, "must not be less than aim_ms");
  }

  bool isSet(const std::string& key) const { return parsed_.locations.contains(key); }

  void addError(const std::string& key, ConfigErrorCode code, const std::string& message) {
    const auto location = parsed_.locations.find(key);
    parsed_.errors.push_back(
        {location == parsed_.locations.end() ? path_ : location->second, key, message, code});
  }

  const std::string& path_;
  ParsedConfigFile& parsed_;
};

// Returns no value if the file cannot be read completely. The parsers do not read the file themselves,
// because they treat a read error as the end of the file or throw exceptions other than their parse errors.
std::optional<std::string> readWholeFile(const std::string& path) {
  try {
    std::ifstream file(path);
    file.exceptions(std::ios::badbit);
    if (!file)
      return std::nullopt;
    return std::string(std::istreambuf_iterator<char>(file), {});
  } catch (const std::ios_base::failure&) {
    return std::nullopt;
  }
}

ParsedConfigFile parseToml(const std::string& path, const std::string& text) {
  ParsedConfigFile parsed;
  try {
    const toml::table root = toml::parse(text, path);
    TomlReader reader(path, parsed);
    reader.readTable(root, globalKeys(), "", parsed.json);
    reader.readList(root, "class", classKeys(), parsed.json["settings"]["grades"]);
    if (root.contains("tenant"))
      reader.readList(root, "tenant", tenantKeys(), parsed.json["settings"]["tenants"]);
    CrossKeyCheck(path, parsed).run();
  } catch (const toml::parse_error& error) {
    const auto line = error.source().begin.line;
    const std::string location = line > 0 ? path + ":" + std::to_string(line) : path;
    parsed.errors.push_back({location, "syntax", std::string(error.description()), ConfigErrorCode::syntax});
  }
  return parsed;
}

ParsedConfigFile parseJson(const std::string& path, const std::string& text) {
  ParsedConfigFile parsed;
  parsed.json = json::parse(text, nullptr, false);
  if (parsed.json.is_discarded() || !parsed.json.is_object()) {
    parsed.json = json::object();
    parsed.errors.push_back({path, "file", "expected a JSON object", ConfigErrorCode::syntax});
  }
  return parsed;
}

}  // namespace

ParsedConfigFile readConfigFile(const std::string& path) {
  const std::optional<std::string> text = readWholeFile(path);
  if (!text) {
    ParsedConfigFile unreadable;
    unreadable.errors.push_back({path, "file", "cannot be read", ConfigErrorCode::unreadableFile});
    return unreadable;
  }
  return path.ends_with(".toml") ? parseToml(path, *text) : parseJson(path, *text);
}

}  // namespace hollyrun::gateway
