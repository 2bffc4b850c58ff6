// Runs the gateway process with failing, short and interrupted system calls and a shifted wall clock,
// injected by the preloaded fault library. Arguments: path of the program, path of the library.
#include <fcntl.h>
#include <sys/file.h>
#include <sys/stat.h>

#include <cerrno>
#include <set>

#include "process_fixture.hpp"

namespace hollyrun::gateway::testing {
namespace {

// --- Short and interrupted calls ------------------------------------------------------------------------

TEST_F(ProcessFaults, ShortWritesAreContinued) {
  addHost(answering(std::string(3'000, 'x')));
  faults->of(FaultyCall::send).maxBytes = 5;
  faults->of(FaultyCall::send).oneIn = 1;
  start();
  EXPECT_EQ(sendSequentially(20).count(200), 20u);
  const auto concurrent = sendConcurrently(20);
  EXPECT_EQ(concurrent.count(200) + concurrent.count(503), 20u)
      << "a burst may be rejected, but every request gets a response";
  EXPECT_GT(faults->of(FaultyCall::send).injected.load(), 0u);
}

TEST_F(ProcessFaults, InterruptedReadsKeepConnectionsOpen) {
  addHost(answering("x"));
  start();
  faults->of(FaultyCall::receive).error = EINTR;
  faults->of(FaultyCall::receive).oneIn = 4;
  EXPECT_EQ(sendSequentially(100).count(200), 100u);
  EXPECT_GT(faults->of(FaultyCall::receive).injected.load(), 0u);
}

TEST_F(ProcessFaults, InterruptedPollsDisconnectNoClient) {
  addHost(answering("x"));
  start();
  faults->of(FaultyCall::poll).error = EINTR;
  faults->of(FaultyCall::poll).oneIn = 2;
  EXPECT_EQ(sendSequentially(100).count(200), 100u);
  EXPECT_GT(faults->of(FaultyCall::poll).injected.load(), 0u);
}

// --- Accepts --------------------------------------------------------------------------------------------

class FailingAccepts : public ProcessFaults, public ::testing::WithParamInterface<int> {};

TEST_P(FailingAccepts, IntermittentFailuresCloseNoAcceptedConnection) {
  addHost(answering("x"));
  start();
  faults->of(FaultyCall::accept).error = GetParam();
  faults->of(FaultyCall::accept).oneIn = 2;
  EXPECT_EQ(sendSequentially(100).count(200), 100u);
  EXPECT_GT(faults->of(FaultyCall::accept).injected.load(), 0u);
}

TEST_P(FailingAccepts, WaitingConnectionsAreAnsweredAfterPersistentFailures) {
  addHost(answering("x"));
  start();
  faults->of(FaultyCall::accept).error = GetParam();
  faults->of(FaultyCall::accept).oneIn = 1;
  std::vector<std::shared_ptr<Client>> clients;
  for (int i = 0; i < 50; ++i) {
    clients.push_back(Client::connect(io, address));
    clients.back()->send(readRequest());
  }
  ASSERT_TRUE(waitUntil([&] { return faults->of(FaultyCall::accept).injected >= 10; }));
  faults->of(FaultyCall::accept).oneIn = 0;
  for (const auto& client : clients) {
    ASSERT_TRUE(waitUntil([&] { return !client->answers.empty() || client->closedByPeer; }));
    ASSERT_FALSE(client->answers.empty()) << "closed without a response";
    const unsigned status = client->answers.front().result_int();
    // Some of so many concurrent requests may be rejected.
    EXPECT_TRUE(status == 200 || status == 503) << status;
  }
}

TEST_F(ProcessFaults, ProcessListensOnceAShortageOfDescriptorsAtItsStartIsOver) {
  addHost(answering("x"));
  faults->of(FaultyCall::socket).error = ENFILE;
  faults->of(FaultyCall::socket).oneIn = 1;
  address = reserveEndpoint();
  config["listen"] = textOf(address);
  config["discovery"] = textOf(discovery.peer.endpoint);
  config["known"] = {{"rev", 1}, {"all", true}, {"targets", discovery.list}};
  writeConfigAndSpawn();
  ASSERT_TRUE(waitUntil([&] { return faults->of(FaultyCall::socket).injected >= 3 || processEnded(); }));
  ASSERT_FALSE(processEnded()) << log();
  faults->of(FaultyCall::socket).oneIn = 0;
  ASSERT_TRUE(waitUntil([&] { return acceptsConnections(); }));
  EXPECT_EQ(sendSequentially(10).count(200), 10u);
}

// The time that a request waits in the accept queue while accept fails is gone for its client, too.
TEST_F(ProcessFaults, DeadlineSentToAHostLeavesOutTheTimeInTheAcceptQueue) {
  constexpr auto kWait = 600ms, kDeadline = 1000ms, kSlack = 150ms;
  std::optional<std::int64_t> deadline;
  addHost([&](PeerConnection& connection) {
    deadline = std::stoll(connection.request["X-Deadline-Ms"].to_string());
    connection.reply(answerText(200, "", "x"));
  });
  start();
  faults->of(FaultyCall::accept).error = ENFILE;
  faults->of(FaultyCall::accept).oneIn = 1;
  auto client = Client::connect(io, address);
  const auto sentAt = std::chrono::steady_clock::now();
  client->send(readRequest("X-Deadline-Ms: " + std::to_string(kDeadline / 1ms) + "\r\n"));
  ASSERT_TRUE(waitUntil([&] { return std::chrono::steady_clock::now() - sentAt >= kWait; }));
  faults->of(FaultyCall::accept).oneIn = 0;
  ASSERT_TRUE(waitUntil([&] { return !client->answers.empty(); }));
  EXPECT_LE(deadline.value_or(0), (kDeadline - kWait + kSlack) / 1ms);
}

TEST_F(ProcessFaults, DeadlineSentToAHostLeavesOutTheTimeInWhichTheProcessStoodStill) {
  constexpr auto kStandstill = 500ms, kDeadline = 1000ms;
  constexpr auto kSlack = 150ms;  // That the pages grant.
  std::vector<std::int64_t> told;
  addHost([&](PeerConnection& connection) {
    told.push_back(std::stoll(connection.request["X-Deadline-Ms"].to_string()));
    connection.reply(answerText(200, "", "ok"));
  });
  start();
  auto client = Client::connect(io, address);
  const std::string deadline = "X-Deadline-Ms: " + std::to_string(kDeadline.count()) + "\r\n";
  client->send(readRequest(deadline));
  ASSERT_TRUE(waitUntil([&] { return client->answers.size() == 1; }));
  ::kill(pid, SIGSTOP);
  client->send(readRequest(deadline));
  const auto end = std::chrono::steady_clock::now() + kStandstill;
  ASSERT_TRUE(waitUntil([&] { return std::chrono::steady_clock::now() > end; }));
  ::kill(pid, SIGCONT);
  ASSERT_TRUE(waitUntil([&] { return client->answers.size() == 2; }));
  ASSERT_EQ(told.size(), 2u);
  EXPECT_LE(told[1], (kDeadline - kStandstill + kSlack).count());
}

INSTANTIATE_TEST_SUITE_P(Errors, FailingAccepts,
                         ::testing::Values(ECONNABORTED, ENFILE, EMFILE, ENOBUFS, ENOMEM, ENETUNREACH,
                                           EPROTO),
                         [](const auto& tested) { return std::string(strerrorname_np(tested.param)); });

// --- Connections to hosts -------------------------------------------------------------------------------

class FailingConnects : public ProcessFaults,
                        public ::testing::WithParamInterface<std::pair<FaultyCall, int>> {};

// Errors of this machine must not count as failures of the hosts, or every host would be ejected.
TEST_P(FailingConnects, LocalErrorsEjectNoHost) {
  constexpr std::size_t kRequests = 60;
  for (int i = 0; i < 4; ++i)
    addHost([](PeerConnection& connection) {
      connection.reply(answerText(200, "Connection: close\r\n", "x"), true);
    });
  const tcp::endpoint management = reserveEndpoint();
  config["management"] = textOf(management);
  start();
  faults->of(GetParam().first).error = GetParam().second;
  faults->of(GetParam().first).oneIn = 2;
  const auto statuses = sendSequentially(kRequests);
  EXPECT_EQ(statuses.count(200) + statuses.count(503), kRequests);
  faults->of(GetParam().first).oneIn = 0;
  EXPECT_GT(faults->of(GetParam().first).injected.load(), 0u);
  auto managementClient = Client::connect(io, management);
  managementClient->send("GET /ops/stats HTTP/1.1\r\nHost: x\r\n\r\n");
  ASSERT_TRUE(waitUntil([&] { return !managementClient->answers.empty(); }));
  EXPECT_NE(managementClient->answers.front().body().find("app.hosts_down=0\n"), std::string::npos)
      << managementClient->answers.front().body();
}

INSTANTIATE_TEST_SUITE_P(
    Errors, FailingConnects,
    ::testing::Values(std::pair(FaultyCall::socket, ENFILE), std::pair(FaultyCall::socket, ENOBUFS),
                      std::pair(FaultyCall::connect, EADDRNOTAVAIL),
                      std::pair(FaultyCall::connect, ENETUNREACH), std::pair(FaultyCall::connect, ENOBUFS)),
    [](const auto& tested) {
      return std::string(tested.param.first == FaultyCall::socket ? "Socket" : "Connect") +
             strerrorname_np(tested.param.second);
    });

// --- Reloads --------------------------------------------------------------------------------------------

TEST_F(ProcessFaults, UnreadableFileOnSighupChangesNothing) {
  addHost(answering("x"));
  start();
  faults->of(FaultyCall::read).error = EIO;
  faults->of(FaultyCall::read).oneIn = 1;
  ::kill(pid, SIGHUP);
  ASSERT_TRUE(waitUntil([&] { return faults->of(FaultyCall::read).injected > 0; }));
  faults->of(FaultyCall::read).oneIn = 0;
  EXPECT_TRUE(waitUntil([&] { return processEnded() || log().find("not reloaded") != std::string::npos; }));
  ASSERT_FALSE(processEnded());
  EXPECT_EQ(sendSequentially(1).count(200), 1u);
}

// --- The announcement of this process to others that serve the same address ------------------------------

class FailingAnnouncements : public ProcessFaults,
                             public ::testing::WithParamInterface<std::pair<FaultyCall, int>> {
 protected:
  // Returns the number of locked announcement files: one per process that serves this address.
  std::size_t announcementCount() const {
    std::size_t count = 0;
    for (const auto& entry : std::filesystem::directory_iterator(folder))
      count += entry.path().filename().string().rfind("gateway-", 0) == 0 && locked(entry.path()) ? 1 : 0;
    return count;
  }

 private:
  static bool locked(const std::filesystem::path& path) {
    const int file = ::open(path.c_str(), O_RDWR | O_CLOEXEC);
    const bool isLocked = file >= 0 && ::flock(file, LOCK_EX | LOCK_NB) != 0;
    ::close(file);
    return isLocked;
  }
};

TEST_P(FailingAnnouncements, AnnouncementIsRetried) {
  addHost(answering("x"));
  config["management"] = "127.0.0.1:0";
  faults->of(GetParam().first).error = GetParam().second;
  faults->of(GetParam().first).oneIn = 1;
  start();
  EXPECT_GT(faults->of(GetParam().first).injected.load(), 0u);
  faults->of(GetParam().first).oneIn = 0;
  EXPECT_TRUE(waitUntil([&] { return announcementCount() == 1; }));
  EXPECT_EQ(sendSequentially(1).count(200), 1u);
}

INSTANTIATE_TEST_SUITE_P(Errors, FailingAnnouncements,
                         ::testing::Values(std::pair(FaultyCall::open, ENOSPC),
                                           std::pair(FaultyCall::open, EIO),
                                           std::pair(FaultyCall::lock, EINTR)),
                         [](const auto& tested) {
                           return std::string(tested.param.first == FaultyCall::open ? "Open" : "Lock") +
                                  strerrorname_np(tested.param.second);
                         });

// --- Log and metrics ------------------------------------------------------------------------------------

// At level debug, each step of a request is logged with the request id, and the counters match the log.
TEST_F(ProcessFaults, EachStepOfARequestIsLoggedAndCounted) {
  const tcp::endpoint management = reserveEndpoint();
  config["management"] = textOf(management);
  config["log"] = {{"level", "debug"}};
  std::size_t attempts = 0;
  for (int i = 0; i < 2; ++i)
    addHost([&](PeerConnection& connection) {
      if (attempts++ == 0)
        return connection.reply(answerText(503, "X-Not-Run: 1\r\n", ""));
      connection.reply(answerText(200, "", "x"));
    });
  start();
  EXPECT_EQ(sendSequentially(1).count(200), 1u);
  auto managementClient = Client::connect(io, management);
  managementClient->send("GET /metrics HTTP/1.1\r\nHost: x\r\n\r\n");
  ASSERT_TRUE(waitUntil([&] { return !managementClient->answers.empty(); }));
  const std::string metrics = managementClient->answers.front().body();
  for (const char* line : {"hollyrun_attempts_ended_total{outcome=\"full\"} 1",
                           "hollyrun_attempts_ended_total{outcome=\"served\"} 1",
                           "hollyrun_violations_total{rule=\"may_repeat\"} 0",
                           "hollyrun_violations_total{rule=\"closed_unanswered\"} 0",
                           "hollyrun_dispatch_denied_total{reason=\"client_gone\"} 0",
                           "hollyrun_client_connections_closed_total{reason=\"made_room\"} 0",
                           "hollyrun_given_up_total{reason=\"cutoff\"} 0"})
    EXPECT_NE(metrics.find(line), std::string::npos) << line << "\n" << metrics;
  const std::string lines = log();
  for (const char* step : {" request_received request=r1", " attempt_started request=r1 attempt=0",
                           " attempt_ended request=r1 attempt=0", "detail=full",
                           " attempt_started request=r1 attempt=1", "detail=served"})
    EXPECT_NE(lines.find(step), std::string::npos) << step << "\n" << lines;
}

// --- Signals --------------------------------------------------------------------------------------------

// The configuration is a named pipe, so that the program is still reading it when the signal arrives.
TEST_F(ProcessFaults, SighupWhileReadingTheConfigurationDoesNotEndTheProcess) {
  addHost(answering("x"));
  address = reserveEndpoint();
  config["listen"] = textOf(address);
  config["discovery"] = textOf(discovery.peer.endpoint);
  const std::string path = folder + "/config.json";
  ASSERT_EQ(::mkfifo(path.c_str(), 0600), 0);
  spawnProgram();
  ASSERT_GT(pid, 0);
  // Returns once the program has opened the pipe for reading.
  const int writeEnd = ::open(path.c_str(), O_WRONLY | O_CLOEXEC);
  ASSERT_GE(writeEnd, 0);
  ::kill(pid, SIGHUP);
  writeConfig();  // replaces the pipe, for the reload
  const std::string text = config.dump();
  ASSERT_EQ(::write(writeEnd, text.data(), text.size()), static_cast<ssize_t>(text.size()));
  ::close(writeEnd);
  ASSERT_TRUE(waitUntil([&] { return (!discovery.held.empty() && acceptsConnections()) || processEnded(); }));
  ASSERT_FALSE(processEnded());
  EXPECT_EQ(sendSequentially(1).count(200), 1u);
}

// --- The wall clock -------------------------------------------------------------------------------------

class WallClock : public ProcessFaults, public ::testing::WithParamInterface<std::chrono::seconds> {
 protected:
  // Announces a host that has just started and waits until the program watches discovery again.
  void announceNewHost() {
    addHost(answering("new"), unixNowMs());
    const json entry = discovery.list.back();
    discovery.push({{"all", false}, {"targets", {entry}}});
    ASSERT_TRUE(waitUntil([&] { return !discovery.held.empty(); }));
  }
};

TEST_P(WallClock, OffsetKeepsTheSlowStartOfANewHost) {
  for (int i = 0; i < 4; ++i)
    addHost(answering("warm"));
  faults->wallClockOffsetNs = std::chrono::nanoseconds(GetParam()).count();
  start();
  constexpr std::size_t kRequests = 400;
  sendSequentially(kRequests / 4);  // lets the gateway estimate the capacity of the warm hosts
  announceNewHost();
  const auto statuses = sendSequentially(kRequests);
  EXPECT_EQ(statuses.count(200), kRequests);
  EXPECT_LT(served["s-4"], kRequests / 8) << "slow start gives the host less than its even share of a fifth";
  EXPECT_TRUE(waitUntil([&] {
    sendSequentially(1);
    return served["s-4"] > 0;
  })) << "slow start still sends some requests to the host";
}

TEST_P(WallClock, OffsetDoesNotExcludeTheOnlyHost) {
  addHost(answering("new"), unixNowMs());
  faults->wallClockOffsetNs = std::chrono::nanoseconds(GetParam()).count();
  start();
  EXPECT_TRUE(waitUntil([&] { return sendSequentially(1).count(200) == 1; }));
}

INSTANTIATE_TEST_SUITE_P(Offsets, WallClock, ::testing::Values(-3600s, -5s, 0s, 5s, 3600s),
                         [](const auto& tested) {
                           const auto seconds = tested.param.count();
                           return (seconds < 0 ? "Behind" : "Ahead") + std::to_string(std::abs(seconds)) +
                                  "Seconds";
                         });

}  // namespace
}  // namespace hollyrun::gateway::testing

int main(int argc, char** argv) {
  return hollyrun::gateway::testing::runProcessTests(argc, argv);
}
