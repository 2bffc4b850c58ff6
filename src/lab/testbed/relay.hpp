// Forwards datagrams between the processes of a fleet and injects network faults. Members reach each other
// at addresses of the relay. Each ordered pair of members has a path of its own that loses, delays,
// duplicates or corrupts datagrams by seed, or drops all of them.
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

  /// Adds a member and returns its number. Each member has a loopback address of its own, which identifies
  /// the sender of a datagram.
  std::size_t addMember();
  udp::endpoint listenAddress(std::size_t member) const;      ///< where its process has to listen
  udp::endpoint advertisedAddress(std::size_t member) const;  ///< where the other members reach it

  /// Sets the conditions for datagrams that arrive from now on.
  void setLinkConditions(std::size_t from, std::size_t to, const LinkConditions& linkConditions);
  /// Drops all datagrams of the path while it is cut.
  void cut(std::size_t from, std::size_t to, bool on);

  struct Counts {
    std::uint64_t delivered = 0, dropped = 0, duplicated = 0, corrupted = 0;
    std::uint64_t unknownSender = 0;
    std::uint64_t bytes = 0;  ///< delivered
  };
  const Counts& counts() const { return counts_; }

 private:
  struct RelayPort;
  struct Path {
    LinkConditions linkConditions;
    bool cut = false;
    std::unique_ptr<Stream> random;
  };
  Path& path(std::size_t from, std::size_t to);
  void receive(std::shared_ptr<RelayPort> port);
  void forward(std::size_t from, std::size_t to, std::string bytes);
  void deliver(std::size_t from, std::size_t to, const std::string& bytes);

  boost::asio::io_context& io_;
  std::uint64_t seed_;
  std::uint32_t baseAddress_;  // the members' addresses follow it
  std::vector<std::shared_ptr<RelayPort>> ports_;
  std::vector<std::vector<Path>> paths_;
  Counts counts_;
};

}  // namespace hollyrun::lab
