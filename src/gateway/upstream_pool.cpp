#include "gateway/upstream_pool.hpp"

#include <algorithm>
#include <boost/system/error_code.hpp>
#include <chrono>
#include <optional>
#include <utility>

namespace hollyrun::gateway {
namespace {

namespace asio = boost::asio;
using balancer::Duration;
using balancer::HostId;
using balancer::Outcome;
using boost::system::error_code;
using tcp = asio::ip::tcp;
using Clock = std::chrono::steady_clock;

constexpr Duration kIdleCheckInterval = std::chrono::milliseconds(250);
// A host that sent unsolicited bytes may do so again some milliseconds after a response, and they would be
// taken for the response to the next request. For kQuarantine after such bytes, a connection to the host is
// reused only once it has been idle for kQuarantineIdleTime.
constexpr Duration kQuarantine = std::chrono::seconds(30);
constexpr auto kQuarantineIdleTime = std::chrono::milliseconds(50);
// An attempt that is still connecting to a draining host must be written within this time: half of the grace
// period that a host grants after it announced its drain.
constexpr Duration kDrainStartLimit = std::chrono::milliseconds(500);
// A request written to a connection that the host is just closing ends as a reset and may have executed. Idle
// connections are therefore closed before the host would close them: earlier by this margin, or by a fifth of
// the idle timeout if that is shorter.
constexpr Duration kIdleMargin = std::chrono::seconds(2);
// Where connections run short, one is taken from an upload whose client has sent nothing for this long, or
// from a response of which its host has sent or its client has read nothing. Sound peers pause for up to 2 s
// within a response.
constexpr Duration kMinUploadStall = std::chrono::milliseconds(500);
constexpr Duration kMinResponseStall = std::chrono::milliseconds(2500);

}  // namespace

UpstreamPool::UpstreamPool(asio::io_context& io, Limits limits, UpstreamObserver& observer,
                           std::shared_ptr<MemoryBudget> budget)
    : io_(io), limits_(limits), observer_(observer), budget_(std::move(budget)), idleCheckTimer_(io) {
  closeExpiredIdle();
}

UpstreamPool::~UpstreamPool() {
  stop();
}

void UpstreamPool::setTimeouts(Duration connectTimeout, Duration idleTimeout) {
  limits_.connectTimeout = connectTimeout;
  limits_.idleTimeout = idleTimeout;
}

void UpstreamPool::setConnectionLimit(std::size_t connections) {
  limits_.connections = connections;
  while (openConnections_ > limits_.connections && closeOldestIdle()) {
  }
}

void UpstreamPool::stop() {
  idleCheckTimer_.cancel();
  for (auto& [key, connection] : std::exchange(busy_, {}))
    connection->close();
  for (const auto& connection : std::exchange(relaying_, {}))
    connection->close();
  for (HostState& host : hosts_)
    for (auto& connection : std::exchange(host.idle, {}))
      connection->close();
}

UpstreamPool::HostState& UpstreamPool::hostState(HostId host) {
  if (hosts_.size() <= host)
    hosts_.resize(host + std::size_t{1});
  return hosts_[host];
}

void UpstreamPool::setEndpoint(HostId host, const tcp::endpoint& endpoint) {
  HostState& state = hostState(host);
  if (state.endpoint == endpoint)
    return;
  closeIdle(host);
  state.endpoint = endpoint;
}

void UpstreamPool::start(AttemptKey key, HostId host, ForwardedRequestPtr request, Duration limit,
                         Duration latestStart) {
  startAttempt(host, {key, std::move(request), {}, limit, latestStart});
}

void UpstreamPool::start(AttemptKey key, HostId host, ForwardedRequestPtr request, StreamedUpload upload,
                         Duration limit, Duration latestStart) {
  startAttempt(host, {key, std::move(request), std::move(upload), limit, latestStart});
}

void UpstreamPool::completeUpload(AttemptKey key, Duration limit) {
  const auto it = busy_.find(key);
  if (it != busy_.end())
    it->second->restartTimeLimit(limit);
}

// If no file descriptor is left, closes the connection that has been idle for longest and tries again.
bool UpstreamPool::openSocket(tcp::socket& socket, const tcp::endpoint& endpoint) {
  error_code error;
  socket.open(endpoint.protocol(), error);
  if (error == boost::system::errc::too_many_files_open && closeOldestIdle())
    socket.open(endpoint.protocol(), error);
  return !error;
}

void UpstreamPool::startAttempt(HostId host, AttemptAssignment attempt) {
  const auto now = Clock::now();
  const AttemptKey key = attempt.key;
  std::shared_ptr<UpstreamConnection> connection = takeIdle(host);
  const bool isNew = !connection;
  if (isNew) {
    if (openConnections_ >= limits_.connections && !closeOldestIdle() && !endLongestStalled())
      return observer_.onAttemptComplete({key, host, Outcome::localFailure, {}, {}});
    connection = std::allocate_shared<UpstreamConnection>(
        CountedAllocator<UpstreamConnection, MemoryUse::connection>(), *this, host);
  }
  connection->assign(std::move(attempt), now);
  busy_.emplace(key, connection);
  if (isNew)
    connection->connect(hostState(host).endpoint);
  else
    connection->sendRequest();
}

void UpstreamPool::cancel(AttemptKey key) {
  const auto it = busy_.find(key);
  if (it == busy_.end())
    return;
  const auto connection = it->second;
  connection->complete(Outcome::cancelled);
}

void UpstreamPool::failUnfinishedUpload(AttemptKey key) {
  const auto it = busy_.find(key);
  if (it == busy_.end() || !it->second->isUploadUnfinished())
    return;
  const auto connection = it->second;
  connection->complete(Outcome::connectFailed);
}

void UpstreamPool::abandonIfUnsent(AttemptKey key) {
  const auto it = busy_.find(key);
  if (it == busy_.end() || !it->second->isConnecting())
    return;
  const auto connection = it->second;
  connection->complete(Outcome::abandoned);
}

void UpstreamPool::drain(HostId host) {
  closeIdle(host);
  for (const auto& [key, connection] : busy_)
    if (connection->host() == host && connection->isConnecting())
      connection->limitStart(kDrainStartLimit);
}

void UpstreamPool::closeIdle(HostId host) {
  for (auto& connection : std::exchange(hostState(host).idle, {}))
    connection->close();
}

void UpstreamPool::addIdle(std::shared_ptr<UpstreamConnection> connection) {
  hostState(connection->host()).idle.push_back(std::move(connection));
}

void UpstreamPool::quarantineHost(HostId host) {
  hostState(host).quarantinedUntil = Clock::now() + kQuarantine;
}

std::shared_ptr<UpstreamConnection> UpstreamPool::takeIdle(HostId host) {
  HostState& state = hostState(host);
  const auto now = Clock::now();
  const bool isQuarantined = now < state.quarantinedUntil;
  for (std::size_t i = state.idle.size(); i-- > 0;) {
    auto connection = state.idle[i];
    if (isQuarantined && now - connection->idleSince() < kQuarantineIdleTime)
      continue;
    state.idle.erase(state.idle.begin() + static_cast<std::ptrdiff_t>(i));
    if (!hasOutlivedIdleLimit(*connection) && connection->isUsable())
      return connection;
    connection->close();
  }
  return nullptr;
}

bool UpstreamPool::hasOutlivedIdleLimit(const UpstreamConnection& connection) const {
  if (limits_.idleTimeout <= Duration::zero())
    return false;
  const Duration margin = std::min(kIdleMargin, limits_.idleTimeout / 5);
  return Clock::now() - connection.idleSince() >= limits_.idleTimeout - margin;
}

bool UpstreamPool::closeOldestIdle() {
  std::vector<std::shared_ptr<UpstreamConnection>>* oldest = nullptr;
  for (HostState& host : hosts_) {
    if (host.idle.empty())
      continue;
    if (!oldest || host.idle.front()->idleSince() < oldest->front()->idleSince())
      oldest = &host.idle;
  }
  if (!oldest)
    return false;
  oldest->front()->close();
  oldest->erase(oldest->begin());
  return true;
}

// Clients that stop in the middle of an upload, or read nothing of a response, must not keep all connections
// from the requests of others.
bool UpstreamPool::endLongestStalled() {
  const auto now = Clock::now();
  std::shared_ptr<UpstreamConnection> longest;
  const auto consider = [&](const std::shared_ptr<UpstreamConnection>& connection, Duration minimum) {
    const auto stalled = connection->stalledFor(now);
    if (stalled >= minimum && (!longest || stalled > longest->stalledFor(now)))
      longest = connection;
  };
  for (const auto& [key, connection] : busy_)
    consider(connection, kMinUploadStall);
  for (const auto& connection : relaying_)
    consider(connection, kMinResponseStall);
  if (longest)
    longest->endStalled();
  return longest != nullptr;
}

void UpstreamPool::removeIdle(const std::shared_ptr<UpstreamConnection>& connection) {
  std::erase(hostState(connection->host()).idle, connection);
  connection->close();
}

void UpstreamPool::closeExpiredIdle() {
  for (HostState& host : hosts_)
    std::erase_if(host.idle, [&](const auto& connection) {
      if (!hasOutlivedIdleLimit(*connection))
        return false;
      connection->close();
      return true;
    });
  idleCheckTimer_.expires_after(kIdleCheckInterval);
  idleCheckTimer_.async_wait([this](error_code error) {
    if (!error)
      closeExpiredIdle();
  });
}

}  // namespace hollyrun::gateway
