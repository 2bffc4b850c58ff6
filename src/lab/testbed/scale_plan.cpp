#include "lab/testbed/scale_plan.hpp"

#include <spdlog/fmt/fmt.h>

#include <algorithm>
#include <cmath>
#include <stdexcept>

namespace hollyrun::lab {
namespace {

// Bounds of a run on one machine: a few hundred processes at most, and each stub server needs a descriptor.
constexpr std::size_t kMaxGateways = 64, kMaxStubs = 1000, kMaxServers = 10000;
constexpr std::size_t kMaxTenants = 100000, kMaxClasses = 5000;
constexpr double kMaxTotalRate = 20000, kMaxChangesPerSecond = 100;
constexpr double kMaxWindowS = 120;
constexpr std::size_t kMaxSteps = 40;

void requireUpTo(const char* quantity, double value, double limit) {
  if (value >= 0 && value <= limit)
    return;
  throw std::invalid_argument(std::string("scale run: the number of ") + quantity + " must be from 0 to " +
                              std::to_string(static_cast<long long>(limit)) + ", not " +
                              fmt::format("{:g}", value));
}

void checkSize(const ScaleSize& size) {
  if (size.gateways < 1 || size.servers < 1)
    throw std::invalid_argument("a scale run needs at least one gateway and one server");
  requireUpTo("gateways", static_cast<double>(size.gateways), kMaxGateways);
  requireUpTo("stub gateways", static_cast<double>(size.stubs), kMaxStubs);
  requireUpTo("servers", static_cast<double>(size.servers), kMaxServers);
  requireUpTo("tenants", static_cast<double>(size.tenants), kMaxTenants);
  requireUpTo("classes", static_cast<double>(size.classes), kMaxClasses);
  requireUpTo("requests per second", size.rate * static_cast<double>(size.gateways), kMaxTotalRate);
  requireUpTo("changes per second", size.changes, kMaxChangesPerSecond);
}

}  // namespace

const char* nameOf(Dimension dimension) {
  switch (dimension) {
    case Dimension::gateways:
      return "gateways";
    case Dimension::stubs:
      return "stub";
    case Dimension::servers:
      return "servers";
    case Dimension::tenants:
      return "tenants";
    case Dimension::classes:
      return "classes";
    case Dimension::rate:
      return "rate";
    case Dimension::changes:
      return "changes";
  }
  return "?";
}

void ScaleSize::set(Dimension dimension, double value) {
  const auto count = static_cast<std::size_t>(std::lround(std::max(value, 0.0)));
  switch (dimension) {
    case Dimension::gateways:
      gateways = count;
      return;
    case Dimension::stubs:
      stubs = count;
      return;
    case Dimension::servers:
      servers = count;
      return;
    case Dimension::tenants:
      tenants = count;
      return;
    case Dimension::classes:
      classes = count;
      return;
    case Dimension::rate:
      rate = value;
      return;
    case Dimension::changes:
      changes = value;
      return;
  }
}

double ScaleSize::get(Dimension dimension) const {
  switch (dimension) {
    case Dimension::gateways:
      return static_cast<double>(gateways);
    case Dimension::stubs:
      return static_cast<double>(stubs);
    case Dimension::servers:
      return static_cast<double>(servers);
    case Dimension::tenants:
      return static_cast<double>(tenants);
    case Dimension::classes:
      return static_cast<double>(classes);
    case Dimension::rate:
      return rate;
    case Dimension::changes:
      return changes;
  }
  return 0;
}

void checkPlan(const ScalePlan& plan) {
  if (plan.values.empty())
    throw std::invalid_argument("a scale run needs at least one step");
  requireUpTo("steps", static_cast<double>(plan.values.size() * plan.rounds), kMaxSteps);
  for (const double seconds : {plan.idleS, plan.loadS, plan.warmS, plan.outageS, plan.joinTimeoutS})
    requireUpTo("seconds of a phase", seconds, kMaxWindowS);
  for (const double value : plan.values) {
    ScaleSize size = plan.size;
    size.set(plan.dimension, value);
    checkSize(size);
  }
}

Scenario scenarioOf(const ScalePlan& plan, const ScaleSize& size) {
  Scenario scenario = plan.scenario;
  scenario.loadShape = "flat";
  scenario.loadAmplitude = scenario.zoneSkew = scenario.chokeProbability = scenario.maxRetries = 0;
  scenario.faultSpecs.clear();
  scenario.faults.clear();
  if (size.classes == 0)
    return scenario;
  const std::vector<RequestClass> ownClasses = scenario.classes;
  scenario.classes.clear();
  for (std::size_t i = 0; i < size.classes; ++i) {
    RequestClass requestClass = ownClasses[i % ownClasses.size()];
    if (i >= ownClasses.size())
      requestClass.settings.name += fmt::format("-{}", i / ownClasses.size());
    scenario.classes.push_back(requestClass);
  }
  return scenario;
}

}  // namespace hollyrun::lab
