#include "lab/testbed/load.hpp"

#include <algorithm>
#include <boost/asio/write.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http.hpp>
#include <cmath>
#include <cstdio>
#include <optional>
#include <stdexcept>

namespace hollyrun::lab {

namespace http = boost::beast::http;
using balancer::ClassSettings;
using balancer::Idempotency;

namespace {

// Past its time an answer earns nothing; so much later there has to be one, or the request is lost.
constexpr Duration kLast = std::chrono::milliseconds(500);
// What is on its way as a request ends: a resend that crosses its answer, on a machine that is busy.
constexpr Duration kWire = std::chrono::milliseconds(500);
constexpr std::size_t kAmendment = 48;  // bytes of a body

std::string parameter(const char* name, std::uint64_t value) {
  return name + hex(value);
}

}  // namespace

std::string tenantName(std::size_t number) {
  return "tenant-" + std::to_string(number);
}

struct Load::Try {
  std::uint64_t id = 0;
  std::uint32_t call = 0, gateway = 0;
  Time at{}, deadline{};
  bool ended = false, taken = false, crossed = false;
  std::shared_ptr<Connection> connection;
  std::optional<asio::steady_timer> due;
};

// One connection of a client: sends a request, reads its answer, is kept for the next.
class Load::Connection : public std::enable_shared_from_this<Connection> {
 public:
  Connection(Load& load, std::uint32_t gateway) : load_(load), gateway_(gateway), socket_(load.io_) {}

  void open(const std::shared_ptr<Try>& t) {
    busy_ = t;
    socket_.async_connect(load_.targets_[gateway_].endpoint, [self = shared_from_this()](error_code ec) {
      if (ec)
        return self->end();
      error_code ignored;
      self->socket_.set_option(tcp::no_delay(true), ignored);
      self->read();
      self->write();
    });
  }
  void use(const std::shared_ptr<Try>& t) {
    busy_ = t;
    fresh_ = false;
    write();
  }
  bool fresh() const { return fresh_; }
  bool usable() const { return open_; }
  void close() {
    if (!open_)
      return;
    open_ = false;
    busy_.reset();
    error_code ignored;
    socket_.close(ignored);
  }

 private:
  void write() {
    const auto text = std::make_shared<std::string>(load_.textOf(*busy_));
    asio::async_write(socket_, asio::buffer(*text),
                      [self = shared_from_this(), text, t = busy_](error_code ec, std::size_t) {
                        if (ec || t->ended || t->taken)
                          return;
                        t->taken = true;
                        const Call& c = self->load_.calls_[t->call];
                        self->load_.checker_.requestAccepted(
                            t->id, self->load_.day_.classes[c.arrival.classIndex].settings,
                            t->deadline + kLast);
                      });
  }
  void read() {
    parser_.emplace();
    parser_->body_limit(64 << 20);
    http::async_read(socket_, buffer_, *parser_, [self = shared_from_this()](error_code ec, std::size_t) {
      if (!self->open_)
        return;
      if (ec || !self->busy_)
        return self->end();
      const auto answer = self->parser_->release();
      const auto t = std::exchange(self->busy_, nullptr);
      double after = 0;
      if (answer.count(http::field::retry_after) > 0)
        after = std::atof(answer[http::field::retry_after].to_string().c_str());
      if (answer.keep_alive()) {
        self->load_.idle_[self->gateway_].push_back(self);
        self->read();
      } else {
        self->close();
      }
      self->load_.answered(t, static_cast<int>(answer.result_int()), answer.body(), after);
    });
  }
  void end() {
    const auto t = std::exchange(busy_, nullptr);
    close();
    std::erase(load_.idle_[gateway_], shared_from_this());
    if (t)
      load_.broken(t);
  }

  Load& load_;
  std::uint32_t gateway_;
  tcp::socket socket_;
  boost::beast::flat_buffer buffer_;
  std::optional<http::response_parser<http::string_body>> parser_;
  std::shared_ptr<Try> busy_;
  bool open_ = true, fresh_ = true;
};

Load::Load(asio::io_context& io, const Scenario& scenario, std::uint64_t seed, LoadPlan plan, double capacity,
           std::vector<Target> targets)
    : io_(io),
      s_(scenario),
      seed_(seed),
      tenants_(plan.tenants),
      day_(scenario, seed),
      targets_(std::move(targets)),
      idle_(targets_.size()),
      heldUp_(targets_.size()),
      heldUntil_(targets_.size()),
      checker_(
          {std::chrono::milliseconds(20), lab::seconds((scenario.drainGraceMs + 50) / 1000), true, kWire}),
      timer_(io) {
  if (!(plan.seconds > 0) || plan.seconds > kLongest)
    throw std::invalid_argument("a load lasts above 0 and up to 3600 seconds");
  Scenario bounded = scenario;
  bounded.durationS = plan.seconds;
  if (!plan.cls.empty()) {
    const auto known = std::find_if(day_.classes.begin(), day_.classes.end(),
                                    [&](const DrawnClass& c) { return c.settings.name == plan.cls; });
    if (known == day_.classes.end())
      throw std::invalid_argument("no class '" + plan.cls + "'");
    for (DrawnClass& c : day_.classes)
      c.share = c.settings.name == plan.cls ? 1 : 0;
  }
  std::vector<Surge> surges;
  for (const FaultSpec& t : scenario.faultSpecs)
    if (t.kind == "surge")
      surges.push_back({t.atS.low, t.atS.low + t.durationS.low, t.size.low});
  const double base = plan.rate > 0 ? plan.rate : day_.loadLevel * capacity / day_.meanWork;
  if (base * plan.seconds * (1 + day_.loadAmplitude) > static_cast<double>(kMost))
    throw std::invalid_argument("a load of over 2,000,000 requests");
  arrivals_ = arrivalsOf(bounded, seed, day_, base, surges);
  result_.scenario = scenario.name;
  result_.policy = "program";
  result_.seed = seed;
  result_.seconds.resize(static_cast<std::size_t>(std::ceil(plan.seconds)));
  bySecond_.resize(result_.seconds.size());
  for (const DrawnClass& c : day_.classes) {
    ClassRecord record;
    record.name = c.settings.name;
    result_.classes.push_back(record);
  }
}

Load::~Load() = default;

void Load::start(std::function<void()> done) {
  done_ = std::move(done);
  started_ = clockNow();
  next();
}

void Load::stop() {
  nextArrival_ = arrivals_.size();
  timer_.cancel();
  if (open_ == 0 && done_)
    std::exchange(done_, nullptr)();
}

void Load::next() {
  const Time now = clockNow();
  while (nextArrival_ < arrivals_.size() && started_ + lab::seconds(arrivals_[nextArrival_].at) <= now) {
    const Arrival& a = arrivals_[nextArrival_++];
    calls_.push_back({a, started_ + lab::seconds(a.at), day_.maxRetries, 0});
    const Call& c = calls_.back();
    const double value = day_.classes[a.classIndex].settings.priorityWeight * a.work;
    secondOf(c).calls += 1;
    secondOf(c).offeredValue += value;
    result_.classes[a.classIndex].calls += 1;
    result_.classes[a.classIndex].offeredValue += value;
    ++result_.calls;
    ++open_;
    attempt(static_cast<std::uint32_t>(calls_.size() - 1));
  }
  if (nextArrival_ == arrivals_.size()) {
    if (open_ == 0 && done_)
      std::exchange(done_, nullptr)();
    return;
  }
  timer_.expires_after(started_ + lab::seconds(arrivals_[nextArrival_].at) - now);
  timer_.async_wait([this](error_code ec) {
    if (!ec)
      next();
  });
}

Second& Load::secondOf(const Call& c) {
  return result_.seconds[std::min(static_cast<std::size_t>(c.arrival.at), result_.seconds.size() - 1)];
}

void Load::attempt(std::uint32_t call) {
  Call& c = calls_[call];
  const ClassSettings& set = day_.classes[c.arrival.classIndex].settings;
  const Time now = clockNow();
  Duration left = lab::seconds(inSeconds(set.clientTimeout) * day_.requestTimeoutShare);
  left = std::min(left, set.clientTimeout - (now - c.first));
  if (left < std::chrono::milliseconds(1))
    return leave(call, false);
  ++c.tries;
  ++result_.requests;
  secondOf(c).requests += 1;
  Stream front(seed_, "front", static_cast<std::uint64_t>(call) * 32 + c.tries);
  std::vector<std::uint32_t> dealt;
  for (const bool own : {true, false}) {
    for (std::uint32_t g = 0; g < targets_.size(); ++g)
      if (targets_[g].known && (!own || targets_[g].zone == c.arrival.zone))
        dealt.push_back(g);
    if (!dealt.empty())
      break;
  }
  if (dealt.empty())
    return again(call, false, true, {});
  const auto t = std::make_shared<Try>();
  t->call = call;
  t->gateway = dealt[front.below(dealt.size())];
  t->id = front.engine()() | 1;
  t->at = now;
  t->deadline = now + left;
  wire_[t->id] = {t->gateway, c.arrival.classIndex, c.arrival.work, c.arrival.key};
  tries_[t->id] = t;
  t->due.emplace(io_);
  t->due->expires_after(left + kLast);
  t->due->async_wait([this, t](error_code ec) {
    if (!ec)
      overdue(t);
  });
  send(t);
}

void Load::send(const std::shared_ptr<Try>& t) {
  auto& idle = idle_[t->gateway];
  while (!t->crossed && !idle.empty()) {
    const auto connection = idle.back();
    idle.pop_back();
    if (!connection->usable())
      continue;
    t->connection = connection;
    return connection->use(t);
  }
  t->connection = std::make_shared<Connection>(*this, t->gateway);
  ++result_.connections;
  t->connection->open(t);
}

std::string Load::textOf(const Try& t) const {
  const Call& c = calls_[t.call];
  const ClassSettings& set = day_.classes[c.arrival.classIndex].settings;
  const auto left = std::chrono::duration_cast<std::chrono::milliseconds>(t.deadline - t.at).count();
  std::string head = "/" + set.name + "/" + std::to_string(c.arrival.key) +
                     " HTTP/1.1\r\nHost: gateway\r\nX-Class: " + set.name +
                     parameter("\r\nX-Request-Id: ", t.id) + "\r\nX-Deadline-Ms: " + std::to_string(left);
  if (c.arrival.key != 0)
    head += parameter("\r\nCookie: obj=", c.arrival.key);
  if (tenants_ > 0)
    head += "\r\nX-Tenant: " + tenantName(Stream(seed_, "tenant", t.call).below(tenants_));
  if (set.idempotency == Idempotency::idempotent)
    return "GET " + head + "\r\n\r\n";
  if (set.idempotency == Idempotency::keyed)
    head += parameter("\r\nIdempotency-Key: ", seed_ ^ t.call);
  return "POST " + head + "\r\nContent-Length: " + std::to_string(kAmendment) + "\r\n\r\n" +
         std::string(kAmendment, 'a');
}

void Load::answered(const std::shared_ptr<Try>& t, int status, const std::string& body, double retryAfter) {
  if (t->ended)
    return;
  t->ended = true;
  t->due->cancel();
  tries_.erase(t->id);
  const Time now = clockNow();
  Call& c = calls_[t->call];
  const DrawnClass& d = day_.classes[c.arrival.classIndex];
  if (!t->taken)
    checker_.requestAccepted(t->id, d.settings,
                             t->deadline + kLast);  // it was answered before the write was told
  if (status == 200) {
    if (body.find(hex(t->id)) == std::string::npos)
      checker_.addBreach(Rule::lost, now, t->id, "", "answered with what no server made for it");
    checker_.requestServed(t->id, now);
    const double value = d.settings.priorityWeight * c.arrival.work;
    const bool inTime = now <= c.first + d.settings.latencyObjective;
    Second& second = secondOf(c);
    ClassRecord& record = result_.classes[c.arrival.classIndex];
    (inTime ? second.inTimeValue : second.lateValue) += inTime ? value : value * d.settings.lateValueFraction;
    (inTime ? record.inTime : record.late) += 1;
    record.servedValue += inTime ? value : value * d.settings.lateValueFraction;
    latencies_.add(inSeconds(now - c.first) * 1000);
    bySecond_[std::min(static_cast<std::size_t>(c.arrival.at), bySecond_.size() - 1)].add(
        inSeconds(now - c.first) * 1000);
    return closed();
  }
  const bool refused = status == 429 || status == 503;
  checker_.rejectedOrFailed(now, t->id, refused);
  again(t->call, refused, false, lab::seconds(std::clamp(retryAfter, 0.0, s_.maxRetryAfterMs / 1000)));
}

void Load::broken(const std::shared_ptr<Try>& t) {
  if (t->ended)
    return;
  const bool reached = checker_.attemptCount(t->id) > 0;
  // The gateway closed as the request came: the client sends it once more on a new connection.
  if (t->taken && !reached && !t->connection->fresh() && !t->crossed && targets_[t->gateway].known) {
    t->crossed = true;
    return send(t);
  }
  t->ended = true;
  t->due->cancel();
  tries_.erase(t->id);
  if (t->taken && reached)
    checker_.addBreach(Rule::lost, clockNow(), t->id, "",
                       "the connection to " + targets_[t->gateway].name + " ended with no whole answer");
  if (t->taken)
    checker_.requestServed(t->id, clockNow());
  again(t->call, false, true, {});
}

void Load::overdue(const std::shared_ptr<Try>& t) {
  if (t->ended)
    return;
  t->ended = true;
  tries_.erase(t->id);
  t->connection->close();
  if (heldUp_[t->gateway] || heldUntil_[t->gateway] > t->at)
    checker_.excuse(t->id);
  else if (t->taken)
    checker_.answerDue(clockNow(), t->id);
  leave(t->call, false);
}

void Load::released(std::uint32_t gateway) {
  std::vector<std::shared_ptr<Try>> owed;
  for (const auto& [id, t] : tries_)
    if (t->gateway == gateway)
      owed.push_back(t);
  std::sort(owed.begin(), owed.end(), [](const auto& a, const auto& b) { return a->at < b->at; });
  for (const auto& t : owed) {
    t->ended = true;
    t->due->cancel();
    tries_.erase(t->id);
    t->connection->close();
    checker_.excuse(t->id);
    again(t->call, false, true, {});
  }
  for (const auto& c : std::exchange(idle_[gateway], {}))
    c->close();
}

void Load::heldUp(std::uint32_t gateway, bool on) {
  heldUp_[gateway] = on;
  heldUntil_[gateway] = clockNow();
}

void Load::again(std::uint32_t call, bool refused, bool unreachable, Duration after) {
  Call& c = calls_[call];
  const ClassSettings& set = day_.classes[c.arrival.classIndex].settings;
  const auto wait =
      retryWait(day_, seed_, call, c.tries, c.left, set, {refused, unreachable, after}, clockNow() - c.first);
  if (!wait)
    return leave(call, refused);
  --c.left;
  auto timer = std::make_shared<asio::steady_timer>(io_);
  timer->expires_after(lab::seconds(*wait));
  timer->async_wait([this, timer, call](error_code ec) {
    if (!ec)
      attempt(call);
  });
}

void Load::leave(std::uint32_t call, bool refused) {
  const Call& c = calls_[call];
  ClassRecord& record = result_.classes[c.arrival.classIndex];
  (refused ? secondOf(c).rejected : secondOf(c).failed) += 1;
  (refused ? record.rejected : record.failed) += 1;
  closed();
}

void Load::closed() {
  --open_;
  if (open_ == 0 && nextArrival_ == arrivals_.size() && done_)
    std::exchange(done_, nullptr)();
}

const OnTheWire* Load::find(std::uint64_t id) const {
  const auto it = wire_.find(id);
  return it == wire_.end() ? nullptr : &it->second;
}

Result Load::result() const {
  Result r = result_;
  double asked = 0, got = 0, worst = 1;
  std::uint64_t refused = 0, failed = 0;
  for (std::size_t i = 0; i < r.seconds.size(); ++i) {
    Second& s = r.seconds[i];
    asked += s.offeredValue, got += s.inTimeValue + s.lateValue;
    refused += s.rejected, failed += s.failed;
    s.p50 = bySecond_[i].percentile(0.5);
    s.p99 = bySecond_[i].percentile(0.99);
  }
  for (const ClassRecord& c : r.classes)
    if (c.offeredValue > 0.05 * asked)
      worst = std::min(worst, c.servedValue / c.offeredValue);
  r.goodput = asked > 0 ? got / asked : 0;
  r.worstClassGoodput = worst;
  r.score = r.goodput;
  const double calls = std::max<double>(1, static_cast<double>(r.calls));
  r.rejectedShare = static_cast<double>(refused) / calls;
  r.failedShare = static_cast<double>(failed) / calls;
  r.p50 = latencies_.percentile(0.5);
  r.p90 = latencies_.percentile(0.9);
  r.p99 = latencies_.percentile(0.99);
  r.breaches = checker_.breaches();
  for (Breach& b : r.breaches)
    b.at = started_ > Time{} ? b.at - started_ : Time{};
  return r;
}

}  // namespace hollyrun::lab
