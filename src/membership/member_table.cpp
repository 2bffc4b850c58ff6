#include "membership/member_table.hpp"

#include <utility>

#define XXH_INLINE_ALL
#include <xxhash.h>

namespace hollyrun::membership {

const Member* MemberTable::find(const std::string& name) const {
  const auto found = members_.find(name);
  return found == members_.end() ? nullptr : &found->second;
}

Member* MemberTable::find(const std::string& name) {
  const auto found = members_.find(name);
  return found == members_.end() ? nullptr : &found->second;
}

bool MemberTable::knowsProcess(const MemberRecord& record) const {
  const Member* member = find(record.name);
  return member && member->record.epoch == record.epoch;
}

Member& MemberTable::insert(const MemberRecord& record, Time now) {
  Member& member = members_[record.name];
  member.stateSince = now;
  update(member, record, now);
  return member;
}

void MemberTable::update(Member& member, const MemberRecord& record, Time now) {
  const MemberRecord before = std::exchange(member.record, record);
  const bool isNew = before.name.empty();
  if (!isNew && isPresent(before.state))
    removePresent(before);
  if (isPresent(record.state))
    addPresent(record);
  if (before.state != record.state || before.epoch != record.epoch)
    member.stateSince = now;
  if (before.epoch != record.epoch) {
    member.lastSequence = 0;
    member.lastHeard = Time{};
  }
}

std::optional<std::string> MemberTable::evictLongestAbsent() {
  auto oldest = members_.end();
  for (auto member = members_.begin(); member != members_.end(); ++member)
    if (!isPresent(member->second.record.state) &&
        (oldest == members_.end() || member->second.stateSince < oldest->second.stateSince))
      oldest = member;
  if (oldest == members_.end())
    return std::nullopt;
  std::string name = oldest->first;
  members_.erase(oldest);
  return name;
}

std::vector<std::string> MemberTable::removeExpired(Time now, Duration timeout) {
  std::vector<std::string> removed;
  if (allPresent())
    return removed;
  std::erase_if(members_, [&](const auto& entry) {
    const Member& member = entry.second;
    if (isPresent(member.record.state) || now - member.stateSince <= timeout)
      return false;
    removed.push_back(entry.first);
    return true;
  });
  return removed;
}

std::size_t MemberTable::countNotLeft() const {
  std::size_t count = 0;
  for (const auto& [name, member] : members_)
    count += member.record.state != MemberState::left;
  return count;
}

std::vector<Address> MemberTable::presentAddressesExcept(const Address& own) const {
  std::vector<Address> addresses;
  for (const auto& [address, count] : presentAddresses_)
    if (address != own)
      addresses.push_back(address);
  return addresses;
}

std::map<std::string, std::size_t> MemberTable::presentByZone(const MemberRecord& self) const {
  std::map<std::string, std::size_t> counts{{self.zone, 1}};
  for (const auto& [name, member] : members_)
    if (isPresent(member.record.state))
      ++counts[member.record.zone];
  return counts;
}

std::size_t MemberTable::bucketOf(const std::string& name) {
  return XXH3_64bits(name.data(), name.size()) % kBucketCount;
}

BucketDigests MemberTable::bucketDigests(const MemberRecord& self) const {
  BucketDigests digests = buckets_;
  digests[bucketOf(self.name)] += digestOf(self);
  return digests;
}

std::uint64_t MemberTable::viewDigest(const MemberRecord& self) const {
  std::uint64_t sum = digestOf(self);
  for (const std::uint64_t bucket : buckets_)
    sum += bucket;
  return sum;
}

std::vector<std::string> MemberTable::disagreeing(std::uint64_t ownDigest) const {
  std::vector<std::string> names;
  for (const auto& [name, member] : members_)
    if (isPresent(member.record.state) && member.lastHeard > Time{} && member.viewDigest != ownDigest)
      names.push_back(name);
  return names;
}

std::uint64_t MemberTable::digestOf(const MemberRecord& record) {
  const std::uint64_t process[2] = {record.epoch, record.incarnation};
  return XXH3_64bits_withSeed(record.name.data(), record.name.size(), XXH3_64bits(process, sizeof process));
}

void MemberTable::addPresent(const MemberRecord& record) {
  buckets_[bucketOf(record.name)] += digestOf(record);
  ++presentCount_;
  ++presentAddresses_[record.address];
}

void MemberTable::removePresent(const MemberRecord& record) {
  buckets_[bucketOf(record.name)] -= digestOf(record);
  --presentCount_;
  const auto address = presentAddresses_.find(record.address);
  if (--address->second == 0)
    presentAddresses_.erase(address);
}

}  // namespace hollyrun::membership
