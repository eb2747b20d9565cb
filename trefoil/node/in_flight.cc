#include "trefoil/node/in_flight.h"

#include <utility>

namespace trefoil {

void
InFlightTable::Add(const BackendServerId& aServer, std::int64_t aChange)
{
  const absl::MutexLock lock{ &mMutex };
  const auto entry = mCounts.try_emplace(aServer, 0).first;
  entry->second += aChange;
  if (entry->second == 0) {
    mCounts.erase(entry);
  }
}

std::int64_t
InFlightTable::Count(const BackendServerId& aServer) const
{
  const absl::MutexLock lock{ &mMutex };
  const auto entry = mCounts.find(aServer);
  return entry == mCounts.end() ? 0 : entry->second;
}

InFlightGuard::InFlightGuard(InFlightTable& aTable, BackendServerId aServer)
  : mTable(aTable)
  , mServer(std::move(aServer))
{
  mTable.Add(mServer, 1);
}

InFlightGuard::~InFlightGuard()
{
  mTable.Add(mServer, -1);
}

} // namespace trefoil
