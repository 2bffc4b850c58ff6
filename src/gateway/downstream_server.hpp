// The clients' side: accepts, parses, answers, and notices that a client left.
#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <chrono>
#include <cstddef>
#include <cstdint>
#include <deque>
#include <functional>
#include <list>
#include <memory>
#include <optional>
#include <unordered_map>
#include <unordered_set>

#include "gateway/body_stream.hpp"
#include "gateway/close_reason.hpp"
#include "gateway/downstream_observer.hpp"
#include "gateway/http_message.hpp"

namespace hollyrun::gateway {

class DownstreamServer {
 public:
  struct Limits {
    std::size_t connections = 640;
    std::chrono::milliseconds first{2500};  // the first request must be whole so long after connecting,
    std::chrono::milliseconds slow{5000};   // a later one after its first byte
    std::chrono::milliseconds idle{75000};  // between requests
  };
  using Answered = std::function<void(bool whole)>;  // the answer left whole, or its client before that

  // The observer has to outlive the server.
  DownstreamServer(boost::asio::io_context& io, Limits limits, DownstreamObserver& observer,
                   std::shared_ptr<MemoryBudget> budget);
  ~DownstreamServer();
  DownstreamServer(const DownstreamServer&) = delete;
  DownstreamServer& operator=(const DownstreamServer&) = delete;

  // Throws boost::system::system_error. `shared`: another process may listen there too.
  void listen(const boost::asio::ip::tcp::endpoint& at, bool shared);
  boost::asio::ip::tcp::endpoint listening() const { return acceptor_.local_endpoint(); }
  bool takesClients() const { return acceptor_.is_open(); }
  int listener() { return acceptor_.native_handle(); }
  void allow(std::size_t connections);  // fewer than are open: idle ones go
  void answer(DownstreamRequestId exchange, HttpResponse response, Answered answered);
  // The body comes in pieces; in chunks if its length is not known.
  void answer(DownstreamRequestId exchange, HttpResponse head, std::shared_ptr<BodyStream> body,
              std::optional<std::uint64_t> length, Answered answered);
  // Whether the client that waits for this answer is still there, asked of its socket: what the event loop
  // has not come to yet counts, too. For one that left, its disconnection is to be reported: see leave().
  bool present(DownstreamRequestId exchange) const;
  void leave(DownstreamRequestId exchange);  // its client left: closes the connection and reports it
  void lastAnswers();                        // from now on every answer closes its connection
  void stopAccepting();  // takes what waits to be accepted, then closes the listener and idle connections
  std::size_t connections() const { return sessions_.size(); }
  const CloseCounts& closed() const { return closed_; }  // connections so far, by reason

 private:
  class Session;
  using SessionList = std::list<Session*>;
  enum class Accepted { all, some, noRoom };

  void accept();
  std::shared_ptr<Session> takeWaiter(DownstreamRequestId exchange);
  Accepted takeWaiting();
  void admit(boost::asio::ip::tcp::socket socket);
  enum class Fresh { mayGo, stay };  // connections whose first request may be on its way
  bool makeRoom(Fresh fresh = Fresh::mayGo);
  std::shared_ptr<Session> oldestIdle(Fresh fresh) const;
  std::shared_ptr<Session> oldestUnfinished() const;
  std::shared_ptr<Session> oldestLingering() const;
  bool leaves(const std::shared_ptr<Session>& session) const;
  std::size_t admitted() const { return sessions_.size() - leaving_.size(); }
  void ended(const std::shared_ptr<Session>& session);
  void sweep();

  boost::asio::io_context& io_;
  boost::asio::ip::tcp::acceptor acceptor_;
  Limits limits_;
  DownstreamObserver& observer_;
  std::shared_ptr<MemoryBudget> budget_;
  boost::asio::steady_timer sweeper_, again_;
  // What may be closed to make room, by state, the oldest first. Danger: the accept queue of a flood is long,
  // and a search among all sessions for each connection in it holds up the event loop for a second.
  SessionList idle_, unfinished_, lingering_;
  std::unordered_set<std::shared_ptr<Session>> sessions_;
  std::deque<std::shared_ptr<Session>> leaving_;  // they made room and linger, the first for longest
  std::unordered_map<DownstreamRequestId, std::shared_ptr<Session>> waiting_;
  DownstreamRequestId lastExchange_ = 0;
  CloseCounts closed_{};
  bool last_ = false, destroying_ = false;
};

}  // namespace hollyrun::gateway
