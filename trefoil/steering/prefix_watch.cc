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
constexpr int kMaxDoublings = 3;
// A call that other hosts' news should have made needless does not wait for changes for long.
constexpr Milliseconds kOverdueWait{ 100 };

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
                    mListRevision = aAnswer.mRevision;
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
  mHeardAt = SuspendAwareNow();
  NoteList(mRecord, mListRevision, aSentAt);
  mCallbacks.mOnList(mPages, mListRevision);
  mPages.clear();
  mCallbacks.mOnCurrent(aSentAt);
  WatchNext();
}

void
PrefixWatch::WatchNext()
{
  if (mRelayed) {
    CallLater(AskStoreAt(mRecord, mHeardAt), false);
  } else {
    Watch();
  }
}

void
PrefixWatch::CallLater(Instant aWhen, bool aList)
{
  mNextCall = mLoop.CallAt(aWhen, [this, aList] {
    mNextCall = 0;
    const Instant askAt = AskStoreAt(mRecord, mHeardAt);
    if (mRelayed && !HasPassed(askAt, SuspendAwareNow())) {
      CallLater(askAt, aList);
    } else if (aList) {
      List({});
    } else {
      Watch();
    }
  });
}

void
PrefixWatch::SetRelayed(bool aRelayed)
{
  if (std::exchange(mRelayed, aRelayed) && !aRelayed && mNextCall != 0 && !mLost) {
    mLoop.Cancel(std::exchange(mNextCall, 0));
    Watch();
  }
}

void
PrefixWatch::TakeNews(const PrefixUpdate& aUpdate)
{
  if (mRecord.mRevision == 0) {
    // The first list says more.
    return;
  }
  const UpdateOutcome outcome = NoteNews(mRecord, aUpdate, mOptions.mKeepsChanges);
  if (outcome == UpdateOutcome::kBehind) {
    if (mNextCall != 0 && !mLost) {
      mLoop.Cancel(std::exchange(mNextCall, 0));
      Watch();
    }
    return;
  }
  if (outcome == UpdateOutcome::kChanged) {
    mCallbacks.mOnChanges(aUpdate.mItems);
  }
  if (aUpdate.mCurrentAt.has_value()) {
    mHeardAt = SuspendAwareNow();
    mCallbacks.mOnCurrent(mRecord.mCurrentAt);
  }
}

void
PrefixWatch::Watch()
{
  const Instant now = SuspendAwareNow();
  const Milliseconds wait = mRelayed ? kOverdueWait : mOptions.mWait;
  mChannel.Call(
    WatchKeys{ .mPrefix = mOptions.mPrefix, .mAfterRevision = mRecord.mRevision, .mWait = wait },
    now + wait + mOptions.mMargin,
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
  mHeardAt = SuspendAwareNow();
  NoteChanges(mRecord, aAnswer.mItems, aAnswer.mRevision, aSentAt, mOptions.mKeepsChanges);
  if (!aAnswer.mItems.empty()) {
    mCallbacks.mOnChanges(aAnswer.mItems);
  }
  mCallbacks.mOnCurrent(mRecord.mCurrentAt);
  if (aAnswer.mItems.empty() || mOptions.mGather == Milliseconds{ 0 }) {
    WatchNext();
    return;
  }
  CallLater(SuspendAwareNow() + mOptions.mGather, false);
}

void
PrefixWatch::RetryLater(StoreOutcome aOutcome, bool aList)
{
  if (!mLost) {
    mLost = true;
    mCallbacks.mOnLost(aOutcome);
  }
  const Milliseconds pause =
    std::min(kLongestPause, kFirstPause * (1 << std::min(mFailures, kMaxDoublings)));
  ++mFailures;
  const auto drawn =
    static_cast<std::int64_t>(mRandom() % static_cast<std::uint64_t>(pause.count() / 2 + 1));
  CallLater(SuspendAwareNow() + pause / 2 + Milliseconds{ drawn }, aList);
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
