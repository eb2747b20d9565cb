#include "standin/store_faults.h"

#include "absl/strings/numbers.h"

#include <Poco/JSON/Object.h>
#include <sstream>

namespace trefoil::standin {
namespace {

std::int64_t
NumberInQuery(const std::string& aTarget, std::string_view aKey)
{
  std::int64_t number = 0;
  return absl::SimpleAtoi(QueryValue(aTarget, aKey), &number) ? number : 0;
}

} // namespace

StoreFault
StoreFaults::CountCall(StoreCallKind aKind)
{
  const absl::MutexLock lock{ &mMutex };
  ++mCounts.at(static_cast<std::size_t>(aKind));
  return mFault;
}

bool
StoreFaults::DrawFault(std::int64_t aPercent)
{
  const absl::MutexLock lock{ &mMutex };
  return std::uniform_int_distribution<std::int64_t>{ 0, 99 }(mRandom) < aPercent;
}

void
StoreFaults::SetFaults(const std::string& aTarget)
{
  const absl::MutexLock lock{ &mMutex };
  mFault = { .mDown = NumberInQuery(aTarget, "down") != 0,
             .mSlowMilliseconds = NumberInQuery(aTarget, "slow_ms"),
             .mLostAnswersPercent = NumberInQuery(aTarget, "lost_answers_percent"),
             .mStaleReadsPercent = NumberInQuery(aTarget, "stale_reads_percent") };
}

std::string
StoreFaults::Counts()
{
  Poco::JSON::Object counts;
  const absl::MutexLock lock{ &mMutex };
  for (const auto& [kind, name] : kStoreCallKindNames) {
    counts.set(std::string{ name }, mCounts.at(static_cast<std::size_t>(kind)));
  }
  std::ostringstream text;
  counts.stringify(text);
  return text.str();
}

} // namespace trefoil::standin
