#include "lab/testbed/scale.hpp"

#include <unistd.h>

#include <algorithm>
#include <stdexcept>

#include "lab/testbed/scale_step.hpp"

namespace hollyrun::lab {
namespace {

StepResult playStep(const ScalePlan& plan, double value) {
  ScaleSize size = plan.size;
  size.set(plan.dimension, value);
  StepResult result;
  for (unsigned i = 0; i < std::max(plan.maxTriesPerStep, 1u); ++i) {
    result = measureStep(plan, size);
    if (result.voidReason.empty())
      break;
  }
  result.size = value;
  return result;
}

}  // namespace

ScaleRun playScale(const ScalePlan& plan, const std::function<void(const StepResult&)>& onStep) {
  checkPlan(plan);
  for (const std::string& program : {plan.program, plan.lab})
    if (::access(program.c_str(), X_OK) != 0)
      throw std::runtime_error("no executable program at " + program);
  ScaleRun run;
  run.dimension = nameOf(plan.dimension);
  for (unsigned round = 0; round < plan.rounds; ++round)
    for (const double value : plan.values) {
      run.steps.push_back(playStep(plan, value));
      run.steps.back().round = round;
      onStep(run.steps.back());
    }
  return run;
}

bool hasVoidStep(const ScaleRun& run) {
  return std::any_of(run.steps.begin(), run.steps.end(),
                     [](const StepResult& step) { return !step.voidReason.empty(); });
}

}  // namespace hollyrun::lab
