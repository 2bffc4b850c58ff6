// One step of a scale run: starts its processes, measures, and ends them.
#pragma once

#include "lab/testbed/scale_figures.hpp"
#include "lab/testbed/scale_plan.hpp"

namespace hollyrun::lab {

/// Measures a fleet of that size. A step for which this machine was too slow says so in `voidReason`. Throws
/// ScaleInterrupted, and std::runtime_error if a process fails.
StepResult measureStep(const ScalePlan& plan, const ScaleSize& size);

}  // namespace hollyrun::lab
