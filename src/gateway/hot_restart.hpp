// The other process of an upgrade: both serve one address for a while and share its limits.
#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <functional>
#include <string>

namespace hollyrun::gateway {

class HotRestart {
 public:
  // Announces this process, by a locked file in `folder`, to the others that serve `address`. `changed` is
  // called when another comes or the last goes. An announcement that fails is made again at each look.
  HotRestart(boost::asio::io_context& io, const std::string& folder,
             const boost::asio::ip::tcp::endpoint& address, std::function<void()> changed);
  ~HotRestart();
  HotRestart(const HotRestart&) = delete;
  HotRestart& operator=(const HotRestart&) = delete;

  bool otherPresent() const { return otherPresent_; }
  bool announced() const { return file_ >= 0; }

  // Leads every new connection of the address to the listener that joined its group last.
  static void steerToLatest(int listener);

 private:
  void announce();
  bool look();
  void watch();

  std::string folder_, prefix_, own_;  // own_: the path of this process's file, once it is announced
  std::function<void()> changed_;
  boost::asio::steady_timer timer_;
  int file_ = -1;
  bool otherPresent_ = false;
};

}  // namespace hollyrun::gateway
