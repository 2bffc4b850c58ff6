/// An endpoint list in the form of discovery, as discovery sends it and as the configuration may hold it.
#pragma once

#include <boost/asio/ip/tcp.hpp>
#include <cstdint>
#include <nlohmann/json_fwd.hpp>
#include <string>
#include <string_view>
#include <vector>

#include "hollyrun/balancer.hpp"

namespace hollyrun::gateway {

/// One upstream host as a list describes it.
struct ListedEndpoint {
  std::string uid;                         ///< the same at every gateway, unlike the address
  boost::asio::ip::tcp::endpoint address;  ///< port 0: none stated, of a removed one
  std::string zone, machineType;
  std::int64_t cell = 0;
  balancer::EndpointState state = balancer::EndpointState::serving;
  double weight = 1;
  std::int64_t startUnixMs = 0;  ///< Unix time of its process's start in milliseconds; 0 = long ago
};

/// A snapshot (what it leaves out is removed) or a delta (changes only).
struct EndpointList {
  std::int64_t version = 0;
  bool snapshot = false;
  std::vector<ListedEndpoint> endpoints;
};

/// Throws std::invalid_argument if it is no list or contradicts itself.
EndpointList parseEndpointList(const nlohmann::json& json);

/// Parses "127.0.0.1:8080". Throws std::invalid_argument if it is no address:port.
boost::asio::ip::tcp::endpoint parseEndpoint(std::string_view text);

}  // namespace hollyrun::gateway
