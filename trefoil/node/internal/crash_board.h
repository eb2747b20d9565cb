// What this host knows of requests that crash servers, and which servers get no new work for now.
//
//   CrashBoard board{ host, [](const Message& aMessage) { ... send it to all hosts ... } };
//   if (board.JudgeNow(digest) == CrashDecision::kRefuse) { ... }
//
// Thread-safe.
#pragma once

#include "absl/base/thread_annotations.h"
#include "absl/synchronization/mutex.h"
#include "trefoil/base/ids.h"
#include "trefoil/base/instant.h"
#include "trefoil/base/name_table.h"
#include "trefoil/request/crash_tracker.h"
#include "trefoil/wire/message.h"

#include <functional>
#include <map>
#include <set>

namespace trefoil {

// Why a server gets no new work.
enum class AvoidReason
{
  kLeaving,
  // A suspected request runs there alone.
  kReserved,
  // It broke a connection or refused one.
  kFailed,
};

inline constexpr NameTable<AvoidReason, 3> kAvoidReasonNames{ {
  { AvoidReason::kLeaving, "leaving" },
  { AvoidReason::kReserved, "reserved" },
  { AvoidReason::kFailed, "failed" },
} };

using TellHosts = std::function<void(const Message& aMessage)>;

class CrashBoard
{
public:
  CrashBoard(HostId aHost, TellHosts aTellHosts);

  CrashDecision JudgeNow(const RequestDigest& aDigest) const;

  // Counts a crash of the server that ran the request, unless a suspect is known to have been
  // there.
  void Crashed(const RequestDigest& aDigest, const BackendServerId& aServer);

  // Clears a request that completed.
  void Completed(const RequestDigest& aDigest);

  // Keeps other work off a server while a suspect runs there.
  void Reserve(const BackendServerId& aServer, const RequestDigest& aDigest);
  // Ends the reservation of this host for a suspect.
  void Release(const BackendServerId& aServer);

  void Avoid(const BackendServerId& aServer, AvoidReason aReason, Instant aUntil);

  // Returns the servers that get no new work.
  std::set<BackendServerId> Avoided() const;

  // Takes in what another host says. Returns whether the message was for the board.
  bool Take(const Message& aMessage);

private:
  // Until when a server is avoided, and why.
  struct AvoidedServer
  {
    AvoidReason mReason = AvoidReason::kFailed;
    Instant mUntil;
    // The suspect of a reservation.
    RequestDigest mSuspect;
  };

  void EndReservation(const BackendServerId& aServer) ABSL_EXCLUSIVE_LOCKS_REQUIRED(mMutex);
  void Tell(const CrashCount& aCount) const;

  const HostId mHost;
  const TellHosts mTellHosts;
  mutable absl::Mutex mMutex;
  CrashTracker mLedger ABSL_GUARDED_BY(mMutex);
  std::map<BackendServerId, AvoidedServer> mAvoided ABSL_GUARDED_BY(mMutex);
};

} // namespace trefoil
