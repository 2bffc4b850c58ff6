// Fixture of the tests that run the gateway as a process, between scripted peers and with system call faults
// that the preloaded fault library injects.
#pragma once

#include <fcntl.h>
#include <signal.h>
#include <spawn.h>
#include <sys/wait.h>
#include <unistd.h>

#include <csignal>
#include <cstdio>
#include <cstring>
#include <filesystem>
#include <fstream>
#include <map>
#include <set>

#include "lab/faults/fault_file.hpp"
#include "net_peers.hpp"

namespace hollyrun::gateway::testing {

using lab::FaultyCall;
using namespace std::chrono_literals;

inline std::string program, library;  // set by main

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

// Runs the tests. Arguments: path of the program, path of the fault library.
inline int runProcessTests(int argc, char** argv) {
  ::testing::InitGoogleTest(&argc, argv);
  std::signal(SIGPIPE, SIG_IGN);  // the program may have ended before reading all input
  if (argc >= 3) {
    program = argv[1];
    library = argv[2];
  } else if (!::testing::GTEST_FLAG(list_tests)) {  // the build lists the tests and passes no arguments
    return 1;
  }
  return RUN_ALL_TESTS();
}

inline PeerConnection::Script answering(const std::string& body) {
  return [body](PeerConnection& connection) { connection.reply(answerText(200, "", body)); };
}

}  // namespace hollyrun::gateway::testing
