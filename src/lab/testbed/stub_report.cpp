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
  const json read = json::parse(line, nullptr, false);
  if (!read.is_object())
    return std::nullopt;
  try {
    StubReport report;
    read.at("port").get_to(report.port);
    read.at("revision").get_to(report.revision);
    read.at("whole_lists").get_to(report.wholeLists);
    read.at("changed_at_ns").get_to(report.changedAtNs);
    read.at("members_seen").get_to(report.membersSeen);
    read.at("lag_ms").get_to(report.lagMs);
    return report;
  } catch (const json::exception&) {
    return std::nullopt;
  }
}

}  // namespace hollyrun::lab
