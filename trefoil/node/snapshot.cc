#include "trefoil/node/snapshot.h"

#include "absl/time/time.h"

namespace trefoil {

const ServiceView*
FindService(const Snapshot& aSnapshot, const ServiceId& aService)
{
  const auto found = aSnapshot.mServices.find(aService);
  if (found == aSnapshot.mServices.end() || found->second.mDocument == nullptr) {
    return nullptr;
  }
  return &found->second;
}

void
SnapshotCell::Publish(std::shared_ptr<const Snapshot> aSnapshot)
{
  const absl::MutexLock lock{ &mMutex };
  mSnapshot = std::move(aSnapshot);
}

std::shared_ptr<const Snapshot>
SnapshotCell::Read() const
{
  const absl::MutexLock lock{ &mMutex };
  return mSnapshot;
}

std::shared_ptr<const Snapshot>
SnapshotCell::AwaitFresh(Instant aDeadline) const
{
  const auto isFresh = [this]() ABSL_EXCLUSIVE_LOCKS_REQUIRED(mMutex) {
    return IsFresh(*mSnapshot, Now());
  };
  const absl::MutexLock lock{ &mMutex };
  mMutex.AwaitWithTimeout(absl::Condition(&isFresh), absl::FromChrono(aDeadline - Now()));
  return mSnapshot;
}

} // namespace trefoil
