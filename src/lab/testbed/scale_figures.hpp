// The figures of a scale run: the measurements of each step, their slope over the steps, the table and the
// bounds on growth.
#pragma once

#include <array>
#include <cstddef>
#include <optional>
#include <string>
#include <vector>

namespace hollyrun::lab {

/// The figures that a step measures. Figures of the real gateways are means over the gateways.
enum class Figure {
  requestUs,        ///< processor time per request, less the idle cost
  idlePercent,      ///< processor time without requests, percent of a core
  residentMb,       ///< resident memory after the load
  discoveryBytes,   ///< bytes per second, sent and received, without requests
  membershipBytes,  ///< bytes per second, sent and received, without requests
  directP50,        ///< latency of requests sent to the servers directly, ms
  directP99,
  directP999,
  addedP50,  ///< latency through the gateway less the direct latency, ms
  addedP99,
  addedP999,
  unservedPercent,  ///< rejected and failed calls through the gateway
  startMs,          ///< processor time of a gateway until it is ready
  hangupMs,         ///< processor time of a reload by SIGHUP
  stallMs,          ///< longest response time of the management address during a reload, less the usual one
  joinMs,           ///< until every member sees all others
  changeMs,         ///< from a change of the endpoint list until all stub gateways have it, the maximum
  resumeMs,         ///< from the end of a discovery outage until all stub gateways have the changes
  resumeKb,         ///< kilobytes that discovery sends for that
  relistMs,      ///< from the end of an outage in which discovery lost its revisions until all have the whole
                 ///< list
  relistKb,      ///< kilobytes that discovery sends for that
  lagMs,         ///< longest delay of the event loops of the testbed and its stub processes
  busiestShare,  ///< share of a core that the busiest of the testbed's own processes uses
};
inline constexpr std::size_t kFigureCount = static_cast<std::size_t>(Figure::busiestShare) + 1;

struct FigureText {
  const char* name;   ///< on the command line and in the results file
  const char* title;  ///< in tables
  int decimals;
};
const FigureText& textOf(Figure figure);
/// Returns std::nullopt if the name is unknown.
std::optional<Figure> figureNamed(const std::string& name);

struct StepResult {
  double size = 0;  ///< value of the run's dimension
  unsigned round = 0;
  std::array<std::optional<double>, kFigureCount> figures{};
  std::string voidReason;  ///< why the step is void; empty: it is valid

  std::optional<double>& operator[](Figure figure) { return figures[static_cast<std::size_t>(figure)]; }
  const std::optional<double>& operator[](Figure figure) const {
    return figures[static_cast<std::size_t>(figure)];
  }
};

struct ScaleRun {
  std::string label, dimension, command;
  std::vector<StepResult> steps;
};

/// A line fitted by least squares: y = intercept + slope * size.
struct Slope {
  double slope = 0, intercept = 0;
  std::optional<double> standardError;  ///< of the slope; unset with fewer than three points
};
/// Returns std::nullopt if the figure was measured at fewer than two sizes. Ignores void steps.
std::optional<Slope> slopeOf(const ScaleRun& run, Figure figure);

/// Formats a Markdown table: a row for each measured figure, a column for each size, and the slope per
/// thousand.
std::string tableOf(const ScaleRun& run);

/// The largest allowed ratio of a figure at the largest size to the figure at the smallest size.
struct GrowthBound {
  Figure figure = Figure::requestUs;
  double factor = 1;
};
/// Parses FIGURE=FACTOR, such as `request_us=2.5`. Throws std::invalid_argument if the text is malformed.
GrowthBound parseGrowthBound(const std::string& text);
/// Returns a line for each violated bound. A bound on a figure that was not measured at two sizes is
/// violated.
std::vector<std::string> growthViolations(const ScaleRun& run, const std::vector<GrowthBound>& bounds);

}  // namespace hollyrun::lab
