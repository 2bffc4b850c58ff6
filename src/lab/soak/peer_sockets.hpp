// Socket settings that the peers of the tests share.
#pragma once

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/socket_base.hpp>
#include <boost/system/error_code.hpp>

namespace hollyrun::lab {

/// In bytes. Keeps the kernel from taking a large message for a slow reader.
inline constexpr int kSmallReceiveBuffer = 32 << 10;

/// Resets the connection: a closed one would go on to send what is buffered.
inline void resetSocket(boost::asio::ip::tcp::socket& socket) {
  boost::system::error_code ignored;
  socket.set_option(boost::asio::socket_base::linger(true, 0), ignored);
  socket.close(ignored);
}

}  // namespace hollyrun::lab
