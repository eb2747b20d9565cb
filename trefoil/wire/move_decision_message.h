// What an entry host knows of the moves of services to other versions.
//
//   MoveDecisionMessage message{ .mHost = self, .mEntries = entries };
//
// Plain structs; trefoil/wire/codec.h encodes them.
#pragma once

#include "trefoil/base/ids.h"
#include "trefoil/base/name_table.h"

#include <cstdint>
#include <vector>

namespace trefoil {

// How far a move has come.
enum class ToldMoveStage : std::uint8_t
{
  kTrial,
  kSwitching,
  kRolledBack,
  kCompleted,
};

inline constexpr NameTable<ToldMoveStage, 4> kToldMoveStageNames{ {
  { ToldMoveStage::kTrial, "running" },
  { ToldMoveStage::kSwitching, "switching" },
  { ToldMoveStage::kRolledBack, "rolled_back" },
  { ToldMoveStage::kCompleted, "completed" },
} };

struct MoveDecisionEntry
{
  ServiceId mService;
  VersionId mTarget;
  std::int64_t mTimeLimitMilliseconds = 0;
  // The revision at which the order of the move was stored.
  std::int64_t mOrderRevision = 0;
  ToldMoveStage mStage = ToldMoveStage::kTrial;

  template<typename Archive>
  void serialize(Archive& aArchive)
  {
    aArchive(mService, mTarget, mTimeLimitMilliseconds, mOrderRevision, mStage);
  }
};

struct MoveDecisionMessage
{
  HostId mHost;
  std::vector<MoveDecisionEntry> mEntries;

  template<typename Archive>
  void serialize(Archive& aArchive)
  {
    aArchive(mHost, mEntries);
  }
};

} // namespace trefoil
