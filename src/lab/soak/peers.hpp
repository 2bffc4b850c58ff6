// The loopback peers of a soak: record servers, discovery with one agent per gateway, and clients that send
// one request each. All of them report their observations to the oracle.
#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/beast/http/message.hpp>
#include <boost/beast/http/string_body.hpp>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <string_view>
#include <unordered_set>
#include <vector>

#include "lab/soak/oracle.hpp"

namespace hollyrun::lab {

SoakTime soakNow();

using SoakRequest = boost::beast::http::request<boost::beast::http::string_body>;

/// An HTTP/1.1 listener that passes each complete request to the handler.
class SoakListener {
 public:
  class Connection;
  using Handle = std::function<void(const std::shared_ptr<Connection>&, const SoakRequest&)>;

  SoakListener(boost::asio::io_context& io, Handle handle);
  ~SoakListener();
  SoakListener(const SoakListener&) = delete;
  SoakListener& operator=(const SoakListener&) = delete;

  boost::asio::ip::tcp::endpoint endpoint() const { return endpoint_; }
  void closeAll(bool reset);  ///< closes the open connections; new ones are still accepted
  void stopAccepting() { acceptor_.close(); }
  /// Closes the open connections and refuses new ones from now on. The port stays reserved.
  void refuse();
  /// Accepts connections again after refuse().
  void listen();

 private:
  void accept();
  boost::asio::ip::tcp::socket portReservation_;
  boost::asio::ip::tcp::acceptor acceptor_;
  boost::asio::ip::tcp::endpoint endpoint_;
  Handle handle_;
  std::vector<std::weak_ptr<Connection>> connections_;
};

class SoakListener::Connection : public std::enable_shared_from_this<Connection> {
 public:
  Connection(boost::asio::ip::tcp::socket socket, Handle handle);
  void read();
  void reply(unsigned status, const std::string& headers, const std::string& body);
  void close(bool reset);
  bool isOpen() const;
  /// When the head of the last request had come.
  SoakTime headReceivedAt() const;

 private:
  void readBody();
  struct State;
  std::shared_ptr<State> state_;
};

/// The body of a response: the request id, and padding where the target asks for a size.
std::string soakResponseBody(const std::string& id, std::string_view target);

/// A record server: answers with soakResponseBody() after a few milliseconds unless a fault mode is set.
class SoakServer {
 public:
  enum class Mode { serving, refusing, hanging, resetting };

  SoakServer(boost::asio::io_context& io, std::size_t number, SoakOracle& oracle);
  boost::asio::ip::tcp::endpoint endpoint() const { return listener_.endpoint(); }
  void setMode(Mode mode) { mode_ = mode; }
  /// Emulates the restart of the server: resets all open connections.
  void restart() { listener_.closeAll(true); }
  std::size_t arrivals() const { return arrivals_; }

 private:
  void handle(const std::shared_ptr<SoakListener::Connection>& connection, const SoakRequest& request);
  boost::asio::io_context& io_;
  std::size_t number_, arrivals_ = 0;
  SoakOracle& oracle_;
  Mode mode_ = Mode::serving;
  SoakListener listener_;
};

/// How an agent of discovery treats calls.
enum class SoakAgentMode : std::uint8_t {
  answering,
  silent,    ///< answers the calls that it got meanwhile once it answers again
  muted,     ///< closes its watches, and never answers the calls that it gets meanwhile
  refusing,  ///< resets its connections and refuses new ones
  failing,   ///< closes its watches, and answers with status 503
  invalid,   ///< closes its watches, and answers with something that is not a list
  late       ///< answers each call after a delay
};

/// Discovery: one endpoint list, served to each gateway by an agent of its own.
class SoakDiscovery {
 public:
  enum class State { serving, draining, removed };

  SoakDiscovery(boost::asio::io_context& io, std::size_t gateways, SoakOracle& oracle);
  ~SoakDiscovery();
  void add(std::size_t server, const boost::asio::ip::tcp::endpoint& endpoint);
  void setState(std::size_t server, State state, std::int64_t bootMs);
  boost::asio::ip::tcp::endpoint agent(std::size_t gateway) const;
  std::size_t agents() const { return agents_.size(); }
  /// `delay` is the time until an answer in the mode `late`.
  void setMode(std::size_t gateway, SoakAgentMode mode, SoakTime delay = {});
  /// Moves the agent to a new address, as before a SIGHUP of its gateway. The former address takes no new
  /// connections and closes its open ones after a while.
  void move(std::size_t gateway);
  void closeWatches(std::size_t gateway);
  /// Returns the full list as discovery's JSON, for a configuration.
  std::string fullList() const;
  /// The full list counts as announced to the gateway, because its new process starts with it.
  void announceFullList(std::size_t gateway);

 private:
  struct Entry {
    boost::asio::ip::tcp::endpoint endpoint;
    State state = State::serving;
    std::int64_t bootMs = 0, version = 1;
  };
  struct PendingWatch {
    std::shared_ptr<SoakListener::Connection> connection;
    std::int64_t since = 0;
    std::shared_ptr<boost::asio::steady_timer> timer;
  };
  struct Agent {
    std::unique_ptr<SoakListener> listener;
    std::vector<std::unique_ptr<SoakListener>> formerListeners;
    std::vector<PendingWatch> pendingWatches;
    SoakAgentMode mode = SoakAgentMode::answering;
    SoakTime delay{};          ///< until an answer in the mode `late`
    SoakTime announcesFrom{};  ///< after a move, changes count from this time on
  };

  std::unique_ptr<SoakListener> newListener(std::size_t gateway);
  void handle(std::size_t gateway, const std::shared_ptr<SoakListener::Connection>& connection,
              const SoakRequest& request);
  bool holdsCalls(std::size_t gateway) const;
  void hold(std::size_t gateway, PendingWatch watch, std::chrono::milliseconds wait);
  void respond(std::size_t gateway, const PendingWatch& watch);
  void write(std::size_t gateway, const PendingWatch& watch);
  void respondToPendingWatches(std::size_t gateway);
  void announce(std::size_t gateway, std::int64_t since);
  std::string listJson(std::int64_t since) const;

  boost::asio::io_context& io_;
  SoakOracle& oracle_;
  std::int64_t version_ = 1;
  std::vector<Entry> entries_;
  std::vector<Agent> agents_;
};

/// Idle connections that fill the descriptors of a gateway.
class SoakCrowd {
 public:
  explicit SoakCrowd(boost::asio::io_context& io) : io_(io) {}
  void arrive(const boost::asio::ip::tcp::endpoint& gateway, std::size_t connections);
  void leave() { sockets_.clear(); }

 private:
  boost::asio::io_context& io_;
  std::vector<std::shared_ptr<boost::asio::ip::tcp::socket>> sockets_;
};

/// How a client disconnects before its response.
enum class SoakDisconnect { none, close, halfClose, reset };

/// A request of a client.
struct SoakCall {
  std::string id, body;
  std::string head;  ///< request line and headers, without the deadline and the empty line
  SoakClass requestClass;
  std::size_t gateway = 0;
  SoakTime timeout{};
  SoakTime firstSentAt{};  ///< set by the client
  SoakDisconnect disconnect = SoakDisconnect::none;
  SoakTime disconnectAfter{};
};

/// Sends each request once. A request whose reused connection was closed before any byte of the response is
/// sent once more on a new connection, as HTTP/1.1 allows, with the time that its client still waits.
class SoakClients {
 public:
  SoakClients(boost::asio::io_context& io, SoakOracle& oracle, std::size_t gateways);
  ~SoakClients();
  /// Returns at once; the outcome is reported to the oracle.
  void send(const boost::asio::ip::tcp::endpoint& gateway, SoakCall call);
  /// The same on a connection that is open already; there has to be one.
  void sendOnOpenConnection(SoakCall call);
  bool hasOpenConnection(std::size_t gateway) const { return !idleClients_.at(gateway).empty(); }
  std::size_t inFlight() const { return inFlight_; }

 private:
  class Client;
  friend class Client;
  boost::asio::io_context& io_;
  SoakOracle& oracle_;
  std::vector<std::vector<std::shared_ptr<Client>>> idleClients_;  // by gateway
  std::size_t inFlight_ = 0;
};

}  // namespace hollyrun::lab
