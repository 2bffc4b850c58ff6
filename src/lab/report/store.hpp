// Stores results in an SQLite file: one row per simulated day, with its seconds and, optionally, the states
// of its servers over time.
#pragma once

#include <memory>
#include <string>
#include <vector>

#include "lab/simulation/simulation.hpp"
#include "lab/testbed/scale_figures.hpp"

struct sqlite3;

namespace hollyrun::lab {

struct StoredRun {
  std::int64_t id = 0;
  std::string label, at;
  Result result;  ///< as it was stored; without series unless they were stored
};

class Store {
 public:
  /// Opens or creates the file. Throws std::runtime_error with the message of SQLite.
  explicit Store(const std::string& file);
  ~Store();
  Store(const Store&) = delete;
  Store& operator=(const Store&) = delete;

  /// Stores all results under the label in one transaction; with `series`, including the servers' states over
  /// time.
  void put(const std::string& label, const std::vector<Result>& results, bool series);
  /// Returns the runs of this label, or of all labels if it is empty, without their series.
  std::vector<StoredRun> runs(const std::string& label = {});
  /// Returns the complete run. Throws std::runtime_error if there is no run with this id.
  StoredRun run(std::int64_t id);

  /// Stores a scale run with all its steps in one transaction.
  void putScale(const ScaleRun& run);
  /// Returns the scale runs of this label, or of all labels if it is empty, in the order of their storage.
  std::vector<ScaleRun> scaleRuns(const std::string& label = {});

 private:
  struct Close {
    void operator()(sqlite3* db) const;
  };
  void execute(const char* sql);
  std::vector<StepResult> scaleSteps(std::int64_t run);
  std::unique_ptr<sqlite3, Close> db_;
};

}  // namespace hollyrun::lab
