// What the gateway is told at its start: GW_* variables and the file, the platform's JSON or a person's TOML,
// as typed settings. gateway/config_schema.hpp holds the table of all keys.
#pragma once

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/ip/udp.hpp>
#include <chrono>
#include <cstddef>
#include <functional>
#include <memory>
#include <nlohmann/json_fwd.hpp>
#include <optional>
#include <stdexcept>
#include <string>
#include <string_view>
#include <vector>

#include "gateway/endpoint_list.hpp"
#include "gateway/log.hpp"
#include "hollyrun/balancer.hpp"

namespace hollyrun::gateway {

using tcp = boost::asio::ip::tcp;
using udp = boost::asio::ip::udp;

struct BadConfig : std::runtime_error {
  using std::runtime_error::runtime_error;
};

struct MembershipConfig {
  udp::endpoint listen;
  std::optional<udp::endpoint> advertise;  // where others reach it; none: at the address it listens on
  std::string fleet = "fleet", region;
  std::vector<udp::endpoint> seeds;
  balancer::Duration period = std::chrono::seconds(1);
};

struct Config {
  std::string name;
  tcp::endpoint listen, discovery;
  std::optional<tcp::endpoint> management;  // operators' address; none: that part is off
  std::string tmp = "/tmp";                 // the one folder that may be written to
  std::size_t memoryBytes = 64 << 20;       // that it may hold
  std::size_t sockets = 1024;               // file descriptors that the process may hold
  balancer::Duration connectTimeout{};      // for a new connection to a host
  balancer::Settings module;                // for the decisions
  LogSettings log;
  std::optional<MembershipConfig> membership;  // none: that part is off
  std::optional<EndpointList> known;           // hosts as last had; may be old
  std::shared_ptr<const nlohmann::json> source;
  std::vector<std::string> warnings;  // of the file: keys that nobody knows
};

using Environment = std::function<const char*(const char*)>;  // as getenv

// Both throw BadConfig with one line that says what is wrong. With a running configuration, a needed key that
// it has may not be missing.
Config readConfig(const Environment& environment, const Config* running = nullptr);
Config parseConfig(const nlohmann::json& json, const Environment& environment,
                   const Config* running = nullptr);

}  // namespace hollyrun::gateway
