// One gateway: feeds the Balancer with what happens on the sockets and carries out what it decides.
#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <chrono>
#include <deque>
#include <functional>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "balancer/dispatch_guard.hpp"
#include "gateway/config.hpp"
#include "gateway/discovery.hpp"
#include "gateway/downstream_server.hpp"
#include "gateway/hot_restart.hpp"
#include "gateway/log.hpp"
#include "gateway/management.hpp"
#include "gateway/membership_transport.hpp"
#include "gateway/request_metrics.hpp"
#include "gateway/request_validation.hpp"
#include "gateway/server_start_times.hpp"
#include "gateway/statistics.hpp"
#include "gateway/upstream_pool.hpp"
#include "hollyrun/balancer.hpp"

namespace hollyrun::gateway {

// A final answer leaves so long before the client gives up: for its way there and for a busy machine.
inline constexpr std::chrono::milliseconds kAnswerMargin{10};
// After a stop was asked for, connections are still accepted for so long: clients hear of it late.
inline constexpr std::chrono::milliseconds kAcceptOn{700};

class Gateway : private DownstreamObserver, private UpstreamObserver {
 public:
  struct Options {  // shorter in tests only
    DownstreamServer::Limits clients;
    Discovery::Timeouts discovery;
    // A broken rule ends the process, so that a test or a soak finds it; in service it is counted and logged.
    bool abortOnViolation = false;
  };

  // Asks discovery at once, and listens at once too unless another process serves the address: then as soon
  // as it can take over. Throws boost::system::system_error if it can't listen. The log has to outlive it.
  Gateway(boost::asio::io_context& io, const Config& config, Options options, Log& log);
  ~Gateway() override;
  Gateway(const Gateway&) = delete;
  Gateway& operator=(const Gateway&) = delete;

  boost::asio::ip::tcp::endpoint listening() const { return clients_.listening(); }
  std::optional<boost::asio::ip::tcp::endpoint> management() const;
  const MembershipTransport* fleet() const { return fleet_ ? &*fleet_ : nullptr; }
  // New settings bind requests from here on. If discovery has a new address, the list held stays until that
  // tells more.
  void reload(const Config& config);
  void reloadFailed() { statistics_.recordReload(Statistics::ReloadResult::rejected); }
  // A graceful shutdown: finishes what was taken, then closes all and calls `done`.
  void shutDown(std::function<void()> done);

 private:
  struct RequestContext {  // a request under way
    DownstreamRequestId client = 0;
    HttpRequest message;
    std::shared_ptr<BodyStream> upload;   // its body, if that comes in pieces
    std::optional<std::uint64_t> length;  // of the upload
    balancer::Duration left{};            // from its last byte on
    MemoryReservation held;
    bool taken = false;                            // its last byte has come,
    std::chrono::steady_clock::time_point came{};  // then
    std::size_t counted = 0;                       // its class in the statistics
    std::uint32_t begun = 0, out = 0;              // attempts, numbered from 0
    balancer::AttemptHistory history;              // of those that were written
    balancer::AttemptTerms terms;                  // of its class, as the settings were when it came
    std::vector<balancer::AttemptTerms> decided;   // of each attempt, by its number
    bool ended = false;                            // answered, or its client left
  };

  balancer::Time now() const;
  ServerStartTimes::Clocks clocks() const;

  void onRequest(DownstreamRequest request) override;
  void onClientDisconnected(DownstreamRequestId id) override;
  void onUploadComplete(DownstreamRequestId id) override;
  void onLocalRejection(const std::string& target, RejectionKind kind) override;
  void onClosedUnanswered(DownstreamRequestId id, CloseReason reason) override;
  void onDrained() override;
  void onAttemptComplete(AttemptCompletion completion) override;
  AdmissionResult admit(const AttemptStart& start) override;

  void answerHealthCheck(DownstreamRequestId client);
  void reject(const DownstreamRequest& request, const RequestRejection& rejection);
  void accept(DownstreamRequest request, balancer::Request asked);
  bool clientPresent(const RequestContext& exchange);
  static std::string idOf(const RequestContext& exchange);
  void violated(std::string_view rule, const std::string& requestId);
  std::vector<prometheus::MetricFamily> metrics() const;
  void traceAttempt(std::string_view step, const RequestContext& exchange, const AttemptKey& attempt,
                    balancer::HostId host, std::string_view detail);
  void told(const EndpointList& list, balancer::EndpointListKind kind);
  void note(balancer::HostId id, const balancer::Endpoint& entry);
  void leaves(balancer::EndpointStatus& server, balancer::EndpointState state);

  void drainActions();
  void carryOut(const balancer::Action& action);
  void send(const balancer::Action& action);
  void giveUp(const balancer::Action& action);
  void settle(AttemptCompletion end);
  void answer(RequestContext& exchange, HttpResponse response, Statistics::Outcome outcome,
              std::shared_ptr<BodyStream> body = nullptr, std::optional<std::uint64_t> length = {});
  DownstreamServer::Answered counting(const RequestContext& exchange, Statistics::Outcome outcome);
  Statistics::Gauges gauges() const;
  bool takesClients() const { return ready_ && !shuttingDown_ && clients_.takesClients(); }
  void take(const balancer::Settings& settings);
  void join(const Config& config);
  void divide();
  void open();
  void share();
  void wakeAt(balancer::Time at);

  boost::asio::io_context& io_;
  std::chrono::steady_clock::time_point start_;
  ServerStartTimes startTimes_;
  balancer::Settings settings_;
  Log& log_;
  boost::asio::ip::tcp::endpoint listen_;
  std::size_t sockets_, clientsMost_;
  std::size_t bodyBytes_;
  bool abortOnViolation_;
  std::shared_ptr<MemoryBudget> budget_;
  RequestValidator validator_;
  balancer::Balancer balancer_;
  balancer::DispatchGuard guard_;
  std::vector<balancer::EndpointStatus> servers_;  // by HostId, as the lists told them
  UpstreamPool hosts_;
  Discovery discovery_;
  std::unordered_map<balancer::RequestId, RequestContext> contexts_;
  std::unordered_map<DownstreamRequestId, balancer::RequestId> byClient_;
  std::vector<balancer::RequestId> over_;      // may be dropped once the actions are done
  std::deque<AttemptCompletion> ends_;         // raised while actions are carried out
  std::vector<DownstreamRequestId> departed_;  // clients found to have left as an attempt was to begin
  boost::asio::steady_timer waker_, shutDownTimer_, openTimer_;
  balancer::Time wakeAt_{};
  balancer::RequestId lastRequest_ = 0;
  std::function<void()> down_;
  std::uint32_t replicaCount_ = 1;  // as configured
  bool carrying_ = false, ready_ = false, shuttingDown_ = false;
  Statistics statistics_;
  RequestCounters counters_;
  std::optional<HotRestart> hotRestart_;
  std::optional<MembershipTransport> fleet_;
  std::optional<Management> management_;
  DownstreamServer clients_;  // last: it may hand over requests from here on
};

}  // namespace hollyrun::gateway
