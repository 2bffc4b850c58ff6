#include "lab/soak/flood.hpp"

#include <boost/asio/buffer.hpp>
#include <boost/asio/write.hpp>
#include <utility>

#include "lab/soak/peer_sockets.hpp"

namespace hollyrun::lab {
namespace {

namespace asio = boost::asio;
using asio::ip::tcp;
using boost::system::error_code;
using namespace std::chrono_literals;

constexpr auto kReconnectDelay = 20ms;
constexpr std::size_t kReadSize = 64 << 10;

}  // namespace

const char* nameOf(FloodKind kind) {
  static constexpr const char* kNames[] = {"SoundRequests", "NewNames", "UnsoundRequests", "TinyChunks",
                                           "EmptyLines"};
  return kNames[static_cast<std::size_t>(kind)];
}

Flood::Flood(asio::io_context& io, tcp::endpoint gateway, FloodKind kind, bool readsResponses,
             std::string idPrefix)
    : io_(io),
      gateway_(std::move(gateway)),
      kind_(kind),
      readsResponses_(readsResponses),
      idPrefix_(std::move(idPrefix)),
      reconnectTimer_(io),
      pauseTimer_(io),
      received_(kReadSize) {}

std::shared_ptr<Flood> Flood::start(asio::io_context& io, const tcp::endpoint& gateway, FloodKind kind,
                                    bool readsResponses, std::string idPrefix) {
  const std::shared_ptr<Flood> flood(new Flood(io, gateway, kind, readsResponses, std::move(idPrefix)));
  flood->connect();
  return flood;
}

void Flood::stop() {
  isStopped_ = true;
  if (socket_)
    resetSocket(*socket_);
}

void Flood::connect() {
  if (isStopped_)
    return;
  socket_ = std::make_shared<tcp::socket>(io_);
  isHeadSent_ = false;
  socket_->async_connect(gateway_, [self = shared_from_this(), socket = socket_](error_code error) {
    if (error || self->isStopped_)
      return;
    self->write();
    if (self->readsResponses_)
      self->read();
  });
}

void Flood::write() {
  outgoing_ = nextText();
  asio::async_write(*socket_, asio::buffer(outgoing_),
                    [self = shared_from_this(), socket = socket_](error_code error, std::size_t bytes) {
                      self->bytesWritten_ += bytes;
                      if (self->isStopped_ || socket != self->socket_)
                        return;
                      if (!error)
                        return self->writeAfterPause();
                      self->reconnectTimer_.expires_after(kReconnectDelay);
                      self->reconnectTimer_.async_wait([self](error_code) { self->connect(); });
                    });
}

void Flood::writeAfterPause() {
  if (pause == 0ms)
    return write();
  pauseTimer_.expires_after(pause);
  pauseTimer_.async_wait([self = shared_from_this(), socket = socket_](error_code error) {
    if (!error && !self->isStopped_ && socket == self->socket_)
      self->write();
  });
}

void Flood::read() {
  socket_->async_read_some(asio::buffer(received_),
                           [self = shared_from_this(), socket = socket_](error_code error, std::size_t) {
                             if (!error && !self->isStopped_ && socket == self->socket_)
                               self->read();
                           });
}

std::string Flood::nextText() {
  constexpr int kPerWrite = 50;
  std::string text;
  switch (kind_) {
    case FloodKind::emptyLines:
      return std::string(kReadSize, '\n');
    case FloodKind::tinyChunks:
      if (!std::exchange(isHeadSent_, true))
        text = "POST /write HTTP/1.1\r\nHost: x\r\nX-Request-Id: " + idPrefix_ + std::to_string(++requests_) +
               "\r\nTransfer-Encoding: chunked\r\n\r\n";
      for (int i = 0; i < 100 * kPerWrite; ++i)
        text += "1\r\nx\r\n";
      return text;
    case FloodKind::unsoundRequests:
      for (int i = 0; i < kPerWrite; ++i)
        text += "GET /read HTTP/1.1\r\nHost: x\r\n\r\n";
      return text;
    default:
      break;
  }
  for (int i = 0; i < kPerWrite; ++i) {
    const std::string id = idPrefix_ + std::to_string(++requests_);
    if (onRequest)
      onRequest(id);
    text += "GET /read HTTP/1.1\r\nHost: x\r\nX-Request-Id: " + id + "\r\n";
    if (kind_ == FloodKind::newNames)
      text += "X-Tenant: t" + id + "\r\nCookie: obj=k" + id + "\r\nX-Deadline-Ms: 4000000000\r\n";
    text += "\r\n";
  }
  return text;
}

}  // namespace hollyrun::lab
