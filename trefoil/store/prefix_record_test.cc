#include "trefoil/store/prefix_record.h"

#include <catch2/catch.hpp>

namespace trefoil {
namespace {

const Instant kNow{ std::chrono::hours{ 1 } };
constexpr Milliseconds kLater{ 500 };

StoreItem
Item(const std::string& aKey, std::int64_t aRevision, bool aRemoved = false)
{
  return { .mKey = aKey, .mValue = "v", .mRevision = aRevision, .mRemoved = aRemoved };
}

SCENARIO("a host follows the servers' keys for others")
{
  PrefixRecord record;
  THEN("it has nothing to tell before its first list")
  {
    CHECK_FALSE(ChangesSince(record, 0).has_value());
  }
  NoteList(record, 100, kNow);
  NoteChanges(record, { Item("a", 101), Item("b", 103) }, 104, kNow + kLater, true);
  NoteChanges(record, { Item("a", 106, true) }, 106, kNow + 2 * kLater, true);
  THEN("each host is told what it lacks, the newest change of a key only")
  {
    CHECK(ChangesSince(record, 100)->size() == 2);
    CHECK(ChangesSince(record, 103)->size() == 1);
    CHECK(ChangesSince(record, 103)->front().mRemoved);
    CHECK(ChangesSince(record, 106)->empty());
  }
  THEN("a host that knows less than the first list must ask the store")
  {
    CHECK_FALSE(ChangesSince(record, 99).has_value());
  }
  WHEN("the store has dropped changes and the keys are listed anew")
  {
    NoteList(record, 120, kNow + 3 * kLater);
    THEN("removals before the list are not known, so hosts behind it must ask the store")
    {
      CHECK_FALSE(ChangesSince(record, 106).has_value());
      CHECK(record.mLastChange == 120);
    }
  }
}

SCENARIO("a host hears of the keys from another one")
{
  PrefixRecord record;
  NoteList(record, 100, kNow);
  WHEN("nothing has changed")
  {
    const auto outcome =
      NoteNews(record, { .mRevision = 140, .mLastChange = 90, .mCurrentAt = kNow + kLater }, true);
    THEN("what is known is proved to be the newest at that time")
    {
      CHECK(outcome == UpdateOutcome::kCurrent);
      CHECK(record.mCurrentAt == kNow + kLater);
    }
    AND_WHEN("older news come late")
    {
      NoteNews(record, { .mRevision = 80, .mLastChange = 80, .mCurrentAt = kNow }, true);
      THEN("the proof stays")
      {
        CHECK(record.mCurrentAt == kNow + kLater);
        CHECK(record.mRevision == 100);
      }
    }
  }
  WHEN("there are changes, and they come along")
  {
    const PrefixUpdate news{ .mRevision = 140,
                             .mLastChange = 130,
                             .mItemsSince = 100,
                             .mItems = { Item("a", 130) },
                             .mCurrentAt = kNow + kLater };
    THEN("they are taken, and can be told further")
    {
      CHECK(NoteNews(record, news, true) == UpdateOutcome::kChanged);
      CHECK(record.mRevision == 140);
      CHECK(ChangesSince(record, 100)->size() == 1);
      CHECK(NoteNews(record, news, true) == UpdateOutcome::kCurrent);
    }
  }
  WHEN("there are changes that do not come along")
  {
    const auto outcome =
      NoteNews(record, { .mRevision = 140, .mLastChange = 130, .mCurrentAt = kNow + kLater }, true);
    THEN("nothing is proved, and the store must be asked")
    {
      CHECK(outcome == UpdateOutcome::kBehind);
      CHECK(record.mCurrentAt == kNow);
      CHECK(record.mRevision == 100);
    }
  }
  WHEN("changes come that no question asked for")
  {
    const auto outcome = NoteNews(
      record,
      { .mRevision = 140, .mLastChange = 130, .mItemsSince = 100, .mItems = { Item("a", 130) } },
      true);
    THEN("they are taken and prove no time")
    {
      CHECK(outcome == UpdateOutcome::kChanged);
      CHECK(record.mCurrentAt == kNow);
    }
  }
}

SCENARIO("a message with changes is lost")
{
  PrefixRecord record;
  NoteList(record, 100, kNow);
  WHEN("the next one tells of the changes after it")
  {
    const PrefixUpdate news{
      .mRevision = 140, .mLastChange = 130, .mItemsSince = 120, .mItems = { Item("a", 130) }
    };
    THEN("it is not taken for all that was missed, and the store must be asked")
    {
      CHECK(NoteNews(record, news, true) == UpdateOutcome::kBehind);
      CHECK(record.mRevision == 100);
    }
  }
}

SCENARIO("a host that others ask has lost the store")
{
  PrefixRecord record;
  NoteList(record, 100, kNow);
  const Instant heardAt = kNow + std::chrono::seconds{ 2 };
  WHEN("it tells what it knew before")
  {
    NoteNews(record, { .mRevision = 100, .mLastChange = 90, .mCurrentAt = kNow }, true);
    THEN("the store is asked soon enough for a server that leaves now")
    {
      CHECK(AskStoreAt(record, heardAt) <= kNow + Milliseconds{ 2'500 });
    }
  }
  WHEN("it has not lost it")
  {
    NoteNews(record, { .mRevision = 100, .mLastChange = 90, .mCurrentAt = heardAt }, true);
    THEN("the store is not asked before its next reply is due")
    {
      CHECK(AskStoreAt(record, heardAt) >= heardAt + std::chrono::seconds{ 1 });
    }
  }
}

} // namespace
} // namespace trefoil
