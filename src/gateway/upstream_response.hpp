/// What a response from an upstream host means for its attempt and for its connection.
#pragma once

#include <boost/beast/http/parser.hpp>
#include <boost/system/error_code.hpp>

#include "gateway/incremental_body.hpp"
#include "hollyrun/balancer.hpp"

namespace hollyrun::gateway {

using ResponseParser = boost::beast::http::response_parser<IncrementalBody>;

/// The outcome of an attempt whose response has come, by its status and its framing.
balancer::Outcome classifyResponse(const ResponseParser& parser);

/// The outcome of an attempt whose response could not be read: the connection ended, or the bytes are no
/// response.
balancer::Outcome classifyReadError(const boost::system::error_code& error);

/// Whether this is a successful response of unknown length that is still under way. It may grow past what is
/// buffered.
bool isOpenEnded(const ResponseParser& parser);

/// Whether the response lets its connection carry another request.
bool allowsReuse(const ResponseParser& parser);

}  // namespace hollyrun::gateway
