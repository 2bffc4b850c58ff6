/// I/O on non-blocking sockets that does not rely on edge-triggered events.
///
/// Asio's composed writes interpret a short write as a full send buffer and wait for the event that the
/// buffer has space again. A system call may write less for other reasons, and then that event never arrives.
/// Here a write continues until the kernel would block, and the wait that follows checks the socket's state
/// (level-triggered).
#pragma once

#include <boost/asio/buffer.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/system/error_code.hpp>
#include <chrono>
#include <cstddef>
#include <functional>
#include <optional>

namespace hollyrun::gateway {

/// Whether the call was interrupted by a signal and should be repeated at once.
bool isInterrupted(const boost::system::error_code& error);
/// Whether the call would have blocked and should be repeated once the socket is ready.
bool wouldBlock(const boost::system::error_code& error);
/// Whether the error is caused by this machine, which lacks a port, descriptor, buffer or route or
/// interrupted the call. Such an error says nothing about the peer.
bool isLocalShortage(const boost::system::error_code& error);

/// Whether unread bytes are available, including those that the event loop has not reported yet.
bool hasUnreadBytes(const boost::asio::ip::tcp::socket& socket);

/// The time since the last bytes arrived, with a resolution of some milliseconds; nothing if it is unknown.
std::optional<std::chrono::milliseconds> timeSinceLastArrival(boost::asio::ip::tcp::socket& socket);

/// The number of bytes that were written and that the peer's machine has not acknowledged. It stops falling
/// once the peer reads no more and its receive buffer is full.
std::size_t unacknowledgedBytes(boost::asio::ip::tcp::socket& socket);

using WriteHandler = std::function<void(boost::system::error_code)>;

/// Writes all of `data`, then calls `handler`, but never from within this call. The socket must be
/// non-blocking. The socket and the bytes must stay valid until `handler` is called. Closing the socket ends
/// the write with an error.
void writeAll(boost::asio::ip::tcp::socket& socket, boost::asio::const_buffer data, WriteHandler handler);

}  // namespace hollyrun::gateway
