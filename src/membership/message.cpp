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
  if (r.state == State::suspect || r.state == State::dead) j.push_back(r.by);
  if (r.state == State::suspect || r.state == State::dead || r.state == State::left) return j;
  for (json part :
       {json(r.address.ip), json(r.address.port), json(r.zone), json(r.region), json(r.version),
        json(r.settings), json(static_cast<std::uint64_t>(std::max<std::int64_t>(r.startedMs, 0)))})
    j.push_back(std::move(part));
  return j;
}

// Takes element after element; what is missing or of another kind makes the whole nonsense.
class Elements {
 public:
  explicit Elements(const json& array) : array_(array), good_(array.is_array()) {}
  bool good() const { return good_; }
  bool fail() { return good_ = false; }
  const json* next() {
    if (good_ && at_ < array_.size()) return &array_[at_++];
    good_ = false;
    return nullptr;
  }
  std::uint64_t number(std::uint64_t most = UINT64_MAX) {
    const json* j = next();
    if (!j || !j->is_number_unsigned() || j->get<std::uint64_t>() > most) return good_ = false, 0;
    return j->get<std::uint64_t>();
  }
  std::string text(bool needed = false) {
    const json* j = next();
    if (!j || !j->is_string()) return good_ = false, std::string();
    const auto& value = j->get_ref<const std::string&>();
    if (value.size() > kMostText || (needed && value.empty())) return good_ = false, std::string();
    for (const unsigned char c : value)  // they are logged and shown
      if (c < 0x20 || c == 0x7f) return good_ = false, std::string();
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
  if (r.state == State::suspect || r.state == State::dead) r.by = in.text();
  if (r.state == State::joining || r.state == State::alive) {
    r.address.ip = static_cast<std::uint32_t>(in.number(UINT32_MAX));
    r.address.port = static_cast<std::uint16_t>(in.number(UINT16_MAX));
    r.zone = in.text();
    r.region = in.text();
    r.version = in.text();
    r.settings = in.number();
    r.startedMs = static_cast<std::int64_t>(in.number(INT64_MAX));
    if (r.address.port == 0) in.fail();
  }
  return in.good() ? std::optional(r) : std::nullopt;
}

}  // namespace

std::string sumOf(std::string_view bytes) {
  const std::uint64_t hash = XXH3_64bits(bytes.data(), bytes.size());
  std::string sum(1, kSumHead);
  for (int shift = 56; shift >= 0; shift -= 8) sum.push_back(static_cast<char>(hash >> shift & 0xff));
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
  if (self.state == State::suspect || self.state == State::dead) self.state = State::alive;
  json j = json::array({kVersion, std::string(fleet), static_cast<unsigned>(m.type), m.sequence, m.nonce,
                        m.digest, toJson(self), json::array()});
  if (m.type == Type::pingFor) j.push_back(m.target), j.push_back(m.at.ip), j.push_back(m.at.port);
  else if (m.type == Type::pull) j.push_back(m.cursor), j.push_back(m.buckets);
  else if (m.type == Type::view) j.push_back(m.cursor);
  std::size_t size = json::to_cbor(j).size() + kFrame;
  took = 0;
  for (const Record& r : m.news) {
    json one = toJson(r);
    size += json::to_cbor(one).size();
    if (size > kMostBytes) break;
    j[kHead - 1].push_back(std::move(one));
    ++took;
  }
  std::string bytes;
  json::to_cbor(j, bytes);
  return bytes + sumOf(bytes);
}

std::optional<Message> decode(std::string_view bytes, std::string_view fleet, Bad& why) {
  const auto no = [&why](Bad bad) {
    why = bad;
    return std::nullopt;
  };
  if (bytes.size() > kMostBytes) return no(Bad::tooLong);
  if (bytes.size() <= kSum) return no(Bad::undecodable);
  const std::string_view sum = bytes.substr(bytes.size() - kSum);
  bytes.remove_suffix(kSum);
  if (sum != sumOf(bytes)) return no(Bad::spoilt);
  json j;
  try {  // Danger: a declared length beyond all memory throws also where exceptions are turned off.
    j = json::from_cbor(bytes, true, false);
  } catch (const std::exception&) {
    return no(Bad::undecodable);
  }
  if (j.is_discarded()) return no(Bad::undecodable);
  if (!j.is_array() || j.size() < kHead || !j[0].is_number_unsigned()) return no(Bad::nonsense);
  if (j[0] != kVersion) return no(Bad::otherVersion);
  if (!j[1].is_string()) return no(Bad::nonsense);
  if (j[1].get_ref<const std::string&>() != fleet) return no(Bad::otherFleet);
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
  if (!own || !news || !news->is_array()) return no(Bad::nonsense);
  if (own->state != State::left && !present(own->state)) return no(Bad::nonsense);
  m.self = *own;
  for (const json& one : *news) {
    auto r = recordOf(one);
    if (!r) return no(Bad::nonsense);
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
    if (!buckets || !buckets->is_array() || buckets->size() != kBuckets) return no(Bad::nonsense);
    for (const json& b : *buckets) {
      if (!b.is_number_unsigned()) return no(Bad::nonsense);
      m.buckets.push_back(b.get<std::uint64_t>());
    }
  }
  return in.good() ? std::optional(std::move(m)) : no(Bad::nonsense);
}

}  // namespace hollyrun::membership
