#include "gateway/upstream_response.hpp"

#include <boost/beast/http/error.hpp>
#include <boost/beast/http/rfc7230.hpp>
#include <boost/beast/http/status.hpp>

namespace hollyrun::gateway {

namespace http = boost::beast::http;
using balancer::Outcome;

Outcome classifyResponse(const ResponseParser& parser) {
  const auto& response = parser.get();
  const http::status status = response.result();
  // A response that is delimited by the end of the connection can't be distinguished from a truncated one,
  // unless it announces with `Connection: close` that the connection ends with it.
  if (status == http::status::ok && parser.need_eof() &&
      !http::token_list(response[http::field::connection]).exists("close"))
    return Outcome::reset;
  if (status == http::status::ok)
    return Outcome::served;
  const bool isBusy = status == http::status::service_unavailable || status == http::status::gateway_timeout;
  if (isBusy && response["X-Not-Run"] == "1")
    return Outcome::rejected;
  return Outcome::error;  // The request may have executed, whatever the response states.
}

Outcome classifyReadError(const boost::system::error_code& error) {
  const bool isMalformed = error.category() == http::make_error_code(http::error::bad_version).category() &&
                           error != http::error::end_of_stream && error != http::error::partial_message;
  return isMalformed ? Outcome::error : Outcome::reset;
}

bool isOpenEnded(const ResponseParser& parser) {
  return parser.is_header_done() && !parser.is_done() && !parser.content_length() &&
         parser.get().result() == http::status::ok;
}

bool allowsReuse(const ResponseParser& parser) {
  return parser.get().result() != http::status::switching_protocols && !parser.need_eof() &&
         parser.keep_alive();
}

}  // namespace hollyrun::gateway
