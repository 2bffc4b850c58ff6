#include "lab/testbed/stub_report.hpp"

#include <nlohmann/json.hpp>

namespace hollyrun::lab {

using nlohmann::json;

std::string textOf(const StubReport& report) {
  const json line{{"port", report.port},
                  {"revision", report.revision},
                  {"whole_lists", report.wholeLists},
                  {"changed_at_ns", report.changedAtNs},
                  {"members_seen", report.membersSeen},
                  {"lag_ms", report.lagMs}};
  return line.dump();
}

std::optional<StubReport> parseStubReport(const std::string& line) {
  const json object = json::parse(line, nullptr, false);
  if (!object.is_object())
    return std::nullopt;
  try {
    StubReport report;
    object.at("port").get_to(report.port);
    object.at("revision").get_to(report.revision);
    object.at("whole_lists").get_to(report.wholeLists);
    object.at("changed_at_ns").get_to(report.changedAtNs);
    object.at("members_seen").get_to(report.membersSeen);
    object.at("lag_ms").get_to(report.lagMs);
    return report;
  } catch (const json::exception&) {
    return std::nullopt;
  }
}

}  // namespace hollyrun::lab
