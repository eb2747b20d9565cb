#include "trefoil/operations/document.h"

#include "standin/store.h"
#include "trefoil/http/client.h"
#include "trefoil/http/server.h"

#include <catch2/catch.hpp>
#include <thread>

namespace trefoil {
namespace {

constexpr Milliseconds kGenerousLimit{ 30'000 };
constexpr const char* kText =
  "service = \"rules\"\n[[version]]\nversion = \"v1\"\nshare_percent = 100\n";

TEST_CASE("An operator puts a document")
{
  standin::Store standin;
  const auto server =
    HttpServer::Start({ .mListen = { .mAddress = "127.0.12.1", .mPort = 0 },
                        .mHandler = [&](HttpExchange& aExchange) { standin.Serve(aExchange); },
                        .mMaxConnections = 20 });
  REQUIRE(server.ok());
  const StoreClient store{ .mEndpoint = { .mAddress = "127.0.12.1", .mPort = server->Port() } };
  const auto put = [&](const std::string& aAuthor,
                       std::optional<std::uint64_t> aExpected = std::nullopt) {
    return PutDocument(store,
                       { .mText = kText, .mAuthor = aAuthor, .mExpected = aExpected },
                       Now() + kGenerousLimit);
  };
  const auto setFault = [&](const std::string& aQuery) {
    Call({ .mServer = store.mEndpoint,
           .mRequest = { .mMethod = "POST", .mTarget = "/admin/fault?" + aQuery },
           .mDeadline = Now() + kGenerousLimit });
  };
  const auto trail = [&] {
    return *ReadTrail(store, ServiceId{ "rules" }, Now() + kGenerousLimit);
  };

  const PutResult first = put("ana");
  REQUIRE(first.mState == PutState::kAccepted);

  SECTION("the trail says who and which revision")
  {
    REQUIRE(trail().size() == 1);
    CHECK(trail()[0].mKind == AuditKind::kAccepted);
    CHECK(trail()[0].mRevision == first.mRevision);
    CHECK(trail()[0].mActor == "ana");
  }
  SECTION("another operator who changed an older revision is told what stands")
  {
    const PutResult lost = put("ben", 0);
    CHECK(lost.mState == PutState::kConflict);
    CHECK(lost.mRevision == first.mRevision);
    CHECK(lost.mStanding->mName == "ana");
    SECTION("and may put on top of it")
    {
      CHECK(put("ben", first.mRevision).mState == PutState::kAccepted);
    }
  }
  SECTION("of several at once, each revision has one author")
  {
    std::vector<PutResult> results(4);
    std::vector<std::thread> operators;
    for (std::size_t i = 0; i < results.size(); ++i) {
      operators.emplace_back(
        [&, i] { results[i] = put("op" + std::to_string(i), first.mRevision); });
    }
    for (std::thread& thread : operators) {
      thread.join();
    }
    CHECK(std::ranges::count(results, PutState::kAccepted, &PutResult::mState) == 1);
    CHECK(std::ranges::count(results, PutState::kConflict, &PutResult::mState) == 3);
  }
  SECTION("an answer that is lost after the write is read back")
  {
    setFault("lost_answers_percent=100");
    const PutResult second =
      PutDocument(store, { .mText = kText, .mAuthor = "ana" }, Now() + kGenerousLimit);
    CHECK(second.mState == PutState::kAccepted);
    CHECK(second.mRevision > first.mRevision);
    setFault("");
    CHECK(trail().size() == 2);
  }
  SECTION("a store that is out is told")
  {
    setFault("down=1");
    const PutResult refused =
      PutDocument(store, { .mText = kText, .mAuthor = "ana" }, Now() + Milliseconds{ 500 });
    CHECK(refused.mState != PutState::kAccepted);
    CHECK_FALSE(refused.mReason.empty());
  }
  SECTION("a bad document or name is refused")
  {
    CHECK(
      PutDocument(store, { .mText = "x = 1", .mAuthor = "ana" }, Now() + kGenerousLimit).mState ==
      PutState::kInvalid);
    CHECK(put("two words").mState == PutState::kInvalid);
  }
}

} // namespace
} // namespace trefoil
