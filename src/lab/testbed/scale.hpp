// A scale run: the steps of one dimension one after another, each with processes of its own.
#pragma once

#include <functional>

#include "lab/testbed/scale_figures.hpp"
#include "lab/testbed/scale_plan.hpp"

namespace hollyrun::lab {

/// Plays all steps of all rounds; a void one again, as often as the plan allows. `told` hears of each step
/// that has ended. Throws std::invalid_argument if the plan goes beyond a bound, ScaleInterrupted on a
/// signal, and std::runtime_error if a process fails.
ScaleRun playScale(const ScalePlan& plan, const std::function<void(const StepResult&)>& told);

/// Whether a step remained void, so that the run proves nothing.
bool hasVoidStep(const ScaleRun& run);

}  // namespace hollyrun::lab
