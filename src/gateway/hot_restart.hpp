/// Hot restart: detects the other process of an upgrade. For a while the old and the new process serve the
/// same address and divide the limits on file descriptors and memory between them.
#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <functional>
#include <string>

namespace hollyrun::gateway {

/// Detects whether another process serves the same address. Each process announces itself by a locked file in
/// a common directory and scans the directory periodically for the files of others.
class HotRestart {
 public:
  /// Announces this process as serving `address` by a locked file in `directory`. `onChange` is called when
  /// another process appears and when the last other process has exited. A failed announcement is retried at
  /// each scan.
  HotRestart(boost::asio::io_context& io, const std::string& directory,
             const boost::asio::ip::tcp::endpoint& address, std::function<void()> onChange);
  ~HotRestart();
  HotRestart(const HotRestart&) = delete;
  HotRestart& operator=(const HotRestart&) = delete;

  bool isOtherProcessPresent() const { return isOtherProcessPresent_; }
  bool isAnnounced() const { return lockFile_ >= 0; }

  /// Directs every new connection to the listener that joined the address's SO_REUSEPORT group last.
  static void steerToLatestListener(int listener);

 private:
  void announce();
  void restoreAnnouncement();
  bool scanForOthers();
  void scheduleScan();

  std::string directory_, filePrefix_;
  std::string lockFilePath_;  // empty until this process is announced
  std::function<void()> onChange_;
  boost::asio::steady_timer timer_;
  int lockFile_ = -1;  // descriptor that holds the lock
  bool isOtherProcessPresent_ = false;
};

}  // namespace hollyrun::gateway
