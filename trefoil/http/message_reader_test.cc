#include "trefoil/http/message_reader.h"

#include <algorithm>
#include <catch2/catch.hpp>
#include <fmt/format.h>
#include <rapidcheck.h>
#include <string>

namespace trefoil {
namespace {

MessageReadState
ReadRequest(const std::string& aBytes, HttpMessageLimits aLimits = {})
{
  MessageReader reader = MessageReader::ForRequest(aLimits);
  std::string bytes = aBytes;
  return reader.Consume(bytes);
}

SCENARIO("a request arrives in several pieces")
{
  const std::string head = "POST /a/b?c HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked\r\n\r\n";
  const std::string body = "4\r\nlate\r\n1;ext=1\r\nr\r\n0\r\nTrailer: t\r\n\r\n";
  GIVEN("any split of its bytes")
  {
    CHECK(rc::check("the parsed message does not depend on the split", [&](std::size_t aSeed) {
      const std::string all = head + body + "GET / HTTP/1.1\r\n";
      MessageReader reader = MessageReader::ForRequest({});
      std::string bytes;
      MessageReadState state = MessageReadState::kHead;
      for (std::size_t at = 0; at < all.size();) {
        const std::size_t count = 1 + (aSeed + at) % 7;
        bytes += all.substr(at, count);
        at += count;
        state = reader.Consume(bytes);
      }
      RC_ASSERT(state == MessageReadState::kComplete);
      RC_ASSERT(reader.Request().mTarget == "/a/b?c");
      RC_ASSERT(reader.Body() == "later");
      RC_ASSERT(bytes == "GET / HTTP/1.1\r\n");
    }));
  }
}

SCENARIO("a request has ambiguous or malformed framing")
{
  const std::string start = "POST / HTTP/1.1\r\nHost: x\r\n";
  THEN("it is malformed")
  {
    CHECK(ReadRequest(start + "Content-Length: 1\r\nTransfer-Encoding: chunked\r\n\r\n") ==
          MessageReadState::kMalformed);
    CHECK(ReadRequest(start + "Transfer-Encoding: chunked\r\n\r\nzz\r\n") ==
          MessageReadState::kMalformed);
    CHECK(ReadRequest(start + "Content-Length: -1\r\n\r\n") == MessageReadState::kMalformed);
    CHECK(ReadRequest(start + "Content-Length : 1\r\n\r\na") == MessageReadState::kMalformed);
    CHECK(ReadRequest(start + "X: a\r\n b\r\n\r\n") == MessageReadState::kMalformed);
    CHECK(ReadRequest("GET / HTTP/1.1\nHost: x\n\n") == MessageReadState::kMalformed);
  }
}

SCENARIO("the transfer codings of a message are spread over several lines")
{
  const std::string start = "POST / HTTP/1.1\r\nHost: x\r\n";
  const std::string body = "\r\n4\r\nwhat\r\n0\r\n\r\n";
  THEN("empty elements mean nothing")
  {
    const std::string lines = "Transfer-Encoding:\r\nTransfer-Encoding: chunked\r\n";
    CHECK(ReadRequest(start + lines + body) == MessageReadState::kComplete);
  }
  THEN("any coding but one chunked is malformed")
  {
    for (const char* codings : { "gzip", "identity", "chunked" }) {
      const std::string lines =
        fmt::format("Transfer-Encoding: {}\r\nTransfer-Encoding: chunked\r\n", codings);
      CHECK(ReadRequest(fmt::format("{}{}{}", start, lines, body)) == MessageReadState::kMalformed);
      MessageReader response = MessageReader::ForResponse({});
      std::string bytes = fmt::format("HTTP/1.1 200 OK\r\n{}{}", lines, body);
      CHECK(response.Consume(bytes) == MessageReadState::kMalformed);
    }
  }
}

// Guards against the memory that a peer uses up by a line of the framing without end (LOST).
SCENARIO("the framing of a body does not end")
{
  const HttpMessageLimits limits{ .mMaxHeadBytes = 1'000 };
  const std::string head = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";
  const std::string prefix = GENERATE(as<std::string>{}, "", "1;x=", "1\r\na\r\n0\r\nX: ");
  const std::string repeated = GENERATE(as<std::string>{}, "0", "0\r\nX: 0\r\nX:");
  MessageReader reader = MessageReader::ForResponse(limits);
  std::string bytes = head + prefix;
  std::size_t mostBytes = 0;
  for (int i = 0; i < 5'000; ++i) {
    bytes += repeated;
    reader.Consume(bytes);
    mostBytes = std::max(mostBytes, bytes.size());
    if (reader.State() != MessageReadState::kBody) {
      break;
    }
  }
  THEN("the message ends in an error before the buffer is longer than a head")
  {
    CHECK(reader.State() != MessageReadState::kBody);
    CHECK(mostBytes <= limits.mMaxHeadBytes + repeated.size());
  }
}

SCENARIO("a large body arrives in several pieces")
{
  constexpr std::size_t kBodyBytes = 150'000;
  constexpr std::size_t kPieceBytes = 7'000;
  MessageReader reader = MessageReader::ForRequest({});
  GIVEN("a body whose length is stated")
  {
    std::string bytes =
      fmt::format("POST / HTTP/1.1\r\nHost: x\r\nContent-Length: {}\r\n\r\n", kBodyBytes);
    reader.Consume(bytes);
    THEN("it never takes more than one and a half times its contents")
    {
      for (std::size_t sent = 0; sent < kBodyBytes;) {
        const std::size_t count = std::min(kPieceBytes, kBodyBytes - sent);
        bytes.append(count, 'x');
        sent += count;
        reader.Consume(bytes);
        REQUIRE(reader.Body().size() == sent);
        REQUIRE(reader.Body().capacity() <= sent + sent / 2);
      }
      AND_THEN("it takes no more than its length in the end")
      {
        CHECK(reader.Body().capacity() == kBodyBytes);
      }
    }
  }
  GIVEN("a body in chunks")
  {
    std::string bytes = "POST / HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked\r\n\r\n";
    reader.Consume(bytes);
    THEN("it never takes more than twice its contents")
    {
      for (std::size_t sent = kPieceBytes; sent < kBodyBytes; sent += kPieceBytes) {
        bytes += fmt::format("{:x}\r\n{}\r\n", kPieceBytes, std::string(kPieceBytes, 'x'));
        reader.Consume(bytes);
        REQUIRE(reader.Body().size() == sent);
        REQUIRE(reader.Body().capacity() <= 2 * sent);
      }
    }
  }
}

SCENARIO("informational responses do not end")
{
  MessageReader reader = MessageReader::ForResponse({});
  MessageReadState state = MessageReadState::kHead;
  for (int i = 0; i <= kMaxInformationalResponses; ++i) {
    std::string bytes = "HTTP/1.1 103 Early Hints\r\n\r\n";
    state = reader.Consume(bytes);
  }
  CHECK(state == MessageReadState::kFramingTooLarge);
}

SCENARIO("a request exceeds a limit")
{
  const HttpMessageLimits limits{ .mMaxHeadBytes = 100, .mMaxBodyBytes = 10 };
  THEN("the state names the exceeded limit")
  {
    CHECK(ReadRequest("GET /" + std::string(200, 'a') + " HTTP/1.1\r\n\r\n", limits) ==
          MessageReadState::kHeadTooLarge);
    CHECK(ReadRequest("POST / HTTP/1.1\r\nContent-Length: 11\r\n\r\n", limits) ==
          MessageReadState::kBodyTooLarge);
  }
}

SCENARIO("a response has no Content-Length")
{
  MessageReader reader = MessageReader::ForResponse({});
  std::string bytes = "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK\r\n\r\nwhole";
  CHECK(reader.Consume(bytes) == MessageReadState::kBody);
  THEN("it is complete only after the connection has ended cleanly")
  {
    CHECK(reader.Response().mStatus == 200);
    CHECK(reader.State() == MessageReadState::kBody);
    CHECK(reader.ConsumeEof() == MessageReadState::kComplete);
    CHECK(reader.Body() == "whole");
    CHECK_FALSE(reader.KeepsAlive());
  }
}

SCENARIO("an informational response is followed by a head with a folded header")
{
  MessageReader reader = MessageReader::ForResponse({});
  std::string bytes = "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK\r\nX: a\r\n b\r\n\r\n";
  THEN("it is rejected like any other folded header")
  {
    CHECK(reader.Consume(bytes) == MessageReadState::kMalformed);
  }
}

// Guards against broken answers that are taken for sound ones, by all that read responses.
SCENARIO("a response has a status that HTTP does not know")
{
  const auto read = [](const char* aStatus) {
    MessageReader reader = MessageReader::ForResponse({});
    std::string bytes = fmt::format("HTTP/1.1 {} X\r\nContent-Length: 0\r\n\r\n", aStatus);
    return reader.Consume(bytes);
  };
  THEN("it is malformed")
  {
    for (const char* status : { "000", "099", "600", "999" }) {
      INFO(status);
      CHECK(read(status) == MessageReadState::kMalformed);
    }
  }
  THEN("the first and the last known one are read")
  {
    CHECK(read("200") == MessageReadState::kComplete);
    CHECK(read("599") == MessageReadState::kComplete);
    CHECK(read("100") == MessageReadState::kHead);
  }
}

SCENARIO("a response is truncated")
{
  MessageReader reader = MessageReader::ForResponse({});
  std::string bytes = "HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\nhalf";
  CHECK(reader.Consume(bytes) == MessageReadState::kBody);
  THEN("the end of the connection does not complete it")
  {
    CHECK(reader.ConsumeEof() == MessageReadState::kBody);
  }
}

} // namespace
} // namespace trefoil
