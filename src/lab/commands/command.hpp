/// A subcommand of hollyrun-lab.
#pragma once

#include <CLI/CLI.hpp>

namespace hollyrun::lab {

/// Adds itself and its options to the program when it is constructed. The options are stored in the object,
/// so that it must outlive the parsing.
class Command {
 public:
  Command(CLI::App& app, const char* name, const char* description)
      : subcommand_(*app.add_subcommand(name, description)) {}
  virtual ~Command() = default;
  Command(const Command&) = delete;
  Command& operator=(const Command&) = delete;

  /// Whether the command line names it.
  bool parsed() const { return subcommand_.parsed(); }
  /// Returns an exit code; throws std::exception if an argument, a scenario or a file is wrong.
  virtual int run() = 0;

 protected:
  CLI::App& subcommand() { return subcommand_; }

 private:
  CLI::App& subcommand_;
};

}  // namespace hollyrun::lab
