/// The Prometheus families of the memory of the process: by use as accounted, and as the kernel counts it.
#pragma once

#include <prometheus/metric_family.h>

#include <cstdint>
#include <vector>

#include "gateway/memory_budget.hpp"
#include "gateway/overload_manager.hpp"

namespace hollyrun::gateway {

std::vector<prometheus::MetricFamily> collectMemoryMetrics(const MemoryBudget& budget,
                                                           const OverloadManager& overload,
                                                           std::uint64_t evictions);

}  // namespace hollyrun::gateway
