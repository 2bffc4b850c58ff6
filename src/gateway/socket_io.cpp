#include "gateway/socket_io.hpp"

#include <linux/sockios.h>
#include <netinet/tcp.h>
#include <sys/ioctl.h>
#include <sys/socket.h>

#include <boost/asio/error.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/steady_timer.hpp>
#include <chrono>
#include <memory>
#include <utility>

namespace hollyrun::gateway {
namespace {

namespace asio = boost::asio;
namespace errc = boost::system::errc;
using boost::system::error_code;
using tcp = asio::ip::tcp;

// Delay before a write is retried after the kernel had no buffer space for it.
constexpr auto kBufferRetryDelay = std::chrono::milliseconds(5);

bool isBufferShortage(const error_code& error) {
  return error == errc::no_buffer_space || error == errc::not_enough_memory;
}

void retryWriteLater(tcp::socket& socket, asio::const_buffer rest, WriteHandler handler) {
  const auto timer = std::make_shared<asio::steady_timer>(socket.get_executor(), kBufferRetryDelay);
  timer->async_wait([timer, &socket, rest, handler = std::move(handler)](error_code error) mutable {
    if (error || !socket.is_open())
      return handler(asio::error::operation_aborted);
    writeAll(socket, rest, std::move(handler));
  });
}

void writeWhenReady(tcp::socket& socket, asio::const_buffer rest, WriteHandler handler) {
  socket.async_wait(tcp::socket::wait_write,
                    [&socket, rest, handler = std::move(handler)](error_code error) mutable {
                      if (error)
                        return handler(error);
                      writeAll(socket, rest, std::move(handler));
                    });
}

}  // namespace

bool isInterrupted(const error_code& error) {
  return error == asio::error::interrupted;
}

bool wouldBlock(const error_code& error) {
  return error == asio::error::would_block || error == asio::error::try_again;
}

bool isLocalShortage(const error_code& error) {
  return error == errc::address_not_available || error == errc::too_many_files_open ||
         error == errc::too_many_files_open_in_system || error == errc::network_unreachable ||
         error == errc::resource_unavailable_try_again || isInterrupted(error) || isBufferShortage(error);
}

bool hasUnreadBytes(const tcp::socket& socket) {
  error_code error;
  return socket.available(error) > 0 && !error;
}

std::optional<std::chrono::milliseconds> timeSinceLastArrival(tcp::socket& socket) {
  tcp_info info{};
  socklen_t length = sizeof info;
  if (::getsockopt(socket.native_handle(), IPPROTO_TCP, TCP_INFO, &info, &length) != 0)
    return std::nullopt;
  return std::chrono::milliseconds(info.tcpi_last_data_recv);
}

std::size_t unacknowledgedBytes(tcp::socket& socket) {
  int bytes = 0;
  return ::ioctl(socket.native_handle(), SIOCOUTQ, &bytes) == 0 ? static_cast<std::size_t>(bytes) : 0;
}

void writeAll(tcp::socket& socket, asio::const_buffer data, WriteHandler handler) {
  error_code error;
  while (data.size() > 0) {
    data += socket.write_some(data, error);
    if (isInterrupted(error))
      continue;
    if (wouldBlock(error))
      return writeWhenReady(socket, data, std::move(handler));
    if (isBufferShortage(error))
      return retryWriteLater(socket, data, std::move(handler));
    if (error)
      break;
  }
  asio::post(socket.get_executor(), [handler = std::move(handler), error] { handler(error); });
}

}  // namespace hollyrun::gateway
