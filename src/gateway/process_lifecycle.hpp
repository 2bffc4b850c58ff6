/// Lifecycle of the serving process: start of listening, hot restart, division of file descriptors and memory
/// between two processes, and drain.
#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <chrono>
#include <cstddef>
#include <functional>
#include <optional>
#include <string>

#include "gateway/downstream_server.hpp"
#include "gateway/hot_restart.hpp"
#include "gateway/log.hpp"
#include "gateway/overload_manager.hpp"
#include "gateway/shutdown_schedule.hpp"
#include "gateway/upstream_pool.hpp"

namespace hollyrun::gateway {

/// Number of processes that serve the address and share the resources of one.
enum class ServingProcesses { one, two };

struct ConnectionLimits {
  std::size_t downstream, upstream;
};

/// Returns how many connections one process may open on each side. `descriptors` is the limit of file
/// descriptors for all serving processes together.
ConnectionLimits partitionDescriptors(std::size_t descriptors, std::size_t maxDownstream,
                                      ServingProcesses processes);

class ProcessLifecycle {
 public:
  struct Resources {
    std::size_t descriptors = 0;    ///< file descriptors of all serving processes together
    std::size_t maxDownstream = 0;  ///< client connections per process, even if descriptors allow more
    std::size_t memoryBytes = 0;    ///< memory of all serving processes together
  };
  /// Whether other processes may listen at the same address.
  enum class AddressSharing { exclusive, shared };

  ProcessLifecycle(boost::asio::io_context& io, boost::asio::ip::tcp::endpoint address,
                   AddressSharing sharing, const Resources& resources, OverloadManager& overload,
                   DownstreamServer& downstream, UpstreamPool& upstream, Log& log);

  /// Announces this process in `directory`. Has no effect if the kernel picks the port, because no other
  /// process listens at it.
  void enableHotRestart(const std::string& directory);
  /// Starts listening at once, or, if another process serves the address, after discovery's first answer or a
  /// timeout, but not before the other process has had time to reduce its own limits. Retries while this
  /// machine has no descriptor or buffer for the listener. Throws boost::system::system_error if listening
  /// fails.
  void start();
  void onDiscoveryAnswer();

  /// Step 1 of a shutdown: prevents a pending start of listening. `onDrained` is called when the drain is
  /// complete.
  void beginShutdown(std::function<void()> onDrained);
  /// Step 2: closes each connection after its response, and the rest at the times of the schedule.
  void drainClients(const ShutdownSchedule& schedule);
  void onDrained() { onDrained_(); }

  bool isShuttingDown() const { return isShuttingDown_; }
  bool isOtherProcessPresent() const { return hotRestart_ && hotRestart_->isOtherProcessPresent(); }

 private:
  void startListening();
  void startListeningAtTimer();
  void partitionResources();
  void limitMemory();

  boost::asio::io_context& io_;
  const std::chrono::steady_clock::time_point startedAt_ = std::chrono::steady_clock::now();
  boost::asio::ip::tcp::endpoint address_;
  AddressSharing sharing_;
  Resources resources_;
  OverloadManager& overload_;
  DownstreamServer& downstream_;
  UpstreamPool& upstream_;
  Log& log_;
  boost::asio::steady_timer listenTimer_, stopAcceptingTimer_, lastResponseTimer_;
  std::function<void()> onDrained_;
  std::optional<HotRestart> hotRestart_;
  bool isShuttingDown_ = false;
};

}  // namespace hollyrun::gateway
