#include "membership/failure_detector.hpp"

#include <utility>

namespace hollyrun::membership {

const Member* FailureDetector::nextTarget(const MemberTable& table, RandomSource& random) {
  expectedNacks_ = 0;
  receivedNacks_ = 0;
  bool roundStarted = false;
  while (true) {
    if (round_.empty()) {
      if (roundStarted)
        return nullptr;
      startRound(table, random);
      roundStarted = true;
      if (round_.empty())
        return nullptr;
    }
    const std::string name = std::move(round_.back());
    round_.pop_back();
    const Member* member = table.find(name);
    if (member && isPresent(member->record.state))
      return member;
  }
}

void FailureDetector::startRound(const MemberTable& table, RandomSource& random) {
  for (const auto& [name, member] : table.members())
    if (isPresent(member.record.state))
      round_.push_back(name);
  for (std::size_t i = round_.size(); i > 1; --i)
    std::swap(round_[i - 1], round_[random.drawBelow(i)]);
}

void FailureDetector::addTarget(const std::string& name, RandomSource& random) {
  const auto position = static_cast<std::ptrdiff_t>(random.drawBelow(round_.size() + 1));
  round_.insert(round_.begin() + position, name);
}

void FailureDetector::startProbe(std::uint64_t nonce, Time indirectAt) {
  nonce_ = nonce;
  indirectAt_ = indirectAt;
}

void FailureDetector::reset() {
  endProbe();
  round_.clear();
}

std::vector<Address> FailureDetector::selectProxies(const MemberTable& table, const std::string& target,
                                                    unsigned count, RandomSource& random) const {
  std::vector<const Member*> candidates;
  for (const auto& [name, member] : table.members())
    if (name != target &&
        (member.record.state == MemberState::alive || member.record.state == MemberState::joining))
      candidates.push_back(&member);
  std::vector<Address> proxies;
  while (proxies.size() < count && !candidates.empty()) {
    const std::size_t drawn = random.drawBelow(candidates.size());
    proxies.push_back(candidates[drawn]->record.address);
    candidates.erase(candidates.begin() + static_cast<std::ptrdiff_t>(drawn));
  }
  return proxies;
}

void FailureDetector::onIndirectPingsSent(unsigned proxies, Time nextInterval) {
  expectedNacks_ += proxies;
  if (expectedNacks_ == 0)
    indirectAt_ = nextInterval;
}

void FailureDetector::addTo(Fingerprint& fingerprint, Time now) const {
  fingerprint.add(isProbing(), expectedNacks_, receivedNacks_);
  if (awaitsDirectAck())
    fingerprint.add((indirectAt_ - now).count());
  for (const std::string& name : round_)
    fingerprint.add(name);
  fingerprint.endPart();
}

}  // namespace hollyrun::membership
