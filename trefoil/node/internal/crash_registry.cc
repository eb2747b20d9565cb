#include "trefoil/node/internal/crash_registry.h"

#include "trefoil/wire/crash_report_conversion.h"

#include <utility>

namespace trefoil {
namespace {

// A reservation expires after this time, also if the host that made it vanishes.
constexpr Milliseconds kMaxReservationDuration{ 10'000 };

} // namespace

CrashRegistry::CrashRegistry(HostId aHost, BroadcastFunction aBroadcast)
  : mHost(std::move(aHost))
  , mBroadcast(std::move(aBroadcast))
{
}

CrashDecision
CrashRegistry::CurrentDecision(const RequestDigest& aDigest) const
{
  const absl::MutexLock lock{ &mMutex };
  return CrashDecisionFor(mTracker, aDigest, Now());
}

void
CrashRegistry::RecordServerCrash(const RequestDigest& aDigest, const BackendServerId& aServer)
{
  CrashCount count;
  {
    const absl::MutexLock lock{ &mMutex };
    const auto avoided = mAvoided.find(aServer);
    const bool reserved =
      avoided != mAvoided.end() && avoided->second.mReason == AvoidReason::kReserved;
    if (reserved && avoided->second.mSuspect != aDigest) {
      return;
    }
    Expire(mTracker, Now());
    count = RecordCrash(mTracker, mHost, aDigest, aServer, Now());
  }
  BroadcastCount(count);
}

void
CrashRegistry::RecordRequestCompletion(const RequestDigest& aDigest)
{
  CrashCount count;
  {
    const absl::MutexLock lock{ &mMutex };
    count = RecordCompletion(mTracker, mHost, aDigest);
  }
  if (!count.mDigest.Empty()) {
    BroadcastCount(count);
  }
}

void
CrashRegistry::BroadcastCount(const CrashCount& aCount) const
{
  mBroadcast(ToCrashReport(aCount));
}

void
CrashRegistry::ReserveServer(const BackendServerId& aServer, const RequestDigest& aDigest)
{
  {
    const absl::MutexLock lock{ &mMutex };
    mAvoided[aServer] = { .mReason = AvoidReason::kReserved,
                          .mUntil = Now() + kMaxReservationDuration,
                          .mSuspect = aDigest };
  }
  mBroadcast(ServerReservation{ .mServer = aServer,
                                .mDigest = aDigest.Value(),
                                .mDurationMilliseconds = kMaxReservationDuration.count() });
}

void
CrashRegistry::ReleaseServer(const BackendServerId& aServer)
{
  {
    const absl::MutexLock lock{ &mMutex };
    EndReservation(aServer);
  }
  mBroadcast(ServerReservation{ .mServer = aServer });
}

void
CrashRegistry::EndReservation(const BackendServerId& aServer)
{
  const auto found = mAvoided.find(aServer);
  if (found != mAvoided.end() && found->second.mReason == AvoidReason::kReserved) {
    mAvoided.erase(found);
  }
}

void
CrashRegistry::AvoidServer(const BackendServerId& aServer, AvoidReason aReason, Instant aUntil)
{
  const absl::MutexLock lock{ &mMutex };
  AvoidedServer& server = mAvoided[aServer];
  if (!HasPassed(server.mUntil, Now()) && server.mReason != AvoidReason::kFailed) {
    return;
  }
  server = { .mReason = aReason, .mUntil = aUntil };
}

std::set<BackendServerId>
CrashRegistry::AvoidedServers() const
{
  std::set<BackendServerId> servers;
  const Instant now = Now();
  const absl::MutexLock lock{ &mMutex };
  for (const auto& [id, server] : mAvoided) {
    if (!HasPassed(server.mUntil, now)) {
      servers.insert(id);
    }
  }
  return servers;
}

bool
CrashRegistry::ApplyPeerMessage(const Message& aMessage)
{
  if (const auto* report = std::get_if<CrashReport>(&aMessage)) {
    const absl::MutexLock lock{ &mMutex };
    Merge(mTracker, ToCrashCount(*report), Now());
    return true;
  }
  if (const auto* reservation = std::get_if<ServerReservation>(&aMessage)) {
    const absl::MutexLock lock{ &mMutex };
    if (reservation->mDurationMilliseconds == 0) {
      EndReservation(reservation->mServer);
    } else {
      mAvoided[reservation->mServer] = {
        .mReason = AvoidReason::kReserved,
        .mUntil = Now() + Milliseconds{ reservation->mDurationMilliseconds },
        .mSuspect = RequestDigest{ reservation->mDigest }
      };
    }
    return true;
  }
  return false;
}

} // namespace trefoil
