#include "balancer/request_class.hpp"

#include <string>

#include "balancer/settings.hpp"

namespace hollyrun::balancer {
namespace {

// Requests of a class that is not in the settings are never repeated and have the lowest priority.
ClassSettings unknownClass(const ClassSettings& pattern) {
  ClassSettings unknown = pattern;
  unknown.name.clear();
  unknown.idempotency = Idempotency::none;
  unknown.priorityWeight = 0;
  return unknown;
}

}  // namespace

void RequestClassTable::applySettings(const Settings& settings) {
  std::vector<ClassSettings> wanted = settings.classes;
  wanted.push_back(unknownClass(settings.classes.front()));
  std::unordered_map<std::string, std::shared_ptr<RequestClass>> known;
  for (const auto& existing : classes_)
    known.emplace(existing->settings.name, existing);
  classes_.clear();
  for (const ClassSettings& classSettings : wanted) {
    std::shared_ptr<RequestClass>& state = known[classSettings.name];
    if (!state || state->settings != classSettings) {
      state = state ? std::make_shared<RequestClass>(*state) : std::make_shared<RequestClass>();
      state->settings = classSettings;
      state->clientWait = {};
    }
    classes_.push_back(state);
  }
}

}  // namespace hollyrun::balancer
