#include "lab/report/store.hpp"

#include <sqlite3.h>

#include <cstring>
#include <stdexcept>

namespace hollyrun::lab {
namespace {

constexpr const char* kTables = R"(
  CREATE TABLE IF NOT EXISTS runs (id INTEGER PRIMARY KEY, label TEXT NOT NULL, at TEXT NOT NULL,
    scenario TEXT, policy TEXT, seed INTEGER, g REAL, whole REAL, worst_window REAL, worst_at REAL,
    worst_class REAL,
    price_cross_zone REAL, price_waste REAL, price_late_fail REAL, price_handshake REAL, price_choke REAL,
    calls INTEGER, tries INTEGER, attempts INTEGER, connections INTEGER, events INTEGER,
    refused REAL, failed REAL, choked REAL, p50 REAL, p90 REAL, p99 REAL);
  CREATE TABLE IF NOT EXISTS classes (run INTEGER REFERENCES runs, name TEXT, asked REAL, served REAL,
    calls INTEGER, in_time INTEGER, late INTEGER, refused INTEGER, failed INTEGER);
  CREATE TABLE IF NOT EXISTS seconds (run INTEGER REFERENCES runs, second INTEGER, asked REAL, in_time REAL,
    late REAL, calls INTEGER, tries INTEGER, refused INTEGER, failed INTEGER, attempts INTEGER, full INTEGER,
    timeouts INTEGER, connect_failed INTEGER, resets INTEGER, errors INTEGER, cutoff REAL,
    p50 REAL, p99 REAL);
  CREATE TABLE IF NOT EXISTS servers (run INTEGER REFERENCES runs, number INTEGER, address TEXT, zone TEXT,
    kind TEXT, cores REAL, speed REAL, held BLOB, states BLOB);
  CREATE TABLE IF NOT EXISTS chokes (run INTEGER REFERENCES runs, server INTEGER, begins REAL, ends REAL,
    held REAL);
  CREATE TABLE IF NOT EXISTS breaches (run INTEGER REFERENCES runs, rule TEXT, at REAL, request INTEGER,
    server TEXT, what TEXT);
  CREATE TABLE IF NOT EXISTS happened (run INTEGER REFERENCES runs, text TEXT);
  CREATE TABLE IF NOT EXISTS digests (run INTEGER PRIMARY KEY REFERENCES runs, digest INTEGER);
  CREATE INDEX IF NOT EXISTS runs_by_label ON runs (label);
  CREATE TABLE IF NOT EXISTS scale_runs (id INTEGER PRIMARY KEY, label TEXT NOT NULL, at TEXT NOT NULL,
    dimension TEXT, command TEXT);
  CREATE TABLE IF NOT EXISTS scale_steps (id INTEGER PRIMARY KEY, run INTEGER REFERENCES scale_runs,
    size REAL, round INTEGER, voided TEXT);
  CREATE TABLE IF NOT EXISTS scale_figures (step INTEGER REFERENCES scale_steps, name TEXT, value REAL);
)";

[[noreturn]] void raise(sqlite3* db, const std::string& what) {
  throw std::runtime_error(what + ": " + (db ? sqlite3_errmsg(db) : "no memory"));
}

// A prepared statement; values are bound and columns read in their order.
class Statement {
 public:
  Statement(sqlite3* db, const char* text) : db_(db) {
    if (sqlite3_prepare_v2(db, text, -1, &statement_, nullptr) != SQLITE_OK)
      raise(db, text);
  }
  ~Statement() { sqlite3_finalize(statement_); }
  Statement(const Statement&) = delete;
  Statement& operator=(const Statement&) = delete;

  Statement& bind(double v) { return check(sqlite3_bind_double(statement_, ++bound_, v)); }
  Statement& bind(std::int64_t v) { return check(sqlite3_bind_int64(statement_, ++bound_, v)); }
  Statement& bind(std::uint64_t v) { return bind(static_cast<std::int64_t>(v)); }
  Statement& bind(std::uint32_t v) { return bind(static_cast<std::int64_t>(v)); }
  Statement& bind(const std::string& v) {
    return check(
        sqlite3_bind_text(statement_, ++bound_, v.c_str(), static_cast<int>(v.size()), SQLITE_TRANSIENT));
  }
  Statement& blob(const void* data, std::size_t size) {
    return check(sqlite3_bind_blob(statement_, ++bound_, data, static_cast<int>(size), SQLITE_TRANSIENT));
  }
  template <class... Values>
  void insert(const Values&... values) {
    (bind(values), ...);
    finish();
  }
  void finish() {
    if (sqlite3_step(statement_) != SQLITE_DONE)
      raise(db_, "could not be written");
    sqlite3_reset(statement_);
    bound_ = 0;
  }
  bool row() {
    column_ = 0;
    const int state = sqlite3_step(statement_);
    if (state != SQLITE_ROW && state != SQLITE_DONE)
      raise(db_, "could not be read");
    return state == SQLITE_ROW;
  }
  void read(double& v) { v = sqlite3_column_double(statement_, column_++); }
  void read(std::int64_t& v) { v = sqlite3_column_int64(statement_, column_++); }
  void read(std::uint64_t& v) { v = static_cast<std::uint64_t>(sqlite3_column_int64(statement_, column_++)); }
  void read(std::uint32_t& v) { v = static_cast<std::uint32_t>(sqlite3_column_int64(statement_, column_++)); }
  void read(std::string& v) {
    const auto* text = reinterpret_cast<const char*>(sqlite3_column_text(statement_, column_++));
    v = text ? text : "";
  }
  template <class Value>
  void readBlob(std::vector<Value>& v) {
    const auto size = static_cast<std::size_t>(sqlite3_column_bytes(statement_, column_));
    const void* data = sqlite3_column_blob(statement_, column_++);
    v.resize(size / sizeof(Value));
    if (!v.empty())
      std::memcpy(v.data(), data, v.size() * sizeof(Value));
  }
  template <class... Values>
  void columns(Values&... values) {
    (read(values), ...);
  }

 private:
  Statement& check(int state) {
    if (state != SQLITE_OK)
      raise(db_, "bind");
    return *this;
  }
  sqlite3* db_;
  sqlite3_stmt* statement_ = nullptr;
  int bound_ = 0, column_ = 0;
};

constexpr const char* kRunColumns =
    "id, label, at, scenario, policy, seed, g, whole, worst_window, worst_at, worst_class, price_cross_zone, "
    "price_waste, price_late_fail, price_handshake, price_choke, calls, tries, attempts, connections, "
    "events, refused, failed, choked, p50, p90, p99, "
    "(SELECT digest FROM digests WHERE run = id)";  // none in files of before: 0

StoredRun readRun(Statement& in) {
  StoredRun s;
  Result& r = s.result;
  in.columns(s.id, s.label, s.at, r.scenario, r.policy, r.seed, r.score, r.goodput, r.worstWindowGoodput,
             r.worstWindowStartS, r.worstClassGoodput, r.priceCrossZone, r.priceWaste, r.priceLateFail,
             r.priceHandshake, r.priceChoke, r.calls, r.requests, r.attempts, r.connections, r.events,
             r.rejectedShare, r.failedShare, r.chokedShare, r.p50, r.p90, r.p99, r.digest);
  return s;
}

Rule ruleNamed(const std::string& name) {
  for (Rule rule : {Rule::lost, Rule::duplicate, Rule::drain, Rule::fall})
    if (name == nameOf(rule))
      return rule;
  throw std::runtime_error("the file names an unknown rule, " + name);
}

}  // namespace

void Store::Close::operator()(sqlite3* db) const {
  sqlite3_close(db);
}

Store::Store(const std::string& file) {
  sqlite3* db = nullptr;
  const int state = sqlite3_open(file.c_str(), &db);
  db_.reset(db);
  if (state != SQLITE_OK)
    raise(db, file);
  sqlite3_busy_timeout(db, 5000);
  execute(kTables);
}

Store::~Store() = default;

void Store::execute(const char* text) {
  if (sqlite3_exec(db_.get(), text, nullptr, nullptr, nullptr) != SQLITE_OK)
    raise(db_.get(), "results");
}

void Store::put(const std::string& label, const std::vector<Result>& results, bool series) {
  sqlite3* db = db_.get();
  execute("BEGIN IMMEDIATE");
  try {
    Statement run(db,
                  "INSERT INTO runs VALUES (NULL, ?, strftime('%Y-%m-%dT%H:%M:%SZ', 'now'), "
                  "?,?,?,?,?,?,?,?,?,?,?,?,?,?,?,?,?,?,?,?,?,?,?,?)");
    Statement cls(db, "INSERT INTO classes VALUES (?,?,?,?,?,?,?,?,?)");
    Statement second(db, "INSERT INTO seconds VALUES (?,?,?,?,?,?,?,?,?,?,?,?,?,?,?,?,?,?)");
    Statement server(db, "INSERT INTO servers VALUES (?,?,?,?,?,?,?,?,?)");
    Statement choke(db, "INSERT INTO chokes VALUES (?,?,?,?,?)");
    Statement breach(db, "INSERT INTO breaches VALUES (?,?,?,?,?,?)");
    Statement happened(db, "INSERT INTO happened VALUES (?,?)");
    Statement digest(db, "INSERT INTO digests VALUES (?,?)");
    for (const Result& r : results) {
      run.insert(label, r.scenario, r.policy, r.seed, r.score, r.goodput, r.worstWindowGoodput,
                 r.worstWindowStartS, r.worstClassGoodput, r.priceCrossZone, r.priceWaste, r.priceLateFail,
                 r.priceHandshake, r.priceChoke, r.calls, r.requests, r.attempts, r.connections, r.events,
                 r.rejectedShare, r.failedShare, r.chokedShare, r.p50, r.p90, r.p99);
      const std::int64_t id = sqlite3_last_insert_rowid(db);
      digest.insert(id, r.digest);
      for (const ClassRecord& c : r.classes)
        cls.insert(id, c.name, c.offeredValue, c.servedValue, c.calls, c.inTime, c.late, c.rejected,
                   c.failed);
      for (std::size_t i = 0; i < r.seconds.size(); ++i) {
        const Second& s = r.seconds[i];
        second.insert(id, static_cast<std::int64_t>(i), s.offeredValue, s.inTimeValue, s.lateValue, s.calls,
                      s.requests, s.rejected, s.failed, s.attempts, s.rejectedAttempts, s.timeouts,
                      s.connectFailed, s.resets, s.errors, s.sheddingThreshold, s.p50, s.p99);
      }
      for (std::size_t i = 0; i < r.servers.size(); ++i) {
        const ServerRecord& s = r.servers[i];
        const auto number = static_cast<std::int64_t>(i);
        if (series) {
          server.bind(id).bind(number).bind(s.address).bind(s.zone).bind(s.kind).bind(s.cores).bind(s.speed);
          server.blob(s.inFlight.data(), s.inFlight.size() * sizeof(float));
          server.blob(s.states.data(), s.states.size() * sizeof(ServerState));
          server.finish();
        }
        for (const Server::Choke& c : s.chokes)
          choke.insert(id, number, inSeconds(c.from), inSeconds(c.to), c.inFlightPerCore);
      }
      for (const Breach& b : r.breaches)
        breach.insert(id, std::string(nameOf(b.rule)), inSeconds(b.at), b.request, b.server, b.what);
      for (const std::string& text : r.timeline)
        happened.insert(id, text);
    }
    execute("COMMIT");
  } catch (...) {
    sqlite3_exec(db, "ROLLBACK", nullptr, nullptr, nullptr);
    throw;
  }
}

std::vector<StoredRun> Store::runs(const std::string& label) {
  const std::string text =
      std::string("SELECT ") + kRunColumns + " FROM runs WHERE ?1 = '' OR label = ?1 ORDER BY id";
  Statement in(db_.get(), text.c_str());
  in.bind(label);
  std::vector<StoredRun> all;
  while (in.row())
    all.push_back(readRun(in));
  return all;
}

StoredRun Store::run(std::int64_t id) {
  sqlite3* db = db_.get();
  Statement in(db, (std::string("SELECT ") + kRunColumns + " FROM runs WHERE id = ?").c_str());
  in.bind(id);
  if (!in.row())
    throw std::runtime_error("there is no run " + std::to_string(id));
  StoredRun s = readRun(in);
  Result& r = s.result;
  Statement classes(
      db, "SELECT name, asked, served, calls, in_time, late, refused, failed FROM classes WHERE run = ?");
  classes.bind(id);
  while (classes.row()) {
    ClassRecord c;
    classes.columns(c.name, c.offeredValue, c.servedValue, c.calls, c.inTime, c.late, c.rejected, c.failed);
    r.classes.push_back(c);
  }
  Statement seconds(
      db,
      "SELECT asked, in_time, late, calls, tries, refused, failed, attempts, full, timeouts, "
      "connect_failed, resets, errors, cutoff, p50, p99 FROM seconds WHERE run = ? ORDER BY second");
  seconds.bind(id);
  while (seconds.row()) {
    Second x;
    seconds.columns(x.offeredValue, x.inTimeValue, x.lateValue, x.calls, x.requests, x.rejected, x.failed,
                    x.attempts, x.rejectedAttempts, x.timeouts, x.connectFailed, x.resets, x.errors,
                    x.sheddingThreshold, x.p50, x.p99);
    r.seconds.push_back(x);
  }
  Statement servers(
      db,
      "SELECT address, zone, kind, cores, speed, held, states FROM servers WHERE run = ? ORDER BY number");
  servers.bind(id);
  while (servers.row()) {
    ServerRecord x;
    servers.columns(x.address, x.zone, x.kind, x.cores, x.speed);
    servers.readBlob(x.inFlight);
    servers.readBlob(x.states);
    r.servers.push_back(std::move(x));
  }
  Statement chokes(db, "SELECT server, begins, ends, held FROM chokes WHERE run = ? ORDER BY begins");
  chokes.bind(id);
  while (chokes.row()) {
    std::int64_t server = 0;
    double from = 0, to = 0, held = 0;
    chokes.columns(server, from, to, held);
    if (static_cast<std::size_t>(server) < r.servers.size())
      r.servers[static_cast<std::size_t>(server)].chokes.push_back(
          {lab::seconds(from), lab::seconds(to), held});
  }
  Statement breaches(db, "SELECT rule, at, request, server, what FROM breaches WHERE run = ? ORDER BY at");
  breaches.bind(id);
  while (breaches.row()) {
    Breach b;
    std::string rule;
    double at = 0;
    breaches.columns(rule, at, b.request, b.server, b.what);
    b.rule = ruleNamed(rule);
    b.at = lab::seconds(at);
    r.breaches.push_back(b);
  }
  Statement happened(db, "SELECT text FROM happened WHERE run = ? ORDER BY rowid");
  happened.bind(id);
  while (happened.row()) {
    std::string text;
    happened.columns(text);
    r.timeline.push_back(text);
  }
  return s;
}

void Store::putScale(const ScaleRun& run) {
  sqlite3* db = db_.get();
  execute("BEGIN IMMEDIATE");
  try {
    Statement(db, "INSERT INTO scale_runs (label, at, dimension, command) VALUES (?, datetime('now'), ?, ?)")
        .insert(run.label, run.dimension, run.command);
    const std::int64_t id = sqlite3_last_insert_rowid(db);
    Statement stepRow(db, "INSERT INTO scale_steps (run, size, round, voided) VALUES (?, ?, ?, ?)");
    Statement figureRow(db, "INSERT INTO scale_figures (step, name, value) VALUES (?, ?, ?)");
    for (const StepResult& step : run.steps) {
      stepRow.insert(id, step.size, step.round, step.voidReason);
      const std::int64_t stepId = sqlite3_last_insert_rowid(db);
      for (std::size_t i = 0; i < kFigureCount; ++i)
        if (step.figures[i])
          figureRow.insert(stepId, std::string(textOf(static_cast<Figure>(i)).name), *step.figures[i]);
    }
    execute("COMMIT");
  } catch (...) {
    sqlite3_exec(db, "ROLLBACK", nullptr, nullptr, nullptr);
    throw;
  }
}

std::vector<ScaleRun> Store::scaleRuns(const std::string& label) {
  Statement rows(
      db_.get(),
      "SELECT id, label, dimension, command FROM scale_runs WHERE ?1 = '' OR label = ?1 ORDER BY id");
  rows.bind(label);
  std::vector<ScaleRun> all;
  while (rows.row()) {
    ScaleRun run;
    std::int64_t id = 0;
    rows.columns(id, run.label, run.dimension, run.command);
    run.steps = scaleSteps(id);
    all.push_back(std::move(run));
  }
  return all;
}

std::vector<StepResult> Store::scaleSteps(std::int64_t run) {
  Statement rows(db_.get(), "SELECT id, size, round, voided FROM scale_steps WHERE run = ? ORDER BY id");
  rows.bind(run);
  std::vector<StepResult> all;
  while (rows.row()) {
    StepResult step;
    std::int64_t id = 0;
    rows.columns(id, step.size, step.round, step.voidReason);
    Statement figures(db_.get(), "SELECT name, value FROM scale_figures WHERE step = ?");
    figures.bind(id);
    while (figures.row()) {
      std::string name;
      double value = 0;
      figures.columns(name, value);
      if (const auto figure = figureNamed(name))
        step[*figure] = value;
    }
    all.push_back(std::move(step));
  }
  return all;
}

}  // namespace hollyrun::lab
