#include "lab/testbed/platform.hpp"

#include <sys/socket.h>

#include <algorithm>
#include <boost/asio/write.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http.hpp>
#include <charconv>
#include <deque>
#include <map>
#include <nlohmann/json.hpp>
#include <optional>
#include <unordered_map>
#include <utility>

namespace hollyrun::lab {

namespace http = boost::beast::http;
using balancer::Endpoint;
using balancer::EndpointState;
using balancer::Outcome;
using nlohmann::json;

namespace {

constexpr Time kClockOffset = std::chrono::hours(24);
// Chokes end and cold servers warm up without an event, so the model is advanced periodically.
constexpr Duration kAdvanceInterval = std::chrono::milliseconds(50);
constexpr std::uint64_t kMaxBodyBytes = 32 << 20;

using Response = http::response<http::string_body>;

Response jsonResponse(int status, std::string body) {
  Response response{static_cast<http::status>(status), 11};
  response.set(http::field::content_type, "application/json");
  response.body() = std::move(body);
  response.prepare_payload();
  return response;
}

std::string queryParameter(const std::string& target, const std::string& name) {
  const auto nameAt = target.find(name + "=");
  if (nameAt == std::string::npos)
    return {};
  const auto valueAt = nameAt + name.size() + 1;
  return target.substr(valueAt, target.find('&', valueAt) - valueAt);
}

// Returns 0 if the text is not a hexadecimal number.
std::uint64_t parseHex(boost::beast::string_view text) {
  std::uint64_t value = 0;
  const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), value, 16);
  return error == std::errc{} && end == text.data() + text.size() ? value : 0;
}

// A connection that a server or agent has accepted. Calls `onRequest` for each complete request and `onClose`
// when the peer has closed the connection or ended its sending, and writes the responses in order.
class Session : public std::enable_shared_from_this<Session> {
 public:
  using Request = http::request<http::string_body>;
  std::function<void(Session&, Request)> onRequest;
  std::function<void(Session&)> onClose;

  explicit Session(tcp::socket socket) : socket_(std::move(socket)) {}

  void read() {
    parser_.emplace();
    parser_->body_limit(kMaxBodyBytes);
    http::async_read(socket_, buffer_, *parser_, [self = shared_from_this()](error_code ec, std::size_t) {
      if (!self->open_)
        return;
      if (ec)
        return self->handleClose();
      Request request = self->parser_->release();
      ++self->requests_;
      self->read();  // reads on at once, to notice when the peer closes
      if (self->onRequest)
        self->onRequest(*self, std::move(request));
    });
  }
  /// Calls `onWritten` after the last byte of the response is written.
  void reply(Response response, std::function<void()> onWritten = {}) {
    out_.emplace_back(std::move(response), std::move(onWritten));
    if (out_.size() == 1)
      write();
  }
  void close(bool reset) {
    if (!open_)
      return;
    open_ = false;
    error_code ignored;
    if (reset)
      socket_.set_option(asio::socket_base::linger(true, 0), ignored);
    socket_.close(ignored);
    onRequest = nullptr;
    onClose = nullptr;
  }
  bool open() const { return open_; }
  std::size_t requests() const { return requests_; }

 private:
  void handleClose() {
    const auto callback = onClose;
    const auto self = shared_from_this();
    close(false);
    if (callback)
      callback(*this);
  }
  void write() {
    http::async_write(socket_, out_.front().first, [self = shared_from_this()](error_code ec, std::size_t) {
      const auto onWritten = std::move(self->out_.front().second);
      self->out_.pop_front();
      if (ec || !self->open_)
        return;
      if (onWritten)
        onWritten();
      if (!self->out_.empty())
        self->write();
    });
  }

  tcp::socket socket_;
  boost::beast::flat_buffer buffer_;
  std::optional<http::request_parser<http::string_body>> parser_;
  std::deque<std::pair<Response, std::function<void()>>> out_;
  std::size_t requests_ = 0;
  bool open_ = true;
};

}  // namespace

Time clockNow() {
  return std::chrono::steady_clock::now().time_since_epoch() + kClockOffset;
}

std::string hex(std::uint64_t id) {
  char text[20];
  std::snprintf(text, sizeof text, "%016llx", static_cast<unsigned long long>(id));
  return text;
}

ReservedPort::ReservedPort(asio::io_context& io) : socket_(io, tcp::v4()) {
  socket_.set_option(tcp::socket::reuse_address(true));
  socket_.bind({asio::ip::address_v4::loopback(), 0});
  endpoint_ = socket_.local_endpoint();
}

// --- Record servers --------------------------------------------------------------------------------------

class RecordServer {
 public:
  RecordServer(Platform& platform, std::uint32_t number, DrawnMachine drawn)
      : platform_(platform),
        number_(number),
        entry(std::move(drawn.entry)),
        server(drawn.parameters),
        random_(platform.seed_, "answers", number),
        port_(platform.io_),
        acceptor_(platform.io_),
        completionTimer_(platform.io_),
        advanceTimer_(platform.io_) {
    server.advance(clockNow());
    listen();
    advancePeriodically();
  }

  tcp::endpoint endpoint() const { return port_.endpoint(); }

  void kill() {
    up = false;
    error_code ignored;
    acceptor_.close(ignored);
    for (const auto& session : std::exchange(sessions_, {}))
      session->close(true);
    for (const std::uint32_t attempt : server.dropAll())
      end(attempt, Outcome::reset);
    jobs_.clear();
    server.connections = 0;
  }
  void start() {
    if (up)
      return;
    up = true;
    draining = false;
    server.restart(clockNow());
    entry.state = EndpointState::serving;
    bootMs = std::chrono::duration_cast<std::chrono::milliseconds>(
                 std::chrono::system_clock::now().time_since_epoch())
                 .count();
    entry.upSince = clockNow();
    listen();
  }
  // While the machine is unreachable the kernel would still accept connections for it. The testbed shortens
  // the accept queue to one entry and fills it, so that new connections hang as they do with an unreachable
  // machine.
  void setUnreachable(bool on) {
    unreachable = on;
    if (!acceptor_.is_open())
      return;
    ::listen(acceptor_.native_handle(), on ? 0 : SOMAXCONN);
    queueFillers_.clear();
    for (int i = 0; on && i < 2; ++i) {
      queueFillers_.emplace_back(platform_.io_);
      queueFillers_.back().async_connect(endpoint(), [](error_code) {});
    }
    if (on)
      return;
    resetWaiting();
    accept();
    for (auto& [session, request] : std::exchange(pendingRequests_, {}))
      if (session->open())
        serve(*session, std::move(request));
    for (auto& [session, response] : std::exchange(pendingResponses_, {}))
      session->reply(std::move(response));
  }
  // Answers the jobs that have completed by now and schedules the next completion.
  void processCompletions() {
    const Time now = clockNow();
    server.advance(now);
    for (const Server::CompletedJob& job : std::exchange(server.completed(), {}))
      finish(job);
    if (const auto next = server.nextCompletion()) {
      completionTimer_.expires_after(std::max(*next - now, Duration(0)));
      completionTimer_.async_wait([this](error_code ec) {
        if (!ec)
          processCompletions();
      });
    }
  }

  bool up = true, draining = false, unreachable = false;
  std::int64_t bootMs = 0;

 private:
  Platform& platform_;
  std::uint32_t number_;

 public:
  Endpoint entry;
  Server server;

 private:
  struct JobRequest {
    std::weak_ptr<Session> session;
    std::uint64_t id = 0;
    std::uint32_t attemptNumber = 0;  // within the request, from 0
    std::string className;
  };

  void listen() {
    acceptor_.open(tcp::v4());
    acceptor_.set_option(tcp::acceptor::reuse_address(true));
    acceptor_.bind(endpoint());
    acceptor_.listen();
    accept();
  }
  // Resets the connections that were opened while the machine was unreachable.
  void resetWaiting() {
    error_code ec;
    acceptor_.non_blocking(true, ec);
    while (!ec) {
      tcp::socket waiting(platform_.io_);
      acceptor_.accept(waiting, ec);
      if (!ec)
        std::make_shared<Session>(std::move(waiting))->close(true);
    }
  }
  void accept() {
    if (unreachable || accepting_)
      return;
    accepting_ = true;
    acceptor_.async_accept([this](error_code ec, tcp::socket socket) {
      accepting_ = false;
      if (ec)
        return;
      // A connection whose accept completes just after the machine became unreachable is established, but
      // its requests get no response until the fault ends.
      const bool full = static_cast<double>(server.connections) >= server.parameters().connectionCap;
      if (!full) {
        auto session = std::make_shared<Session>(std::move(socket));
        session->onRequest = [this](Session& caller, Session::Request request) {
          onRequest(caller, std::move(request));
        };
        session->onClose = [this](Session& caller) { onClose(caller); };
        sessions_.push_back(session);
        ++server.connections;
        session->read();
      }
      accept();
    });
  }
  void onClose(Session& session) {
    std::erase_if(sessions_, [&](const auto& other) { return other.get() == &session; });
    server.connections -= std::min<std::size_t>(server.connections, 1);
    for (const auto& [attempt, jobRequest] : jobs_)
      if (jobRequest.session.lock().get() == &session)
        server.cancel(attempt);
  }
  void onRequest(Session& session, Session::Request request) {
    if (unreachable)
      pendingRequests_.emplace_back(session.shared_from_this(), std::move(request));
    else
      serve(session, std::move(request));
  }
  void serve(Session& session, Session::Request request) {
    const Time now = clockNow();
    if (request.count("X-Request-Id") == 0)
      return session.reply(jsonResponse(404, "{\"error\":\"no id\"}"));
    const std::uint64_t id = parseHex(request["X-Request-Id"]);
    JobRequest jobRequest{session.weak_from_this(), id, 0, {}};
    const std::string target = request.target().to_string();
    jobRequest.className = target.substr(0, target.find_first_of("/?", 1)).substr(target.empty() ? 0 : 1);
    const DrawnClass* requestClass = nullptr;
    for (const DrawnClass& drawn : platform_.day_.classes)
      if (drawn.settings.name == jobRequest.className)
        requestClass = &drawn;
    Job job;
    job.deadline = now + deadlineOf(request);
    if (platform_.observer_) {
      const SentRequest* known = platform_.observer_->find(id);
      Checker& checker = platform_.observer_->checker();
      if (!known) {
        checker.addBreach(Rule::duplicate, now, id, entry.address, "no client sent this request");
        return session.reply(jsonResponse(400, "{\"error\":\"no such request\"}"));
      }
      jobRequest.attemptNumber = static_cast<std::uint32_t>(checker.attemptCount(id));
      checker.attemptSent(now, known->gateway, id, number_, entry);
      job.work = known->work;
      job.key = known->key;
      job.hasKey = known->key != 0;
    } else if (requestClass) {
      job.work = requestClass->workCv > 0 ? random_.lognormal(requestClass->work, requestClass->workCv)
                                          : requestClass->work;
    }
    if (!requestClass)
      return session.reply(jsonResponse(404, "{\"error\":\"no such class\"}"));
    if (requestClass->attemptNoise > 0)
      job.work *= random_.lognormal(1, requestClass->attemptNoise);
    if (session.requests() == 1)
      job.work += platform_.day_.handshakeWork;
    job.attempt = ++attempts_;
    jobs_[job.attempt] = jobRequest;
    double informed = 0;
    if (server.overloadedWhileCold(now, job.work, true, platform_.scenario_.overloadMultiple,
                                   platform_.scenario_.overloadWindowMs / 1000, informed)) {
      if (platform_.observer_)
        platform_.observer_->checker().coldServerOverloaded(now, entry.address, informed);
      platform_.kill(number_);
      return;
    }
    if (draining || !server.offer(now, job))
      return reject(job.attempt);
    processCompletions();
  }
  static Duration deadlineOf(const Session::Request& request) {
    int ms = 0;
    const auto text = request["X-Deadline-Ms"];
    std::from_chars(text.data(), text.data() + text.size(), ms);
    return ms > 0 ? Duration(std::chrono::milliseconds(ms)) : Duration(std::chrono::seconds(10));
  }
  void reject(std::uint32_t attempt) {
    Response response = jsonResponse(503, "{\"error\":\"turned away\"}");
    response.set("X-Not-Run", "1");
    answer(attempt, Outcome::rejected, std::move(response));
  }
  void finish(const Server::CompletedJob& job) {
    if (job.dropped)
      return reject(job.attempt);
    const auto it = jobs_.find(job.attempt);
    if (it == jobs_.end())
      return;
    if (random_.chance(server.parameters().errorRate))
      return answer(job.attempt, Outcome::error, jsonResponse(500, "{\"error\":\"failed\"}"));
    const json body{{"id", hex(it->second.id)}, {"class", it->second.className}, {"server", entry.address}};
    answer(job.attempt, Outcome::served, jsonResponse(200, body.dump() + "\n"));
  }
  void answer(std::uint32_t attempt, Outcome outcome, Response response) {
    const auto it = jobs_.find(attempt);
    if (it == jobs_.end())
      return;
    const auto session = it->second.session.lock();
    end(attempt, outcome);
    if (!session || !session->open())
      return;
    if (unreachable)
      pendingResponses_.emplace_back(session, std::move(response));
    else
      session->reply(std::move(response));
  }
  void end(std::uint32_t attempt, Outcome outcome) {
    const auto it = jobs_.find(attempt);
    if (it == jobs_.end())
      return;
    if (platform_.observer_)
      platform_.observer_->checker().attemptEnded(it->second.id, it->second.attemptNumber, outcome);
    jobs_.erase(it);
  }
  void advancePeriodically() {
    advanceTimer_.expires_after(kAdvanceInterval);
    advanceTimer_.async_wait([this](error_code ec) {
      if (ec)
        return;
      processCompletions();
      advancePeriodically();
    });
  }

  Stream random_;
  ReservedPort port_;
  tcp::acceptor acceptor_;
  asio::steady_timer completionTimer_, advanceTimer_;
  std::vector<std::shared_ptr<Session>> sessions_;
  std::vector<std::pair<std::shared_ptr<Session>, Session::Request>> pendingRequests_;  // while unreachable
  std::vector<std::pair<std::shared_ptr<Session>, Response>> pendingResponses_;         // while unreachable
  std::deque<tcp::socket> queueFillers_;
  std::unordered_map<std::uint32_t, JobRequest> jobs_;  // by attempt
  std::uint32_t attempts_ = 0;
  bool accepting_ = false;
};

// --- Discovery -------------------------------------------------------------------------------------------

class DiscoveryAgent {
 public:
  DiscoveryAgent(Platform& platform, std::uint32_t number)
      : platform_(platform), number_(number), acceptor_(platform.io_, {asio::ip::address_v4::loopback(), 0}) {
    for (std::size_t i = 0; i < platform.servers_.size(); ++i)
      updateEntry(i);
    accept();
  }
  ~DiscoveryAgent() {
    for (const auto& watch : watches_)
      watch->session->close(false);
  }

  tcp::endpoint endpoint() const { return acceptor_.local_endpoint(); }

  void onServerChanged(std::size_t server) {
    if (updatesDelayed)
      return void(delayedUpdates_.push_back(server));
    updateEntry(server);
    if (!silent)
      notifyWatches();
  }
  void applyDelayedUpdates() {
    for (std::size_t server : std::exchange(delayedUpdates_, {}))
      updateEntry(server);
    if (!silent)
      notifyWatches();
  }
  void answerPendingRequests() {
    for (auto& [session, target] : std::exchange(pendingRequests_, {}))
      if (session->open())
        answer(session, target);
    notifyWatches();
  }
  void setHidden(std::size_t server, bool on) {
    hidden_[server] = on;
    onServerChanged(server);
  }

  bool silent = false, updatesDelayed = false;

 private:
  struct Entry {
    json target;
    EndpointState state = EndpointState::serving;
    std::uint64_t revision = 0;
  };
  struct Watch {
    std::shared_ptr<Session> session;
    std::uint64_t since;
    asio::steady_timer timer;
  };

  // Sets the server's entry to its present state.
  void updateEntry(std::size_t number) {
    const RecordServer& server = *platform_.servers_[number];
    const EndpointState state = hidden_[number] ? EndpointState::removed : server.entry.state;
    Entry& entry = list_[number];
    entry.state = state;
    entry.revision = ++revision_;
    entry.target = {{"uid", server.entry.address},
                    {"endpoint", textOf(server.endpoint())},
                    {"az", server.entry.zone},
                    {"model", server.entry.machineType},
                    {"pod_group", server.entry.cell},
                    {"state", state == EndpointState::serving    ? "SERVING"
                              : state == EndpointState::draining ? "DRAINING"
                                                                 : "DELETED"},
                    {"capacity_hint", 1.0},
                    {"boot_ms", server.bootMs}};
  }
  void accept() {
    acceptor_.async_accept([this](error_code ec, tcp::socket socket) {
      if (ec)
        return;
      auto session = std::make_shared<Session>(std::move(socket));
      session->onRequest = [this](Session& caller, Session::Request request) {
        const auto self = caller.shared_from_this();
        if (silent)
          pendingRequests_.emplace_back(self, request.target().to_string());
        else
          answer(self, request.target().to_string());
      };
      session->onClose = [this](Session& caller) {
        std::erase_if(watches_, [&](const auto& watch) { return watch->session.get() == &caller; });
      };
      session->read();
      accept();
    });
  }
  void answer(const std::shared_ptr<Session>& session, const std::string& target) {
    if (!target.starts_with("/discovery/hosts"))
      return session->reply(jsonResponse(404, "{}"));
    const std::string since = queryParameter(target, "since");
    if (since.empty())
      return sendList(session, 0, true);
    std::uint64_t from = 0;
    std::from_chars(since.data(), since.data() + since.size(), from);
    const int wait = std::clamp(std::atoi(queryParameter(target, "timeout_ms").c_str()), 0, 60000);
    if (from != revision_ || wait == 0)
      return sendList(session, from, from > revision_);
    auto watch = std::make_shared<Watch>(Watch{session, from, asio::steady_timer(platform_.io_)});
    watch->timer.expires_after(std::chrono::milliseconds(wait));
    watch->timer.async_wait([this, watch](error_code ec) {
      if (ec || std::erase(watches_, watch) == 0)
        return;
      sendList(watch->session, watch->since, false);
    });
    watches_.push_back(watch);
  }
  void notifyWatches() {
    for (const auto& watch : std::exchange(watches_, {})) {
      watch->timer.cancel();
      sendList(watch->session, watch->since, false);
    }
  }
  void sendList(const std::shared_ptr<Session>& session, std::uint64_t since, bool all) {
    json targets = json::array();
    std::vector<std::pair<std::uint32_t, EndpointState>> announced;
    for (const auto& [server, entry] : list_) {
      if (all ? entry.state == EndpointState::removed : entry.revision <= since)
        continue;
      targets.push_back(entry.target);
      announced.emplace_back(static_cast<std::uint32_t>(server), entry.state);
    }
    const json body{{"rev", revision_}, {"all", all}, {"targets", std::move(targets)}};
    session->reply(jsonResponse(200, body.dump()), [this, announced] {
      if (!platform_.observer_)
        return;
      for (const auto& [server, state] : announced)
        platform_.observer_->checker().endpointAnnounced(clockNow(), number_, server, state);
    });
  }

  Platform& platform_;
  std::uint32_t number_;
  tcp::acceptor acceptor_;
  std::map<std::size_t, Entry> list_;
  std::map<std::size_t, bool> hidden_;
  std::vector<std::size_t> delayedUpdates_;
  std::vector<std::shared_ptr<Watch>> watches_;
  std::vector<std::pair<std::shared_ptr<Session>, std::string>> pendingRequests_;  // while silent
  std::uint64_t revision_ = 0;
};

// --- Platform -------------------------------------------------------------------------------------------

Platform::Platform(asio::io_context& io, const Scenario& scenario, std::uint64_t seed,
                   AttemptObserver* observer)
    : io_(io),
      scenario_(scenario),
      seed_(seed),
      observer_(observer),
      day_(scenario, seed),
      fleet_(scenario, seed),
      noticeDelays_(seed, "notices") {
  for (std::size_t i = 0; i < fleet_.kindOf.size(); ++i) {
    const auto zone = static_cast<std::uint32_t>(i % scenario.zones.size());
    servers_.push_back(std::make_unique<RecordServer>(
        *this, static_cast<std::uint32_t>(i),
        drawMachine(scenario, seed, fleet_, day_.chokesEnabled, static_cast<std::uint32_t>(i),
                    fleet_.kindOf[i], zone, i / fleet_.cellSize)));
  }
}

Platform::~Platform() = default;

tcp::endpoint Platform::addAgent() {
  agents_.push_back(std::make_unique<DiscoveryAgent>(*this, static_cast<std::uint32_t>(agents_.size())));
  return agents_.back()->endpoint();
}

const std::string& Platform::zoneOf(std::size_t server) const {
  return servers_[server]->entry.zone;
}

void Platform::setSlowdown(std::size_t server, double factor) {
  servers_[server]->server.setSlowdown(clockNow(), std::max(factor, 1.0));
  servers_[server]->processCompletions();
}

void Platform::choke(std::size_t server) {
  servers_[server]->server.forceChoke(clockNow());
}

void Platform::kill(std::size_t server) {
  if (!servers_[server]->up)
    return;
  servers_[server]->kill();
  servers_[server]->entry.state = EndpointState::removed;
  publish(server);
}

void Platform::start(std::size_t server) {
  if (servers_[server]->up)
    return;
  servers_[server]->start();
  publish(server);
}

void Platform::setUnreachable(std::size_t server, bool on) {
  servers_[server]->setUnreachable(on);
}

void Platform::drain(std::size_t server) {
  servers_[server]->entry.state = EndpointState::draining;
  servers_[server]->draining = true;
  publish(server);
}

void Platform::setAgentSilent(std::size_t agent, bool on) {
  agents_[agent]->silent = on;
  if (!on)
    agents_[agent]->answerPendingRequests();
}

void Platform::delayUpdates(std::size_t agent, bool on) {
  agents_[agent]->updatesDelayed = on;
  if (!on)
    agents_[agent]->applyDelayedUpdates();
}

void Platform::hideServer(std::size_t agent, std::size_t server) {
  agents_[agent]->setHidden(server, true);
}
void Platform::showServer(std::size_t agent, std::size_t server) {
  agents_[agent]->setHidden(server, false);
}

void Platform::publish(std::size_t server) {
  const double noticeS = servers_[server]->entry.state == EndpointState::serving
                             ? scenario_.additionNoticeS.draw(noticeDelays_)
                             : scenario_.removalNoticeS.draw(noticeDelays_);
  for (const auto& agent : agents_) {
    auto timer = std::make_shared<asio::steady_timer>(io_);
    timer->expires_after(seconds(
        noticeS + noticeDelays_.exponential(scenario_.notificationSpreadMs.draw(noticeDelays_) / 1000)));
    timer->async_wait([timer, server, agent = agent.get()](error_code ec) {
      if (!ec)
        agent->onServerChanged(server);
    });
  }
}

std::size_t Platform::requestsInFlight() const {
  std::size_t sum = 0;
  for (const auto& server : servers_)
    sum += server->server.inFlight();
  return sum;
}

std::string Platform::stateLine() const {
  std::string line;
  for (const auto& server : servers_)
    line += (line.empty() ? "" : " ") + std::to_string(server->server.inFlight()) +
            (!server->up               ? "x"
             : server->unreachable     ? "?"
             : server->draining        ? "d"
             : server->server.choked() ? "!"
                                       : "");
  return line;
}

namespace {

struct HttpGet : std::enable_shared_from_this<HttpGet> {
  explicit HttpGet(asio::io_context& io) : socket(io), timer(io) {}
  void end(int status, std::string body) {
    if (!done)
      return;
    const auto callback = std::exchange(done, nullptr);
    error_code ignored;
    socket.close(ignored);
    timer.cancel();
    callback(status, std::move(body));
  }
  tcp::socket socket;
  asio::steady_timer timer;
  boost::beast::flat_buffer buffer;
  http::request<http::empty_body> request;
  http::response<http::string_body> response;
  std::function<void(int, std::string)> done;
};

}  // namespace

void httpGet(asio::io_context& io, const tcp::endpoint& endpoint, const std::string& target, Duration timeout,
             std::function<void(int, std::string)> done) {
  auto get = std::make_shared<HttpGet>(io);
  get->done = std::move(done);
  get->request = {http::verb::get, target, 11};
  get->request.set(http::field::host, textOf(endpoint));
  get->timer.expires_after(timeout);
  get->timer.async_wait([get](error_code ec) {
    if (!ec)
      get->end(0, {});
  });
  get->socket.async_connect(endpoint, [get](error_code ec) {
    if (ec)
      return get->end(0, {});
    http::async_write(get->socket, get->request, [get](error_code failed, std::size_t) {
      if (failed)
        return get->end(0, {});
      http::async_read(get->socket, get->buffer, get->response, [get](error_code bad, std::size_t) {
        if (bad)
          return get->end(0, {});
        get->end(static_cast<int>(get->response.result_int()), get->response.body());
      });
    });
  });
}

}  // namespace hollyrun::lab
