// Sends requests through an entry host to servers whose answers have a status that HTTP does not
// know.
#include "tests/forward_path/test_gateway.h"

#include <catch2/catch.hpp>

namespace trefoil {
namespace {

// Guards against an answer of a broken server that is passed on as if it were sound.
SCENARIO("a backend server answers with a status outside 100 to 599")
{
  const int status = GENERATE(0, 99, 600, 999);
  CAPTURE(status);
  Gateway gateway;
  GIVEN("a server that answers plain requests so")
  {
    const ScriptedServer broken{ [status](const ReceivedRequest& aRequest) {
      Reply reply{ .mBytes = MakeSealedAnswer(aRequest, 200, "done") };
      reply.mBytes.replace(reply.mBytes.find("200"), 3, fmt::format("{:03}", status));
      return reply;
    } };
    gateway.AddServer("e1", broken);
    gateway.Publish();
    THEN("a request that must not be repeated may have run")
    {
      CHECK(gateway.Ask("write", "id-1").mStatus == 502);
    }
    THEN("a request that may be repeated is served by another server")
    {
      const ScriptedServer sound{ AnswerSuccess };
      gateway.AddServer("e2", sound);
      gateway.Publish();
      for (int i = 0; i < 10; ++i) {
        CHECK(gateway.Ask("read", fmt::format("id-{}", i)).mStatus == 200);
      }
    }
  }
  GIVEN("a stream whose first event was passed on, and that a server resumes so")
  {
    const ScriptedServer server{ [status](const ReceivedRequest& aRequest) {
      if (aRequest.mIndex == 0) {
        return Reply{ .mBytes = MakeStreamStart(aRequest) + MakeEventChunk(1), .mClose = true };
      }
      Reply reply{ .mBytes = MakeStreamStart(aRequest) + MakeEventChunk(2) + kLastChunk };
      reply.mBytes.replace(reply.mBytes.find("200"), 3, fmt::format("{:03}", status));
      return reply;
    } };
    gateway.AddServer("e1", server);
    gateway.AddServer("e2", server);
    gateway.Publish();
    THEN("the client gets the first event, and no end of the stream")
    {
      const ReceivedAnswer answer = gateway.Ask("talk", "id-1");
      CHECK(answer.mStatus == 200);
      CHECK(answer.mBody.find("id: 1") != std::string::npos);
      CHECK(answer.mBody.find("id: 2") == std::string::npos);
      CHECK_FALSE(answer.mComplete);
    }
  }
}

} // namespace
} // namespace trefoil
