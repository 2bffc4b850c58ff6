#include "gateway/ops_client.hpp"

#include <algorithm>
#include <boost/asio/io_context.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <boost/beast/http/empty_body.hpp>
#include <boost/beast/http/read.hpp>
#include <boost/beast/http/string_body.hpp>
#include <boost/beast/http/write.hpp>
#include <cstdio>
#include <map>
#include <nlohmann/json.hpp>
#include <set>
#include <stdexcept>

#include "gateway/endpoint_list.hpp"
#include "gateway/endpoint_text.hpp"

namespace hollyrun::gateway {
namespace {

namespace asio = boost::asio;
namespace http = boost::beast::http;
using boost::system::error_code;
using nlohmann::json;

std::string member(const json& m, const std::string& seenBy) {
  const auto text = [&](const char* key) { return m.value(key, std::string("-")); };
  char line[512];
  std::snprintf(
      line, sizeof line, "%-16.64s %-16.64s %-8.16s %8.1f %5llu  %-14.64s %-8.64s %-16.16s %-16.16s",
      seenBy.c_str(), text("name").c_str(), text("state").c_str(), m.value("since_s", 0.0),
      static_cast<unsigned long long>(m.value("incarnation", std::uint64_t{0})), text("zone").c_str(),
      text("version").c_str(), text("settings").c_str(), text("view").c_str());
  std::string all = line;
  all.erase(all.find_last_not_of(' ') + 1);
  if (m.contains("by"))
    all += " by " + text("by");
  return all + "\n";
}

}  // namespace

std::string askOps(const asio::ip::tcp::endpoint& at, const std::string& target,
                   std::chrono::milliseconds wait) {
  asio::io_context io;
  boost::beast::tcp_stream stream(io);
  http::request<http::empty_body> request{http::verb::get, target, 11};
  request.set(http::field::host, "management");
  http::response<http::string_body> response;
  boost::beast::flat_buffer buffer;
  error_code failed = asio::error::timed_out;
  stream.expires_after(wait);
  stream.async_connect(at, [&](error_code ec) {
    if ((failed = ec))
      return;
    http::async_write(stream, request, [&](error_code writeError, std::size_t) {
      if ((failed = writeError))
        return;
      http::async_read(stream, buffer, response,
                       [&](error_code readError, std::size_t) { failed = readError; });
    });
  });
  io.run();
  const std::string whom = textOf(at);
  if (failed)
    throw std::runtime_error(whom + ": " + failed.message());
  if (response.result() != http::status::ok)
    throw std::runtime_error(
        whom + ": " + target + " answered " + std::to_string(response.result_int()) +
        (response.result() == http::status::not_found ? ", membership is off there" : ""));
  return response.body();
}

std::string fleetTable(const std::vector<std::string>& addresses, bool& agree) {
  std::string out =
      "seen by          member           state     since s  inc.  zone           version  settings         "
      "view\n";
  std::string remarks;
  std::set<std::string> views, settings;
  std::map<std::string, std::set<std::string>> present;  // whom each gateway sees
  for (const std::string& address : addresses) {
    const json all = json::parse(askOps(parseEndpoint(address), "/ops/fleet"));
    const std::string name = all.value("name", std::string("-"));
    views.insert(all.value("view", std::string("-")));
    for (const json& m : all.value("members", json::array())) {
      out += member(m, name);
      const std::string state = m.value("state", std::string());
      if (state == "dead" || state == "left")
        continue;
      settings.insert(m.value("settings", std::string()));
      present[name].insert(m.value("name", std::string()));
    }
    for (const json& other : all.value("disagree", json::array())) {
      remarks += name + ": " + other.get<std::string>() + " sees another fleet";
      for (const json& m : all.value("members", json::array()))
        if (m.value("name", std::string()) == other && m.contains("differs_about"))
          remarks += ", it may be about " + m.at("differs_about").dump();
      remarks += "\n";
    }
    if (all.value("state", std::string()) != "alive")
      remarks += name + ": is itself " + all.value("state", std::string("unknown")) + "\n";
  }
  for (const auto& [one, sees] : present)
    for (const auto& [other, seen] : present)
      for (const std::string& who : sees)
        if (!seen.count(who))
          remarks += one + " sees " + who + ", " + other + " does not\n";
  if (views.size() > 1)
    remarks += "the views differ\n";
  if (settings.size() > 1)
    remarks += "the members serve by different settings\n";
  agree = remarks.empty();
  return out + (agree ? "all agree\n" : remarks);
}

}  // namespace hollyrun::gateway
