/// An endpoint list in the JSON format of discovery. Discovery sends it, and the configuration may contain
/// one.
#pragma once

#include <boost/asio/ip/tcp.hpp>
#include <cstdint>
#include <nlohmann/json_fwd.hpp>
#include <string>
#include <string_view>
#include <vector>

#include "hollyrun/balancer.hpp"

namespace hollyrun::gateway {

/// An upstream host as an endpoint list describes it.
struct ListedEndpoint {
  std::string uid;                         ///< The same at every gateway and independent of the address.
  boost::asio::ip::tcp::endpoint address;  ///< Port 0 if a removed host has none.
  std::string zone, machineType;
  std::int64_t cell = 0;
  balancer::EndpointState state = balancer::EndpointState::serving;
  double weight = 1;
  std::int64_t startUnixMs = 0;  ///< Unix time of the start in milliseconds; 0: unknown, treated as long ago.
};

/// A snapshot (hosts that it does not list are removed) or a delta (changes only).
struct EndpointList {
  std::int64_t version = 0;
  bool snapshot = false;
  std::vector<ListedEndpoint> endpoints;
};

/// Throws std::invalid_argument if `json` is not a valid endpoint list, or a snapshot that lists a host more
/// than once.
EndpointList parseEndpointList(const nlohmann::json& json);

/// Parses an IP address and port such as "127.0.0.1:8080". Throws std::invalid_argument for any other text.
boost::asio::ip::tcp::endpoint parseEndpoint(std::string_view text);

}  // namespace hollyrun::gateway
