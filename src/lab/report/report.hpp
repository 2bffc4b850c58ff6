// Human-readable reports of simulated days: text for the terminal and one HTML file with plots.
#pragma once

#include <string>
#include <vector>

#include "lab/report/store.hpp"
#include "lab/simulation/simulation.hpp"

namespace hollyrun::lab {

/// Formats the totals, the classes, a table over time, the timeline, overloaded servers and rule violations.
/// Equal results yield equal texts.
std::string textOf(const Result& result);
/// Formats the compared figures as one line.
std::string lineOf(const Result& result);
/// Example: `RULE lost at 3.250 s: request 17, server 10.0.0.1:80: no answer before its deadline`
std::string lineOf(const Breach& breach);

/// Escapes the characters that are special in HTML text.
std::string escaped(const std::string& text);

/// Formats a table of the runs, and plots of each run that has its series. Throws std::runtime_error if
/// gnuplot cannot be run.
std::string htmlOf(const std::vector<StoredRun>& runs);

}  // namespace hollyrun::lab
