#include "gateway/membership_report.hpp"

#include <chrono>
#include <cstdio>
#include <map>
#include <nlohmann/json.hpp>
#include <utility>

namespace hollyrun::gateway {
namespace {

using membership::Counters;
using membership::DecodeError;
using membership::Member;
using membership::MemberRecord;
using membership::Membership;
using nlohmann::json;

std::string hexOf(std::uint64_t value) {
  char text[17];
  std::snprintf(text, sizeof text, "%016llx", static_cast<unsigned long long>(value));
  return text;
}

double secondsOf(membership::Duration duration) {
  return std::chrono::duration<double>(duration).count();
}

std::string formatted(const json& document) {
  return document.dump(2, ' ', false, json::error_handler_t::replace) + "\n";
}

json recordJson(const MemberRecord& record, membership::Duration timeInState) {
  return {{"name", record.name},
          {"state", nameOf(record.state)},
          {"since_s", secondsOf(timeInState)},
          {"incarnation", record.incarnation},
          {"address", textOf(record.address)},
          {"zone", record.zone},
          {"region", record.region},
          {"version", record.version},
          {"settings", hexOf(record.settingsDigest)},
          {"started_ms", record.startedMs},
          {"epoch", hexOf(record.epoch)}};
}

json memberJson(const Member& member, membership::Time now) {
  json document = recordJson(member.record, now - member.stateSince);
  if (member.lastHeard.count() > 0) {
    document["heard_s"] = secondsOf(now - member.lastHeard);
    document["view"] = hexOf(member.viewDigest);
  }
  if (!member.record.reportedBy.empty())
    document["by"] = member.record.reportedBy;
  if (!member.differingNames.empty())
    document["differs_about"] = member.differingNames;
  return document;
}

json membersJson(const MembershipStatus& status) {
  const Membership& membership = *status.membership;
  json self = recordJson(membership.self(), status.now - status.startedAt);
  self["self"] = true;
  json members = json::array({std::move(self)});
  for (const auto& [name, member] : membership.others())
    members.push_back(memberJson(member, status.now));
  return members;
}

std::size_t countDifferentSettings(const Membership& membership) {
  std::size_t count = 0;
  for (const auto& [name, member] : membership.others())
    count +=
        isPresent(member.record.state) && member.record.settingsDigest != membership.self().settingsDigest;
  return count;
}

struct NamedCount {
  const char* name;
  std::uint64_t value;
};

std::vector<NamedCount> namedCounters(const MembershipStatus& status) {
  const Counters& counters = status.membership->counters();
  return {{"received", counters.received},  {"sent", counters.sent},     {"bytes_in", counters.bytesIn},
          {"bytes_out", counters.bytesOut}, {"stale", counters.stale},   {"full", counters.full},
          {"refuted", counters.refuted},    {"deaths", counters.deaths}, {"suspicions", counters.suspicions},
          {"stalls", counters.stalls},      {"flooded", status.flooded}, {"unsent", status.unsent}};
}

json countersJson(const MembershipStatus& status) {
  json document = json::object();
  for (const NamedCount& counter : namedCounters(status))
    document[counter.name] = counter.value;
  const auto& errors = status.membership->counters().decodeErrors;
  for (std::size_t i = 0; i < errors.size(); ++i)
    document[std::string("bad_") + nameOf(static_cast<DecodeError>(i))] = errors[i];
  return document;
}

// Collects metric families, whose names all begin with hollyrun_fleet_.
class MetricWriter {
 public:
  void beginFamily(const std::string& name, const char* help, prometheus::MetricType type) {
    prometheus::MetricFamily& family = families_.emplace_back();
    family.name = "hollyrun_fleet_" + name;
    family.help = help;
    family.type = type;
  }
  void add(double value, std::vector<prometheus::ClientMetric::Label> labels = {}) {
    prometheus::MetricFamily& family = families_.back();
    prometheus::ClientMetric& metric = family.metric.emplace_back();
    metric.label = std::move(labels);
    const bool isCounter = family.type == prometheus::MetricType::Counter;
    (isCounter ? metric.counter.value : metric.gauge.value) = value;
  }
  void addGauge(const std::string& name, const char* help, double value) {
    beginFamily(name, help, prometheus::MetricType::Gauge);
    add(value);
  }
  std::vector<prometheus::MetricFamily> finish() { return std::move(families_); }

 private:
  std::vector<prometheus::MetricFamily> families_;
};

void writeMembers(MetricWriter& writer, const Membership& membership) {
  std::map<std::string, double> states{{nameOf(membership.self().state), 1}};
  for (const auto& [name, member] : membership.others())
    ++states[nameOf(member.record.state)];
  writer.beginFamily("members", "Members in the view, by state, this one included.",
                     prometheus::MetricType::Gauge);
  for (const auto& [state, count] : states)
    writer.add(count, {{"state", state}});
  writer.beginFamily("present", "Members present, by zone, this one included.",
                     prometheus::MetricType::Gauge);
  for (const auto& [zone, count] : membership.presentByZone())
    writer.add(static_cast<double>(count), {{"zone", zone}});
}

void writeCounters(MetricWriter& writer, const MembershipStatus& status) {
  for (const NamedCount& counter : namedCounters(status)) {
    writer.beginFamily(std::string(counter.name) + "_total", "See docs/membership.md.",
                       prometheus::MetricType::Counter);
    writer.add(static_cast<double>(counter.value));
  }
  writer.beginFamily("bad_total", "Datagrams dropped, by reason.", prometheus::MetricType::Counter);
  const auto& errors = status.membership->counters().decodeErrors;
  for (std::size_t i = 0; i < errors.size(); ++i)
    writer.add(static_cast<double>(errors[i]), {{"reason", nameOf(static_cast<DecodeError>(i))}});
}

}  // namespace

std::string renderMembershipJson(const MembershipStatus& status) {
  json document{{"fleet", status.fleet}, {"name", status.name}, {"state", "waiting"}};
  if (!status.membership)
    return formatted(document);
  const Membership& membership = *status.membership;
  document["state"] = membership.conceded() ? "yielded" : nameOf(membership.self().state);
  document["view"] = hexOf(membership.digest());
  document["present"] = membership.presentCount();
  document["divided_by"] = membership.quotaHolders();
  document["health"] = membership.healthScore();
  document["zones"] = membership.presentByZone();
  document["members"] = membersJson(status);
  document["other_settings"] = countDifferentSettings(membership);
  document["disagree"] = membership.disagreeing();
  document["counters"] = countersJson(status);
  return formatted(document);
}

std::vector<prometheus::MetricFamily> collectMembershipMetrics(const MembershipStatus& status) {
  if (!status.membership)
    return {};
  const Membership& membership = *status.membership;
  MetricWriter writer;
  writeMembers(writer, membership);
  writer.addGauge("divided_by", "What fleet-wide limits are divided by.",
                  static_cast<double>(membership.quotaHolders()));
  writer.addGauge("disagreeing", "Present members whose view differs.",
                  static_cast<double>(membership.disagreeing().size()));
  writer.addGauge("health", "Own slowness, 0 well to 8.", membership.healthScore());
  writeCounters(writer, status);
  return writer.finish();
}

}  // namespace hollyrun::gateway
