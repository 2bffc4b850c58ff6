#include "gateway/discovery.hpp"

#include <string>
#include <utility>

namespace hollyrun::gateway {
namespace {

namespace asio = boost::asio;
using tcp = asio::ip::tcp;

constexpr const char* kHostsPath = "/discovery/hosts";

}  // namespace

Discovery::Discovery(asio::io_context& io, tcp::endpoint server, Callbacks callbacks, Timeouts timeouts)
    : io_(io), server_(std::move(server)), callbacks_(std::move(callbacks)), timeouts_(timeouts) {}

Discovery::~Discovery() {
  if (call_)
    call_->close();
}

void Discovery::stop() {
  if (!call_)
    return;
  report(*call_, DiscoveryCallResult::abandoned, {});
  call_->close();
  call_.reset();
}

void Discovery::watch() {
  stop();
  send(version_ ? DiscoveryCallType::firstPoll : DiscoveryCallType::snapshot);
}

void Discovery::switchServer(tcp::endpoint server) {
  stop();
  server_ = std::move(server);
  // The versions of the new server may be unrelated to those of the old one, and a delta to a list that it
  // never sent would leave removed endpoints in the current list forever. So a snapshot is requested, and the
  // current list stays in effect until the snapshot arrives.
  version_.reset();
  watch();
}

void Discovery::send(DiscoveryCallType type) {
  if (!call_ || !call_->isConnected())
    call_ = std::make_shared<DiscoveryCall>(io_, server_, static_cast<DiscoveryCallObserver&>(*this));
  const std::chrono::milliseconds wait =
      type == DiscoveryCallType::poll ? timeouts_.watch : std::chrono::milliseconds(1);
  const std::chrono::milliseconds timeout = wait + timeouts_.answer;
  std::string target = kHostsPath;
  if (type != DiscoveryCallType::snapshot)
    target += "?since=" + std::to_string(*version_) + "&timeout_ms=" + std::to_string(wait.count());
  call_->start({.type = type, .target = target, .connectTimeout = timeout, .timeout = timeout});
}

void Discovery::onCallComplete(DiscoveryCall& call, DiscoveryCallOutcome outcome) {
  const DiscoveryCallType type = call.type();
  const DiscoveryCallResult result = applyOutcome(outcome, type);
  report(call, result, outcome);
  if (result != DiscoveryCallResult::list) {
    call.close();
    call_.reset();
    return callbacks_.onFailure();
  }
  send(DiscoveryCallType::poll);
  callbacks_.onEndpoints(*outcome.list);
}

// A server that was set up anew counts versions from the start again. A delta to a list that this client
// never received would leave removed endpoints in the current list forever.
DiscoveryCallResult Discovery::applyOutcome(DiscoveryCallOutcome& outcome, DiscoveryCallType type) {
  if (!outcome.list)
    return outcome.result;
  const EndpointList& list = *outcome.list;
  const bool isOlder = version_ && list.version < *version_;
  if (!list.snapshot && (type == DiscoveryCallType::snapshot || isOlder)) {
    version_.reset();
    return DiscoveryCallResult::unexpectedDelta;
  }
  version_ = list.version;
  return DiscoveryCallResult::list;
}

void Discovery::report(const DiscoveryCall& call, DiscoveryCallResult result,
                       const DiscoveryCallOutcome& outcome) {
  if (!callbacks_.onCallEnded)
    return;
  const auto duration = DiscoveryCall::Clock::now() - call.startedAt();
  callbacks_.onCallEnded({.server = server_,
                          .type = call.type(),
                          .result = result,
                          .detail = outcome.detail,
                          .duration = std::chrono::duration_cast<std::chrono::milliseconds>(duration),
                          .version = outcome.list ? std::optional(outcome.list->version) : std::nullopt,
                          .listedEndpoints = outcome.list ? outcome.list->endpoints.size() : 0,
                          .nextCallIn = std::nullopt});
}

}  // namespace hollyrun::gateway
