#include "lab/soak/message_plan.hpp"

#include <array>
#include <charconv>

namespace hollyrun::lab {
namespace {

constexpr std::array<std::string_view, 3> kFramingNames = {"length", "chunked", "close"};

std::string_view valueOf(std::string_view target, std::string_view key) {
  std::string_view query = target.substr(std::min(target.find('?'), target.size()));
  while (!query.empty()) {
    query.remove_prefix(1);
    const std::string_view pair = query.substr(0, query.find('&'));
    query.remove_prefix(pair.size());
    if (pair.size() > key.size() && pair.substr(0, key.size()) == key && pair[key.size()] == '=')
      return pair.substr(key.size() + 1);
  }
  return {};
}

std::size_t numberOf(std::string_view target, std::string_view key, std::size_t fallback) {
  const std::string_view text = valueOf(target, key);
  std::size_t number = fallback;
  std::from_chars(text.data(), text.data() + text.size(), number);
  return number;
}

BodyFraming framingOf(std::string_view name) {
  for (std::size_t i = 0; i < kFramingNames.size(); ++i)
    if (kFramingNames[i] == name)
      return static_cast<BodyFraming>(i);
  return BodyFraming::length;
}

}  // namespace

std::string queryOf(const ServerPlan& plan) {
  const BodyPlan& response = plan.response;
  return "?read=" + std::to_string(plan.readBytesPerSecond) +
         "&framing=" + std::string(kFramingNames[static_cast<std::size_t>(response.framing)]) +
         "&bytes=" + std::to_string(response.bytes) + "&piece=" + std::to_string(response.pieceBytes) +
         "&pause=" + std::to_string(response.pause.count()) + "&ended=" + (response.isEnded ? "1" : "0") +
         (plan.shortFields > 0 ? "&fields=" + std::to_string(plan.shortFields) : "");
}

ServerPlan serverPlanOf(std::string_view target) {
  ServerPlan plan;
  plan.readBytesPerSecond = numberOf(target, "read", 0);
  plan.shortFields = numberOf(target, "fields", 0);
  BodyPlan& response = plan.response;
  response.framing = framingOf(valueOf(target, "framing"));
  response.bytes = numberOf(target, "bytes", response.bytes);
  response.pieceBytes = numberOf(target, "piece", response.pieceBytes);
  response.pause = std::chrono::milliseconds(numberOf(target, "pause", 0));
  response.isEnded = numberOf(target, "ended", 1) != 0;
  return plan;
}

char bodyByte(std::uint64_t bodyKey, std::size_t offset) {
  return static_cast<char>('a' + (bodyKey + offset * 7 + offset / 251) % 26);
}

std::uint64_t bodyKeyOf(std::string_view requestId) {
  std::uint64_t key = 0;
  for (const char c : requestId)
    key = key * 131 + static_cast<unsigned char>(c);
  return key % 1'000'003;
}

std::string bodyText(std::uint64_t bodyKey, std::size_t offset, std::size_t bytes) {
  std::string text(bytes, '\0');
  for (std::size_t i = 0; i < bytes; ++i)
    text[i] = bodyByte(bodyKey, offset + i);
  return text;
}

}  // namespace hollyrun::lab
