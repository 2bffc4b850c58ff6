#include <algorithm>
#include <nlohmann/json.hpp>

#include "membership/message.hpp"
#include "membership/message_format.hpp"

namespace hollyrun::membership {
namespace {

using nlohmann::json;

// Two array heads and the checksum, with a margin.
constexpr std::size_t kFrameBytes = 16 + kChecksumBytes;

json toJson(const MemberRecord& record) {
  const bool accused = record.state == MemberState::suspect || record.state == MemberState::dead;
  json array =
      json::array({static_cast<unsigned>(record.state), record.name, record.incarnation, record.epoch});
  if (accused)
    array.push_back(record.reportedBy);
  if (accused || record.state == MemberState::left)
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

// The head of a CBOR array of fewer than 256 elements.
std::string arrayHead(std::size_t elements) {
  constexpr std::size_t kInFirstByte = 24;
  constexpr char kArray = '\x80', kArrayLengthByte = '\x98';
  if (elements < kInFirstByte)
    return std::string(1, static_cast<char>(kArray + elements));
  return {kArrayLengthByte, static_cast<char>(elements)};
}

void appendElements(std::string& bytes, const json& array) {
  for (const json& element : array)
    json::to_cbor(element, bytes);
}

// The sender's own record; what others claim against it is not for it to say.
json senderRecord(MemberRecord sender) {
  if (sender.state == MemberState::suspect || sender.state == MemberState::dead)
    sender.state = MemberState::alive;
  return toJson(sender);
}

// The elements after the header that depend on the message's type.
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

// Encodes as many updates as fit into `available` bytes; each record is encoded once, to learn whether it
// fits.
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
  const std::size_t used = bytes.size() + arrayHead(0).size() + tail.size() + kFrameBytes;
  const std::size_t available = used < kMaxDatagramBytes ? kMaxDatagramBytes - used : 0;
  const std::string updates = encodeUpdates(message.updates, available, encodedUpdates);
  bytes += arrayHead(encodedUpdates) + updates + tail;
  return bytes + checksumOf(bytes);
}

}  // namespace hollyrun::membership
