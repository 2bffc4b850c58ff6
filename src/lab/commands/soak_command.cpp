#include <cmath>
#include <cstdint>
#include <cstdio>
#include <map>
#include <string>

#include "lab/commands/commands.hpp"
#include "lab/commands/exit_codes.hpp"
#include "lab/soak/soak.hpp"

namespace hollyrun::lab {
namespace {

const char* nameOf(SoakVerdict verdict) {
  switch (verdict) {
    case SoakVerdict::pass:
      return "pass";
    case SoakVerdict::broken:
      return "BROKEN";
    case SoakVerdict::voided:
      return "void";
  }
  return "";
}

void print(std::uint64_t seed, const SoakResult& result) {
  std::printf(
      "seed %llu: %s, %zu requests, %zu served, %zu refused, %zu faults, event loop delayed by at most %.0f "
      "ms\n",
      static_cast<unsigned long long>(seed), nameOf(result.verdict), result.requests, result.served,
      result.refused, result.soakFaults.size(), result.lagMs);
  for (const SoakViolation& violation : result.violations)
    std::printf("  %s %s: %s\n", std::string(lab::nameOf(violation.rule)).c_str(), violation.request.c_str(),
                violation.text.c_str());
  if (result.verdict == SoakVerdict::broken)
    for (std::size_t i = 0; i < result.soakFaults.size(); ++i)
      std::printf("  fault %zu: %s\n", i, textOf(result.soakFaults[i]).c_str());
  if (!result.logDirectory.empty())
    std::printf("  logs in %s\n", result.logDirectory.c_str());
  std::fflush(stdout);
}

/// `soak`: runs one seed after the other and checks each.
class SoakCommand final : public Command {
 public:
  explicit SoakCommand(CLI::App& app);
  int run() override;

 private:
  SoakPlan plan_;
  double seconds_ = 20;
  std::uint64_t seeds_ = 1;
};

SoakCommand::SoakCommand(CLI::App& app)
    : Command(app, "soak",
              "run gateway processes under overlapping faults and check what their peers observe") {
  CLI::App& options = subcommand();
  options.add_option("--program", plan_.program, "path of the hollyrun executable")->required();
  options.add_option("--library", plan_.library,
                     "path of the fault library; none: no system call or clock faults");
  options.add_option("--seed", plan_.seed, "the first seed");
  options.add_option("--seeds", seeds_, "number of consecutive seeds to run");
  options.add_option("--for", seconds_, "duration of the load in seconds")->check(CLI::Range(5.0, 3600.0));
  options.add_option("--gateways", plan_.gateways, "number of gateway processes")->check(CLI::Range(1, 40));
  options.add_option("--rate", plan_.rate, "requests per second, summed over all gateways");
  options.add_option("--only", plan_.only, "indices of the faults to inject, to reduce a failing seed")
      ->delimiter(',');
  options.add_flag("--keep-logs", plan_.keepLogs, "keep the processes' configurations and logs");
}

int SoakCommand::run() {
  plan_.length = std::chrono::milliseconds(std::llround(seconds_ * 1000));
  std::map<std::string, std::size_t> kinds, pairs;
  std::size_t broken = 0, voided = 0;
  const std::uint64_t first = plan_.seed;
  for (; plan_.seed < first + seeds_; ++plan_.seed) {
    const SoakResult result = playSoak(plan_);
    print(plan_.seed, result);
    broken += result.verdict == SoakVerdict::broken ? 1 : 0;
    voided += result.verdict == SoakVerdict::voided ? 1 : 0;
    for (const SoakFault& soakFault : result.soakFaults)
      ++kinds[lab::nameOf(soakFault.kind)];
    for (const auto& [pair, count] : overlaps(result.soakFaults))
      pairs[pair] += count;
  }
  for (const auto& [kind, count] : kinds)
    std::printf("%6zu %s\n", count, kind.c_str());
  std::printf("%zu of %zu pairs of fault kinds overlapped\n", pairs.size(),
              kSoakFaultKinds * (kSoakFaultKinds + 1) / 2);
  std::printf("%llu seeds: %zu broken, %zu void\n", static_cast<unsigned long long>(seeds_), broken, voided);
  return broken > 0 ? kExitRuleBroken : voided > 0 ? kExitVoid : kExitSuccess;
}

}  // namespace

std::unique_ptr<Command> addSoakCommand(CLI::App& app) {
  return std::make_unique<SoakCommand>(app);
}

}  // namespace hollyrun::lab
