#include "lab/testbed/scale_figures.hpp"

#include <spdlog/fmt/fmt.h>

#include <cmath>
#include <map>
#include <stdexcept>

namespace hollyrun::lab {
namespace {

constexpr double kSlopeUnit = 1000;  // the table shows the slope per this increase in size

constexpr std::array<FigureText, kFigureCount> kTexts{{
    {"request_us", "processor time a request, us", 1},
    {"idle_percent", "idle, % of a core", 3},
    {"resident_mb", "resident, MB", 1},
    {"discovery_bytes", "discovery, bytes a second", 0},
    {"membership_bytes", "membership, bytes a second", 0},
    {"direct_p50_ms", "direct p50, ms", 2},
    {"direct_p99_ms", "direct p99, ms", 2},
    {"direct_p999_ms", "direct p99.9, ms", 2},
    {"added_p50_ms", "added p50, ms", 2},
    {"added_p99_ms", "added p99, ms", 2},
    {"added_p999_ms", "added p99.9, ms", 2},
    {"unserved_percent", "not served, %", 2},
    {"start_ms", "processor time until ready, ms", 0},
    {"hangup_ms", "processor time of a SIGHUP, ms", 1},
    {"stall_ms", "longest stall at a SIGHUP, ms", 1},
    {"join_ms", "until all members see all, ms", 0},
    {"change_ms", "a list change at all stub ones, ms", 1},
    {"resume_ms", "watches anew after a cut, ms", 0},
    {"resume_kb", "sent for it, kB", 0},
    {"relist_ms", "whole lists to all, ms", 0},
    {"relist_kb", "sent for it, kB", 0},
    {"lag_ms", "the testbed's own lag, ms", 1},
    {"busiest_share", "busiest process of the testbed, of a core", 2},
}};

struct Point {
  double size = 0, value = 0;
};

std::vector<Point> pointsOf(const ScaleRun& run, Figure figure) {
  std::vector<Point> all;
  for (const StepResult& step : run.steps)
    if (step.voidReason.empty() && step[figure])
      all.push_back({step.size, *step[figure]});
  return all;
}

// Accumulates the mean of the rounds at one size and its standard error, which is 0 for a single round.
struct Mean {
  double sum = 0, squares = 0;
  std::size_t count = 0;
  void add(double value) { sum += value, squares += value * value, ++count; }
  double value() const { return sum / static_cast<double>(count); }
  double error() const {
    if (count < 2)
      return 0;
    const double n = static_cast<double>(count);
    const double variance = std::max(0.0, (squares - sum * sum / n) / (n - 1));
    return std::sqrt(variance / n);
  }
};

std::map<double, Mean> meansOf(const ScaleRun& run, Figure figure) {
  std::map<double, Mean> all;
  for (const Point& point : pointsOf(run, figure))
    all[point.size].add(point.value);
  return all;
}

std::map<double, std::size_t> sizesOf(const ScaleRun& run) {
  std::map<double, std::size_t> all;  // number of void steps by size
  for (const StepResult& step : run.steps)
    all[step.size] += step.voidReason.empty() ? 0 : 1;
  return all;
}

std::string cellOf(const std::map<double, Mean>& means, double size, int decimals) {
  const auto it = means.find(size);
  if (it == means.end())
    return "-";
  std::string text = fmt::format("{:.{}f}", it->second.value(), decimals);
  if (it->second.count > 1)
    text += fmt::format(" ± {:.{}f}", it->second.error(), decimals);
  return text;
}

std::string slopeText(const std::optional<Slope>& slope, int decimals) {
  if (!slope)
    return "-";
  const int slopeDecimals = decimals + 1;
  std::string text = fmt::format("{:.{}f}", slope->slope * kSlopeUnit, slopeDecimals);
  if (slope->standardError)
    text += fmt::format(" ± {:.{}f}", *slope->standardError * kSlopeUnit, slopeDecimals);
  return text;
}

}  // namespace

const FigureText& textOf(Figure figure) {
  return kTexts[static_cast<std::size_t>(figure)];
}

std::optional<Figure> figureNamed(const std::string& name) {
  for (std::size_t i = 0; i < kFigureCount; ++i)
    if (name == kTexts[i].name)
      return static_cast<Figure>(i);
  return std::nullopt;
}

std::optional<Slope> slopeOf(const ScaleRun& run, Figure figure) {
  const std::vector<Point> points = pointsOf(run, figure);
  const double n = static_cast<double>(points.size());
  double meanX = 0, meanY = 0;
  for (const Point& point : points)
    meanX += point.size / n, meanY += point.value / n;
  double sumXx = 0, sumXy = 0;
  for (const Point& point : points) {
    sumXx += (point.size - meanX) * (point.size - meanX);
    sumXy += (point.size - meanX) * (point.value - meanY);
  }
  if (!(sumXx > 0))
    return std::nullopt;
  Slope fit;
  fit.slope = sumXy / sumXx;
  fit.intercept = meanY - fit.slope * meanX;
  if (points.size() < 3)
    return fit;
  double squaredResiduals = 0;
  for (const Point& point : points)
    squaredResiduals += std::pow(point.value - fit.intercept - fit.slope * point.size, 2);
  fit.standardError = std::sqrt(squaredResiduals / (n - 2) / sumXx);
  return fit;
}

std::string tableOf(const ScaleRun& run) {
  const auto sizes = sizesOf(run);
  std::string text = fmt::format("| {} |", run.dimension), separator = "| --- |";
  for (const auto& [size, voidSteps] : sizes) {
    text += fmt::format(" {:g}{} |", size, voidSteps > 0 ? fmt::format(" ({} void)", voidSteps) : "");
    separator += " --- |";
  }
  text += fmt::format(" slope for {:g} |\n{} --- |\n", kSlopeUnit, separator);
  for (std::size_t i = 0; i < kFigureCount; ++i) {
    const auto figure = static_cast<Figure>(i);
    const auto means = meansOf(run, figure);
    if (means.empty())
      continue;
    text += fmt::format("| {} |", kTexts[i].title);
    for (const auto& [size, voidSteps] : sizes)
      text += fmt::format(" {} |", cellOf(means, size, kTexts[i].decimals));
    text += fmt::format(" {} |\n", slopeText(slopeOf(run, figure), kTexts[i].decimals));
  }
  return text;
}

GrowthBound parseGrowthBound(const std::string& text) {
  const std::size_t equals = text.find('=');
  const auto figure = figureNamed(text.substr(0, equals));
  if (equals == std::string::npos || !figure)
    throw std::invalid_argument("expected FIGURE=FACTOR with a known figure, not '" + text + "'");
  GrowthBound bound{*figure, std::atof(text.c_str() + equals + 1)};
  if (!(bound.factor > 0))
    throw std::invalid_argument("'" + text + "': the factor must be above 0");
  return bound;
}

std::vector<std::string> growthViolations(const ScaleRun& run, const std::vector<GrowthBound>& bounds) {
  std::vector<std::string> violations;
  for (const GrowthBound& bound : bounds) {
    const auto means = meansOf(run, bound.figure);
    const char* name = textOf(bound.figure).name;
    if (means.size() < 2) {
      violations.push_back(std::string(name) + ": not measured at two sizes");
      continue;
    }
    const double first = means.begin()->second.value(), last = means.rbegin()->second.value();
    if (last > bound.factor * first)
      violations.push_back(fmt::format("{}: {:.3g} at {:g}, {:.3g} at {:g}: {:.2f} times, allowed {:g}", name,
                                       first, means.begin()->first, last, means.rbegin()->first, last / first,
                                       bound.factor));
  }
  return violations;
}

}  // namespace hollyrun::lab
