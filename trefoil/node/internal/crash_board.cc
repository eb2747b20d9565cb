#include "trefoil/node/internal/crash_board.h"

#include "trefoil/wire/crash_exchange.h"

#include <utility>

namespace trefoil {
namespace {

// How long a server is kept for a suspect at most.
constexpr Milliseconds kReservationLimit{ 10'000 };

} // namespace

CrashBoard::CrashBoard(HostId aHost, TellHosts aTellHosts)
  : mHost(std::move(aHost))
  , mTellHosts(std::move(aTellHosts))
{
}

CrashDecision
CrashBoard::JudgeNow(const RequestDigest& aDigest) const
{
  const absl::MutexLock lock{ &mMutex };
  return CrashDecisionFor(mLedger, aDigest, Now());
}

void
CrashBoard::Crashed(const RequestDigest& aDigest, const BackendServerId& aServer)
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
    Expire(mLedger, Now());
    count = RecordCrash(mLedger, mHost, aDigest, aServer, Now());
  }
  Tell(count);
}

void
CrashBoard::Completed(const RequestDigest& aDigest)
{
  CrashCount count;
  {
    const absl::MutexLock lock{ &mMutex };
    count = RecordCompletion(mLedger, mHost, aDigest);
  }
  if (!count.mDigest.Empty()) {
    Tell(count);
  }
}

void
CrashBoard::Tell(const CrashCount& aCount) const
{
  mTellHosts(ToCrashReport(aCount));
}

void
CrashBoard::Reserve(const BackendServerId& aServer, const RequestDigest& aDigest)
{
  {
    const absl::MutexLock lock{ &mMutex };
    mAvoided[aServer] = { .mReason = AvoidReason::kReserved,
                          .mUntil = Now() + kReservationLimit,
                          .mSuspect = aDigest };
  }
  mTellHosts(ServerReservation{ .mServer = aServer,
                                .mDigest = aDigest.Value(),
                                .mForMilliseconds = kReservationLimit.count() });
}

void
CrashBoard::Release(const BackendServerId& aServer)
{
  {
    const absl::MutexLock lock{ &mMutex };
    EndReservation(aServer);
  }
  mTellHosts(ServerReservation{ .mServer = aServer });
}

void
CrashBoard::EndReservation(const BackendServerId& aServer)
{
  const auto found = mAvoided.find(aServer);
  if (found != mAvoided.end() && found->second.mReason == AvoidReason::kReserved) {
    mAvoided.erase(found);
  }
}

void
CrashBoard::Avoid(const BackendServerId& aServer, AvoidReason aReason, Instant aUntil)
{
  const absl::MutexLock lock{ &mMutex };
  AvoidedServer& server = mAvoided[aServer];
  if (!HasPassed(server.mUntil, Now()) && server.mReason != AvoidReason::kFailed) {
    return;
  }
  server = { .mReason = aReason, .mUntil = aUntil };
}

std::set<BackendServerId>
CrashBoard::Avoided() const
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
CrashBoard::Take(const Message& aMessage)
{
  if (const auto* report = std::get_if<CrashReport>(&aMessage)) {
    const absl::MutexLock lock{ &mMutex };
    Merge(mLedger, ToCrashCount(*report), Now());
    return true;
  }
  if (const auto* reservation = std::get_if<ServerReservation>(&aMessage)) {
    const absl::MutexLock lock{ &mMutex };
    if (reservation->mForMilliseconds == 0) {
      EndReservation(reservation->mServer);
    } else {
      mAvoided[reservation->mServer] = { .mReason = AvoidReason::kReserved,
                                         .mUntil =
                                           Now() + Milliseconds{ reservation->mForMilliseconds },
                                         .mSuspect = RequestDigest{ reservation->mDigest } };
    }
    return true;
  }
  return false;
}

} // namespace trefoil
