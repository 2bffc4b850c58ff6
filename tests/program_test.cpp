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

// Starts a second process at the address of the first and then stops one of the two: the old one if the
// upgrade is completed, the new one if it is rolled back. Connections with one request each are opened
// throughout; none may be refused or reset.
void upgrade(bool isRolledBack) {
  asio::io_context io;
  const auto freeAddress = [&] { return tcp::acceptor(io, loopback()).local_endpoint(); };
  const tcp::endpoint clientAddress = freeAddress(), oldManagement = freeAddress(),
                      newManagement = freeAddress();
  FakeDiscovery discovery(io);
  Peer host(io, [](PeerConnection& connection) { connection.reply(answerText(200, "", "x")); });
  discovery.list.push_back(target("s-0", host.endpoint));
  const std::string folder = ::testing::TempDir() + "upgrade_" + std::to_string(getpid());
  std::filesystem::create_directory(folder);
  // The lock file that a killed process has left behind.
  const std::string staleLockFile =
      folder + "/gateway-127.0.0.1-" + std::to_string(clientAddress.port()) + ".killed";
  std::ofstream{staleLockFile};
  json config = configJson();
  config["listen"] = textOf(clientAddress);
  config["discovery"] = textOf(discovery.peer.endpoint);
  config["known"] = {{"rev", 1}, {"all", true}, {"targets", discovery.list}};
  const std::string path = folder + "/config.json";
  std::ofstream(path) << config;
  const auto until = [&](const auto& predicate) { return runUntil(io, predicate); };
  // Returns the status of the response, 0 if the connection was refused and 1 if there was no response.
  const auto statusOf = [&](const tcp::endpoint& address, const std::string& request) {
    std::shared_ptr<Client> connection;
    try {
      connection = Client::connect(io, address);
    } catch (const boost::system::system_error&) {
      return 0u;
    }
    connection->send(request);
    until([&] { return !connection->answers.empty() || connection->closedByPeer; });
    return connection->answers.empty() ? 1u : connection->answers.front().result_int();
  };
  const auto isReady = [&](const tcp::endpoint& management) {
    return statusOf(management, "GET /ops/readiness HTTP/1.1\r\nHost: x\r\n\r\n") == 200;
  };
  const auto start = [&](const tcp::endpoint& management) {
    return startProgram({"GW_CONFIG=" + path, "GW_MANAGEMENT=" + textOf(management), "TMPDIR=" + folder});
  };
  const pid_t oldProcess = start(oldManagement);
  ASSERT_TRUE(until([&] { return isReady(oldManagement); }));
  EXPECT_FALSE(std::filesystem::exists(staleLockFile));
  int serial = 0;
  const auto expectServed = [&] {
    EXPECT_EQ(statusOf(clientAddress, "GET /read HTTP/1.1\r\nHost: x\r\nX-Request-Id: r" +
                                          std::to_string(++serial) + "\r\n\r\n"),
              200u)
        << serial;
  };
  expectServed();
  const pid_t newProcess = start(newManagement);
  ASSERT_TRUE(until([&] {
    expectServed();
    return isReady(newManagement);
  }));
  EXPECT_TRUE(isReady(oldManagement)) << "the old process should serve until it receives SIGTERM";
  for (int i = 0; i < 50; ++i)
    expectServed();
  const pid_t stopped = isRolledBack ? newProcess : oldProcess;
  const pid_t remaining = isRolledBack ? oldProcess : newProcess;
  kill(stopped, SIGTERM);
  int status = 0;
  ASSERT_TRUE(until([&] {
    expectServed();
    return waitpid(stopped, &status, WNOHANG) == stopped;
  }));
  EXPECT_TRUE(WIFEXITED(status) && WEXITSTATUS(status) == 0);
  for (int i = 0; i < 50; ++i)
    expectServed();
  kill(remaining, SIGTERM);
  EXPECT_EQ(exitCode(remaining), 0);
  std::filesystem::remove_all(folder);
}

TEST(Program, UpgradeLosesNoConnection) {
  upgrade(/*isRolledBack=*/false);
}
TEST(Program, RolledBackUpgradeLosesNoConnection) {
  upgrade(/*isRolledBack=*/true);
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
