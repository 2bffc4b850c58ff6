/// Hot restart: detects the other process of an upgrade. Both serve one address for a while and divide its
/// descriptors and memory between them.
#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <functional>
#include <string>

namespace hollyrun::gateway {

class HotRestart {
 public:
  /// Announces this process to the others that serve `address` by a locked file in `directory`. `onChange` is
  /// called when another process appears or the last one ends. A failed announcement is retried at each scan.
  HotRestart(boost::asio::io_context& io, const std::string& directory,
             const boost::asio::ip::tcp::endpoint& address, std::function<void()> onChange);
  ~HotRestart();
  HotRestart(const HotRestart&) = delete;
  HotRestart& operator=(const HotRestart&) = delete;

  bool isOtherPresent() const { return isOtherPresent_; }
  bool isAnnounced() const { return file_ >= 0; }

  /// Directs every new connection to the listener that joined the SO_REUSEPORT group of the address last.
  static void steerToLatestListener(int listener);

 private:
  void announce();
  void restoreAnnouncement();
  bool scanForOthers();
  void scheduleScan();

  std::string directory_, filePrefix_;
  std::string ownPath_;  // of this process's file, once it is announced
  std::function<void()> onChange_;
  boost::asio::steady_timer timer_;
  int file_ = -1;
  bool isOtherPresent_ = false;
};

}  // namespace hollyrun::gateway
