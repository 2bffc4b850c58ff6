/// The messages that the members of a fleet exchange. A datagram is a CBOR array followed by its checksum;
/// docs/membership.md specifies the format.
#pragma once

#include <compare>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace hollyrun::membership {

inline constexpr std::size_t kMaxDatagramBytes = 1200;  ///< fits every path's MTU without fragmentation
inline constexpr std::size_t kMaxTextBytes = 64;        ///< of a name, zone, region, version or fleet
inline constexpr std::size_t kBucketCount = 32;         ///< parts of a view whose digests are compared
/// Updates that are considered for one datagram; some ten fit.
inline constexpr std::size_t kMaxUpdatesPerDatagram = 24;

/// A UDP endpoint over IPv4, in host byte order.
struct Address {
  std::uint32_t ip = 0;
  std::uint16_t port = 0;
  auto operator<=>(const Address&) const = default;
};
std::string textOf(const Address& address);

/// Ordered by precedence: of two claims with one epoch and incarnation the later enumerator wins.
enum class MemberState : std::uint8_t { joining, alive, suspect, dead, left };
/// The text in /ops/fleet and in metric labels.
const char* nameOf(MemberState state);

/// Whether a member in this state counts as part of the fleet.
inline bool isPresent(MemberState state) {
  return state <= MemberState::suspect;
}

/// A claim about one member: what it says of itself, and the state that the claimant holds it to be in.
struct MemberRecord {
  std::string name;
  Address address;
  std::string zone, region, version;
  std::uint64_t settingsDigest = 0;  ///< of the settings that it serves by
  std::int64_t startedMs = 0;        ///< Unix time in milliseconds, for display; decides nothing
  std::uint64_t epoch = 0;           ///< drawn at each start: distinguishes the processes of one name
  std::uint64_t incarnation = 0;     ///< raised by the member itself alone, to refute claims about it
  MemberState state = MemberState::joining;
  std::string reportedBy;  ///< the member that claimed suspect or dead

  /// Precedence of two claims about one name: the greater holds, in whatever order they arrive.
  std::strong_ordering comparePrecedence(const MemberRecord& other) const;
};

/// Whether what the two records say of address, zone, region, version and settings is equal.
bool sameDescription(const MemberRecord& left, const MemberRecord& right);

enum class MessageType : std::uint8_t { ping, ack, indirectPing, indirectAck, nack, leave, pull, view };

struct Message {
  MessageType type = MessageType::ping;
  std::uint64_t sequence = 0;    ///< rises with each datagram of the sender's process
  std::uint64_t nonce = 0;       ///< a response repeats the request's
  std::uint64_t viewDigest = 0;  ///< of the sender's view
  MemberRecord sender;
  std::vector<MemberRecord> updates;   ///< gossip; in a view: the records of the buckets that differ
  std::string target;                  ///< indirectPing: the member to probe
  Address targetAddress;               ///< indirectPing
  std::vector<std::uint64_t> buckets;  ///< pull: bucket digests of the requester's view
  std::string cursor;  ///< pull: names after it are wanted; view: the next pull's cursor, empty at the end
};

/// The checksum that follows these CBOR bytes in a datagram.
std::string checksumOf(std::string_view bytes);

/// Encodes one datagram of at most kMaxDatagramBytes. Updates that do not fit are left out, from the end;
/// `encodedUpdates` is set to the number that were written.
std::string encode(const Message& message, std::string_view fleet, std::size_t& encodedUpdates);

/// Why a datagram was dropped.
enum class DecodeError { corrupted, undecodable, otherFleet, otherVersion, tooLong, invalid };
inline constexpr std::size_t kDecodeErrorCount = 6;
/// The text in /ops/fleet and in metric labels, which is older than the enumerators: corrupted is "spoilt"
/// and invalid is "nonsense".
const char* nameOf(DecodeError error);

/// Never throws, whatever the bytes; `error` is set where nothing is returned.
std::optional<Message> decode(std::string_view bytes, std::string_view fleet, DecodeError& error);

}  // namespace hollyrun::membership
