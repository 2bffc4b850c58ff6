#include "gateway/request_form.hpp"

#include <algorithm>
#include <boost/beast/http/verb.hpp>
#include <charconv>
#include <functional>

namespace hollyrun::gateway {

namespace http = boost::beast::http;
using boost::beast::string_view;

std::string_view firstPart(string_view target) {
  std::string_view path(target.data(), target.size());
  if (path.empty() || path.front() != '/')
    return {};
  path.remove_prefix(1);
  return path.substr(0, path.find_first_of("/?"));
}

std::string_view cookie(string_view header, std::string_view name) {
  std::string_view rest(header.data(), header.size());
  while (!rest.empty()) {
    const std::size_t end = std::min(rest.find(';'), rest.size());
    std::string_view one = rest.substr(0, end);
    rest.remove_prefix(std::min(end + 1, rest.size()));
    one.remove_prefix(std::min(one.find_first_not_of(' '), one.size()));
    if (one.size() > name.size() && one.substr(0, name.size()) == name && one[name.size()] == '=')
      return one.substr(name.size() + 1);
  }
  return {};
}

std::uint64_t keyOf(std::string_view text) {
  std::uint64_t key = 0;
  const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), key, 16);
  return error == std::errc{} && end == text.data() + text.size() ? key : std::hash<std::string_view>{}(text);
}

bool toOriginForm(HttpRequest& message) {
  const std::string target = message.target().to_string();
  if (!boost::beast::iequals(target.substr(0, 7), "http://"))
    return true;
  const std::size_t path = std::min(target.find_first_of("/?", 7), target.size());
  if (path == 7 || message.count(http::field::host) != 1)
    return false;
  message.set(http::field::host, target.substr(7, path - 7));
  message.target(path < target.size() && target[path] == '/' ? target.substr(path)
                                                             : "/" + target.substr(path));
  return true;
}

// `ok` if the message has one clear end (RFC 9112, 6), else the status to answer. Danger: the parser takes a
// body in a coding that it doesn't know, or with no length, for the next request.
http::status judgeFraming(const HttpRequest& message, bool hasBody) {
  if (message.version() != 11)
    return http::status::http_version_not_supported;
  const bool coded = message.count(http::field::transfer_encoding) > 0;
  if (coded && !boost::beast::iequals(message[http::field::transfer_encoding], "chunked"))
    return http::status::not_implemented;
  const bool get = message.method() == http::verb::get;
  if (message.method() == http::verb::post && !coded && !message.has_content_length())
    return http::status::length_required;
  return get && (coded || hasBody) ? http::status::bad_request : http::status::ok;
}

}  // namespace hollyrun::gateway
