/// Client of the management endpoints of running gateways, for the program's commands.
#pragma once

#include <boost/asio/ip/tcp.hpp>
#include <chrono>
#include <stdexcept>
#include <string>
#include <vector>

namespace hollyrun::gateway {

enum class OpsErrorCode {
  noResponse,        ///< no connection, no whole response, or none in time
  unexpectedStatus,  ///< a response, of another status than 200
};

/// A query that failed. what() names the address and the reason in one line.
class OpsError : public std::runtime_error {
 public:
  OpsError(OpsErrorCode code, const std::string& message) : std::runtime_error(message), code_(code) {}

  OpsErrorCode code() const { return code_; }

 private:
  OpsErrorCode code_;
};

/// The body of the 200 response to GET `target`. Blocks up to `timeout`. Throws OpsError.
std::string queryOps(const boost::asio::ip::tcp::endpoint& address, const std::string& target,
                     std::chrono::milliseconds timeout = std::chrono::seconds(3));

/// The members as each of several gateways sees them.
struct FleetReport {
  std::string text;         ///< a table with a row for each member at each gateway, then the differences
  bool consistent = false;  ///< no view differs from another's, and all members serve by the same settings
};

/// Queries the gateways one after another at their management addresses, "127.0.0.1:8081". Throws as
/// queryOps, and std::invalid_argument on an address that does not parse.
FleetReport queryFleet(const std::vector<std::string>& addresses);

}  // namespace hollyrun::gateway
