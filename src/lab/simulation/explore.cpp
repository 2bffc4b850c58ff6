#include "lab/simulation/explore.hpp"

#include <algorithm>
#include <array>
#include <chrono>
#include <map>
#include <optional>
#include <unordered_map>
#include <utility>

#include "lab/simulation/members.hpp"
#include "membership/membership.hpp"

namespace hollyrun::lab {
namespace {

using membership::MemberRecord;
using membership::Membership;
using membership::MemberState;
using membership::Time;

constexpr std::size_t kMembers = 3;
constexpr std::size_t kMaxInFlight = 6;  // datagrams; the oldest is lost when there are more
constexpr std::size_t kMaxReportedViolations = 5;
constexpr int kMaxStartupTimers = 400;
// With three members only one other can confirm a suspicion, so a suspicion may last for its maximum.
constexpr double kConvergencePeriods = 200;

struct InFlightDatagram {
  std::size_t from, to;
  std::string bytes;
};

struct World {
  std::array<std::optional<Membership>, kMembers> members;
  std::vector<InFlightDatagram> inFlight;
  Time now{};
  unsigned crashes = 0, startCount = 0;
  std::array<std::uint64_t, kMembers> incarnations{};
};

membership::MembershipSettings settings() {
  membership::MembershipSettings result;
  result.seeds = {{0x7f000001, 1000}, {0x7f000001, 1001}};
  return result;
}

membership::Address addressOf(std::size_t i) {
  return {0x7f000001, static_cast<std::uint16_t>(1000 + i)};
}

void start(World& world, std::size_t i) {
  MemberRecord self;
  self.name = std::string(1, static_cast<char>('a' + i));
  self.address = addressOf(i);
  ++world.startCount;
  world.members[i].emplace(settings(), self, 100 * i + world.startCount, world.now);
  world.incarnations[i] = 0;
}

void collect(World& world, std::size_t i) {
  Membership& member = *world.members[i];
  for (membership::Datagram& datagram : std::exchange(member.datagrams(), {}))
    for (std::size_t to = 0; to < kMembers; ++to)
      if (addressOf(to) == datagram.to && to != i)
        world.inFlight.push_back({i, to, std::move(datagram.bytes)});
  member.events().clear();
  while (world.inFlight.size() > kMaxInFlight)
    world.inFlight.erase(world.inFlight.begin());
}

void deliver(World& world, std::size_t index) {
  const InFlightDatagram datagram = world.inFlight[index];
  world.inFlight.erase(world.inFlight.begin() + static_cast<std::ptrdiff_t>(index));
  if (!world.members[datagram.to])
    return;
  world.members[datagram.to]->onDatagram(world.now, addressOf(datagram.from), datagram.bytes);
  collect(world, datagram.to);
}

void advanceTime(World& world) {
  Time next = Time::max();
  for (const auto& member : world.members)
    if (member)
      next = std::min(next, member->wakeAt());
  if (next == Time::max())
    return;
  world.now = std::max(world.now, next);
  for (std::size_t i = 0; i < kMembers; ++i)
    if (world.members[i] && world.members[i]->wakeAt() <= world.now)
      world.members[i]->onWake(world.now), collect(world, i);
}

std::string stateKey(const World& world) {
  std::string key = std::to_string(world.crashes) + ";";
  for (const auto& member : world.members)
    key += (member ? member->fingerprint(world.now) : "-") + ";";
  std::vector<std::string> datagrams;
  for (const InFlightDatagram& datagram : world.inFlight) {
    membership::DecodeError error{};
    const auto message = membership::decode(datagram.bytes, settings().fleet, error);
    std::string text = std::to_string(datagram.from) + std::to_string(datagram.to) +
                       std::to_string(static_cast<int>(message->type)) + "," +
                       std::to_string(message->sender.incarnation) + "," +
                       std::to_string(static_cast<int>(message->sender.state));
    for (const MemberRecord& record : message->updates)
      text += "," + record.name + std::to_string(record.incarnation) +
              std::to_string(static_cast<int>(record.state));
    datagrams.push_back(std::move(text));
  }
  std::sort(datagrams.begin(), datagrams.end());  // the network doesn't preserve the order
  for (const std::string& text : datagrams)
    key += text + ";";
  return key;
}

bool viewsAgree(const World& world) {
  std::size_t living = 0;
  std::optional<std::uint64_t> digest;
  for (const auto& member : world.members)
    living += member.has_value();
  for (const auto& member : world.members) {
    if (!member)
      continue;
    if (member->presentCount() != living || (digest && *digest != member->digest()))
      return false;
    digest = member->digest();
  }
  return true;
}

bool converges(World world) {
  const Time end = world.now + std::chrono::duration_cast<membership::Duration>(settings().probeInterval *
                                                                                kConvergencePeriods);
  while (world.now < end) {
    while (!world.inFlight.empty())
      deliver(world, 0);
    if (viewsAgree(world))
      return true;
    advanceTime(world);
  }
  return viewsAgree(world);
}

class Explorer {
 public:
  Explorer(unsigned depth, unsigned crashes, std::uint64_t checkConvergenceEvery)
      : depth_(depth), crashes_(crashes), checkConvergenceEvery_(checkConvergenceEvery) {}

  Explored run() {
    World world;
    world.now = std::chrono::hours(1);
    for (std::size_t i = 0; i < kMembers; ++i)
      start(world, i), collect(world, i);
    for (int i = 0; i < kMaxStartupTimers && !(viewsAgree(world) && world.inFlight.empty()); ++i) {
      while (!world.inFlight.empty())
        deliver(world, 0);
      advanceTime(world);
    }
    if (!viewsAgree(world))
      result_.violations.push_back("the views of the three members don't agree after the start");
    visit(world, depth_, "");
    return std::move(result_);
  }

 private:
  void addViolation(const std::string& what, const std::string& path) {
    if (result_.violations.size() < kMaxReportedViolations)
      result_.violations.push_back(what + " after " + path);
  }

  void checkInvariants(World& world, const std::string& path) {
    for (std::size_t i = 0; i < kMembers; ++i) {
      if (!world.members[i])
        continue;
      const MemberRecord& self = world.members[i]->self();
      if (self.incarnation < world.incarnations[i])
        addViolation(self.name + "'s incarnation decreased", path);
      world.incarnations[i] = self.incarnation;
      if (world.members[i]->quotaHolders() < world.members[i]->presentCount())
        addViolation(self.name + " counts fewer quota holders than present members", path);
      for (std::size_t j = 0; j < kMembers; ++j) {
        if (!world.members[j] || i == j)
          continue;
        const auto it = world.members[j]->others().find(self.name);
        if (it == world.members[j]->others().end() || it->second.record.epoch != self.epoch)
          continue;
        if (it->second.record.incarnation > self.incarnation)
          addViolation(self.name + " is known with an incarnation that it never had", path);
        if (it->second.record.state == MemberState::left)
          addViolation(self.name + " is recorded as left while it runs", path);
      }
    }
  }

  void visit(World& world, unsigned stepsLeft, const std::string& path) {
    checkInvariants(world, path);
    // A state that was already visited with at least as many steps left adds nothing new.
    const std::size_t key = std::hash<std::string>{}(stateKey(world));
    const auto [it, isNew] = visited_.try_emplace(key, stepsLeft);
    if (!isNew && it->second >= stepsLeft)
      return;
    it->second = stepsLeft;
    if (isNew) {
      ++result_.states;
      if (result_.states % checkConvergenceEvery_ == 0) {
        ++result_.convergenceChecks;
        if (!converges(world))
          addViolation("the views don't converge on a lossless network", path);
      }
    }
    if (stepsLeft == 0)
      return;
    const auto step = [&](const std::string& label, auto&& transition) {
      World next = world;
      transition(next);
      ++result_.steps;
      visit(next, stepsLeft - 1, path + label + " ");
    };
    for (std::size_t i = 0; i < world.inFlight.size(); ++i) {
      const std::string direction =
          std::to_string(world.inFlight[i].from) + ">" + std::to_string(world.inFlight[i].to);
      step(direction, [i](World& next) { deliver(next, i); });
      step(direction + "lost",
           [i](World& next) { next.inFlight.erase(next.inFlight.begin() + static_cast<std::ptrdiff_t>(i)); });
    }
    step("time", [](World& next) { advanceTime(next); });
    if (world.crashes >= crashes_)
      return;
    for (std::size_t i = 0; i < kMembers; ++i) {
      const std::string name(1, static_cast<char>('a' + i));
      if (!world.members[i]) {
        step(name + "starts", [i](World& next) { start(next, i), collect(next, i), ++next.crashes; });
        continue;
      }
      step(name + "dies", [i](World& next) { next.members[i].reset(), ++next.crashes; });
      step(name + "leaves", [i](World& next) {
        next.members[i]->leave(next.now), collect(next, i), next.members[i].reset(), ++next.crashes;
      });
    }
  }

  unsigned depth_, crashes_;
  std::uint64_t checkConvergenceEvery_;
  Explored result_;
  std::unordered_map<std::size_t, unsigned> visited_;
};

}  // namespace

Explored exploreMembers(unsigned depth, unsigned crashes, std::uint64_t checkConvergenceEvery) {
  return Explorer(depth, crashes, checkConvergenceEvery).run();
}

}  // namespace hollyrun::lab
