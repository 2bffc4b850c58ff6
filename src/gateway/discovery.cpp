#include "gateway/discovery.hpp"

#include <algorithm>
#include <string>
#include <utility>

namespace hollyrun::gateway {
namespace {

namespace asio = boost::asio;
using tcp = asio::ip::tcp;
using std::chrono::milliseconds;

constexpr const char* kHostsPath = "/discovery/hosts";

struct DelayRange {
  milliseconds minimum, maximum;
};

// Two delays in a row and a failed connection between them fit into the grace for draining endpoints (1 s)
// less the time for which a process may be held up (0.15 s). The delay is random, so that the gateways of a
// fleet do not call at the same moment when discovery returns.
constexpr DelayRange kRetryDelay{milliseconds(100), milliseconds(300)};
// After failures that pass soon and cost discovery nothing.
constexpr DelayRange kLocalRetryDelay{milliseconds(50), milliseconds(150)};
// A server that ends long polls at once without a change must not keep this process busy. Below the 200 ms
// after which the platform counts the next call as a new watch.
constexpr milliseconds kMinPollInterval(100);

constexpr milliseconds kNoWait(1);  // of calls that are answered at once

}  // namespace

Discovery::Discovery(asio::io_context& io, tcp::endpoint server, Callbacks callbacks, Timeouts timeouts,
                     std::uint64_t seed)
    : io_(io),
      server_(std::move(server)),
      callbacks_(std::move(callbacks)),
      timeouts_(timeouts),
      random_(seed),
      timer_(io) {}

Discovery::~Discovery() {
  callbacks_.onCallEnded = nullptr;  // its owner may be half destroyed
  stop();
}

void Discovery::watch() {
  if (std::exchange(isWatching_, true))
    return;
  startFirstCall();
}

void Discovery::stop() {
  isWatching_ = false;
  cancelTimer();
  abandonCalls();
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

// --- Calls ----------------------------------------------------------------------------------------------

// The first call of a watch is answered at once, which shows whether the watch works; later calls wait for a
// change.
std::shared_ptr<DiscoveryCall> Discovery::openFirstCall() {
  auto call = std::make_shared<DiscoveryCall>(io_, server_, static_cast<DiscoveryCallObserver&>(*this));
  DiscoveryCall::Request request{.type = DiscoveryCallType::snapshot,
                                 .target = kHostsPath,
                                 .connectTimeout = timeouts_.connect,
                                 .timeout = timeouts_.firstAnswer};
  if (version_) {
    request.type = DiscoveryCallType::firstPoll;
    request.target +=
        "?since=" + std::to_string(*version_) + "&timeout_ms=" + std::to_string(kNoWait.count());
  }
  call->start(std::move(request));
  return call;
}

void Discovery::startFirstCall() {
  call_ = openFirstCall();
  startTimer(timeouts_.hedge, TimerAction::hedge);
}

void Discovery::startPoll() {
  if (!call_->isConnected()) {
    call_->close();
    call_ = std::make_shared<DiscoveryCall>(io_, server_, static_cast<DiscoveryCallObserver&>(*this));
  }
  call_->start({.type = DiscoveryCallType::poll,
                .target = std::string(kHostsPath) + "?since=" + std::to_string(*version_) +
                          "&timeout_ms=" + std::to_string(timeouts_.watch.count()),
                .connectTimeout = timeouts_.connect,
                .timeout = timeouts_.watch + timeouts_.answer});
}

void Discovery::onCallComplete(DiscoveryCall& call, DiscoveryCallOutcome outcome) {
  const DiscoveryCallResult result = checkVersion(outcome);
  if (result != DiscoveryCallResult::list)
    return handleFailure(call, result, outcome);
  report(call, result, outcome, std::nullopt);
  handleList(call, *outcome.list);
}

// A server that was set up anew counts versions from the start again. A delta to a list that this client
// never received would leave removed endpoints in the current list forever.
DiscoveryCallResult Discovery::checkVersion(const DiscoveryCallOutcome& outcome) {
  if (!outcome.list || outcome.list->snapshot)
    return outcome.result;
  if (version_ && outcome.list->version >= *version_)
    return outcome.result;
  version_.reset();
  return DiscoveryCallResult::unexpectedDelta;
}

void Discovery::handleList(DiscoveryCall& call, const EndpointList& list) {
  if (hedge_.get() == &call)
    std::swap(call_, hedge_);
  abandon(hedge_);
  cancelTimer();
  version_ = list.version;
  const auto now = Clock::now();
  const bool continuesWatch = call.type() == DiscoveryCallType::poll;
  const EndpointUpdate update{.list = list, .changedSince = continuesWatch ? now : confirmedAt_};
  confirmedAt_ = now;
  const bool endedWithoutNews = continuesWatch && list.endpoints.empty();
  if (endedWithoutNews && now - call.startedAt() < kMinPollInterval)
    startTimer(kMinPollInterval, TimerAction::poll);
  else
    startPoll();
  callbacks_.onEndpoints(update);
}

void Discovery::handleFailure(DiscoveryCall& call, DiscoveryCallResult result,
                              const DiscoveryCallOutcome& outcome) {
  std::shared_ptr<DiscoveryCall>& ended = hedge_.get() == &call ? hedge_ : call_;
  const std::shared_ptr<DiscoveryCall> keptAlive = std::exchange(ended, nullptr);
  call.close();
  if (!call_)
    std::swap(call_, hedge_);
  if (call_)  // the other call is still open, and the timer replaces the one that failed
    return report(call, result, outcome, timeUntilTimer());
  const milliseconds delay = drawRetryDelay(result);
  startTimer(delay, TimerAction::retry);
  report(call, result, outcome, delay);
}

void Discovery::abandon(std::shared_ptr<DiscoveryCall>& call) {
  if (!call)
    return;
  report(*call, DiscoveryCallResult::abandoned, {}, std::nullopt);
  call->close();
  call.reset();
}

void Discovery::abandonCalls() {
  abandon(hedge_);
  abandon(call_);
}

// --- Timer ----------------------------------------------------------------------------------------------

milliseconds Discovery::drawRetryDelay(DiscoveryCallResult result) {
  const bool passesSoon =
      result == DiscoveryCallResult::localError || result == DiscoveryCallResult::unexpectedDelta;
  const DelayRange& range = passesSoon ? kLocalRetryDelay : kRetryDelay;
  const auto choices = static_cast<std::size_t>((range.maximum - range.minimum).count() + 1);
  return range.minimum + milliseconds(random_.drawBelow(choices));
}

void Discovery::startTimer(milliseconds delay, TimerAction action) {
  timer_.expires_after(delay);
  timer_.async_wait([this, action, number = ++timerNumber_](boost::system::error_code error) {
    if (!error && number == timerNumber_)
      runTimer(action);
  });
}

void Discovery::cancelTimer() {
  ++timerNumber_;
  timer_.cancel();
}

void Discovery::runTimer(TimerAction action) {
  switch (action) {
    case TimerAction::retry:
      return startFirstCall();
    case TimerAction::poll:
      return startPoll();
    case TimerAction::hedge:
      abandon(hedge_);
      hedge_ = openFirstCall();
      return startTimer(timeouts_.hedge, TimerAction::hedge);
  }
}

milliseconds Discovery::timeUntilTimer() const {
  const auto left = std::chrono::duration_cast<milliseconds>(timer_.expiry() - Clock::now());
  return std::max(left, milliseconds(0));
}

// --- Reports --------------------------------------------------------------------------------------------

void Discovery::report(const DiscoveryCall& call, DiscoveryCallResult result,
                       const DiscoveryCallOutcome& outcome, std::optional<milliseconds> nextCallIn) {
  if (!callbacks_.onCallEnded)
    return;
  const auto duration = Clock::now() - call.startedAt();
  callbacks_.onCallEnded({.server = server_,
                          .type = call.type(),
                          .result = result,
                          .detail = outcome.detail,
                          .duration = std::chrono::duration_cast<milliseconds>(duration),
                          .version = outcome.list ? std::optional(outcome.list->version) : std::nullopt,
                          .listedEndpoints = outcome.list ? outcome.list->endpoints.size() : 0,
                          .nextCallIn = nextCallIn});
}

}  // namespace hollyrun::gateway
