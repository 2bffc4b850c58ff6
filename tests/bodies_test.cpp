// Tests of streamed bodies and of the HTTP/1.1 framing that carries them.
#include "gateway/chunked_encoding.hpp"
#include "gateway_fixture.hpp"

namespace hollyrun::gateway::testing {
namespace {

class BodiesTest : public GatewayTest {
 protected:
  // All parts of the body differ, so a lost, repeated or reordered piece is detected.
  static std::string large(std::size_t bytes = 3 << 20) {
    std::string body;
    while (body.size() < bytes)
      body += std::to_string(body.size()) + ",";
    return body;
  }
  static std::string chunked(const std::string& body) {
    std::string text;
    for (std::size_t offset = 0; offset < body.size(); offset += 50'000)
      text += encodeChunk(body.substr(offset, 50'000));
    return text;
  }
  std::string chunkedWrite(const std::string& chunks) {
    return "POST /write HTTP/1.1\r\nHost: x\r\nX-Request-Id: r" + std::to_string(++serial) +
           "\r\nTransfer-Encoding: chunked\r\n\r\n" + chunks;
  }
};

TEST_F(BodiesTest, ALargeResponseIsRelayedCompletely) {
  const std::string body = large();
  addHost("a", [&](PeerConnection& hostConnection, std::size_t attempt) {
    if (attempt == 0)
      hostConnection.reply(answerText(200, "", body));
    else
      hostConnection.reply("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n" + chunked(body) +
                           "0\r\nX-T: 1\r\n\r\n");
  });
  start();
  auto connection = client();
  for (std::size_t i = 0; i < 2; ++i) {
    connection->send(text("read"));
    ASSERT_TRUE(until([&] { return connection->answers.size() == i + 1; }));
    EXPECT_EQ(connection->answers[i].result_int(), 200u);
    EXPECT_TRUE(connection->answers[i].body() == body) << i;
  }
  EXPECT_EQ(hosts[0]->connections.size(), 1u) << "the connection is reused after a complete response";
}

TEST_F(BodiesTest, ALargeRequestIsForwardedCompletely) {
  const std::string body = large();
  addHost("a", always(answerText(200, "", "ok")));
  start();
  auto connection = client();
  connection->send(text("write", "", body));
  ASSERT_TRUE(until([&] { return connection->answers.size() == 1; }));
  connection->send(chunkedWrite(chunked(body) + "0\r\n\r\n"));
  ASSERT_TRUE(until([&] { return connection->answers.size() == 2; }));
  for (std::size_t i = 0; i < 2; ++i) {
    EXPECT_EQ(connection->answers[i].result_int(), 200u);
    EXPECT_TRUE(hosts[0]->requests.at(i).body() == body) << i;
  }
  EXPECT_LE(std::stol(hosts[0]->requests[0]["X-Deadline-Ms"].to_string()), 20000);
}

TEST_F(BodiesTest, APartlyConsumedUploadIsNotRetried) {
  // The host reads a part of the body and closes. The request can't have executed, but the gateway no longer
  // has the complete body.
  tcp::acceptor acceptor(io, loopback());
  std::vector<std::shared_ptr<tcp::socket>> accepted;
  std::vector<char> bodyPart(100'000);
  acceptor.async_accept([&](error_code, tcp::socket socket) {
    accepted.push_back(std::make_shared<tcp::socket>(std::move(socket)));
    asio::async_read(*accepted[0], asio::buffer(bodyPart),
                     [&](error_code, std::size_t) { accepted[0]->close(); });
  });
  discovery.list.push_back(target("s-x", acceptor.local_endpoint()));
  start();
  auto connection = client();
  const std::string message = text("write", "", large());
  connection->send(message);
  ASSERT_TRUE(until([&] { return connection->answers.size() == 1; }));
  EXPECT_EQ(connection->answers[0].result_int(), 503u) << "the request never executed";
}

TEST_F(BodiesTest, AnUnconsumedUploadIsRetriedOnAnotherHost) {
  addHost("a", always(answerText(200, "", "ok")));
  addHost("a", always(answerText(200, "", "ok")));
  hosts[0]->stopListening();
  start();
  for (int i = 0; i < 8; ++i)
    EXPECT_EQ(ask(text("write", "", large(200'000))).result_int(), 200u);
}

TEST_F(BodiesTest, ATruncatedResponseIsNotRelayedAsComplete) {
  const std::string body = large(500'000);
  addHost("a", [&](PeerConnection& hostConnection, std::size_t attempt) {
    const std::string truncated = attempt == 0 ? "Content-Length: 900000\r\n\r\n" + body
                                               : "Transfer-Encoding: chunked\r\n\r\n" + chunked(body);
    hostConnection.reply("HTTP/1.1 200 OK\r\n" + truncated, true);
  });
  start();
  for (int i = 0; i < 2; ++i) {
    auto connection = client();
    connection->send(text("read"));
    ASSERT_TRUE(until([&] { return connection->closedByPeer; }));
    EXPECT_TRUE(connection->answers.empty());
  }
}

TEST_F(BodiesTest, AClientThatDisconnectsAbortsItsUpload) {
  addHost("a", always(answerText(200, "", "ok")));
  start();
  auto connection = client();
  const std::string message = text("write", "", large());
  connection->send(message.substr(0, message.size() / 2));
  ASSERT_TRUE(until([&] { return hosts[0]->connections.size() == 1; }));
  connection->close();
  EXPECT_TRUE(until([&] { return hosts[0]->connections[0]->closedByPeer; }));
  EXPECT_TRUE(reached.empty()) << "an incomplete request must not reach the host";
  EXPECT_EQ(ask(text("write")).result_int(), 200u);
}

// Guards against an upload whose client has sent it completely and waits, while its host reads nothing: the
// time of the request does not run yet, because the gateway has not read the last byte.
TEST_F(BodiesTest, AnUploadToAHostThatStopsReadingIsAnsweredInTime) {
  constexpr std::size_t kMoreThanTheHostsBuffers = 8 << 20;
  // Up to half a second after the client's timeout an answer is only worthless; on sockets 50 ms more are
  // allowed.
  constexpr auto kLatestAnswer = std::chrono::milliseconds(1000 + 500 + 50);
  shortenTimeouts(1);  // Latency objective 400 ms, client timeout 1 s.
  tcp::acceptor unread(io, loopback());
  discovery.list.push_back(target("s-x", unread.local_endpoint()));
  start();
  auto connection = client();
  connection->send(text("write", "", std::string(kMoreThanTheHostsBuffers, 'u')));
  const auto sentAt = std::chrono::steady_clock::now();
  ASSERT_TRUE(untilMeasured([&] { return !connection->answers.empty() || connection->closedByPeer; }));
  EXPECT_LT(std::chrono::steady_clock::now() - sentAt, kLatestAnswer + stalled);
  ASSERT_EQ(connection->answers.size(), 1u);
  EXPECT_EQ(connection->answers[0].result_int(), 503u) << "the request never executed";
}

// Guards against a limit that takes a slow host for one that stands still: the host frees the gateway's send
// buffer in steps that take longer than the client's timeout.
TEST_F(BodiesTest, AnUploadToAHostThatReadsSlowlyContinues) {
  constexpr std::size_t kBody = 16 << 20, kReadSize = 48 << 10;
  constexpr auto kReadInterval = std::chrono::milliseconds(100), kWatched = std::chrono::milliseconds(5000);
  shortenTimeouts(1);  // Latency objective 400 ms, client timeout 1 s.
  tcp::acceptor acceptor(io, loopback());
  discovery.list.push_back(target("s-x", acceptor.local_endpoint()));
  start();
  auto connection = client();
  connection->send(text("write", "", std::string(kBody, 'u')));
  tcp::socket host(io);
  acceptor.async_accept(host, [](error_code) {});
  ASSERT_TRUE(until([&] { return host.is_open(); }));
  host.non_blocking(true);
  std::vector<char> piece(kReadSize);
  const auto startedAt = std::chrono::steady_clock::now();
  auto nextRead = startedAt;
  ASSERT_TRUE(until([&] {
    const auto now = std::chrono::steady_clock::now();
    if (now >= nextRead) {
      nextRead = now + kReadInterval;
      error_code error;
      host.read_some(asio::buffer(piece), error);
    }
    return now - startedAt > kWatched || !connection->answers.empty() || connection->closedByPeer;
  }));
  EXPECT_TRUE(connection->answers.empty());
  EXPECT_FALSE(connection->closedByPeer);
}

TEST_F(BodiesTest, AMalformedChunkWithinAnUploadIsRejected) {
  addHost("a", always(answerText(200, "", "ok")));
  start();
  EXPECT_EQ(ask(chunkedWrite(chunked(large(200'000)) + "nonsense\r\n")).result_int(), 400u);
  EXPECT_TRUE(reached.empty());
}

TEST_F(BodiesTest, AResponseDelimitedByCloseIsServedIfItAnnouncesTheClose) {
  addHost("a", [](PeerConnection& hostConnection, std::size_t attempt) {
    hostConnection.reply(
        "HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n" + (attempt == 0 ? "small" : large(200'000)), true);
  });
  start();
  EXPECT_EQ(ask(text("write")).body(), "small");
  EXPECT_TRUE(ask(text("write")).body() == large(200'000));
}

TEST_F(BodiesTest, InterimResponsesAreSkipped) {
  addHost("a", always("HTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\nHTTP/1.1 100 Continue\r\n\r\n" +
                      answerText(200, "", "final")));
  start();
  EXPECT_EQ(ask(text("write")).body(), "final");
}

TEST_F(BodiesTest, ExpectContinueIsAnsweredAndOtherExpectationsAreRejected) {
  addHost("a", always(answerText(200, "", "ok")));
  start();
  auto connection = client();
  connection->send(
      "POST /write HTTP/1.1\r\nHost: x\r\nX-Request-Id: r\r\nExpect: 100-continue\r\nContent-Length: "
      "3\r\n\r\n");
  ASSERT_TRUE(until([&] { return connection->answers.size() == 1; }));
  EXPECT_EQ(connection->answers[0].result_int(), 100u);
  connection->send("abc");
  ASSERT_TRUE(until([&] { return connection->answers.size() == 2; }));
  EXPECT_EQ(connection->answers[1].result_int(), 200u);
  EXPECT_EQ(hosts[0]->requests[0].body(), "abc");
  EXPECT_EQ(hosts[0]->requests[0].count("Expect"), 0u);
  EXPECT_EQ(
      ask("POST /write HTTP/1.1\r\nHost: x\r\nX-Request-Id: s\r\nExpect: more\r\nContent-Length: 3\r\n\r\n")
          .result_int(),
      417u);
}

TEST_F(BodiesTest, AnAbsoluteTargetIsForwardedInOriginForm) {
  addHost("a", always(answerText(200, "", "ok")));
  start();
  EXPECT_EQ(
      ask("GET http://api.internal/read/7?q=1 HTTP/1.1\r\nHost: x\r\nX-Request-Id: r\r\n\r\n").result_int(),
      200u);
  EXPECT_EQ(hosts[0]->requests[0].target(), "/read/7?q=1");
  EXPECT_EQ(hosts[0]->requests[0]["Host"], "api.internal");
}

TEST_F(BodiesTest, TheTimeLimitOfAnUploadRunsFromItsLastByte) {
  shortenTimeouts(1);  // Latency objective 400 ms, client timeout 1 s.
  addHost("a", always(answerText(200, "", "ok")));
  start();
  auto connection = client();
  const std::string message = text("write", "X-Deadline-Ms: 1000\r\n", large(200'000));
  connection->send(message.substr(0, 100'000));
  const auto resumeAt = std::chrono::steady_clock::now() + std::chrono::milliseconds(1300);
  ASSERT_TRUE(until([&] { return std::chrono::steady_clock::now() > resumeAt; }));
  connection->send(message.substr(100'000));
  ASSERT_TRUE(until([&] { return connection->answers.size() == 1 || connection->closedByPeer; }));
  ASSERT_EQ(connection->answers.size(), 1u);
  EXPECT_EQ(connection->answers[0].result_int(), 200u);
}

}  // namespace
}  // namespace hollyrun::gateway::testing
