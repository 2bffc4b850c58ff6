#include "gateway/membership_transport.hpp"

#include <boost/asio/ip/udp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <chrono>
#include <cstdio>
#include <nlohmann/json.hpp>
#include <optional>
#include <random>
#include <utility>

#define XXH_INLINE_ALL
#include <xxhash.h>

#include "membership/membership.hpp"

namespace hollyrun::gateway {
namespace {

namespace asio = boost::asio;
using boost::system::error_code;
using membership::Address;
using membership::MemberRecord;
using membership::Membership;
using nlohmann::json;
using Clock = std::chrono::steady_clock;

constexpr auto kBindAgain =
    std::chrono::milliseconds(50);  // far below a period: the place is soon taken over
constexpr int kReadAtOnce = 64;     // then the loop's other work has its turn
// Read in a second; a fleet of a thousand sends a member some ten. A flood costs its reading and no more.
constexpr unsigned kMostASecond = 4000;
constexpr std::size_t kBuffer = 2048;  // above what is allowed, so that what is too long shows

Address addressOf(const udp::endpoint& e) {
  return {e.address().to_v4().to_uint(), e.port()};
}
udp::endpoint endpointOf(const Address& a) {
  return {asio::ip::address_v4(a.ip), a.port};
}
std::string hex(std::uint64_t value) {
  char text[17];
  std::snprintf(text, sizeof text, "%016llx", static_cast<unsigned long long>(value));
  return text;
}

membership::MembershipSettings settingsOf(const MembershipConfig& m) {
  membership::MembershipSettings s;
  s.fleet = m.fleet;
  for (const udp::endpoint& seed : m.seeds)
    s.seeds.push_back(addressOf(seed));
  s.probeInterval = m.period;
  return s;
}

}  // namespace

std::uint64_t digestOf(const Config& config) {
  json settings = config.source->value("settings", json::object());
  for (const char* own : {"myNumber", "zone"})
    settings.erase(own);
  const std::string text = settings.dump();
  return XXH3_64bits(text.data(), text.size());
}

class MembershipTransport::Link : public std::enable_shared_from_this<Link> {
 public:
  Link(asio::io_context& io, const Config& config, Log& log, std::function<void()> sized)
      : log_(log), sized_(std::move(sized)), socket_(io), timer_(io) {
    set(config);
  }

  void open() {
    error_code ec;
    socket_.open(udp::v4(), ec);
    if (!ec)
      socket_.bind(config_.listen, ec);
    if (!ec)
      socket_.non_blocking(true, ec);
    if (ec) {
      error_code ignored;
      socket_.close(ignored);
      if (!waiting_)
        log_.write(LogLevel::warning, "fleet",
                   "the membership address is not to be had and is tried again: " + ec.message());
      waiting_ = true;
      timer_.expires_after(kBindAgain);
      return timer_.async_wait([self = shared_from_this()](error_code waitError) {
        if (!waitError && !self->closed_)
          self->open();
      });
    }
    waiting_ = false;
    MemberRecord self = place_;
    self.address = addressOf(config_.advertise ? *config_.advertise : socket_.local_endpoint());
    members_.emplace(settingsOf(config_), self, std::random_device{}() ^ seed_, now());
    log_.write(LogLevel::info, "fleet", "membership begins",
               {{"address", textOf(self.address)}, {"fleet", config_.fleet}});
    read();
    settle();
  }

  void set(const Config& config) {
    config_ = *config.membership;
    seed_ = config.module.seed;
    place_.name = config.name;
    place_.zone = config.module.zone;
    place_.region = config_.region;
    place_.version = HOLLYRUN_VERSION;
    place_.settingsDigest = digestOf(config);
    if (place_.startedMs == 0)
      place_.startedMs = std::chrono::duration_cast<std::chrono::milliseconds>(
                             std::chrono::system_clock::now().time_since_epoch())
                             .count();
    if (!members_)
      return;
    MemberRecord self = place_;
    self.address = members_->self().address;
    members_->onSettings(now(), settingsOf(config_), self);
    settle();
  }
  bool serves(const Config& config) const {
    const auto& m = config.membership;
    return m && m->listen == config_.listen && m->advertise == config_.advertise &&
           m->fleet == config_.fleet && config.name == place_.name;
  }

  void leave(bool successor) {
    if (closed_)
      return;
    closed_ = true;
    if (members_ && !successor)
      members_->leave(now()), flush();
    error_code ignored;
    timer_.cancel();
    socket_.close(ignored);
  }

  std::uint32_t quotaHolders() const {
    return members_ ? static_cast<std::uint32_t>(members_->quotaHolders()) : 1;
  }
  udp::endpoint listening() const {
    return members_ ? endpointOf(members_->self().address) : udp::endpoint();
  }
  std::string text() const;
  std::vector<prometheus::MetricFamily> metrics() const;

 private:
  static membership::Time now() { return Clock::now().time_since_epoch(); }
  static json jsonOf(const MemberRecord& r, membership::Duration since);

  void read() {
    socket_.async_wait(udp::socket::wait_read, [self = shared_from_this()](error_code ec) {
      if (ec || self->closed_)
        return;
      self->readSome();
      self->read();
    });
  }
  void readSome() {
    if (const auto second = now().count() / 1'000'000'000; second != second_)
      second_ = second, reads_ = 0;
    for (int i = 0; i < kReadAtOnce; ++i) {
      error_code ec;
      udp::endpoint from;
      const std::size_t n = socket_.receive_from(asio::buffer(buffer_), from, 0, ec);
      // Danger: a peer whose port is closed shows as an error here; the next datagram may well be there.
      if (ec == asio::error::would_block || ec == asio::error::try_again)
        break;
      if (ec)
        continue;
      if (++reads_ > kMostASecond)
        ++flooded_;
      else
        members_->onDatagram(now(), addressOf(from), {buffer_.data(), n});
    }
    settle();
  }
  void flush() {
    for (const auto& d : std::exchange(members_->datagrams(), {})) {
      error_code ec;
      socket_.send_to(asio::buffer(d.bytes), endpointOf(d.to), 0, ec);
      unsent_ += ec ? 1 : 0;
    }
  }
  // Sends, tells and sets the timer by what membership now wants.
  void settle() {
    flush();
    for (const auto& e : std::exchange(members_->events(), {}))
      tell(e);
    if (const std::uint32_t size = quotaHolders(); size != size_)
      size_ = size, sized_();
    timer_.expires_at(Clock::time_point(members_->wakeAt()));
    timer_.async_wait([self = shared_from_this()](error_code ec) {
      if (ec || self->closed_)
        return;
      self->members_->onWake(now());
      self->settle();
    });
  }
  void tell(const membership::Event& e) {
    using membership::EventType;
    const MemberRecord& r = e.member;
    const LogLevel level = e.type == EventType::nameConflict                           ? LogLevel::error
                           : e.type == EventType::died || e.type == EventType::stalled ? LogLevel::warning
                                                                                       : LogLevel::info;
    if (e.type == EventType::stalled)
      return log_.write(level, "fleet", "held up; what others did meanwhile is open");
    if (e.type == EventType::nameConflict)
      log_.write(level, "fleet",
                 members_->conceded() ? "another process has our name; this one is no member"
                                      : "another process has our name; it has to give way");
    log_.write(level, "fleet", std::string("member ") + nameOf(e.type),
               {{"member", r.name},
                {"zone", r.zone},
                {"incarnation", std::to_string(r.incarnation)},
                {"by", r.reportedBy},
                {"present", std::to_string(members_->presentCount())}});
  }

  Log& log_;
  std::function<void()> sized_;
  udp::socket socket_;
  asio::steady_timer timer_;
  MembershipConfig config_;
  MemberRecord place_;
  std::uint64_t seed_ = 0;
  membership::Time started_ = now();
  std::optional<Membership> members_;
  std::array<char, kBuffer> buffer_{};
  std::int64_t second_ = 0;
  unsigned reads_ = 0;
  std::uint64_t flooded_ = 0, unsent_ = 0;
  std::uint32_t size_ = 1;
  bool waiting_ = false, closed_ = false;
};

json MembershipTransport::Link::jsonOf(const MemberRecord& r, membership::Duration since) {
  return {{"name", r.name},
          {"state", nameOf(r.state)},
          {"since_s", std::chrono::duration<double>(since).count()},
          {"incarnation", r.incarnation},
          {"address", textOf(r.address)},
          {"zone", r.zone},
          {"region", r.region},
          {"version", r.version},
          {"settings", hex(r.settingsDigest)},
          {"started_ms", r.startedMs},
          {"epoch", hex(r.epoch)}};
}

std::string MembershipTransport::Link::text() const {
  json all{{"fleet", config_.fleet}, {"name", place_.name}, {"state", "waiting"}};
  if (!members_)
    return all.dump(2, ' ', false, json::error_handler_t::replace) + "\n";
  const Membership& m = *members_;
  all["state"] = m.conceded() ? "yielded" : nameOf(m.self().state);
  all["view"] = hex(m.digest());
  all["present"] = m.presentCount();
  all["divided_by"] = m.quotaHolders();
  all["health"] = m.healthScore();
  all["zones"] = m.presentByZone();
  all["members"] = json::array({jsonOf(m.self(), now() - started_)});
  all["members"][0]["self"] = true;
  std::size_t otherSettings = 0;
  for (const auto& [name, member] : m.others()) {
    json one = jsonOf(member.record, now() - member.stateSince);
    if (member.lastHeard.count() > 0) {
      one["heard_s"] = std::chrono::duration<double>(now() - member.lastHeard).count();
      one["view"] = hex(member.viewDigest);
    }
    if (!member.record.reportedBy.empty())
      one["by"] = member.record.reportedBy;
    if (!member.differingNames.empty())
      one["differs_about"] = member.differingNames;
    otherSettings +=
        isPresent(member.record.state) && member.record.settingsDigest != m.self().settingsDigest;
    all["members"].push_back(std::move(one));
  }
  all["other_settings"] = otherSettings;
  all["disagree"] = m.disagreeing();
  const auto& c = m.counters();
  json& counts = all["counters"] = {
      {"received", c.received}, {"sent", c.sent},     {"bytes_in", c.bytesIn}, {"bytes_out", c.bytesOut},
      {"stale", c.stale},       {"full", c.full},     {"refuted", c.refuted},  {"suspicions", c.suspicions},
      {"deaths", c.deaths},     {"stalls", c.stalls}, {"flooded", flooded_},   {"unsent", unsent_}};
  for (std::size_t i = 0; i < c.decodeErrors.size(); ++i)
    counts[std::string("bad_") + nameOf(static_cast<membership::DecodeError>(i))] = c.decodeErrors[i];
  return all.dump(2, ' ', false, json::error_handler_t::replace) + "\n";
}

std::vector<prometheus::MetricFamily> MembershipTransport::Link::metrics() const {
  std::vector<prometheus::MetricFamily> all;
  if (!members_)
    return all;
  const auto family = [&all](const char* name, const char* help, prometheus::MetricType type) {
    prometheus::MetricFamily& f = all.emplace_back();
    f.name = std::string("hollyrun_fleet_") + name;
    f.help = help;
    f.type = type;
  };
  const auto add = [&all](double value, std::vector<prometheus::ClientMetric::Label> labels) {
    prometheus::ClientMetric& metric = all.back().metric.emplace_back();
    metric.label = std::move(labels);
    (all.back().type == prometheus::MetricType::Counter ? metric.counter.value : metric.gauge.value) = value;
  };
  const Membership& m = *members_;
  std::map<std::string, double> states{{nameOf(m.self().state), 1}};
  for (const auto& [name, member] : m.others())
    ++states[nameOf(member.record.state)];
  family("members", "Members in the view, by state, this one included.", prometheus::MetricType::Gauge);
  for (const auto& [state, n] : states)
    add(n, {{"state", state}});
  family("present", "Members present, by zone, this one included.", prometheus::MetricType::Gauge);
  for (const auto& [zone, n] : m.presentByZone())
    add(static_cast<double>(n), {{"zone", zone}});
  const auto gauge = [&](const char* name, const char* help, double value) {
    family(name, help, prometheus::MetricType::Gauge);
    add(value, {});
  };
  gauge("divided_by", "What fleet-wide limits are divided by.", quotaHolders());
  gauge("disagreeing", "Present members whose view differs.", static_cast<double>(m.disagreeing().size()));
  gauge("health", "Own slowness, 0 well to 8.", m.healthScore());
  const auto& c = m.counters();
  const std::pair<const char*, std::uint64_t> counts[] = {
      {"received", c.received},     {"sent", c.sent},     {"bytes_in", c.bytesIn}, {"bytes_out", c.bytesOut},
      {"stale", c.stale},           {"full", c.full},     {"refuted", c.refuted},  {"deaths", c.deaths},
      {"suspicions", c.suspicions}, {"stalls", c.stalls}, {"flooded", flooded_},   {"unsent", unsent_}};
  for (const auto& [name, value] : counts) {
    family((std::string(name) + "_total").c_str(), "See docs/membership.md.",
           prometheus::MetricType::Counter);
    add(static_cast<double>(value), {});
  }
  family("bad_total", "Datagrams dropped, by reason.", prometheus::MetricType::Counter);
  for (std::size_t i = 0; i < c.decodeErrors.size(); ++i)
    add(static_cast<double>(c.decodeErrors[i]),
        {{"reason", nameOf(static_cast<membership::DecodeError>(i))}});
  return all;
}

MembershipTransport::MembershipTransport(asio::io_context& io, const Config& config, Log& log,
                                         std::function<void()> sized)
    : link_(std::make_shared<Link>(io, config, log, std::move(sized))) {
  link_->open();
}
MembershipTransport::~MembershipTransport() {
  link_->leave(true);
}
bool MembershipTransport::serves(const Config& config) const {
  return link_->serves(config);
}
void MembershipTransport::reload(const Config& config) {
  link_->set(config);
}
void MembershipTransport::leave(bool successor) {
  link_->leave(successor);
}
std::uint32_t MembershipTransport::quotaHolders() const {
  return link_->quotaHolders();
}
udp::endpoint MembershipTransport::listening() const {
  return link_->listening();
}
std::string MembershipTransport::text() const {
  return link_->text();
}
std::vector<prometheus::MetricFamily> MembershipTransport::metrics() const {
  return link_->metrics();
}

}  // namespace hollyrun::gateway
