#include <csignal>

#include "lab/commands/commands.hpp"
#include "lab/rig/hollow_gateway.hpp"
#include "lab/rig/hollow_server.hpp"

namespace hollyrun::lab {
namespace {

/// `hollow-servers`: the process of servers that `scale` starts.
class HollowServersCommand final : public Command {
 public:
  explicit HollowServersCommand(CLI::App& app)
      : Command(app, "hollow-servers", "started by `scale`: servers that do no work") {
    subcommand().add_option("--first-address", plan_.firstAddress)->required();
    subcommand().add_option("--count", plan_.count)->required();
    subcommand().add_option("--answer-ms", plan_.answerMs)->required();
  }

  int run() override {
    std::signal(SIGPIPE, SIG_IGN);  // a peer that left shows as an error of the write
    return runHollowServers(plan_);
  }

 private:
  HollowServerPlan plan_;
};

/// `hollow-gateways`: a process of gateways that `scale` starts.
class HollowGatewaysCommand final : public Command {
 public:
  explicit HollowGatewaysCommand(CLI::App& app)
      : Command(app, "hollow-gateways", "started by `scale`: gateways without clients") {
    subcommand().add_option("--first", plan_.first)->required();
    subcommand().add_option("--count", plan_.count)->required();
    subcommand().add_option("--config", plan_.config)->required();
    subcommand().add_option("--discovery", plan_.discovery)->required();
    subcommand().add_option("--seeds", plan_.seeds);
  }

  int run() override {
    std::signal(SIGPIPE, SIG_IGN);  // a peer that left shows as an error of the write
    return runHollowGateways(plan_);
  }

 private:
  HollowGatewayPlan plan_;
};

}  // namespace

std::unique_ptr<Command> addHollowServersCommand(CLI::App& app) {
  return std::make_unique<HollowServersCommand>(app);
}

std::unique_ptr<Command> addHollowGatewaysCommand(CLI::App& app) {
  return std::make_unique<HollowGatewaysCommand>(app);
}

}  // namespace hollyrun::lab
