// The form of a client's request: what its parts name, whether its framing is clear, and what is not passed
// on.
#pragma once

#include <boost/beast/core/string.hpp>
#include <boost/beast/http/field.hpp>
#include <boost/beast/http/rfc7230.hpp>
#include <boost/beast/http/status.hpp>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include "gateway/upstream_pool.hpp"

namespace hollyrun::gateway {

/// The first part of the path: "checkout" of "/checkout/7?x=1"; empty if the target is no path.
std::string_view firstPart(boost::beast::string_view target);

/// The value of one cookie, or nothing.
std::string_view cookie(boost::beast::string_view header, std::string_view name);

/// A key as hexadecimal digits have it; of any other text a hash.
std::uint64_t keyOf(std::string_view text);

/// A target may name the server, too (RFC 9112, 3.2.2); that goes before Host then. False if it names none.
bool toOriginForm(HttpRequest& message);

/// `ok` if the message has one clear end (RFC 9112, 6), else the status to answer.
boost::beast::http::status judgeFraming(const HttpRequest& message, bool hasBody);

/// Takes out what concerns one connection only and is not passed on (RFC 9110, 7.6.1).
template <class Message>
void stripHop(Message& message) {
  namespace http = boost::beast::http;
  std::vector<std::string> named;
  for (const auto& token : http::token_list(message[http::field::connection]))
    named.push_back(token.to_string());
  for (const std::string& name : named)
    message.erase(name);
  for (const http::field f :
       {http::field::connection, http::field::keep_alive, http::field::proxy_connection, http::field::te,
        http::field::trailer, http::field::transfer_encoding, http::field::upgrade, http::field::expect})
    message.erase(f);
}

}  // namespace hollyrun::gateway
