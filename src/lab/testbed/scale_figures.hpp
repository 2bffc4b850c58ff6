// The figures of a scale run: what each step measured, the slope over the steps, the table, the check on
// shape.
#pragma once

#include <array>
#include <cstddef>
#include <optional>
#include <string>
#include <vector>

namespace hollyrun::lab {

/// What a step measures; of the real gateways it is the mean of them.
enum class Figure {
  requestUs,        ///< processor time a request, the idle cost taken off
  idlePercent,      ///< of a core, without requests
  residentMb,       ///< after the load
  discoveryBytes,   ///< a second, both ways, without requests
  membershipBytes,  ///< a second, both ways, without requests
  directP50,        ///< ms, the servers asked directly
  directP99,
  directP999,
  addedP50,  ///< ms, through the gateway, less directly
  addedP99,
  addedP999,
  unservedPercent,  ///< of the requests through the gateway
  startMs,          ///< processor time of a gateway until it is ready
  hangupMs,         ///< processor time of a SIGHUP
  stallMs,          ///< the longest that its loop answered nothing at one
  joinMs,           ///< until all members see all
  changeMs,         ///< from a change of the list until all stub gateways hold it, the worst
  resumeMs,         ///< from discovery's return until they hold what changed meanwhile
  resumeKb,         ///< sent by discovery for it
  relistMs,         ///< from its return without its revisions until all have the whole list
  relistKb,
  lagMs,         ///< the longest that the testbed's own loop, or that of stub processes, was late
  busiestShare,  ///< of a core: the busiest of the testbed's own processes under the load
};
inline constexpr std::size_t kFigureCount = static_cast<std::size_t>(Figure::busiestShare) + 1;

struct FigureText {
  const char* name;  ///< as the command line and the file of results have it
  const char* what;  ///< as a table has it
  int decimals;
};
const FigureText& textOf(Figure figure);
/// None if there is no such name.
std::optional<Figure> figureNamed(const std::string& name);

struct StepResult {
  double size = 0;  ///< in the run's dimension
  unsigned round = 0;
  std::array<std::optional<double>, kFigureCount> figures{};
  std::string voidReason;  ///< why it proves nothing; empty: it does

  std::optional<double>& operator[](Figure f) { return figures[static_cast<std::size_t>(f)]; }
  const std::optional<double>& operator[](Figure f) const { return figures[static_cast<std::size_t>(f)]; }
};

struct ScaleRun {
  std::string label, dimension, command;
  std::vector<StepResult> steps;
};

/// y = intercept + slope * size, by least squares.
struct Slope {
  double slope = 0, intercept = 0;
  std::optional<double> standardError;  ///< of the slope; none from fewer than three points
};
/// None if fewer than two sizes have the figure. Void steps are left out.
std::optional<Slope> slopeOf(const ScaleRun& run, Figure figure);

/// Markdown: a row a figure that was measured, a column a size, then the slope for a thousand more.
std::string tableOf(const ScaleRun& run);

/// From the smallest size to the greatest a figure may grow so many times.
struct GrowthBound {
  Figure figure = Figure::requestUs;
  double factor = 1;
};
/// `request_us=2.5`; throws std::invalid_argument on anything else.
GrowthBound parseGrowthBound(const std::string& text);
/// A line on each bound that does not hold; one that was not measured does not.
std::vector<std::string> growthViolations(const ScaleRun& run, const std::vector<GrowthBound>& bounds);

}  // namespace hollyrun::lab
