#include "gateway/gateway.hpp"

#include <algorithm>
#include <array>
#include <boost/beast/http/field.hpp>
#include <boost/beast/http/status.hpp>
#include <cstdio>
#include <cstdlib>
#include <utility>

#include "gateway/hop_by_hop_headers.hpp"

namespace hollyrun::gateway {
namespace {

namespace asio = boost::asio;
namespace http = boost::beast::http;
using tcp = asio::ip::tcp;
using balancer::Action;
using balancer::ActionKind;
using balancer::Duration;
using balancer::EndpointListKind;
using balancer::EndpointState;
using balancer::EndpointStatus;
using balancer::HostId;
using balancer::Outcome;
using balancer::RequestId;
using balancer::Time;
using boost::system::error_code;
using Clock = std::chrono::steady_clock;

// The module's clock at our start: hosts that started up to a day before have a time of their own on it.
constexpr Time kClockStart = std::chrono::hours(24);
// Of the descriptors: listener, discovery, event loop, standard streams, what the libraries open, and the few
// connections that linger beyond their limit.
constexpr std::size_t kOwnDescriptors = 32;
// Beside another process: the first look at discovery is waited for so long, and so long it takes that
// process at least to see us and make room.
constexpr Duration kUploadConnect = std::chrono::seconds(10);  // the pool's own limits are shorter
constexpr auto kOpenLast = std::chrono::milliseconds(2000);
constexpr auto kOpenFirst = std::chrono::milliseconds(300);

HttpResponse plain(http::status status) {
  HttpResponse response;
  response.result(status);
  return response;
}

std::size_t shareOf(std::size_t sockets, std::size_t part, std::size_t of) {
  return (sockets - kOwnDescriptors) * part / of;
}

}  // namespace

Gateway::Gateway(asio::io_context& io, const Config& config, Options options, Log& log)
    : io_(io),
      start_(Clock::now()),
      startTimes_(clocks()),
      log_(log),
      listen_(config.listen),
      sockets_(config.sockets),
      clientsMost_(options.clients.connections),
      bodyBytes_(config.memoryBytes / 4),
      abortOnViolation_(options.abortOnViolation),
      budget_(std::make_shared<MemoryBudget>(bodyBytes_)),
      validator_(config.module),
      balancer_(config.module, now()),
      hosts_(io, {shareOf(config.sockets, 2, 5), config.connectTimeout, config.module.idleTimeout}, *this,
             budget_),
      discovery_(io, config.discovery,
                 {[this](const EndpointList& list) {
                    told(list, list.snapshot ? EndpointListKind::snapshot : EndpointListKind::delta);
                  },
                  [this] {
                    balancer_.onEndpoints(now(), EndpointListKind::unavailable, {});
                    drainActions();
                  }},
                 options.discovery),
      waker_(io),
      shutDownTimer_(io),
      openTimer_(io),
      clients_(io,
               {.connections = std::min(options.clients.connections, shareOf(config.sockets, 3, 5)),
                .first = options.clients.first,
                .slow = options.clients.slow,
                .idle = options.clients.idle},
               *this, budget_) {
  take(config.module);
  if (config.known)
    discovery_.setKnownVersion(config.known->version);
  // The module asks discovery once it was given a list, an empty one too.
  told(config.known ? *config.known : EndpointList{0, true, {}}, EndpointListKind::cached);
  if (config.management) {
    management_.emplace(io, *config.management,
                        Management::Callbacks{[this] { return takesClients(); },
                                              [this] { return statistics_.render(gauges()); },
                                              [this] { return statistics_.metrics(gauges(), metrics()); },
                                              [this] { return fleet_ ? fleet_->text() : std::string(); }});
    if (listen_.port() != 0)  // a port that the kernel picks is shared with nobody
      hotRestart_.emplace(io, config.tmp, listen_, [this] { share(); });
    if (hotRestart_ && !hotRestart_->isAnnounced())
      log_.write(LogLevel::warning, "upgrade",
                 "cannot announce this process in " + config.tmp + " for now, and tries again");
  }
  join(config);
  if (hotRestart_ && hotRestart_->isOtherPresent()) {
    share();
    openTimer_.expires_after(kOpenLast);  // the first look at discovery opens it sooner
    openTimer_.async_wait([this](error_code ec) {
      if (!ec)
        open();
    });
  } else {
    open();
  }
}

Gateway::~Gateway() {
  hosts_.stop();
  discovery_.stop();
}

Time Gateway::now() const {
  return kClockStart + (Clock::now() - start_);
}

ServerStartTimes::Clocks Gateway::clocks() const {
  return {now(), std::chrono::system_clock::now().time_since_epoch()};
}

std::optional<tcp::endpoint> Gateway::management() const {
  return management_ ? std::optional(management_->listening()) : std::nullopt;
}

void Gateway::take(const balancer::Settings& settings) {
  settings_ = settings;
  validator_ = RequestValidator(settings_);
  for (const balancer::ClassSettings& requestClass : settings_.classes)
    statistics_.registerClass(requestClass.name);
}

void Gateway::reload(const Config& config) {
  take(config.module);
  hosts_.setTimes(config.connectTimeout, config.module.idleTimeout);
  balancer_.onSettings(now(), config.module);
  statistics_.recordReload(Statistics::ReloadResult::applied);
  join(config);
  if (config.discovery != discovery_.server())
    discovery_.switchServer(config.discovery);
  drainActions();
}

// In the fleet as the configuration wants it. A place that is another now is left and taken anew.
void Gateway::join(const Config& config) {
  replicaCount_ = config.module.replicaCount;
  if (shuttingDown_)
    return;
  if (fleet_ && fleet_->serves(config))
    fleet_->reload(config);
  else {
    if (fleet_)
      fleet_->leave(false);
    fleet_.reset();
    if (config.membership)
      fleet_.emplace(io_, config, log_, [this] { divide(); });
  }
  divide();
}

// Limits of the whole fleet are divided by all that may hold a part. Danger: never by fewer than were
// configured, or the two sides of a cut would hold more than the whole.
void Gateway::divide() {
  const std::uint32_t size = std::max(replicaCount_, fleet_ ? fleet_->holders() : 1);
  if (size == settings_.replicaCount)
    return;
  settings_.replicaCount = size;
  balancer_.onSettings(now(), settings_);
  log_.write(LogLevel::info, "fleet", "limits of the fleet are divided anew", {{"by", std::to_string(size)}});
  drainActions();
}

void Gateway::open() {
  if (clients_.takesClients() || shuttingDown_)
    return;
  clients_.listen(listen_, management_.has_value());
  if (hotRestart_ && hotRestart_->isOtherPresent())
    HotRestart::steerToLatestListener(clients_.listener());
}

// The descriptors that one process may hold are those of both.
void Gateway::share() {
  const std::size_t parts = hotRestart_->isOtherPresent() ? 10 : 5;
  clients_.allow(std::min(clientsMost_, shareOf(sockets_, 3, parts)));
  hosts_.allow(shareOf(sockets_, 2, parts));
  budget_->limit(hotRestart_->isOtherPresent() ? bodyBytes_ / 2 : bodyBytes_);
  log_.write(LogLevel::info, "upgrade",
             hotRestart_->isOtherPresent() ? "another process serves the address: the limits are shared"
                                           : "no other process serves the address");
}

// --- Events ---------------------------------------------------------------------------------------------

void Gateway::told(const EndpointList& list, EndpointListKind kind) {
  const auto source = kind == EndpointListKind::cached ? ServerStartTimes::Source::cached
                                                       : ServerStartTimes::Source::discovery;
  const std::vector<Time> starts = startTimes_.startTimesOf(list, source, clocks());
  std::vector<balancer::Endpoint> entries;
  for (const ListedEndpoint& host : list.endpoints) {
    balancer::Endpoint e;
    // The uid names a host to the module: it is the same at all gateways, and outlives a new address.
    e.address = host.uid;
    e.zone = host.zone;
    e.machineType = host.machineType;
    e.cell = host.cell;
    e.weight = host.weight;
    e.upSince = starts[entries.size()];
    e.state = host.state;
    entries.push_back(std::move(e));
  }
  balancer_.onEndpoints(now(), kind, entries);
  if (kind != EndpointListKind::delta)
    for (EndpointStatus& server : servers_)
      leaves(server, EndpointState::removed);  // what a whole list leaves out is gone
  for (std::size_t i = 0; i < list.endpoints.size(); ++i) {
    const ListedEndpoint& host = list.endpoints[i];
    const HostId id = balancer_.findHost(host.uid);
    note(id, entries[i]);
    if (host.address.port() != 0)
      hosts_.setEndpoint(id, host.address);
    if (host.state != EndpointState::serving)
      hosts_.drain(id);
  }
  ready_ = ready_ || !list.endpoints.empty() || kind != EndpointListKind::cached;
  if (kind != EndpointListKind::cached && !clients_.takesClients()) {
    openTimer_.expires_at(std::min(openTimer_.expiry(), start_ + kOpenFirst));
    openTimer_.async_wait([this](error_code ec) {
      if (!ec)
        open();
    });
  }
  drainActions();
}

// The time of a drain is that of the first word of it.
void Gateway::leaves(EndpointStatus& server, EndpointState state) {
  if (server.state == EndpointState::serving)
    server.stateSince = now();
  server.state = state;
}

void Gateway::note(HostId id, const balancer::Endpoint& entry) {
  if (servers_.size() <= id)
    servers_.resize(id + std::size_t{1});
  EndpointStatus& server = servers_[id];
  server.id = id;
  server.zone = entry.zone;
  server.cell = entry.cell;
  server.upSince = entry.upSince;
  if (entry.state == EndpointState::serving)
    server.state = EndpointState::serving;
  else
    leaves(server, entry.state);
}

void Gateway::onLocalRejection(const std::string& target, RejectionKind kind) {
  const auto outcome =
      kind == RejectionKind::overloaded ? Statistics::Outcome::busy : Statistics::Outcome::failure;
  statistics_.recordOutcome(statistics_.findClass(firstPathSegment(target)), outcome, std::nullopt);
}

void Gateway::onClosedUnanswered(DownstreamRequestId id, CloseReason reason) {
  ++counters_.closedUnanswered;
  const auto it = byClient_.find(id);
  violated("closed_unanswered, " + std::string(nameOf(reason)),
           it == byClient_.end() ? "-" : idOf(contexts_.at(it->second)));
}

void Gateway::onRequest(DownstreamRequest request) {
  const bool hasBody = request.upload || !request.message.body().empty();
  const ValidationResult result =
      validator_.validate(request.message, hasBody ? BodyPresence::present : BodyPresence::absent);
  if (const auto* valid = std::get_if<ValidatedRequest>(&result))
    accept(std::move(request), valid->request);
  else if (const auto* rejection = std::get_if<RequestRejection>(&result))
    reject(request, *rejection);
  else
    answerHealthCheck(request.id);
}

void Gateway::answerHealthCheck(DownstreamRequestId client) {
  clients_.answer(client, plain(takesClients() ? http::status::ok : http::status::service_unavailable),
                  nullptr);
}

// Where such a message ends is doubtful, so the connection is closed: what follows must not be read as a
// request.
void Gateway::reject(const DownstreamRequest& request, const RequestRejection& rejection) {
  HttpResponse response = plain(rejection.status);
  response.keep_alive(false);
  const std::size_t counted = statistics_.findClass(firstPathSegment(request.message.target()));
  clients_.answer(request.id, std::move(response), [this, counted](bool) {
    statistics_.recordOutcome(counted, Statistics::Outcome::failure, std::nullopt);
  });
}

void Gateway::accept(DownstreamRequest request, balancer::Request asked) {
  // Danger: a connection may wait to be accepted until its client has given up; the request and the end of
  // the client's side are then found together.
  if (!clients_.present(request.id)) {
    statistics_.recordOutcome(statistics_.findClass(settings_.classes[asked.classIndex].name),
                              Statistics::Outcome::failure, std::nullopt);
    return clients_.leave(request.id);
  }
  asked.id = ++lastRequest_;
  const Duration left = asked.remaining - kAnswerMargin;
  asked.remaining = left - (Clock::now() - request.receivedAt);
  asked.uploading = request.upload != nullptr;
  removeHopByHopHeaders(request.message);
  RequestContext& exchange = contexts_[asked.id];
  exchange.client = request.id;
  const balancer::ClassSettings& cls = settings_.classes[asked.classIndex];
  exchange.counted = statistics_.findClass(cls.name);
  exchange.terms.idempotency = cls.idempotency;
  exchange.terms.deduplicationScope = cls.deduplicationScope;
  exchange.terms.deduplicationWindow = cls.deduplicationWindow;
  exchange.left = left;
  exchange.held = std::move(request.reservation);
  exchange.upload = std::move(request.upload);
  exchange.length = request.uploadLength;
  exchange.taken = !exchange.upload;
  exchange.came = request.receivedAt;
  if (log_.tracing())
    log_.trace("taken", {{"request", request.message["X-Request-Id"].to_string()},
                         {"class", cls.name},
                         {"left_ms", std::to_string(left / std::chrono::milliseconds(1))}});
  if (exchange.taken)
    statistics_.incrementInFlight();
  exchange.message = std::move(request.message);
  byClient_.emplace(request.id, asked.id);
  balancer_.onRequest(now(), asked);
  drainActions();
}

void Gateway::onClientDisconnected(DownstreamRequestId client) {
  const auto known = byClient_.find(client);
  if (known == byClient_.end())
    return;
  const RequestId id = known->second;
  byClient_.erase(known);
  RequestContext& exchange = contexts_.at(id);
  exchange.ended = true;
  counting(exchange, Statistics::Outcome::failure)(false);
  if (log_.tracing())
    log_.trace("client_left", {{"request", idOf(exchange)}});
  over_.push_back(id);
  const std::uint32_t begun = exchange.begun;  // the exchange may go with the last of them
  balancer_.onClientDisconnected(now(), id);
  drainActions();
  // Danger: where attempts may not be cancelled, one that waits for its connection would still be sent.
  for (std::uint32_t attempt = 0; attempt < begun; ++attempt)
    hosts_.drop({id, attempt});
}

// Danger: a client may leave in the turn of the event loop in which an attempt of its request begins, and its
// socket tells so before the loop does.
bool Gateway::clientPresent(const RequestContext& exchange) {
  if (exchange.ended)
    return false;
  if (clients_.present(exchange.client))
    return true;
  departed_.push_back(exchange.client);
  return false;
}

// Each step of an attempt is admitted by the facts of its own moment, and only here.
AdmissionResult Gateway::admit(const AttemptStart& start) {
  const AttemptKey attempt = start.key;
  const HostId host = start.host;
  const auto it = contexts_.find(attempt.request);
  if (it == contexts_.end())
    return {Outcome::abandoned, {}};
  RequestContext& exchange = it->second;
  // The client's time does not run before the last byte of its upload.
  const Duration counted = exchange.taken ? start.timeLeft : exchange.left;
  const balancer::Admission admission = guard_.admit({.now = now(),
                                                      .clientPresent = clientPresent(exchange),
                                                      .attempt = attempt.attempt,
                                                      .left = counted,
                                                      .terms = exchange.decided.at(attempt.attempt),
                                                      .server = servers_.at(host),
                                                      .history = exchange.history});
  if (admission.denied) {
    traceAttempt("attempt_denied", exchange, attempt, host, balancer::nameOf(*admission.denied));
    if (balancer::isViolation(*admission.denied))
      violated(balancer::nameOf(*admission.denied), idOf(exchange));
    const bool gone = *admission.denied == balancer::DenialReason::clientDisconnected;
    return {gone ? Outcome::abandoned : Outcome::localFailure, {}};
  }
  if (start.step == AttemptStep::write) {
    exchange.history.wrote(attempt.attempt, servers_.at(host), now());
    if (log_.tracing())
      traceAttempt("attempt_begun", exchange, attempt, host,
                   "told_ms=" + std::to_string(admission.told.count()));
  }
  return {std::nullopt, admission.told};
}

void Gateway::violated(std::string_view rule, const std::string& requestId) {
  log_.write(LogLevel::error, "violation", "a rule was to be broken",
             {{"rule", std::string(rule)}, {"request", requestId}});
  if (abortOnViolation_)
    std::abort();
}

std::string Gateway::idOf(const RequestContext& exchange) {
  return exchange.message["X-Request-Id"].to_string();
}

void Gateway::traceAttempt(std::string_view step, const RequestContext& exchange, const AttemptKey& attempt,
                           HostId host, std::string_view detail) {
  if (!log_.tracing())
    return;
  const Duration left = exchange.left - (Clock::now() - exchange.came);
  log_.trace(step, {{"request", idOf(exchange)},
                    {"attempt", std::to_string(attempt.attempt)},
                    {"server", balancer_.address(host)},
                    {"detail", std::string(detail)},
                    {"left_ms", std::to_string(left / std::chrono::milliseconds(1))}});
}

std::vector<prometheus::MetricFamily> Gateway::metrics() const {
  auto families = fleet_ ? fleet_->metrics() : std::vector<prometheus::MetricFamily>();
  for (auto& family : collectRequestMetrics(counters_, guard_, clients_.closed()))
    families.push_back(std::move(family));
  return families;
}

// The time of an upload runs from its last byte.
void Gateway::onUploadComplete(DownstreamRequestId client) {
  const auto known = byClient_.find(client);
  if (known == byClient_.end())
    return;
  RequestContext& exchange = contexts_.at(known->second);
  exchange.taken = true;
  exchange.came = Clock::now();
  statistics_.incrementInFlight();
  for (std::uint32_t attempt = 0; attempt < exchange.begun; ++attempt)
    hosts_.uploaded({known->second, attempt}, exchange.left);
  balancer_.onUploaded(now(), known->second, exchange.left);
  drainActions();
}

void Gateway::onAttemptComplete(AttemptCompletion completion) {
  ends_.push_back(std::move(completion));
  drainActions();
}

void Gateway::settle(AttemptCompletion end) {
  const auto it = contexts_.find(end.key.request);
  if (it == contexts_.end() || it->second.ended) {
    if (end.body)
      end.body->abandon();
  }
  if (it == contexts_.end())
    return;
  RequestContext& exchange = it->second;
  --exchange.out;
  exchange.history.ended(end.key.attempt, end.outcome);
  counters_.recordAttempt(end.outcome);
  traceAttempt("attempt_ended", exchange, end.key, end.host, nameOf(end.outcome));
  over_.push_back(end.key.request);
  if (end.outcome == Outcome::served && !exchange.ended) {
    removeHopByHopHeaders(end.response);
    end.response.erase("X-Load");
    answer(exchange, std::move(end.response), Statistics::Outcome::success, std::move(end.body), end.length);
  }
  balancer::AttemptResult result;
  result.request = end.key.request;
  result.attempt = end.key.attempt;
  result.host = end.host;
  result.outcome = end.outcome;
  result.elapsed = end.elapsed;
  result.terminal = exchange.ended;
  balancer_.onResult(now(), result);
}

// --- Actions --------------------------------------------------------------------------------------------

// Carries out all actions in their order, with those that their own results raise. An action that ends an
// attempt at once must not feed the module while its earlier actions are still to be done.
void Gateway::drainActions() {
  if (carrying_)
    return;
  carrying_ = true;
  for (;;) {
    for (const DownstreamRequestId client : std::exchange(departed_, {}))
      clients_.leave(client);
    const std::vector<Action> actions = std::exchange(balancer_.actions(), {});
    for (const Action& action : actions)
      carryOut(action);
    if (!departed_.empty())
      continue;  // before the ends of the attempts that were not begun for them
    // Entries are dropped only after all actions that name them are done.
    if (balancer_.actions().empty())
      for (const RequestId id : std::exchange(over_, {}))
        if (const auto it = contexts_.find(id);
            it != contexts_.end() && it->second.ended && it->second.out == 0)
          contexts_.erase(it);
    if (!balancer_.actions().empty())
      continue;
    if (ends_.empty())
      break;
    AttemptCompletion end = std::move(ends_.front());
    ends_.pop_front();
    settle(std::move(end));
  }
  carrying_ = false;
}

void Gateway::carryOut(const Action& action) {
  switch (action.kind) {
    case ActionKind::send:
      return send(action);
    case ActionKind::reject:
    case ActionKind::fail:
      return giveUp(action);
    case ActionKind::cancel:
      return hosts_.cancel({action.request, action.attempt});
    case ActionKind::close:
      return hosts_.closeIdle(action.host);
    case ActionKind::wake:
      return wakeAt(action.wakeAt);
    case ActionKind::pollDiscovery:
      return discovery_.watch();
    case ActionKind::log:
      return log_.write(LogLevel::info, "decisions", action.text);
  }
}

void Gateway::send(const Action& action) {
  const auto it = contexts_.find(action.request);
  if (it == contexts_.end() || it->second.ended)
    return;
  RequestContext& exchange = it->second;
  ++exchange.out;
  exchange.begun = action.attempt + 1;
  balancer::AttemptTerms& terms = exchange.decided.emplace_back(exchange.terms);
  terms.maxAttempts = settings_.maxAttempts;
  terms.allowHedging = settings_.allowHedging;
  terms.serverUpSince = servers_.at(action.host).upSince;
  HttpRequest message = exchange.message;
  message.version(11);
  message.keep_alive(true);
  if (exchange.upload) {
    // Danger: a body of which bytes were sent is not whole any more, and two attempts can't share one.
    if (exchange.upload->touched() || exchange.out > 1) {
      ends_.push_back({{action.request, action.attempt}, action.host, Outcome::abandoned, {}, {}});
      return;
    }
    return hosts_.start({action.request, action.attempt}, action.host, std::move(message), exchange.upload,
                        exchange.length, exchange.taken ? action.timeLimit : kUploadConnect,
                        action.latestStart);
  }
  if (message.method() != http::verb::get || !message.body().empty())
    message.prepare_payload();
  hosts_.start({action.request, action.attempt}, action.host, std::move(message), action.timeLimit,
               action.latestStart);
}

void Gateway::giveUp(const Action& action) {
  const auto it = contexts_.find(action.request);
  if (it == contexts_.end() || it->second.ended)
    return;
  over_.push_back(action.request);
  counters_.recordRejection(action.reason);
  if (log_.tracing())
    log_.trace(action.kind == ActionKind::reject ? "refused" : "failed",
               {{"request", idOf(it->second)}, {"reason", std::string(nameOf(action.reason))}});
  HttpResponse response = plain(action.kind == ActionKind::reject ? http::status::service_unavailable
                                                                  : http::status::bad_gateway);
  if (action.kind == ActionKind::reject && action.retryAfter > Duration{}) {
    std::array<char, 32> text{};
    std::snprintf(text.data(), text.size(), "%.3f", std::chrono::duration<double>(action.retryAfter).count());
    response.set(http::field::retry_after, text.data());
  }
  answer(it->second, std::move(response),
         action.kind == ActionKind::reject ? Statistics::Outcome::busy : Statistics::Outcome::failure);
}

DownstreamServer::Answered Gateway::counting(const RequestContext& exchange, Statistics::Outcome end) {
  const std::string id = log_.access() ? exchange.message["X-Request-Id"].to_string() : std::string();
  return [this, cls = exchange.counted, end, taken = exchange.taken, came = exchange.came, id](bool whole) {
    std::optional<Clock::duration> took;
    if (taken)
      took = Clock::now() - came, statistics_.decrementInFlight();
    const Statistics::Outcome ended = whole ? end : Statistics::Outcome::failure;
    statistics_.recordOutcome(cls, ended, took);
    if (!log_.access())
      return;
    const double ms = took ? std::chrono::duration<double, std::milli>(*took).count() : -1;
    log_.answered(id, statistics_.nameOf(cls), Statistics::nameOf(ended), ms);
  };
}

Statistics::Gauges Gateway::gauges() const {
  const auto hosts = balancer_.endpointCounts();
  return {hosts_.written(), hosts.listed, hosts.unavailable};
}

void Gateway::answer(RequestContext& exchange, HttpResponse response, Statistics::Outcome end,
                     std::shared_ptr<BodyStream> body, std::optional<std::uint64_t> length) {
  exchange.ended = true;
  byClient_.erase(exchange.client);
  auto answered = counting(exchange, end);
  if (body)
    clients_.answer(exchange.client, std::move(response), std::move(body), length, std::move(answered));
  else
    clients_.answer(exchange.client, std::move(response), std::move(answered));
}

// Only the earliest wake counts: the module asks anew at each event for the next.
void Gateway::wakeAt(Time at) {
  if (wakeAt_ > Time{} && wakeAt_ <= at)
    return;
  wakeAt_ = at;
  waker_.expires_at(start_ + (at - kClockStart));
  waker_.async_wait([this](error_code ec) {
    if (ec || now() < wakeAt_)
      return;
    wakeAt_ = Time{};
    balancer_.onWake(now());
    drainActions();
  });
}

// --- Graceful shutdown -----------------------------------------------------------------------------------

void Gateway::shutDown(std::function<void()> done) {
  if (shuttingDown_)
    return;
  shuttingDown_ = true;
  down_ = std::move(done);
  openTimer_.cancel();
  if (fleet_)
    fleet_->leave(hotRestart_ && hotRestart_->isOtherPresent());
  clients_.lastAnswers();
  shutDownTimer_.expires_after(kAcceptOn);
  shutDownTimer_.async_wait([this](error_code ec) {
    if (ec)
      return;
    clients_.stopAccepting();
  });
}

void Gateway::onDrained() {
  down_();
}

}  // namespace hollyrun::gateway
