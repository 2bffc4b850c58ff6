// The program itself: exit codes and SIGTERM. Its path is the first argument.
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

std::string program;  // set once, by main

pid_t run(std::vector<std::string> variables, std::vector<std::string> arguments = {}) {
  std::vector<char*> argv{program.data()}, env;
  for (std::string& argument : arguments)
    argv.push_back(argument.data());
  argv.push_back(nullptr);
  for (std::string& variable : variables)
    env.push_back(variable.data());
  env.push_back(nullptr);
  pid_t pid = 0;
  EXPECT_EQ(posix_spawn(&pid, program.c_str(), nullptr, nullptr, argv.data(), env.data()), 0);
  return pid;
}

template <class Predicate>
bool runUntil(asio::io_context& io, const Predicate& predicate) {
  const auto end = std::chrono::steady_clock::now() + kTestTimeout;
  while (!predicate()) {
    if (std::chrono::steady_clock::now() > end)
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

TEST(Program, BadConfigurationEndsIt) {
  EXPECT_EQ(exitCode(run({"GW_CONFIG=/nonexistent"})), 2);
  const std::string path = ::testing::TempDir() + "bad_config_" + std::to_string(getpid()) + ".json";
  json config = configJson();
  config["limits"]["sockets"] = -1;
  std::ofstream(path) << config;
  EXPECT_EQ(exitCode(run({"GW_CONFIG=" + path})), 2);
  std::remove(path.c_str());
}

TEST(Program, ItsCommandsEndWithTheDocumentedCodes) {
  const std::string path = ::testing::TempDir() + "commands_" + std::to_string(getpid()) + ".toml";
  std::ofstream(path) << "listen = \"127.0.0.1:8080\"\n[[class]]\nname = \"a\"\naim_ms = 5\n";
  EXPECT_EQ(exitCode(run({}, {"version"})), 0);
  EXPECT_EQ(exitCode(run({}, {"--help"})), 0);
  EXPECT_EQ(exitCode(run({}, {"frobnicate"})), 2);
  EXPECT_EQ(exitCode(run({}, {"check", "--config", path})), 2) << "no discovery";
  EXPECT_EQ(exitCode(run({}, {"check", "--config", path, "--discovery", "127.0.0.1:1"})), 0);
  EXPECT_EQ(exitCode(run({"GW_CONFIG=" + path, "GW_DISCOVERY=127.0.0.1:1"}, {"show"})), 0);
  EXPECT_EQ(exitCode(run({}, {"show"})), 2) << "no file";
  EXPECT_EQ(exitCode(run({}, {"serve", "--config", path + ".none"})), 2);
  std::remove(path.c_str());
}

TEST(Program, SigtermEndsItWithZero) {
  asio::io_context io;
  tcp::endpoint free;
  {
    tcp::acceptor probe(io, loopback());
    free = probe.local_endpoint();
  }
  json config = configJson();
  config["listen"] = textOf(free);
  config["known"] = {{"rev", 1}, {"all", true}, {"targets", {target("s-0", loopback(1))}}};
  const std::string path = ::testing::TempDir() + "program_config.json";
  std::ofstream(path) << config;
  const pid_t pid = run({"GW_CONFIG=" + path});
  tcp::socket socket(io);
  error_code ec = asio::error::not_connected;
  const auto end = std::chrono::steady_clock::now() + kTestTimeout;
  while (ec && std::chrono::steady_clock::now() < end) {
    socket.close();
    socket.connect(free, ec);
    std::this_thread::yield();
  }
  ASSERT_FALSE(ec);
  asio::write(socket, asio::buffer(std::string("GET /up HTTP/1.1\r\n\r\n")));
  boost::beast::flat_buffer buffer;
  Response up;
  http::read(socket, buffer, up, ec);
  EXPECT_FALSE(ec);
  EXPECT_EQ(up.result_int(), 200u);
  kill(pid, SIGTERM);
  EXPECT_EQ(exitCode(pid), 0);
  std::remove(path.c_str());
}

// An upgrade: a second process beside the first, at the same address; then one of the two is told to end.
// Connections are opened all the while, each with one request; none may be refused or reset.
void upgrade(bool takenBack) {
  asio::io_context io;
  const auto freeAddress = [&] { return tcp::acceptor(io, loopback()).local_endpoint(); };
  const tcp::endpoint clients = freeAddress(), first = freeAddress(), second = freeAddress();
  FakeDiscovery discovery(io);
  Peer host(io, [](PeerConnection& c) { c.reply(answerText(200, "", "x")); });
  discovery.list.push_back(target("s-0", host.endpoint));
  const std::string folder = ::testing::TempDir() + "upgrade_" + std::to_string(getpid());
  std::filesystem::create_directory(folder);
  std::ofstream(folder + "/gateway-127.0.0.1-" + std::to_string(clients.port()) + ".killed");  // a leftover
  json config = configJson();
  config["listen"] = textOf(clients);
  config["discovery"] = textOf(discovery.peer.endpoint);
  config["known"] = {{"rev", 1}, {"all", true}, {"targets", discovery.list}};
  const std::string path = folder + "/config.json";
  std::ofstream(path) << config;
  const auto until = [&](const auto& predicate) { return runUntil(io, predicate); };
  const auto ask = [&](const tcp::endpoint& at, const std::string& text) {
    std::shared_ptr<Client> c;
    try {
      c = Client::connect(io, at);
    } catch (const boost::system::system_error&) {
      return 0u;  // refused
    }
    c->send(text);
    until([&] { return !c->answers.empty() || c->closedByPeer; });
    return c->answers.empty() ? 1u : c->answers.front().result_int();
  };
  const auto ready = [&](const tcp::endpoint& at) {
    return ask(at, "GET /ops/readiness HTTP/1.1\r\nHost: x\r\n\r\n") == 200;
  };
  const auto start = [&](const tcp::endpoint& management) {
    return run({"GW_CONFIG=" + path, "GW_MANAGEMENT=" + textOf(management), "TMPDIR=" + folder});
  };
  const pid_t before = start(first);
  ASSERT_TRUE(until([&] { return ready(first); }));
  EXPECT_FALSE(
      std::filesystem::exists(folder + "/gateway-127.0.0.1-" + std::to_string(clients.port()) + ".killed"));
  int serial = 0;
  const auto one = [&] {
    EXPECT_EQ(ask(clients,
                  "GET /read HTTP/1.1\r\nHost: x\r\nX-Request-Id: r" + std::to_string(++serial) + "\r\n\r\n"),
              200u)
        << serial;
  };
  one();
  const pid_t after = start(second);
  ASSERT_TRUE(until([&] {
    one();
    return ready(second);
  }));
  EXPECT_TRUE(ready(first)) << "it serves on until it is told to stop";
  for (int i = 0; i < 50; ++i)
    one();
  const pid_t ends = takenBack ? after : before, stays = takenBack ? before : after;
  kill(ends, SIGTERM);
  int status = 0;
  ASSERT_TRUE(until([&] {
    one();
    return waitpid(ends, &status, WNOHANG) == ends;
  }));
  EXPECT_TRUE(WIFEXITED(status) && WEXITSTATUS(status) == 0);
  for (int i = 0; i < 50; ++i)
    one();
  kill(stays, SIGTERM);
  EXPECT_EQ(exitCode(stays), 0);
  std::filesystem::remove_all(folder);
}

TEST(Program, AnUpgradeLosesNoConnection) {
  upgrade(false);
}
TEST(Program, AnUpgradeThatIsTakenBackLosesNoConnection) {
  upgrade(true);
}

TEST(Program, SigtermTwiceWithAHangupBetweenEndsItWithZero) {
  asio::io_context io;
  FakeDiscovery discovery(io);
  discovery.failing = true;  // it never tells a list
  const std::string path = ::testing::TempDir() + "twice_config_" + std::to_string(getpid()) + ".json";
  json config = configJson();
  config["discovery"] = textOf(discovery.peer.endpoint);
  std::ofstream(path) << config;
  const pid_t pid = run({"GW_CONFIG=" + path});
  ASSERT_TRUE(runUntil(io, [&] { return !discovery.targets.empty(); }));
  for (const int signal : {SIGTERM, SIGHUP, SIGTERM})
    kill(pid, signal);
  EXPECT_EQ(exitCode(pid), 0);
  std::remove(path.c_str());
}

TEST(Program, AnAddressThatCannotBeHadEndsTheStart) {
  asio::io_context io;
  tcp::acceptor held(io, loopback());
  const std::string path = ::testing::TempDir() + "held_config_" + std::to_string(getpid()) + ".json";
  std::ofstream(path) << configJson();
  const std::string tmp = "TMPDIR=" + ::testing::TempDir(), address = textOf(held.local_endpoint());
  EXPECT_EQ(exitCode(run({"GW_CONFIG=" + path, tmp, "GW_MANAGEMENT=" + address})), 1);
  EXPECT_EQ(exitCode(run({"GW_CONFIG=" + path, tmp, "GW_MANAGEMENT=127.0.0.1:0", "GW_LISTEN=" + address})),
            1);
  EXPECT_EQ(exitCode(run({"GW_CONFIG=" + path, tmp, "GW_MANAGEMENT=nowhere"})), 2);
  std::remove(path.c_str());
}

TEST(Program, SighupMovesItToTheDiscoveryThatTheFileNames) {
  asio::io_context io;
  FakeDiscovery before{io}, after{io};
  const auto until = [&](const auto& predicate) { return runUntil(io, predicate); };
  const std::string path = ::testing::TempDir() + "reload_config_" + std::to_string(getpid()) + ".json";
  json config = configJson();
  config["known"] = {{"rev", 1}, {"all", true}, {"targets", {target("s-0", loopback(1))}}};
  const auto write = [&](const std::string& text) {  // replaced whole, as the platform does
    std::ofstream(path + ".new") << text;
    std::rename((path + ".new").c_str(), path.c_str());
  };
  write(config.dump());
  const pid_t pid = run({"GW_CONFIG=" + path, "GW_DISCOVERY=" + textOf(before.peer.endpoint)});
  ASSERT_TRUE(until([&] { return before.held.size() == 1; }));
  json wrong = config;
  wrong["limits"]["sockets"] = -1;
  wrong["discovery"] = "127.0.0.1:1";
  for (const std::string& text : {std::string("{"), wrong.dump()}) {
    write(text);
    kill(pid, SIGHUP);  // survived; the next one comes when the file is whole
  }
  config["discovery"] = textOf(after.peer.endpoint);
  write(config.dump());
  kill(pid, SIGHUP);
  EXPECT_TRUE(until([&] { return after.held.size() == 1; }));
  EXPECT_TRUE(until([&] { return before.held[0]->closedByPeer; }));
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
  hollyrun::gateway::testing::program = argv[1];
  return RUN_ALL_TESTS();
}
