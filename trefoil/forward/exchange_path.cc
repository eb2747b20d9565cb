// The paths of a request's attempts: what it means for the request if one of them has failed.
#include "trefoil/forward/exchange.h"
#include "trefoil/forward/server_connector.h"
#include "trefoil/forward/warm_up_limits.h"

#include <algorithm>

namespace trefoil {
namespace {

// How long after a server has become silent its direct path is known to work or to have failed.
constexpr Milliseconds kPathCheckTime = kDirectConnectTimeout + Milliseconds{ 50 };

} // namespace

// Takes an idle connection to the server or opens one, on a path that works. Returns whether the
// connection is open already.
bool
Exchange::AcquireConnection(const RegisteredServer& aServer)
{
  const auto onOpened = [self = shared_from_this()](bool aIsOpen) {
    self->OnConnectionOpened(aIsOpen);
  };
  if (mIsDirectTrial) {
    mAttempt->mConnection = OpenDirectConnection(mState, aServer, onOpened);
    return false;
  }
  // After one silent server the next one gets a new connection, which shows that its path works.
  if (mSilentServers.empty() || !HasDirectPath(mState.mPaths, aServer)) {
    const ReusePolicy policy = MayRepeat() ? ReusePolicy::kAny : ReusePolicy::kRecentlyUsed;
    mAttempt->mConnection = AcquireIdleConnection(mState, aServer, policy, mAllowedRegions);
  }
  if (mAttempt->mConnection) {
    return true;
  }
  mAttempt->mConnection = OpenConnection(mState, aServer, mAllowedRegions, onOpened);
  return false;
}

// Returns whether the request may be sent on a connection that has just been opened: the server can
// have become cold meanwhile, so that the attempt needs a permit now.
bool
Exchange::KeepsWarmUpLimit()
{
  const Instant now = SuspendAwareNow();
  const RegisteredServer& server = mAttempt->mServer;
  if (!IsLimitedByWarmUp(mState, server, now)) {
    return true;
  }
  if (mAttempt->mHasWarmUpPermit) {
    DelayNextPermit(StatusOfServer(server.mId).mWarmUp, now - mAttempt->mSentAt);
    return true;
  }
  mAttempt->mHasWarmUpPermit = TakeWarmUpPermit(mState, server, now);
  return mAttempt->mHasWarmUpPermit;
}

void
Exchange::OnConnectionOpened(bool aIsOpen)
{
  if (!mAttempt.has_value()) {
    return;
  }
  if (aIsOpen && !KeepsWarmUpLimit()) {
    mAttempt->mIsServerBlamed = false;
    OnAttemptFailed(AttemptFailure::kHeldBack);
    return;
  }
  if (aIsOpen) {
    SendRequest();
    return;
  }
  ++mFailedConnects;
  if (HasCarriers(mState)) {
    // The server may be reached by another way.
    mTriedServers.erase(mAttempt->mServer.mId);
    mAttempt->mIsServerBlamed = false;
    if (mAttempt->mConnection->mVia.Empty()) {
      RecordZoneOutcome(mState.mZones[mAttempt->mServer.mZone],
                        mAttempt->mServer.mId,
                        DispatchOutcome::kBroken,
                        SuspendAwareNow());
    }
  }
  OnAttemptFailed(AttemptFailure::kConnectFailed);
}

// Finds out whether the silence of the server is that of its path, or of the host that carries the
// connection.
void
Exchange::CheckPathOfSilentServer()
{
  const ServerConnection& connection = *mAttempt->mConnection;
  CheckPath(mState, mAttempt->mServer, connection);
  const bool isCutOff =
    !mAttempt->mAnswerBegun && RecordPathUnanswered(mState, mAttempt->mServer, connection);
  mAttempt->mIsServerBlamed = connection.mVia.Empty() && !isCutOff;
}

// Returns whether the connections to the server are known to be cut off from this host.
bool
Exchange::IsCutOffFrom(const RegisteredServer& aServer) const
{
  return HasCarriers(mState) && !MayUseOpenConnections(mState.mPaths, aServer);
}

// Returns the number of ended attempts that count toward those of the route. Servers that this host
// has been cut off from do not.
int
Exchange::CountedRuns() const
{
  const auto cutOff = std::ranges::count_if(
    mSilentServers, [this](const RegisteredServer& aServer) { return IsCutOffFrom(aServer); });
  return mPossibleRuns - static_cast<int>(cutOff);
}

// Moves a silent request that may be repeated once its server turns out to be cut off from this
// host, although the request's attempts are used up otherwise.
void
Exchange::MoveWhenCutOff()
{
  if (!MayRepeat() || !mAttempt->mConnection->mVia.Empty() || !HasCarriers(mState)) {
    return;
  }
  mSilenceTimer =
    mState.mLoop.CallAt(SuspendAwareNow() + kPathCheckTime, [self = shared_from_this()] {
      self->mSilenceTimer = 0;
      if (self->mAttempt.has_value() && !self->mAttempt->mAnswerBegun &&
          self->IsCutOffFrom(self->mAttempt->mServer)) {
        self->mAttempt->mIsServerBlamed = false;
        self->OnServerSilent();
      }
    });
}

} // namespace trefoil
