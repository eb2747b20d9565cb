// Sends requests through an entry host whose memory budget is used up by the answers of servers.
#include "tests/forward_path/test_gateway.h"

#include "absl/synchronization/notification.h"

#include <catch2/catch.hpp>

namespace trefoil {
namespace {

constexpr std::size_t kBudgetBytes = 1'000'000;
// Arrives at the host in one piece, so that it is complete when it is counted first.
constexpr std::size_t kAnswerBytes = 15'000;

// Returns an answer of which the last byte is missing.
Reply
UnfinishedAnswer(const ReceivedRequest& aRequest, std::size_t aBytes)
{
  Reply reply{ .mBytes = MakeSealedAnswer(aRequest, 200, std::string(aBytes, 'x')), .mHang = true };
  reply.mBytes.pop_back();
  return reply;
}

// Guards against a write that has run, and whose complete answer is replaced by a 502.
SCENARIO("a write is answered while the answers of servers take up the budget")
{
  // For one of these sizes, the rest of the budget is smaller than the answer of the write.
  const std::size_t held = GENERATE(range(900'000, 1'000'000, 8'000));
  CAPTURE(held);
  absl::Notification isHeld;
  const ScriptedServer server{ [&](const ReceivedRequest& aRequest) {
    if (aRequest.mRequest.mTarget.starts_with("/write/")) {
      isHeld.WaitForNotification();
      return Reply{ .mBytes = MakeSealedAnswer(aRequest, 200, std::string(kAnswerBytes, 'y')) };
    }
    return UnfinishedAnswer(aRequest, held);
  } };
  Gateway gateway{ { .mMaxBufferedBytes = kBudgetBytes } };
  gateway.AddServer("e1", server);
  gateway.Publish();
  Client writer = gateway.Connect();
  writer.Send(MakeRequest("write", "id-write"));
  while (server.ReceivedRequests().empty()) {
    std::this_thread::sleep_for(Milliseconds{ 1 });
  }
  Client holder = gateway.Connect();
  holder.Send(MakeRequest("read", "id-read"));
  // An answer that comes too early does not fail the test.
  std::this_thread::sleep_for(Milliseconds{ 100 });
  isHeld.Notify();
  THEN("its complete answer is delivered")
  {
    const ReceivedAnswer answer = writer.Read();
    CHECK(answer.mStatus == 200);
    CHECK(answer.mBody.size() == kAnswerBytes);
  }
}

} // namespace
} // namespace trefoil
