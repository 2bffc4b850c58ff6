// The gateway program as a process: exit codes, signals, reloads and upgrades. The first argument is the path
// of the program.
#include <signal.h>
#include <spawn.h>
#include <sys/wait.h>
#include <unistd.h>

#include <cstdio>
#include <filesystem>
#include <fstream>
#include <thread>

#include "net_peers.hpp"

namespace hollyrun::gateway::testing {
namespace {

using namespace std::chrono_literals;

std::string programPath;  // set by main()

pid_t startProgram(std::vector<std::string> variables, std::vector<std::string> arguments = {}) {
  std::vector<char*> argv{programPath.data()}, environment;
  for (std::string& argument : arguments)
    argv.push_back(argument.data());
  argv.push_back(nullptr);
  for (std::string& variable : variables)
    environment.push_back(variable.data());
  environment.push_back(nullptr);
  pid_t pid = 0;
  EXPECT_EQ(posix_spawn(&pid, programPath.c_str(), nullptr, nullptr, argv.data(), environment.data()), 0);
  return pid;
}

template <class Predicate>
bool runUntil(asio::io_context& io, const Predicate& predicate) {
  const auto deadline = std::chrono::steady_clock::now() + kTestTimeout;
  while (!predicate()) {
    if (std::chrono::steady_clock::now() > deadline)
      return false;
    io.restart();
    io.run_one_for(std::chrono::milliseconds(50));
  }
  return true;
}

int exitCode(pid_t pid) {
  int status = 0;
  EXPECT_EQ(waitpid(pid, &status, 0), pid);
  return WIFEXITED(status) ? WEXITSTATUS(status) : -1;
}

TEST(Program, ExitsWith2OnInvalidConfiguration) {
  EXPECT_EQ(exitCode(startProgram({"GW_CONFIG=/nonexistent"})), 2);
  const std::string path = ::testing::TempDir() + "bad_config_" + std::to_string(getpid()) + ".json";
  json config = configJson();
  config["limits"]["sockets"] = -1;
  std::ofstream(path) << config;
  EXPECT_EQ(exitCode(startProgram({"GW_CONFIG=" + path})), 2);
  std::remove(path.c_str());
}

TEST(Program, CommandsExitWithTheDocumentedCodes) {
  const std::string path = ::testing::TempDir() + "commands_" + std::to_string(getpid()) + ".toml";
  std::ofstream(path) << "listen = \"127.0.0.1:8080\"\n[[class]]\nname = \"a\"\naim_ms = 5\n";
  EXPECT_EQ(exitCode(startProgram({}, {"version"})), 0);
  EXPECT_EQ(exitCode(startProgram({}, {"--help"})), 0);
  EXPECT_EQ(exitCode(startProgram({}, {"frobnicate"})), 2);
  EXPECT_EQ(exitCode(startProgram({}, {"check", "--config", path})), 2) << "the discovery address is missing";
  EXPECT_EQ(exitCode(startProgram({}, {"check", "--config", path, "--discovery", "127.0.0.1:1"})), 0);
  EXPECT_EQ(exitCode(startProgram({"GW_CONFIG=" + path, "GW_DISCOVERY=127.0.0.1:1"}, {"show"})), 0);
  EXPECT_EQ(exitCode(startProgram({}, {"show"})), 2) << "no configuration file is given";
  EXPECT_EQ(exitCode(startProgram({}, {"serve", "--config", path + ".none"})), 2);
  std::remove(path.c_str());
}

TEST(Program, ExitsWith0OnSigterm) {
  asio::io_context io;
  tcp::endpoint freeAddress;
  {
    tcp::acceptor probe(io, loopback());
    freeAddress = probe.local_endpoint();
  }
  json config = configJson();
  config["listen"] = textOf(freeAddress);
  config["known"] = {{"rev", 1}, {"all", true}, {"targets", {target("s-0", loopback(1))}}};
  const std::string path = ::testing::TempDir() + "program_config.json";
  std::ofstream(path) << config;
  const pid_t pid = startProgram({"GW_CONFIG=" + path});
  tcp::socket socket(io);
  error_code ec = asio::error::not_connected;
  const auto deadline = std::chrono::steady_clock::now() + kTestTimeout;
  while (ec && std::chrono::steady_clock::now() < deadline) {
    socket.close();
    socket.connect(freeAddress, ec);
    std::this_thread::yield();
  }
  ASSERT_FALSE(ec);
  asio::write(socket, asio::buffer(std::string("GET /up HTTP/1.1\r\n\r\n")));
  boost::beast::flat_buffer buffer;
  Response response;
  http::read(socket, buffer, response, ec);
  EXPECT_FALSE(ec);
  EXPECT_EQ(response.result_int(), 200u);
  kill(pid, SIGTERM);
  EXPECT_EQ(exitCode(pid), 0);
  std::remove(path.c_str());
}

// An upgrade: a second process is started at the address of the first.
class UpgradeTest : public ::testing::Test {
 protected:
  UpgradeTest() {
    discovery_.list.push_back(target("s-0", host.endpoint));
    std::filesystem::create_directory(folder_);
    config["listen"] = textOf(clientAddress);
    config["discovery"] = textOf(discovery_.peer.endpoint);
    config["known"] = {{"rev", 1}, {"all", true}, {"targets", discovery_.list}};
  }
  ~UpgradeTest() override { std::filesystem::remove_all(folder_); }

  template <class Predicate>
  bool until(const Predicate& predicate) {
    return runUntil(io, predicate);
  }
  // Waits until the client has a response or its connection is closed.
  bool untilAnswered(const Client& client) {
    return until([&] { return !client.answers.empty() || client.closedByPeer; });
  }

  void startOldProcess() {
    // The lock file that a killed process has left behind.
    const std::string staleLockFile =
        folder_ + "/gateway-127.0.0.1-" + std::to_string(clientAddress.port()) + ".killed";
    std::ofstream{staleLockFile};
    std::ofstream(configPath_) << config;
    oldProcess = start(oldManagement_);
    ASSERT_TRUE(until([&] { return isReady(oldManagement_); }));
    EXPECT_FALSE(std::filesystem::exists(staleLockFile));
  }
  // Calls `whileWaiting` repeatedly until the new process is ready.
  template <class Action>
  void startNewProcess(const Action& whileWaiting) {
    newProcess = start(newManagement_);
    ASSERT_TRUE(until([&] {
      whileWaiting();
      return isReady(newManagement_);
    }));
    EXPECT_TRUE(isReady(oldManagement_)) << "the old process should serve until it receives SIGTERM";
  }

  // Sends a request on a new connection. None may be refused or reset.
  void expectServed() {
    const std::string id = "r" + std::to_string(++serial_);
    const std::string request = "GET /read HTTP/1.1\r\nHost: x\r\nX-Request-Id: " + id + "\r\n\r\n";
    EXPECT_EQ(statusOf(clientAddress, request), 200u) << id;
  }

  // Stops one of the two processes while connections with one request each are opened throughout.
  void expectNoConnectionLostWhileStopping(pid_t stopped, pid_t remaining) {
    constexpr int kRequests = 50;  // Before and after the stop.
    for (int i = 0; i < kRequests; ++i)
      expectServed();
    kill(stopped, SIGTERM);
    int status = 0;
    ASSERT_TRUE(until([&] {
      expectServed();
      return waitpid(stopped, &status, WNOHANG) == stopped;
    }));
    EXPECT_TRUE(WIFEXITED(status) && WEXITSTATUS(status) == 0);
    for (int i = 0; i < kRequests; ++i)
      expectServed();
    expectExitsAfterSigterm(remaining);
  }
  static void expectExitsAfterSigterm(pid_t process) {
    kill(process, SIGTERM);
    EXPECT_EQ(exitCode(process), 0);
  }

  asio::io_context io;
  const tcp::endpoint clientAddress = freeAddress();
  Peer host{io, [](PeerConnection& connection) { connection.reply(answerText(200, "", "x")); }};
  json config = configJson();
  pid_t oldProcess = 0, newProcess = 0;

 private:
  tcp::endpoint freeAddress() { return tcp::acceptor(io, loopback()).local_endpoint(); }
  pid_t start(const tcp::endpoint& management) const {
    return startProgram(
        {"GW_CONFIG=" + configPath_, "GW_MANAGEMENT=" + textOf(management), "TMPDIR=" + folder_});
  }
  bool isReady(const tcp::endpoint& management) {
    return statusOf(management, "GET /ops/readiness HTTP/1.1\r\nHost: x\r\n\r\n") == 200;
  }
  // Returns the status of the response, 0 if the connection was refused and 1 if there was no response.
  unsigned statusOf(const tcp::endpoint& address, const std::string& request) {
    std::shared_ptr<Client> connection;
    try {
      connection = Client::connect(io, address);
    } catch (const boost::system::system_error&) {
      return 0;
    }
    connection->send(request);
    untilAnswered(*connection);
    return connection->answers.empty() ? 1 : connection->answers.front().result_int();
  }

  const tcp::endpoint oldManagement_ = freeAddress(), newManagement_ = freeAddress();
  const std::string folder_ = ::testing::TempDir() + "upgrade_" + std::to_string(getpid());
  const std::string configPath_ = folder_ + "/config.json";
  FakeDiscovery discovery_{io};
  int serial_ = 0;  // The number in the last request ID.
};

TEST_F(UpgradeTest, LosesNoConnection) {
  startOldProcess();
  expectServed();
  startNewProcess([&] { expectServed(); });
  expectNoConnectionLostWhileStopping(oldProcess, newProcess);
}

TEST_F(UpgradeTest, LosesNoConnectionIfItIsRolledBack) {
  startOldProcess();
  expectServed();
  startNewProcess([&] { expectServed(); });
  expectNoConnectionLostWhileStopping(newProcess, oldProcess);
}

// Guards against a request that is completed after the old process of an upgrade received SIGTERM, and that
// gets more time than the process may have left.
TEST_F(UpgradeTest, OldProcessAnswersLateRequestBeforeItMayBeKilled) {
  using Clock = std::chrono::steady_clock;
  // The platform kills a process no sooner than kKilledAfter after SIGTERM.
  constexpr std::chrono::milliseconds kClientTimeout{3000}, kKilledAfter = kClientTimeout + 700ms;
  constexpr std::chrono::milliseconds kCompletedAfter{1000};
  const std::string firstPart =
      "POST /write HTTP/1.1\r\nHost: x\r\nX-Class: write\r\nX-Request-Id: late\r\n"
      "Content-Length: 8\r\n\r\nbody";
  const std::string lastPart = "body";
  for (auto& requestClass : config["settings"]["grades"])
    requestClass["giveUpNs"] = requestClass["aimNs"] = std::chrono::nanoseconds(kClientTimeout).count();
  startOldProcess();
  const auto client = Client::connect(io, clientAddress);
  client->send("GET /up HTTP/1.1\r\nHost: x\r\n\r\n");
  ASSERT_TRUE(until([&] { return client->answers.size() == 1; }));
  client->answers.clear();
  startNewProcess([] {});  // Without further connections, which would evict the idle one.
  host.script = nullptr;   // It reads requests and never answers.
  client->send(firstPart);
  kill(oldProcess, SIGTERM);
  const auto terminatedAt = Clock::now();
  ASSERT_TRUE(until([&] { return Clock::now() > terminatedAt + kCompletedAfter; }));
  const auto timeLeft = kKilledAfter - (Clock::now() - terminatedAt);
  client->send(lastPart);

  ASSERT_TRUE(untilAnswered(*client));
  EXPECT_EQ(client->answers.size(), 1u) << "closed without an answer";
  ASSERT_EQ(host.requests.size(), 1u);
  EXPECT_LT(std::chrono::milliseconds(std::stol(host.requests[0]["X-Deadline-Ms"].to_string())), timeLeft);
  EXPECT_EQ(exitCode(oldProcess), 0);
  expectExitsAfterSigterm(newProcess);
}

TEST(Program, ExitsWith0OnSigtermSighupSigterm) {
  asio::io_context io;
  FakeDiscovery discovery(io);
  discovery.failing = true;  // it never serves an endpoint list
  const std::string path = ::testing::TempDir() + "twice_config_" + std::to_string(getpid()) + ".json";
  json config = configJson();
  config["discovery"] = textOf(discovery.peer.endpoint);
  std::ofstream(path) << config;
  const pid_t pid = startProgram({"GW_CONFIG=" + path});
  ASSERT_TRUE(runUntil(io, [&] { return !discovery.targets.empty(); }));
  for (const int signal : {SIGTERM, SIGHUP, SIGTERM})
    kill(pid, signal);
  EXPECT_EQ(exitCode(pid), 0);
  std::remove(path.c_str());
}

TEST(Program, ExitsIfAnAddressIsInUseOrMalformed) {
  asio::io_context io;
  tcp::acceptor occupied(io, loopback());
  const std::string path = ::testing::TempDir() + "occupied_config_" + std::to_string(getpid()) + ".json";
  std::ofstream(path) << configJson();
  const std::string tmp = "TMPDIR=" + ::testing::TempDir(), address = textOf(occupied.local_endpoint());
  EXPECT_EQ(exitCode(startProgram({"GW_CONFIG=" + path, tmp, "GW_MANAGEMENT=" + address})), 1);
  EXPECT_EQ(
      exitCode(startProgram({"GW_CONFIG=" + path, tmp, "GW_MANAGEMENT=127.0.0.1:0", "GW_LISTEN=" + address})),
      1);
  EXPECT_EQ(exitCode(startProgram({"GW_CONFIG=" + path, tmp, "GW_MANAGEMENT=nowhere"})), 2);
  std::remove(path.c_str());
}

TEST(Program, SighupSwitchesToTheDiscoveryServerInTheFile) {
  asio::io_context io;
  FakeDiscovery oldDiscovery{io}, newDiscovery{io};
  const auto until = [&](const auto& predicate) { return runUntil(io, predicate); };
  const std::string path = ::testing::TempDir() + "reload_config_" + std::to_string(getpid()) + ".json";
  json config = configJson();
  config["known"] = {{"rev", 1}, {"all", true}, {"targets", {target("s-0", loopback(1))}}};
  const auto replaceFile = [&](const std::string& text) {  // atomically, as the platform does
    std::ofstream(path + ".new") << text;
    std::rename((path + ".new").c_str(), path.c_str());
  };
  replaceFile(config.dump());
  const pid_t pid = startProgram({"GW_CONFIG=" + path, "GW_DISCOVERY=" + textOf(oldDiscovery.peer.endpoint)});
  ASSERT_TRUE(until([&] { return oldDiscovery.held.size() == 1; }));
  json invalid = config;
  invalid["limits"]["sockets"] = -1;
  invalid["discovery"] = "127.0.0.1:1";
  for (const std::string& text : {std::string("{"), invalid.dump()}) {
    replaceFile(text);
    kill(pid, SIGHUP);  // the process has to survive this
  }
  config["discovery"] = textOf(newDiscovery.peer.endpoint);
  replaceFile(config.dump());
  kill(pid, SIGHUP);
  EXPECT_TRUE(until([&] { return newDiscovery.held.size() == 1; }));
  EXPECT_TRUE(until([&] { return oldDiscovery.held[0]->closedByPeer; }));
  kill(pid, SIGTERM);
  EXPECT_EQ(exitCode(pid), 0);
  std::remove(path.c_str());
}

}  // namespace
}  // namespace hollyrun::gateway::testing

int main(int argc, char** argv) {
  ::testing::InitGoogleTest(&argc, argv);
  if (argc < 2)
    return 1;
  hollyrun::gateway::testing::programPath = argv[1];
  return RUN_ALL_TESTS();
}
