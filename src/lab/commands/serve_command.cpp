#include <spdlog/fmt/fmt.h>
#include <spdlog/spdlog.h>

#include <boost/asio/signal_set.hpp>
#include <chrono>
#include <csignal>
#include <cstdio>
#include <string>

#include "lab/commands/commands.hpp"
#include "lab/commands/exit_codes.hpp"
#include "lab/commands/periodic_task.hpp"
#include "lab/commands/process_options.hpp"
#include "lab/commands/text_file.hpp"
#include "lab/testbed/fleet.hpp"
#include "lab/testbed/platform.hpp"

namespace hollyrun::lab {
namespace {

constexpr std::chrono::seconds kStateLogInterval{5};

/// `serve`: runs the emulated platform until interrupted or for a given time.
class ServeCommand final : public Command {
 public:
  explicit ServeCommand(CLI::App& app)
      : Command(app, "serve", "run the emulated platform on loopback in real time") {
    emulation_.addTo(subcommand());
    subcommand().add_option("--write", configFile_, "file to write a gateway configuration to");
    subcommand().add_option("--for", durationS_, "duration in seconds; 0: until interrupted");
  }

  int run() override {
    const Scenario scenario = emulation_.read();
    asio::io_context io(1);
    Platform platform(io, scenario, emulation_.seed, nullptr);
    const std::string discovery = textOf(platform.addAgent());
    const ReservedPort listen(io);
    const ReservedPort management(io);
    fmt::print("discovery   {}\n{} record servers: {}\n", discovery, platform.servers(),
               platform.stateLine());
    if (!configFile_.empty())
      writeConfiguration(scenario, textOf(listen.endpoint()), discovery, textOf(management.endpoint()));
    std::fflush(stdout);
    runUntilStopped(io, platform);
    return kExitSuccess;
  }

 private:
  /// Writes the configuration of a gateway for this platform and prints commands that use it.
  void writeConfiguration(const Scenario& scenario, const std::string& listen, const std::string& discovery,
                          const std::string& management) const {
    const DrawnDay day(scenario, emulation_.seed);
    writeTextFile(configFile_, configOf(scenario, day, 0, 1, listen, discovery, management));
    fmt::print(
        "gateway     hollyrun serve --config {}\nrecord      curl -H 'X-Request-Id: 1' http://{}/{}/1\n",
        configFile_, listen, scenario.classes.front().settings.name);
    fmt::print("load        hollyrun-lab load {} --to {}\n", emulation_.file(), listen);
  }

  void runUntilStopped(asio::io_context& io, const Platform& platform) const {
    asio::signal_set signals(io, SIGINT, SIGTERM);
    signals.async_wait([&io](error_code, int) { io.stop(); });
    asio::steady_timer end(io);
    if (durationS_ > 0) {
      end.expires_after(seconds(durationS_));
      end.async_wait([&io](error_code) { io.stop(); });
    }
    const PeriodicTask stateLog(io, kStateLogInterval, [&platform] {
      if (platform.requestsInFlight() > 0)
        spdlog::info("requests in flight: {}", platform.stateLine());
    });
    io.run();
  }

  EmulationOptions emulation_;
  std::string configFile_;
  double durationS_ = 0;
};

}  // namespace

std::unique_ptr<Command> addServeCommand(CLI::App& app) {
  return std::make_unique<ServeCommand>(app);
}

}  // namespace hollyrun::lab
