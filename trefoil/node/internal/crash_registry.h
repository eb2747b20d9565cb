// Tracks the requests that crash backend servers, and the servers that receive no new work for a
// limited time.
//
//   CrashRegistry registry{ host, [](const Message& aMessage) { ... send it to all hosts ... } };
//   if (registry.CurrentDecision(request) == CrashDecision::kRefuse) { ... }
//
// A request that is suspected to crash servers runs alone: its server is reserved for it on all
// hosts. Thread-safe.
#pragma once

#include "absl/base/thread_annotations.h"
#include "absl/synchronization/mutex.h"
#include "trefoil/base/ids.h"
#include "trefoil/base/instant.h"
#include "trefoil/base/name_table.h"
#include "trefoil/request/crash_tracker.h"
#include "trefoil/request/held_crashes.h"
#include "trefoil/request/server_links.h"
#include "trefoil/wire/message.h"

#include <functional>
#include <map>
#include <random>
#include <set>
#include <string>

namespace trefoil {

// Why a server receives no new work.
enum class AvoidReason
{
  kLeaving,
  // A request that is suspected to crash servers runs alone on it.
  kReserved,
  // An attempt on it failed: the connection was refused or lost, or the stream stalled.
  kFailed,
};

inline constexpr NameTable<AvoidReason, 3> kAvoidReasonNames{ {
  { AvoidReason::kLeaving, "leaving" },
  { AvoidReason::kReserved, "reserved" },
  { AvoidReason::kFailed, "failed" },
} };

// Sends a message to all entry hosts.
using BroadcastFunction = std::function<void(const Message& aMessage)>;

// Applies the messages of other hosts that have arrived.
using ApplyArrivedFunction = std::function<void()>;

class CrashRegistry
{
public:
  // `aApplyArrived` may be empty.
  CrashRegistry(HostId aHost,
                BroadcastFunction aBroadcast,
                ApplyArrivedFunction aApplyArrived = {});

  // Returns whether a request may run now, must run alone or is refused, by all that has arrived at
  // this host.
  CrashDecision CurrentDecision(SuspectKey aRequest) const;

  // Records that a connection to a server was refused, or lost while it ran the request. A loss
  // under a request is broadcast as a crash if the links of this host are sound
  // (trefoil/request/server_links.h), unless the server is reserved for another request, which is
  // then the suspected cause. Returns whether the links are not sound, so that no request is
  // blamed.
  bool RecordServerLoss(const ServerLoss& aLoss);

  // Records that a server has answered. Broadcasts that it has not crashed if another host reported
  // that.
  void RecordServerAnswer(const BackendServerId& aServer);

  // Returns whether failures of a version's servers may be counted against it. Their loss must have
  // been recorded.
  bool MayBlame(const ServiceId& aService, const VersionId& aVersion) const;

  // Clears the crashes of a request that has completed and broadcasts that, if there were any.
  void RecordRequestCompletion(SuspectKey aRequest);

  // Broadcasts again what this host has observed recently, since datagrams can be lost, and if
  // `aTellsRefusals`, at longer intervals the refusals in force, for hosts that have started. Must
  // be called regularly.
  void RepeatEvidence(bool aTellsRefusals);

  // Reserves a server on all hosts for a suspected request, for kMaxReservationDuration.
  void ReserveServer(const BackendServerId& aServer, SuspectKey aRequest);
  // Ends the reservation of a server on all hosts.
  void ReleaseServer(const BackendServerId& aServer);

  // Sends no new work of this host to a server until `aUntil`. Does nothing while the server is
  // leaving or reserved.
  void AvoidServer(const BackendServerId& aServer, AvoidReason aReason, Instant aUntil);

  // Returns the servers that receive no new work now.
  std::set<BackendServerId> AvoidedServers() const;

  // Applies evidence or a reservation of another host, and broadcasts what this host knows better.
  // Returns false for other messages.
  bool ApplyPeerMessage(const Message& aMessage);

private:
  // Why a server is avoided, and until when.
  struct AvoidedServer
  {
    AvoidReason mReason = AvoidReason::kFailed;
    Instant mUntil;
    // The request that the server is reserved for, as text. Empty for the other reasons.
    std::string mSuspect;
  };

  void EndReservation(const BackendServerId& aServer) ABSL_EXCLUSIVE_LOCKS_REQUIRED(mMutex);
  // Returns the evidence to broadcast after this host has observed something, and has it repeated.
  CrashEvidence ReportOwnNews(Instant aNow) ABSL_EXCLUSIVE_LOCKS_REQUIRED(mMutex);
  void BroadcastEvidence(const CrashEvidence& aEvidence) const;

  const HostId mHost;
  const BroadcastFunction mBroadcast;
  const ApplyArrivedFunction mApplyArrived;
  mutable absl::Mutex mMutex;
  CrashTracker mTracker ABSL_GUARDED_BY(mMutex);
  ServerLinks mLinks ABSL_GUARDED_BY(mMutex);
  HeldCrashes mHeldCrashes ABSL_GUARDED_BY(mMutex);
  // Identifies the crashes that this host records.
  std::mt19937_64 mRandom ABSL_GUARDED_BY(mMutex){ std::random_device{}() };
  // Until when this host repeats what it has observed, and when it does next.
  Instant mRepeatUntil ABSL_GUARDED_BY(mMutex);
  Instant mNextRepeatAt ABSL_GUARDED_BY(mMutex);
  Instant mNextRefusalsAt ABSL_GUARDED_BY(mMutex);
  std::map<BackendServerId, AvoidedServer> mAvoided ABSL_GUARDED_BY(mMutex);
};

} // namespace trefoil
