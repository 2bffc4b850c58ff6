/// HTTP message types shared by the downstream and the upstream side of the gateway.
#pragma once

#include <boost/beast/http/fields.hpp>
#include <boost/beast/http/message.hpp>
#include <boost/beast/http/string_body.hpp>
#include <cstdint>
#include <string>

#include "gateway/memory_account.hpp"

namespace hollyrun::gateway {

/// A message whose head and body are counted in the account of memory for as long as they are held.
template <bool isRequest, MemoryUse headUse, MemoryUse bodyUse>
using CountedMessage = boost::beast::http::message<
    isRequest,
    boost::beast::http::basic_string_body<char, std::char_traits<char>, CountedAllocator<char, bodyUse>>,
    boost::beast::http::basic_fields<CountedAllocator<char, headUse>>>;

using HttpRequest = CountedMessage<true, MemoryUse::requestHead, MemoryUse::requestBody>;
using HttpResponse = CountedMessage<false, MemoryUse::response, MemoryUse::response>;

/// Maximum size of a message head in bytes; a message with a larger one is rejected.
inline constexpr std::uint32_t kHeaderLimit = 16 << 10;

}  // namespace hollyrun::gateway
