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
constexpr std::size_t kUnderWay = 6;  // datagrams at a time; the oldest are lost beyond
constexpr std::size_t kBrokenMost = 5;
constexpr double kHealPeriods = 200;  // three members have one helper: a suspicion may last its longest

struct UnderWay {
  std::size_t from, to;
  std::string bytes;
};

struct World {
  std::array<std::optional<Membership>, kMembers> members;
  std::vector<UnderWay> way;
  Time now{};
  unsigned crashes = 0, lives = 0;
  std::array<std::uint64_t, kMembers> incarnations{};
};

membership::MembershipSettings settings() {
  membership::MembershipSettings s;
  s.seeds = {{0x7f000001, 1000}, {0x7f000001, 1001}};
  return s;
}

membership::Address addressOf(std::size_t i) {
  return {0x7f000001, static_cast<std::uint16_t>(1000 + i)};
}

void start(World& w, std::size_t i) {
  MemberRecord self;
  self.name = std::string(1, static_cast<char>('a' + i));
  self.address = addressOf(i);
  ++w.lives;
  w.members[i].emplace(settings(), self, 100 * i + w.lives, w.now);
  w.incarnations[i] = 0;
}

void collect(World& w, std::size_t i) {
  Membership& m = *w.members[i];
  for (membership::Datagram& d : std::exchange(m.datagrams(), {}))
    for (std::size_t to = 0; to < kMembers; ++to)
      if (addressOf(to) == d.to && to != i)
        w.way.push_back({i, to, std::move(d.bytes)});
  m.events().clear();
  while (w.way.size() > kUnderWay)
    w.way.erase(w.way.begin());
}

void arrive(World& w, std::size_t which) {
  const UnderWay one = w.way[which];
  w.way.erase(w.way.begin() + static_cast<std::ptrdiff_t>(which));
  if (!w.members[one.to])
    return;
  w.members[one.to]->onDatagram(w.now, addressOf(one.from), one.bytes);
  collect(w, one.to);
}

void passTime(World& w) {
  Time next = Time::max();
  for (const auto& m : w.members)
    if (m)
      next = std::min(next, m->wakeAt());
  if (next == Time::max())
    return;
  w.now = std::max(w.now, next);
  for (std::size_t i = 0; i < kMembers; ++i)
    if (w.members[i] && w.members[i]->wakeAt() <= w.now)
      w.members[i]->onWake(w.now), collect(w, i);
}

std::string keyOf(const World& w) {
  std::string key = std::to_string(w.crashes) + ";";
  for (const auto& m : w.members)
    key += (m ? m->fingerprint(w.now) : "-") + ";";
  std::vector<std::string> way;
  for (const UnderWay& one : w.way) {
    membership::DecodeError error{};
    const auto m = membership::decode(one.bytes, settings().fleet, error);
    std::string text =
        std::to_string(one.from) + std::to_string(one.to) + std::to_string(static_cast<int>(m->type)) + "," +
        std::to_string(m->sender.incarnation) + "," + std::to_string(static_cast<int>(m->sender.state));
    for (const MemberRecord& r : m->updates)
      text += "," + r.name + std::to_string(r.incarnation) + std::to_string(static_cast<int>(r.state));
    way.push_back(std::move(text));
  }
  std::sort(way.begin(), way.end());  // the network keeps no order
  for (const std::string& text : way)
    key += text + ";";
  return key;
}

bool agree(const World& w) {
  std::size_t living = 0;
  std::optional<std::uint64_t> digest;
  for (const auto& m : w.members)
    living += m.has_value();
  for (const auto& m : w.members) {
    if (!m)
      continue;
    if (m->presentCount() != living || (digest && *digest != m->digest()))
      return false;
    digest = m->digest();
  }
  return true;
}

bool heals(World w) {
  const Time end =
      w.now + std::chrono::duration_cast<membership::Duration>(settings().probeInterval * kHealPeriods);
  while (w.now < end) {
    while (!w.way.empty())
      arrive(w, 0);
    if (agree(w))
      return true;
    passTime(w);
  }
  return agree(w);
}

class Explorer {
 public:
  Explorer(unsigned depth, unsigned crashes, std::uint64_t healEvery)
      : depth_(depth), crashes_(crashes), healEvery_(healEvery) {}

  Explored go() {
    World w;
    w.now = std::chrono::hours(1);
    for (std::size_t i = 0; i < kMembers; ++i)
      start(w, i), collect(w, i);
    for (int i = 0; i < 400 && !(agree(w) && w.way.empty()); ++i) {
      while (!w.way.empty())
        arrive(w, 0);
      passTime(w);
    }
    if (!agree(w))
      out_.broken.push_back("the three never agree at the start");
    visit(w, depth_, "");
    return std::move(out_);
  }

 private:
  void broke(const std::string& what, const std::string& way) {
    if (out_.broken.size() < kBrokenMost)
      out_.broken.push_back(what + " after " + way);
  }

  void judge(World& w, const std::string& way) {
    for (std::size_t i = 0; i < kMembers; ++i) {
      if (!w.members[i])
        continue;
      const MemberRecord& self = w.members[i]->self();
      if (self.incarnation < w.incarnations[i])
        broke(self.name + "'s incarnation fell", way);
      w.incarnations[i] = self.incarnation;
      if (w.members[i]->quotaHolders() < w.members[i]->presentCount())
        broke(self.name + " divides by too few", way);
      for (std::size_t j = 0; j < kMembers; ++j) {
        if (!w.members[j] || i == j)
          continue;
        const auto it = w.members[j]->others().find(self.name);
        if (it == w.members[j]->others().end() || it->second.record.epoch != self.epoch)
          continue;
        if (it->second.record.incarnation > self.incarnation)
          broke("a claim on " + self.name + " not its own", way);
        if (it->second.record.state == MemberState::left)
          broke(self.name + " is said to have left", way);
      }
    }
  }

  void visit(World& w, unsigned left, const std::string& way) {
    judge(w, way);
    // A state met again with fewer steps left holds nothing new.
    const std::size_t key = std::hash<std::string>{}(keyOf(w));
    const auto [it, fresh] = seen_.try_emplace(key, left);
    if (!fresh && it->second >= left)
      return;
    it->second = left;
    if (fresh) {
      ++out_.states;
      if (out_.states % healEvery_ == 0) {
        ++out_.healed;
        if (!heals(w))
          broke("no agreement on a calm network", way);
      }
    }
    if (left == 0)
      return;
    const auto step = [&](const std::string& name, auto&& act) {
      World next = w;
      act(next);
      ++out_.steps;
      visit(next, left - 1, way + name + " ");
    };
    for (std::size_t i = 0; i < w.way.size(); ++i) {
      const std::string which = std::to_string(w.way[i].from) + ">" + std::to_string(w.way[i].to);
      step(which, [i](World& n) { arrive(n, i); });
      step(which + "lost", [i](World& n) { n.way.erase(n.way.begin() + static_cast<std::ptrdiff_t>(i)); });
    }
    step("time", [](World& n) { passTime(n); });
    if (w.crashes >= crashes_)
      return;
    for (std::size_t i = 0; i < kMembers; ++i) {
      const std::string who(1, static_cast<char>('a' + i));
      if (!w.members[i]) {
        step(who + "starts", [i](World& n) { start(n, i), collect(n, i), ++n.crashes; });
        continue;
      }
      step(who + "dies", [i](World& n) { n.members[i].reset(), ++n.crashes; });
      step(who + "leaves",
           [i](World& n) { n.members[i]->leave(n.now), collect(n, i), n.members[i].reset(), ++n.crashes; });
    }
  }

  unsigned depth_, crashes_;
  std::uint64_t healEvery_;
  Explored out_;
  std::unordered_map<std::size_t, unsigned> seen_;
};

}  // namespace

Explored exploreMembers(unsigned depth, unsigned crashes, std::uint64_t healEvery) {
  return Explorer(depth, crashes, healEvery).go();
}

}  // namespace hollyrun::lab
