// The log lines and metrics of calls to discovery, endpoint changes, retries and rejections.
#include "gateway/discovery_monitor.hpp"

#include <fcntl.h>
#include <unistd.h>

#include <string>

#include "gateway_fixture.hpp"

namespace hollyrun::gateway::testing {
namespace {

using balancer::EndpointState;
using namespace std::chrono_literals;

class DiscoveryMonitorTest : public ::testing::Test {
 protected:
  void SetUp() override { ASSERT_EQ(::pipe2(pipe, O_NONBLOCK), 0); }
  void TearDown() override {
    ::close(pipe[0]);
    ::close(pipe[1]);
  }
  std::string logged() {
    char buffer[4096];
    const ssize_t size = ::read(pipe[0], buffer, sizeof buffer);
    return {buffer, static_cast<std::size_t>(std::max<ssize_t>(size, 0))};
  }
  static double valueOf(const std::vector<prometheus::MetricFamily>& families, const std::string& name,
                        const std::string& label) {
    for (const auto& family : families)
      for (const auto& metric : family.metric)
        if (family.name == name && (metric.label.empty() || metric.label[0].value == label))
          return family.type == prometheus::MetricType::Gauge ? metric.gauge.value : metric.counter.value;
    return -1;
  }
  int pipe[2] = {-1, -1};
};

TEST_F(DiscoveryMonitorTest, LogsAndCountsTheEndOfACallWithItsReason) {
  Log log("n0", {}, pipe[1]);
  DiscoveryMonitor monitor(log);
  monitor.recordCallEnd({.server = loopback(8500),
                         .type = DiscoveryCallType::firstPoll,
                         .result = DiscoveryCallResult::connectFailed,
                         .detail = "Connection refused",
                         .duration = 3ms,
                         .version = std::nullopt,
                         .listedEndpoints = 0,
                         .nextCallIn = 120ms});
  const std::string line = logged();
  for (const char* field : {"server=127.0.0.1:8500", "type=first_poll", "result=connect_failed",
                            "detail=\"Connection refused\"", "ms=3", "version=-", "next_call_ms=120"})
    EXPECT_NE(line.find(field), std::string::npos) << field << " in " << line;
  EXPECT_EQ(valueOf(monitor.collectMetrics(), "hollyrun_discovery_calls_total", "connect_failed"), 1);
  EXPECT_EQ(valueOf(monitor.collectMetrics(), "hollyrun_discovery_list_version", ""), 0);
}

TEST_F(DiscoveryMonitorTest, ReportsVersionAndAgeOfTheList) {
  Log log("n0", {}, pipe[1]);
  DiscoveryMonitor monitor(log);
  const double ageBefore = valueOf(monitor.collectMetrics(), "hollyrun_discovery_list_age_seconds", "");
  EXPECT_GE(ageBefore, 0);
  monitor.recordCallEnd({.server = loopback(8500),
                         .type = DiscoveryCallType::poll,
                         .result = DiscoveryCallResult::list,
                         .detail = {},
                         .duration = 1s,
                         .version = 41,
                         .listedEndpoints = 2,
                         .nextCallIn = std::nullopt});
  EXPECT_NE(logged().find("version=41 endpoints=2"), std::string::npos);
  EXPECT_EQ(valueOf(monitor.collectMetrics(), "hollyrun_discovery_list_version", ""), 41);
}

TEST_F(DiscoveryMonitorTest, LogsAChangeOfStateWithTheVersionOfTheList) {
  Log log("n0", {}, pipe[1]);
  DiscoveryMonitor monitor(log);
  monitor.recordStateChange(
      {.uid = "s-1", .from = EndpointState::serving, .to = EndpointState::draining, .listVersion = 41});
  EXPECT_NE(logged().find("host=s-1 from=serving to=draining version=41"), std::string::npos);
  EXPECT_EQ(valueOf(monitor.collectMetrics(), "hollyrun_endpoint_changes_total", "draining"), 1);
}

class EvidenceTest : public GatewayTest {
 protected:
  std::string metrics() {
    auto operators = Client::connect(io, *gateway->management());
    operators->send("GET /metrics HTTP/1.1\r\nHost: x\r\n\r\n");
    EXPECT_TRUE(until([&] { return !operators->answers.empty(); }));
    return operators->answers.empty() ? "" : operators->answers.front().body();
  }
};

TEST_F(EvidenceTest, DrainRetryAndFailedCallAreOnMetrics) {
  config["management"] = "127.0.0.1:0";
  twoHosts(failFirst([](PeerConnection& connection) { connection.reply(answerText(503, kNotRun, "")); }));
  ASSERT_TRUE(until([&] { return discovery.held.size() == 1; }));
  EXPECT_EQ(ask(text("read")).result_int(), 200u);
  discovery.push({{"all", false}, {"targets", {target("s-0", hosts[0]->endpoint, "a", "DRAINING")}}});
  ASSERT_TRUE(until([&] { return discovery.held.size() == 1; }));
  discovery.held[0]->reset();
  discovery.held.clear();
  ASSERT_TRUE(until([&] { return discovery.held.size() == 1; }));
  const std::string text = metrics();
  for (const char* line :
       {"hollyrun_further_attempts_total{cause=\"full\"} 1",
        "hollyrun_endpoint_changes_total{state=\"draining\"} 1",
        "hollyrun_discovery_calls_total{result=\"connection_lost\"} 1", "hollyrun_discovery_list_version 2"})
    EXPECT_NE(text.find(line), std::string::npos) << line << " in\n" << text;
}

}  // namespace
}  // namespace hollyrun::gateway::testing
