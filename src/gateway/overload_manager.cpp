#include "gateway/overload_manager.hpp"

#include <algorithm>
#include <array>
#include <boost/asio/post.hpp>
#include <string>
#include <string_view>
#include <utility>

namespace hollyrun::gateway {
namespace {

// The memory is sampled after this time, and sooner after this growth of the account.
constexpr auto kSampleInterval = std::chrono::milliseconds(10);
constexpr std::size_t kSampleGrowthBytes = 64 << 10;
// Time between two trims of the heap, each of which visits all free blocks. It doubles while they free
// little.
constexpr auto kLeastTrimInterval = std::chrono::milliseconds(20);
constexpr auto kMaxTrimInterval = std::chrono::milliseconds(2560);
constexpr std::size_t kUsefulTrimBytes = 256 << 10;

// The headroom is what the limit leaves beside the program itself. The shares of it at which each level of
// pressure begins, and the share that the account may fill.
constexpr double kSlowReadingShare = 0.6;
constexpr double kClosingShare = 0.7;
constexpr double kRefusingShare = 0.82;
constexpr double kAccountShare = 0.5;
// The share of the headroom that may be freed memory which is not returned to the kernel.
constexpr double kRetainedShare = 0.1;
// Of the limit, where the process is not observed.
constexpr double kUnobservedAccountShare = 0.375;
// Of the limit: the most that counts as memory of the program itself, so that some is left for peers.
constexpr double kMaxBaselineShare = 0.9;

// Of the limit: what the account may fill at least.
constexpr double kLeastAccountShare = 1.0 / 32;

std::size_t shareOf(std::size_t bytes, double share) {
  return static_cast<std::size_t>(share * static_cast<double>(bytes));
}

std::string_view nameOf(MemoryPressure pressure) {
  static constexpr std::array<std::string_view, 4> kNames = {"none", "slow_reading", "closing", "refusing"};
  return kNames[static_cast<std::size_t>(pressure)];
}

}  // namespace

OverloadManager::OverloadManager(boost::asio::io_context& io, std::shared_ptr<MemoryBudget> budget,
                                 Process process, ReleaseCostliest releaseCostliest, Log& log)
    : io_(io),
      budget_(std::move(budget)),
      process_(std::move(process)),
      releaseCostliest_(std::move(releaseCostliest)),
      log_(log),
      self_(std::make_shared<OverloadManager*>(this)) {
  budget_->setWatch(this);
}

OverloadManager::~OverloadManager() {
  budget_->setWatch(nullptr);
}

// --- Observation ----------------------------------------------------------------------------------------

void OverloadManager::setProcessLimit(std::size_t limit, MemoryReserve reserve) {
  processLimit_ = limit;
  if (!sample())
    return budget_->setLimit(shareOf(limit, kUnobservedAccountShare));
  if (baseline_ == 0)
    firstBaseline_ = baseline_ = resident_;
  if (reserve == MemoryReserve::anotherProcess)
    processLimit_ = std::max(limit / 2, limit - std::min(limit, firstBaseline_));
  applyLimit();
  isObserving_ = baseline_ < shareOf(processLimit_, kMaxBaselineShare);
  if (!isObserving_)
    return reportTooSmallLimit();
  setPressure(pressureAt(resident_));
  if (budget_->pressure() >= MemoryPressure::closing)
    scheduleRelief();
}

// Closing connections cannot keep such a limit, and refusing all requests would serve no one.
void OverloadManager::reportTooSmallLimit() {
  setPressure(MemoryPressure::none);
  log_.write(LogLevel::warning, "memory", "the program itself takes nearly all of its memory limit",
             {{"program", std::to_string(baseline_)}, {"limit", std::to_string(processLimit_)}});
}

void OverloadManager::applyLimit() {
  const std::size_t headroom = processLimit_ - std::min(baseline_, processLimit_);
  budget_->setLimit(std::max(shareOf(headroom, kAccountShare), shareOf(processLimit_, kLeastAccountShare)));
}

void OverloadManager::observe() {
  if (!isObserving_)
    return;
  const std::size_t accounted = MemoryBudget::account().total();
  if (accounted < accountedAtSample_ + kSampleGrowthBytes && Clock::now() - sampledAt_ < kSampleInterval)
    return;
  if (!sample())
    return;
  setPressure(pressureAt(resident_));
  if (budget_->pressure() != MemoryPressure::none || isHeapRetained())
    scheduleRelief();
  else
    lowerBaseline();
}

bool OverloadManager::isHeapRetained() const {
  return resident_ >= residentAt(kRetainedShare) + accountedAtSample_;
}

bool OverloadManager::sample() {
  const auto resident = process_.residentMemory();
  if (!resident)
    return false;
  resident_ = *resident;
  residentPeak_ = std::max(residentPeak_, resident_);
  accountedAtSample_ = MemoryBudget::account().total();
  sampledAt_ = Clock::now();
  return true;
}

std::size_t OverloadManager::residentAt(double headroomShare) const {
  const std::size_t headroom = processLimit_ - std::min(baseline_, processLimit_);
  return baseline_ + shareOf(headroom, headroomShare);
}

MemoryPressure OverloadManager::pressureAt(std::size_t resident) const {
  if (resident >= residentAt(kRefusingShare))
    return MemoryPressure::refusing;
  if (resident >= residentAt(kClosingShare))
    return MemoryPressure::closing;
  if (resident >= residentAt(kSlowReadingShare))
    return MemoryPressure::slowReading;
  return MemoryPressure::none;
}

void OverloadManager::setPressure(MemoryPressure pressure) {
  if (pressure == budget_->pressure())
    return;
  budget_->setPressure(pressure);
  const MemoryAccount& account = MemoryBudget::account();
  std::string uses;
  for (std::size_t i = 0; i < kMemoryUses; ++i) {
    const auto use = static_cast<MemoryUse>(i);
    uses.append(i > 0 ? "," : "").append(nameOf(use)).append(":").append(std::to_string(account.used(use)));
  }
  log_.write(LogLevel::info, "memory", "memory pressure changed",
             {{"pressure", std::string(nameOf(pressure))},
              {"resident", std::to_string(resident_)},
              {"limit", std::to_string(processLimit_)},
              {"program", std::to_string(baseline_)},
              {"accounted", std::to_string(account.total())},
              {"uses", uses}});
}

// --- Relief ---------------------------------------------------------------------------------------------

// Not within the caller, which may be a connection that is to be closed.
void OverloadManager::scheduleRelief() {
  if (std::exchange(isReliefScheduled_, true))
    return;
  boost::asio::post(io_, [weak = std::weak_ptr(self_)] {
    if (const auto self = weak.lock())
      (*self)->relieve();
  });
}

void OverloadManager::relieve() {
  isReliefScheduled_ = false;
  if (Clock::now() - trimmedAt_ < trimInterval_ && budget_->pressure() < MemoryPressure::closing)
    return;
  trim();
  if (pressureAt(resident_) >= MemoryPressure::closing)
    closeCostliest();
  setPressure(pressureAt(resident_));
}

void OverloadManager::trim() {
  const std::size_t before = resident_;
  process_.trimHeap();
  ++heapTrims_;
  trimmedAt_ = Clock::now();
  sample();
  const bool isUseful = resident_ + kUsefulTrimBytes <= before;
  trimInterval_ = isUseful
                      ? kLeastTrimInterval
                      : std::clamp<Clock::duration>(2 * trimInterval_, kLeastTrimInterval, kMaxTrimInterval);
}

// Closes connections until what they held is enough, then returns it to the kernel.
void OverloadManager::closeCostliest() {
  const std::size_t accountedBefore = MemoryBudget::account().total();
  const std::size_t excess = resident_ - std::min(resident_, residentAt(kSlowReadingShare));
  const auto released = [&] {
    return accountedBefore - std::min(accountedBefore, MemoryBudget::account().total());
  };
  bool isExhausted = false;
  while (released() < excess && !isExhausted)
    isExhausted = !releaseCostliest_();
  if (released() > 0)
    trim();
  if (isExhausted && pressureAt(resident_) >= MemoryPressure::closing)
    raiseBaseline();
}

// What remains although nothing can be closed and the account does not know it is the program's own.
void OverloadManager::raiseBaseline() {
  const std::size_t accounted = MemoryBudget::account().total();
  const std::size_t unaccounted = resident_ - std::min(resident_, accounted);
  baseline_ = std::max(baseline_, std::min(unaccounted, shareOf(processLimit_, kMaxBaselineShare)));
  applyLimit();
}

void OverloadManager::lowerBaseline() {
  const std::size_t unaccounted = resident_ - std::min(resident_, accountedAtSample_);
  if (unaccounted >= baseline_ || baseline_ == firstBaseline_)
    return;
  baseline_ = std::max(firstBaseline_, unaccounted);
  applyLimit();
}

}  // namespace hollyrun::gateway
