/// Reads and writes on non-blocking sockets that don't rely on edge-triggered events.
///
/// Asio's composed writes regard a short write as a full buffer and wait for the event that the buffer has
/// space again. A system call may write less for other reasons, and then no such event comes. Here a write
/// continues until the kernel would block, and the wait that follows asks for the socket's state
/// (level-triggered).
#pragma once

#include <boost/asio/buffer.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/system/error_code.hpp>
#include <functional>

namespace hollyrun::gateway {

/// The call was interrupted, or would block: it is repeated, at once or after a wait.
bool isInterrupted(const boost::system::error_code& error);
bool wouldBlock(const boost::system::error_code& error);
/// This machine has no port, descriptor, buffer or route left: the error says nothing about the peer.
bool isLocalShortage(const boost::system::error_code& error);

/// Whether bytes have arrived that were not read yet, including those that the event loop has not reported.
bool hasUnreadBytes(const boost::asio::ip::tcp::socket& socket);

using WriteHandler = std::function<void(boost::system::error_code)>;

/// Writes all of `data`, then calls `handler`, never from within this call. The caller keeps the bytes and
/// the socket, which must be non-blocking, until then; closing the socket ends the write with an error.
void writeAll(boost::asio::ip::tcp::socket& socket, boost::asio::const_buffer data, WriteHandler handler);

}  // namespace hollyrun::gateway
