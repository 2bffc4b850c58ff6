#include "membership/anti_entropy.hpp"

namespace hollyrun::membership {
namespace {

constexpr std::size_t kMaxDifferingNames = 8;

// Appends the records after the pull's cursor whose buckets differ, up to kMaxUpdatesPerDatagram. Returns
// whether there are more.
bool appendDifferingRecords(Message& view, const Message& pull, const MemberTable& table,
                            const MemberRecord& self) {
  const BucketDigests own = table.bucketDigests(self);
  const auto& members = table.members();
  for (auto entry = members.upper_bound(pull.cursor); entry != members.end(); ++entry) {
    const std::size_t bucket = MemberTable::bucketOf(entry->first);
    if (own[bucket] == pull.buckets[bucket])
      continue;
    if (view.updates.size() == kMaxUpdatesPerDatagram)
      return true;
    view.updates.push_back(entry->second.record);
  }
  return false;
}

}  // namespace

std::vector<std::string> differingNames(const Message& pull, const MemberTable& table,
                                        const MemberRecord& self) {
  std::vector<std::string> names;
  const BucketDigests own = table.bucketDigests(self);
  const auto addIfDiffering = [&](const std::string& name) {
    const std::size_t bucket = MemberTable::bucketOf(name);
    if (own[bucket] != pull.buckets[bucket] && names.size() < kMaxDifferingNames)
      names.push_back(name);
  };
  addIfDiffering(self.name);
  for (const auto& [name, member] : table.members())
    addIfDiffering(name);
  return names;
}

void fillView(Message& view, const Message& pull, const MemberTable& table, const MemberRecord& self,
              std::string_view fleet) {
  const bool moreThanCandidates = appendDifferingRecords(view, pull, table, self);
  // The cursor depends on how many records fit, so the trial encoding uses the longest possible cursor.
  std::size_t encodedUpdates = 0;
  view.cursor = std::string(kMaxTextBytes, '~');
  encode(view, fleet, encodedUpdates);
  const bool isPartial = moreThanCandidates || encodedUpdates < view.updates.size();
  view.updates.resize(encodedUpdates);
  view.cursor = isPartial && encodedUpdates > 0 ? view.updates.back().name : std::string();
}

}  // namespace hollyrun::membership
