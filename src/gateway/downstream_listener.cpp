#include "gateway/downstream_listener.hpp"

#include <linux/filter.h>
#include <sys/socket.h>

#include <chrono>
#include <cstddef>
#include <utility>

#include "gateway/socket_io.hpp"

namespace hollyrun::gateway {
namespace {

namespace asio = boost::asio;
using boost::system::error_code;
using tcp = asio::ip::tcp;

// Accepting is tried again after this when no descriptor or buffer was left.
constexpr auto kRetryInterval = std::chrono::milliseconds(20);
// Connections accepted in one turn of the event loop, so that responses and timers are handled in between.
constexpr std::size_t kAcceptBatch = 32;

}  // namespace

DownstreamListener::DownstreamListener(asio::io_context& io, ConnectionAdmission& admission)
    : io_(io), acceptor_(io), admission_(admission), retryTimer_(io) {}

void DownstreamListener::listen(const tcp::endpoint& at, bool shared) {
  acceptor_.open(at.protocol());
  acceptor_.set_option(tcp::acceptor::reuse_address(true));
  using ReusePort = asio::detail::socket_option::boolean<SOL_SOCKET, SO_REUSEPORT>;
  if (shared)
    acceptor_.set_option(ReusePort(true));
  acceptor_.bind(at);
  acceptor_.listen();
  acceptor_.non_blocking(true);
  // Without this option Asio handles an aborted connection by waiting for the next one within the call, which
  // would block the event loop.
  acceptor_.set_option(asio::socket_base::enable_connection_aborted(true));
  awaitPending();
}

void DownstreamListener::awaitPending() {
  acceptor_.async_wait(tcp::acceptor::wait_read, [this](error_code error) {
    if (error || !acceptor_.is_open())
      return;
    if (acceptPending() != AcceptResult::noCapacity)
      return awaitPending();
    // With no descriptor or buffer left the listener stays readable, and waiting for it at once would make
    // the event loop spin.
    retryTimer_.expires_after(kRetryInterval);
    retryTimer_.async_wait([this](error_code waitError) {
      if (!waitError && acceptor_.is_open())
        awaitPending();
    });
  });
}

// Accepts a batch. At the limit a connection is evicted only for one that has been accepted, so that no idle
// client is disconnected for nobody; so there may be one connection over the limit.
DownstreamListener::AcceptResult DownstreamListener::acceptPending() {
  for (std::size_t attempts = 0; attempts < kAcceptBatch; ++attempts) {
    if (admission_.isOverLimit() && !admission_.evictForCapacity(EvictionScope::all))
      return AcceptResult::noCapacity;
    error_code error;
    tcp::socket socket(io_);
    acceptor_.accept(socket, error);
    if (wouldBlock(error))
      return AcceptResult::allAccepted;
    // Closing a connection helps only where this process has no descriptor left; at any other error it would
    // close one whose request is on its way, and gain nothing.
    if (error == boost::system::errc::too_many_files_open)
      return admission_.evictForCapacity(EvictionScope::sparingNew) ? AcceptResult::morePending
                                                                    : AcceptResult::noCapacity;
    if (isLocalShortage(error) && !isInterrupted(error))
      return AcceptResult::noCapacity;
    if (error)  // it concerns the first pending connection, which is gone; the next may be sound (accept(2))
      continue;
    if (admission_.isAtLimit())
      admission_.evictForCapacity(EvictionScope::all);
    admission_.admit(std::move(socket));
    if (admission_.isOverLimit())
      return AcceptResult::noCapacity;
  }
  return AcceptResult::morePending;
}

// Pending connections may hold requests already, and closing the listener resets them. So a filter first
// drops the packets that would establish further ones.
void DownstreamListener::acceptRemaining() {
  sock_filter dropAll[] = {{BPF_RET | BPF_K, 0, 0, 0}};
  const sock_fprog program{1, dropAll};
  ::setsockopt(acceptor_.native_handle(), SOL_SOCKET, SO_ATTACH_FILTER, &program, sizeof program);
  while (acceptPending() == AcceptResult::morePending) {
  }
}

void DownstreamListener::close() {
  error_code ignored;
  acceptor_.close(ignored);
  retryTimer_.cancel();
}

}  // namespace hollyrun::gateway
