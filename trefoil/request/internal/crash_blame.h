// Which suspects are blamed for which crashes, and the refusals that follow. Used by crash_tracker
// and crash_evidence alone.
//
//   RequestBlame blame = BlameOfRequest(tracker, request);
//   UpdateRefusals(tracker, now);
//
// Pure functions on the state of a CrashTracker.
#pragma once

#include "trefoil/request/crash_tracker.h"

#include <cstddef>
#include <map>
#include <optional>

namespace trefoil {

// Connections to a server that break within this time broke in the same crash, and a server that
// has crashed does not answer within it.
inline constexpr Milliseconds kMinDowntime{ 1'000 };
// Bounds memory and the size of messages.
inline constexpr std::size_t kMaxRefusals = 256;

// The crashes that a suspect is blamed for.
struct Blame
{
  int mCrashes = 0;
  Instant mLastCrashAt;
  bool mAnsweredBefore = false;
};

// What a request is blamed for. If it was answered before, only distant crashes count.
struct RequestBlame
{
  // All crashes, and those that are kMinCrashDistance apart.
  int mCrashes = 0;
  Blame mDistant;

  int Counted() const { return mDistant.mAnsweredBefore ? mDistant.mCrashes : mCrashes; }
  int Bound() const
  {
    return mDistant.mAnsweredBefore ? kMinCrashesToRefuseAnswered : kMinCrashesToRefuse;
  }
};

bool
IsBlamed(const ServerCrash& aCrash, SuspectStanding aStanding);

bool
IsBlamed(const ServerCrash& aCrash,
         const std::map<SuspectKey, SuspectStanding>& aSuspects,
         SuspectKey aSuspect);

// Returns whether a part that is or was refused explains the crash. A refused request explains
// none, since the cause may be one of its parts. A crash before the refusal whose list was cut
// counts as explained, since the list may lack the part.
bool
IsExplained(const CrashTracker& aTracker, const ServerCrash& aCrash);

std::optional<Instant>
LastAnswerAt(const CrashTracker& aTracker, SuspectKey aSuspect);

// Returns whether an answer of the server to this host shows that it has not crashed.
bool
IsDisprovedHere(const CrashTracker& aTracker, const ServerCrash& aCrash);

// Returns the standing of a suspect by the answers on this host.
SuspectStanding
StandingAt(const CrashTracker& aTracker, SuspectKey aSuspect, Instant aCrashedAt);

RequestBlame
BlameOfRequest(const CrashTracker& aTracker, SuspectKey aRequest);

// Returns the number of known crashes that the suspect was in, whether it is blamed for them or
// not.
std::ptrdiff_t
CountCrashes(const CrashTracker& aTracker,
             std::map<SuspectKey, SuspectStanding> ServerCrash::*aSuspects,
             SuspectKey aSuspect);

// Returns whether the suspect is refused by a first refusal that has not been ended. Later ones
// follow crashes after the first.
bool
HasFirstRefusal(const CrashTracker& aTracker, SuspectKey aSuspect);

// Ends the first refusal of a request that is blamed for too few crashes: some were disproved, or
// the host that refused it did not know that it had been answered.
void
Exonerate(CrashTracker& aTracker, SuspectKey aRequest, Instant aNow);

// The same for a part of prompts.
void
ExoneratePart(CrashTracker& aTracker, PromptPartKey aPart, Instant aNow);

// Records that the server did not crash, which ends the refusals that rested on it.
void
Disprove(CrashTracker& aTracker, ServerCrash& aCrash, Instant aNow);

// Records that the server was alive at `aAliveAt`. Returns whether other hosts should be told soon.
bool
DisproveCrashesOf(CrashTracker& aTracker,
                  const BackendServerId& aServer,
                  Instant aAliveAt,
                  Instant aNow);

// Refuses the request if it is blamed for enough crashes and was not refused before. Returns
// whether it is blamed for more than one crash, so that other hosts should be told soon.
bool
JudgeRequest(CrashTracker& aTracker, SuspectKey aRequest, Instant aNow);

// Returns whether enough crashes list the part to refuse it.
bool
IsListedOften(const CrashTracker& aTracker, PromptPartKey aPart);

// Refuses the suspects again that crashed a server after their refusal had ended.
void
RenewRefusals(CrashTracker& aTracker, Instant aNow);

// Decides which parts are refused, after RenewRefusals(). Must be called when crashes have been
// added or what is known of them has changed.
void
UpdateRefusals(CrashTracker& aTracker, Instant aNow);

// Makes room for one more refusal: drops the one that ends first.
void
LimitRefusals(CrashTracker& aTracker);

} // namespace trefoil
