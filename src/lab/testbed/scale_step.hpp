// Measures one step of a scale run, with processes of its own.
#pragma once

#include "lab/testbed/scale_figures.hpp"
#include "lab/testbed/scale_plan.hpp"

namespace hollyrun::lab {

/// Measures a fleet of that size. Sets `voidReason` if the machine was too slow for the step. Throws
/// ScaleInterrupted on SIGINT or SIGTERM, and std::runtime_error if a process fails.
StepResult measureStep(const ScalePlan& plan, const ScaleSize& size);

}  // namespace hollyrun::lab
