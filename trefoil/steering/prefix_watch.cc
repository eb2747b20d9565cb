#include "trefoil/steering/prefix_watch.h"

#include <algorithm>
#include <utility>

namespace trefoil {
namespace {

// A list has no wait of its own.
constexpr Milliseconds kListLimit{ 1'500 };
// The first pause after a failed call, and the longest: a store that is back is noticed within it.
// The pause is drawn between half of it and all, so that hosts do not come back together.
constexpr Milliseconds kFirstPause{ 80 };
constexpr Milliseconds kLongestPause{ 500 };
constexpr int kMostDoublings = 3;

} // namespace

PrefixWatch::PrefixWatch(EventLoop& aLoop,
                         const Endpoint& aStore,
                         const StoreCodec& aCodec,
                         PrefixWatchOptions aOptions,
                         PrefixWatchCallbacks aCallbacks)
  : mLoop(aLoop)
  , mChannel(aLoop, aStore, aCodec)
  , mOptions(std::move(aOptions))
  , mCallbacks(std::move(aCallbacks))
  , mRandom(std::random_device{}())
{
}

void
PrefixWatch::List(const std::string& aAfterKey)
{
  const Instant now = SuspendAwareNow();
  if (aAfterKey.empty()) {
    mPages.clear();
    mListSentAt = now;
  }
  mChannel.Call(ListKeys{ .mPrefix = mOptions.mPrefix, .mAfterKey = aAfterKey },
                now + kListLimit,
                [this, first = aAfterKey.empty()](const StoreAnswer& aAnswer) {
                  if (first) {
                    // Changes during the further pages come with the first watch.
                    mRevision = aAnswer.mRevision;
                  }
                  OnPage(aAnswer, mListSentAt);
                });
}

void
PrefixWatch::OnPage(const StoreAnswer& aAnswer, Instant aSentAt)
{
  if (aAnswer.mOutcome != StoreOutcome::kDone) {
    RetryLater(aAnswer.mOutcome, true);
    return;
  }
  mPages.insert(mPages.end(), aAnswer.mItems.begin(), aAnswer.mItems.end());
  if (aAnswer.mHasMore && !aAnswer.mItems.empty()) {
    List(aAnswer.mItems.back().mKey);
    return;
  }
  Regained();
  mCallbacks.mOnList(mPages, mRevision);
  mPages.clear();
  mCallbacks.mOnCurrent(aSentAt);
  Watch();
}

void
PrefixWatch::Watch()
{
  const Instant now = SuspendAwareNow();
  mChannel.Call(
    WatchKeys{ .mPrefix = mOptions.mPrefix, .mAfterRevision = mRevision, .mWait = mOptions.mWait },
    now + mOptions.mWait + mOptions.mMargin,
    [this, now](const StoreAnswer& aAnswer) { OnWatched(aAnswer, now); });
}

void
PrefixWatch::OnWatched(const StoreAnswer& aAnswer, Instant aSentAt)
{
  if (aAnswer.mOutcome == StoreOutcome::kHistoryGone) {
    List({});
    return;
  }
  if (aAnswer.mOutcome != StoreOutcome::kDone) {
    RetryLater(aAnswer.mOutcome, false);
    return;
  }
  Regained();
  mRevision = std::max(mRevision, aAnswer.mRevision);
  if (!aAnswer.mItems.empty()) {
    mCallbacks.mOnChanges(aAnswer.mItems);
  }
  mCallbacks.mOnCurrent(aSentAt);
  if (aAnswer.mItems.empty() || mOptions.mGather == Milliseconds{ 0 }) {
    Watch();
    return;
  }
  mLoop.CallAt(SuspendAwareNow() + mOptions.mGather, [this] { Watch(); });
}

void
PrefixWatch::RetryLater(StoreOutcome aOutcome, bool aList)
{
  if (!mLost) {
    mLost = true;
    mCallbacks.mOnLost(aOutcome);
  }
  const Milliseconds pause =
    std::min(kLongestPause, kFirstPause * (1 << std::min(mFailures, kMostDoublings)));
  ++mFailures;
  const auto drawn =
    static_cast<std::int64_t>(mRandom() % static_cast<std::uint64_t>(pause.count() / 2 + 1));
  mLoop.CallAt(SuspendAwareNow() + pause / 2 + Milliseconds{ drawn }, [this, aList] {
    if (aList) {
      List({});
    } else {
      Watch();
    }
  });
}

void
PrefixWatch::Regained()
{
  mFailures = 0;
  if (std::exchange(mLost, false)) {
    mCallbacks.mOnRegained();
  }
}

} // namespace trefoil
