/// The view of the fleet: the last accepted record of each other member, and digests of the present members.
#pragma once

#include <array>
#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "membership/fingerprint.hpp"
#include "membership/message.hpp"
#include "membership/time.hpp"

namespace hollyrun::membership {

/// What this process knows of another member.
struct Member {
  MemberRecord record;
  Time stateSince{};                        ///< when it entered its current state
  std::uint64_t lastSequence = 0;           ///< sequence number of its latest datagram; 0 after a restart
  std::uint64_t viewDigest = 0;             ///< the digest of its view that it announced last
  Time lastHeard{};                         ///< time of its latest datagram; 0 if none was received
  std::vector<std::string> differingNames;  ///< members that its view may differ in, while it differs
};

using BucketDigests = std::array<std::uint64_t, kBucketCount>;

/// The records of all known members except this one, and counts and digests of those present.
class MemberTable {
 public:
  using Members = std::map<std::string, Member>;

  const Members& members() const { return members_; }
  const Member* find(const std::string& name) const;
  Member* find(const std::string& name);
  /// Whether the table contains this process of the member, i.e. the same name and epoch.
  bool knowsProcess(const MemberRecord& record) const;

  Member& insert(const MemberRecord& record, Time now);
  /// Replaces the record and updates the digests and counts of the present members.
  void update(Member& member, const MemberRecord& record, Time now);
  /// Removes the member that has been dead or left for the longest time. Returns its name, or nothing if
  /// there is no such member.
  std::optional<std::string> evictLongestAbsent();
  /// Removes members that left or died longer than `timeout` ago and returns their names.
  std::vector<std::string> removeExpired(Time now, Duration timeout);

  std::size_t size() const { return members_.size(); }
  std::size_t presentCount() const { return presentCount_; }  ///< excludes this member
  bool allPresent() const { return members_.size() == presentCount_; }
  std::size_t countNotLeft() const;
  bool isPresentAt(const Address& address) const { return presentAddresses_.count(address) > 0; }
  /// Returns the distinct addresses of the present members except `own`, in ascending order.
  std::vector<Address> presentAddressesExcept(const Address& own) const;
  /// Counts the present members of each zone, including `self`.
  std::map<std::string, std::size_t> presentByZone(const MemberRecord& self) const;

  static std::size_t bucketOf(const std::string& name);
  /// Returns the digest of the present members in each bucket, including `self`.
  BucketDigests bucketDigests(const MemberRecord& self) const;
  /// Returns the digest of the names, epochs and incarnations of the present members, including `self`. Equal
  /// views have equal digests.
  std::uint64_t viewDigest(const MemberRecord& self) const;
  /// Returns the present members whose last announced view digest differs from `ownDigest`.
  std::vector<std::string> disagreeing(std::uint64_t ownDigest) const;

 private:
  static std::uint64_t digestOf(const MemberRecord& record);
  void addPresent(const MemberRecord& record);
  void removePresent(const MemberRecord& record);

  Members members_;
  BucketDigests buckets_{};  // sums of the digests of the present members
  std::size_t presentCount_ = 0;
  std::map<Address, std::size_t> presentAddresses_;  // number of present members at each address
};

}  // namespace hollyrun::membership
