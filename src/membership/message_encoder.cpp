#include <algorithm>
#include <nlohmann/json.hpp>

#include "membership/message.hpp"
#include "membership/message_format.hpp"

namespace hollyrun::membership {
namespace {

using nlohmann::json;

// Upper bound for the two array heads and the checksum.
constexpr std::size_t kFramingBytes = 16 + kChecksumBytes;

json toJson(const MemberRecord& record) {
  const bool isReported = record.state == MemberState::suspect || record.state == MemberState::dead;
  json array =
      json::array({static_cast<unsigned>(record.state), record.name, record.incarnation, record.epoch});
  if (isReported)
    array.push_back(record.reportedBy);
  if (isReported || record.state == MemberState::left)
    return array;
  array.push_back(record.address.ip);
  array.push_back(record.address.port);
  array.push_back(record.zone);
  array.push_back(record.region);
  array.push_back(record.version);
  array.push_back(record.settingsDigest);
  array.push_back(static_cast<std::uint64_t>(std::max<std::int64_t>(record.startedMs, 0)));
  return array;
}

// Returns the head of a CBOR array with fewer than 256 elements.
std::string arrayHead(std::size_t elements) {
  constexpr std::size_t kMinLengthInSecondByte = 24;
  constexpr char kArrayHead = '\x80', kArrayHeadWithLengthByte = '\x98';
  if (elements < kMinLengthInSecondByte)
    return std::string(1, static_cast<char>(kArrayHead + elements));
  return {kArrayHeadWithLengthByte, static_cast<char>(elements)};
}

void appendElements(std::string& bytes, const json& array) {
  for (const json& element : array)
    json::to_cbor(element, bytes);
}

// Returns the sender's own record. A member announces itself as alive; only others report it suspect or dead.
json senderRecord(MemberRecord sender) {
  if (sender.state == MemberState::suspect || sender.state == MemberState::dead)
    sender.state = MemberState::alive;
  return toJson(sender);
}

// Returns the elements at the end of the array that depend on the message type.
json typeElements(const Message& message) {
  switch (message.type) {
    case MessageType::indirectPing:
      return json::array({message.target, message.targetAddress.ip, message.targetAddress.port});
    case MessageType::pull:
      return json::array({message.cursor, message.buckets});
    case MessageType::view:
      return json::array({message.cursor});
    default:
      return json::array();
  }
}

// Encodes as many updates as fit into `available` bytes. Each record is encoded once: if it does not fit, its
// bytes are removed again.
std::string encodeUpdates(const std::vector<MemberRecord>& updates, std::size_t available,
                          std::size_t& encodedUpdates) {
  std::string bytes;
  encodedUpdates = 0;
  for (const MemberRecord& record : updates) {
    const std::size_t sizeBefore = bytes.size();
    json::to_cbor(toJson(record), bytes);
    if (bytes.size() > available) {
      bytes.resize(sizeBefore);
      break;
    }
    ++encodedUpdates;
  }
  return bytes;
}

}  // namespace

std::string encode(const Message& message, std::string_view fleet, std::size_t& encodedUpdates) {
  const json header =
      json::array({kFormatVersion, std::string(fleet), static_cast<unsigned>(message.type), message.sequence,
                   message.nonce, message.viewDigest, senderRecord(message.sender)});
  const json trailing = typeElements(message);
  std::string bytes = arrayHead(kHeaderElements + trailing.size());
  appendElements(bytes, header);
  std::string tail;
  appendElements(tail, trailing);
  const std::size_t used = bytes.size() + arrayHead(0).size() + tail.size() + kFramingBytes;
  const std::size_t available = used < kMaxDatagramBytes ? kMaxDatagramBytes - used : 0;
  const std::string updates = encodeUpdates(message.updates, available, encodedUpdates);
  bytes += arrayHead(encodedUpdates) + updates + tail;
  return bytes + checksumOf(bytes);
}

}  // namespace hollyrun::membership
