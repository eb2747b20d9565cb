#include "trefoil/node/store_worker.h"

#include "standin/store.h"
#include "trefoil/http_server/http_server.h"

#include <catch2/catch.hpp>

namespace trefoil {
namespace {

constexpr Milliseconds kTestTimeout{ 20'000 };

TEST_CASE("The store worker executes the control thread's calls to the store")
{
  standin::Store store;
  auto server =
    HttpServer::Start({ .mListen = { .mAddress = "127.0.0.1", .mPort = 0 },
                        .mHandler = [&store](HttpExchange& aExchange) { store.Serve(aExchange); },
                        .mMaxConnections = 8 });
  REQUIRE(server.ok());
  EventQueue queue;
  StoreWorker worker{
    { .mStore = { .mEndpoint = { .mAddress = "127.0.0.1", .mPort = server->Port() } },
      .mQueue = &queue }
  };
  const Instant deadline = Now() + kTestTimeout;

  SECTION("a write completes with its topic and tag")
  {
    worker.Submit(WriteStoreEntry{ .mTopic = StoreTopic::kMoves,
                                   .mTag = 7,
                                   .mWrite = { .mKey = "moves/rules", .mValue = "x" },
                                   .mDeadline = deadline });
    const auto event = queue.Pop(deadline);
    REQUIRE(event.has_value());
    const auto& done = std::get<StoreWriteCompleted>(*event);
    CHECK(done.mTopic == StoreTopic::kMoves);
    CHECK(done.mTag == 7);
    CHECK(done.mWrite.mState == StoreWriteState::kWritten);

    SECTION("and the written value can be read")
    {
      worker.Submit(ReadStoreEntry{ .mTag = 8, .mKey = "moves/rules", .mDeadline = deadline });
      const auto next = queue.Pop(deadline);
      REQUIRE(next.has_value());
      CHECK(std::get<StoreReadCompleted>(*next).mEntry->mValue == "x");
    }
  }
  SECTION("a write whose deadline has passed is not sent and completes as not written")
  {
    worker.Submit(
      WriteStoreEntry{ .mWrite = { .mKey = "late", .mValue = "x" }, .mDeadline = Now() });
    const auto event = queue.Pop(deadline);
    REQUIRE(event.has_value());
    CHECK(std::get<StoreWriteCompleted>(*event).mWrite.mState == StoreWriteState::kNotWritten);
    CHECK(
      Read({ .mEndpoint = { .mAddress = "127.0.0.1", .mPort = server->Port() } }, "late", deadline)
        ->mRevision == 0);
  }
}

} // namespace
} // namespace trefoil
