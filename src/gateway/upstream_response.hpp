/// Classifies responses from upstream hosts: the outcome of the attempt and the reuse of the connection.
#pragma once

#include <boost/beast/http/parser.hpp>
#include <boost/system/error_code.hpp>

#include "gateway/incremental_body.hpp"
#include "gateway/memory_account.hpp"
#include "hollyrun/balancer.hpp"

namespace hollyrun::gateway {

using ResponseAllocator = CountedAllocator<char, MemoryUse::response>;
using ResponseParser =
    boost::beast::http::response_parser<BasicIncrementalBody<ResponseText>, ResponseAllocator>;

/// Returns the outcome of an attempt from the status and the framing of its response.
balancer::Outcome classifyResponse(const ResponseParser& parser);

/// Returns the outcome of an attempt whose response could not be read, because the connection ended or the
/// bytes are not a valid response.
balancer::Outcome classifyReadError(const boost::system::error_code& error);

/// Whether this is a successful response of unknown length that is not complete yet. It may exceed the
/// buffer.
bool isOpenEnded(const ResponseParser& parser);

/// Whether the connection may carry another request after this response.
bool allowsReuse(const ResponseParser& parser);

}  // namespace hollyrun::gateway
