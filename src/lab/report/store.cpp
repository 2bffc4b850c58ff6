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

constexpr int kBusyTimeoutMs = 5000;

[[noreturn]] void throwError(sqlite3* db, const std::string& context) {
  throw std::runtime_error(context + ": " + (db ? sqlite3_errmsg(db) : "out of memory"));
}

// A prepared statement. Values are bound, and columns read, in order.
class Statement {
 public:
  Statement(sqlite3* db, const char* text) : db_(db) {
    if (sqlite3_prepare_v2(db, text, -1, &statement_, nullptr) != SQLITE_OK)
      throwError(db, std::string("cannot prepare '") + text + "'");
  }
  ~Statement() { sqlite3_finalize(statement_); }
  Statement(const Statement&) = delete;
  Statement& operator=(const Statement&) = delete;

  Statement& bind(double value) { return check(sqlite3_bind_double(statement_, ++bound_, value)); }
  Statement& bind(std::int64_t value) { return check(sqlite3_bind_int64(statement_, ++bound_, value)); }
  Statement& bind(std::uint64_t value) { return bind(static_cast<std::int64_t>(value)); }
  Statement& bind(std::uint32_t value) { return bind(static_cast<std::int64_t>(value)); }
  Statement& bind(const std::string& value) {
    return check(sqlite3_bind_text(statement_, ++bound_, value.c_str(), static_cast<int>(value.size()),
                                   SQLITE_TRANSIENT));
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
      throwError(db_, "cannot write results");
    sqlite3_reset(statement_);
    bound_ = 0;
  }
  bool row() {
    column_ = 0;
    const int state = sqlite3_step(statement_);
    if (state != SQLITE_ROW && state != SQLITE_DONE)
      throwError(db_, "cannot read results");
    return state == SQLITE_ROW;
  }
  void read(double& value) { value = sqlite3_column_double(statement_, column_++); }
  void read(std::int64_t& value) { value = sqlite3_column_int64(statement_, column_++); }
  void read(std::uint64_t& value) {
    value = static_cast<std::uint64_t>(sqlite3_column_int64(statement_, column_++));
  }
  void read(std::uint32_t& value) {
    value = static_cast<std::uint32_t>(sqlite3_column_int64(statement_, column_++));
  }
  void read(std::string& value) {
    const auto* text = reinterpret_cast<const char*>(sqlite3_column_text(statement_, column_++));
    value = text ? text : "";
  }
  template <class Value>
  void readBlob(std::vector<Value>& values) {
    const auto size = static_cast<std::size_t>(sqlite3_column_bytes(statement_, column_));
    const void* data = sqlite3_column_blob(statement_, column_++);
    values.resize(size / sizeof(Value));
    if (!values.empty())
      std::memcpy(values.data(), data, values.size() * sizeof(Value));
  }
  template <class... Values>
  void columns(Values&... values) {
    (read(values), ...);
  }

 private:
  Statement& check(int state) {
    if (state != SQLITE_OK)
      throwError(db_, "cannot bind a parameter");
    return *this;
  }
  sqlite3* db_;
  sqlite3_stmt* statement_ = nullptr;
  int bound_ = 0, column_ = 0;
};

// The digest is null, read as 0, for runs from before digests were stored.
constexpr const char* kRunColumns =
    "id, label, at, scenario, policy, seed, g, whole, worst_window, worst_at, worst_class, price_cross_zone, "
    "price_waste, price_late_fail, price_handshake, price_choke, calls, tries, attempts, connections, "
    "events, refused, failed, choked, p50, p90, p99, "
    "(SELECT digest FROM digests WHERE run = id)";

StoredRun readRun(Statement& in) {
  StoredRun run;
  Result& result = run.result;
  in.columns(run.id, run.label, run.at, result.scenario, result.policy, result.seed, result.score,
             result.goodput, result.worstWindowGoodput, result.worstWindowStartS, result.worstClassGoodput,
             result.priceCrossZone, result.priceWaste, result.priceLateFail, result.priceHandshake,
             result.priceChoke, result.calls, result.requests, result.attempts, result.connections,
             result.events, result.rejectedShare, result.failedShare, result.chokedShare, result.p50,
             result.p90, result.p99, result.digest);
  return run;
}

Rule ruleNamed(const std::string& name) {
  for (Rule rule : {Rule::lost, Rule::duplicate, Rule::drain, Rule::fall})
    if (name == nameOf(rule))
      return rule;
  throw std::runtime_error("unknown rule '" + name + "' in the results file");
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
    throwError(db, "cannot open '" + file + "'");
  sqlite3_busy_timeout(db, kBusyTimeoutMs);
  execute(kTables);
}

Store::~Store() = default;

void Store::execute(const char* sql) {
  if (sqlite3_exec(db_.get(), sql, nullptr, nullptr, nullptr) != SQLITE_OK)
    throwError(db_.get(), "cannot execute an SQL statement on the results file");
}

void Store::put(const std::string& label, const std::vector<Result>& results, bool series) {
  sqlite3* db = db_.get();
  execute("BEGIN IMMEDIATE");
  try {
    Statement runRow(db,
                     "INSERT INTO runs VALUES (NULL, ?, strftime('%Y-%m-%dT%H:%M:%SZ', 'now'), "
                     "?,?,?,?,?,?,?,?,?,?,?,?,?,?,?,?,?,?,?,?,?,?,?,?)");
    Statement classRow(db, "INSERT INTO classes VALUES (?,?,?,?,?,?,?,?,?)");
    Statement secondRow(db, "INSERT INTO seconds VALUES (?,?,?,?,?,?,?,?,?,?,?,?,?,?,?,?,?,?)");
    Statement serverRow(db, "INSERT INTO servers VALUES (?,?,?,?,?,?,?,?,?)");
    Statement chokeRow(db, "INSERT INTO chokes VALUES (?,?,?,?,?)");
    Statement breachRow(db, "INSERT INTO breaches VALUES (?,?,?,?,?,?)");
    Statement happened(db, "INSERT INTO happened VALUES (?,?)");
    Statement digest(db, "INSERT INTO digests VALUES (?,?)");
    for (const Result& result : results) {
      runRow.insert(label, result.scenario, result.policy, result.seed, result.score, result.goodput,
                    result.worstWindowGoodput, result.worstWindowStartS, result.worstClassGoodput,
                    result.priceCrossZone, result.priceWaste, result.priceLateFail, result.priceHandshake,
                    result.priceChoke, result.calls, result.requests, result.attempts, result.connections,
                    result.events, result.rejectedShare, result.failedShare, result.chokedShare, result.p50,
                    result.p90, result.p99);
      const std::int64_t id = sqlite3_last_insert_rowid(db);
      digest.insert(id, result.digest);
      for (const ClassRecord& record : result.classes)
        classRow.insert(id, record.name, record.offeredValue, record.servedValue, record.calls, record.inTime,
                        record.late, record.rejected, record.failed);
      for (std::size_t i = 0; i < result.seconds.size(); ++i) {
        const Second& second = result.seconds[i];
        secondRow.insert(id, static_cast<std::int64_t>(i), second.offeredValue, second.inTimeValue,
                         second.lateValue, second.calls, second.requests, second.rejected, second.failed,
                         second.attempts, second.rejectedAttempts, second.timeouts, second.connectFailed,
                         second.resets, second.errors, second.sheddingThreshold, second.p50, second.p99);
      }
      for (std::size_t i = 0; i < result.servers.size(); ++i) {
        const ServerRecord& server = result.servers[i];
        const auto number = static_cast<std::int64_t>(i);
        if (series) {
          serverRow.bind(id)
              .bind(number)
              .bind(server.address)
              .bind(server.zone)
              .bind(server.kind)
              .bind(server.cores)
              .bind(server.speed);
          serverRow.blob(server.inFlight.data(), server.inFlight.size() * sizeof(float));
          serverRow.blob(server.states.data(), server.states.size() * sizeof(ServerState));
          serverRow.finish();
        }
        for (const Server::Choke& interval : server.chokes)
          chokeRow.insert(id, number, inSeconds(interval.from), inSeconds(interval.to),
                          interval.inFlightPerCore);
      }
      for (const Breach& violation : result.breaches)
        breachRow.insert(id, std::string(nameOf(violation.rule)), inSeconds(violation.at), violation.request,
                         violation.server, violation.what);
      for (const std::string& text : result.timeline)
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
    throw std::runtime_error("no such run: " + std::to_string(id));
  StoredRun run = readRun(in);
  Result& result = run.result;
  Statement classes(
      db, "SELECT name, asked, served, calls, in_time, late, refused, failed FROM classes WHERE run = ?");
  classes.bind(id);
  while (classes.row()) {
    ClassRecord record;
    classes.columns(record.name, record.offeredValue, record.servedValue, record.calls, record.inTime,
                    record.late, record.rejected, record.failed);
    result.classes.push_back(record);
  }
  Statement seconds(
      db,
      "SELECT asked, in_time, late, calls, tries, refused, failed, attempts, full, timeouts, "
      "connect_failed, resets, errors, cutoff, p50, p99 FROM seconds WHERE run = ? ORDER BY second");
  seconds.bind(id);
  while (seconds.row()) {
    Second second;
    seconds.columns(second.offeredValue, second.inTimeValue, second.lateValue, second.calls, second.requests,
                    second.rejected, second.failed, second.attempts, second.rejectedAttempts, second.timeouts,
                    second.connectFailed, second.resets, second.errors, second.sheddingThreshold, second.p50,
                    second.p99);
    result.seconds.push_back(second);
  }
  Statement servers(
      db,
      "SELECT address, zone, kind, cores, speed, held, states FROM servers WHERE run = ? ORDER BY number");
  servers.bind(id);
  while (servers.row()) {
    ServerRecord server;
    servers.columns(server.address, server.zone, server.kind, server.cores, server.speed);
    servers.readBlob(server.inFlight);
    servers.readBlob(server.states);
    result.servers.push_back(std::move(server));
  }
  Statement chokes(db, "SELECT server, begins, ends, held FROM chokes WHERE run = ? ORDER BY begins");
  chokes.bind(id);
  while (chokes.row()) {
    std::int64_t server = 0;
    double from = 0, to = 0, inFlightPerCore = 0;
    chokes.columns(server, from, to, inFlightPerCore);
    if (static_cast<std::size_t>(server) < result.servers.size())
      result.servers[static_cast<std::size_t>(server)].chokes.push_back(
          {lab::seconds(from), lab::seconds(to), inFlightPerCore});
  }
  Statement breaches(db, "SELECT rule, at, request, server, what FROM breaches WHERE run = ? ORDER BY at");
  breaches.bind(id);
  while (breaches.row()) {
    Breach breach;
    std::string rule;
    double at = 0;
    breaches.columns(rule, at, breach.request, breach.server, breach.what);
    breach.rule = ruleNamed(rule);
    breach.at = lab::seconds(at);
    result.breaches.push_back(breach);
  }
  Statement happened(db, "SELECT text FROM happened WHERE run = ? ORDER BY rowid");
  happened.bind(id);
  while (happened.row()) {
    std::string text;
    happened.columns(text);
    result.timeline.push_back(text);
  }
  return run;
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
