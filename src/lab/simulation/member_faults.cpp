#include "lab/simulation/member_faults.hpp"

#include <spdlog/fmt/fmt.h>

#include <algorithm>

#include "lab/simulation/members.hpp"

namespace hollyrun::lab {
namespace {

using membership::Duration;

constexpr std::size_t kZones = 7;
constexpr std::size_t kPartitionedZones = 3;
constexpr int kMaxJoinPeriods = 120;   // until the views agree, before the fault
constexpr int kQuietPeriods = 60;      // until the updates of the start are disseminated
constexpr int kMaxAgreePeriods = 600;  // views that differ for longer count as never agreed
constexpr int kSettlePeriods = 30;     // measured after the views agree, while updates are still disseminated
constexpr std::size_t kWaves = 10;
constexpr int kWavePeriods = 60;             // from one wave to the next
constexpr int kRestartPeriods = 3;           // from a member's leave until its restart
constexpr std::size_t kChecksPerPeriod = 4;  // of whether the views agree

std::size_t zoneOf(std::size_t node) {
  return node % kZones;
}

/// Measures per period what the members send, receive and compute.
class LoadMeter {
 public:
  explicit LoadMeter(MemberSimulation& simulation) : simulation_(simulation) {}

  /// Discards all measurements.
  void restart() {
    marks_.resize(simulation_.nodes().size());
    for (std::size_t i = 0; i < marks_.size(); ++i)
      advance(i);
    micros_ = processorMicros();
    row_ = {};
    periods_ = 0;
  }

  /// Has to be called at the end of each period.
  void sample() {
    double sent = 0;
    for (std::size_t i = 0; i < marks_.size(); ++i) {
      const Traffic traffic = advance(i);
      sent += traffic.sent;
      row_.sentMax = std::max(row_.sentMax, traffic.sent);
      row_.receivedMax = std::max(row_.receivedMax, traffic.received);
    }
    const double members = static_cast<double>(std::max<std::size_t>(simulation_.living().size(), 1));
    const double now = processorMicros();
    const double micros = (now - micros_) / members;
    micros_ = now;
    sent /= members;
    row_.sentPeak = std::max(row_.sentPeak, sent);
    row_.microsPeak = std::max(row_.microsPeak, micros);
    row_.sentMean += sent;
    row_.microsMean += micros;
    ++periods_;
  }

  /// The measurements since restart().
  MemberFaultRow row() const {
    MemberFaultRow row = row_;
    if (periods_ > 0) {
      row.sentMean /= periods_;
      row.microsMean /= periods_;
    }
    return row;
  }

 private:
  struct Mark {
    std::uint64_t startCount = 0, sent = 0, received = 0;
  };
  struct Traffic {
    double sent = 0, received = 0;
  };

  Traffic advance(std::size_t i) {
    const MemberSimulation::Node& node = simulation_.nodes()[i];
    if (!node.logic)
      return {};
    const membership::Counters& counters = node.logic->counters();
    Mark& mark = marks_[i];
    if (mark.startCount != node.startCount)
      mark = {node.startCount, 0, 0};  // the counters of a restarted member begin at 0
    const Traffic traffic{static_cast<double>(counters.bytesOut - mark.sent),
                          static_cast<double>(counters.bytesIn - mark.received)};
    mark.sent = counters.bytesOut;
    mark.received = counters.bytesIn;
    return traffic;
  }

  MemberSimulation& simulation_;
  std::vector<Mark> marks_;
  MemberFaultRow row_;
  double micros_ = 0;
  int periods_ = 0;
};

/// A simulated fleet in seven zones whose views agree, with its load meter.
class FaultedFleet {
 public:
  explicit FaultedFleet(const MemberFaultRun& run)
      : simulation_(run.seed, settingsOf()), meter_(simulation_) {
    start(run.members);
    meter_.restart();
  }

  MemberSimulation& simulation() { return simulation_; }

  void play(int periods) {
    for (int i = 0; i < periods; ++i) {
      simulation_.runFor(simulation_.settings().probeInterval);
      meter_.sample();
      simulation_.seen().clear();
    }
  }

  /// Periods until all views are equal; nullopt if they are not within kMaxAgreePeriods.
  std::optional<double> playUntilAgreed() {
    const Duration step = simulation_.settings().probeInterval / kChecksPerPeriod;
    for (std::size_t checks = 0; checks < kMaxAgreePeriods * kChecksPerPeriod; ++checks) {
      if (simulation_.agreed())
        return static_cast<double>(checks) / kChecksPerPeriod;
      simulation_.runFor(step);
      if ((checks + 1) % kChecksPerPeriod == 0)
        meter_.sample();
      simulation_.seen().clear();
    }
    return std::nullopt;
  }

  /// The row of a phase. `agreed` holds the periods until the views were equal, for each fault of the phase.
  MemberFaultRow rowOf(std::string phase, std::size_t affected, std::vector<std::optional<double>> agreed) {
    MemberFaultRow row = meter_.row();
    row.phase = std::move(phase);
    row.members = simulation_.nodes().size();
    row.affected = affected;
    row.agreed = std::find(agreed.begin(), agreed.end(), std::nullopt) == agreed.end();
    std::sort(agreed.begin(), agreed.end());
    if (row.agreed && !agreed.empty()) {
      row.agreedMedian = *agreed[(agreed.size() - 1) / 2];
      row.agreedMax = *agreed.back();
    }
    meter_.restart();
    return row;
  }

 private:
  static membership::MembershipSettings settingsOf() {
    membership::MembershipSettings settings;
    settings.seeds = {{0x7f000001, 1000}, {0x7f000001, 1001}};  // the first two members
    return settings;
  }

  void start(std::size_t members) {
    simulation_.describe = describeAsGateway;
    for (std::size_t i = 0; i < members; ++i)
      simulation_.start(simulation_.add("gateway-" + std::to_string(i), "zone-" + std::to_string(zoneOf(i))));
    simulation_.runUntil([this] { return simulation_.agreed(); },
                         simulation_.settings().probeInterval * kMaxJoinPeriods);
    simulation_.runFor(simulation_.settings().probeInterval * kQuietPeriods);
    simulation_.seen().clear();
  }

  MemberSimulation simulation_;
  LoadMeter meter_;
};

std::vector<MemberFaultRow> loseZone(FaultedFleet& fleet) {
  std::vector<MemberFaultRow> rows;
  std::vector<std::size_t> zone;
  for (std::size_t i = 0; i < fleet.simulation().nodes().size(); ++i)
    if (zoneOf(i) == 0)
      zone.push_back(i);
  for (const std::size_t i : zone)
    fleet.simulation().kill(i);
  std::optional<double> agreed = fleet.playUntilAgreed();
  fleet.play(kSettlePeriods);
  rows.push_back(fleet.rowOf("zone lost", zone.size(), {agreed}));
  for (const std::size_t i : zone)
    fleet.simulation().start(i);
  agreed = fleet.playUntilAgreed();
  fleet.play(kSettlePeriods);
  rows.push_back(fleet.rowOf("zone back", zone.size(), {agreed}));
  return rows;
}

std::vector<MemberFaultRow> partitionZones(FaultedFleet& fleet, Duration duration) {
  std::vector<MemberFaultRow> rows;
  const auto isolated = [](std::size_t i) { return zoneOf(i) < kPartitionedZones; };
  std::size_t affected = 0;
  for (std::size_t i = 0; i < fleet.simulation().nodes().size(); ++i)
    affected += isolated(i);
  fleet.simulation().passes = [isolated](std::size_t from, std::size_t to) {
    return isolated(from) == isolated(to);
  };
  const int periods = static_cast<int>(duration / fleet.simulation().settings().probeInterval);
  fleet.play(periods);
  rows.push_back(fleet.rowOf(fmt::format("apart for {}", periods), affected, {}));
  fleet.simulation().passes = [](std::size_t, std::size_t) { return true; };
  const std::optional<double> agreed = fleet.playUntilAgreed();
  fleet.play(kSettlePeriods);
  rows.push_back(fleet.rowOf("together again", affected, {agreed}));
  return rows;
}

std::vector<MemberFaultRow> restartInWaves(FaultedFleet& fleet) {
  const std::size_t waveSize = fleet.simulation().nodes().size() * 5 / 6 / kWaves;
  std::vector<std::optional<double>> agreed;
  for (std::size_t wave = 0; wave < kWaves; ++wave) {
    const std::size_t first = wave * waveSize;
    for (std::size_t i = first; i < first + waveSize; ++i)
      fleet.simulation().leave(i);
    fleet.play(kRestartPeriods);
    for (std::size_t i = first; i < first + waveSize; ++i)
      fleet.simulation().start(i);
    agreed.push_back(fleet.playUntilAgreed());
    if (!agreed.back())
      break;
    fleet.play(std::max(0, kWavePeriods - static_cast<int>(*agreed.back())));
  }
  return {fleet.rowOf("restarts in ten waves", waveSize * kWaves, agreed)};
}

}  // namespace

std::optional<MemberFault> memberFaultNamed(std::string_view name) {
  if (name == "zone")
    return MemberFault::zone;
  if (name == "cut")
    return MemberFault::cut;
  if (name == "restarts")
    return MemberFault::restarts;
  return std::nullopt;
}

std::vector<MemberFaultRow> measureMemberFault(const MemberFaultRun& run) {
  FaultedFleet fleet(run);
  std::vector<MemberFaultRow> rows;
  fleet.play(kQuietPeriods);
  rows.push_back(fleet.rowOf("quiet", 0, {}));
  std::vector<MemberFaultRow> fault;
  switch (run.fault) {
    case MemberFault::zone:
      fault = loseZone(fleet);
      break;
    case MemberFault::cut:
      fault = partitionZones(fleet, run.partitionDuration);
      break;
    case MemberFault::restarts:
      fault = restartInWaves(fleet);
      break;
  }
  rows.insert(rows.end(), fault.begin(), fault.end());
  return rows;
}

std::string textOf(const std::vector<MemberFaultRow>& rows) {
  std::string text =
      "phase                  members  of them  agreed after  most  bytes a period  peak  one member sent  "
      "received"
      "  us a period  peak\n";
  for (const MemberFaultRow& row : rows)
    text += fmt::format(
        "{:21}  {:7}  {:7}  {:>12}  {:4.1f}  {:14.0f}  {:4.0f}  {:15.0f}  {:8.0f}  {:11.0f}  {:4.0f}\n",
        row.phase, row.members, row.affected, row.agreed ? fmt::format("{:.1f}", row.agreedMedian) : "never",
        row.agreedMax, row.sentMean, row.sentPeak, row.sentMax, row.receivedMax, row.microsMean,
        row.microsPeak);
  return text;
}

}  // namespace hollyrun::lab
