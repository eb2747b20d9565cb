#include "trefoil/steering/evacuation.h"

#include "trefoil/base/store_revision.h"

#include <catch2/catch.hpp>

namespace trefoil {
namespace {

const AvailabilityZoneId kZoneA{ "a" };
const AvailabilityZoneId kZoneB{ "b" };
using Zones = std::set<AvailabilityZoneId>;

EvacuationState
MakeState()
{
  return { .mPrefix = "op/evacuate/", .mZones = { kZoneA, kZoneB } };
}

StoreItem
Written(const char* aKey, std::int64_t aRevision)
{
  return { .mKey = aKey, .mValue = "{}", .mRevision = aRevision };
}

StoreItem
Removed(const char* aKey, std::int64_t aRevision)
{
  return { .mKey = aKey, .mRevision = aRevision, .mRemoved = true };
}

SCENARIO("operators evacuate a zone")
{
  EvacuationState state = MakeState();
  CHECK(EvacuatedZones(state).empty());
  CHECK(
    ApplyEvacuationItem(state, Written("op/evacuate/a", 10)) ==
    EvacuationChange{ .mZone = kZoneA, .mOutcome = EvacuationOutcome::kClosed, .mRevision = 10 });
  THEN("the zone is closed, and the others are open")
  {
    CHECK(EvacuatedZones(state) == Zones{ kZoneA });
  }
  WHEN("the same change arrives again, or the key is written once more")
  {
    THEN("nothing changes")
    {
      CHECK_FALSE(ApplyEvacuationItem(state, Written("op/evacuate/a", 10)).has_value());
      CHECK_FALSE(ApplyEvacuationItem(state, Written("op/evacuate/a", 11)).has_value());
      CHECK(EvacuatedZones(state) == Zones{ kZoneA });
    }
  }
  WHEN("the key is removed")
  {
    const auto change = ApplyEvacuationItem(state, Removed("op/evacuate/a", 12));
    REQUIRE(change.has_value());
    CHECK(change->mOutcome == EvacuationOutcome::kOpen);
    CHECK(EvacuatedZones(state).empty());
    // Guards against a zone that an old message of another host closes again.
    AND_WHEN("an earlier write arrives late")
    {
      ApplyEvacuationItem(state, Written("op/evacuate/a", 11));
      THEN("the zone stays open")
      {
        CHECK(EvacuatedZones(state).empty());
      }
    }
    AND_WHEN("the key is written again")
    {
      ApplyEvacuationItem(state, Written("op/evacuate/a", 13));
      THEN("the zone is closed, and a late removal does not open it")
      {
        CHECK(EvacuatedZones(state) == Zones{ kZoneA });
        CHECK_FALSE(ApplyEvacuationItem(state, Removed("op/evacuate/a", 12)).has_value());
        CHECK(EvacuatedZones(state) == Zones{ kZoneA });
      }
    }
  }
}

SCENARIO("a complete list of the operators' keys is read")
{
  EvacuationState state = MakeState();
  GIVEN("a list with the key of a zone among others")
  {
    const auto changes =
      ApplyEvacuationList(state, { Written("op/config", 3), Written("op/evacuate/b", 5) }, 20);
    REQUIRE(changes.size() == 1);
    CHECK(changes.front().mRevision == 5);
    CHECK(EvacuatedZones(state) == Zones{ kZoneB });
    THEN("the same list changes nothing")
    {
      CHECK(ApplyEvacuationList(state, { Written("op/evacuate/b", 5) }, 20).empty());
      CHECK(EvacuatedZones(state) == Zones{ kZoneB });
    }
    // Guards against a zone that stays closed as the host was not told of the removal.
    THEN("a later list without the key opens the zone")
    {
      REQUIRE(ApplyEvacuationList(state, {}, 30).size() == 1);
      CHECK(EvacuatedZones(state).empty());
    }
    THEN("changes that are older than the list count no more, also of zones that it lacks")
    {
      CHECK_FALSE(ApplyEvacuationItem(state, Written("op/evacuate/a", 19)).has_value());
      CHECK_FALSE(ApplyEvacuationItem(state, Removed("op/evacuate/b", 4)).has_value());
      CHECK(EvacuatedZones(state) == Zones{ kZoneB });
    }
  }
  // Guards against an order that is forgotten, as a list that was sent before it arrives later.
  GIVEN("an order that another host relayed while the list was read")
  {
    ApplyEvacuationItem(state, Written("op/evacuate/a", 21));
    CHECK(ApplyEvacuationList(state, {}, 20).empty());
    THEN("the zone stays closed")
    {
      CHECK(EvacuatedZones(state) == Zones{ kZoneA });
    }
  }
  // The pages of a list are read one after the other.
  GIVEN("a list with a key that was written after its revision")
  {
    ApplyEvacuationList(state, { Written("op/evacuate/a", 22) }, 20);
    CHECK(EvacuatedZones(state) == Zones{ kZoneA });
    THEN("an earlier removal does not open the zone, a later one does")
    {
      CHECK_FALSE(ApplyEvacuationItem(state, Removed("op/evacuate/a", 21)).has_value());
      CHECK(ApplyEvacuationItem(state, Removed("op/evacuate/a", 23)).has_value());
      CHECK(EvacuatedZones(state).empty());
    }
  }
  // Guards against zones that can never be opened or closed again after the store came back from a
  // copy, whose numbers are lower.
  GIVEN("a store that was restored from a copy")
  {
    ApplyEvacuationItem(state, Written("op/evacuate/a", MakeStoreRevision(1, 500)));
    ApplyEvacuationList(
      state, { Written("op/evacuate/b", MakeStoreRevision(2, 80)) }, MakeStoreRevision(2, 90));
    CHECK(EvacuatedZones(state) == Zones{ kZoneB });
    THEN("changes of its present life count, those of its former life do not")
    {
      ApplyEvacuationItem(state, Removed("op/evacuate/b", MakeStoreRevision(2, 91)));
      ApplyEvacuationItem(state, Written("op/evacuate/a", MakeStoreRevision(1, 501)));
      CHECK(EvacuatedZones(state).empty());
    }
  }
}

SCENARIO("an order names no zone of the deployment")
{
  EvacuationState state = MakeState();
  ApplyEvacuationItem(state, Written("op/evacuate/a", 10));
  const auto noZone = ApplyEvacuationItem(state, Written("op/evacuate/", 11));
  const auto unknown = ApplyEvacuationItem(state, Written("op/evacuate/c", 12));
  THEN("it is rejected once for each write")
  {
    REQUIRE(noZone.has_value());
    CHECK(noZone->mOutcome == EvacuationOutcome::kRejectedNoZone);
    REQUIRE(unknown.has_value());
    CHECK(unknown->mOutcome == EvacuationOutcome::kRejectedUnknownZone);
    CHECK(unknown->mZone == AvailabilityZoneId{ "c" });
    CHECK_FALSE(ApplyEvacuationItem(state, Written("op/evacuate/c", 12)).has_value());
    CHECK(ApplyEvacuationItem(state, Written("op/evacuate/c", 13)).has_value());
    CHECK_FALSE(ApplyEvacuationItem(state, Removed("op/evacuate/c", 14)).has_value());
  }
  THEN("lists repeat the rejection no more, and the other orders hold")
  {
    CHECK(
      ApplyEvacuationList(
        state,
        { Written("op/evacuate/", 11), Written("op/evacuate/a", 10), Written("op/evacuate/c", 12) },
        20)
        .empty());
    CHECK(EvacuatedZones(state) == Zones{ kZoneA });
  }
}

SCENARIO("no prefix is known")
{
  EvacuationState state{ .mZones = { kZoneA } };
  THEN("no key orders an evacuation")
  {
    CHECK_FALSE(ApplyEvacuationItem(state, Written("a", 10)).has_value());
  }
}

} // namespace
} // namespace trefoil
