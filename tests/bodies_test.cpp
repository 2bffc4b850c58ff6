// Bodies in pieces and the forms of HTTP/1.1 that carry them.
#include "gateway/chunked_encoding.hpp"
#include "gateway_fixture.hpp"

namespace hollyrun::gateway::testing {
namespace {

class BodiesTest : public GatewayTest {
 protected:
  static std::string large(std::size_t bytes = 3 << 20) {  // no two pieces alike
    std::string body;
    while (body.size() < bytes)
      body += std::to_string(body.size()) + ",";
    return body;
  }
  static std::string chunked(const std::string& body) {
    std::string text;
    for (std::size_t at = 0; at < body.size(); at += 50'000)
      text += encodeChunk(body.substr(at, 50'000));
    return text;
  }
  std::string chunkedWrite(const std::string& chunks) {
    return "POST /write HTTP/1.1\r\nHost: x\r\nX-Request-Id: r" + std::to_string(++serial) +
           "\r\nTransfer-Encoding: chunked\r\n\r\n" + chunks;
  }
};

TEST_F(BodiesTest, ALargeAnswerComesThroughWhole) {
  const std::string body = large();
  addHost("a", [&](PeerConnection& c, std::size_t n) {
    if (n == 0)
      c.reply(answerText(200, "", body));
    else
      c.reply("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n" + chunked(body) +
              "0\r\nX-T: 1\r\n\r\n");
  });
  start();
  auto c = client();
  for (std::size_t i = 0; i < 2; ++i) {
    c->send(text("read"));
    ASSERT_TRUE(until([&] { return c->answers.size() == i + 1; }));
    EXPECT_EQ(c->answers[i].result_int(), 200u);
    EXPECT_TRUE(c->answers[i].body() == body) << i;
  }
  EXPECT_EQ(hosts[0]->connections.size(), 1u) << "kept after a whole answer";
}

TEST_F(BodiesTest, ALargeRequestReachesItsHostWhole) {
  const std::string body = large();
  addHost("a", always(answerText(200, "", "ok")));
  start();
  auto c = client();
  c->send(text("write", "", body));
  ASSERT_TRUE(until([&] { return c->answers.size() == 1; }));
  c->send(chunkedWrite(chunked(body) + "0\r\n\r\n"));
  ASSERT_TRUE(until([&] { return c->answers.size() == 2; }));
  for (std::size_t i = 0; i < 2; ++i) {
    EXPECT_EQ(c->answers[i].result_int(), 200u);
    EXPECT_TRUE(hosts[0]->requests.at(i).body() == body) << i;
  }
  EXPECT_LE(std::stol(hosts[0]->requests[0]["X-Deadline-Ms"].to_string()), 20000);
}

TEST_F(BodiesTest, ABodyWhoseBytesAreGoneIsNotSentAgain) {
  // The host takes a part of it and breaks off: it can't have run, but the body is not whole any more.
  tcp::acceptor acceptor(io, loopback());
  std::vector<std::shared_ptr<tcp::socket>> taken;
  std::vector<char> some(100'000);
  acceptor.async_accept([&](error_code, tcp::socket socket) {
    taken.push_back(std::make_shared<tcp::socket>(std::move(socket)));
    asio::async_read(*taken[0], asio::buffer(some), [&](error_code, std::size_t) { taken[0]->close(); });
  });
  discovery.list.push_back(target("s-x", acceptor.local_endpoint()));
  start();
  auto c = client();
  const std::string message = text("write", "", large());
  c->send(message);
  ASSERT_TRUE(until([&] { return c->answers.size() == 1; }));
  EXPECT_EQ(c->answers[0].result_int(), 503u) << "it never ran";
}

TEST_F(BodiesTest, AnUntouchedBodyGoesToAnotherHost) {
  addHost("a", always(answerText(200, "", "ok")));
  addHost("a", always(answerText(200, "", "ok")));
  hosts[0]->stopListening();
  start();
  for (int i = 0; i < 8; ++i)
    EXPECT_EQ(ask(text("write", "", large(200'000))).result_int(), 200u);
}

TEST_F(BodiesTest, AnAnswerThatBreaksOffDoesNotLookWhole) {
  const std::string body = large(500'000);
  addHost("a", [&](PeerConnection& c, std::size_t n) {
    const std::string cut = n == 0 ? "Content-Length: 900000\r\n\r\n" + body
                                   : "Transfer-Encoding: chunked\r\n\r\n" + chunked(body);
    c.reply("HTTP/1.1 200 OK\r\n" + cut, true);
  });
  start();
  for (int i = 0; i < 2; ++i) {
    auto c = client();
    c->send(text("read"));
    ASSERT_TRUE(until([&] { return c->closedByPeer; }));
    EXPECT_TRUE(c->answers.empty());
  }
}

TEST_F(BodiesTest, AClientThatLeavesEndsItsUpload) {
  addHost("a", always(answerText(200, "", "ok")));
  start();
  auto c = client();
  const std::string message = text("write", "", large());
  c->send(message.substr(0, message.size() / 2));
  ASSERT_TRUE(until([&] { return hosts[0]->connections.size() == 1; }));
  c->close();
  EXPECT_TRUE(until([&] { return hosts[0]->connections[0]->closedByPeer; }));
  EXPECT_TRUE(reached.empty()) << "nothing that no client sent whole";
  EXPECT_EQ(ask(text("write")).result_int(), 200u);
}

TEST_F(BodiesTest, WhatIsBrokenMidwayIsAnswered) {
  addHost("a", always(answerText(200, "", "ok")));
  start();
  EXPECT_EQ(ask(chunkedWrite(chunked(large(200'000)) + "nonsense\r\n")).result_int(), 400u);
  EXPECT_TRUE(reached.empty());
}

TEST_F(BodiesTest, AnAnswerEndedByTheConnectionsEndIsServedIfItSaysSo) {
  addHost("a", [](PeerConnection& c, std::size_t n) {
    c.reply("HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n" + (n == 0 ? "small" : large(200'000)), true);
  });
  start();
  EXPECT_EQ(ask(text("write")).body(), "small");
  EXPECT_TRUE(ask(text("write")).body() == large(200'000));
}

TEST_F(BodiesTest, InterimAnswersArePassedOver) {
  addHost("a", always("HTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\nHTTP/1.1 100 Continue\r\n\r\n" +
                      answerText(200, "", "final")));
  start();
  EXPECT_EQ(ask(text("write")).body(), "final");
}

TEST_F(BodiesTest, AClientThatWaitsToContinueIsTold) {
  addHost("a", always(answerText(200, "", "ok")));
  start();
  auto c = client();
  c->send(
      "POST /write HTTP/1.1\r\nHost: x\r\nX-Request-Id: r\r\nExpect: 100-continue\r\nContent-Length: "
      "3\r\n\r\n");
  ASSERT_TRUE(until([&] { return c->answers.size() == 1; }));
  EXPECT_EQ(c->answers[0].result_int(), 100u);
  c->send("abc");
  ASSERT_TRUE(until([&] { return c->answers.size() == 2; }));
  EXPECT_EQ(c->answers[1].result_int(), 200u);
  EXPECT_EQ(hosts[0]->requests[0].body(), "abc");
  EXPECT_EQ(hosts[0]->requests[0].count("Expect"), 0u);
  EXPECT_EQ(
      ask("POST /write HTTP/1.1\r\nHost: x\r\nX-Request-Id: s\r\nExpect: more\r\nContent-Length: 3\r\n\r\n")
          .result_int(),
      417u);
}

TEST_F(BodiesTest, ATargetMayNameTheServer) {
  addHost("a", always(answerText(200, "", "ok")));
  start();
  EXPECT_EQ(
      ask("GET http://api.internal/read/7?q=1 HTTP/1.1\r\nHost: x\r\nX-Request-Id: r\r\n\r\n").result_int(),
      200u);
  EXPECT_EQ(hosts[0]->requests[0].target(), "/read/7?q=1");
  EXPECT_EQ(hosts[0]->requests[0]["Host"], "api.internal");
}

TEST_F(BodiesTest, TheTimeOfALargeRequestRunsFromItsLastByte) {
  shorten(1);  // 400 ms wanted, 1 s at most
  addHost("a", always(answerText(200, "", "ok")));
  start();
  auto c = client();
  const std::string message = text("write", "X-Deadline-Ms: 1000\r\n", large(200'000));
  c->send(message.substr(0, 100'000));
  const auto later = std::chrono::steady_clock::now() + std::chrono::milliseconds(1300);
  ASSERT_TRUE(until([&] { return std::chrono::steady_clock::now() > later; }));
  c->send(message.substr(100'000));
  ASSERT_TRUE(until([&] { return c->answers.size() == 1 || c->closedByPeer; }));
  ASSERT_EQ(c->answers.size(), 1u);
  EXPECT_EQ(c->answers[0].result_int(), 200u);
}

}  // namespace
}  // namespace hollyrun::gateway::testing
