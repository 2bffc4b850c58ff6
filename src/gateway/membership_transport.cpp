#include "gateway/membership_transport.hpp"

#include <array>
#include <boost/asio/ip/udp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <chrono>
#include <nlohmann/json.hpp>
#include <optional>
#include <random>
#include <utility>

#define XXH_INLINE_ALL
#include <xxhash.h>

#include "gateway/membership_report.hpp"
#include "membership/membership.hpp"

namespace hollyrun::gateway {
namespace {

namespace asio = boost::asio;
using boost::system::error_code;
using membership::Address;
using membership::Event;
using membership::EventType;
using membership::MemberRecord;
using membership::Membership;
using nlohmann::json;
using Clock = std::chrono::steady_clock;

// Far below a probe interval, so that a new process takes over the address soon after its release.
constexpr auto kBindRetryInterval = std::chrono::milliseconds(50);
// Datagrams read in one pass before the event loop runs other work.
constexpr int kDatagramsPerPass = 64;
// Datagrams processed per second. In a fleet of a thousand, a member receives about ten. Datagrams above the
// limit are read and dropped, so that a flood costs no more than reading it.
constexpr unsigned kMaxDatagramsPerSecond = 4000;
// Above membership::kMaxDatagramBytes, so that oversized datagrams are detected.
constexpr std::size_t kBufferBytes = 2048;

Address addressOf(const udp::endpoint& endpoint) {
  return {endpoint.address().to_v4().to_uint(), endpoint.port()};
}

udp::endpoint endpointOf(const Address& address) {
  return {asio::ip::address_v4(address.ip), address.port};
}

membership::Time now() {
  return Clock::now().time_since_epoch();
}

std::int64_t unixMilliseconds() {
  const auto sinceEpoch = std::chrono::system_clock::now().time_since_epoch();
  return std::chrono::duration_cast<std::chrono::milliseconds>(sinceEpoch).count();
}

membership::MembershipSettings settingsOf(const MembershipConfig& config) {
  membership::MembershipSettings settings;
  settings.fleet = config.fleet;
  for (const udp::endpoint& seed : config.seeds)
    settings.seeds.push_back(addressOf(seed));
  settings.probeInterval = config.period;
  return settings;
}

LogLevel levelOf(EventType type) {
  switch (type) {
    case EventType::nameConflict:
      return LogLevel::error;
    case EventType::died:
    case EventType::stalled:
      return LogLevel::warning;
    default:
      return LogLevel::info;
  }
}

}  // namespace

std::uint64_t digestOf(const Config& config) {
  json settings = config.source->value("settings", json::object());
  for (const char* perGatewayKey : {"myNumber", "zone"})
    settings.erase(perGatewayKey);
  const std::string text = settings.dump();
  return XXH3_64bits(text.data(), text.size());
}

class MembershipTransport::Impl : public std::enable_shared_from_this<Impl> {
 public:
  Impl(asio::io_context& io, const Config& config, Log& log, std::function<void()> onQuotaHoldersChanged)
      : log_(log),
        onQuotaHoldersChanged_(std::move(onQuotaHoldersChanged)),
        socket_(io),
        timer_(io),
        startedAt_(now()) {
    self_.startedMs = unixMilliseconds();
    applyConfig(config);
  }

  void startListening();
  void reload(const Config& config);
  bool serves(const Config& config) const;
  void leave(bool hasSuccessor);

  std::uint32_t quotaHolders() const {
    return membership_ ? static_cast<std::uint32_t>(membership_->quotaHolders()) : 1;
  }
  udp::endpoint listening() const {
    return membership_ ? endpointOf(membership_->self().address) : udp::endpoint();
  }
  MembershipStatus status() const {
    return {membership_ ? &*membership_ : nullptr,
            config_.fleet,
            self_.name,
            now(),
            startedAt_,
            flooded_,
            unsent_};
  }

 private:
  void applyConfig(const Config& config);
  error_code bindSocket();
  void retryListening(const error_code& reason);
  void waitForDatagrams();
  void receiveDatagrams();
  void updateCurrentSecond();
  void applyOutput();
  void sendDatagrams();
  void logEvent(const Event& event);
  void scheduleWake();

  Log& log_;
  std::function<void()> onQuotaHoldersChanged_;
  udp::socket socket_;
  asio::steady_timer timer_;
  MembershipConfig config_;
  MemberRecord self_;  // without the address, which is known only after the socket is bound
  std::uint64_t seed_ = 0;
  membership::Time startedAt_;
  std::optional<Membership> membership_;  // empty until the socket is bound
  std::array<char, kBufferBytes> buffer_{};
  std::int64_t currentSecond_ = 0;
  unsigned datagramsThisSecond_ = 0;
  std::uint64_t flooded_ = 0, unsent_ = 0;
  std::uint32_t lastQuotaHolders_ = 1;
  bool isRetrying_ = false, isClosed_ = false;
};

// --- Configuration and socket lifecycle ----------------------------------------------------------------

void MembershipTransport::Impl::applyConfig(const Config& config) {
  config_ = *config.membership;
  seed_ = config.balancer.seed;
  self_.name = config.name;
  self_.zone = config.balancer.zone;
  self_.region = config_.region;
  self_.version = HOLLYRUN_VERSION;
  self_.settingsDigest = digestOf(config);
}

void MembershipTransport::Impl::reload(const Config& config) {
  applyConfig(config);
  if (!membership_)
    return;
  MemberRecord self = self_;
  self.address = membership_->self().address;
  membership_->onSettings(now(), settingsOf(config_), self);
  applyOutput();
}

bool MembershipTransport::Impl::serves(const Config& config) const {
  const auto& other = config.membership;
  return other && other->listen == config_.listen && other->advertise == config_.advertise &&
         other->fleet == config_.fleet && config.name == self_.name;
}

void MembershipTransport::Impl::startListening() {
  if (const error_code failure = bindSocket())
    return retryListening(failure);
  isRetrying_ = false;
  MemberRecord self = self_;
  self.address = addressOf(config_.advertise ? *config_.advertise : socket_.local_endpoint());
  membership_.emplace(settingsOf(config_), self, std::random_device{}() ^ seed_, now());
  log_.write(LogLevel::info, "fleet", "membership started",
             {{"address", textOf(self.address)}, {"fleet", config_.fleet}});
  waitForDatagrams();
  applyOutput();
}

error_code MembershipTransport::Impl::bindSocket() {
  error_code failure;
  socket_.open(udp::v4(), failure);
  if (!failure)
    socket_.bind(config_.listen, failure);
  if (!failure)
    socket_.non_blocking(true, failure);
  return failure;
}

void MembershipTransport::Impl::retryListening(const error_code& reason) {
  error_code ignored;
  socket_.close(ignored);
  if (!isRetrying_)
    log_.write(LogLevel::warning, "fleet",
               "cannot bind membership address " + textOf(addressOf(config_.listen)) +
                   ", retrying: " + reason.message());
  isRetrying_ = true;
  timer_.expires_after(kBindRetryInterval);
  timer_.async_wait([self = shared_from_this()](error_code failure) {
    if (!failure && !self->isClosed_)
      self->startListening();
  });
}

void MembershipTransport::Impl::leave(bool hasSuccessor) {
  if (isClosed_)
    return;
  isClosed_ = true;
  if (membership_ && !hasSuccessor) {
    membership_->leave(now());
    sendDatagrams();
  }
  error_code ignored;
  timer_.cancel();
  socket_.close(ignored);
}

// --- Datagrams -----------------------------------------------------------------------------------------

void MembershipTransport::Impl::waitForDatagrams() {
  socket_.async_wait(udp::socket::wait_read, [self = shared_from_this()](error_code failure) {
    if (failure || self->isClosed_)
      return;
    self->receiveDatagrams();
    self->waitForDatagrams();
  });
}

void MembershipTransport::Impl::receiveDatagrams() {
  updateCurrentSecond();
  for (int i = 0; i < kDatagramsPerPass; ++i) {
    error_code failure;
    udp::endpoint from;
    const std::size_t size = socket_.receive_from(asio::buffer(buffer_), from, 0, failure);
    if (failure == asio::error::would_block || failure == asio::error::try_again)
      break;
    // An error may report that a peer's port was closed when an earlier datagram reached it. Further
    // datagrams may be waiting.
    if (failure)
      continue;
    if (++datagramsThisSecond_ > kMaxDatagramsPerSecond)
      ++flooded_;
    else
      membership_->onDatagram(now(), addressOf(from), {buffer_.data(), size});
  }
  applyOutput();
}

// Resets the count of datagrams at the start of each second.
void MembershipTransport::Impl::updateCurrentSecond() {
  const std::int64_t second = std::chrono::duration_cast<std::chrono::seconds>(now()).count();
  if (second == currentSecond_)
    return;
  currentSecond_ = second;
  datagramsThisSecond_ = 0;
}

void MembershipTransport::Impl::sendDatagrams() {
  for (const membership::Datagram& datagram : std::exchange(membership_->datagrams(), {})) {
    error_code failure;
    socket_.send_to(asio::buffer(datagram.bytes), endpointOf(datagram.to), 0, failure);
    unsent_ += failure ? 1 : 0;
  }
}

// --- Membership output ---------------------------------------------------------------------------------

void MembershipTransport::Impl::applyOutput() {
  sendDatagrams();
  for (const Event& event : std::exchange(membership_->events(), {}))
    logEvent(event);
  const std::uint32_t holders = quotaHolders();
  if (holders != lastQuotaHolders_) {
    lastQuotaHolders_ = holders;
    onQuotaHoldersChanged_();
  }
  scheduleWake();
}

void MembershipTransport::Impl::scheduleWake() {
  timer_.expires_at(Clock::time_point(membership_->wakeAt()));
  timer_.async_wait([self = shared_from_this()](error_code failure) {
    if (failure || self->isClosed_)
      return;
    self->membership_->onWake(now());
    self->applyOutput();
  });
}

void MembershipTransport::Impl::logEvent(const Event& event) {
  const MemberRecord& member = event.member;
  const LogLevel level = levelOf(event.type);
  if (event.type == EventType::stalled)
    return log_.write(level, "fleet",
                      "this process was stalled: pending probes are dropped and suspicions extended");
  if (event.type == EventType::nameConflict)
    log_.write(level, "fleet",
               "another process uses the member name " + self_.name +
                   (membership_->conceded() ? "; this process gives up the name and is not a member"
                                            : "; the other process is expected to give up the name"));
  log_.write(level, "fleet", std::string("member ") + nameOf(event.type),
             {{"member", member.name},
              {"zone", member.zone},
              {"incarnation", std::to_string(member.incarnation)},
              {"by", member.reportedBy},
              {"present", std::to_string(membership_->presentCount())}});
}

// --- Public interface ----------------------------------------------------------------------------------

MembershipTransport::MembershipTransport(asio::io_context& io, const Config& config, Log& log,
                                         std::function<void()> onQuotaHoldersChanged)
    : impl_(std::make_shared<Impl>(io, config, log, std::move(onQuotaHoldersChanged))) {
  impl_->startListening();
}
MembershipTransport::~MembershipTransport() {
  impl_->leave(true);
}
bool MembershipTransport::serves(const Config& config) const {
  return impl_->serves(config);
}
void MembershipTransport::reload(const Config& config) {
  impl_->reload(config);
}
void MembershipTransport::leave(bool hasSuccessor) {
  impl_->leave(hasSuccessor);
}
std::uint32_t MembershipTransport::quotaHolders() const {
  return impl_->quotaHolders();
}
udp::endpoint MembershipTransport::listening() const {
  return impl_->listening();
}
std::string MembershipTransport::text() const {
  return renderMembershipJson(impl_->status());
}
std::vector<prometheus::MetricFamily> MembershipTransport::metrics() const {
  return collectMembershipMetrics(impl_->status());
}

}  // namespace hollyrun::gateway
