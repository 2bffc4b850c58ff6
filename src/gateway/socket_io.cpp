#include "gateway/socket_io.hpp"

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

// The kernel has no buffer for the moment: the write is tried again so much later.
constexpr auto kBufferAgain = std::chrono::milliseconds(5);

bool lacksBuffer(const error_code& error) {
  return error == errc::no_buffer_space || error == errc::not_enough_memory;
}

void writeAgainLater(tcp::socket& socket, asio::const_buffer rest, WriteDone done) {
  const auto timer = std::make_shared<asio::steady_timer>(socket.get_executor(), kBufferAgain);
  timer->async_wait([timer, &socket, rest, done = std::move(done)](error_code error) mutable {
    if (error || !socket.is_open())
      return done(asio::error::operation_aborted);
    writeAll(socket, rest, std::move(done));
  });
}

void writeWhenReady(tcp::socket& socket, asio::const_buffer rest, WriteDone done) {
  socket.async_wait(tcp::socket::wait_write,
                    [&socket, rest, done = std::move(done)](error_code error) mutable {
                      if (error)
                        return done(error);
                      writeAll(socket, rest, std::move(done));
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
         error == errc::resource_unavailable_try_again || isInterrupted(error) || lacksBuffer(error);
}

bool hasUnreadBytes(const tcp::socket& socket) {
  error_code error;
  return socket.available(error) > 0 && !error;
}

void writeAll(tcp::socket& socket, asio::const_buffer data, WriteDone done) {
  error_code error;
  while (data.size() > 0) {
    data += socket.write_some(data, error);
    if (isInterrupted(error))
      continue;
    if (wouldBlock(error))
      return writeWhenReady(socket, data, std::move(done));
    if (lacksBuffer(error))
      return writeAgainLater(socket, data, std::move(done));
    if (error)
      break;
  }
  asio::post(socket.get_executor(), [done = std::move(done), error] { done(error); });
}

}  // namespace hollyrun::gateway
