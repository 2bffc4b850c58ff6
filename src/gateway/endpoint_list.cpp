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
    throw std::invalid_argument("'" + std::string(text) + "' is no address:port");
  boost::system::error_code ec;
  const auto address = boost::asio::ip::make_address(std::string(text.substr(0, colon)), ec);
  unsigned short port = 0;
  const char* last = text.data() + text.size();
  const auto [end, error] = std::from_chars(text.data() + colon + 1, last, port);
  if (ec || error != std::errc{} || end != last)
    throw std::invalid_argument("'" + std::string(text) + "' is no address:port");
  return {address, port};
}

namespace {

constexpr std::int64_t kLastMs = 253402300799999;  // the year 9999: past it the clock's sums overflow

// Absent: `none`.
std::int64_t whole(const nlohmann::json& object, const char* name, std::int64_t none, std::int64_t most) {
  const auto it = object.find(name);
  return it == object.end() ? none : wholeNumber(*it, most);
}

ListedHost parseHost(const nlohmann::json& target) {
  ListedHost host;
  host.uid = target.at("uid").get<std::string>();
  if (host.uid.empty())
    throw std::invalid_argument("a host has no uid");
  const auto state = target.at("state").get<std::string>();
  if (state == "SERVING")
    host.state = HostState::serving;
  else if (state == "DRAINING")
    host.state = HostState::draining;
  else if (state == "DELETED")
    host.state = HostState::gone;
  else
    throw std::invalid_argument("unknown state '" + state + "'");
  // One that is gone needs no address.
  if (host.state != HostState::gone || target.contains("endpoint")) {
    host.endpoint = parseEndpoint(target.at("endpoint").get<std::string>());
    if (host.endpoint.port() == 0)
      throw std::invalid_argument("host " + host.uid + " has no port");
  }
  host.zone = target.value("az", std::string());
  host.kind = target.value("model", std::string());
  host.cell = whole(target, "pod_group", 0, INT64_MAX);
  if (target.contains("capacity_hint"))
    host.weight = realNumber(target["capacity_hint"], 1e9);
  host.bootMs = whole(target, "boot_ms", 0, kLastMs);
  return host;
}

}  // namespace

EndpointList parseHostList(const nlohmann::json& json) {
  try {
    EndpointList list;
    list.version = wholeNumber(json.at("rev"), INT64_MAX);
    list.full = json.value("all", false);
    // Danger: what is no list would pass for an empty one, and an empty whole list drops all hosts.
    if (!json.at("targets").is_array())
      throw std::invalid_argument("targets is no list");
    std::unordered_set<std::string> uids;
    for (const auto& target : json.at("targets")) {
      list.hosts.push_back(parseHost(target));
      // Of changes the later one holds.
      if (list.full && !uids.insert(list.hosts.back().uid).second)
        throw std::invalid_argument("host " + list.hosts.back().uid + " is listed twice");
    }
    return list;
  } catch (const nlohmann::json::exception& bad) {
    throw std::invalid_argument(std::string("host list: ") + bad.what());
  }
}

}  // namespace hollyrun::gateway
