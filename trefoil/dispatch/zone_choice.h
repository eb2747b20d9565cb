// Decides which share of a service's requests leaves the availability zone of the host.
//
//   RecordZoneTime(choice, { .mIsOwnZone = true, .mTime = answered - sentAt }, now);
//   const double share = LeavingShare(choice, { .mCrossingCost = cost }, now);
//   if (random < share) { ... choose among the servers of the other zones ... }
//
// Traffic between zones is slower and costs money, so requests stay in their zone while its servers
// answer as soon as those of other zones, the crossing cost included. The measured times include
// the way there and back and the wait at the servers, so that a zone that is full shows it. The
// share moves by degrees: hosts that see the same times neither leave together nor come back
// together. Only requests that any server of the service serves alike are decided here; a prompt
// whose shared parts are cached by a server of another zone goes there (server_choice.h). Plain
// data and pure functions.
#pragma once

#include "trefoil/base/instant.h"
#include "trefoil/base/name_table.h"

#include <cstdint>

namespace trefoil {

enum class ZoneSide
{
  kOwn,
  kOther,
};

inline constexpr NameTable<ZoneSide, 2> kZoneSideNames{ {
  { ZoneSide::kOwn, "own" },
  { ZoneSide::kOther, "other" },
} };

// The mean time of the latest answers.
struct MeanAnswerTime
{
  double mMs = 0;
  Instant mObservedAt;
};

// What a host knows of one service.
struct ZoneChoice
{
  MeanAnswerTime mOwnZone;
  MeanAnswerTime mOtherZones;
  // The mean time of the own zone's answers when they were fastest. It stands for the other zones
  // until one of their answers is observed.
  double mBestMs = 0;
  // The share that leaves, from 0 to 1, as of mShareAt.
  double mShare = 0;
  Instant mShareAt;
};

struct ZoneTime
{
  bool mIsOwnZone = true;
  // From sending the request to the begin of its answer.
  Milliseconds mTime{ 0 };
};

void
RecordZoneTime(ZoneChoice& aChoice, const ZoneTime& aTime, Instant aNow);

struct ZoneChoiceParameters
{
  // By how much sooner an answer from another zone must begin to be worth its price.
  Milliseconds mCrossingCost{ 0 };
};

// Returns the share of the requests that leaves the zone at `aNow`, and keeps it.
double
LeavingShare(ZoneChoice& aChoice, const ZoneChoiceParameters& aParameters, Instant aNow);

// Returns whether the servers of a service are alike for a request: its shared parts take less time
// to prefill than the crossing costs. `aPrefillRate` is in tokens per second.
bool
IsServedAlike(std::int64_t aSharedTokens,
              double aPrefillRate,
              const ZoneChoiceParameters& aParameters);

} // namespace trefoil
