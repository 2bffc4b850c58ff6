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
using Clock = std::chrono::steady_clock;

// Delay before the next attempt to accept after file descriptors or buffers ran out.
constexpr auto kRetryInterval = std::chrono::milliseconds(20);
// Limit on the connections accepted in one iteration of the event loop, so that responses and timers are
// handled in between.
constexpr std::size_t kAcceptBatch = 32;

}  // namespace

DownstreamListener::DownstreamListener(asio::io_context& io, ConnectionAdmission& admission)
    : io_(io), acceptor_(io), admission_(admission), retryTimer_(io) {}

bool DownstreamListener::listen(const tcp::endpoint& address, bool shared) {
  error_code error;
  acceptor_.open(address.protocol(), error);
  if (isLocalShortage(error))
    return false;
  if (error)
    throw boost::system::system_error(error, "open");
  acceptor_.set_option(tcp::acceptor::reuse_address(true));
  using ReusePort = asio::detail::socket_option::boolean<SOL_SOCKET, SO_REUSEPORT>;
  if (shared)
    acceptor_.set_option(ReusePort(true));
  acceptor_.bind(address);
  acceptor_.listen();
  acceptor_.non_blocking(true);
  // Without this option Asio handles an aborted connection by waiting for the next one within the call, which
  // would block the event loop.
  acceptor_.set_option(asio::socket_base::enable_connection_aborted(true));
  awaitPending();
  return true;
}

void DownstreamListener::awaitPending() {
  acceptor_.async_wait(tcp::acceptor::wait_read, [this](error_code error) {
    if (error || !acceptor_.is_open())
      return;
    if (admission_.isRefusing())
      stalledSince_ = stalledSince_.value_or(Clock::now());
    else if (acceptPending() != AcceptResult::noCapacity)
      return awaitPending();
    // The listener stays readable while no descriptor or buffer is free, so waiting for it again without a
    // delay would make the event loop spin.
    retryTimer_.expires_after(kRetryInterval);
    retryTimer_.async_wait([this](error_code waitError) {
      if (!waitError && acceptor_.is_open())
        awaitPending();
    });
  });
}

// Accepts a batch of connections. At the limit, a connection is evicted only once the new one has been
// accepted: a pending connection may turn out to be aborted, and a client would be disconnected for nothing.
// So one connection over the limit may be open.
DownstreamListener::AcceptResult DownstreamListener::acceptPending() {
  const AcceptResult result = acceptBatch();
  // What is left in the queue may contain requests that wait.
  if (result == AcceptResult::allAccepted)
    stalledSince_.reset();
  else
    stalledSince_ = stalledSince_.value_or(Clock::now());
  return result;
}

DownstreamListener::AcceptResult DownstreamListener::acceptBatch() {
  for (std::size_t attempts = 0; attempts < kAcceptBatch; ++attempts) {
    if (admission_.isOverLimit() && !admission_.evictForCapacity(EvictionScope::all))
      return AcceptResult::noCapacity;
    error_code error;
    tcp::socket socket(io_);
    acceptor_.accept(socket, error);
    if (wouldBlock(error))
      return AcceptResult::allAccepted;
    // Eviction helps only if this process has no descriptor left. On any other error it would gain nothing
    // and could close a connection whose request is in transit.
    if (error == boost::system::errc::too_many_files_open)
      return admission_.evictForCapacity(EvictionScope::sparingNew) ? AcceptResult::morePending
                                                                    : AcceptResult::noCapacity;
    if (isLocalShortage(error) && !isInterrupted(error))
      return AcceptResult::noCapacity;
    // Any other error concerns the first pending connection, which is gone; the next one may be usable
    // (accept(2)).
    if (error)
      continue;
    if (admission_.isAtLimit())
      admission_.evictForCapacity(EvictionScope::all);
    admission_.admit(std::move(socket), stalledSince_.value_or(Clock::now()));
    if (admission_.isOverLimit())
      return AcceptResult::noCapacity;
  }
  return AcceptResult::morePending;
}

// Closing the listener resets pending connections, which may already contain requests. So a socket filter
// first drops the packets that would establish further connections, and then all pending ones are accepted.
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
