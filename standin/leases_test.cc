#include "standin/store.h"
#include "trefoil/store_client/lease_client.h"

#include <catch2/catch.hpp>
#include <thread>

namespace trefoil::standin {
namespace {

constexpr Milliseconds kTestTimeout{ 20'000 };

TEST_CASE("Keys written with a lease are deleted when it ends")
{
  Store store;
  auto server =
    HttpServer::Start({ .mListen = { .mAddress = "127.0.0.1", .mPort = 0 },
                        .mHandler = [&store](HttpExchange& aExchange) { store.Serve(aExchange); },
                        .mMaxConnections = 8 });
  REQUIRE(server.ok());
  const StoreClient client{ .mEndpoint = { .mAddress = "127.0.0.1", .mPort = server->Port() } };
  const Instant deadline = Now() + kTestTimeout;
  const auto lease = CallGrantLease(client, kTestTimeout, deadline);
  REQUIRE(lease.ok());
  const auto write =
    CompareAndSwap(client, { .mKey = "duties/rules", .mValue = "h1", .mLease = *lease }, deadline);
  REQUIRE(write.mState == StoreWriteState::kWritten);

  SECTION("the keys stay while the lease is renewed")
  {
    CHECK(CallRenewLease(client, *lease, deadline) == LeaseRenewalResult::kLive);
    CHECK(Read(client, "duties/rules", deadline)->mValue == "h1");
  }
  SECTION("the keys are deleted once the lease is revoked")
  {
    CallRevokeLease(client, *lease, deadline);
    CHECK(Read(client, "duties/rules", deadline)->mRevision == 0);
    CHECK(CallRenewLease(client, *lease, deadline) == LeaseRenewalResult::kLost);

    SECTION("and a watch reports the deletion")
    {
      const auto changes = Watch(client, "duties/", write.mCurrent.mRevision, deadline);
      REQUIRE(changes.ok());
      REQUIRE(changes->mEntries.size() == 1);
      CHECK(changes->mEntries.front().mDeleted);
    }
    SECTION("and the next write of the key has a higher revision")
    {
      const auto next =
        CompareAndSwap(client, { .mKey = "duties/rules", .mValue = "h2" }, deadline);
      CHECK(next.mCurrent.mRevision > write.mCurrent.mRevision);
    }
    SECTION("and writes with the lease are refused")
    {
      const auto late = CompareAndSwap(
        client, { .mKey = "duties/results", .mValue = "h1", .mLease = *lease }, deadline);
      CHECK(late.mState != StoreWriteState::kWritten);
      CHECK(Read(client, "duties/results", deadline)->mRevision == 0);
    }
  }
  SECTION("a lease that is not renewed expires")
  {
    const auto brief = CallGrantLease(client, Milliseconds{ 50 }, deadline);
    REQUIRE(brief.ok());
    CompareAndSwap(client, { .mKey = "brief", .mValue = "x", .mLease = *brief }, deadline);
    while (Read(client, "brief", deadline)->mRevision != 0 && !HasPassed(deadline, Now())) {
      std::this_thread::sleep_for(Milliseconds{ 10 });
    }
    CHECK(Read(client, "brief", deadline)->mRevision == 0);
  }
}

} // namespace
} // namespace trefoil::standin
