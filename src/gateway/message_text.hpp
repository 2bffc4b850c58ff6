/// Serialization of complete HTTP messages.
#pragma once

#include <boost/asio/buffer.hpp>
#include <boost/beast/http/message.hpp>
#include <boost/beast/http/serializer.hpp>
#include <boost/system/error_code.hpp>
#include <cstddef>
#include <string>

namespace hollyrun::gateway {

/// Returns head and body as sent on the wire. The message must already state its length or its transfer
/// coding, as prepare_payload() sets them.
template <bool isRequest, class Body>
std::string serialized(const boost::beast::http::message<isRequest, Body>& message) {
  boost::beast::http::serializer<isRequest, Body> serializer(message);
  std::string text;
  while (!serializer.is_done()) {
    boost::system::error_code error;
    serializer.next(error, [&](boost::system::error_code&, const auto& buffers) {
      std::size_t consumed = 0;
      for (auto it = boost::asio::buffer_sequence_begin(buffers);
           it != boost::asio::buffer_sequence_end(buffers); ++it) {
        const boost::asio::const_buffer part(*it);
        text.append(static_cast<const char*>(part.data()), part.size());
        consumed += part.size();
      }
      serializer.consume(consumed);
    });
    if (error)
      break;
  }
  return text;
}

}  // namespace hollyrun::gateway
