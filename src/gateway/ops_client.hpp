// Asks running gateways at their management addresses, for the commands of the program.
#pragma once

#include <boost/asio/ip/tcp.hpp>
#include <chrono>
#include <string>
#include <vector>

namespace hollyrun::gateway {

/// The body of a 200 answer to GET `target`. Throws std::runtime_error that names the address and what was
/// wrong.
std::string askOps(const boost::asio::ip::tcp::endpoint& at, const std::string& target,
                   std::chrono::milliseconds wait = std::chrono::seconds(3));

/// The members as each of these gateways sees them, as text; `agree` turns false where a view differs from
/// another's or members serve by other settings. Throws as askOps, and std::invalid_argument on an address.
std::string fleetTable(const std::vector<std::string>& addresses, bool& agree);

}  // namespace hollyrun::gateway
