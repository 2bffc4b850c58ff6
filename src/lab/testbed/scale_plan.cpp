#include "lab/testbed/scale_plan.hpp"

#include <spdlog/fmt/fmt.h>

#include <algorithm>
#include <cmath>
#include <stdexcept>

namespace hollyrun::lab {
namespace {

// Of one run on one machine: below a few hundred processes, and each stub server takes a descriptor.
constexpr std::size_t kGatewaysMost = 64, kMaxStubs = 1000, kServersMost = 10000;
constexpr std::size_t kTenantsMost = 100000, kClassesMost = 5000;
constexpr double kRateMost = 20000, kChangesMost = 100;
constexpr double kWindowMostS = 120;
constexpr std::size_t kStepsMost = 40;

void needUpTo(const char* what, double value, double most) {
  if (value >= 0 && value <= most)
    return;
  throw std::invalid_argument(std::string("a scale run has ") + what + " from 0 to " +
                              std::to_string(static_cast<long long>(most)));
}

void checkSize(const ScaleSize& size) {
  if (size.gateways < 1 || size.servers < 1)
    throw std::invalid_argument("a scale run has one gateway and one server at least");
  needUpTo("gateways", static_cast<double>(size.gateways), kGatewaysMost);
  needUpTo("stub gateways", static_cast<double>(size.stubs), kMaxStubs);
  needUpTo("servers", static_cast<double>(size.servers), kServersMost);
  needUpTo("tenants", static_cast<double>(size.tenants), kTenantsMost);
  needUpTo("classes", static_cast<double>(size.classes), kClassesMost);
  needUpTo("a rate", size.rate * static_cast<double>(size.gateways), kRateMost);
  needUpTo("changes a second", size.changes, kChangesMost);
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
    throw std::invalid_argument("a scale run has one step at least");
  needUpTo("steps", static_cast<double>(plan.values.size() * plan.rounds), kStepsMost);
  for (const double seconds : {plan.idleS, plan.loadS, plan.warmS, plan.outageS, plan.joinTimeoutS})
    needUpTo("seconds of a window", seconds, kWindowMostS);
  for (const double value : plan.values) {
    ScaleSize size = plan.size;
    size.set(plan.dimension, value);
    checkSize(size);
  }
}

Scenario scenarioOf(const ScalePlan& plan, const ScaleSize& size) {
  Scenario s = plan.scenario;
  s.loadShape = "flat";
  s.loadAmplitude = s.zoneSkew = s.chokeProbability = s.maxRetries = 0;
  s.faultSpecs.clear();
  s.faults.clear();
  if (size.classes == 0)
    return s;
  const std::vector<RequestClass> own = s.classes;
  s.classes.clear();
  for (std::size_t i = 0; i < size.classes; ++i) {
    RequestClass c = own[i % own.size()];
    if (i >= own.size())
      c.settings.name += fmt::format("-{}", i / own.size());
    s.classes.push_back(c);
  }
  return s;
}

}  // namespace hollyrun::lab
