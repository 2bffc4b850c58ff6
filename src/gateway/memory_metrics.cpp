#include "gateway/memory_metrics.hpp"

#include <string>
#include <utility>

#include "gateway/metric_families.hpp"

namespace hollyrun::gateway {

std::vector<prometheus::MetricFamily> collectMemoryMetrics(const MemoryBudget& budget,
                                                           const OverloadManager& overload,
                                                           std::uint64_t evictions) {
  const MemoryAccount& account = MemoryBudget::account();
  prometheus::MetricFamily used;
  used.name = "hollyrun_peer_memory_bytes";
  used.help = "Memory that peers make the process hold, by use.";
  used.type = prometheus::MetricType::Gauge;
  auto refusals =
      counterFamily("hollyrun_memory_refusals_total", "Requests refused because no memory was left, by use.");
  for (std::size_t i = 0; i < kMemoryUses; ++i) {
    const auto use = static_cast<MemoryUse>(i);
    prometheus::ClientMetric& metric = used.metric.emplace_back();
    metric.label = {{"use", std::string(nameOf(use))}};
    metric.gauge.value = static_cast<double>(account.used(use));
    addCounter(refusals, "use", nameOf(use), budget.refusals(use));
  }
  auto limit = gaugeFamily("hollyrun_peer_memory_limit_bytes", "Limit on the memory that peers may occupy.",
                           static_cast<double>(budget.limit()));
  auto peak = gaugeFamily("hollyrun_peer_memory_peak_bytes", "The most that peers have occupied so far.",
                          static_cast<double>(account.peak()));
  std::vector<prometheus::MetricFamily> families = {std::move(used), std::move(refusals), std::move(limit),
                                                    std::move(peak)};
  const auto addBytes = [&](const char* name, const char* help, std::size_t bytes) {
    families.push_back(gaugeFamily(name, help, static_cast<double>(bytes)));
  };
  addBytes("hollyrun_process_memory_bytes", "Resident memory of the process at the last sample.",
           overload.resident());
  addBytes("hollyrun_process_memory_peak_bytes", "The largest sample of the resident memory so far.",
           overload.residentPeak());
  addBytes("hollyrun_process_memory_limit_bytes", "Memory that this process may take.",
           overload.processLimit());
  addBytes("hollyrun_process_memory_program_bytes", "Resident memory of the program itself.",
           overload.baseline());
  families.push_back(gaugeFamily("hollyrun_memory_pressure",
                                 "0: none, 1: reading slowly, 2: closing connections, 3: refusing requests.",
                                 static_cast<double>(budget.pressure())));
  auto evicted = counterFamily("hollyrun_memory_evictions_total",
                               "Clients closed or refused because they held the most memory.");
  evicted.metric.emplace_back().counter.value = static_cast<double>(evictions);
  families.push_back(std::move(evicted));
  return families;
}

}  // namespace hollyrun::gateway
