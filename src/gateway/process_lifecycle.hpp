/// The life of the serving process: start of listening, hot restart, partition of descriptors and memory
/// between two processes, and drain.
#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <chrono>
#include <cstddef>
#include <functional>
#include <memory>
#include <optional>
#include <string>

#include "gateway/body_stream.hpp"
#include "gateway/downstream_server.hpp"
#include "gateway/hot_restart.hpp"
#include "gateway/log.hpp"
#include "gateway/upstream_pool.hpp"

namespace hollyrun::gateway {

/// Connections are still accepted this long after a shutdown was requested, since clients learn of it late.
inline constexpr std::chrono::milliseconds kAcceptOn{700};

/// How many processes serve the address and so divide the resources of one.
enum class ServingProcesses { one, two };

struct ConnectionLimits {
  std::size_t downstream, upstream;
};

/// The connections of each side that one process may hold, of the file descriptors that all serving processes
/// may hold together.
ConnectionLimits partitionDescriptors(std::size_t descriptors, std::size_t maxDownstream,
                                      ServingProcesses processes);

class ProcessLifecycle {
 public:
  struct Resources {
    std::size_t descriptors = 0;    ///< that the serving processes may hold together
    std::size_t maxDownstream = 0;  ///< client connections, also if there are descriptors for more
    std::size_t bodyBytes = 0;      ///< that the buffered bodies of the serving processes may hold together
  };
  /// Whether another process may listen at the address, too.
  enum class AddressSharing { exclusive, shared };

  ProcessLifecycle(boost::asio::io_context& io, boost::asio::ip::tcp::endpoint address,
                   AddressSharing sharing, const Resources& resources, std::shared_ptr<MemoryBudget> memory,
                   DownstreamServer& downstream, UpstreamPool& upstream, Log& log);

  /// Announces this process in `directory`, unless the kernel picks its port: that one is shared with nobody.
  void enableHotRestart(const std::string& directory);
  /// Listens at once, or, beside another process, once discovery has answered. Throws
  /// boost::system::system_error if it can't listen.
  void start();
  void onDiscoveryAnswer();

  /// Step 1 of a shutdown: no listening is started any more. `onDrained` is called at its end.
  void beginShutdown(std::function<void()> onDrained);
  /// Step 2: every response closes its connection, and after kAcceptOn the listener is closed.
  void drainClients();
  void onDrained() { onDrained_(); }

  bool isShuttingDown() const { return isShuttingDown_; }
  bool isOtherProcessPresent() const { return hotRestart_ && hotRestart_->isOtherPresent(); }

 private:
  void startListening();
  void startListeningAtTimer();
  void partitionResources();

  boost::asio::io_context& io_;
  const std::chrono::steady_clock::time_point startedAt_ = std::chrono::steady_clock::now();
  boost::asio::ip::tcp::endpoint address_;
  AddressSharing sharing_;
  Resources resources_;
  std::shared_ptr<MemoryBudget> memory_;
  DownstreamServer& downstream_;
  UpstreamPool& upstream_;
  Log& log_;
  boost::asio::steady_timer listenTimer_, stopAcceptingTimer_;
  std::function<void()> onDrained_;
  std::optional<HotRestart> hotRestart_;
  bool isShuttingDown_ = false;
};

}  // namespace hollyrun::gateway
