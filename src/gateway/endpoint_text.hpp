/// The text form of an endpoint in settings, endpoint lists and requests: "127.0.0.1:8080".
#pragma once

#include <boost/asio/ip/basic_endpoint.hpp>
#include <string>

namespace hollyrun::gateway {

/// Returns "address:port" in the form that parseEndpoint reads; an IPv6 address has no brackets.
template <class Protocol>
std::string textOf(const boost::asio::ip::basic_endpoint<Protocol>& endpoint) {
  return endpoint.address().to_string() + ":" + std::to_string(endpoint.port());
}

}  // namespace hollyrun::gateway
