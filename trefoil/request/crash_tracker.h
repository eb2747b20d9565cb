// Detects what crashes the backend servers: whole requests that crash each server that runs them,
// and parts of prompts that crash the model engines that begin to answer them, whatever else the
// requests contain.
//
//   CrashTracker tracker;
//   RecordCrash(tracker, server, { .mRequest = request, .mParts = parts }, aRandomId, aNow);
//   RecordPromptAnswer(tracker, parts, aNow);        // an answer has begun
//   RecordCompletion(tracker, request, aNow);        // the answer is complete
//   if (const auto until = RefusedUntil(tracker, { request }, aNow)) { ... }
//
// When a server crashes, each request that it was running is a suspect, and if its answer had not
// begun, so are all its parts that other requests may share. An answer that begins afterwards
// clears the parts of its request, and one that completes clears the request. A suspect that is
// blamed for several crashes is refused. Crashes that a refused part explains no longer blame the
// parts and requests beside it.
//
// Copies of a request share its key, so sound copies of a popular request are told from one that
// crashes its servers by their answers: a request that has been answered before is blamed less.
//
// Prompts can have thousands of parts, and many requests can wait at a server that crashes. The
// lists are bounded; those stay that are likeliest to be the cause, and among equals a random
// choice that differs from crash to crash and from report to report, so that no part is left out
// for good. A list that was cut is no evidence against the parts that it still has, nor for those
// it lacks.
//
// Hosts exchange what they know as CrashEvidence. Merging it is idempotent and independent of
// the order, so evidence may be lost, repeated, delayed or forwarded by other hosts. Plain data and
// pure functions.
#pragma once

#include "trefoil/base/ids.h"
#include "trefoil/base/instant.h"
#include "trefoil/base/name_table.h"

#include <array>
#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace trefoil {

// A digest of a request, or of a service and the id of a part of its prompts.
using SuspectKey = std::uint64_t;
using PromptPartKey = SuspectKey;

// What identifies a request: copies of it differ in nothing of this.
struct RequestIdentity
{
  ClientAccountId mAccount;
  ServiceId mService;
  std::string_view mMethod;
  std::string_view mTarget;
  std::string_view mBody;
};

// The possible causes of a crash in one request.
struct CrashSuspects
{
  SuspectKey mRequest = 0;
  // Empty if the answer had begun.
  std::vector<PromptPartKey> mParts;
};

// A request with at least this number of crashes runs alone on a server.
inline constexpr int kMinCrashesToRunAlone = 2;
// A request with at least this number of crashes is refused.
inline constexpr int kMinCrashesToRefuse = 3;
// The same for a request that was answered before, for crashes at least kMinCrashDistance
// apart.
inline constexpr int kMinCrashesToRefuseAnswered = 5;

// A part is refused from this number of crashes on if no other part is blamed for as many.
inline constexpr int kMinCrashesToRefusePart = 3;
// From this number of crashes on, all parts that are blamed for as many are refused.
inline constexpr int kCrashesToRefuseAllParts = 5;
// Crashes of different servers within this time count once, since an outage ends many at once.
// Against a request that was never answered they count one by one: it ran on each of these servers.
inline constexpr Milliseconds kMinCrashDistance{ 200 };

// The longest refusal of a suspect.
inline constexpr std::chrono::minutes kMaxRefusal{ 10 };

// What is known about a suspect of a crash. Merging keeps the later one.
enum class SuspectStanding : std::uint8_t
{
  kNeverAnswered,
  // It was answered before the crash, which makes it an unlikely cause.
  kAnsweredBefore,
  // It was answered after the crash, so it is not the cause.
  kAnsweredAfter,
};

inline constexpr NameTable<SuspectStanding, 3> kSuspectStandingNames{ {
  { SuspectStanding::kNeverAnswered, "never_answered" },
  { SuspectStanding::kAnsweredBefore, "answered_before" },
  { SuspectStanding::kAnsweredAfter, "answered_after" },
} };

// One crash of a server.
struct ServerCrash
{
  BackendServerId mServer;
  // Identify the crash, one for each host that observed it. A report that arrives late, since its
  // receiver was frozen, would look like another crash by its time.
  std::set<std::uint64_t> mIds;
  // When a host first observed it.
  Instant mAt;
  // The parts of the requests that were waiting for an answer.
  std::map<PromptPartKey, SuspectStanding> mParts;
  // Whether parts that may be the cause were left out of mParts for lack of room, here or on
  // another host. A part that is missing from the list may have been in the crash then.
  bool mPartsCut = false;
  // The requests that were running.
  std::map<SuspectKey, SuspectStanding> mRequests;
  // The same as mPartsCut for requests, by this host alone.
  bool mRequestsCut = false;
  // Whether the server has answered since on an older connection, so that it did not crash.
  bool mDisproved = false;
  // When this host last learned something new of it.
  Instant mChangedAt;
};

struct Refusal
{
  Instant mUntil;
  // Increases with each refusal of the suspect. Merging keeps the latest refusal.
  std::int64_t mGeneration = 0;
  // The number of refusals without an answer in between. Each lasts longer than the one before.
  std::int64_t mLevel = 0;
  // Whether the suspect has been answered since, or the crashes behind the refusal turned out to be
  // too few. Either ends the refusal.
  bool mAnswered = false;
  // When it last changed on this host.
  Instant mChangedAt;
};

// The lists of a CrashTracker that are bounded.
enum class CrashList
{
  kCrashes,
  kParts,
  kRequests,
  kRefusals,
  // The parts in a report to other hosts.
  kReportedParts,
};

inline constexpr NameTable<CrashList, 5> kCrashListNames{ {
  { CrashList::kCrashes, "crashes" },
  { CrashList::kParts, "parts" },
  { CrashList::kRequests, "requests" },
  { CrashList::kRefusals, "refusals" },
  { CrashList::kReportedParts, "reported_parts" },
} };

// The number of entries that were left out of each list for lack of room, by CrashList.
using LeftOutCounts = std::array<std::uint64_t, kCrashListNames.size()>;

struct CrashTracker
{
  // Oldest first. Change these only by the functions below.
  std::vector<ServerCrash> mCrashes;
  // The number of crashes in mCrashes that list each part, and each request.
  std::unordered_map<PromptPartKey, std::uint32_t> mPartListings;
  std::unordered_map<SuspectKey, std::uint32_t> mRequestListings;
  LeftOutCounts mLeftOut{};
  // The latest answers on this host: with each part, and of each request. The older half is dropped
  // when the newer one is full.
  std::unordered_map<SuspectKey, Instant> mAnsweredAt;
  std::unordered_map<SuspectKey, Instant> mAnsweredEarlier;
  // The last answer of each server on this host.
  std::unordered_map<BackendServerId, Instant> mServerAnsweredAt;
  // Requests and parts that are or were refused.
  std::map<SuspectKey, Refusal> mRefusals;
  // Whether merging evidence has found something in it that this host knows better. Set by
  // MergeEvidence; the caller resets it.
  bool mKnowsBetter = false;
};

// What a host reports to others. mChangedAt is not used.
struct CrashEvidence
{
  std::vector<ServerCrash> mCrashes;
  std::map<SuspectKey, Refusal> mRefusals;
  // The number of parts that were left out of the crashes for lack of room. Not sent.
  std::size_t mPartsLeftOut = 0;

  bool Empty() const { return mCrashes.empty() && mRefusals.empty(); }
};

// What may be done with a request at a moment.
enum class CrashDecision
{
  kRun,
  // The request may run on a server that runs no other request of this system at the same time.
  kRunAlone,
  kRefuse,
};

inline constexpr NameTable<CrashDecision, 3> kCrashDecisionNames{ {
  { CrashDecision::kRun, "run" },
  { CrashDecision::kRunAlone, "run_alone" },
  { CrashDecision::kRefuse, "refuse" },
} };

// Returns whether the suspect is refused at `aNow`.
bool
IsInForce(const Refusal& aRefusal, Instant aNow);

SuspectKey
RequestKeyOf(const RequestIdentity& aIdentity);

PromptPartKey
PromptPartKeyOf(const ServiceId& aService, std::string_view aPartId);

// The functions that record return whether other hosts should be told soon. A request that is
// blamed for one crash, as many are after an outage, is told with the next regular report.

// Records that a connection to `aServer` broke before the answer to a request was complete.
// `aRandomId` identifies the crash if this host has not recorded it yet.
bool
RecordCrash(CrashTracker& aTracker,
            const BackendServerId& aServer,
            const CrashSuspects& aSuspects,
            std::uint64_t aRandomId,
            Instant aNow);

// The same for a connection that broke at `aCrashedAt`, before `aNow`.
bool
RecordEarlierCrash(CrashTracker& aTracker,
                   const BackendServerId& aServer,
                   const CrashSuspects& aSuspects,
                   std::uint64_t aRandomId,
                   Instant aCrashedAt,
                   Instant aNow);

// Records that the answer to a request with `aParts` began.
bool
RecordPromptAnswer(CrashTracker& aTracker, const std::vector<PromptPartKey>& aParts, Instant aNow);

// Records that the answer to a request is complete. Returns the number of crashes that it was
// blamed for. Other hosts should be told soon from kMinCrashesToRunAlone on.
int
RecordCompletion(CrashTracker& aTracker, SuspectKey aRequest, Instant aNow);

// Records that `aServer` answered. A crash shortly before was none, whichever host recorded it and
// whenever this host learns of it: a server that has crashed takes longer to return.
bool
RecordServerAnswer(CrashTracker& aTracker, const BackendServerId& aServer, Instant aNow);

// Records that another host reached `aServer` at `aReachedAt`, while this one could not: its link
// was lost, and a crash shortly before was none. Unlike an answer it shows nothing of crashes that
// this host learns of later.
bool
RecordServerReached(CrashTracker& aTracker,
                    const BackendServerId& aServer,
                    Instant aReachedAt,
                    Instant aNow);

// Returns the evidence to send to other hosts regularly: what has changed recently, since a
// datagram can be lost, and the refusals in force, for hosts that start.
CrashEvidence
EvidenceToReport(const CrashTracker& aTracker, Instant aNow);

// Returns the evidence that has changed since `aSince`, to send at once.
CrashEvidence
EvidenceChangedSince(const CrashTracker& aTracker, Instant aSince);

// Counts what was left out of evidence that is sent.
void
CountLeftOutOfReport(CrashTracker& aTracker, const CrashEvidence& aEvidence);

// Applies the evidence of another host. Returns whether it contained something new. What this host
// knows better is kept: a host that has lost its own links to the servers takes that for crashes.
// If CrashTracker::mKnowsBetter is set afterwards, the other hosts should be told soon.
bool
MergeEvidence(CrashTracker& aTracker, const CrashEvidence& aEvidence, Instant aNow);

// Returns until when requests with one of `aSuspects` are refused, or std::nullopt if they may run.
std::optional<Instant>
RefusedUntil(const CrashTracker& aTracker, const std::vector<SuspectKey>& aSuspects, Instant aNow);

// Returns whether a request may run, may run alone or is refused at `aNow`, whatever its parts.
CrashDecision
CrashDecisionFor(const CrashTracker& aTracker, SuspectKey aRequest, Instant aNow);

// Removes what is too old to matter.
void
ExpireCrashes(CrashTracker& aTracker, Instant aNow);

} // namespace trefoil
