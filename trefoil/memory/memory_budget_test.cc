#include "trefoil/memory/memory_budget.h"

#include <catch2/catch.hpp>

namespace trefoil {
namespace {

constexpr std::size_t kMegabyte = 1'000'000;

// Guards against limits that leave no memory for the process itself, or too little for one request
// inside the documented limits.
SCENARIO("the limits follow from the memory of the machine")
{
  const MemoryLimits limits = LimitsOfMachine(120 * kMegabyte);
  CHECK(limits.mTotal == 48 * kMegabyte);
  CHECK(limits.mIncomplete == 24 * kMegabyte);
  CHECK(limits.mLarge == 36 * kMegabyte);
  CHECK(limits.mKernel == 15 * kMegabyte);
  WHEN("the machine is very small")
  {
    MemoryBudget budget{ .mLimits = LimitsOfMachine(10 * kMegabyte) };
    THEN("one request of 4 MB still has room while it is received and while it is sent")
    {
      UpdateClient(budget, 1, { .mIncomplete = 6 * kMegabyte });
      CHECK_FALSE(IsExhausted(budget));
      UpdateClient(budget, 1, {});
      ChangeHeld(budget, MemoryKind::kRequests, 0, 6 * kMegabyte);
      CHECK(HasRoomForRequest(budget, 6 * kMegabyte));
    }
  }
}

// Guards against a crowd of large requests that never end and take the room of ordinary ones.
SCENARIO("clients give way when the budget is exhausted")
{
  const Instant start = Now();
  const Instant now = start + Milliseconds{ 2'000 };
  MemoryBudget budget{
    .mLimits = { .mTotal = 20 * kMegabyte, .mIncomplete = 10 * kMegabyte, .mLarge = 15 * kMegabyte }
  };
  GIVEN("large requests, one of them slow, and an old small one")
  {
    UpdateClient(budget, 1, { .mIncomplete = 50'000, .mSince = start });
    UpdateClient(budget, 2, { .mIncomplete = 3 * kMegabyte, .mSince = start });
    UpdateClient(budget, 3, { .mIncomplete = 4 * kMegabyte, .mSince = now - Milliseconds{ 100 } });
    CHECK_FALSE(IsExhausted(budget));
    CHECK(ClientsToEnd(budget, now).empty());
    WHEN("a further one exceeds the part of incomplete requests")
    {
      UpdateClient(budget, 4, { .mIncomplete = 3 * kMegabyte, .mSince = now - Milliseconds{ 50 } });
      THEN("the slow large one ends alone")
      {
        CHECK(IsExhausted(budget));
        CHECK(ClientsToEnd(budget, now) == std::vector<MemoryClientId>{ 2 });
      }
      THEN("bytes that arrive later do not make it younger")
      {
        UpdateClient(budget, 2, { .mIncomplete = 3 * kMegabyte, .mSince = now });
        CHECK(ClientsToEnd(budget, now) == std::vector<MemoryClientId>{ 2 });
      }
      AND_WHEN("it has ended")
      {
        UpdateClient(budget, 2, {});
        THEN("nobody else gives way")
        {
          CHECK(ClientsToEnd(budget, now).empty());
          CHECK(budget.mClients.size() == 3);
        }
      }
    }
    WHEN("complete requests fill the rest")
    {
      ChangeHeld(budget, MemoryKind::kRequests, 0, 18 * kMegabyte);
      THEN("all large incomplete requests end, and the small one stays")
      {
        CHECK(ClientsToEnd(budget, now) == std::vector<MemoryClientId>{ 2, 3 });
      }
    }
  }
  GIVEN("only small requests")
  {
    for (MemoryClientId client = 1; client <= 150; ++client) {
      UpdateClient(
        budget, client, { .mIncomplete = 100'000, .mSince = start + Milliseconds{ client } });
    }
    THEN("the oldest end, and no more than needed and a sixteenth")
    {
      const std::vector<MemoryClientId> ended = ClientsToEnd(budget, now);
      CHECK(ended.front() == 1);
      CHECK(ended.size() == 57);
    }
  }
  GIVEN("clients that do not read large answers")
  {
    UpdateClient(budget, 1, { .mUnsent = 12 * kMegabyte, .mSince = start });
    UpdateClient(budget, 2, { .mUnsent = 12 * kMegabyte, .mSince = now });
    THEN("the one that has read nothing for longest ends")
    {
      CHECK(ClientsToEnd(budget, now) == std::vector<MemoryClientId>{ 1 });
    }
  }
  GIVEN("clients that take small answers while requests fill the budget")
  {
    ChangeHeld(budget, MemoryKind::kRequests, 0, 20 * kMegabyte);
    UpdateClient(budget, 1, { .mUnsent = 1'000, .mSince = start });
    THEN("none of the answers is cut off")
    {
      CHECK(ClientsToEnd(budget, now, kMegabyte).empty());
    }
    WHEN("one has been left for long")
    {
      THEN("its client gives way")
      {
        CHECK(ClientsToEnd(budget, start + Milliseconds{ 10'000 }, kMegabyte) ==
              std::vector<MemoryClientId>{ 1 });
      }
    }
  }
  GIVEN("large complete requests")
  {
    ChangeHeld(budget, MemoryKind::kRequests, 0, 14 * kMegabyte);
    THEN("a further large one has no room, and a small one has")
    {
      CHECK_FALSE(HasRoomForRequest(budget, 4 * kMegabyte));
      CHECK(HasRoomForRequest(budget, 100'000));
    }
  }
}

} // namespace
} // namespace trefoil
