/// Removal of hop-by-hop header fields, which apply to a single connection and must not be forwarded
/// (RFC 9110, section 7.6.1).
#pragma once

#include <boost/beast/http/field.hpp>
#include <boost/beast/http/rfc7230.hpp>
#include <string>
#include <vector>

namespace hollyrun::gateway {

/// Removes the standard hop-by-hop fields and all fields that `Connection` lists from a request or response.
template <class Message>
void removeHopByHopHeaders(Message& message) {
  namespace http = boost::beast::http;
  std::vector<std::string> listedNames;
  for (const auto& token : http::token_list(message[http::field::connection]))
    listedNames.push_back(token.to_string());
  for (const std::string& name : listedNames)
    message.erase(name);
  for (const http::field field :
       {http::field::connection, http::field::keep_alive, http::field::proxy_connection, http::field::te,
        http::field::trailer, http::field::transfer_encoding, http::field::upgrade, http::field::expect})
    message.erase(field);
}

}  // namespace hollyrun::gateway
