#include <nlohmann/json.hpp>
#include <utility>

#include "membership/message.hpp"
#include "membership/message_format.hpp"

namespace hollyrun::membership {
namespace {

using nlohmann::json;

// Far above the incarnation of any real process. A claim above it could not be refuted, since receivers would
// reject the refutation.
constexpr std::uint64_t kMaxIncarnation = std::uint64_t{1} << 48;

// Reads the elements of an array in order. A missing element or one of the wrong type invalidates the reader;
// values returned from then on are meaningless.
class ArrayReader {
 public:
  explicit ArrayReader(const json& array) : array_(array), valid_(array.is_array()) {}

  bool valid() const { return valid_; }
  void fail() { valid_ = false; }

  const json* next() {
    if (valid_ && position_ < array_.size())
      return &array_[position_++];
    valid_ = false;
    return nullptr;
  }

  std::uint64_t number(std::uint64_t maximum = UINT64_MAX) {
    const json* element = next();
    if (element && element->is_number_unsigned() && element->get<std::uint64_t>() <= maximum)
      return element->get<std::uint64_t>();
    valid_ = false;
    return 0;
  }

  std::string text() {
    const json* element = next();
    if (element && element->is_string()) {
      const auto& value = element->get_ref<const std::string&>();
      if (value.size() <= kMaxTextBytes && !hasControlCharacter(value))
        return value;
    }
    valid_ = false;
    return {};
  }

  std::string nonEmptyText() {
    std::string value = text();
    if (value.empty())
      valid_ = false;
    return value;
  }

  Address address() {
    Address address;
    address.ip = static_cast<std::uint32_t>(number(UINT32_MAX));
    address.port = static_cast<std::uint16_t>(number(UINT16_MAX));
    return address;
  }

 private:
  // Texts with control characters are rejected, since texts are logged and shown to operators.
  static bool hasControlCharacter(const std::string& value) {
    for (const unsigned char byte : value)
      if (byte < 0x20 || byte == 0x7f)
        return true;
    return false;
  }

  const json& array_;
  std::size_t position_ = 0;
  bool valid_;
};

std::optional<MemberRecord> decodeRecord(const json& array) {
  ArrayReader reader(array);
  MemberRecord record;
  record.state = static_cast<MemberState>(reader.number(static_cast<unsigned>(MemberState::left)));
  record.name = reader.nonEmptyText();
  record.incarnation = reader.number(kMaxIncarnation);
  record.epoch = reader.number();
  if (record.state == MemberState::suspect || record.state == MemberState::dead)
    record.reportedBy = reader.text();
  if (record.state == MemberState::joining || record.state == MemberState::alive) {
    record.address = reader.address();
    record.zone = reader.text();
    record.region = reader.text();
    record.version = reader.text();
    record.settingsDigest = reader.number();
    record.startedMs = static_cast<std::int64_t>(reader.number(INT64_MAX));
    if (record.address.port == 0)
      reader.fail();
  }
  return reader.valid() ? std::optional(record) : std::nullopt;
}

// Removes the checksum from the end of `bytes` and returns whether it matches.
bool removeChecksum(std::string_view& bytes) {
  const std::string_view checksum = bytes.substr(bytes.size() - kChecksumBytes);
  bytes.remove_suffix(kChecksumBytes);
  return checksum == checksumOf(bytes);
}

// A declared length that exceeds the memory throws even though the parser's exceptions are disabled.
json parseCbor(std::string_view bytes) {
  try {
    return json::from_cbor(bytes, true, false);
  } catch (const std::exception&) {
    return json(json::value_t::discarded);
  }
}

std::optional<DecodeError> checkHeader(const json& array, std::string_view fleet) {
  if (!array.is_array() || array.size() < kHeaderElements || !array[0].is_number_unsigned())
    return DecodeError::invalid;
  if (array[0] != kFormatVersion)
    return DecodeError::otherVersion;
  if (!array[1].is_string())
    return DecodeError::invalid;
  if (array[1].get_ref<const std::string&>() != fleet)
    return DecodeError::otherFleet;
  return std::nullopt;
}

bool decodeSender(ArrayReader& reader, Message& message) {
  const json* array = reader.next();
  auto sender = array ? decodeRecord(*array) : std::nullopt;
  if (!sender || sender->state == MemberState::dead)
    return false;
  message.sender = std::move(*sender);
  return true;
}

bool decodeUpdates(ArrayReader& reader, Message& message) {
  const json* array = reader.next();
  if (!array || !array->is_array())
    return false;
  for (const json& element : *array) {
    auto record = decodeRecord(element);
    if (!record)
      return false;
    message.updates.push_back(std::move(*record));
  }
  return true;
}

bool decodeBuckets(ArrayReader& reader, Message& message) {
  const json* array = reader.next();
  if (!array || !array->is_array() || array->size() != kBucketCount)
    return false;
  for (const json& digest : *array) {
    if (!digest.is_number_unsigned())
      return false;
    message.buckets.push_back(digest.get<std::uint64_t>());
  }
  return true;
}

bool decodeTypeElements(ArrayReader& reader, Message& message) {
  switch (message.type) {
    case MessageType::indirectPing:
      message.target = reader.nonEmptyText();
      message.targetAddress = reader.address();
      return true;
    case MessageType::pull:
      message.cursor = reader.text();
      return decodeBuckets(reader, message);
    case MessageType::view:
      message.cursor = reader.text();
      return true;
    default:
      return true;
  }
}

std::optional<Message> decodeMessage(const json& array) {
  ArrayReader reader(array);
  reader.next();  // the version
  reader.next();  // the fleet
  Message message;
  message.type = static_cast<MessageType>(reader.number(static_cast<unsigned>(MessageType::view)));
  message.sequence = reader.number();
  message.nonce = reader.number();
  message.viewDigest = reader.number();
  const bool complete = decodeSender(reader, message) && decodeUpdates(reader, message) &&
                        decodeTypeElements(reader, message) && reader.valid();
  return complete ? std::optional(std::move(message)) : std::nullopt;
}

}  // namespace

std::optional<Message> decode(std::string_view bytes, std::string_view fleet, DecodeError& error) {
  const auto failed = [&error](DecodeError found) {
    error = found;
    return std::nullopt;
  };
  if (bytes.size() > kMaxDatagramBytes)
    return failed(DecodeError::tooLong);
  if (bytes.size() <= kChecksumBytes)
    return failed(DecodeError::undecodable);
  if (!removeChecksum(bytes))
    return failed(DecodeError::corrupted);
  const json array = parseCbor(bytes);
  if (array.is_discarded())
    return failed(DecodeError::undecodable);
  if (const auto headerError = checkHeader(array, fleet))
    return failed(*headerError);
  auto message = decodeMessage(array);
  return message ? std::move(message) : failed(DecodeError::invalid);
}

}  // namespace hollyrun::membership
