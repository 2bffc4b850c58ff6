/// A client's request in the form in which it is sent to hosts.
#pragma once

#include <chrono>
#include <cstdint>
#include <memory>
#include <optional>

#include "gateway/http_message.hpp"
#include "gateway/memory_account.hpp"

namespace hollyrun::gateway {

/// Serialized once, because parsed fields take many times their bytes, and shared by all attempts of the
/// request.
struct ForwardedRequest {
  RequestText head;            ///< Request line and fields, each with its line end, without X-Deadline-Ms.
  RequestText clientDeadline;  ///< The client's X-Deadline-Ms; empty if it sent none.
  RequestBodyText body;        ///< Empty if the body is streamed.
  bool isChunked = false;      ///< The streamed body is sent in chunks.
};

using ForwardedRequestPtr = std::shared_ptr<const ForwardedRequest>;

/// How the body of a forwarded request is sent.
struct ForwardedBody {
  bool isStreamed = false;
  std::optional<std::uint64_t> length = std::nullopt;  ///< Of a streamed body, in bytes; chunked if unknown.
};

/// Takes over a validated message without hop-by-hop fields.
ForwardedRequestPtr forwardRequest(HttpRequest message, const ForwardedBody& body = {});

/// Returns the head and the buffered body as sent by one attempt. `deadline` replaces the client's
/// X-Deadline-Ms.
AttemptText attemptText(const ForwardedRequest& request, std::optional<std::chrono::milliseconds> deadline);

}  // namespace hollyrun::gateway
