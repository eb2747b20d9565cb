// The state of a service's version moves, stored as JSON under moves/<service>.
//
//   std::string text = RenderMoveRecord(record);
//   MoveRecord record = ParseMoveRecord(text).value();
//
// The record contains the complete progress of a move, so that any host can continue it.
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
  // No move has started yet.
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
  // Entry hosts repeatedly stopped traffic to the version.
  kStoppedByHosts,
  // The move reached its end time before there was enough evidence.
  kTimeUp,
  // The document no longer contains the version, or its entry has changed.
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

// A version that was withdrawn, with the digest of its entry in the document.
struct WithdrawnVersion
{
  VersionId mVersion;
  std::uint64_t mSpecDigest = 0;
};

// The request statistics when the holder wrote the record.
struct MoveStatistics
{
  std::uint64_t mNewRequests = 0;
  std::uint64_t mNewErrors = 0;
  std::uint64_t mOldRequests = 0;
  std::uint64_t mOldErrors = 0;
  // The route of the suspected fault; empty if it covers all routes or there is no fault.
  std::string mRoute;
  double mPValue = 1;
  double mEffect = 0;
};

// A finished or withdrawn move.
struct EndedMove
{
  VersionId mVersion;
  MovePhase mPhase = MovePhase::kDone;
  MoveReason mReason = MoveReason::kNone;
  std::uint64_t mDocumentRevision = 0;
  WallTime mStartedAt;
  WallTime mEndedAt;
  MoveStatistics mStatistics;
};

// The number of ended moves that a record keeps, newest last.
inline constexpr std::size_t kMaxEndedMoves = 8;

struct MoveRecord
{
  MovePhase mPhase = MovePhase::kSteady;
  std::uint64_t mDocumentRevision = 0;
  // The version of the current or the last move.
  VersionId mVersion;
  std::uint64_t mSpecDigest = 0;
  int mTargetPermille = 0;
  // The version's current share.
  int mSharePermille = 0;
  int mStep = 0;
  // How often entry hosts have stopped the version during the move.
  int mStops = 0;
  WallTime mStartedAt;
  // The move is finished or withdrawn by this time.
  WallTime mEndsAt;
  MoveReason mReason = MoveReason::kNone;
  MoveStatistics mStatistics;
  // The shares of the settled versions: the first versions of the service and those whose move
  // has finished.
  std::vector<VersionShare> mSettled;
  std::vector<WithdrawnVersion> mWithdrawn;
  std::vector<EndedMove> mEnded;
};

// Returns the store key of a service's move record.
std::string
MoveKey(const ServiceId& aService);

// Returns the record as JSON.
std::string
RenderMoveRecord(const MoveRecord& aRecord);

// Returns DataLoss if the text is not a valid record.
absl::StatusOr<MoveRecord>
ParseMoveRecord(const std::string& aText);

// Returns the share of each version while `aVersion` has `aPermille`: the settled versions
// split the rest in proportion to their settled shares.
std::vector<VersionShare>
TrafficShares(const std::vector<VersionShare>& aSettled, const VersionId& aVersion, int aPermille);

} // namespace trefoil
