// Detects parts of prompts that crash the model engines that begin to answer them, whatever else
// the requests contain.
//
//   PromptCrashTracker tracker;
//   RecordPromptCrash(tracker, server, parts, aRandomId, aNow);   // no answer had begun
//   RecordPromptAnswer(tracker, parts, aNow);                     // an answer has begun
//   if (const auto until = RefusedUntil(tracker, parts, aNow)) { ... }
//
// When a server crashes, each request that was waiting there for its answer to begin blames all
// its parts that other requests may share. An answer that begins afterwards clears the parts of its
// request. A part that is blamed for several crashes is refused. Crashes that a refused part
// explains no longer blame the parts beside it.
//
// Hosts exchange what they know as PromptCrashEvidence. Merging it is idempotent and independent of
// the order, so evidence may be lost, repeated, delayed or forwarded by other hosts. Plain data and
// pure functions.
#pragma once

#include "trefoil/base/ids.h"
#include "trefoil/base/instant.h"
#include "trefoil/base/name_table.h"

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace trefoil {

// A digest of a service and the id of a part of its prompts.
using PromptPartKey = std::uint64_t;

// A part is refused from this number of crashes on if no other part is blamed for as many.
inline constexpr int kMinPromptCrashesToRefuse = 3;
// From this number of crashes on, all parts that are blamed for as many are refused.
inline constexpr int kPromptCrashesToRefuseAll = 5;
// Crashes of different servers within this time count once, since an outage ends many at once.
inline constexpr Milliseconds kMinPromptCrashDistance{ 200 };

// The longest refusal of a part.
inline constexpr std::chrono::minutes kMaxPartRefusal{ 10 };

// What is known about a part of a request that was waiting at a server when that crashed. Merging
// keeps the later one.
enum class PartStanding : std::uint8_t
{
  kNeverAnswered,
  // A request with the part was answered before the crash, which makes it an unlikely cause.
  kAnsweredBefore,
  // A request with the part was answered after the crash, so the part is not its cause.
  kAnsweredAfter,
};

inline constexpr NameTable<PartStanding, 3> kPartStandingNames{ {
  { PartStanding::kNeverAnswered, "never_answered" },
  { PartStanding::kAnsweredBefore, "answered_before" },
  { PartStanding::kAnsweredAfter, "answered_after" },
} };

// One crash of a server.
struct PromptCrash
{
  BackendServerId mServer;
  // Identify the crash, one for each host that observed it. A report that arrives late, since its
  // receiver was frozen, would look like another crash by its time.
  std::set<std::uint64_t> mIds;
  // When a host first observed it.
  Instant mAt;
  // The parts of the requests that were waiting for an answer.
  std::map<PromptPartKey, PartStanding> mParts;
  // Whether the server has answered since on an older connection, so that it did not crash.
  bool mDisproved = false;
  // When this host last learned something new of it.
  Instant mChangedAt;
};

struct PartRefusal
{
  Instant mUntil;
  // Increases with each refusal of the part. Merging keeps the latest refusal.
  std::int64_t mGeneration = 0;
  // The number of refusals without an answer in between. Each lasts longer than the one before.
  std::int64_t mLevel = 0;
  // Whether a request with the part has been answered since, which ends the refusal.
  bool mAnswered = false;
  // When it last changed on this host.
  Instant mChangedAt;
};

struct PromptCrashTracker
{
  // Oldest first.
  std::vector<PromptCrash> mCrashes;
  // The latest answer with each part on this host.
  std::unordered_map<PromptPartKey, Instant> mAnsweredAt;
  // Parts that are or were refused.
  std::map<PromptPartKey, PartRefusal> mRefusals;
};

// What a host reports to others. mChangedAt is not used.
struct PromptCrashEvidence
{
  std::vector<PromptCrash> mCrashes;
  std::map<PromptPartKey, PartRefusal> mRefusals;

  bool Empty() const { return mCrashes.empty() && mRefusals.empty(); }
};

// Returns whether requests with the part are refused at `aNow`.
bool
IsInForce(const PartRefusal& aRefusal, Instant aNow);

PromptPartKey
PromptPartKeyOf(const ServiceId& aService, std::string_view aPartId);

// The functions that record return whether other hosts should be told soon.

// Records that a connection to `aServer` broke before the answer to a request with `aParts` began.
// `aRandomId` identifies the crash if this host has not recorded it yet.
bool
RecordPromptCrash(PromptCrashTracker& aTracker,
                  const BackendServerId& aServer,
                  const std::vector<PromptPartKey>& aParts,
                  std::uint64_t aRandomId,
                  Instant aNow);

// Records that the answer to a request with `aParts` began.
bool
RecordPromptAnswer(PromptCrashTracker& aTracker,
                   const std::vector<PromptPartKey>& aParts,
                   Instant aNow);

// Records that `aServer` answered. A crash that was recorded shortly before was none, since a
// server that has crashed takes longer to return.
bool
RecordServerAnswer(PromptCrashTracker& aTracker, const BackendServerId& aServer, Instant aNow);

// Returns the evidence to send to other hosts regularly: what has changed recently, since a
// datagram can be lost, and the refusals in force, for hosts that start.
PromptCrashEvidence
EvidenceToReport(const PromptCrashTracker& aTracker, Instant aNow);

// Returns the evidence that has changed since `aSince`, to send at once.
PromptCrashEvidence
EvidenceChangedSince(const PromptCrashTracker& aTracker, Instant aSince);

// Applies the evidence of another host. Returns whether it contained something new.
bool
MergeEvidence(PromptCrashTracker& aTracker, const PromptCrashEvidence& aEvidence, Instant aNow);

// Returns until when requests with `aParts` are refused, or std::nullopt if they may run.
std::optional<Instant>
RefusedUntil(const PromptCrashTracker& aTracker,
             const std::vector<PromptPartKey>& aParts,
             Instant aNow);

// Removes what is too old to matter.
void
ExpirePromptCrashes(PromptCrashTracker& aTracker, Instant aNow);

} // namespace trefoil
