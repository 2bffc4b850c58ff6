// Simulates a day of the platform in virtual time: clients, gateways, the network between zones, servers and
// discovery, as the platform's documentation describes them. Gateways decide through a Policy; everything
// else is drawn from the scenario and the seed, so the same day gives the same result, byte for byte.
#pragma once

#include <array>
#include <cstdint>
#include <string>
#include <vector>

#include "lab/simulation/checker.hpp"
#include "lab/simulation/policy.hpp"
#include "lab/simulation/scenario.hpp"

namespace hollyrun::lab {

/// The outcome of the calls that arrived in one second. A call is a client's first request with its retries;
/// an attempt is a request of a gateway to a server. Values are priority weight times work.
struct Second {
  double offeredValue = 0, inTimeValue = 0, lateValue = 0;  // of the calls that arrived in this second
  std::uint32_t calls = 0, requests = 0, rejected = 0, failed = 0, attempts = 0;
  std::uint32_t rejectedAttempts = 0, timeouts = 0, connectFailed = 0, resets = 0,
                errors = 0;      // outcomes of attempts
  double sheddingThreshold = 0;  // mean over the gateways, the maximum in this second
  double p50 = 0, p99 = 0;       // ms, of the served calls
};

enum class ServerState : std::uint8_t { usual, cold, choked, slowed, paused, silent, draining, gone };
const char* nameOf(ServerState state);

struct ServerRecord {
  std::string address, zone, kind;
  double cores = 0, speed = 0;
  std::vector<Server::Choke> chokes;
  std::vector<float> inFlight;      // requests at the server, sampled every 250 ms
  std::vector<ServerState> states;  // sampled at the same times
};

struct ClassRecord {
  std::string name;
  double offeredValue = 0, servedValue = 0;
  std::uint32_t calls = 0, inTime = 0, late = 0, rejected = 0, failed = 0;
};

struct Result {
  std::string scenario, policy;
  std::uint64_t seed = 0;
  // Goodput is the served share of the offered value: of the day, of its worst 10 s and of its worst class.
  double score = 0, goodput = 0, worstWindowGoodput = 0, worstClassGoodput = 0;
  double worstWindowStartS = 0;
  // Deductions from the score.
  double priceCrossZone = 0, priceWaste = 0, priceLateFail = 0, priceHandshake = 0, priceChoke = 0;
  std::uint64_t calls = 0, requests = 0, attempts = 0, connections = 0, events = 0;
  std::uint64_t digest = 0;                   // of all actions of the policies, in their order
  double rejectedShare = 0, failedShare = 0;  // of the calls, after all retries
  double chokedShare = 0;                     // of the servers: those that choked at any time
  double p50 = 0, p90 = 0, p99 = 0;           // ms from a call's first request to its successful response
  std::vector<ClassRecord> classes;
  std::vector<Second> seconds;
  std::vector<ServerRecord> servers;
  std::vector<Breach> breaches;
  std::vector<std::string> timeline;   // faults and their effects, with their times
  std::vector<std::string> policyLog;  // the first few hundred log lines of the policies
};

/// Simulates one day. Throws std::logic_error if the policy violates its interface, as with an unknown
/// request or host.
Result play(const Scenario& scenario, std::uint64_t seed, const std::string& policyName,
            const PolicyFactory& makePolicy);

}  // namespace hollyrun::lab
