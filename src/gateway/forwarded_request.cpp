#include "gateway/forwarded_request.hpp"

#include <boost/beast/http/verb.hpp>
#include <string>
#include <utility>

#include "gateway/message_text.hpp"

namespace hollyrun::gateway {
namespace {

namespace http = boost::beast::http;

constexpr const char* kDeadlineField = "X-Deadline-Ms";

void setFraming(HttpRequest& message, const ForwardedBody& body) {
  if (body.isStreamed && body.length)
    message.content_length(*body.length);
  else if (body.isStreamed)
    message.chunked(true);
  else if (message.method() != http::verb::get || !message.body().empty())
    message.prepare_payload();
}

}  // namespace

ForwardedRequestPtr forwardRequest(HttpRequest message, const ForwardedBody& body) {
  const auto forwarded =
      std::allocate_shared<ForwardedRequest>(CountedAllocator<ForwardedRequest, MemoryUse::connection>());
  forwarded->clientDeadline = viewOf(message[kDeadlineField]);
  message.erase(kDeadlineField);
  message.version(11);
  message.keep_alive(true);
  setFraming(message, body);
  forwarded->isChunked = message.chunked();
  std::string requestLine(viewOf(message.method_string()));
  requestLine.append(" ").append(viewOf(message.target())).append(" HTTP/1.1\r\n");
  forwarded->head = fieldsText<RequestText>(message, requestLine);
  forwarded->body = std::move(message.body());
  return forwarded;
}

AttemptText attemptText(const ForwardedRequest& request, std::optional<std::chrono::milliseconds> deadline) {
  constexpr std::size_t kDeadlineLineBytes = 32;
  AttemptText text;
  text.reserve(request.head.size() + request.clientDeadline.size() + kDeadlineLineBytes +
               request.body.size());
  text.append(request.head);
  if (deadline)
    text.append(kDeadlineField).append(": ").append(std::to_string(deadline->count())).append("\r\n");
  else if (!request.clientDeadline.empty())
    text.append(kDeadlineField).append(": ").append(request.clientDeadline).append("\r\n");
  text.append("\r\n").append(request.body);
  return text;
}

}  // namespace hollyrun::gateway
