// hollyrun-lab: the model of the platform as a program.
#include <spdlog/sinks/stdout_color_sinks.h>
#include <spdlog/spdlog.h>

#include <CLI/CLI.hpp>
#include <cstdio>

#include "lab/scenario.hpp"
#include "lab/world.hpp"

using namespace hollyrun::lab;

int main(int argc, char** argv) {
  spdlog::set_default_logger(spdlog::stderr_color_mt("hollyrun-lab"));
  spdlog::set_pattern("%v");
  CLI::App app{"hollyrun lab: the decision module on a model of the record platform, in virtual time"};
  app.require_subcommand(1);
  std::string file, policy = "module";
  std::vector<std::string> set;
  std::uint64_t seed = 1;
  CLI::App* run = app.add_subcommand("run", "play a scenario");
  run->add_option("scenario", file)->required();
  run->add_option("--policy", policy);
  run->add_option("--seed", seed);
  run->add_option("--set", set);
  CLI11_PARSE(app, argc, argv);
  try {
    const Scenario s = readScenario(file, set);
    const Result r = play(s, seed, policy, policyNamed(policy));
    std::printf("%s seed %llu %s: G %.4f whole %.4f worst 10 s %.4f (from %.0f s) worst class %.4f\n",
                r.scenario.c_str(), (unsigned long long)r.seed, r.policy.c_str(), r.g, r.whole, r.worstWindow,
                r.worstAt, r.worstClass);
    std::printf(
        "prices: cross %.4f waste %.4f late %.4f handshake %.4f choke %.4f; refused %.3f failed %.3f; p50 "
        "%.1f p90 %.1f p99 %.1f; events %llu tries %llu attempts %llu conns %llu\n",
        r.priceCrossZone, r.priceWaste, r.priceLateFail, r.priceHandshake, r.priceChoke, r.refusedShare,
        r.failedShare, r.p50, r.p90, r.p99, (unsigned long long)r.events, (unsigned long long)r.tries,
        (unsigned long long)r.attempts, (unsigned long long)r.connections);
    for (size_t i = 0; i < r.seconds.size(); i += 5) {
      const auto& x = r.seconds[i];
      std::printf(
          "%3zu asked %.2f intime %.3f late %.3f refused %u failed %u attempts %u full %u to %u conn %u "
          "reset %u err %u cut %.1f\n",
          i, x.asked, x.inTime / x.asked, x.late / x.asked, x.refused, x.failed, x.attempts, x.full,
          x.timeouts, x.connectFailed, x.resets, x.errors, x.cutoff);
    }
    for (const auto& sv : r.servers)
      for (const auto& c : sv.chokes)
        std::printf("choke %s %s %.2f..%.2f held %.1f\n", sv.address.c_str(), sv.kind.c_str(),
                    inSeconds(c.from), inSeconds(c.to), c.held);
    for (const auto& h : r.happened) std::printf("%s\n", h.c_str());
    for (const auto& b : r.breaches)
      std::printf("RULE %s at %.3f request %llu server %s: %s\n", nameOf(b.rule), inSeconds(b.at),
                  (unsigned long long)b.request, b.server.c_str(), b.what.c_str());
  } catch (const std::exception& e) {
    std::fprintf(stderr, "%s\n", e.what());
    return 2;
  }
}
