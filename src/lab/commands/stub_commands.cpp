#include <csignal>

#include "lab/commands/commands.hpp"
#include "lab/testbed/stub_gateway.hpp"
#include "lab/testbed/stub_server.hpp"

namespace hollyrun::lab {
namespace {

/// `stub-servers`: a process of stub servers, started by `scale`.
class StubServersCommand final : public Command {
 public:
  explicit StubServersCommand(CLI::App& app)
      : Command(app, "stub-servers", "run stub servers that do no work (started by `scale`)") {
    subcommand().add_option("--first-address", plan_.firstAddress)->required();
    subcommand().add_option("--count", plan_.count)->required();
    subcommand().add_option("--answer-ms", plan_.answerMs)->required();
  }

  int run() override {
    std::signal(SIGPIPE, SIG_IGN);  // a closed connection is reported by the error of the write
    return runStubServers(plan_);
  }

 private:
  StubServerPlan plan_;
};

/// `stub-gateways`: a process of stub gateways, started by `scale`.
class StubGatewaysCommand final : public Command {
 public:
  explicit StubGatewaysCommand(CLI::App& app)
      : Command(app, "stub-gateways", "run stub gateways without clients (started by `scale`)") {
    subcommand().add_option("--first", plan_.first)->required();
    subcommand().add_option("--count", plan_.count)->required();
    subcommand().add_option("--config", plan_.config)->required();
    subcommand().add_option("--discovery", plan_.discovery)->required();
    subcommand().add_option("--seeds", plan_.seeds);
  }

  int run() override {
    std::signal(SIGPIPE, SIG_IGN);  // a closed connection is reported by the error of the write
    return runStubGateways(plan_);
  }

 private:
  StubGatewayPlan plan_;
};

}  // namespace

std::unique_ptr<Command> addStubServersCommand(CLI::App& app) {
  return std::make_unique<StubServersCommand>(app);
}

std::unique_ptr<Command> addStubGatewaysCommand(CLI::App& app) {
  return std::make_unique<StubGatewaysCommand>(app);
}

}  // namespace hollyrun::lab
