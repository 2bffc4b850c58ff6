// The stand-ins of the review's cases: the record of a run, record servers, discovery and the gateway's
// process. They follow PROTOCOL-hollyrun.md and DEPLOY-hollyrun.md.
#pragma once

#include <sys/types.h>

#include <atomic>
#include <condition_variable>
#include <functional>
#include <list>
#include <memory>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

#include "http.hpp"

namespace review {

/// Exit codes of a case.
inline constexpr int kHeld = 0, kBroken = 1, kCouldNotRun = 2;

/// The file record.txt: one line per event, with the seconds since the start of the run.
class Record {
 public:
  explicit Record(const std::string& path);
  ~Record();
  void line(const char* format, ...) __attribute__((format(printf, 2, 3)));

 private:
  std::mutex mutex_;
  std::FILE* file_;
};

/// Threads that are joined at the end of the run.
class Threads {
 public:
  ~Threads() { join(); }
  void start(std::function<void()> body);
  void join();

 private:
  std::mutex mutex_;
  std::list<std::thread> threads_;
};

/// What a record server knows of one request.
struct Exchange {
  Message request;
  std::string id, className;
  Stream* stream = nullptr;
};

std::string okAnswer(const std::string& body);

/// A record server: a thread per connection, `slots` requests in work at a time, the others wait.
class RecordServer {
 public:
  /// Answers a request. Called when its work is done; the default writes a 200 with bodyFor().
  using Answer = std::function<void(RecordServer&, Exchange&)>;

  RecordServer(int number, Record& record, Threads& threads);
  ~RecordServer();

  Answer answer;
  std::function<void(const Exchange&)> onRequest;  // called when the last byte of a request has come
  int slots = 2;
  double workMs = 40;               // mean work of a request, uniform between half and one and a half
  std::atomic<bool> hangs = false;  // the machine takes bytes and connections, the server does nothing
  std::atomic<bool> stops = false;  // ends the threads

  const std::string& uid() const { return uid_; }
  std::uint16_t port() const { return port_; }
  int number() const { return number_; }
  int requestsBegun() const { return begun_; }
  std::string bodyFor(const Exchange& exchange) const;

 private:
  void accept();
  void serve(int descriptor);
  void work(Exchange& exchange);
  void waitWhileHanging() const;

  int number_;
  Record& record_;
  Threads& threads_;
  std::string uid_;
  std::uint16_t port_ = 0;
  int listener_;
  std::mutex mutex_;
  std::condition_variable slotFreed_;
  int inWork_ = 0;
  std::atomic<int> begun_ = 0;
};

/// Discovery's agent. Answers every call with the whole list, a watch when the list has changed.
class Discovery {
 public:
  Discovery(Record& record, Threads& threads);
  ~Discovery();

  std::atomic<bool> stops = false;

  void add(const RecordServer& server, const std::string& zone, int cell);
  std::uint16_t port() const { return port_; }
  std::string listText();

 private:
  struct Entry {
    std::string uid, address, zone;
    int cell = 0;
  };
  void accept();
  void serve(int descriptor);

  Record& record_;
  Threads& threads_;
  std::uint16_t port_ = 0;
  int listener_;
  std::mutex mutex_;
  std::vector<Entry> entries_;
  int revision_ = 41;
};

/// One gateway, started with the `run` command of the deploy file.
class GatewayProcess {
 public:
  struct Place {
    std::string root, run, folder;  // of the repository; of the deploy file; a temporary one
    int number = 0, gateways = 1;
    int sockets = 1024;  // the limit on descriptors
    std::uint16_t discoveryPort = 0;
    std::string known;  // discovery's list
  };
  GatewayProcess(const Place& place, Record& record);
  /// Ends the process with SIGKILL if it still runs.
  ~GatewayProcess();

  /// Waits until GET /up is answered with 200.
  bool awaitReady(Millis timeout);
  void signal(int number);
  /// Returns whether the process has ended by itself or by a signal of this class.
  bool hasEnded();
  std::uint16_t port() const { return port_; }

 private:
  Record& record_;
  std::uint16_t port_;
  pid_t process_ = -1;
};

/// The classes of the settings, as in the sample of WIRE-hollyrun.md.
struct ClassFacts {
  const char* name;
  double giveUpMs;
  bool isSafe, isKeyed;
};
inline constexpr ClassFacts kLookup{"lookup", 1000, true, false};
inline constexpr ClassFacts kCertificate{"certificate", 1200, false, false};
inline constexpr ClassFacts kAmendment{"amendment", 1500, false, true};

/// How long a client waits for one try: 55% of the class's time (BRIEF, 5.2: 50 to 60%).
int tryMs(const ClassFacts& facts);
/// The text of a request of the class.
std::string requestText(const ClassFacts& facts, const std::string& id, const std::string& key);
/// A new request id of 16 hexadecimal digits.
std::string newId();

/// A temporary folder, removed at the end.
class TemporaryFolder {
 public:
  TemporaryFolder();
  ~TemporaryFolder();
  const std::string& path() const { return path_; }

 private:
  std::string path_;
};

/// The arguments that run.sh passes on, and whether the disruption happens (TROUBLE).
struct Arguments {
  std::string root, run, caseFolder;
  bool isTrouble = true;
};
Arguments readArguments(int count, char** values);
/// Ends the program with kCouldNotRun after 115 s, whatever happens; its gateways end with it.
void limitRunTime();

/// Record servers in three zones, discovery and gateways. The destructor ends all of them.
class Deployment {
 public:
  Deployment(const Arguments& arguments, Record& record, int servers, int gateways);
  ~Deployment();
  /// Starts the gateways with this limit on descriptors. Returns false if one did not become ready.
  bool startGateways(int sockets = 1024);

 private:
  Record& record_;
  Arguments arguments_;
  int gatewayCount_;
  TemporaryFolder folder_;

 public:
  Threads threads;
  Discovery discovery;
  std::vector<std::unique_ptr<RecordServer>> servers;
  std::vector<std::unique_ptr<GatewayProcess>> gateways;
};

}  // namespace review
