/// A subcommand of hollyrun-lab.
#pragma once

#include <CLI/CLI.hpp>

namespace hollyrun::lab {

/// The constructor adds the subcommand and its options to the program. Parsed options are stored in this
/// object, which must therefore outlive the parsing.
class Command {
 public:
  Command(CLI::App& app, const char* name, const char* description)
      : subcommand_(*app.add_subcommand(name, description)) {}
  virtual ~Command() = default;
  Command(const Command&) = delete;
  Command& operator=(const Command&) = delete;

  /// Returns whether the command line selects this subcommand.
  bool parsed() const { return subcommand_.parsed(); }
  /// Returns an exit code. Throws std::exception if an argument, a scenario or a file is invalid.
  virtual int run() = 0;

 protected:
  CLI::App& subcommand() { return subcommand_; }

 private:
  CLI::App& subcommand_;
};

}  // namespace hollyrun::lab
