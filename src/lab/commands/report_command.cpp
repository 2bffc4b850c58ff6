#include <spdlog/fmt/fmt.h>

#include <cstdint>
#include <stdexcept>
#include <string>
#include <vector>

#include "lab/commands/commands.hpp"
#include "lab/commands/exit_codes.hpp"
#include "lab/commands/simulation_options.hpp"
#include "lab/commands/text_file.hpp"
#include "lab/report/report.hpp"
#include "lab/report/store.hpp"

namespace hollyrun::lab {
namespace {

/// `report`: lists stored runs, or writes them to an HTML file.
class ReportCommand final : public Command {
 public:
  explicit ReportCommand(CLI::App& app)
      : Command(app, "report", "list stored runs, or write them to an HTML file with plots") {
    CLI::App& options = subcommand();
    options.add_option("--db", database_, "SQLite file with the results")
        ->required()
        ->check(CLI::ExistingFile);
    options.add_option("--run", runIds_, "ids of runs; default: all runs, without plots");
    options.add_option("--label", label_, "select only runs with this label");
    options.add_option("--out", outputFile_, "HTML file to write; default: print a list");
  }

  int run() override {
    const std::vector<StoredRun> runs = readRuns();
    if (runs.empty())
      throw std::runtime_error("no matching runs in " + database_);
    if (outputFile_.empty()) {
      printList(runs);
      return kExitSuccess;
    }
    writeTextFile(outputFile_, htmlOf(runs));
    fmt::print("{}: {} runs\n", outputFile_, runs.size());
    return kExitSuccess;
  }

 private:
  std::vector<StoredRun> readRuns() const {
    Store store(database_);
    if (runIds_.empty())
      return store.runs(label_ == kDefaultLabel ? "" : label_);
    std::vector<StoredRun> runs;
    for (const std::int64_t id : runIds_)
      runs.push_back(store.run(id));
    return runs;
  }

  static void printList(const std::vector<StoredRun>& runs) {
    fmt::print("run label ");
    printResultHeader();
    for (const StoredRun& stored : runs)
      fmt::print("{} {} {}\n", stored.id, stored.label, lineOf(stored.result));
  }

  std::string database_;
  std::string label_ = kDefaultLabel;  // this label selects all runs, even if given explicitly
  std::string outputFile_;
  std::vector<std::int64_t> runIds_;
};

}  // namespace

std::unique_ptr<Command> addReportCommand(CLI::App& app) {
  return std::make_unique<ReportCommand>(app);
}

}  // namespace hollyrun::lab
