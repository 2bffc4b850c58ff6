/// A Beast body type whose content can be moved out while the message is still being parsed.
#pragma once

#include <boost/asio/buffer.hpp>
#include <boost/beast/http/message.hpp>
#include <cstddef>
#include <string>

namespace hollyrun::gateway {

/// The parser appends to the string, and the parser's owner moves the string out between reads. Beast's own
/// string_body reserves as many bytes as Content-Length announces, so that a peer could exhaust the memory by
/// sending only a head.
template <class String>
struct BasicIncrementalBody {
  using value_type = String;
  class reader {  // NOLINT(readability-identifier-naming): Beast requires this name
   public:
    template <bool request, class Fields>
    reader(boost::beast::http::header<request, Fields>&, value_type& body) : body_(body) {}
    template <class Length>
    void init(const Length&, boost::system::error_code& ec) {
      ec = {};
    }
    template <class Buffers>
    std::size_t put(const Buffers& buffers, boost::system::error_code& ec) {
      ec = {};
      std::size_t bytes = 0;
      for (auto it = boost::asio::buffer_sequence_begin(buffers);
           it != boost::asio::buffer_sequence_end(buffers); ++it) {
        const boost::asio::const_buffer buffer(*it);
        growTo(body_.size() + buffer.size());
        body_.append(static_cast<const char*>(buffer.data()), buffer.size());
        bytes += buffer.size();
      }
      return bytes;
    }
    void finish(boost::system::error_code& ec) { ec = {}; }

   private:
    // Twice the size, as the string itself would grow, is more than the memory budget counts.
    void growTo(std::size_t bytes) {
      if (bytes > body_.capacity())
        body_.reserve(bytes + kGrowthBytes);
    }

    static constexpr std::size_t kGrowthBytes = 4 << 10;
    value_type& body_;
  };
};
using IncrementalBody = BasicIncrementalBody<std::string>;

}  // namespace hollyrun::gateway
