// The member functions of DownstreamConnection that write responses.
#include <boost/asio/buffer.hpp>
#include <boost/asio/socket_base.hpp>
#include <utility>

#include "gateway/chunked_encoding.hpp"
#include "gateway/downstream_connection.hpp"
#include "gateway/downstream_server.hpp"
#include "gateway/message_text.hpp"
#include "gateway/socket_io.hpp"

namespace hollyrun::gateway {
namespace {

namespace asio = boost::asio;
using boost::system::error_code;

// Size of the kernel's send buffer for a streamed response.
constexpr int kStreamSendBufferBytes = 128 << 10;

// The parsed head ends with this call, before the text is written.
ResponseText responseText(HttpResponse response) {
  ResponseText text = responseHeadText<ResponseText>(response.base());
  response.clear();
  text.reserve(text.size() + response.body().size() + 2);
  return text.append("\r\n").append(response.body());
}

}  // namespace

void DownstreamConnection::beginResponse(HttpResponse& response, ResponseCallback callback) {
  if (state_ == State::uploading)
    keepAlive_ = false;  // The rest of the request body is not read.
  dropBodies();
  setState(State::responding);
  requestId_ = 0;
  responseCallback_ = std::move(callback);
  stateSince_ = Clock::now();
  response.version(11);
  keepAlive_ = keepAlive_ && response.keep_alive() && !server_.closesAfterResponse_;
  response.keep_alive(keepAlive_);
}

// Checks closesAfterResponse_ again, because a drain may have begun since the response did.
void DownstreamConnection::finishResponse(const error_code& error) {
  notifyResponseEnd(!error);
  if (error)
    return close(CloseReason::clientDisconnected);
  if (keepAlive_ && !server_.closesAfterResponse_)
    startNextRequest();
  else
    linger(CloseReason::finalResponse);
}

// --- A complete response --------------------------------------------------------------------------------

void DownstreamConnection::respond(HttpResponse response, ResponseCallback callback) {
  beginResponse(response, std::move(callback));
  response.prepare_payload();
  outgoing_ = responseText(std::move(response));
  writeAll(socket_, asio::buffer(outgoing_), [self = shared_from_this()](error_code error) {
    if (self->state_ != State::responding)
      return;
    releaseMemory(self->outgoing_);
    self->finishResponse(error);
  });
}

// --- A streamed response --------------------------------------------------------------------------------

void DownstreamConnection::respondStreaming(HttpResponse head, std::shared_ptr<ResponseStream> body,
                                            std::optional<std::uint64_t> length, ResponseCallback callback) {
  const bool isChunked = !length;
  beginResponse(head, std::move(callback));
  if (length)
    head.content_length(*length);
  else
    head.chunked(true);
  // The kernel reports a full send buffer as writable only once a third of it is free. With a large buffer
  // and a slow reader this takes so long that the client would be considered stalled.
  error_code ignored;
  socket_.set_option(asio::socket_base::send_buffer_size(kStreamSendBufferBytes), ignored);
  download_ = std::move(body);
  download_->onReadable = [weak = weak_from_this(), isChunked] {
    if (const auto self = weak.lock())
      self->pumpDownload(isChunked);
  };
  writePiece(responseHeadText<ResponseText>(head.base()) + "\r\n", isChunked);
}

void DownstreamConnection::writePiece(ResponseText text, bool isChunked) {
  writingPiece_ = true;
  stateSince_ = Clock::now();
  outgoing_ = std::move(text);
  writeAll(socket_, asio::buffer(outgoing_), [self = shared_from_this(), isChunked](error_code error) {
    self->writingPiece_ = false;
    releaseMemory(self->outgoing_);
    if (self->state_ != State::responding)
      return;
    if (error)
      return self->close(CloseReason::clientDisconnected);
    self->pumpDownload(isChunked);
  });
}

void DownstreamConnection::pumpDownload(bool isChunked) {
  if (state_ != State::responding || writingPiece_ || !download_)
    return;
  ResponseText piece = download_->consume();
  if (!piece.empty())
    return writePiece(isChunked ? encodeChunk<ResponseText>(piece) : std::move(piece), isChunked);
  // A truncated response must not look complete to the client: the connection is closed before the end of the
  // announced length or before the last chunk.
  if (download_->hasFailed())
    return close(CloseReason::truncatedResponse);
  if (!download_->isFinished())
    return;
  if (isChunked && !std::exchange(lastChunkWritten_, true))
    return writePiece(encodeChunk<ResponseText>({}), isChunked);
  lastChunkWritten_ = false;
  download_->onReadable = nullptr;
  download_.reset();
  finishResponse({});
}

}  // namespace hollyrun::gateway
