/// The messages between the members of a fleet. A datagram is a CBOR array followed by its checksum;
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
inline constexpr std::size_t kMaxTextBytes = 64;  ///< length limit of a name, zone, region, version or fleet
inline constexpr std::size_t kBucketCount = 32;   ///< parts of a view with a digest of their own
/// Maximum number of updates that are considered for a datagram, of which about ten fit.
inline constexpr std::size_t kMaxUpdatesPerDatagram = 24;

/// A UDP endpoint over IPv4, in host byte order.
struct Address {
  std::uint32_t ip = 0;
  std::uint16_t port = 0;
  auto operator<=>(const Address&) const = default;
};
std::string textOf(const Address& address);

/// Ordered by precedence: of two claims with the same epoch and incarnation, the later enumerator wins.
enum class MemberState : std::uint8_t { joining, alive, suspect, dead, left };
/// Returns the name used in /ops/fleet and in metric labels.
const char* nameOf(MemberState state);

/// Whether a member in this state counts as part of the fleet.
inline bool isPresent(MemberState state) {
  return state <= MemberState::suspect;
}

/// A claim about a member: the member's description of itself and the state that the claimant assumes.
struct MemberRecord {
  std::string name;
  Address address;
  std::string zone, region, version;
  std::uint64_t settingsDigest = 0;  ///< digest of the settings in use
  std::int64_t startedMs = 0;        ///< start as Unix time in milliseconds; for display only
  std::uint64_t epoch = 0;           ///< drawn at each start; distinguishes processes of the same name
  std::uint64_t incarnation = 0;     ///< only the member itself raises it, to refute claims
  MemberState state = MemberState::joining;
  std::string reportedBy;  ///< the member that reported the state suspect or dead

  /// Compares the precedence of two claims about the same name. The greater one applies, whichever arrives
  /// first.
  std::strong_ordering comparePrecedence(const MemberRecord& other) const;
};

/// Whether address, zone, region, version and settings of the two records are equal.
bool sameDescription(const MemberRecord& left, const MemberRecord& right);

enum class MessageType : std::uint8_t { ping, ack, indirectPing, indirectAck, nack, leave, pull, view };

struct Message {
  MessageType type = MessageType::ping;
  std::uint64_t sequence = 0;    ///< increases with each datagram of the sender's process
  std::uint64_t nonce = 0;       ///< a response repeats its request's nonce
  std::uint64_t viewDigest = 0;  ///< digest of the sender's view
  MemberRecord sender;
  std::vector<MemberRecord> updates;   ///< gossip, or the records of differing buckets in a view
  std::string target;                  ///< indirectPing: the member to probe
  Address targetAddress;               ///< indirectPing: the address of the target
  std::vector<std::uint64_t> buckets;  ///< pull: the bucket digests of the requester's view
  /// pull: only names after the cursor are requested; view: the cursor for the next pull, empty if complete.
  std::string cursor;
};

/// Returns the checksum that follows the CBOR bytes in a datagram.
std::string checksumOf(std::string_view bytes);

/// Encodes a datagram of at most kMaxDatagramBytes. Omits the last updates if not all fit, and sets
/// `encodedUpdates` to the number of encoded ones.
std::string encode(const Message& message, std::string_view fleet, std::size_t& encodedUpdates);

/// Reason why a datagram is dropped.
enum class DecodeError { corrupted, undecodable, otherFleet, otherVersion, tooLong, invalid };
inline constexpr std::size_t kDecodeErrorCount = 6;
/// Returns the name used in /ops/fleet and in metric labels. The names are kept for compatibility, so two of
/// them differ from the enumerators: corrupted is "spoilt" and invalid is "nonsense".
const char* nameOf(DecodeError error);

/// Decodes a datagram of any content without throwing. Sets `error` if it returns nothing.
std::optional<Message> decode(std::string_view bytes, std::string_view fleet, DecodeError& error);

}  // namespace hollyrun::membership
