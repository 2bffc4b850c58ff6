// Reads and writes on non-blocking sockets that rely on no edge of the reactor.
//
// Asio's composed writes take a write that returns short for a full buffer and wait for the edge that tells
// of room. A system call may return short for other reasons, and then no edge comes. Here a write goes on
// until the kernel says that it would block, and the wait that follows asks for the level.
#pragma once

#include <boost/asio/buffer.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/system/error_code.hpp>
#include <functional>

namespace hollyrun::gateway {

/// The call was interrupted or found nothing to do: it is made again, at once or after a wait.
bool isInterrupted(const boost::system::error_code& error);
bool wouldBlock(const boost::system::error_code& error);
/// Of this machine, which has no port, descriptor, buffer or route left: it says nothing of the peer.
bool isLocalShortage(const boost::system::error_code& error);

/// Whether bytes have arrived that were not read yet, including those that the event loop has not reported.
bool hasUnreadBytes(const boost::asio::ip::tcp::socket& socket);

using WriteDone = std::function<void(boost::system::error_code)>;

/// Writes all of `data`, then calls `done`, never from within this call. The caller keeps the bytes and the
/// socket, which must be non-blocking, until then; closing the socket ends the write with an error.
void writeAll(boost::asio::ip::tcp::socket& socket, boost::asio::const_buffer data, WriteDone done);

}  // namespace hollyrun::gateway
