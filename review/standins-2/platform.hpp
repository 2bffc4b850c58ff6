/// Stand-ins for the platform, discovery and the record servers, and the gateway as a process of its own.
/// A case is a program that takes the command of the deploy file and the file for its record.
#pragma once

#include <fcntl.h>
#include <signal.h>
#include <sys/prctl.h>
#include <sys/wait.h>

#include <atomic>
#include <condition_variable>
#include <cstdarg>
#include <cstdio>
#include <filesystem>
#include <fstream>
#include <functional>
#include <memory>
#include <mutex>
#include <random>
#include <thread>
#include <utility>
#include <vector>

#include "http.hpp"

namespace review {

inline constexpr int kHeld = 0, kBroken = 1, kCouldNotRun = 2;

inline bool hasTrouble() {
  const char* const value = std::getenv("TROUBLE");
  return !value || std::string(value) != "0";
}

/// The file record.txt: one line for each thing that was sent, answered or run, with the time in ms.
class Record {
 public:
  explicit Record(const std::string& path) : file_(std::fopen(path.c_str(), "w")) {
    if (!file_)
      throw std::runtime_error("cannot write " + path);
  }
  ~Record() { std::fclose(file_); }
  Record(const Record&) = delete;
  Record& operator=(const Record&) = delete;

  void line(const char* format, ...) __attribute__((format(printf, 2, 3))) {
    const std::chrono::duration<double, std::milli> now = Clock::now() - start_;
    const std::lock_guard lock(mutex_);
    std::fprintf(file_, "%10.1f  ", now.count());
    va_list arguments;
    va_start(arguments, format);
    std::vfprintf(file_, format, arguments);
    va_end(arguments);
    std::fputc('\n', file_);
    std::fflush(file_);
  }

 private:
  std::FILE* file_;
  std::mutex mutex_;
  const Clock::time_point start_ = Clock::now();
};

/// Accepts connections on a free port and runs a thread for each.
class Server {
 public:
  using Serve = std::function<void(Socket&)>;

  explicit Server(Serve serve) : serve_(std::move(serve)), listener_(listenOnFreePort()) {
    port_ = portOf(listener_);
    std::thread([listener = listener_.fd(), serve = serve_] {
      for (;;) {
        const int fd = ::accept4(listener, nullptr, nullptr, SOCK_CLOEXEC);
        if (fd < 0 && errno != EINTR && errno != ECONNABORTED)
          return;
        if (fd < 0)
          continue;
        const int on = 1;
        ::setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
        std::thread([fd, serve] {
          Socket socket(fd);
          serve(socket);
        }).detach();
      }
    }).detach();
  }
  std::uint16_t port() const { return port_; }

 private:
  Serve serve_;
  Socket listener_;
  std::uint16_t port_ = 0;
};

/// A record server as discovery lists it.
struct Target {
  std::string uid;
  std::uint16_t port = 0;
  std::string zone = "fukuoka-hall";
  int podGroup = 0;
  std::string state = "SERVING";
};

inline std::string listText(std::int64_t version, bool whole, const std::vector<Target>& targets) {
  std::string text =
      "{\"rev\":" + std::to_string(version) + ",\"all\":" + (whole ? "true" : "false") + ",\"targets\":[";
  for (std::size_t i = 0; i < targets.size(); ++i) {
    const Target& target = targets[i];
    text += (i ? "," : "") + std::string("{\"uid\":\"") + target.uid +
            "\",\"endpoint\":\"127.0.0.1:" + std::to_string(target.port) + "\",\"az\":\"" + target.zone +
            "\",\"model\":\"standard-2core\",\"pod_group\":" + std::to_string(target.podGroup) +
            ",\"state\":\"" + target.state + "\",\"capacity_hint\":1.0,\"boot_ms\":0}";
  }
  return text + "]}";
}

/// Discovery: answers the whole list to a call without a version and the changes to a watch, which waits for
/// them.
class Discovery {
 public:
  explicit Discovery(std::vector<Target> targets)
      : targets_(std::move(targets)),
        changedIn_(targets_.size(), kFirstVersion),
        server_([this](Socket& socket) { serve(socket); }) {}
  std::uint16_t port() const { return server_.port(); }
  /// The list as a gateway last had it.
  std::string knownList() {
    const std::lock_guard lock(mutex_);
    return listText(version_, true, targets_);
  }
  void setState(std::size_t target, const std::string& state) {
    const std::lock_guard lock(mutex_);
    targets_[target].state = state;
    changedIn_[target] = ++version_;
    changed_.notify_all();
  }
  /// From now on each answer comes this much later.
  void setDelay(milliseconds delay) { delayMs_ = delay.count(); }

 private:
  static constexpr std::int64_t kFirstVersion = 41;

  void serve(const Socket& socket) {
    MessageReader reader;
    Message call;
    while (reader.read(socket, call, Clock::now() + std::chrono::minutes(5)) == ReadResult::message) {
      const std::string list = answerTo(call.target());
      if (!sendAll(socket, response(200, "OK", list, "Content-Type: application/json\r\n")))
        return;
    }
  }

  std::string answerTo(const std::string& target) {
    const std::size_t sinceAt = target.find("since="), waitAt = target.find("timeout_ms=");
    const std::int64_t since = sinceAt == std::string::npos ? 0 : std::atoll(target.c_str() + sinceAt + 6);
    const std::int64_t wait = waitAt == std::string::npos ? 0 : std::atoll(target.c_str() + waitAt + 11);
    std::unique_lock lock(mutex_);
    if (since >= kFirstVersion)
      changed_.wait_for(lock, milliseconds(wait), [&] { return version_ > since; });
    lock.unlock();
    std::this_thread::sleep_for(milliseconds(delayMs_));
    lock.lock();
    if (since < kFirstVersion)
      return listText(version_, true, targets_);
    std::vector<Target> changes;
    for (std::size_t i = 0; i < targets_.size(); ++i)
      if (changedIn_[i] > since)
        changes.push_back(targets_[i]);
    return listText(version_, false, changes);
  }

  std::mutex mutex_;
  std::condition_variable changed_;
  std::int64_t version_ = kFirstVersion;
  std::vector<Target> targets_;
  std::vector<std::int64_t> changedIn_;
  std::atomic<std::int64_t> delayMs_ = 0;
  Server server_;
};

/// A class of the settings, with the names of the wire.
struct ClassText {
  std::string name, effect, group;
  int aimMs = 0, giveUpMs = 0, windowMs = 0;
  double points = 1;
};

/// The classes of the site.
inline std::vector<ClassText> siteClasses() {
  return {{"lookup", "retryable", "all", 400, 1000, 5000, 5},
          {"certificate", "fragile", "all", 600, 1200, 5000, 2},
          {"amendment", "dedup", "cell", 300, 1500, 7500, 3}};
}

inline std::string settingsText(const std::vector<ClassText>& classes) {
  const auto ns = [](int ms) { return std::to_string(ms) + "000000"; };
  std::string grades;
  for (const ClassText& entry : classes)
    grades += (grades.empty() ? "" : ",") + std::string("{\"name\":\"") + entry.name + "\",\"effect\":\"" +
              entry.effect + "\",\"group\":\"" + entry.group + "\",\"aimNs\":" + ns(entry.aimMs) +
              ",\"giveUpNs\":" + ns(entry.giveUpMs) + ",\"windowNs\":" + ns(entry.windowMs) +
              ",\"lateShare\":0.5,\"stream\":false,\"points\":" + std::to_string(entry.points) + "}";
  return "{\"ceilings\":{\"cancel\":true,\"connectTimeoutNs\":150000000,\"idleCloseNs\":60000000000,"
         "\"maxAttempts\":3,\"maxRetryAfterNs\":1500000000,\"parallelTries\":true,\"peers\":false,"
         "\"probes\":false,\"retryAfter\":true,\"streamsPerConn\":1},\"domain\":{\"warmKeys\":true},"
         "\"grades\":[" +
         grades +
         "],\"groupSize\":3,\"myNumber\":0,\"registryMode\":\"push\",\"rules\":{\"answerSlackNs\":20000000,"
         "\"askWithinNs\":10000000000,\"coldNs\":23000000000,\"coldShare\":0.12,\"drainGraceNs\":1000000000,"
         "\"fallMultiple\":4.0,\"fallNs\":1000000000},\"stepNs\":5000000,\"tenants\":[],\"weights\":\"none\","
         "\"zone\":\"fukuoka-hall\",\"zones\":[\"fukuoka-hall\",\"kumamoto-hall\"]}";
}

/// One gateway, started with the command of the deploy file and ended with this object.
class Gateway {
 public:
  Gateway(const std::string& command, Discovery& discovery, const std::vector<ClassText>& classes)
      : port_(freePort()) {
    std::string pattern = (std::filesystem::temp_directory_path() / "review-XXXXXX").string();
    if (!::mkdtemp(pattern.data()))
      throw std::runtime_error("cannot create a temporary folder");
    folder_ = pattern;
    std::filesystem::create_directory(folder_ / "tmp");
    const std::string address = "127.0.0.1:" + std::to_string(port_);
    const std::string discoveryAddress = "127.0.0.1:" + std::to_string(discovery.port());
    std::ofstream(folder_ / "config.json")
        << "{\"name\":\"n0\",\"listen\":\"" << address << "\",\"discovery\":\"" << discoveryAddress
        << "\",\"seed\":\"8c1f30d27a5be964\",\"limits\":{\"cores\":1.0,\"memory_mb\":64,\"sockets\":512},"
        << "\"known\":" << discovery.knownList() << ",\"settings\":" << settingsText(classes) << "}";
    pid_ = ::fork();
    if (pid_ == 0)
      run(command, address, discoveryAddress);
  }
  ~Gateway() {
    if (isRunning())
      ::kill(pid_, SIGKILL);
    if (pid_ > 0)
      ::waitpid(pid_, nullptr, 0);
    std::error_code ignored;
    std::filesystem::remove_all(folder_, ignored);
  }
  Gateway(const Gateway&) = delete;
  Gateway& operator=(const Gateway&) = delete;

  std::uint16_t port() const { return port_; }
  void signal(int number) const { ::kill(pid_, number); }
  /// Of the program that `run` started.
  bool isRunning() {
    if (pid_ > 0 && ::waitpid(pid_, nullptr, WNOHANG) == pid_)
      pid_ = -1;
    return pid_ > 0;
  }
  /// Waits until `GET /up` answers 200, as the front does.
  bool awaitReady(std::chrono::seconds limit = std::chrono::seconds(30)) {
    const auto until = Clock::now() + limit;
    while (Clock::now() < until && isRunning()) {
      const Socket socket = connectTo(port_);
      MessageReader reader;
      Message answer;
      if (socket.isOpen() && sendAll(socket, "GET /up HTTP/1.1\r\nHost: api.internal\r\n\r\n") &&
          reader.read(socket, answer, Clock::now() + std::chrono::seconds(1)) == ReadResult::message &&
          answer.status() == 200)
        return true;
      std::this_thread::sleep_for(milliseconds(50));
    }
    return false;
  }

 private:
  void run(const std::string& command, const std::string& address, const std::string& discovery) const {
    ::prctl(PR_SET_PDEATHSIG, SIGKILL);  // the gateway never outlives the case
    ::setenv("GW_NAME", "n0", 1);
    ::setenv("GW_LISTEN", address.c_str(), 1);
    ::setenv("GW_DISCOVERY", discovery.c_str(), 1);
    ::setenv("GW_CONFIG", (folder_ / "config.json").c_str(), 1);
    ::setenv("TMPDIR", (folder_ / "tmp").c_str(), 1);
    const int log = ::open((folder_ / "log").c_str(), O_CREAT | O_WRONLY, 0600);
    ::dup2(log, STDOUT_FILENO);
    ::dup2(log, STDERR_FILENO);
    ::execl("/bin/sh", "sh", "-c", command.c_str(), static_cast<char*>(nullptr));
    ::_exit(127);
  }

  std::uint16_t port_;
  std::filesystem::path folder_;
  pid_t pid_ = -1;
};

/// The text of a client's request. `name` is its id, and the body of a POST names it, too.
inline std::string requestText(const ClassText& type, const std::string& name, int deadlineMs) {
  const bool isGet = type.effect == "retryable";
  const std::string body = isGet ? "" : "work for " + name;
  std::string text =
      (isGet ? "GET /" : "POST /") + type.name + " HTTP/1.1\r\nHost: api.internal\r\nX-Request-Id: " + name +
      "\r\nX-Class: " + type.name + "\r\nX-Deadline-Ms: " + std::to_string(deadlineMs) + "\r\n";
  if (type.effect == "dedup")
    text += "Idempotency-Key: key-" + name + "\r\n";
  if (!isGet)
    text += "Content-Length: " + std::to_string(body.size()) + "\r\n";
  return text + "\r\n" + body;
}

/// A new id, in the form that the protocol page shows.
inline std::string newRequestId() {
  static std::mutex mutex;
  static std::mt19937_64 random{std::random_device{}()};
  const std::lock_guard lock(mutex);
  char text[17];
  std::snprintf(text, sizeof text, "%016llx", static_cast<unsigned long long>(random()));
  return text;
}

/// The body that a record server makes for a request.
inline std::string recordOf(const std::string& name) {
  return "record for " + name;
}

/// Runs a case: `run` returns one of the codes above.
inline int runCase(int argc, char** argv, int (*run)(const std::string& command, Record& record)) {
  if (argc != 3) {
    std::fprintf(stderr, "usage: %s COMMAND RECORD\n", argv[0]);
    return kCouldNotRun;
  }
  ::signal(SIGPIPE, SIG_IGN);
  int code = kCouldNotRun;
  try {
    Record record(argv[2]);
    code = run(argv[1], record);
    record.line("exit code %d", code);
  } catch (const std::exception& error) {
    std::fprintf(stderr, "%s\n", error.what());
  }
  std::fflush(nullptr);
  ::_exit(code);  // the threads of the stand-ins are still waiting
}

}  // namespace review
