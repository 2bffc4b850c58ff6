// The platform of a soak on loopback: record servers, discovery with an agent for each gateway, and clients
// that ask once. Each tells the ledger what it sees.
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
#include <unordered_set>
#include <vector>

#include "lab/soak/oracle.hpp"

namespace hollyrun::lab {

SoakTime soakNow();

using SoakRequest = boost::beast::http::request<boost::beast::http::string_body>;

/// An HTTP/1.1 listener whose connections hand each whole request to `handle`.
class SoakListener {
 public:
  class Connection;
  using Handle = std::function<void(const std::shared_ptr<Connection>&, const SoakRequest&)>;

  SoakListener(boost::asio::io_context& io, Handle handle);
  ~SoakListener();
  SoakListener(const SoakListener&) = delete;
  SoakListener& operator=(const SoakListener&) = delete;

  boost::asio::ip::tcp::endpoint endpoint() const { return endpoint_; }
  void closeAll(bool reset);  ///< the open connections; new ones are taken on

 private:
  void accept();
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

 private:
  struct State;
  std::shared_ptr<State> state_;
};

/// A record server: answers with the request's id after a few milliseconds, or as its fault has it.
class SoakServer {
 public:
  enum class Mode { serving, refusing, hanging, resetting };

  SoakServer(boost::asio::io_context& io, std::size_t number, SoakOracle& oracle);
  boost::asio::ip::tcp::endpoint endpoint() const { return listener_.endpoint(); }
  void become(Mode mode) { mode_ = mode; }
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

/// Discovery: one list, and an agent of each gateway that tells it.
class SoakDiscovery {
 public:
  enum class State { serving, draining, gone };

  SoakDiscovery(boost::asio::io_context& io, std::size_t gateways, SoakOracle& oracle);
  ~SoakDiscovery();
  void add(std::size_t server, const boost::asio::ip::tcp::endpoint& endpoint);
  void change(std::size_t server, State state, std::int64_t bootMs);
  boost::asio::ip::tcp::endpoint agent(std::size_t gateway) const;
  void silence(std::size_t gateway, bool on);
  void closeWatches(std::size_t gateway);
  /// The whole list in discovery's form; what a new process of this gateway is given counts as told.
  std::string listFor(std::size_t gateway);

 private:
  struct Entry {
    boost::asio::ip::tcp::endpoint endpoint;
    State state = State::serving;
    std::int64_t bootMs = 0, version = 1;
  };
  struct Waiting {
    std::shared_ptr<SoakListener::Connection> connection;
    std::int64_t since = 0;
    std::shared_ptr<boost::asio::steady_timer> timer;
  };
  struct Agent {
    std::unique_ptr<SoakListener> listener;
    std::vector<Waiting> waiting;
    bool silent = false;
  };

  void handle(std::size_t gateway, const std::shared_ptr<SoakListener::Connection>& connection,
              const SoakRequest& request);
  void answer(std::size_t gateway, const Waiting& waiting);
  void answerWaiting(std::size_t gateway);
  std::string text(std::size_t gateway, std::int64_t since);

  boost::asio::io_context& io_;
  SoakOracle& oracle_;
  std::int64_t version_ = 1;
  std::vector<Entry> entries_;
  std::vector<Agent> agents_;
};

/// How a client ends a request that it does not wait for.
enum class SoakLeaving { none, close, halfClose, reset };

/// Asks once; a request whose kept connection was closed before it got any answer is sent once more on a new
/// one, as the protocol has it. Returns at once; the ledger hears of the rest.
struct SoakCall {
  std::string id, head, body;  ///< as text
  SoakClass cls;
  std::size_t gateway = 0;
  SoakTime wait{};
  SoakLeaving leaving = SoakLeaving::none;
  SoakTime leaveAfter{};
};

class SoakClients {
 public:
  SoakClients(boost::asio::io_context& io, SoakOracle& oracle, std::size_t gateways);
  ~SoakClients();
  void ask(const boost::asio::ip::tcp::endpoint& to, SoakCall call);
  std::size_t open() const { return open_; }

 private:
  class Client;
  friend class Client;
  boost::asio::io_context& io_;
  SoakOracle& oracle_;
  std::vector<std::vector<std::shared_ptr<Client>>> idle_;  // by gateway
  std::size_t open_ = 0;
};

}  // namespace hollyrun::lab
