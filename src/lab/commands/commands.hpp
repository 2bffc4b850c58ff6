/// The subcommands of hollyrun-lab, one file each. Each function adds one subcommand to the program.
#pragma once

#include <CLI/CLI.hpp>
#include <memory>
#include <string>

#include "lab/commands/command.hpp"

namespace hollyrun::lab {

std::unique_ptr<Command> addCheckCommand(CLI::App& app);
std::unique_ptr<Command> addRunCommand(CLI::App& app);
std::unique_ptr<Command> addCompareCommand(CLI::App& app);
std::unique_ptr<Command> addSweepCommand(CLI::App& app);
std::unique_ptr<Command> addReportCommand(CLI::App& app);
std::unique_ptr<Command> addServeCommand(CLI::App& app);
std::unique_ptr<Command> addLoadCommand(CLI::App& app);
std::unique_ptr<Command> addFleetCommand(CLI::App& app);
std::unique_ptr<Command> addMembersCommand(CLI::App& app);
/// `commandLine` is stored with the results; runs with the same label and command line are merged in reports.
std::unique_ptr<Command> addScaleCommand(CLI::App& app, const std::string& commandLine);
std::unique_ptr<Command> addStubServersCommand(CLI::App& app);
std::unique_ptr<Command> addStubGatewaysCommand(CLI::App& app);
std::unique_ptr<Command> addSoakCommand(CLI::App& app);
std::unique_ptr<Command> addCostCommand(CLI::App& app);

}  // namespace hollyrun::lab
