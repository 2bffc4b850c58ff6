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

// Rigs that run side by side have members of other addresses: 127.64.0.0 to 127.191.255.0, by process.
std::uint32_t baseOf(pid_t pid) {
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

Relay::Relay(asio::io_context& io, std::uint64_t seed) : io_(io), seed_(seed), base_(baseOf(::getpid())) {}

Relay::~Relay() {
  for (const auto& port : ports_) {
    error_code ignored;
    port->socket.close(ignored);
  }
}

std::size_t Relay::add() {
  auto port = std::make_shared<RelayPort>(io_);
  port->member = ports_.size();
  // A port that the kernel gives at an address that nobody else uses stays free until the process takes it.
  const asio::ip::address_v4 own(base_ + 1 + static_cast<std::uint32_t>(ports_.size()));
  port->process = udp::socket(io_, udp::endpoint(own, 0)).local_endpoint();
  ports_.push_back(port);
  for (auto& row : paths_)
    row.resize(ports_.size());
  paths_.emplace_back(ports_.size());
  read(port);
  return port->member;
}

udp::endpoint Relay::listen(std::size_t member) const {
  return ports_.at(member)->process;
}
udp::endpoint Relay::advertised(std::size_t member) const {
  return ports_.at(member)->socket.local_endpoint();
}

Relay::Path& Relay::path(std::size_t from, std::size_t to) {
  Path& p = paths_.at(from).at(to);
  if (!p.draw)
    p.draw = std::make_unique<Stream>(seed_, "path", from * 1000 + to);
  return p;
}

void Relay::set(std::size_t from, std::size_t to, const LinkConditions& linkConditions) {
  path(from, to).linkConditions = linkConditions;
}
void Relay::cut(std::size_t from, std::size_t to, bool on) {
  path(from, to).cut = on;
}

void Relay::read(std::shared_ptr<RelayPort> port) {
  port->socket.async_receive_from(
      asio::buffer(port->buffer), port->from, [this, port](error_code ec, std::size_t n) {
        if (ec == asio::error::operation_aborted || !port->socket.is_open())
          return;
        if (!ec) {
          const auto from = std::find_if(ports_.begin(), ports_.end(),
                                         [&](const auto& d) { return d->process == port->from; });
          if (from == ports_.end())
            ++counts_.strange;
          else
            pass((*from)->member, port->member, std::string(port->buffer.data(), n));
        }
        read(port);
      });
}

void Relay::pass(std::size_t from, std::size_t to, std::string bytes) {
  Path& p = path(from, to);
  if (p.cut || p.draw->chance(p.linkConditions.loss)) {
    ++counts_.lost;
    return;
  }
  const bool twice = p.draw->chance(p.linkConditions.duplication);
  counts_.copied += twice;
  for (int i = 0; i < (twice ? 2 : 1); ++i) {
    std::string copy = bytes;
    if (!copy.empty() && p.draw->chance(p.linkConditions.corruption)) {
      copy[p.draw->below(copy.size())] ^= static_cast<char>(1 + p.draw->below(255));
      ++counts_.spoilt;
    }
    const double ms = p.draw->uniform(p.linkConditions.minDelayMs, p.linkConditions.maxDelayMs);
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
  error_code ignored;  // a process that is gone refuses it
  ports_[from]->socket.send_to(asio::buffer(bytes), ports_[to]->process, 0, ignored);
  ++counts_.passed;
  counts_.bytes += bytes.size();
}

}  // namespace hollyrun::lab
