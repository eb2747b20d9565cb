// What the store keeps of the version moves of one service, under moves/<service>.
//
//   std::string text = RenderMoveRecord(record);
//   MoveRecord record = ParseMoveRecord(text).value();
//
// The record alone says how far a move has come, so that any host can go on with it.
#pragma once

#include "absl/status/statusor.h"
#include "trefoil/base/ids.h"
#include "trefoil/base/instant.h"
#include "trefoil/base/name_table.h"

#include <cstddef>
#include <cstdint>
#include <string>
#include <vector>

namespace trefoil {

inline constexpr int kWholePermille = 1000;

enum class MovePhase
{
  // No version has moved yet.
  kSteady,
  kMoving,
  kDone,
  kWithdrawn,
};

inline constexpr NameTable<MovePhase, 4> kMovePhaseNames{ {
  { MovePhase::kSteady, "steady" },
  { MovePhase::kMoving, "moving" },
  { MovePhase::kDone, "done" },
  { MovePhase::kWithdrawn, "withdrawn" },
} };

// Why a move was withdrawn.
enum class MoveReason
{
  kNone,
  kErrors,
  kFirstToken,
  kTokenGap,
  kServersLost,
  // Entry hosts stopped sending to the version again and again.
  kStoppedByHosts,
  // The time of the move ended before there was enough evidence.
  kTimeUp,
  // A newer document does not want the version.
  kNotWanted,
};

inline constexpr NameTable<MoveReason, 8> kMoveReasonNames{ {
  { MoveReason::kNone, "none" },
  { MoveReason::kErrors, "errors" },
  { MoveReason::kFirstToken, "first_token" },
  { MoveReason::kTokenGap, "token_gap" },
  { MoveReason::kServersLost, "servers_lost" },
  { MoveReason::kStoppedByHosts, "stopped_by_hosts" },
  { MoveReason::kTimeUp, "time_up" },
  { MoveReason::kNotWanted, "not_wanted" },
} };

struct VersionShare
{
  VersionId mVersion;
  int mPermille = 0;

  friend bool operator==(const VersionShare&, const VersionShare&) = default;
  template<typename Archive>
  void serialize(Archive& aArchive)
  {
    aArchive(mVersion, mPermille);
  }
};

// A version that was withdrawn, and what the document said of it.
struct WithdrawnVersion
{
  VersionId mVersion;
  std::uint64_t mSpecDigest = 0;
};

// What the holder saw when it wrote the record.
struct MoveFigures
{
  std::uint64_t mNewRequests = 0;
  std::uint64_t mNewErrors = 0;
  std::uint64_t mOldRequests = 0;
  std::uint64_t mOldErrors = 0;
  // The route of a fault; empty for all.
  std::string mRoute;
  double mPValue = 1;
  double mEffect = 0;
};

// A move that is over.
struct EndedMove
{
  VersionId mVersion;
  MovePhase mPhase = MovePhase::kDone;
  MoveReason mReason = MoveReason::kNone;
  std::uint64_t mDocumentRevision = 0;
  WallTime mStartedAt;
  WallTime mEndedAt;
  MoveFigures mFigures;
};

// How many moves that are over a record keeps, the newest last.
inline constexpr std::size_t kMaxEndedMoves = 8;

struct MoveRecord
{
  MovePhase mPhase = MovePhase::kSteady;
  std::uint64_t mDocumentRevision = 0;
  // The version that moves, or moved last.
  VersionId mVersion;
  std::uint64_t mSpecDigest = 0;
  int mTargetPermille = 0;
  // Its share now.
  int mSharePermille = 0;
  int mStep = 0;
  // How often entry hosts stopped it by themselves.
  int mStops = 0;
  WallTime mStartedAt;
  // The move is done or withdrawn by then.
  WallTime mEndsAt;
  MoveReason mReason = MoveReason::kNone;
  MoveFigures mFigures;
  // The shares of the versions that have proved themselves.
  std::vector<VersionShare> mSettled;
  std::vector<WithdrawnVersion> mWithdrawn;
  std::vector<EndedMove> mEnded;
};

// Returns the store's key of a service's moves.
std::string
MoveKey(const ServiceId& aService);

std::string
RenderMoveRecord(const MoveRecord& aRecord);

// Returns DataLoss for a text that is no record.
absl::StatusOr<MoveRecord>
ParseMoveRecord(const std::string& aText);

// Returns the shares that the record allows: the settled ones, and the one of the version that
// moves.
std::vector<VersionShare>
SharesOf(const std::vector<VersionShare>& aSettled, const VersionId& aVersion, int aPermille);

} // namespace trefoil
