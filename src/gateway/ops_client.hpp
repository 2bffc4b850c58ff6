/// Client for the management endpoints of running gateways, used by the program's commands.
#pragma once

#include <boost/asio/ip/tcp.hpp>
#include <chrono>
#include <stdexcept>
#include <string>
#include <vector>

namespace hollyrun::gateway {

enum class OpsErrorCode {
  noResponse,        ///< connection failed, or no complete response before the timeout
  unexpectedStatus,  ///< response with a status other than 200
};

/// A failed query. what() names the address and the reason in one line.
class OpsError : public std::runtime_error {
 public:
  OpsError(OpsErrorCode code, const std::string& message) : std::runtime_error(message), code_(code) {}

  OpsErrorCode code() const { return code_; }

 private:
  OpsErrorCode code_;
};

/// Sends GET `target` and returns the body of the 200 response. Blocks for at most `timeout`. Throws
/// OpsError.
std::string queryOps(const boost::asio::ip::tcp::endpoint& address, const std::string& target,
                     std::chrono::milliseconds timeout = std::chrono::seconds(3));

/// The fleet's members as seen by several gateways.
struct FleetReport {
  std::string text;         ///< a table with a row per gateway and member, followed by the differences
  bool consistent = false;  ///< whether all views are equal and all members have the same settings
};

/// Queries the gateways one after another at their management addresses, such as "127.0.0.1:8081". Throws
/// OpsError as queryOps() does, and std::invalid_argument if an address is malformed.
FleetReport queryFleet(const std::vector<std::string>& addresses);

}  // namespace hollyrun::gateway
