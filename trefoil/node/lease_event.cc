#include "trefoil/node/lease_event.h"

#include "trefoil/duty/duty.h"

namespace trefoil {

LeaseCallCompleted
Send(const StoreClient& aStore, const SendLeaseCall& aCall)
{
  LeaseCallCompleted done{ .mCallNumber = aCall.mCallNumber, .mLease = aCall.mLease };
  switch (aCall.mKind) {
    case LeaseCallKind::kGrant: {
      const auto lease = AskForLease(aStore, kHostLeaseDuration, aCall.mDeadline);
      done.mAnswer = lease.ok() ? LeaseAnswer::kLive : LeaseAnswer::kUnknown;
      done.mLease = lease.ok() ? *lease : 0;
      break;
    }
    case LeaseCallKind::kRenew:
      done.mAnswer = AskToRenew(aStore, aCall.mLease, aCall.mDeadline);
      break;
    case LeaseCallKind::kEnd:
      AskToEnd(aStore, aCall.mLease, aCall.mDeadline);
      break;
  }
  return done;
}

} // namespace trefoil
