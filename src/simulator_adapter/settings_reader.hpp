/// The balancer's settings as an ENLIST line states them.
#pragma once

#include <string_view>

#include "hollyrun/balancer.hpp"

namespace hollyrun::simulator_adapter {

/// Reads the fields of an ENLIST line. Unknown keys are skipped: the simulator may add some. Throws LineError
/// if a value is malformed; whether the values make sense is checked by the Balancer.
balancer::Settings readSettings(std::string_view fields);

}  // namespace hollyrun::simulator_adapter
