#include "gateway/ops_client.hpp"

#include <boost/asio/io_context.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <boost/beast/http/empty_body.hpp>
#include <boost/beast/http/read.hpp>
#include <boost/beast/http/string_body.hpp>
#include <boost/beast/http/write.hpp>
#include <cstdint>
#include <cstdio>
#include <map>
#include <nlohmann/json.hpp>
#include <set>

#include "gateway/endpoint_list.hpp"
#include "gateway/endpoint_text.hpp"

namespace hollyrun::gateway {
namespace {

namespace asio = boost::asio;
namespace http = boost::beast::http;
using boost::system::error_code;
using nlohmann::json;

constexpr const char* kTableHeader =
    "seen by          member           state     since s  inc.  zone           version  settings         "
    "view\n";

/// One GET request on a connection of its own.
class Query {
 public:
  Query(asio::io_context& io, const std::string& target) : stream_(io) {
    request_ = {http::verb::get, target, 11};
    request_.set(http::field::host, "management");
  }

  void start(const asio::ip::tcp::endpoint& address, std::chrono::milliseconds timeout) {
    stream_.expires_after(timeout);
    stream_.async_connect(address, [this](error_code error) {
      result_ = error;
      if (!error)
        sendRequest();
    });
  }

  error_code result() const { return result_; }
  const http::response<http::string_body>& response() const { return response_; }

 private:
  void sendRequest() {
    http::async_write(stream_, request_, [this](error_code error, std::size_t) {
      result_ = error;
      if (!error)
        receiveResponse();
    });
  }

  void receiveResponse() {
    http::async_read(stream_, buffer_, response_, [this](error_code error, std::size_t) { result_ = error; });
  }

  boost::beast::tcp_stream stream_;
  http::request<http::empty_body> request_;
  http::response<http::string_body> response_;
  boost::beast::flat_buffer buffer_;
  error_code result_ = asio::error::timed_out;
};

// Returns the string at `key`, or "-" if it is absent.
std::string textField(const json& object, const char* key) {
  return object.value(key, std::string("-"));
}

std::string tableRow(const std::string& observer, const json& member) {
  char columns[512];
  std::snprintf(columns, sizeof columns,
                "%-16.64s %-16.64s %-8.16s %8.1f %5llu  %-14.64s %-8.64s %-16.16s %-16.16s", observer.c_str(),
                textField(member, "name").c_str(), textField(member, "state").c_str(),
                member.value("since_s", 0.0),
                static_cast<unsigned long long>(member.value("incarnation", std::uint64_t{0})),
                textField(member, "zone").c_str(), textField(member, "version").c_str(),
                textField(member, "settings").c_str(), textField(member, "view").c_str());
  std::string row = columns;
  row.erase(row.find_last_not_of(' ') + 1);
  if (member.contains("by"))
    row += " by " + textField(member, "by");
  return row + "\n";
}

/// Compares the gateways' views of the fleet.
class FleetComparison {
 public:
  /// Adds the view of one gateway, the body of its /ops/fleet.
  void add(const json& view);

  FleetReport report() const;

 private:
  void addMember(const std::string& observer, const json& member);
  void addReportedDisagreements(const std::string& observer, const json& view);
  std::string membershipDifferences() const;

  std::string rows_;
  std::string differences_;  // as reported by the gateways
  std::set<std::string> viewDigests_;
  std::set<std::string> settingDigests_;                         // of present members
  std::map<std::string, std::set<std::string>> presentMembers_;  // by the observing gateway
};

void FleetComparison::add(const json& view) {
  const std::string observer = textField(view, "name");
  viewDigests_.insert(textField(view, "view"));
  for (const json& member : view.value("members", json::array()))
    addMember(observer, member);
  addReportedDisagreements(observer, view);
  if (view.value("state", std::string()) != "alive")
    differences_ += observer + ": its own state is " + view.value("state", std::string("unknown")) + "\n";
}

void FleetComparison::addMember(const std::string& observer, const json& member) {
  rows_ += tableRow(observer, member);
  const std::string state = member.value("state", std::string());
  if (state == "dead" || state == "left")
    return;
  settingDigests_.insert(member.value("settings", std::string()));
  presentMembers_[observer].insert(member.value("name", std::string()));
}

void FleetComparison::addReportedDisagreements(const std::string& observer, const json& view) {
  for (const json& other : view.value("disagree", json::array())) {
    differences_ += observer + ": the view of " + other.get<std::string>() + " differs";
    for (const json& member : view.value("members", json::array()))
      if (member.value("name", std::string()) == other && member.contains("differs_about"))
        differences_ += ", possibly about " + member.at("differs_about").dump();
    differences_ += "\n";
  }
}

std::string FleetComparison::membershipDifferences() const {
  std::string text;
  for (const auto& [observer, members] : presentMembers_)
    for (const auto& [otherObserver, otherMembers] : presentMembers_)
      for (const std::string& member : members)
        if (!otherMembers.contains(member))
          text.append(observer)
              .append(" sees ")
              .append(member)
              .append(", ")
              .append(otherObserver)
              .append(" does not\n");
  return text;
}

FleetReport FleetComparison::report() const {
  std::string differences = differences_ + membershipDifferences();
  if (viewDigests_.size() > 1)
    differences += "the views differ\n";
  if (settingDigests_.size() > 1)
    differences += "the members run with different settings\n";
  const bool consistent = differences.empty();
  return {kTableHeader + rows_ + (consistent ? "all agree\n" : differences), consistent};
}

}  // namespace

std::string queryOps(const asio::ip::tcp::endpoint& address, const std::string& target,
                     std::chrono::milliseconds timeout) {
  asio::io_context io;
  Query query(io, target);
  query.start(address, timeout);
  io.run();
  const std::string addressText = textOf(address);
  if (query.result())
    throw OpsError(OpsErrorCode::noResponse, addressText + ": " + query.result().message());
  const auto& response = query.response();
  if (response.result() == http::status::ok)
    return response.body();
  const char* explanation =
      response.result() == http::status::not_found ? ", membership is off at this gateway" : "";
  throw OpsError(OpsErrorCode::unexpectedStatus, addressText + ": GET " + target + " returned " +
                                                     std::to_string(response.result_int()) + explanation);
}

FleetReport queryFleet(const std::vector<std::string>& addresses) {
  FleetComparison comparison;
  for (const std::string& address : addresses)
    comparison.add(json::parse(queryOps(parseEndpoint(address), "/ops/fleet")));
  return comparison.report();
}

}  // namespace hollyrun::gateway
