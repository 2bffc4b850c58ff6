// Every key of the gateway's configuration, once: its name in a person's TOML file, its place in the
// platform's JSON, what it may hold, and where its value lies in the typed settings. Reading, checking and
// showing a configuration all go by this table.
#pragma once

#include <map>
#include <nlohmann/json.hpp>
#include <string>
#include <string_view>
#include <vector>

#include "gateway/config.hpp"

namespace hollyrun::gateway {

enum class Holds { text, word, endpoint, flag, whole, real, texts };

struct Key {
  std::string_view toml;  // "limits.sockets"; within a class or tenant its bare name
  std::string_view json;  // pointer: "/limits/sockets"
  Holds holds = Holds::text;
  double least = 0, most = 0;                // whole, real: in the file's unit
  double scale = 1;                          // the JSON's unit for one of the file's
  std::vector<std::string_view> words = {};  // word: those allowed, TOML and JSON form in turn
};

const std::vector<Key>& topKeys();
const std::vector<Key>& classKeys();
const std::vector<Key>& tenantKeys();

/// A fault or a warning: `place` is "file:line" or the file alone, `key` as the file has it.
struct Remark {
  std::string place, key, what;
  std::string text() const { return place + ": " + key + ": " + what; }
};

/// A file as the platform's JSON, all that is wrong with it, and where each key stands.
struct ReadFile {
  nlohmann::json json = nlohmann::json::object();
  std::vector<Remark> faults, warnings;
  std::map<std::string, std::string> places;  // by the key's name in TOML
};

/// By its ending: TOML if it is `.toml`, else JSON. Never throws on what the file holds.
ReadFile readFile(const std::string& path);

struct Shown {
  std::string key, value, from;
};
/// The settings in effect, in the order of the table, each with where it came from: its place in the file,
/// the variable that goes before it, or `default`.
std::vector<Shown> show(const Config& config, const ReadFile& file, const Environment& environment);

/// As a TOML file with the origins as comments; read again, it gives the same settings.
std::string textOf(const std::vector<Shown>& all);

}  // namespace hollyrun::gateway
