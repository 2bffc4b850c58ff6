#include "membership/message.hpp"

#include <tuple>

#include "membership/message_format.hpp"

#define XXH_INLINE_ALL
#include <xxhash.h>

namespace hollyrun::membership {

std::string checksumOf(std::string_view bytes) {
  constexpr char kCborEightByteInteger = 0x1b;
  const std::uint64_t hash = XXH3_64bits(bytes.data(), bytes.size());
  std::string checksum(1, kCborEightByteInteger);
  checksum.reserve(kChecksumBytes);
  for (int shift = 56; shift >= 0; shift -= 8)
    checksum.push_back(static_cast<char>(hash >> shift & 0xff));
  return checksum;
}

std::string textOf(const Address& address) {
  std::string text;
  for (int shift = 24; shift >= 0; shift -= 8)
    text += std::to_string(address.ip >> shift & 0xff) + (shift > 0 ? "." : ":");
  return text + std::to_string(address.port);
}

const char* nameOf(MemberState state) {
  static const char* const names[] = {"joining", "alive", "suspect", "dead", "left"};
  return names[static_cast<int>(state)];
}

const char* nameOf(DecodeError error) {
  static const char* const names[] = {"spoilt",        "undecodable", "other_fleet",
                                      "other_version", "too_long",    "nonsense"};
  return names[static_cast<int>(error)];
}

bool sameDescription(const MemberRecord& left, const MemberRecord& right) {
  const auto fields = [](const MemberRecord& record) {
    return std::tie(record.address, record.zone, record.region, record.version, record.settingsDigest);
  };
  return fields(left) == fields(right);
}

std::strong_ordering MemberRecord::comparePrecedence(const MemberRecord& other) const {
  return std::tie(incarnation, epoch, state) <=> std::tie(other.incarnation, other.epoch, other.state);
}

}  // namespace hollyrun::membership
