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

// A response after the deadline is too late to be of value, but there has to be one: a request that has no
// response this long after its deadline counts as lost.
constexpr Duration kAnswerGrace = std::chrono::milliseconds(500);
// An attempt may be in flight when its request ends, such as a resend that crosses the response. On a busy
// machine it may reach a server this long after the end of the request.
constexpr Duration kInFlightGrace = std::chrono::milliseconds(500);
constexpr std::size_t kBodyBytes = 48;

std::string headerWithHex(const char* prefix, std::uint64_t value) {
  return prefix + hex(value);
}

}  // namespace

std::string tenantName(std::size_t number) {
  return "tenant-" + std::to_string(number);
}

struct Load::Request {
  std::uint64_t id = 0;
  std::uint32_t callIndex = 0, gateway = 0;
  Time sentAt{}, deadline{};
  bool ended = false;
  bool written = false;  // completely written to the socket
  bool resent = false;   // on a new connection, because the gateway had closed an idle one
  std::shared_ptr<Connection> connection;
  std::optional<asio::steady_timer> timeoutTimer;
};

// A client connection: sends a request, reads its response and stays open for the next request.
class Load::Connection : public std::enable_shared_from_this<Connection> {
 public:
  Connection(Load& load, std::uint32_t gateway) : load_(load), gateway_(gateway), socket_(load.io_) {}

  void open(const std::shared_ptr<Request>& request) {
    request_ = request;
    socket_.async_connect(load_.targets_[gateway_].endpoint, [self = shared_from_this()](error_code ec) {
      if (ec)
        return self->end();
      error_code ignored;
      self->socket_.set_option(tcp::no_delay(true), ignored);
      self->read();
      self->write();
    });
  }
  void use(const std::shared_ptr<Request>& request) {
    request_ = request;
    firstUse_ = false;
    write();
  }
  bool firstUse() const { return firstUse_; }
  bool usable() const { return open_; }
  void close() {
    if (!open_)
      return;
    open_ = false;
    request_.reset();
    error_code ignored;
    socket_.close(ignored);
  }

 private:
  void write() {
    const auto text = std::make_shared<std::string>(load_.textOf(*request_));
    asio::async_write(socket_, asio::buffer(*text),
                      [self = shared_from_this(), text, request = request_](error_code ec, std::size_t) {
                        if (!ec && !request->ended)
                          self->load_.markWritten(*request);
                      });
  }
  void read() {
    parser_.emplace();
    parser_->body_limit(64 << 20);
    http::async_read(socket_, buffer_, *parser_, [self = shared_from_this()](error_code ec, std::size_t) {
      if (!self->open_)
        return;
      if (ec || !self->request_)
        return self->end();
      const auto response = self->parser_->release();
      const auto request = std::exchange(self->request_, nullptr);
      double retryAfterS = 0;
      if (response.count(http::field::retry_after) > 0)
        retryAfterS = std::atof(response[http::field::retry_after].to_string().c_str());
      if (response.keep_alive()) {
        self->load_.idle_[self->gateway_].push_back(self);
        self->read();
      } else {
        self->close();
      }
      self->load_.onResponse(request, static_cast<int>(response.result_int()), response.body(), retryAfterS);
    });
  }
  void end() {
    const auto request = std::exchange(request_, nullptr);
    close();
    std::erase(load_.idle_[gateway_], shared_from_this());
    if (request)
      load_.onConnectionLost(request);
  }

  Load& load_;
  std::uint32_t gateway_;
  tcp::socket socket_;
  boost::beast::flat_buffer buffer_;
  std::optional<http::response_parser<http::string_body>> parser_;
  std::shared_ptr<Request> request_;
  bool open_ = true, firstUse_ = true;
};

Load::Load(asio::io_context& io, const Scenario& scenario, std::uint64_t seed, LoadPlan plan, double capacity,
           std::vector<Target> targets)
    : io_(io),
      scenario_(scenario),
      seed_(seed),
      tenants_(plan.tenants),
      day_(scenario, seed),
      targets_(std::move(targets)),
      idle_(targets_.size()),
      paused_(targets_.size()),
      pauseChangedAt_(targets_.size()),
      checker_({std::chrono::milliseconds(20), lab::seconds((scenario.drainGraceMs + 50) / 1000), true,
                kInFlightGrace}),
      arrivalTimer_(io) {
  if (!(plan.seconds > 0) || plan.seconds > kMaxSeconds)
    throw std::invalid_argument("the duration of a load must be above 0 s and at most 3600 s");
  Scenario bounded = scenario;
  bounded.durationS = plan.seconds;
  if (!plan.className.empty()) {
    const auto known = std::find_if(day_.classes.begin(), day_.classes.end(), [&](const DrawnClass& drawn) {
      return drawn.settings.name == plan.className;
    });
    if (known == day_.classes.end())
      throw std::invalid_argument("the scenario has no class '" + plan.className + "'");
    for (DrawnClass& drawn : day_.classes)
      drawn.share = drawn.settings.name == plan.className ? 1 : 0;
  }
  std::vector<Surge> surges;
  for (const FaultSpec& spec : scenario.faultSpecs)
    if (spec.kind == "surge")
      surges.push_back({spec.atS.low, spec.atS.low + spec.durationS.low, spec.size.low});
  const double base = plan.rate > 0 ? plan.rate : day_.loadLevel * capacity / day_.meanWork;
  if (base * plan.seconds * (1 + day_.loadAmplitude) > static_cast<double>(kMaxCalls))
    throw std::invalid_argument("a load must have at most 2,000,000 calls");
  arrivals_ = arrivalsOf(bounded, seed, day_, base, surges);
  result_.scenario = scenario.name;
  result_.policy = "program";
  result_.seed = seed;
  result_.seconds.resize(static_cast<std::size_t>(std::ceil(plan.seconds)));
  bySecond_.resize(result_.seconds.size());
  for (const DrawnClass& drawn : day_.classes) {
    ClassRecord record;
    record.name = drawn.settings.name;
    result_.classes.push_back(record);
  }
}

Load::~Load() = default;

void Load::start(std::function<void()> done) {
  done_ = std::move(done);
  started_ = clockNow();
  startDueCalls();
}

void Load::stop() {
  nextArrival_ = arrivals_.size();
  arrivalTimer_.cancel();
  if (openCalls_ == 0 && done_)
    std::exchange(done_, nullptr)();
}

void Load::startDueCalls() {
  const Time now = clockNow();
  while (nextArrival_ < arrivals_.size() && started_ + lab::seconds(arrivals_[nextArrival_].at) <= now) {
    const Arrival& arrival = arrivals_[nextArrival_++];
    calls_.push_back({arrival, started_ + lab::seconds(arrival.at), day_.maxRetries, 0});
    const Call& call = calls_.back();
    const double value = day_.classes[arrival.classIndex].settings.priorityWeight * arrival.work;
    secondOf(call).calls += 1;
    secondOf(call).offeredValue += value;
    result_.classes[arrival.classIndex].calls += 1;
    result_.classes[arrival.classIndex].offeredValue += value;
    ++result_.calls;
    ++openCalls_;
    sendRequest(static_cast<std::uint32_t>(calls_.size() - 1));
  }
  if (nextArrival_ == arrivals_.size()) {
    if (openCalls_ == 0 && done_)
      std::exchange(done_, nullptr)();
    return;
  }
  arrivalTimer_.expires_after(started_ + lab::seconds(arrivals_[nextArrival_].at) - now);
  arrivalTimer_.async_wait([this](error_code ec) {
    if (!ec)
      startDueCalls();
  });
}

Second& Load::secondOf(const Call& call) {
  return result_.seconds[std::min(static_cast<std::size_t>(call.arrival.at), result_.seconds.size() - 1)];
}

void Load::sendRequest(std::uint32_t callIndex) {
  Call& call = calls_[callIndex];
  const ClassSettings& settings = day_.classes[call.arrival.classIndex].settings;
  const Time now = clockNow();
  Duration left = lab::seconds(inSeconds(settings.clientTimeout) * day_.requestTimeoutShare);
  left = std::min(left, settings.clientTimeout - (now - call.arrivedAt));
  if (left < std::chrono::milliseconds(1))
    return fail(callIndex, false);
  ++call.requests;
  ++result_.requests;
  secondOf(call).requests += 1;
  Stream frontend(seed_, "front", static_cast<std::uint64_t>(callIndex) * 32 + call.requests);
  std::vector<std::uint32_t> candidates;
  for (const bool ownZone : {true, false}) {
    for (std::uint32_t gateway = 0; gateway < targets_.size(); ++gateway)
      if (targets_[gateway].inRotation && (!ownZone || targets_[gateway].zone == call.arrival.zone))
        candidates.push_back(gateway);
    if (!candidates.empty())
      break;
  }
  if (candidates.empty())
    return retryOrFail(callIndex, false, true, {});
  const auto request = std::make_shared<Request>();
  request->callIndex = callIndex;
  request->gateway = candidates[frontend.below(candidates.size())];
  request->id = frontend.engine()() | 1;
  request->sentAt = now;
  request->deadline = now + left;
  sentRequests_[request->id] = {request->gateway, call.arrival.classIndex, call.arrival.work,
                                call.arrival.key};
  openRequests_[request->id] = request;
  request->timeoutTimer.emplace(io_);
  request->timeoutTimer->expires_after(left + kAnswerGrace);
  request->timeoutTimer->async_wait([this, request](error_code ec) {
    if (!ec)
      onTimeout(request);
  });
  sendOnConnection(request);
}

void Load::sendOnConnection(const std::shared_ptr<Request>& request) {
  auto& idle = idle_[request->gateway];
  while (!request->resent && !idle.empty()) {
    const auto connection = idle.back();
    idle.pop_back();
    if (!connection->usable())
      continue;
    request->connection = connection;
    return connection->use(request);
  }
  request->connection = std::make_shared<Connection>(*this, request->gateway);
  ++result_.connections;
  request->connection->open(request);
}

std::string Load::textOf(const Request& request) const {
  const Call& call = calls_[request.callIndex];
  const ClassSettings& settings = day_.classes[call.arrival.classIndex].settings;
  const auto left =
      std::chrono::duration_cast<std::chrono::milliseconds>(request.deadline - request.sentAt).count();
  std::string head = "/" + settings.name + "/" + std::to_string(call.arrival.key) +
                     " HTTP/1.1\r\nHost: gateway\r\nX-Class: " + settings.name +
                     headerWithHex("\r\nX-Request-Id: ", request.id) +
                     "\r\nX-Deadline-Ms: " + std::to_string(left);
  if (call.arrival.key != 0)
    head += headerWithHex("\r\nCookie: obj=", call.arrival.key);
  if (tenants_ > 0)
    head += "\r\nX-Tenant: " + tenantName(Stream(seed_, "tenant", request.callIndex).below(tenants_));
  if (settings.idempotency == Idempotency::idempotent)
    return "GET " + head + "\r\n\r\n";
  if (settings.idempotency == Idempotency::keyed)
    head += headerWithHex("\r\nIdempotency-Key: ", seed_ ^ request.callIndex);
  return "POST " + head + "\r\nContent-Length: " + std::to_string(kBodyBytes) + "\r\n\r\n" +
         std::string(kBodyBytes, 'a');
}

void Load::markWritten(Request& request) {
  if (request.written)
    return;
  request.written = true;
  const Arrival& arrival = calls_[request.callIndex].arrival;
  checker_.requestAccepted(request.id, day_.classes[arrival.classIndex].settings,
                           request.deadline + kAnswerGrace);
}

void Load::onResponse(const std::shared_ptr<Request>& request, int status, const std::string& body,
                      double retryAfterS) {
  if (request->ended)
    return;
  request->ended = true;
  request->timeoutTimer->cancel();
  openRequests_.erase(request->id);
  const Time now = clockNow();
  Call& call = calls_[request->callIndex];
  const DrawnClass& drawn = day_.classes[call.arrival.classIndex];
  markWritten(*request);  // the response may be read before the handler of the write runs
  if (status == 200) {
    if (body.find(hex(request->id)) == std::string::npos)
      checker_.addBreach(Rule::lost, now, request->id, "",
                         "the response is not a server's response to this request");
    checker_.requestServed(request->id, now);
    const double value = drawn.settings.priorityWeight * call.arrival.work;
    const bool inTime = now <= call.arrivedAt + drawn.settings.latencyObjective;
    Second& second = secondOf(call);
    ClassRecord& record = result_.classes[call.arrival.classIndex];
    (inTime ? second.inTimeValue : second.lateValue) +=
        inTime ? value : value * drawn.settings.lateValueFraction;
    (inTime ? record.inTime : record.late) += 1;
    record.servedValue += inTime ? value : value * drawn.settings.lateValueFraction;
    latencies_.add(inSeconds(now - call.arrivedAt) * 1000);
    bySecond_[std::min(static_cast<std::size_t>(call.arrival.at), bySecond_.size() - 1)].add(
        inSeconds(now - call.arrivedAt) * 1000);
    return endCall();
  }
  const bool rejected = status == 429 || status == 503;
  checker_.rejectedOrFailed(now, request->id, rejected);
  retryOrFail(request->callIndex, rejected, false,
              lab::seconds(std::clamp(retryAfterS, 0.0, scenario_.maxRetryAfterMs / 1000)));
}

void Load::onConnectionLost(const std::shared_ptr<Request>& request) {
  if (request->ended)
    return;
  const bool attempted = checker_.attemptCount(request->id) > 0;
  // The gateway closed the idle connection while the request was being sent, and no attempt reached a server.
  // The client resends the request once on a new connection.
  if (request->written && !attempted && !request->connection->firstUse() && !request->resent &&
      targets_[request->gateway].inRotation) {
    request->resent = true;
    return sendOnConnection(request);
  }
  request->ended = true;
  request->timeoutTimer->cancel();
  openRequests_.erase(request->id);
  if (request->written && attempted)
    checker_.addBreach(
        Rule::lost, clockNow(), request->id, "",
        "the connection to " + targets_[request->gateway].name + " ended without a complete response");
  if (request->written)
    checker_.requestServed(request->id, clockNow());
  retryOrFail(request->callIndex, false, true, {});
}

void Load::onTimeout(const std::shared_ptr<Request>& request) {
  if (request->ended)
    return;
  request->ended = true;
  openRequests_.erase(request->id);
  request->connection->close();
  if (paused_[request->gateway] || pauseChangedAt_[request->gateway] > request->sentAt)
    checker_.excuse(request->id);
  else if (request->written)
    checker_.answerDue(clockNow(), request->id);
  fail(request->callIndex, false);
}

void Load::gatewayKilled(std::uint32_t gateway) {
  std::vector<std::shared_ptr<Request>> openAtGateway;
  for (const auto& [id, request] : openRequests_)
    if (request->gateway == gateway)
      openAtGateway.push_back(request);
  std::sort(openAtGateway.begin(), openAtGateway.end(),
            [](const auto& a, const auto& b) { return a->sentAt < b->sentAt; });
  for (const auto& request : openAtGateway) {
    request->ended = true;
    request->timeoutTimer->cancel();
    openRequests_.erase(request->id);
    request->connection->close();
    // The gateway may have read the request, and sent an attempt, before the handler of the write ran.
    markWritten(*request);
    checker_.excuse(request->id);
    retryOrFail(request->callIndex, false, true, {});
  }
  for (const auto& connection : std::exchange(idle_[gateway], {}))
    connection->close();
}

void Load::setPaused(std::uint32_t gateway, bool paused) {
  paused_[gateway] = paused;
  pauseChangedAt_[gateway] = clockNow();
}

void Load::retryOrFail(std::uint32_t callIndex, bool rejected, bool unreachable, Duration retryAfter) {
  Call& call = calls_[callIndex];
  const ClassSettings& settings = day_.classes[call.arrival.classIndex].settings;
  const auto wait = retryWait(day_, seed_, callIndex, call.requests, call.retriesLeft, settings,
                              {rejected, unreachable, retryAfter}, clockNow() - call.arrivedAt);
  if (!wait)
    return fail(callIndex, rejected);
  --call.retriesLeft;
  auto timer = std::make_shared<asio::steady_timer>(io_);
  timer->expires_after(lab::seconds(*wait));
  timer->async_wait([this, timer, callIndex](error_code ec) {
    if (!ec)
      sendRequest(callIndex);
  });
}

void Load::fail(std::uint32_t callIndex, bool rejected) {
  const Call& call = calls_[callIndex];
  ClassRecord& record = result_.classes[call.arrival.classIndex];
  (rejected ? secondOf(call).rejected : secondOf(call).failed) += 1;
  (rejected ? record.rejected : record.failed) += 1;
  endCall();
}

void Load::endCall() {
  --openCalls_;
  if (openCalls_ == 0 && nextArrival_ == arrivals_.size() && done_)
    std::exchange(done_, nullptr)();
}

const SentRequest* Load::find(std::uint64_t id) const {
  const auto it = sentRequests_.find(id);
  return it == sentRequests_.end() ? nullptr : &it->second;
}

Result Load::result() const {
  Result result = result_;
  double offeredValue = 0, earnedValue = 0, worst = 1;
  std::uint64_t rejected = 0, failed = 0;
  for (std::size_t i = 0; i < result.seconds.size(); ++i) {
    Second& second = result.seconds[i];
    offeredValue += second.offeredValue, earnedValue += second.inTimeValue + second.lateValue;
    rejected += second.rejected, failed += second.failed;
    second.p50 = bySecond_[i].percentile(0.5);
    second.p99 = bySecond_[i].percentile(0.99);
  }
  for (const ClassRecord& record : result.classes)
    if (record.offeredValue > 0.05 * offeredValue)
      worst = std::min(worst, record.servedValue / record.offeredValue);
  result.goodput = offeredValue > 0 ? earnedValue / offeredValue : 0;
  result.worstClassGoodput = worst;
  result.score = result.goodput;
  const double calls = std::max<double>(1, static_cast<double>(result.calls));
  result.rejectedShare = static_cast<double>(rejected) / calls;
  result.failedShare = static_cast<double>(failed) / calls;
  result.p50 = latencies_.percentile(0.5);
  result.p90 = latencies_.percentile(0.9);
  result.p99 = latencies_.percentile(0.99);
  result.breaches = checker_.breaches();
  for (Breach& breach : result.breaches)
    breach.at = started_ > Time{} ? breach.at - started_ : Time{};
  return result;
}

}  // namespace hollyrun::lab
