// The command `soak` of hollyrun-lab.
#pragma once

#include <CLI/CLI.hpp>
#include <cstdint>
#include <string>

#include "lab/soak/soak.hpp"

namespace hollyrun::lab {

class SoakCommand {
 public:
  explicit SoakCommand(CLI::App& app);
  SoakCommand(const SoakCommand&) = delete;
  SoakCommand& operator=(const SoakCommand&) = delete;

  bool named() const { return soak_->parsed(); }
  /// 0: no rule was broken; 1: one was; 3: void, for this machine was late itself.
  int run();

 private:
  CLI::App* soak_;
  SoakPlan plan_;
  double seconds_ = 20;
  std::uint64_t seeds_ = 1;
};

}  // namespace hollyrun::lab
