/// Helpers that create metric families in the form of prometheus-cpp.
#pragma once

#include <prometheus/metric_family.h>

#include <cstdint>
#include <string>
#include <string_view>

namespace hollyrun::gateway {

inline prometheus::MetricFamily counterFamily(const char* name, const char* help) {
  prometheus::MetricFamily family;
  family.name = name;
  family.help = help;
  family.type = prometheus::MetricType::Counter;
  return family;
}

inline void addCounter(prometheus::MetricFamily& family, const char* label, std::string_view value,
                       std::uint64_t count) {
  prometheus::ClientMetric& metric = family.metric.emplace_back();
  metric.label = {{label, std::string(value)}};
  metric.counter.value = static_cast<double>(count);
}

/// A family with a single gauge.
inline prometheus::MetricFamily gaugeFamily(const char* name, const char* help, double value) {
  prometheus::MetricFamily family;
  family.name = name;
  family.help = help;
  family.type = prometheus::MetricType::Gauge;
  family.metric.emplace_back().gauge.value = value;
  return family;
}

}  // namespace hollyrun::gateway
