/// The gateway's configuration as typed settings. It is read from the GW_* environment variables and from a
/// file, in the platform's JSON or in TOML for operators. gateway/config_schema.hpp lists all keys.
#pragma once

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/ip/udp.hpp>
#include <chrono>
#include <cstddef>
#include <functional>
#include <memory>
#include <nlohmann/json_fwd.hpp>
#include <optional>
#include <string>
#include <vector>

#include "gateway/config_error.hpp"
#include "gateway/endpoint_list.hpp"
#include "gateway/log.hpp"
#include "hollyrun/balancer.hpp"

namespace hollyrun::gateway {

using tcp = boost::asio::ip::tcp;
using udp = boost::asio::ip::udp;

/// Settings of the membership protocol among the gateways of a fleet. Addresses are IPv4, the only kind that
/// member records support.
struct MembershipConfig {
  udp::endpoint listen;
  std::optional<udp::endpoint> advertise;  ///< address that other gateways send to; absent: `listen`
  std::string fleet = "fleet";             ///< name of the fleet; 1 to 64 bytes without control characters
  std::string region;                      ///< 0 to 64 bytes without control characters
  std::vector<udp::endpoint> seeds;        ///< members that a joining gateway contacts
  balancer::Duration period = std::chrono::seconds(1);  ///< interval between probes; at least 10 ms
};

struct Config {
  std::string name;  ///< with membership: 1 to 64 bytes without control characters
  tcp::endpoint listen;
  tcp::endpoint discovery;
  std::optional<tcp::endpoint> management;  ///< address for operators; absent: disabled
  std::string temporaryDirectory = "/tmp";  ///< the only directory that the gateway writes to
  std::size_t memoryBytes = 64 << 20;       ///< memory limit of the process; above 0
  std::size_t sockets = 1024;               ///< file descriptor limit of the process, 64 to 2^30
  balancer::Duration connectTimeout{};      ///< for connecting to an upstream host; above 0
  balancer::Settings balancer;
  LogSettings log;
  std::optional<MembershipConfig> membership;    ///< absent: membership is disabled
  std::optional<EndpointList> cachedEndpoints;   ///< last list known to the platform; may be outdated
  std::shared_ptr<const nlohmann::json> source;  ///< the parsed JSON, in the platform's form
  std::vector<std::string> warnings;             ///< unknown keys of the file
};

/// Returns the value of an environment variable, or null if it is not set, like std::getenv.
using Environment = std::function<const char*(const char* variable)>;

/// Reads the file that GW_CONFIG names. Throws ConfigError with a one-line message.
///
/// `running` is the configuration in effect, given at a reload. The file must then have every required key of
/// `running`, and its address of discovery overrides GW_DISCOVERY, which only applies at the start.
Config readConfig(const Environment& environment, const Config* running = nullptr);

/// Parses a configuration in the platform's JSON form. Environment variables override it. Throws like
/// readConfig.
Config parseConfig(const nlohmann::json& root, const Environment& environment,
                   const Config* running = nullptr);

}  // namespace hollyrun::gateway
