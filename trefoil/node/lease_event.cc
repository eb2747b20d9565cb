#include "trefoil/node/lease_event.h"

#include "trefoil/duty/duty.h"

namespace trefoil {

LeaseCallCompleted
Send(const StoreClient& aStore, const SendLeaseCall& aCall)
{
  LeaseCallCompleted done{ .mCallNumber = aCall.mCallNumber, .mLease = aCall.mLease };
  switch (aCall.mKind) {
    case LeaseCallKind::kGrant: {
      const auto lease = CallGrantLease(aStore, kHostLeaseDuration, aCall.mDeadline);
      done.mAnswer = lease.ok() ? LeaseRenewalResult::kLive : LeaseRenewalResult::kUnknown;
      done.mLease = lease.ok() ? *lease : 0;
      break;
    }
    case LeaseCallKind::kRenew:
      done.mAnswer = CallRenewLease(aStore, aCall.mLease, aCall.mDeadline);
      break;
    case LeaseCallKind::kEnd:
      CallRevokeLease(aStore, aCall.mLease, aCall.mDeadline);
      break;
  }
  return done;
}

} // namespace trefoil
