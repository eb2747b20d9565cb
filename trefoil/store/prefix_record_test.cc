#include "trefoil/store/prefix_record.h"

#include "trefoil/base/store_revision.h"

#include <catch2/catch.hpp>

namespace trefoil {
namespace {

const Instant kNow{ std::chrono::hours{ 1 } };
constexpr Milliseconds kStep{ 500 };

StoreItem
MakeItem(const std::string& aKey, std::int64_t aRevision, bool aRemoved = false)
{
  return { .mKey = aKey, .mValue = "v", .mRevision = aRevision, .mRemoved = aRemoved };
}

SCENARIO("a host watches the servers' keys and relays changes to other hosts")
{
  PrefixRecord record;
  THEN("it has no changes to send before its first list")
  {
    CHECK_FALSE(ChangesSince(record, 0).has_value());
  }
  ApplyList(record, {}, 100, kNow);
  ApplyChanges(record, { MakeItem("a", 101), MakeItem("b", 103) }, 104, kNow + kStep, true);
  ApplyChanges(record, { MakeItem("a", 106, true) }, 106, kNow + 2 * kStep, true);
  THEN("each host gets the changes that it lacks, only the newest one of each key")
  {
    CHECK(ChangesSince(record, 100)->size() == 2);
    CHECK(ChangesSince(record, 103)->size() == 1);
    CHECK(ChangesSince(record, 103)->front().mRemoved);
    CHECK(ChangesSince(record, 106)->empty());
  }
  THEN("a host whose revision is before the first list must query the store")
  {
    CHECK_FALSE(ChangesSince(record, 99).has_value());
  }
  WHEN("the store has compacted its history and the keys are listed again")
  {
    ApplyList(record, {}, 120, kNow + 3 * kStep);
    THEN("the list shows no earlier removals, so hosts with a lower revision must query the store")
    {
      CHECK_FALSE(ChangesSince(record, 106).has_value());
      CHECK(record.mLastChange == 120);
    }
  }
}

SCENARIO("a host receives updates of the keys from another host")
{
  PrefixRecord record;
  ApplyList(record, {}, 100, kNow);
  WHEN("no key has changed")
  {
    const auto outcome = ApplyPrefixUpdate(
      record, { .mRevision = 140, .mLastChange = 90, .mConfirmedAt = kNow + kStep }, true);
    THEN("the host's state is confirmed to be current at the time of the update")
    {
      CHECK(outcome == UpdateOutcome::kCurrent);
      CHECK(record.mConfirmedAt == kNow + kStep);
    }
    THEN("it has all changes up to the revision of the update")
    {
      CHECK(record.mRevision == 140);
      CHECK(ChangesSince(record, 100)->empty());
    }
    AND_WHEN("an older update arrives late")
    {
      ApplyPrefixUpdate(record, { .mRevision = 80, .mLastChange = 80, .mConfirmedAt = kNow }, true);
      THEN("the confirmed time does not move back")
      {
        CHECK(record.mConfirmedAt == kNow + kStep);
        CHECK(record.mRevision == 140);
      }
    }
  }
  WHEN("there are changes and the update contains them")
  {
    const PrefixUpdate update{ .mRevision = 140,
                               .mLastChange = 130,
                               .mItemsSince = 100,
                               .mItems = { MakeItem("a", 130) },
                               .mConfirmedAt = kNow + kStep };
    THEN("they are applied and can be relayed")
    {
      CHECK(ApplyPrefixUpdate(record, update, true) == UpdateOutcome::kChanged);
      CHECK(record.mRevision == 140);
      CHECK(ChangesSince(record, 100)->size() == 1);
      CHECK(ApplyPrefixUpdate(record, update, true) == UpdateOutcome::kCurrent);
    }
  }
  WHEN("there are changes that the update omits")
  {
    const auto outcome = ApplyPrefixUpdate(
      record, { .mRevision = 140, .mLastChange = 130, .mConfirmedAt = kNow + kStep }, true);
    THEN("no time is confirmed and the host must query the store")
    {
      CHECK(outcome == UpdateOutcome::kBehind);
      CHECK(record.mConfirmedAt == kNow);
      CHECK(record.mRevision == 100);
    }
  }
  WHEN("changes arrive without a query")
  {
    const auto outcome = ApplyPrefixUpdate(record,
                                           { .mRevision = 140,
                                             .mLastChange = 130,
                                             .mItemsSince = 100,
                                             .mItems = { MakeItem("a", 130) } },
                                           true);
    THEN("they are applied but confirm no time")
    {
      CHECK(outcome == UpdateOutcome::kChanged);
      CHECK(record.mConfirmedAt == kNow);
    }
  }
}

// Guards against: after a quiet time hosts lack a change that other hosts relay, since these have
// listed the keys meanwhile and retain only later changes, and the store has dropped its history
// (CONFIG).
SCENARIO("the host that relays has listed the keys, and the next change comes after a quiet time")
{
  PrefixRecord record;
  ApplyList(record, {}, 100, kNow);
  PrefixRecord sender;
  ApplyList(sender, {}, 100, kNow);
  const auto relay = [&record, &sender] {
    const auto items = ChangesSince(sender, record.mRevision);
    return ApplyPrefixUpdate(
      record,
      { .mRevision = sender.mRevision,
        .mLastChange = sender.mLastChange,
        .mItemsSince = items.has_value() ? std::optional{ record.mRevision } : std::nullopt,
        .mItems = items.value_or(std::vector<StoreItem>{}) },
      true);
  };
  ApplyChanges(sender, {}, 200, kNow + kStep, true);
  REQUIRE(relay() == UpdateOutcome::kCurrent);
  WHEN("it drops the changes that it retained, and a key changes after that")
  {
    sender.mRetainedSince = 150;
    ApplyChanges(sender, { MakeItem("a", 201) }, 201, kNow + 2 * kStep, true);
    THEN("the change is relayed")
    {
      CHECK(relay() == UpdateOutcome::kChanged);
      CHECK(record.mRevision == 201);
    }
  }
}

// Guards against: after the store has dropped its history all hosts list the keys together, the
// dearest call, since the list of the one that watches for them shows no changes.
SCENARIO("the host that watches for others lists the keys again")
{
  PrefixRecord record;
  ApplyList(record, { MakeItem("a", 90), MakeItem("b", 95), MakeItem("d", 96) }, 100, kNow);
  const auto relist = [&record](const std::vector<StoreItem>& aItems, std::int64_t aRevision) {
    const auto changes = ChangesInList(record, aItems, aRevision);
    REQUIRE(changes.has_value());
    ApplyChanges(record, *changes, aRevision, kNow + kStep, true);
  };
  WHEN("no key has changed")
  {
    relist({ MakeItem("a", 90), MakeItem("b", 95), MakeItem("d", 96) }, 120);
    THEN("hosts with an earlier revision lack nothing")
    {
      CHECK(record.mRevision == 120);
      CHECK(record.mLastChange <= 100);
      CHECK(ChangesSince(record, 100)->empty());
    }
  }
  WHEN("keys have changed, have come and were removed")
  {
    relist({ MakeItem("a", 90), MakeItem("b", 110), MakeItem("c", 112) }, 120);
    THEN("hosts get these as changes, the removal as of the list")
    {
      const auto changes = ChangesSince(record, 100);
      REQUIRE(changes.has_value());
      REQUIRE(changes->size() == 3);
      CHECK(record.mLastChange == 120);
      for (const StoreItem& item : *changes) {
        CHECK(item.mRemoved == (item.mKey == "d"));
        CHECK(item.mRevision == (item.mKey == "b" ? 110 : item.mKey == "c" ? 112 : 120));
      }
    }
    THEN("hosts whose revision is before the first list must still query the store")
    {
      CHECK_FALSE(ChangesSince(record, 99).has_value());
    }
    AND_WHEN("a key that has come is missing from the next list")
    {
      relist({ MakeItem("a", 90), MakeItem("b", 110) }, 130);
      THEN("it was removed, and the one that was removed before is not removed again")
      {
        REQUIRE(ChangesSince(record, 120)->size() == 1);
        CHECK(ChangesSince(record, 120)->front().mKey == "c");
        CHECK(ChangesSince(record, 120)->front().mRemoved);
      }
    }
  }
  WHEN("a key changes while later pages of the list are read")
  {
    relist({ MakeItem("a", 90), MakeItem("b", 125), MakeItem("d", 96) }, 120);
    THEN("that change is left to the next watch, which begins after the list")
    {
      CHECK(record.mRevision == 120);
      CHECK(ChangesSince(record, 100)->empty());
    }
  }
  WHEN("the list is older than what other hosts have relayed meanwhile")
  {
    ApplyChanges(record, { MakeItem("c", 130) }, 130, kNow + kStep, true);
    relist({ MakeItem("a", 90), MakeItem("b", 95), MakeItem("d", 96) }, 120);
    THEN("nothing is removed by it")
    {
      CHECK(record.mRevision == 130);
      CHECK(ChangesSince(record, 120)->size() == 1);
      CHECK(record.mKeys.contains("c"));
    }
  }
  WHEN("the store was restored from a copy")
  {
    THEN("the changes are not known")
    {
      CHECK_FALSE(ChangesInList(record, {}, MakeStoreRevision(1, 99)).has_value());
    }
  }
}

// Guards against: a host takes a configuration for current that it never got, from a host that had
// it before an older list of the keys arrived there (CONFIG).
SCENARIO("a change is relayed while the keys are being listed")
{
  PrefixRecord record;
  ApplyList(record, {}, 100, kNow);
  ApplyPrefixUpdate(
    record,
    { .mRevision = 105, .mLastChange = 105, .mItemsSince = 100, .mItems = { MakeItem("a", 105) } },
    true);
  WHEN("the list was made before the change")
  {
    ApplyList(record, {}, 103, kNow);
    THEN("the host still has the change, and hosts that lack it are told or call the store")
    {
      CHECK(record.mRevision == 105);
      const auto changes = ChangesSince(record, 103);
      CHECK((!changes.has_value() || changes->size() == 1));
    }
  }
}

SCENARIO("a message with changes is lost")
{
  PrefixRecord record;
  ApplyList(record, {}, 100, kNow);
  WHEN("the next message contains only later changes")
  {
    const PrefixUpdate update{
      .mRevision = 140, .mLastChange = 130, .mItemsSince = 120, .mItems = { MakeItem("a", 130) }
    };
    THEN("it is not applied and the host must query the store")
    {
      CHECK(ApplyPrefixUpdate(record, update, true) == UpdateOutcome::kBehind);
      CHECK(record.mRevision == 100);
    }
  }
}

SCENARIO("a host that relays changes may lose its connection to the store")
{
  PrefixRecord record;
  ApplyList(record, {}, 100, kNow);
  const Instant receivedAt = kNow + std::chrono::seconds{ 2 };
  WHEN("it has lost the connection and sends its last state")
  {
    ApplyPrefixUpdate(record, { .mRevision = 100, .mLastChange = 90, .mConfirmedAt = kNow }, true);
    THEN("the receiver queries the store early enough to observe a server that leaves now")
    {
      CHECK(StoreCallDueAt(record, receivedAt) <= kNow + Milliseconds{ 2'500 });
    }
  }
  WHEN("it is still connected")
  {
    ApplyPrefixUpdate(
      record, { .mRevision = 100, .mLastChange = 90, .mConfirmedAt = receivedAt }, true);
    THEN("the receiver does not query the store before the next reply is due")
    {
      CHECK(StoreCallDueAt(record, receivedAt) >= receivedAt + std::chrono::seconds{ 1 });
    }
  }
}

// Guards against hosts that confirm each other a configuration of before the store was restored
// from a copy, or that never read the present one (CONFIG).
SCENARIO("the store was restored from a copy")
{
  PrefixRecord record;
  ApplyList(record, {}, MakeStoreRevision(1, 118), kNow);
  WHEN("this host has not noticed it yet and another one sends what the store has now")
  {
    const auto outcome = ApplyPrefixUpdate(record,
                                           { .mRevision = MakeStoreRevision(2, 130),
                                             .mLastChange = MakeStoreRevision(2, 99),
                                             .mItemsSince = MakeStoreRevision(1, 118),
                                             .mConfirmedAt = kNow + kStep },
                                           true);
    THEN("it queries the store, and nothing is confirmed")
    {
      CHECK(outcome == UpdateOutcome::kBehind);
      CHECK(record.mConfirmedAt == kNow);
    }
  }
  WHEN("this host has listed the keys again")
  {
    ApplyList(record, {}, MakeStoreRevision(2, 99), kNow + kStep);
    CHECK(record.mRevision == MakeStoreRevision(2, 99));
    THEN("hosts that know only the former life must query the store, too")
    {
      CHECK_FALSE(ChangesSince(record, MakeStoreRevision(1, 118)).has_value());
    }
    THEN("a host that has not noticed it confirms nothing")
    {
      const auto outcome = ApplyPrefixUpdate(record,
                                             { .mRevision = MakeStoreRevision(1, 300),
                                               .mLastChange = MakeStoreRevision(1, 118),
                                               .mConfirmedAt = kNow + 9 * kStep },
                                             true);
      CHECK(outcome == UpdateOutcome::kOutdated);
      CHECK(record.mConfirmedAt == kNow + kStep);
    }
    THEN("a revision that is given out again is a new change")
    {
      ApplyChanges(record,
                   { MakeItem("a", MakeStoreRevision(2, 110)) },
                   MakeStoreRevision(2, 110),
                   kNow + 2 * kStep,
                   true);
      CHECK(ChangesSince(record, MakeStoreRevision(2, 99))->size() == 1);
    }
  }
}

} // namespace
} // namespace trefoil
