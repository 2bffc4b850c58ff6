/// Keeps the process below its memory limit by observing the memory of the whole process, whatever the
/// account of what peers occupy says.
#pragma once

#include <boost/asio/io_context.hpp>
#include <chrono>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <optional>

#include "gateway/log.hpp"
#include "gateway/memory_budget.hpp"

namespace hollyrun::gateway {

/// What a process leaves of its limit.
enum class MemoryReserve : std::uint8_t {
  none,
  anotherProcess,  ///< As much as this program takes by itself.
};

/// Samples the resident memory, sets the budget's pressure and limit accordingly, and under high pressure
/// frees memory: it trims the heap and has the costliest connections closed.
class OverloadManager : public MemoryWatch {
 public:
  /// What the manager needs of the process; replaced in tests.
  struct Process {
    /// The resident memory in bytes. If it returns nothing, the process is not observed, and only the account
    /// limits its memory.
    std::function<std::optional<std::size_t>()> residentMemory = [] { return std::nullopt; };
    std::function<void()> trimHeap = [] {};
  };
  /// Closes or refuses the client that holds the most memory. Returns false if there is none.
  using ReleaseCostliest = std::function<bool()>;

  OverloadManager(boost::asio::io_context& io, std::shared_ptr<MemoryBudget> budget, Process process,
                  ReleaseCostliest releaseCostliest, Log& log);
  ~OverloadManager() override;
  OverloadManager(const OverloadManager&) = delete;
  OverloadManager& operator=(const OverloadManager&) = delete;

  /// `limit` is the memory that this process may take, in bytes. What it takes at the first call counts as
  /// that of the program itself. If the process is not observed, the limit only sizes the account.
  void setProcessLimit(std::size_t limit, MemoryReserve reserve = MemoryReserve::none);
  void observe() override;

  std::size_t processLimit() const { return processLimit_; }
  std::size_t resident() const { return resident_; }
  std::size_t residentPeak() const { return residentPeak_; }
  /// The resident memory of the program itself, in bytes.
  std::size_t baseline() const { return baseline_; }
  std::uint64_t heapTrims() const { return heapTrims_; }

 private:
  using Clock = std::chrono::steady_clock;

  bool sample();
  void reportTooSmallLimit();
  void trim();
  bool isHeapRetained() const;
  MemoryPressure pressureAt(std::size_t resident) const;
  std::size_t residentAt(double headroomShare) const;
  void setPressure(MemoryPressure pressure);
  void scheduleRelief();
  void relieve();
  void closeCostliest();
  void raiseBaseline();
  void lowerBaseline();
  void applyLimit();

  boost::asio::io_context& io_;
  std::shared_ptr<MemoryBudget> budget_;
  Process process_;
  ReleaseCostliest releaseCostliest_;
  Log& log_;
  // Expires with this object, so that a posted relief does not run after its end.
  std::shared_ptr<OverloadManager*> self_;
  std::size_t processLimit_ = 0;
  std::size_t firstBaseline_ = 0;
  std::size_t baseline_ = 0;
  std::size_t resident_ = 0;
  std::size_t residentPeak_ = 0;
  std::size_t accountedAtSample_ = 0;
  Clock::time_point sampledAt_{};
  Clock::time_point trimmedAt_{};
  Clock::duration trimInterval_{};
  std::uint64_t heapTrims_ = 0;
  bool isObserving_ = false;
  bool isReliefScheduled_ = false;
};

}  // namespace hollyrun::gateway
