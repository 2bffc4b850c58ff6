// An endpoint as it is written in settings, lists and requests: "127.0.0.1:8080".
#pragma once

#include <boost/asio/ip/basic_endpoint.hpp>
#include <string>

namespace hollyrun::gateway {

template <class Protocol>
std::string textOf(const boost::asio::ip::basic_endpoint<Protocol>& e) {
  return e.address().to_string() + ":" + std::to_string(e.port());
}

}  // namespace hollyrun::gateway
