#include "gateway/endpoint_list.hpp"

#include <boost/asio/ip/address.hpp>
#include <charconv>
#include <nlohmann/json.hpp>
#include <stdexcept>
#include <unordered_set>

#include "gateway/json_number.hpp"

namespace hollyrun::gateway {

boost::asio::ip::tcp::endpoint parseEndpoint(std::string_view text) {
  const std::size_t colon = text.rfind(':');
  if (colon == std::string_view::npos)
    throw std::invalid_argument("expected address:port, got '" + std::string(text) + "'");
  boost::system::error_code ec;
  const auto address = boost::asio::ip::make_address(std::string(text.substr(0, colon)), ec);
  unsigned short port = 0;
  const char* last = text.data() + text.size();
  const auto [end, error] = std::from_chars(text.data() + colon + 1, last, port);
  if (ec || error != std::errc{} || end != last)
    throw std::invalid_argument("expected address:port, got '" + std::string(text) + "'");
  return {address, port};
}

namespace {

using balancer::EndpointState;

// The end of the year 9999; later times overflow the clock's arithmetic.
constexpr std::int64_t kMaxUnixMs = 253402300799999;

/// Returns the integer field `name`, or `fallback` if it is absent.
std::int64_t integerOr(const nlohmann::json& object, const char* name, std::int64_t fallback,
                       std::int64_t maximum) {
  const auto it = object.find(name);
  return it == object.end() ? fallback : wholeNumber(*it, maximum);
}

/// Parses the state of a host in the form that discovery sends.
EndpointState parseState(const std::string& text) {
  if (text == "SERVING")
    return EndpointState::serving;
  if (text == "DRAINING")
    return EndpointState::draining;
  if (text == "DELETED")
    return EndpointState::removed;
  throw std::invalid_argument("state: unknown value '" + text +
                              "', expected one of: SERVING, DRAINING, DELETED");
}

ListedEndpoint parseListedEndpoint(const nlohmann::json& target) {
  ListedEndpoint endpoint;
  endpoint.uid = target.at("uid").get<std::string>();
  if (endpoint.uid.empty())
    throw std::invalid_argument("uid: must not be empty");
  endpoint.state = parseState(target.at("state").get<std::string>());
  // A removed host needs no address.
  if (endpoint.state != EndpointState::removed || target.contains("endpoint")) {
    endpoint.address = parseEndpoint(target.at("endpoint").get<std::string>());
    if (endpoint.address.port() == 0)
      throw std::invalid_argument("host " + endpoint.uid +
                                  ": endpoint: the port must be from 1 to 65535, got 0");
  }
  endpoint.zone = target.value("az", std::string());
  endpoint.machineType = target.value("model", std::string());
  endpoint.cell = integerOr(target, "pod_group", 0, INT64_MAX);
  if (target.contains("capacity_hint"))
    endpoint.weight = realNumber(target["capacity_hint"], 1e9);
  endpoint.startUnixMs = integerOr(target, "boot_ms", 0, kMaxUnixMs);
  return endpoint;
}

}  // namespace

EndpointList parseEndpointList(const nlohmann::json& json) {
  try {
    EndpointList list;
    list.version = wholeNumber(json.at("rev"), INT64_MAX);
    list.snapshot = json.value("all", false);
    // The loop below would read any other type as an empty list, and an empty snapshot removes all endpoints.
    if (!json.at("targets").is_array())
      throw std::invalid_argument(std::string("targets: expected a list, got ") +
                                  json.at("targets").type_name());
    std::unordered_set<std::string> uids;
    for (const auto& target : json.at("targets")) {
      list.endpoints.push_back(parseListedEndpoint(target));
      // A delta may list a host more than once; its last change takes effect.
      if (list.snapshot && !uids.insert(list.endpoints.back().uid).second)
        throw std::invalid_argument("host " + list.endpoints.back().uid +
                                    " is listed more than once in a snapshot");
    }
    return list;
  } catch (const nlohmann::json::exception& error) {
    throw std::invalid_argument(std::string("endpoint list: ") + error.what());
  }
}

}  // namespace hollyrun::gateway
