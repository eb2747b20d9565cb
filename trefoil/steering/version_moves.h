// Moves the traffic of a service to another version of its servers, or rolls the move back.
//
//   OnVersionOrder(moves, order, revision, source, outcomes, now);
//   if (EvaluateMove(moves.mMoves[service], outcomes, now)) { ... }
//   if (const auto call = NextMoveCall(moves.mMoves[service], holdsDuty, now)) { ... }
//
// A new version first gets a small share of the requests. The move is rolled back as soon as its
// answers are clearly worse than those of the other versions. Shortly before the order's time is
// over, all requests go to the new version if it has given enough answers; if it bears them, the
// move completes, and is rolled back otherwise.
//
// The holder of the duties decides. Its decisions are told to all hosts and kept in the store, so
// that any host, one that starts later included, knows them. The stages of a move only rise, in
// the order of MoveStage, whatever arrives late or twice. A move is completed only once the store
// has recorded that, on condition that no other decision was recorded: the platform stops the
// other versions then. Plain data and pure functions; the caller performs the calls.
#pragma once

#include "absl/status/statusor.h"
#include "trefoil/base/name_table.h"
#include "trefoil/forward/traffic_view.h"
#include "trefoil/steering/clock_reading.h"
#include "trefoil/steering/control_codec.h"

#include <map>
#include <optional>
#include <set>
#include <string>
#include <variant>

namespace trefoil {

// In ascending order: of two stages of one move, all hosts keep the later one. A recorded
// completion prevails over a rollback that was told but not recorded, since the other versions may
// have been stopped.
enum class MoveStage
{
  // The new version gets a small share of the requests.
  kTrial,
  // The new version gets all requests, and the move can still be rolled back.
  kSwitching,
  kRolledBack,
  kCompleted,
};

inline constexpr NameTable<MoveStage, 4> kMoveStageNames{ {
  { MoveStage::kTrial, "running" },
  { MoveStage::kSwitching, "switching" },
  { MoveStage::kRolledBack, "rolled_back" },
  { MoveStage::kCompleted, "completed" },
} };

// Returns whether the stage is final.
bool
IsDecided(MoveStage aStage);

// Returns the state of a move that operators see.
VersionMoveState
StateOf(MoveStage aStage);

// What a host knows of the move that an order asks for.
struct MoveDecision
{
  VersionOrder mOrder;
  // The revision at which the order was stored (base/store_revision.h).
  std::int64_t mRevision = 0;
  MoveStage mStage = MoveStage::kTrial;
};

// The decision as it is kept in the store, with the start of the move.
struct MoveStageRecord
{
  MoveDecision mDecision;
  WallTime mStartedAt;
};

struct VersionMove
{
  VersionOrder mOrder;
  std::int64_t mRevision = 0;
  // The start of the move as far as this host knows it, and that of its stage.
  Instant mSeenAt;
  Instant mStageSince;
  MoveStage mStage = MoveStage::kTrial;
  // Whether the completion is decided but not recorded yet.
  bool mCompletes = false;
  // The outcomes of each version before the order. Only later outcomes count.
  std::map<VersionId, VersionOutcomes> mBaseline;
  // Since when the service has had no server of another version than the target.
  std::optional<Instant> mOthersAbsentSince;

  // Whether the record in the store has been read, its revision, and its stage if it is of this
  // order.
  bool mRecordKnown = false;
  std::int64_t mRecordRevision = 0;
  std::optional<MoveStage> mRecordedStage;
  // The state last written for operators, and the revision at which its key is expected.
  std::optional<VersionMoveState> mWrittenState;
  std::int64_t mStatusRevision = 0;
  // The earliest time of the next call; a call in progress has timed out by then.
  Instant mNextCallAt;
};

// Returns whether the servers of several versions are still needed: the move is undecided, the
// platform does not know the decision yet, which only the holder of the duties knows, or it has not
// stopped the servers that a completed move replaces.
bool
NeedsAllVersions(const VersionMove& aMove);

struct VersionMoves
{
  std::map<ServiceId, VersionMove> mMoves;
};

// How an order became known.
enum class OrderSource
{
  // From a list of all orders.
  kList,
  // As a change.
  kChange,
};

inline constexpr NameTable<OrderSource, 2> kOrderSourceNames{ {
  { OrderSource::kList, "list" },
  { OrderSource::kChange, "change" },
} };

// Records an order that was stored at `aRevision` (base/store_revision.h), with the outcomes
// counted so far. Returns false if this order or a later one of the service is already recorded.
// After the store was restored from a copy, its list can have an order that a known one has
// replaced, and the known one is written again.
bool
OnVersionOrder(VersionMoves& aMoves,
               const VersionOrder& aOrder,
               std::int64_t aRevision,
               OrderSource aSource,
               const std::map<VersionId, VersionOutcomes>& aOutcomes,
               Instant aNow);

// Must be called when the store was restored from a copy: records and states are read and written
// again.
void
OnStoreRestored(VersionMoves& aMoves);

// Decides on a running move by the outcomes since its order. `aOutcomes` are totals. Returns
// whether the stage of the move changed.
bool
EvaluateMove(VersionMove& aMove,
             const std::map<VersionId, VersionOutcomes>& aOutcomes,
             Instant aNow);

// Applies what another host, or the store, says of a move. Returns whether its stage changed.
bool
ApplyDecision(VersionMoves& aMoves, const MoveDecision& aDecision, Instant aNow);

// Returns the decisions that are told to the other hosts: those in which a move has left its trial.
std::vector<MoveDecision>
DecisionsToTell(const VersionMoves& aMoves);

// Records which versions the registered servers of the services have.
void
ObserveVersions(VersionMoves& aMoves, const ServerRegistry& aServers, Instant aNow);

// Returns the target version and its traffic share for each service that has a move.
std::map<ServiceId, VersionSteering>
SteeringOf(const VersionMoves& aMoves, Instant aNow);

// Returns the store key of the record of a service's move.
std::string
MoveRecordKey(const ServiceId& aService);

// Returns a record as JSON.
std::string
RenderMoveStageRecord(const MoveStageRecord& aRecord);

// Returns DataLoss if `aText` is not a valid record.
absl::StatusOr<MoveStageRecord>
ParseMoveStageRecord(const std::string& aText);

// Reads the record of a move.
struct ReadMoveStage
{};

// Writes the record of a move if its key has the expected revision.
struct WriteMoveStage
{
  MoveStageRecord mRecord;
  std::int64_t mExpected = 0;
};

// Writes the state for operators if its key has the expected revision. So a write that is executed
// late cannot replace a later state.
struct WriteMoveStatus
{
  VersionMoveState mState = VersionMoveState::kRunning;
  std::int64_t mExpected = 0;
};

using MoveCall = std::variant<ReadMoveStage, WriteMoveStage, WriteMoveStatus>;

// Returns the call to the store that is due, if any. Only the holder of the duties writes.
std::optional<MoveCall>
NextMoveCall(VersionMove& aMove, bool aHoldsDuty, const ClockReading& aClock);

// What the store has under a key; the revision is 0 if the key does not exist.
struct StoredText
{
  std::string mText;
  std::int64_t mRevision = 0;
};

// Handles the record that the store has, as the answer to a read or to a write that conflicts with
// it. Returns whether the stage of the move changed. A text that is no record is replaced.
bool
OnMoveStageRead(VersionMove& aMove, const StoredText& aStored, const ClockReading& aClock);

// Handles a record that was written at `aRevision`. Returns whether the stage of the move changed.
bool
OnMoveStageWritten(VersionMove& aMove,
                   const MoveStageRecord& aRecord,
                   std::int64_t aRevision,
                   Instant aNow);

// Handles a state that was written at `aRevision`.
void
OnMoveStatusWritten(VersionMove& aMove, VersionMoveState aState, std::int64_t aRevision);

// Handles the state that conflicts with a write of `aText`.
void
OnMoveStatusConflict(VersionMove& aMove,
                     VersionMoveState aState,
                     const std::string& aText,
                     const StoredText& aStored);

// Handles a call without an answer, or a refused one. `aMayHaveRun` is whether a write may have
// taken effect, or may do so later.
void
OnMoveCallFailed(VersionMove& aMove, bool aMayHaveRun, Instant aNow);

} // namespace trefoil
