#include "lab/testbed/relay.hpp"

#include <unistd.h>

#include <algorithm>
#include <boost/asio/buffer.hpp>
#include <boost/asio/steady_timer.hpp>

namespace hollyrun::lab {

namespace asio = boost::asio;
using boost::system::error_code;
using udp = asio::ip::udp;

namespace {

// Selects one of the address blocks from 127.64.0.0 to 127.191.255.0 by process id, so that testbeds that run
// at the same time use different addresses.
std::uint32_t baseAddressOf(pid_t pid) {
  return 0x7f000000u | (64u + static_cast<std::uint32_t>(pid >> 8) % 128u) << 16 |
         (static_cast<std::uint32_t>(pid) % 256u) << 8;
}

}  // namespace

struct Relay::RelayPort {
  explicit RelayPort(asio::io_context& io) : socket(io, udp::endpoint(asio::ip::address_v4::loopback(), 0)) {
    socket.non_blocking(true);
  }
  std::size_t member = 0;
  udp::socket socket;
  udp::endpoint process, from;
  std::array<char, 65536> buffer{};
};

Relay::Relay(asio::io_context& io, std::uint64_t seed)
    : io_(io), seed_(seed), baseAddress_(baseAddressOf(::getpid())) {}

Relay::~Relay() {
  for (const auto& port : ports_) {
    error_code ignored;
    port->socket.close(ignored);
  }
}

std::size_t Relay::addMember() {
  auto port = std::make_shared<RelayPort>(io_);
  port->member = ports_.size();
  // No other process uses the address, so the port that the kernel chooses stays free until the process binds
  // it.
  const asio::ip::address_v4 address(baseAddress_ + 1 + static_cast<std::uint32_t>(ports_.size()));
  port->process = udp::socket(io_, udp::endpoint(address, 0)).local_endpoint();
  ports_.push_back(port);
  for (auto& row : paths_)
    row.resize(ports_.size());
  paths_.emplace_back(ports_.size());
  receive(port);
  return port->member;
}

udp::endpoint Relay::listenAddress(std::size_t member) const {
  return ports_.at(member)->process;
}
udp::endpoint Relay::advertisedAddress(std::size_t member) const {
  return ports_.at(member)->socket.local_endpoint();
}

Relay::Path& Relay::path(std::size_t from, std::size_t to) {
  Path& path = paths_.at(from).at(to);
  if (!path.random)
    path.random = std::make_unique<Stream>(seed_, "path", from * 1000 + to);
  return path;
}

void Relay::setLinkConditions(std::size_t from, std::size_t to, const LinkConditions& linkConditions) {
  path(from, to).linkConditions = linkConditions;
}
void Relay::cut(std::size_t from, std::size_t to, bool on) {
  path(from, to).cut = on;
}

void Relay::receive(std::shared_ptr<RelayPort> port) {
  port->socket.async_receive_from(
      asio::buffer(port->buffer), port->from, [this, port](error_code ec, std::size_t n) {
        if (ec == asio::error::operation_aborted || !port->socket.is_open())
          return;
        if (!ec) {
          const auto from = std::find_if(ports_.begin(), ports_.end(),
                                         [&](const auto& other) { return other->process == port->from; });
          if (from == ports_.end())
            ++counts_.unknownSender;
          else
            forward((*from)->member, port->member, std::string(port->buffer.data(), n));
        }
        receive(port);
      });
}

void Relay::forward(std::size_t from, std::size_t to, std::string bytes) {
  Path& link = path(from, to);
  if (link.cut || link.random->chance(link.linkConditions.loss)) {
    ++counts_.dropped;
    return;
  }
  const bool duplicate = link.random->chance(link.linkConditions.duplication);
  counts_.duplicated += duplicate;
  for (int i = 0; i < (duplicate ? 2 : 1); ++i) {
    std::string copy = bytes;
    if (!copy.empty() && link.random->chance(link.linkConditions.corruption)) {
      copy[link.random->below(copy.size())] ^= static_cast<char>(1 + link.random->below(255));
      ++counts_.corrupted;
    }
    const double ms = link.random->uniform(link.linkConditions.minDelayMs, link.linkConditions.maxDelayMs);
    if (ms <= 0) {
      deliver(from, to, copy);
      continue;
    }
    auto timer = std::make_shared<asio::steady_timer>(io_);
    timer->expires_after(std::chrono::microseconds(static_cast<std::int64_t>(ms * 1000)));
    timer->async_wait([this, timer, from, to, copy](error_code ec) {
      if (!ec)
        deliver(from, to, copy);
    });
  }
}

void Relay::deliver(std::size_t from, std::size_t to, const std::string& bytes) {
  error_code ignored;  // a process that has ended refuses the datagram
  ports_[from]->socket.send_to(asio::buffer(bytes), ports_[to]->process, 0, ignored);
  ++counts_.delivered;
  counts_.bytes += bytes.size();
}

}  // namespace hollyrun::lab
