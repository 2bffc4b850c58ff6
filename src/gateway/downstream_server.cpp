#include "gateway/downstream_server.hpp"

#include <boost/asio/post.hpp>
#include <utility>
#include <vector>

namespace hollyrun::gateway {
namespace {

namespace asio = boost::asio;
using boost::system::error_code;
using tcp = asio::ip::tcp;
using Clock = std::chrono::steady_clock;

// Interval between checks of all connections for timeouts.
constexpr auto kSweepInterval = std::chrono::milliseconds(100);
// Pause of reading under memory pressure.
constexpr auto kReadingPause = std::chrono::milliseconds(10);
// A connection that holds less than this is not closed for its memory.
constexpr std::size_t kLeastHeldBytes = 1 << 10;

}  // namespace

DownstreamServer::DownstreamServer(asio::io_context& io, Limits limits, DownstreamObserver& observer,
                                   std::shared_ptr<MemoryBudget> budget)
    : io_(io),
      listener_(io, *this),
      limits_(limits),
      observer_(observer),
      budget_(std::move(budget)),
      sweepTimer_(io),
      resumeTimer_(io) {
  sweep();
}

DownstreamServer::~DownstreamServer() {
  destroying_ = true;
  awaitingResponse_.clear();
  const std::vector<std::shared_ptr<DownstreamConnection>> all(connections_.begin(), connections_.end());
  for (const auto& connection : all)
    connection->close(CloseReason::shutdown);
}

// --- Connections ----------------------------------------------------------------------------------------

bool DownstreamServer::listen(const tcp::endpoint& address, bool shared) {
  return listener_.listen(address, shared);
}

void DownstreamServer::setConnectionLimit(std::size_t connections) {
  limits_.connections = connections;
  while (isOverLimit() && evictForCapacity(EvictionScope::all)) {
  }
}

void DownstreamServer::admit(tcp::socket socket, Clock::time_point queuedSince) {
  error_code ignored;
  socket.set_option(tcp::no_delay(true), ignored);
  socket.non_blocking(true, ignored);
  budget_->observe();
  const auto connection = std::allocate_shared<DownstreamConnection>(
      CountedAllocator<DownstreamConnection, MemoryUse::connection>(), *this, std::move(socket), queuedSince);
  connections_.insert(connection);
  connection->start();
}

bool DownstreamServer::makeRoom(std::size_t bytes) {
  while (!budget_->hasCapacity(bytes) && evictor_.evictIncomplete()) {
  }
  return budget_->hasCapacity(bytes);
}

void DownstreamServer::resumeReadingLater(std::shared_ptr<DownstreamConnection> connection) {
  pausedReaders_.push_back(std::move(connection));
  if (pausedReaders_.size() > 1)
    return;
  resumeTimer_.expires_after(kReadingPause);
  resumeTimer_.async_wait([this](error_code error) {
    if (error)
      return;
    for (const auto& paused : std::exchange(pausedReaders_, {}))
      paused->resumeReading();
  });
}

bool DownstreamServer::releaseCostliest() {
  std::shared_ptr<DownstreamConnection> costliest;
  for (const auto& connection : connections_)
    if (connection->mayReleaseMemory(budget_->pressure()) &&
        (!costliest || connection->heldBytes() > costliest->heldBytes()))
      costliest = connection;
  if (!costliest || costliest->heldBytes() < kLeastHeldBytes)
    return false;
  costliest->endForMemory();
  return true;
}

void DownstreamServer::countClosed(CloseReason reason) {
  ++closed_[static_cast<std::size_t>(reason)];
  observer_.onClosed(reason);
}

void DownstreamServer::removeConnection(const std::shared_ptr<DownstreamConnection>& connection) {
  connections_.erase(connection);
  evictor_.remove(connection);
  if (connections_.empty() && !listener_.isOpen() && !destroying_)
    asio::post(io_, [this] { observer_.onDrained(); });
}

void DownstreamServer::checkTimeouts() {
  const auto now = Clock::now();
  const std::vector<std::shared_ptr<DownstreamConnection>> all(connections_.begin(), connections_.end());
  for (const auto& connection : all)
    connection->checkTimeouts(now);
}

void DownstreamServer::sweep() {
  checkTimeouts();
  budget_->observe();
  sweepTimer_.expires_after(kSweepInterval);
  sweepTimer_.async_wait([this](error_code error) {
    if (!error)
      sweep();
  });
}

// --- Requests and responses -----------------------------------------------------------------------------

DownstreamRequestId DownstreamServer::registerRequest(std::shared_ptr<DownstreamConnection> connection) {
  const DownstreamRequestId id = ++lastRequestId_;
  awaitingResponse_.emplace(id, std::move(connection));
  return id;
}

std::shared_ptr<DownstreamConnection> DownstreamServer::removeRequest(DownstreamRequestId id) {
  const auto it = awaitingResponse_.find(id);
  if (it == awaitingResponse_.end())
    return nullptr;
  auto connection = std::move(it->second);
  awaitingResponse_.erase(it);
  return connection;
}

void DownstreamServer::respond(DownstreamRequestId id, HttpResponse response, ResponseCallback onSent) {
  if (const auto connection = removeRequest(id))
    connection->respond(std::move(response), std::move(onSent));
}

void DownstreamServer::respond(DownstreamRequestId id, HttpResponse head,
                               std::shared_ptr<ResponseStream> body, std::optional<std::uint64_t> length,
                               ResponseCallback onSent) {
  if (const auto connection = removeRequest(id))
    connection->respondStreaming(std::move(head), std::move(body), length, std::move(onSent));
}

ClientPresence DownstreamServer::clientPresence(DownstreamRequestId id) const {
  const auto it = awaitingResponse_.find(id);
  return it == awaitingResponse_.end() ? ClientPresence::departed : it->second->clientPresence();
}

Clock::time_point DownstreamServer::earliestLastByte(DownstreamRequestId id) const {
  const auto it = awaitingResponse_.find(id);
  return it == awaitingResponse_.end() ? Clock::now() : it->second->earliestLastByte();
}

void DownstreamServer::disconnectClient(DownstreamRequestId id) {
  const auto it = awaitingResponse_.find(id);
  if (it == awaitingResponse_.end())
    return;
  const std::shared_ptr<DownstreamConnection> connection = it->second;
  connection->handleClientDisconnected();
}

// --- Drain ----------------------------------------------------------------------------------------------

void DownstreamServer::closeAfterResponses() {
  closesAfterResponse_ = true;
}

void DownstreamServer::stopAccepting() {
  if (listener_.isOpen()) {
    listener_.acceptRemaining();
    observer_.onLastAccept();
  }
  listener_.close();
  const auto now = Clock::now();
  const std::vector<std::shared_ptr<DownstreamConnection>> all(connections_.begin(), connections_.end());
  for (const auto& connection : all)
    if (connection->isIdle() && !connection->mayExpectFirstRequest(now))
      connection->linger(CloseReason::draining);
  if (connections_.empty())
    observer_.onDrained();
}

void DownstreamServer::rejectIncompleteRequests() {
  rejectsIncompleteRequests_ = true;
  checkTimeouts();
}

}  // namespace hollyrun::gateway
