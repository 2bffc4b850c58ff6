// The commands of a scale run: `scale`, and the two that it starts its hollow processes by.
#pragma once

#include <CLI/CLI.hpp>
#include <string>
#include <vector>

#include "lab/rig/hollow_gateway.hpp"
#include "lab/rig/hollow_server.hpp"
#include "lab/rig/scale_plan.hpp"

namespace hollyrun::lab {

class ScaleCommand {
 public:
  /// Adds the commands and their options to the program's.
  explicit ScaleCommand(CLI::App& app);
  ScaleCommand(const ScaleCommand&) = delete;
  ScaleCommand& operator=(const ScaleCommand&) = delete;

  /// Does the one that the command line names. Returns an exit code; throws std::exception if an argument, a
  /// scenario or a file is wrong.
  int run(int argc, char** argv);

 private:
  void addScale(CLI::App& app);
  void addSizes(CLI::App& scale);
  void addHollow(CLI::App& app);
  int play(const std::string& command);
  int showKept() const;

  CLI::App *scale_ = nullptr, *servers_ = nullptr, *gateways_ = nullptr;
  ScalePlan plan_;
  std::string scenario_, db_, label_ = "scale";
  std::vector<std::string> set_, bounds_;
  std::vector<std::vector<double>> sizes_;  // by dimension; one of them may have several
  bool kept_ = false;
  HollowServerPlan serverPlan_;
  HollowGatewayPlan gatewayPlan_;
};

}  // namespace hollyrun::lab
