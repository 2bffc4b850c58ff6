// A day of the platform in virtual time: clients, gateways, the network between halls, record servers and
// discovery, after the pages of the platform. Gateways decide through a Policy; everything else is drawn from
// the scenario and the seed, so a day is the same each time, byte for byte.
#pragma once

#include <array>
#include <cstdint>
#include <string>
#include <vector>

#include "lab/simulation/checker.hpp"
#include "lab/simulation/policy.hpp"
#include "lab/simulation/scenario.hpp"

namespace hollyrun::lab {

/// What one second of arrivals came to; worths in units of work. A call is a client's first try with its
/// retries.
struct Second {
  double asked = 0, inTime = 0, late = 0;  // worth of the calls that came in this second
  std::uint32_t calls = 0, tries = 0, refused = 0, failed = 0, attempts = 0;
  std::uint32_t full = 0, timeouts = 0, connectFailed = 0, resets = 0, errors = 0;  // of attempts
  double sheddingThreshold = 0;  // the highest mean over the gateways
  double p50 = 0, p99 = 0;       // ms, of its calls that were served
};

enum class ServerState : std::uint8_t { usual, cold, choked, slowed, paused, silent, draining, gone };
const char* nameOf(ServerState state);

struct ServerRecord {
  std::string address, zone, kind;
  double cores = 0, speed = 0;
  std::vector<Server::Choke> chokes;
  std::vector<float> held;          // a quarter of a second apart
  std::vector<ServerState> states;  // likewise
};

struct ClassRecord {
  std::string name;
  double asked = 0, served = 0;  // worth
  std::uint32_t calls = 0, inTime = 0, late = 0, refused = 0, failed = 0;
};

struct Result {
  std::string scenario, policy;
  std::uint64_t seed = 0;
  double g = 0, whole = 0, worstWindow = 0, worstClass = 0;
  double worstAt = 0;  // seconds
  double priceCrossZone = 0, priceWaste = 0, priceLateFail = 0, priceHandshake = 0, priceChoke = 0;
  std::uint64_t calls = 0, tries = 0, attempts = 0, connections = 0, events = 0;
  std::uint64_t digest = 0;                  // of all actions of the policies, in their order
  double refusedShare = 0, failedShare = 0;  // of calls, at the end of all their tries
  double chokedShare = 0;                    // of the servers, at any time
  double p50 = 0, p90 = 0, p99 = 0;          // ms, of the answers that served, from the first try on
  std::vector<ClassRecord> classes;
  std::vector<Second> seconds;
  std::vector<ServerRecord> servers;
  std::vector<Breach> breaches;
  std::vector<std::string> happened;  // troubles and what came of them, with their times
  std::vector<std::string> said;      // the policies' own log lines, the first few hundred
};

/// Plays one day. Throws std::logic_error if the policy acts against the interface (an unknown request or
/// host).
Result play(const Scenario& scenario, std::uint64_t seed, const std::string& policyName,
            const PolicyMaker& policy);

}  // namespace hollyrun::lab
