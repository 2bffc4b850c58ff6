// Crowds of clients that are slow, stop half way, or make the gateway hold much memory. They run on the event
// loop of the test or the soak.
#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <chrono>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <random>
#include <string>
#include <vector>

#include "lab/soak/scripted_peers.hpp"

namespace hollyrun::lab {

/// What each client of a crowd does; none of them finishes a request unless stated.
enum class CrowdKind : std::uint8_t {
  idle,               ///< connects and sends nothing
  stoppedHead,        ///< stops in a head of nearly the largest size
  shortFields,        ///< sends whole requests whose heads have as many short fields as fit
  stoppedBody,        ///< stops half way through a large body of announced length
  stoppedChunks,      ///< stops half way through a large body in tiny chunks
  slowBody,           ///< writes a large body at 64 kB a second and finishes it
  pipelined,          ///< pipelines many requests and reads nothing
  unreadResponse,     ///< asks for a long response and reads nothing of it
  slowResponse,       ///< asks for a long response and reads it slowly
  servedShortFields,  ///< sends whole requests with many short fields one after the other, all answered
  unreadBuffered,     ///< asks for a response of nearly the largest buffered size and reads nothing of it
  responseFields,     ///< asks for responses whose heads have many short fields and reads them
  pipelinedFields,    ///< pipelines requests with many short fields and reads nothing
  count
};
inline constexpr std::size_t kCrowdKinds = static_cast<std::size_t>(CrowdKind::count);
/// The kinds before this one are slow or stop. The others are also a load: hundreds of such clients make the
/// gateway reject requests of the lowest priority, whatever their memory.
inline constexpr std::size_t kSlowCrowdKinds = static_cast<std::size_t>(CrowdKind::servedShortFields);
const char* nameOf(CrowdKind kind);

/// How the clients of a crowd leave and come again.
struct CrowdVisits {
  std::chrono::milliseconds shortestStay{1000}, longestStay{3000};
  std::chrono::milliseconds absence{200};  ///< between two visits of a client
};

/// Many clients of one or several kinds.
class SlowCrowd {
 public:
  /// `idPrefix` makes the ids of the crowd's requests distinct.
  SlowCrowd(boost::asio::io_context& io, boost::asio::ip::tcp::endpoint gateway, std::string idPrefix);
  ~SlowCrowd();
  SlowCrowd(const SlowCrowd&) = delete;
  SlowCrowd& operator=(const SlowCrowd&) = delete;

  /// Called with the id of each request that a client of the crowd is about to send.
  std::function<void(const std::string& requestId)> onRequest;
  void arrive(CrowdKind kind, std::size_t clients);
  std::size_t pipelinedRequests = 500;  ///< of each client that pipelines
  /// If set, each client leaves after a while and connects again, also after a refused connection.
  std::optional<CrowdVisits> visits;
  std::size_t connected() const;

 private:
  struct Member;
  void connectMember(const std::shared_ptr<Member>& member);
  void sendText(const std::shared_ptr<Member>& member);
  void readAndDiscard(const std::shared_ptr<Member>& member);
  void startExchange(const std::shared_ptr<Member>& member);
  void leaveLater(const std::shared_ptr<Member>& member);
  void returnLater(const std::shared_ptr<Member>& member);
  std::string textFor(CrowdKind kind);
  std::string getRequest(const ServerPlan& plan, std::size_t shortFields = 0);
  std::string newId();
  ExchangePlan slowExchange(CrowdKind kind);

  boost::asio::io_context& io_;
  boost::asio::ip::tcp::endpoint gateway_;
  std::string idPrefix_;
  std::size_t requests_ = 0;
  std::mt19937 random_{1};
  std::vector<std::shared_ptr<Member>> members_;
};

}  // namespace hollyrun::lab
