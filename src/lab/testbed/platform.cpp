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

constexpr Time kOffset = std::chrono::hours(24);
constexpr Duration kTick = std::chrono::milliseconds(50);  // a choke ends, a cold server warms without events
constexpr std::uint64_t kBodyMost = 32 << 20;

using Response = http::response<http::string_body>;

Response response(int status, std::string body) {
  Response r{static_cast<http::status>(status), 11};
  r.set(http::field::content_type, "application/json");
  r.body() = std::move(body);
  r.prepare_payload();
  return r;
}

std::string query(const std::string& target, const std::string& name) {
  const auto at = target.find(name + "=");
  if (at == std::string::npos)
    return {};
  const auto from = at + name.size() + 1;
  return target.substr(from, target.find('&', from) - from);
}

std::uint64_t hexOf(boost::beast::string_view text) {
  std::uint64_t value = 0;
  const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), value, 16);
  return error == std::errc{} && end == text.data() + text.size() ? value : 0;
}

// A connection that a part of the platform accepted: hands over whole requests, tells when the other side has
// closed or ended its sending, and writes what it is given in order.
class Session : public std::enable_shared_from_this<Session> {
 public:
  using Request = http::request<http::string_body>;
  std::function<void(Session&, Request)> onRequest;
  std::function<void(Session&)> onClose;

  explicit Session(tcp::socket socket) : socket_(std::move(socket)) {}

  void read() {
    parser_.emplace();
    parser_->body_limit(kBodyMost);
    http::async_read(socket_, buffer_, *parser_, [self = shared_from_this()](error_code ec, std::size_t) {
      if (!self->open_)
        return;
      if (ec)
        return self->gone();
      Request request = self->parser_->release();
      ++self->requests_;
      self->read();  // goes on at once, so that the other side's leaving is seen
      if (self->onRequest)
        self->onRequest(*self, std::move(request));
    });
  }
  /// `written` is called once the answer's last byte is.
  void reply(Response r, std::function<void()> written = {}) {
    out_.emplace_back(std::move(r), std::move(written));
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
  void gone() {
    const auto callback = onClose;
    const auto self = shared_from_this();
    close(false);
    if (callback)
      callback(*this);
  }
  void write() {
    http::async_write(socket_, out_.front().first, [self = shared_from_this()](error_code ec, std::size_t) {
      const auto written = std::move(self->out_.front().second);
      self->out_.pop_front();
      if (ec || !self->open_)
        return;
      if (written)
        written();
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
  return std::chrono::steady_clock::now().time_since_epoch() + kOffset;
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
        draw_(platform.seed_, "answers", number),
        port_(platform.io_),
        acceptor_(platform.io_),
        timer_(platform.io_),
        tick_(platform.io_) {
    server.advance(clockNow());
    listen();
    tick();
  }

  tcp::endpoint endpoint() const { return port_.endpoint(); }

  void kill() {
    up = false;
    error_code ignored;
    acceptor_.close(ignored);
    for (const auto& s : std::exchange(sessions_, {}))
      s->close(true);
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
  // Danger: while this machine is silent the kernel would still accept for it. A queue of one that the
  // testbed itself keeps full makes new connections hang as they do with a machine that is away.
  void cut(bool on) {
    silent = on;
    if (!acceptor_.is_open())
      return;
    ::listen(acceptor_.native_handle(), on ? 0 : SOMAXCONN);
    fillers_.clear();
    for (int i = 0; on && i < 2; ++i) {
      fillers_.emplace_back(platform_.io_);
      fillers_.back().async_connect(endpoint(), [](error_code) {});
    }
    if (on)
      return;
    resetWaiting();
    accept();
    for (auto& [session, request] : std::exchange(unheard_, {}))
      if (session->open())
        serve(*session, std::move(request));
    for (auto& [session, r] : std::exchange(unsaid_, {}))
      session->reply(std::move(r));
  }
  void settle() {  // what has ended by now, and when to look again
    const Time now = clockNow();
    server.advance(now);
    for (const Server::CompletedJob& e : std::exchange(server.completed(), {}))
      finish(e);
    if (const auto next = server.nextCompletion()) {
      timer_.expires_after(std::max(*next - now, Duration(0)));
      timer_.async_wait([this](error_code ec) {
        if (!ec)
          settle();
      });
    }
  }

  bool up = true, draining = false, silent = false;
  std::int64_t bootMs = 0;

 private:
  Platform& platform_;
  std::uint32_t number_;

 public:
  Endpoint entry;
  Server server;

 private:
  struct Held {
    std::weak_ptr<Session> session;
    std::uint64_t id = 0;
    std::uint32_t number = 0;  // of the request's attempts
    std::string cls;
  };

  void listen() {
    acceptor_.open(tcp::v4());
    acceptor_.set_option(tcp::acceptor::reuse_address(true));
    acceptor_.bind(endpoint());
    acceptor_.listen();
    accept();
  }
  // What came while the machine was away is reset as it is back.
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
    if (silent || accepting_)
      return;
    accepting_ = true;
    acceptor_.async_accept([this](error_code ec, tcp::socket socket) {
      accepting_ = false;
      if (ec)
        return;
      // Danger: what was accepted as the silence began belongs to it: it comes up and hears nothing.
      const bool full = static_cast<double>(server.connections) >= server.parameters().connectionCap;
      if (!full) {
        auto session = std::make_shared<Session>(std::move(socket));
        session->onRequest = [this](Session& s, Session::Request r) { asked(s, std::move(r)); };
        session->onClose = [this](Session& s) { left(s); };
        sessions_.push_back(session);
        ++server.connections;
        session->read();
      }
      accept();
    });
  }
  void left(Session& session) {
    std::erase_if(sessions_, [&](const auto& s) { return s.get() == &session; });
    server.connections -= std::min<std::size_t>(server.connections, 1);
    for (const auto& [attempt, held] : jobs_)
      if (held.session.lock().get() == &session)
        server.cancel(attempt);
  }
  void asked(Session& session, Session::Request request) {
    if (silent)
      unheard_.emplace_back(session.shared_from_this(), std::move(request));
    else
      serve(session, std::move(request));
  }
  void serve(Session& session, Session::Request request) {
    const Time now = clockNow();
    if (request.count("X-Request-Id") == 0)
      return session.reply(response(404, "{\"error\":\"no id\"}"));
    const std::uint64_t id = hexOf(request["X-Request-Id"]);
    Held held{session.weak_from_this(), id, 0, {}};
    const std::string target = request.target().to_string();
    held.cls = target.substr(0, target.find_first_of("/?", 1)).substr(target.empty() ? 0 : 1);
    const DrawnClass* cls = nullptr;
    for (const DrawnClass& c : platform_.day_.classes)
      if (c.settings.name == held.cls)
        cls = &c;
    Job job;
    job.deadline = now + deadlineOf(request);
    if (platform_.observer_) {
      const OnTheWire* known = platform_.observer_->find(id);
      Checker& checker = platform_.observer_->checker();
      if (!known) {
        checker.addBreach(Rule::duplicate, now, id, entry.address, "no client sent this request");
        return session.reply(response(400, "{\"error\":\"no such request\"}"));
      }
      held.number = static_cast<std::uint32_t>(checker.attemptCount(id));
      checker.attemptSent(now, known->gateway, id, number_, entry);
      job.work = known->work;
      job.key = known->key;
      job.hasKey = known->key != 0;
    } else if (cls) {
      job.work = cls->workCv > 0 ? draw_.lognormal(cls->work, cls->workCv) : cls->work;
    }
    if (!cls)
      return session.reply(response(404, "{\"error\":\"no such class\"}"));
    if (cls->attemptNoise > 0)
      job.work *= draw_.lognormal(1, cls->attemptNoise);
    if (session.requests() == 1)
      job.work += platform_.day_.handshakeWork;
    job.attempt = ++attempts_;
    jobs_[job.attempt] = held;
    double informed = 0;
    if (server.overloadedWhileCold(now, job.work, true, platform_.scenario_.overloadMultiple,
                                   platform_.scenario_.overloadWindowMs / 1000, informed)) {
      if (platform_.observer_)
        platform_.observer_->checker().coldServerOverloaded(now, entry.address, informed);
      platform_.kill(number_);
      return;
    }
    if (draining || !server.offer(now, job))
      return turnAway(job.attempt);
    settle();
  }
  static Duration deadlineOf(const Session::Request& request) {
    int ms = 0;
    const auto text = request["X-Deadline-Ms"];
    std::from_chars(text.data(), text.data() + text.size(), ms);
    return ms > 0 ? Duration(std::chrono::milliseconds(ms)) : Duration(std::chrono::seconds(10));
  }
  void turnAway(std::uint32_t attempt) {
    Response r = response(503, "{\"error\":\"turned away\"}");
    r.set("X-Not-Run", "1");
    answer(attempt, Outcome::rejected, std::move(r));
  }
  void finish(const Server::CompletedJob& e) {
    if (e.dropped)
      return turnAway(e.attempt);
    const auto it = jobs_.find(e.attempt);
    if (it == jobs_.end())
      return;
    if (draw_.chance(server.parameters().errorRate))
      return answer(e.attempt, Outcome::error, response(500, "{\"error\":\"failed\"}"));
    const json body{{"id", hex(it->second.id)}, {"class", it->second.cls}, {"server", entry.address}};
    answer(e.attempt, Outcome::served, response(200, body.dump() + "\n"));
  }
  void answer(std::uint32_t attempt, Outcome outcome, Response r) {
    const auto it = jobs_.find(attempt);
    if (it == jobs_.end())
      return;
    const auto session = it->second.session.lock();
    end(attempt, outcome);
    if (!session || !session->open())
      return;
    if (silent)
      unsaid_.emplace_back(session, std::move(r));
    else
      session->reply(std::move(r));
  }
  void end(std::uint32_t attempt, Outcome outcome) {
    const auto it = jobs_.find(attempt);
    if (it == jobs_.end())
      return;
    if (platform_.observer_)
      platform_.observer_->checker().attemptEnded(it->second.id, it->second.number, outcome);
    jobs_.erase(it);
  }
  void tick() {
    tick_.expires_after(kTick);
    tick_.async_wait([this](error_code ec) {
      if (ec)
        return;
      settle();
      tick();
    });
  }

  Stream draw_;
  ReservedPort port_;
  tcp::acceptor acceptor_;
  asio::steady_timer timer_, tick_;
  std::vector<std::shared_ptr<Session>> sessions_;
  std::vector<std::pair<std::shared_ptr<Session>, Session::Request>> unheard_;
  std::vector<std::pair<std::shared_ptr<Session>, Response>> unsaid_;
  std::deque<tcp::socket> fillers_;
  std::unordered_map<std::uint32_t, Held> jobs_;  // by attempt
  std::uint32_t attempts_ = 0;
  bool accepting_ = false;
};

// --- Discovery -------------------------------------------------------------------------------------------

class Agent {
 public:
  Agent(Platform& platform, std::uint32_t number)
      : platform_(platform), number_(number), acceptor_(platform.io_, {asio::ip::address_v4::loopback(), 0}) {
    for (std::size_t i = 0; i < platform.servers_.size(); ++i)
      note(i);
    accept();
  }
  ~Agent() {
    for (const auto& w : watches_)
      w->session->close(false);
  }

  tcp::endpoint endpoint() const { return acceptor_.local_endpoint(); }

  void learn(std::size_t server) {
    if (held)
      return void(later_.push_back(server));
    note(server);
    if (!silent)
      tellWatches();
  }
  void release() {
    for (std::size_t server : std::exchange(later_, {}))
      note(server);
    if (!silent)
      tellWatches();
  }
  void speak() {
    for (auto& [session, target] : std::exchange(unheard_, {}))
      if (session->open())
        answer(session, target);
    tellWatches();
  }
  void hide(std::size_t server, bool on) {
    hidden_[server] = on;
    learn(server);
  }

  bool silent = false, held = false;

 private:
  struct Entry {
    json text;
    EndpointState state = EndpointState::serving;
    std::uint64_t rev = 0;
  };
  struct Watch {
    std::shared_ptr<Session> session;
    std::uint64_t since;
    asio::steady_timer timer;
  };

  void note(std::size_t server) {  // as it stands now
    const RecordServer& r = *platform_.servers_[server];
    const EndpointState state = hidden_[server] ? EndpointState::removed : r.entry.state;
    Entry& e = list_[server];
    e.state = state;
    e.rev = ++rev_;
    e.text = {{"uid", r.entry.address},
              {"endpoint", textOf(r.endpoint())},
              {"az", r.entry.zone},
              {"model", r.entry.machineType},
              {"pod_group", r.entry.cell},
              {"state", state == EndpointState::serving    ? "SERVING"
                        : state == EndpointState::draining ? "DRAINING"
                                                           : "DELETED"},
              {"capacity_hint", 1.0},
              {"boot_ms", r.bootMs}};
  }
  void accept() {
    acceptor_.async_accept([this](error_code ec, tcp::socket socket) {
      if (ec)
        return;
      auto session = std::make_shared<Session>(std::move(socket));
      session->onRequest = [this](Session& s, Session::Request r) {
        const auto self = s.shared_from_this();
        if (silent)
          unheard_.emplace_back(self, r.target().to_string());
        else
          answer(self, r.target().to_string());
      };
      session->onClose = [this](Session& s) {
        std::erase_if(watches_, [&](const auto& w) { return w->session.get() == &s; });
      };
      session->read();
      accept();
    });
  }
  void answer(const std::shared_ptr<Session>& session, const std::string& target) {
    if (!target.starts_with("/discovery/hosts"))
      return session->reply(response(404, "{}"));
    const std::string since = query(target, "since");
    if (since.empty())
      return tell(session, 0, true);
    std::uint64_t from = 0;
    std::from_chars(since.data(), since.data() + since.size(), from);
    const int wait = std::clamp(std::atoi(query(target, "timeout_ms").c_str()), 0, 60000);
    if (from != rev_ || wait == 0)
      return tell(session, from, from > rev_);
    auto watch = std::make_shared<Watch>(Watch{session, from, asio::steady_timer(platform_.io_)});
    watch->timer.expires_after(std::chrono::milliseconds(wait));
    watch->timer.async_wait([this, watch](error_code ec) {
      if (ec || std::erase(watches_, watch) == 0)
        return;
      tell(watch->session, watch->since, false);
    });
    watches_.push_back(watch);
  }
  void tellWatches() {
    for (const auto& watch : std::exchange(watches_, {})) {
      watch->timer.cancel();
      tell(watch->session, watch->since, false);
    }
  }
  void tell(const std::shared_ptr<Session>& session, std::uint64_t since, bool all) {
    json targets = json::array();
    std::vector<std::pair<std::uint32_t, EndpointState>> told;
    for (const auto& [server, e] : list_) {
      if (all ? e.state == EndpointState::removed : e.rev <= since)
        continue;
      targets.push_back(e.text);
      told.emplace_back(static_cast<std::uint32_t>(server), e.state);
    }
    const json body{{"rev", rev_}, {"all", all}, {"targets", std::move(targets)}};
    session->reply(response(200, body.dump()), [this, told] {
      if (!platform_.observer_)
        return;
      for (const auto& [server, state] : told)
        platform_.observer_->checker().endpointAnnounced(clockNow(), number_, server, state);
    });
  }

  Platform& platform_;
  std::uint32_t number_;
  tcp::acceptor acceptor_;
  std::map<std::size_t, Entry> list_;
  std::map<std::size_t, bool> hidden_;
  std::vector<std::size_t> later_;
  std::vector<std::shared_ptr<Watch>> watches_;
  std::vector<std::pair<std::shared_ptr<Session>, std::string>> unheard_;
  std::uint64_t rev_ = 0;
};

// --- The whole -------------------------------------------------------------------------------------------

Platform::Platform(asio::io_context& io, const Scenario& scenario, std::uint64_t seed,
                   AttemptObserver* observer)
    : io_(io),
      scenario_(scenario),
      seed_(seed),
      observer_(observer),
      day_(scenario, seed),
      fleet_(scenario, seed),
      notices_(seed, "notices") {
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
  agents_.push_back(std::make_unique<Agent>(*this, static_cast<std::uint32_t>(agents_.size())));
  return agents_.back()->endpoint();
}

const std::string& Platform::zoneOf(std::size_t server) const {
  return servers_[server]->entry.zone;
}

void Platform::slow(std::size_t server, double factor) {
  servers_[server]->server.setSlowdown(clockNow(), std::max(factor, 1.0));
  servers_[server]->settle();
}

void Platform::jam(std::size_t server) {
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

void Platform::cut(std::size_t server, bool on) {
  servers_[server]->cut(on);
}

void Platform::drain(std::size_t server) {
  servers_[server]->entry.state = EndpointState::draining;
  servers_[server]->draining = true;
  publish(server);
}

void Platform::silence(std::size_t agent, bool on) {
  agents_[agent]->silent = on;
  if (!on)
    agents_[agent]->speak();
}

void Platform::hold(std::size_t agent, bool on) {
  agents_[agent]->held = on;
  if (!on)
    agents_[agent]->release();
}

void Platform::forgetFor(std::size_t agent, std::size_t server) {
  agents_[agent]->hide(server, true);
}
void Platform::recall(std::size_t agent, std::size_t server) {
  agents_[agent]->hide(server, false);
}

void Platform::publish(std::size_t server) {
  const double lag = servers_[server]->entry.state == EndpointState::serving
                         ? scenario_.additionNoticeS.draw(notices_)
                         : scenario_.removalNoticeS.draw(notices_);
  for (const auto& agent : agents_) {
    auto timer = std::make_shared<asio::steady_timer>(io_);
    timer->expires_after(
        seconds(lag + notices_.exponential(scenario_.notificationSpreadMs.draw(notices_) / 1000)));
    timer->async_wait([timer, server, a = agent.get()](error_code ec) {
      if (!ec)
        a->learn(server);
    });
  }
}

std::size_t Platform::requestsInFlight() const {
  std::size_t sum = 0;
  for (const auto& s : servers_)
    sum += s->server.inFlight();
  return sum;
}

std::string Platform::stateLine() const {
  std::string line;
  for (const auto& s : servers_)
    line += (line.empty() ? "" : " ") + std::to_string(s->server.inFlight()) +
            (!s->up               ? "x"
             : s->silent          ? "?"
             : s->draining        ? "d"
             : s->server.choked() ? "!"
                                  : "");
  return line;
}

namespace {

struct Asking : std::enable_shared_from_this<Asking> {
  explicit Asking(asio::io_context& io) : socket(io), timer(io) {}
  void end(int status, std::string body) {
    if (!done)
      return;
    const auto call = std::exchange(done, nullptr);
    error_code ignored;
    socket.close(ignored);
    timer.cancel();
    call(status, std::move(body));
  }
  tcp::socket socket;
  asio::steady_timer timer;
  boost::beast::flat_buffer buffer;
  http::request<http::empty_body> request;
  http::response<http::string_body> answer;
  std::function<void(int, std::string)> done;
};

}  // namespace

void httpGet(asio::io_context& io, const tcp::endpoint& to, const std::string& target, Duration wait,
             std::function<void(int, std::string)> done) {
  auto a = std::make_shared<Asking>(io);
  a->done = std::move(done);
  a->request = {http::verb::get, target, 11};
  a->request.set(http::field::host, textOf(to));
  a->timer.expires_after(wait);
  a->timer.async_wait([a](error_code ec) {
    if (!ec)
      a->end(0, {});
  });
  a->socket.async_connect(to, [a](error_code ec) {
    if (ec)
      return a->end(0, {});
    http::async_write(a->socket, a->request, [a](error_code failed, std::size_t) {
      if (failed)
        return a->end(0, {});
      http::async_read(a->socket, a->buffer, a->answer, [a](error_code bad, std::size_t) {
        if (bad)
          return a->end(0, {});
        a->end(static_cast<int>(a->answer.result_int()), a->answer.body());
      });
    });
  });
}

}  // namespace hollyrun::lab
