// The way of datagrams between the processes of a fleet: every member is reached at an address of the relay,
// each ordered pair has a path of its own that loses, delays, copies, spoils or cuts, by seed.
#pragma once

#include <array>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/udp.hpp>
#include <cstdint>
#include <memory>
#include <string>
#include <vector>

#include "gateway/endpoint_text.hpp"
#include "lab/simulation/members.hpp"

namespace hollyrun::lab {

using gateway::textOf;

class Relay {
 public:
  using udp = boost::asio::ip::udp;

  Relay(boost::asio::io_context& io, std::uint64_t seed);
  ~Relay();
  Relay(const Relay&) = delete;
  Relay& operator=(const Relay&) = delete;

  /// A further member; its number. Members have loopback addresses of their own, by which their datagrams are
  /// told apart.
  std::size_t add();
  udp::endpoint listen(std::size_t member) const;      ///< where its process has to listen
  udp::endpoint advertised(std::size_t member) const;  ///< where the others reach it

  /// Of datagrams from one to another from now on.
  void set(std::size_t from, std::size_t to, const LinkConditions& linkConditions);
  void cut(std::size_t from, std::size_t to, bool on);

  struct Counts {
    std::uint64_t passed = 0, lost = 0, copied = 0, spoilt = 0, strange = 0, bytes = 0;
  };
  const Counts& counts() const { return counts_; }

 private:
  struct RelayPort;
  struct Path {
    LinkConditions linkConditions;
    bool cut = false;
    std::unique_ptr<Stream> draw;
  };
  Path& path(std::size_t from, std::size_t to);
  void read(std::shared_ptr<RelayPort> port);
  void pass(std::size_t from, std::size_t to, std::string bytes);
  void deliver(std::size_t from, std::size_t to, const std::string& bytes);

  boost::asio::io_context& io_;
  std::uint64_t seed_;
  std::uint32_t base_;  // first of the members' addresses
  std::vector<std::shared_ptr<RelayPort>> ports_;
  std::vector<std::vector<Path>> paths_;
  Counts counts_;
};

}  // namespace hollyrun::lab
