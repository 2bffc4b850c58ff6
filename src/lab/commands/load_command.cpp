#include <spdlog/fmt/fmt.h>
#include <spdlog/spdlog.h>

#include <boost/asio/signal_set.hpp>
#include <chrono>
#include <csignal>
#include <cstdlib>
#include <stdexcept>
#include <string>
#include <vector>

#include "lab/commands/commands.hpp"
#include "lab/commands/exit_codes.hpp"
#include "lab/commands/periodic_task.hpp"
#include "lab/commands/process_options.hpp"
#include "lab/report/report.hpp"
#include "lab/testbed/load.hpp"
#include "lab/testbed/platform.hpp"

namespace hollyrun::lab {
namespace {

constexpr std::chrono::seconds kProgressInterval{1};
constexpr double kDefaultDurationS = 10;
constexpr int kMaxPort = 65535;

/// Parses ADDRESS:PORT. Only loopback addresses are accepted, so that the load never reaches another machine.
tcp::endpoint parseLoopbackEndpoint(const std::string& text) {
  const auto colon = text.rfind(':');
  error_code error;
  const auto address = asio::ip::make_address(text.substr(0, colon), error);
  const int port = colon == std::string::npos ? 0 : std::atoi(text.c_str() + colon + 1);
  if (error || port < 1 || port > kMaxPort)
    throw std::runtime_error("--to: invalid endpoint '" + text + "', expected ADDRESS:PORT");
  if (!address.is_loopback())
    throw std::runtime_error("--to: '" + text + "' is not a loopback address; load is sent to loopback only");
  return {address, static_cast<unsigned short>(port)};
}

void logProgress(const Load& load) {
  const Result result = load.result();
  spdlog::info("{} calls, {} in flight, goodput {:.3f}, p99 {:.1f} ms", result.calls, load.openCalls(),
               result.goodput, result.p99);
}

void printLatencies(const Latencies& latencies) {
  fmt::print("response times in ms: p50 {:.2f}  p90 {:.2f}  p99 {:.2f}  p99.9 {:.2f}\n",
             latencies.percentile(0.5), latencies.percentile(0.9), latencies.percentile(0.99),
             latencies.percentile(0.999));
}

/// How the load generation ended.
enum class LoadEnd { completed, interrupted };

/// Runs the load until its last request has completed or a signal interrupts it.
LoadEnd runLoad(asio::io_context& io, Load& load) {
  LoadEnd end = LoadEnd::completed;
  asio::signal_set signals(io, SIGINT, SIGTERM);
  signals.async_wait([&](error_code error, int) {
    if (error)
      return;
    end = LoadEnd::interrupted;
    io.stop();
  });
  const PeriodicTask progress(io, kProgressInterval, [&load] { logProgress(load); });
  load.start([&io] { io.stop(); });
  io.run();
  return end;
}

/// `load`: sends open-loop load to gateways on loopback.
class LoadCommand final : public Command {
 public:
  explicit LoadCommand(CLI::App& app) : Command(app, "load", "send open-loop load to gateways on loopback") {
    CLI::App& options = subcommand();
    emulation_.addTo(options);
    measurement_.addTo(options);
    options.add_option("--to", gateways_, "ADDRESS:PORT of one or more gateways")->required();
    options.add_option("--for", durationS_, "duration of the load in seconds, at most 3600 (default: 10)");
    options.add_option("--class", className_, "send only requests of this class of the scenario");
  }

  int run() override {
    const Scenario scenario = emulation_.read();
    asio::io_context io(1);
    const std::vector<Target> targets = readTargets(scenario.zones.size());
    const double capacity = capacityOf(scenario, emulation_.seed, DrawnFleet(scenario, emulation_.seed));
    const LoadPlan plan{measurement_.rate, durationS_ > 0 ? durationS_ : kDefaultDurationS, className_};
    Load load(io, scenario, emulation_.seed, plan, capacity, targets);
    const LoadEnd end = runLoad(io, load);
    const Result result = load.result();
    measurement_.store(result);
    fmt::print("{}", textOf(result));
    printLatencies(load.latencies());
    if (end == LoadEnd::interrupted)
      return kExitInterrupted;
    return result.breaches.empty() ? kExitSuccess : kExitRuleBroken;
  }

 private:
  /// Parses the gateways and assigns them to the zones in turn.
  std::vector<Target> readTargets(std::size_t zoneCount) const {
    std::vector<Target> targets;
    for (std::size_t i = 0; i < gateways_.size(); ++i) {
      const auto zone = static_cast<std::uint32_t>(i % zoneCount);
      targets.push_back({gateways_[i], parseLoopbackEndpoint(gateways_[i]), zone, true});
    }
    return targets;
  }

  EmulationOptions emulation_;
  MeasurementOptions measurement_;
  std::vector<std::string> gateways_;
  double durationS_ = 0;
  std::string className_;
};

}  // namespace

std::unique_ptr<Command> addLoadCommand(CLI::App& app) {
  return std::make_unique<LoadCommand>(app);
}

}  // namespace hollyrun::lab
