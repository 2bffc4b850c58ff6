/// The gateway's configuration as typed settings, from the GW_* variables and from a file in the platform's
/// JSON or the operators' TOML. gateway/config_schema.hpp lists all keys.
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

/// Membership among the gateways of a fleet. Addresses are IPv4: a member's record holds no other.
struct MembershipConfig {
  udp::endpoint listen;
  std::optional<udp::endpoint> advertise;  ///< where other gateways reach it; none: `listen`
  std::string fleet = "fleet";             ///< 1 to 64 bytes without control characters
  std::string region;                      ///< 0 to 64 bytes without control characters
  std::vector<udp::endpoint> seeds;
  balancer::Duration period = std::chrono::seconds(1);  ///< between probes, at least 10 ms
};

struct Config {
  std::string name;  ///< with membership 1 to 64 bytes without control characters
  tcp::endpoint listen;
  tcp::endpoint discovery;
  std::optional<tcp::endpoint> management;  ///< for operators; none: management is off
  std::string tmp = "/tmp";                 ///< the only directory that the gateway writes to
  std::size_t memoryBytes = 64 << 20;       ///< memory limit of the process, above 0
  std::size_t sockets = 1024;               ///< limit of file descriptors of the process, 64 to 2^30
  balancer::Duration connectTimeout{};      ///< of a new connection to an upstream host, above 0
  balancer::Settings module;                ///< of the decision module
  LogSettings log;
  std::optional<MembershipConfig> membership;    ///< none: membership is off
  std::optional<EndpointList> cachedEndpoints;   ///< as the platform knew them last; may be out of date
  std::shared_ptr<const nlohmann::json> source;  ///< what this was parsed from, in the platform's form
  std::vector<std::string> warnings;             ///< about the file: unknown keys
};

/// The value of a variable, null if it is not set; as std::getenv.
using Environment = std::function<const char*(const char* variable)>;

/// Reads the file that GW_CONFIG names. Throws ConfigError with one line that names what is wrong.
///
/// `running` is the configuration in effect at a reload: a required key that it has must not be missing, and
/// the file's address of discovery then overrides GW_DISCOVERY, which only holds for the start.
Config readConfig(const Environment& environment, const Config* running = nullptr);

/// Parses the platform's JSON form, `root`; variables override it. Throws as readConfig.
Config parseConfig(const nlohmann::json& root, const Environment& environment,
                   const Config* running = nullptr);

}  // namespace hollyrun::gateway
