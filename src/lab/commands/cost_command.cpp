#include <spdlog/fmt/fmt.h>

#include <vector>

#include "lab/commands/commands.hpp"
#include "lab/commands/exit_codes.hpp"
#include "lab/simulation/cost.hpp"

namespace hollyrun::lab {
namespace {

/// `cost`: processor time and memory of the decision module, a row for each number of servers and tenants.
class CostCommand final : public Command {
 public:
  explicit CostCommand(CLI::App& app)
      : Command(app, "cost", "processor time and memory of the decision module alone") {
    CLI::App& options = subcommand();
    options.add_option("--hosts", hostCounts_, "numbers of servers")->check(CLI::Range(1, 60000));
    options.add_option("--tenants", tenantCounts_, "numbers of tenants")->check(CLI::Range(0, 1000000));
    options.add_option("--classes", settings_.classes, "number of classes")->check(CLI::Range(1, 10000));
    options.add_option("--gateways", settings_.gateways, "in the fleet")->check(CLI::Range(1, 100000));
    options.add_option("--candidates", settings_.candidates, "hosts to choose from; 0: all")
        ->capture_default_str();
    options.add_option("--rate", settings_.rate, "requests a second of the one gateway")
        ->capture_default_str();
    options.add_option("--requests", settings_.requests, "played for each row")->capture_default_str();
    options.add_option("--seed", settings_.seed, "of all that is drawn")->capture_default_str();
  }

  int run() override {
    std::vector<CostRow> rows;
    for (const std::size_t hosts : hostCounts_)
      for (const std::size_t tenants : tenantCounts_) {
        CostSettings settings = settings_;
        settings.hosts = hosts;
        settings.tenants = tenants;
        rows.push_back(measureCost(settings));
      }
    fmt::print("{}", textOf(rows));
    return kExitSuccess;
  }

 private:
  std::vector<std::size_t> hostCounts_{200, 1000, 4800};
  std::vector<std::size_t> tenantCounts_{0, 27000};
  CostSettings settings_;
};

}  // namespace

std::unique_ptr<Command> addCostCommand(CLI::App& app) {
  return std::make_unique<CostCommand>(app);
}

}  // namespace hollyrun::lab
