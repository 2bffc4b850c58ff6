// Runs the gateway process with failing, short and interrupted system calls and a shifted wall clock,
// injected by the preloaded fault library. Arguments: path of the program, path of the library.
#include <fcntl.h>
#include <signal.h>
#include <spawn.h>
#include <sys/file.h>
#include <sys/stat.h>
#include <sys/wait.h>
#include <unistd.h>

#include <cerrno>
#include <csignal>
#include <cstdio>
#include <cstring>
#include <filesystem>
#include <fstream>
#include <set>

#include "lab/faults/fault_file.hpp"
#include "net_peers.hpp"

namespace hollyrun::gateway::testing {
namespace {

using lab::FaultyCall;
using namespace std::chrono_literals;

std::string program, library;  // set by main

class ProcessFaults : public ::testing::Test {
 protected:
  void SetUp() override {
    std::filesystem::create_directories(folder);
    config["settings"]["ceilings"]["idleCloseNs"] = 60'000'000'000;
  }
  void TearDown() override {
    if (pid > 0 && ::waitpid(pid, nullptr, WNOHANG) == 0) {
      ::kill(pid, SIGKILL);
      ::waitpid(pid, nullptr, 0);
    }
    std::filesystem::remove_all(folder);
  }

  template <class Predicate>
  ::testing::AssertionResult waitUntil(const Predicate& predicate) {
    const auto end = std::chrono::steady_clock::now() + kTestTimeout;
    while (!predicate()) {
      if (std::chrono::steady_clock::now() > end)
        return ::testing::AssertionFailure() << "the condition was not met within the test timeout";
      io.restart();
      io.run_one_for(20ms);
    }
    return ::testing::AssertionSuccess();
  }

  void addHost(PeerConnection::Script script, std::int64_t bootMs = 0) {
    const std::string uid = "s-" + std::to_string(hosts.size());
    hosts.push_back(std::make_unique<Peer>(io, [this, uid, script](PeerConnection& connection) {
      ++served[uid];
      script(connection);
    }));
    json entry = target(uid, hosts.back()->endpoint);
    entry["boot_ms"] = bootMs;
    discovery.list.push_back(entry);
  }

  // Returns an endpoint reserved by a bound socket that never listens, so that the kernel assigns it to no
  // one else.
  tcp::endpoint reserveEndpoint() {
    reservedSockets_.emplace_back(io, tcp::v4());
    reservedSockets_.back().set_option(tcp::socket::reuse_address(true));
    reservedSockets_.back().bind(loopback());
    return reservedSockets_.back().local_endpoint();
  }

  void writeConfig() {
    const std::string path = folder + "/config.json";
    std::ofstream(path + ".new") << config;
    std::filesystem::rename(path + ".new", path);
  }

  void writeConfigAndSpawn() {
    writeConfig();
    spawnProgram();
  }
  void spawnProgram() {
    std::vector<std::string> variables = {
        "GW_CONFIG=" + folder + "/config.json", "TMPDIR=" + folder, "LD_PRELOAD=" + library,
        std::string(lab::kFaultPageVariable) + "=" + faults.path(),
        // In a sanitizer build, the fault library is loaded before the sanitizer's runtime.
        "ASAN_OPTIONS=verify_asan_link_order=0"};
    std::vector<char*> environment;
    for (std::string& variable : variables)
      environment.push_back(variable.data());
    environment.push_back(nullptr);
    char* arguments[] = {program.data(), nullptr};
    posix_spawn_file_actions_t files;
    posix_spawn_file_actions_init(&files);
    const std::string log = folder + "/log";
    posix_spawn_file_actions_addopen(&files, STDERR_FILENO, log.c_str(), O_CREAT | O_WRONLY | O_APPEND, 0600);
    ASSERT_EQ(posix_spawn(&pid, program.c_str(), &files, nullptr, arguments, environment.data()), 0);
    posix_spawn_file_actions_destroy(&files);
  }

  // Starts the program at a free address and waits until it watches discovery and accepts clients.
  void start() {
    address = reserveEndpoint();
    config["listen"] = textOf(address);
    config["discovery"] = textOf(discovery.peer.endpoint);
    writeConfigAndSpawn();
    ASSERT_TRUE(waitUntil([&] { return !discovery.held.empty() && acceptsConnections(); }));
  }
  std::string log() const {
    std::ifstream file(folder + "/log");
    return {std::istreambuf_iterator<char>(file), {}};
  }
  bool processEnded() {
    siginfo_t info{};
    return ::waitid(P_PID, static_cast<id_t>(pid), &info, WEXITED | WNOHANG | WNOWAIT) == 0 &&
           info.si_pid == pid;
  }
  bool acceptsConnections() {
    tcp::socket probe(io);
    error_code ec;
    probe.connect(address, ec);
    return !ec;
  }
  std::string readRequest(const std::string& headers = "") {
    return "GET /read HTTP/1.1\r\nHost: x\r\nX-Class: read\r\nX-Request-Id: r" + std::to_string(++serial) +
           "\r\n" + headers + "\r\n";
  }

  // Sends the requests concurrently, each on its own connection. Returns the status of each response, 0 for a
  // connection that was closed without one.
  std::multiset<unsigned> sendConcurrently(std::size_t requests) {
    std::vector<std::shared_ptr<Client>> clients;
    for (std::size_t i = 0; i < requests; ++i) {
      clients.push_back(Client::connect(io, address));
      clients.back()->send(readRequest());
    }
    std::multiset<unsigned> statuses;
    for (const auto& client : clients) {
      EXPECT_TRUE(waitUntil([&] { return !client->answers.empty() || client->closedByPeer; }));
      statuses.insert(client->answers.empty() ? 0u : client->answers.front().result_int());
    }
    return statuses;
  }
  // Sends the requests one after the other, each on its own connection.
  std::multiset<unsigned> sendSequentially(std::size_t requests) {
    std::multiset<unsigned> statuses;
    for (std::size_t i = 0; i < requests; ++i)
      statuses.merge(sendConcurrently(1));
    return statuses;
  }
  static std::int64_t unixNowMs() {
    const auto now = std::chrono::system_clock::now().time_since_epoch();
    return std::chrono::duration_cast<std::chrono::milliseconds>(now).count();
  }

  const std::string folder = ::testing::TempDir() + "process_faults_" + std::to_string(getpid());
  asio::io_context io;
  FakeDiscovery discovery{io};
  std::vector<std::unique_ptr<Peer>> hosts;
  std::map<std::string, std::size_t> served;
  json config = configJson();
  tcp::endpoint address;
  lab::FaultFile faults{::testing::TempDir() + "fault_page_" + std::to_string(getpid())};
  pid_t pid = -1;
  int serial = 0;

 private:
  std::vector<tcp::socket> reservedSockets_;
};

PeerConnection::Script answering(const std::string& body) {
  return [body](PeerConnection& connection) { connection.reply(answerText(200, "", body)); };
}

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
  ::testing::InitGoogleTest(&argc, argv);
  std::signal(SIGPIPE, SIG_IGN);  // the program may have ended before reading all input
  if (argc >= 3) {
    hollyrun::gateway::testing::program = argv[1];
    hollyrun::gateway::testing::library = argv[2];
  } else if (!::testing::GTEST_FLAG(list_tests)) {  // the build lists the tests and passes no arguments
    return 1;
  }
  return RUN_ALL_TESTS();
}
