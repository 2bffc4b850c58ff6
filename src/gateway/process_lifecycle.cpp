#include "gateway/process_lifecycle.hpp"

#include <algorithm>
#include <utility>

namespace hollyrun::gateway {
namespace {

using boost::system::error_code;

// Descriptors for the listener, discovery, the event loop, standard streams, files that libraries open, and
// the few connections that exceed their limit while they close.
constexpr std::size_t kReservedDescriptors = 32;
// Longest wait for discovery's first answer before listening while another process serves the address.
constexpr auto kMaxListenDelay = std::chrono::milliseconds(2000);
// Time that the other process needs to detect this one and to reduce its own limits.
constexpr auto kMinListenDelay = std::chrono::milliseconds(300);

// A shortage of descriptors or buffers passes soon; a process that ended for it would have to be started
// again.
constexpr auto kListenRetryInterval = std::chrono::milliseconds(100);

}  // namespace

ConnectionLimits partitionDescriptors(std::size_t descriptors, std::size_t maxDownstream,
                                      ServingProcesses processes) {
  const std::size_t available = descriptors - kReservedDescriptors;
  const std::size_t parts = processes == ServingProcesses::two ? 10 : 5;
  return {.downstream = std::min(maxDownstream, available * 3 / parts), .upstream = available * 2 / parts};
}

ProcessLifecycle::ProcessLifecycle(boost::asio::io_context& io, boost::asio::ip::tcp::endpoint address,
                                   AddressSharing sharing, const Resources& resources,
                                   OverloadManager& overload, DownstreamServer& downstream,
                                   UpstreamPool& upstream, Log& log)
    : io_(io),
      address_(std::move(address)),
      sharing_(sharing),
      resources_(resources),
      overload_(overload),
      downstream_(downstream),
      upstream_(upstream),
      log_(log),
      listenTimer_(io),
      stopAcceptingTimer_(io),
      lastResponseTimer_(io) {}

void ProcessLifecycle::enableHotRestart(const std::string& directory) {
  if (address_.port() == 0)
    return;
  hotRestart_.emplace(io_, directory, address_, [this] { partitionResources(); });
  if (!hotRestart_->isAnnounced())
    log_.write(LogLevel::warning, "hot_restart",
               "cannot create the hot restart lock file in " + directory + ", retrying");
}

void ProcessLifecycle::start() {
  limitMemory();
  if (!isOtherProcessPresent())
    return startListening();
  partitionResources();
  listenTimer_.expires_after(kMaxListenDelay);  // shortened by discovery's first answer
  startListeningAtTimer();
}

void ProcessLifecycle::onDiscoveryAnswer() {
  if (downstream_.isListening())
    return;
  listenTimer_.expires_at(std::min(listenTimer_.expiry(), startedAt_ + kMinListenDelay));
  startListeningAtTimer();
}

void ProcessLifecycle::startListeningAtTimer() {
  listenTimer_.async_wait([this](error_code ec) {
    if (!ec)
      startListening();
  });
}

void ProcessLifecycle::startListening() {
  if (downstream_.isListening() || isShuttingDown_)
    return;
  if (!downstream_.listen(address_, sharing_ == AddressSharing::shared)) {
    log_.write(LogLevel::warning, "listener", "no descriptor or buffer for the listener, retrying");
    listenTimer_.expires_after(kListenRetryInterval);
    return startListeningAtTimer();
  }
  if (isOtherProcessPresent())
    HotRestart::steerToLatestListener(downstream_.listenerHandle());
}

void ProcessLifecycle::partitionResources() {
  const auto processes = isOtherProcessPresent() ? ServingProcesses::two : ServingProcesses::one;
  const ConnectionLimits limits =
      partitionDescriptors(resources_.descriptors, resources_.maxDownstream, processes);
  downstream_.setConnectionLimit(limits.downstream);
  upstream_.setConnectionLimit(limits.upstream);
  limitMemory();
  log_.write(LogLevel::info, "hot_restart",
             processes == ServingProcesses::two
                 ? "another process serves the address: file descriptors and memory are divided"
                 : "no other process serves the address: file descriptors and memory are not divided");
}

// A process that serves alone leaves the memory with which the other process of an upgrade starts: that is
// counted before this one can see it.
void ProcessLifecycle::limitMemory() {
  if (isOtherProcessPresent())
    return overload_.setProcessLimit(resources_.memoryBytes / 2);
  overload_.setProcessLimit(resources_.memoryBytes,
                            hotRestart_ ? MemoryReserve::anotherProcess : MemoryReserve::none);
}

void ProcessLifecycle::beginShutdown(std::function<void()> onDrained) {
  isShuttingDown_ = true;
  onDrained_ = std::move(onDrained);
  listenTimer_.cancel();
}

void ProcessLifecycle::drainClients(const ShutdownSchedule& schedule) {
  downstream_.closeAfterResponses();
  stopAcceptingTimer_.expires_at(schedule.stopAccepting);
  stopAcceptingTimer_.async_wait([this](error_code ec) {
    if (!ec)
      downstream_.stopAccepting();
  });
  lastResponseTimer_.expires_at(schedule.lastResponse);
  lastResponseTimer_.async_wait([this](error_code ec) {
    if (!ec)
      downstream_.rejectIncompleteRequests();
  });
}

}  // namespace hollyrun::gateway
