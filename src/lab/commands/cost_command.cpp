#include <spdlog/fmt/fmt.h>

#include <vector>

#include "lab/commands/commands.hpp"
#include "lab/commands/exit_codes.hpp"
#include "lab/simulation/cost.hpp"

namespace hollyrun::lab {
namespace {

/// `cost`: measures processor time and memory of the decision module, one row per number of servers and
/// tenants.
class CostCommand final : public Command {
 public:
  explicit CostCommand(CLI::App& app)
      : Command(app, "cost", "measure processor time and memory of the decision module alone") {
    CLI::App& options = subcommand();
    options.add_option("--hosts", hostCounts_, "numbers of servers to measure")->check(CLI::Range(1, 60000));
    options.add_option("--tenants", tenantCounts_, "numbers of tenants to measure")
        ->check(CLI::Range(0, 1000000));
    options.add_option("--classes", settings_.classes, "number of classes")->check(CLI::Range(1, 10000));
    options.add_option("--gateways", settings_.gateways, "number of gateways in the fleet")
        ->check(CLI::Range(1, 100000));
    options
        .add_option("--candidates", settings_.candidates,
                    "number of hosts that each decision considers; 0: all")
        ->capture_default_str();
    options.add_option("--rate", settings_.rate, "requests per second at the measured gateway")
        ->capture_default_str();
    options.add_option("--requests", settings_.requests, "number of requests per row")->capture_default_str();
    options.add_option("--seed", settings_.seed, "random seed")->capture_default_str();
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
