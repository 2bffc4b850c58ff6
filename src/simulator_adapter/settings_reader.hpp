/// Reads the balancer's settings from an ENLIST line.
#pragma once

#include <string_view>

#include "hollyrun/balancer.hpp"

namespace hollyrun::simulator_adapter {

/// Reads the fields of an ENLIST line. Skips unknown keys, since later versions of the simulator may add
/// some. Throws LineError if a value is malformed; the Balancer validates the values.
balancer::Settings readSettings(std::string_view fields);

}  // namespace hollyrun::simulator_adapter
