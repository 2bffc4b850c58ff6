// Results in SQLite: one file, a row for each day played, its seconds and, where asked for, its servers over
// time.
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
  Result result;  // as it was put in; series where they were kept
};

class Store {
 public:
  /// Opens the file, or makes it. Throws std::runtime_error with SQLite's own words.
  explicit Store(const std::string& file);
  ~Store();
  Store(const Store&) = delete;
  Store& operator=(const Store&) = delete;

  /// Keeps the results under the label, all or none; `series`: with the servers' states over time.
  void put(const std::string& label, const std::vector<Result>& results, bool series);
  /// Without their series. An empty label asks for all.
  std::vector<StoredRun> runs(const std::string& label = {});
  /// One run whole. Throws std::runtime_error if there is none of that number.
  StoredRun run(std::int64_t id);

  /// Keeps a scale run with all its steps, or nothing of it.
  void putScale(const ScaleRun& run);
  /// Those of this label, the first kept first. An empty label asks for all.
  std::vector<ScaleRun> scaleRuns(const std::string& label = {});

 private:
  struct Close {
    void operator()(sqlite3* db) const;
  };
  void execute(const char* text);
  std::vector<StepResult> scaleSteps(std::int64_t run);
  std::unique_ptr<sqlite3, Close> db_;
};

}  // namespace hollyrun::lab
