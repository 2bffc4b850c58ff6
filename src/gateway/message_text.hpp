/// Serialization of HTTP messages.
#pragma once

#include <boost/asio/buffer.hpp>
#include <boost/beast/http/message.hpp>
#include <boost/beast/http/serializer.hpp>
#include <boost/system/error_code.hpp>
#include <cstddef>
#include <string>
#include <string_view>

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

inline std::string_view viewOf(boost::beast::string_view text) {
  return {text.data(), text.size()};
}

/// Returns the fields as sent on the wire, each with its line end, in a string without spare capacity.
template <class String, class Fields>
String fieldsText(const Fields& fields, std::string_view startLine) {
  constexpr std::size_t kFieldFramingBytes = 4;
  std::size_t bytes = startLine.size();
  for (const auto& field : fields)
    bytes += field.name_string().size() + field.value().size() + kFieldFramingBytes;
  String text;
  text.reserve(bytes);
  text.append(startLine);
  for (const auto& field : fields) {
    text.append(viewOf(field.name_string())).append(": ");
    text.append(viewOf(field.value())).append("\r\n");
  }
  return text;
}

/// Returns the status line and the fields of a response, without the empty line that ends its head.
template <class String, class Fields>
String responseHeadText(const boost::beast::http::header<false, Fields>& head) {
  std::string statusLine = "HTTP/1.1 " + std::to_string(head.result_int()) + " ";
  statusLine.append(viewOf(head.reason())).append("\r\n");
  return fieldsText<String>(head, statusLine);
}

}  // namespace hollyrun::gateway
