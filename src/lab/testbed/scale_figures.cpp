#include "lab/testbed/scale_figures.hpp"

#include <spdlog/fmt/fmt.h>

#include <cmath>
#include <map>
#include <stdexcept>

namespace hollyrun::lab {
namespace {

constexpr double kSlopeFor = 1000;  // of the dimension

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

// Mean and its standard error by size; the error is 0 from one round alone.
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
  for (const Point& p : pointsOf(run, figure))
    all[p.size].add(p.value);
  return all;
}

std::map<double, std::size_t> sizesOf(const ScaleRun& run) {
  std::map<double, std::size_t> all;  // with how many of its steps are void
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
  const int more = decimals + 1;
  std::string text = fmt::format("{:.{}f}", slope->slope * kSlopeFor, more);
  if (slope->standardError)
    text += fmt::format(" ± {:.{}f}", *slope->standardError * kSlopeFor, more);
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
  for (const Point& p : points)
    meanX += p.size / n, meanY += p.value / n;
  double xx = 0, xy = 0;
  for (const Point& p : points) {
    xx += (p.size - meanX) * (p.size - meanX);
    xy += (p.size - meanX) * (p.value - meanY);
  }
  if (!(xx > 0))
    return std::nullopt;
  Slope fit;
  fit.slope = xy / xx;
  fit.intercept = meanY - fit.slope * meanX;
  if (points.size() < 3)
    return fit;
  double residual = 0;
  for (const Point& p : points)
    residual += std::pow(p.value - fit.intercept - fit.slope * p.size, 2);
  fit.standardError = std::sqrt(residual / (n - 2) / xx);
  return fit;
}

std::string tableOf(const ScaleRun& run) {
  const auto sizes = sizesOf(run);
  std::string text = fmt::format("| {} |", run.dimension), line = "| --- |";
  for (const auto& [size, voided] : sizes) {
    text += fmt::format(" {:g}{} |", size, voided > 0 ? fmt::format(" ({} void)", voided) : "");
    line += " --- |";
  }
  text += fmt::format(" slope for {:g} |\n{} --- |\n", kSlopeFor, line);
  for (std::size_t i = 0; i < kFigureCount; ++i) {
    const auto figure = static_cast<Figure>(i);
    const auto means = meansOf(run, figure);
    if (means.empty())
      continue;
    text += fmt::format("| {} |", kTexts[i].what);
    for (const auto& [size, voided] : sizes)
      text += fmt::format(" {} |", cellOf(means, size, kTexts[i].decimals));
    text += fmt::format(" {} |\n", slopeText(slopeOf(run, figure), kTexts[i].decimals));
  }
  return text;
}

GrowthBound parseGrowthBound(const std::string& text) {
  const std::size_t equals = text.find('=');
  const auto figure = figureNamed(text.substr(0, equals));
  if (equals == std::string::npos || !figure)
    throw std::invalid_argument("'" + text + "' is no FIGURE=FACTOR");
  GrowthBound bound{*figure, std::atof(text.c_str() + equals + 1)};
  if (!(bound.factor > 0))
    throw std::invalid_argument("'" + text + "': the factor has to be above 0");
  return bound;
}

std::vector<std::string> growthViolations(const ScaleRun& run, const std::vector<GrowthBound>& bounds) {
  std::vector<std::string> faults;
  for (const GrowthBound& bound : bounds) {
    const auto means = meansOf(run, bound.figure);
    const char* name = textOf(bound.figure).name;
    if (means.size() < 2) {
      faults.push_back(std::string(name) + ": not measured at two sizes");
      continue;
    }
    const double first = means.begin()->second.value(), last = means.rbegin()->second.value();
    if (last > bound.factor * first)
      faults.push_back(fmt::format("{}: {:.3g} at {:g}, {:.3g} at {:g}: {:.2f} times, allowed {:g}", name,
                                   first, means.begin()->first, last, means.rbegin()->first, last / first,
                                   bound.factor));
  }
  return faults;
}

}  // namespace hollyrun::lab
