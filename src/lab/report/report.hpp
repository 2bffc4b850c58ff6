// What a day came to, for a person: a text for the terminal, and one HTML file with plots.
#pragma once

#include <string>
#include <vector>

#include "lab/report/store.hpp"
#include "lab/simulation/simulation.hpp"

namespace hollyrun::lab {

/// A line for each second step, the classes, what happened, which servers jammed. The same for the same
/// result.
std::string textOf(const Result& result);
/// One line: the figures that are compared.
std::string lineOf(const Result& result);
/// `RULE lost at 3.250 s: request 17, server 10.0.0.1:80: no answer before its deadline`
std::string lineOf(const Breach& breach);

/// As it may stand in HTML.
std::string escaped(const std::string& text);

/// A table of the runs, and plots of each that has its series. Needs gnuplot; throws std::runtime_error if
/// that cannot be run.
std::string htmlOf(const std::vector<StoredRun>& runs);

}  // namespace hollyrun::lab
