#include "membership/message.hpp"

#include <algorithm>
#include <nlohmann/json.hpp>
#include <tuple>

#define XXH_INLINE_ALL
#include <xxhash.h>

namespace hollyrun::membership {
namespace {

using nlohmann::json;

// Of the form. A receiver reads what it knows and passes over what later versions add behind it.
constexpr std::uint64_t kVersion = 1;
// No life comes near it, and a claim above it could not be refuted any more.
constexpr std::uint64_t kMostIncarnation = std::uint64_t{1} << 48;
constexpr std::size_t kHead = 8;  // elements before the parts of each type
// Behind the array: a CBOR number of eight bytes, the array's hash. Danger: the way spoils datagrams also
// behind UDP's own check (16 bits, and relays compute it anew); one wrong byte can make a living member a
// dead one.
constexpr std::size_t kSum = 9;
constexpr char kSumHead = 0x1b;
constexpr std::size_t kFrame = 16 + kSum;  // with the bytes for the arrays' heads

json toJson(const Record& r) {
  json j = json::array({static_cast<unsigned>(r.state), r.name, r.incarnation, r.epoch});
  if (r.state == State::suspect || r.state == State::dead)
    j.push_back(r.by);
  if (r.state == State::suspect || r.state == State::dead || r.state == State::left)
    return j;
  j.push_back(r.address.ip);
  j.push_back(r.address.port);
  j.push_back(r.zone);
  j.push_back(r.region);
  j.push_back(r.version);
  j.push_back(r.settings);
  j.push_back(static_cast<std::uint64_t>(std::max<std::int64_t>(r.startedMs, 0)));
  return j;
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

// Takes element after element; what is missing or of another kind makes the whole nonsense.
class Elements {
 public:
  explicit Elements(const json& array) : array_(array), good_(array.is_array()) {}
  bool good() const { return good_; }
  bool fail() { return good_ = false; }
  const json* next() {
    if (good_ && at_ < array_.size())
      return &array_[at_++];
    good_ = false;
    return nullptr;
  }
  std::uint64_t number(std::uint64_t most = UINT64_MAX) {
    const json* j = next();
    if (!j || !j->is_number_unsigned() || j->get<std::uint64_t>() > most)
      return good_ = false, 0;
    return j->get<std::uint64_t>();
  }
  std::string text(bool needed = false) {
    const json* j = next();
    if (!j || !j->is_string())
      return good_ = false, std::string();
    const auto& value = j->get_ref<const std::string&>();
    if (value.size() > kMostText || (needed && value.empty()))
      return good_ = false, std::string();
    for (const unsigned char c : value)  // they are logged and shown
      if (c < 0x20 || c == 0x7f)
        return good_ = false, std::string();
    return value;
  }

 private:
  const json& array_;
  std::size_t at_ = 0;
  bool good_;
};

std::optional<Record> recordOf(const json& j) {
  Elements in(j);
  Record r;
  r.state = static_cast<State>(in.number(static_cast<unsigned>(State::left)));
  r.name = in.text(true);
  r.incarnation = in.number(kMostIncarnation);
  r.epoch = in.number();
  if (r.state == State::suspect || r.state == State::dead)
    r.by = in.text();
  if (r.state == State::joining || r.state == State::alive) {
    r.address.ip = static_cast<std::uint32_t>(in.number(UINT32_MAX));
    r.address.port = static_cast<std::uint16_t>(in.number(UINT16_MAX));
    r.zone = in.text();
    r.region = in.text();
    r.version = in.text();
    r.settings = in.number();
    r.startedMs = static_cast<std::int64_t>(in.number(INT64_MAX));
    if (r.address.port == 0)
      in.fail();
  }
  return in.good() ? std::optional(r) : std::nullopt;
}

}  // namespace

std::string sumOf(std::string_view bytes) {
  const std::uint64_t hash = XXH3_64bits(bytes.data(), bytes.size());
  std::string sum(1, kSumHead);
  for (int shift = 56; shift >= 0; shift -= 8)
    sum.push_back(static_cast<char>(hash >> shift & 0xff));
  return sum;
}

std::string textOf(const Address& a) {
  std::string text;
  for (int shift = 24; shift >= 0; shift -= 8)
    text += std::to_string(a.ip >> shift & 0xff) + (shift > 0 ? "." : ":");
  return text + std::to_string(a.port);
}

const char* nameOf(State state) {
  static const char* const names[] = {"joining", "alive", "suspect", "dead", "left"};
  return names[static_cast<int>(state)];
}

const char* nameOf(Bad bad) {
  static const char* const names[] = {"spoilt",        "undecodable", "other_fleet",
                                      "other_version", "too_long",    "nonsense"};
  return names[static_cast<int>(bad)];
}

std::strong_ordering Record::against(const Record& o) const {
  return std::tie(incarnation, epoch, state) <=> std::tie(o.incarnation, o.epoch, o.state);
}

std::string encode(const Message& m, std::string_view fleet, std::size_t& took) {
  Record self = m.self;
  if (self.state == State::suspect || self.state == State::dead)
    self.state = State::alive;
  const json head = json::array({kVersion, std::string(fleet), static_cast<unsigned>(m.type), m.sequence,
                                 m.nonce, m.digest, toJson(self)});
  json parts = json::array();
  if (m.type == Type::pingFor)
    parts = json::array({m.target, m.at.ip, m.at.port});
  else if (m.type == Type::pull)
    parts = json::array({m.cursor, m.buckets});
  else if (m.type == Type::view)
    parts = json::array({m.cursor});
  std::string bytes = arrayHead(kHead + parts.size());
  appendElements(bytes, head);
  std::string tail;
  appendElements(tail, parts);
  // Each record is encoded once, as it is tried whether it fits.
  const std::size_t used = bytes.size() + arrayHead(0).size() + tail.size() + kFrame;
  std::string news;
  took = 0;
  for (const Record& r : m.news) {
    const std::size_t before = news.size();
    json::to_cbor(toJson(r), news);
    if (used + news.size() > kMostBytes) {
      news.resize(before);
      break;
    }
    ++took;
  }
  bytes += arrayHead(took) + news + tail;
  return bytes + sumOf(bytes);
}

std::optional<Message> decode(std::string_view bytes, std::string_view fleet, Bad& why) {
  const auto no = [&why](Bad bad) {
    why = bad;
    return std::nullopt;
  };
  if (bytes.size() > kMostBytes)
    return no(Bad::tooLong);
  if (bytes.size() <= kSum)
    return no(Bad::undecodable);
  const std::string_view sum = bytes.substr(bytes.size() - kSum);
  bytes.remove_suffix(kSum);
  if (sum != sumOf(bytes))
    return no(Bad::spoilt);
  json j;
  try {  // Danger: a declared length beyond all memory throws also where exceptions are turned off.
    j = json::from_cbor(bytes, true, false);
  } catch (const std::exception&) {
    return no(Bad::undecodable);
  }
  if (j.is_discarded())
    return no(Bad::undecodable);
  if (!j.is_array() || j.size() < kHead || !j[0].is_number_unsigned())
    return no(Bad::nonsense);
  if (j[0] != kVersion)
    return no(Bad::otherVersion);
  if (!j[1].is_string())
    return no(Bad::nonsense);
  if (j[1].get_ref<const std::string&>() != fleet)
    return no(Bad::otherFleet);
  Elements in(j);
  in.number(), in.next();
  Message m;
  m.type = static_cast<Type>(in.number(static_cast<unsigned>(Type::view)));
  m.sequence = in.number();
  m.nonce = in.number();
  m.digest = in.number();
  const json* self = in.next();
  const json* news = in.next();
  const auto own = self ? recordOf(*self) : std::nullopt;
  if (!own || !news || !news->is_array())
    return no(Bad::nonsense);
  if (own->state != State::left && !present(own->state))
    return no(Bad::nonsense);
  m.self = *own;
  for (const json& one : *news) {
    auto r = recordOf(one);
    if (!r)
      return no(Bad::nonsense);
    m.news.push_back(std::move(*r));
  }
  if (m.type == Type::pingFor) {
    m.target = in.text(true);
    m.at.ip = static_cast<std::uint32_t>(in.number(UINT32_MAX));
    m.at.port = static_cast<std::uint16_t>(in.number(UINT16_MAX));
  } else if (m.type == Type::pull || m.type == Type::view) {
    m.cursor = in.text();
  }
  if (m.type == Type::pull) {
    const json* buckets = in.next();
    if (!buckets || !buckets->is_array() || buckets->size() != kBuckets)
      return no(Bad::nonsense);
    for (const json& b : *buckets) {
      if (!b.is_number_unsigned())
        return no(Bad::nonsense);
      m.buckets.push_back(b.get<std::uint64_t>());
    }
  }
  return in.good() ? std::optional(std::move(m)) : no(Bad::nonsense);
}

}  // namespace hollyrun::membership
