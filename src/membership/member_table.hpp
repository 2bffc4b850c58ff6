/// The view of the fleet: the last accepted record of each other member, and digests over those present.
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

/// Another member as this process holds it.
struct Member {
  MemberRecord record;
  Time stateSince{};                        ///< when it entered its state
  std::uint64_t lastSequence = 0;           ///< of its latest datagram; 0 after a restart
  std::uint64_t viewDigest = 0;             ///< of its view, as it last announced it
  Time lastHeard{};                         ///< last datagram from itself; 0: none
  std::vector<std::string> differingNames;  ///< while its view differs: names that may be why
};

using BucketDigests = std::array<std::uint64_t, kBucketCount>;

class MemberTable {
 public:
  using Members = std::map<std::string, Member>;

  const Members& members() const { return members_; }
  const Member* find(const std::string& name) const;
  Member* find(const std::string& name);
  /// Whether this process of that name is known: the same name and epoch.
  bool knowsProcess(const MemberRecord& record) const;

  Member& insert(const MemberRecord& record, Time now);
  /// Replaces the record and keeps the digests and counts over the present members.
  void update(Member& member, const MemberRecord& record, Time now);
  /// Removes the dead or left member that has been so for longest; its name, or nothing if there is none.
  std::optional<std::string> evictOldestGone();
  /// Removes members that left or died longer than `timeout` ago; their names.
  std::vector<std::string> removeExpired(Time now, Duration timeout);

  std::size_t size() const { return members_.size(); }
  std::size_t presentCount() const { return presentCount_; }  ///< without ourselves
  bool allPresent() const { return members_.size() == presentCount_; }
  std::size_t countNotLeft() const;
  bool isPresentAt(const Address& address) const { return presentAddresses_.count(address) > 0; }
  /// Distinct addresses of the present members, ascending.
  std::vector<Address> presentAddressesExcept(const Address& own) const;
  /// Present members by zone, `self` included.
  std::map<std::string, std::size_t> presentByZone(const MemberRecord& self) const;

  static std::size_t bucketOf(const std::string& name);
  /// Digests over the present members of each bucket, `self` included.
  BucketDigests bucketDigests(const MemberRecord& self) const;
  /// Over names, epochs and incarnations of those present, `self` included; equal views have equal digests.
  std::uint64_t viewDigest(const MemberRecord& self) const;
  /// Present members whose last announced view digest is not `ownDigest`.
  std::vector<std::string> disagreeing(std::uint64_t ownDigest) const;

 private:
  static std::uint64_t digestOf(const MemberRecord& record);
  void addPresent(const MemberRecord& record);
  void removePresent(const MemberRecord& record);

  Members members_;
  BucketDigests buckets_{};  // sums over the present members
  std::size_t presentCount_ = 0;
  std::map<Address, std::size_t> presentAddresses_;  // how many present members claim each address
};

}  // namespace hollyrun::membership
