// Runs the steps of a scale run one after another, each with processes of its own.
#pragma once

#include <functional>

#include "lab/testbed/scale_figures.hpp"
#include "lab/testbed/scale_plan.hpp"

namespace hollyrun::lab {

/// Plays all steps of all rounds and repeats void steps as often as the plan allows. Calls `onStep` with the
/// result of each step. Throws std::invalid_argument if the plan exceeds a bound, ScaleInterrupted on SIGINT
/// or SIGTERM, and std::runtime_error if a process fails.
ScaleRun playScale(const ScalePlan& plan, const std::function<void(const StepResult&)>& onStep);

/// Returns whether a step remained void, which makes the run inconclusive.
bool hasVoidStep(const ScaleRun& run);

}  // namespace hollyrun::lab
