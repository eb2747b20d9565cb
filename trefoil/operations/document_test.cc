#include "trefoil/operations/document.h"

#include "standin/store.h"
#include "trefoil/http/client.h"
#include "trefoil/http_server/http_server.h"

#include <catch2/catch.hpp>
#include <thread>

namespace trefoil {
namespace {

constexpr Milliseconds kTestTimeout{ 30'000 };
constexpr const char* kText =
  "service = \"rules\"\n[[version]]\nversion = \"v1\"\nshare_percent = 100\n";

TEST_CASE("An operator puts a service document")
{
  standin::Store storeService;
  const auto server =
    HttpServer::Start({ .mListen = { .mAddress = "127.0.12.1", .mPort = 0 },
                        .mHandler = [&](HttpExchange& aExchange) { storeService.Serve(aExchange); },
                        .mMaxConnections = 20 });
  REQUIRE(server.ok());
  const StoreClient store{ .mEndpoint = { .mAddress = "127.0.12.1", .mPort = server->Port() } };
  const auto put = [&](const std::string& aAuthor,
                       std::optional<std::uint64_t> aExpected = std::nullopt) {
    return PutDocument(
      store, { .mText = kText, .mAuthor = aAuthor, .mExpected = aExpected }, Now() + kTestTimeout);
  };
  const auto setFault = [&](const std::string& aQuery) {
    Call({ .mServer = store.mEndpoint,
           .mRequest = { .mMethod = "POST", .mTarget = "/admin/fault?" + aQuery },
           .mDeadline = Now() + kTestTimeout });
  };
  const auto readTrail = [&] {
    return *ReadAuditTrail(store, ServiceId{ "rules" }, Now() + kTestTimeout);
  };

  const PutResult first = put("ana");
  REQUIRE(first.mState == PutState::kAccepted);

  SECTION("the audit trail records the author and the revision")
  {
    REQUIRE(readTrail().size() == 1);
    CHECK(readTrail()[0].mKind == AuditKind::kAccepted);
    CHECK(readTrail()[0].mRevision == first.mRevision);
    CHECK(readTrail()[0].mActor == "ana");
  }
  SECTION("a put that expects an older revision reports the stored revision and its author")
  {
    const PutResult conflict = put("ben", 0);
    CHECK(conflict.mState == PutState::kConflict);
    CHECK(conflict.mRevision == first.mRevision);
    CHECK(conflict.mStoredAuthor->mName == "ana");
    SECTION("and a put that expects the stored revision is accepted")
    {
      CHECK(put("ben", first.mRevision).mState == PutState::kAccepted);
    }
  }
  SECTION("of several concurrent puts that expect the same revision, exactly one is accepted")
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
  SECTION("a write whose answer is lost is read back and accepted once")
  {
    setFault("lost_answers_percent=100");
    const PutResult second =
      PutDocument(store, { .mText = kText, .mAuthor = "ana" }, Now() + kTestTimeout);
    CHECK(second.mState == PutState::kAccepted);
    CHECK(second.mRevision > first.mRevision);
    setFault("");
    CHECK(readTrail().size() == 2);
  }
  SECTION("a put during an outage of the store fails with a reason")
  {
    setFault("down=1");
    const PutResult refused =
      PutDocument(store, { .mText = kText, .mAuthor = "ana" }, Now() + Milliseconds{ 500 });
    CHECK(refused.mState != PutState::kAccepted);
    CHECK_FALSE(refused.mReason.empty());
  }
  SECTION("an invalid document or author name is refused")
  {
    CHECK(PutDocument(store, { .mText = "x = 1", .mAuthor = "ana" }, Now() + kTestTimeout).mState ==
          PutState::kInvalid);
    CHECK(put("two words").mState == PutState::kInvalid);
  }
}

} // namespace
} // namespace trefoil
