#include "trefoil/steering/prefix_watch.h"

#include "trefoil/base/store_revision.h"

#include <algorithm>
#include <utility>

namespace trefoil {
namespace {

// A list returns immediately, so its timeout includes no wait.
constexpr Milliseconds kListTimeout{ 1'500 };
// The backoff after a failed call doubles from kMinBackoff up to kMaxBackoff, within which the
// return of the store is noticed. Jitter subtracts up to half of it, so that hosts do not
// reconnect together.
constexpr Milliseconds kMinBackoff{ 80 };
constexpr Milliseconds kMaxBackoff{ 500 };
constexpr int kMaxDoublings = 5;
// The backoff after changes that could not be applied goes on doubling up to this. A list is the
// most expensive call, and all hosts may have received the same changes.
constexpr Milliseconds kMaxRelistBackoff{ 2'000 };
// Lists that are further apart are no series, so that each one is sent at once. A host to which
// others relay may send no watch between two lists.
constexpr Milliseconds kListSeriesGap{ 2'000 };
// The wait of a watch whose answer is needed soon: if the store was lost, or if the prefix is
// relayed and the relayed updates are late.
constexpr Milliseconds kShortWait{ 100 };
// Changes are gathered for half of the time that a slow answer of the store leaves; the other half
// is for two relays, each of which may lose a message and wait for the next query.
constexpr Milliseconds kSlowAnswer{ 1'000 };
constexpr Milliseconds kMinGatherTime{ 500 };
// A record is as old as its last watch when it is relayed, and it is relayed twice. With this time
// it stays below the age at which hosts call the store themselves (StoreCallDueAt).
constexpr Milliseconds kMaxGatherTime{ 1'000 };

// Returns the newest revision that an answer to a watch states or contains.
std::int64_t
NewestRevision(const StoreAnswer& aAnswer)
{
  std::int64_t newest = aAnswer.mRevision;
  for (const StoreItem& item : aAnswer.mItems) {
    newest = std::max(newest, item.mRevision);
  }
  return newest;
}

} // namespace

Milliseconds
GatherTime(Milliseconds aInForceWithin)
{
  return std::clamp((aInForceWithin - kSlowAnswer) / 2, kMinGatherTime, kMaxGatherTime);
}

Milliseconds
BoundedWait(const PrefixWatchOptions& aOptions, Milliseconds aKnownWithin)
{
  const Milliseconds bound =
    aKnownWithin - aOptions.mAnswerMargin - kMaxBackoff - aOptions.mBatchDelay;
  return std::max(kShortWait, std::min(aOptions.mWait, bound));
}

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
  mChannel.SetEraCallback(mCallbacks.mOnEra);
  mChannel.SetCallObserver(mCallbacks.mOnCall);
}

// Runs a step of the series of calls. The series goes on whatever becomes of the step: nothing else
// would continue it.
void
PrefixWatch::RunStep(const EventLoop::Task& aStep)
{
  if (!mLoop.RunGuarded(aStep)) {
    RelistLater();
  }
}

// Lists the prefix again after a change was not applied, or not even read.
void
PrefixWatch::RelistLater()
{
  mLoop.Cancel(std::exchange(mNextCallTimer, 0));
  mChannel.Reset();
  ScheduleCall(AfterBackoff(mUnapplied++, kMaxRelistBackoff));
}

// Returns the time of the next call after `aFailures` earlier failures and another one.
Instant
PrefixWatch::AfterBackoff(int aFailures, Milliseconds aMaxBackoff)
{
  const Milliseconds backoff =
    std::min(aMaxBackoff, kMinBackoff * (1 << std::min(aFailures, kMaxDoublings)));
  const auto jitter =
    static_cast<std::int64_t>(mRandom() % static_cast<std::uint64_t>(backoff.count() / 2 + 1));
  return SuspendAwareNow() + backoff / 2 + Milliseconds{ jitter };
}

// Returns whether only a list brings the record up to date. The next call follows from this alone,
// so that nothing can replace a list that is due by a watch.
bool
PrefixWatch::NeedsList() const
{
  return mRecord.mRevision == 0 || mHistoryGone || mUnapplied > 0;
}

void
PrefixWatch::Call()
{
  RunStep([this] {
    if (NeedsList()) {
      List({});
    } else {
      Watch();
    }
  });
}

void
PrefixWatch::List(const std::string& aAfterKey)
{
  const Instant now = SuspendAwareNow();
  if (aAfterKey.empty()) {
    mListedItems.clear();
    mListSentAt = now;
  }
  mCallSentAt = now;
  mChannel.Call(ListKeys{ .mPrefix = mOptions.mPrefix, .mAfterKey = aAfterKey },
                now + kListTimeout,
                [this, isFirstPage = aAfterKey.empty()](const StoreAnswer& aAnswer) {
                  if (isFirstPage) {
                    // Changes made while further pages are read are returned by the first
                    // watch.
                    mListRevision = aAnswer.mRevision;
                  }
                  RunStep([&] { OnListPage(aAnswer, mListSentAt); });
                });
}

void
PrefixWatch::OnListPage(const StoreAnswer& aAnswer, Instant aSentAt)
{
  if (aAnswer.mOutcome != StoreOutcome::kDone) {
    OnCallFailed(aAnswer.mOutcome);
    return;
  }
  const std::int64_t era = EraOf(aAnswer.mRevision);
  if (era < EraOf(mRecord.mRevision)) {
    OnCallFailed(StoreOutcome::kUnknown);
    return;
  }
  if (era != EraOf(mListRevision)) {
    // The store was replaced between two pages.
    List({});
    return;
  }
  mListedItems.insert(mListedItems.end(), aAnswer.mItems.begin(), aAnswer.mItems.end());
  if (aAnswer.mHasMore && !aAnswer.mItems.empty()) {
    List(aAnswer.mItems.back().mKey);
    return;
  }
  OnCallSucceeded(aSentAt);
  mLastReceivedAt = SuspendAwareNow();
  const std::int64_t revisionBefore = mRecord.mRevision;
  if (const auto changes = ChangesInList(mRecord, mListedItems, mListRevision)) {
    ApplyChanges(mRecord, ChangesToRelay(*changes), mListRevision, aSentAt, mOptions.mKeepsChanges);
  } else {
    ApplyList(mRecord, mListedItems, mListRevision, aSentAt);
  }
  mCallbacks.mOnList(mListedItems, mListRevision);
  mUnapplied = 0;
  mHistoryGone = false;
  Report(
    { .mEvent = RecordEvent::kListed, .mRevision = revisionBefore, .mNewRevision = mListRevision });
  OnCaughtUp();
  mListedItems.clear();
  mLoop.RunGuarded([&] { mCallbacks.mOnConfirmed(aSentAt); });
  ContinueWatching();
}

std::vector<StoreItem>
PrefixWatch::ChangesToRelay(const std::vector<StoreItem>& aItems) const
{
  return mCallbacks.mChangesToRelay ? mCallbacks.mChangesToRelay(aItems) : aItems;
}

void
PrefixWatch::ContinueWatching()
{
  if (mRelayed) {
    ScheduleCall(StoreCallDueAt(mRecord, mLastReceivedAt));
  } else {
    Watch();
  }
}

void
PrefixWatch::ScheduleCall(Instant aWhen)
{
  mNextCallTimer = mLoop.CallAt(aWhen, [this] {
    mNextCallTimer = 0;
    const Instant callAt = StoreCallDueAt(mRecord, mLastReceivedAt);
    if (mRelayed && !NeedsList() && !HasPassed(callAt, SuspendAwareNow())) {
      ScheduleCall(callAt);
    } else {
      Call();
    }
  });
}

// Sends the scheduled call now if it is a watch and the store answers. A list that is due, or a
// call after a failed one, keeps its delay.
void
PrefixWatch::AdvanceWatch()
{
  if (mNextCallTimer != 0 && !mStoreLost && !NeedsList()) {
    mLoop.Cancel(std::exchange(mNextCallTimer, 0));
    Call();
  }
}

void
PrefixWatch::SetRelayed(bool aRelayed)
{
  if (std::exchange(mRelayed, aRelayed) && !aRelayed) {
    AdvanceWatch();
  }
}

void
PrefixWatch::RenewCallSentBefore(Instant aWhen)
{
  const bool started = mCallSentAt != Instant{};
  if (!started || mNextCallTimer != 0 || mCallSentAt >= aWhen) {
    return;
  }
  mChannel.Reset();
  Call();
}

void
PrefixWatch::ApplyUpdate(const PrefixUpdate& aUpdate)
{
  if (mRecord.mRevision == 0) {
    // The first list has not completed yet; it will contain these changes.
    return;
  }
  const UpdateOutcome outcome = ApplyPrefixUpdate(mRecord, aUpdate, mOptions.mKeepsChanges);
  if (outcome == UpdateOutcome::kOutdated) {
    return;
  }
  if (outcome == UpdateOutcome::kBehind) {
    OnBehind(aUpdate);
    AdvanceWatch();
    // A watch that the store holds open would have returned the changes by now.
    RenewCallSentBefore(SuspendAwareNow() - mOptions.mAnswerMargin);
    return;
  }
  if (outcome == UpdateOutcome::kChanged &&
      !mLoop.RunGuarded([&] { mCallbacks.mOnChanges(aUpdate.mItems); })) {
    RelistLater();
    return;
  }
  // The record may be complete although one of its changes is not applied.
  if (mUnapplied > 0) {
    return;
  }
  mHistoryGone = false;
  OnCaughtUp();
  if (aUpdate.mConfirmedAt.has_value()) {
    mLastReceivedAt = SuspendAwareNow();
    mCallbacks.mOnConfirmed(mRecord.mConfirmedAt);
  }
}

void
PrefixWatch::Watch()
{
  const Instant now = SuspendAwareNow();
  mCallSentAt = now;
  const Milliseconds wait = mRelayed || mStoreLost ? kShortWait : mOptions.mWait;
  mChannel.Call(
    WatchKeys{ .mPrefix = mOptions.mPrefix, .mAfterRevision = mRecord.mRevision, .mWait = wait },
    now + wait + mOptions.mAnswerMargin,
    [this, now](const StoreAnswer& aAnswer) { RunStep([&] { OnWatchAnswer(aAnswer, now); }); });
}

void
PrefixWatch::OnWatchAnswer(const StoreAnswer& aAnswer, Instant aSentAt)
{
  if (aAnswer.mOutcome == StoreOutcome::kCompacted) {
    OnHistoryGone();
    return;
  }
  const std::int64_t eraBefore = EraOf(mRecord.mRevision);
  if (aAnswer.mOutcome != StoreOutcome::kDone || EraOf(aAnswer.mRevision) < eraBefore) {
    OnCallFailed(aAnswer.mOutcome == StoreOutcome::kDone ? StoreOutcome::kUnknown
                                                         : aAnswer.mOutcome);
    return;
  }
  if (EraOf(aAnswer.mRevision) > eraBefore) {
    // The changes after a revision of an earlier life do not lead to the present.
    mHistoryGone = true;
    List({});
    return;
  }
  mListsInSeries = 0;
  OnCallSucceeded(aSentAt);
  mLastReceivedAt = SuspendAwareNow();
  ApplyChanges(mRecord,
               ChangesToRelay(aAnswer.mItems),
               NewestRevision(aAnswer),
               aSentAt,
               mOptions.mKeepsChanges);
  if (!aAnswer.mItems.empty()) {
    mCallbacks.mOnChanges(aAnswer.mItems);
  }
  OnCaughtUp();
  mLoop.RunGuarded([&] { mCallbacks.mOnConfirmed(mRecord.mConfirmedAt); });
  if (aAnswer.mItems.empty() || mOptions.mBatchDelay == Milliseconds{ 0 }) {
    ContinueWatching();
    return;
  }
  ScheduleCall(SuspendAwareNow() + mOptions.mBatchDelay);
}

// Lists the prefix again: at once if that is the first time lately, else with an increasing delay,
// since the store may have no history at all.
void
PrefixWatch::OnHistoryGone()
{
  mHistoryGone = true;
  const Instant now = SuspendAwareNow();
  if (HasPassed(mListSeriesEndsAt, now)) {
    mListsInSeries = 0;
  }
  const int listsBefore = mListsInSeries++;
  const Instant listAt = listsBefore == 0 ? now : AfterBackoff(listsBefore, kMaxBackoff);
  mListSeriesEndsAt = listAt + kListSeriesGap;
  Report(
    { .mEvent = RecordEvent::kHistoryGone, .mRevision = mRecord.mRevision, .mListDueAt = listAt });
  if (listsBefore == 0) {
    List({});
  } else {
    ScheduleCall(listAt);
  }
}

void
PrefixWatch::OnCallFailed(StoreOutcome aOutcome)
{
  const Instant now = SuspendAwareNow();
  ScheduleCall(AfterBackoff(mFailures++, kMaxBackoff));
  if (!mStoreLost) {
    mStoreLost = true;
    mStoreLostAt = now;
    mLoop.RunGuarded([&] {
      mCallbacks.mOnStoreLost(aOutcome,
                              std::chrono::duration_cast<Milliseconds>(now - mCallSentAt));
    });
  }
}

void
PrefixWatch::OnCallSucceeded(Instant aSentAt)
{
  mFailures = 0;
  if (std::exchange(mStoreLost, false)) {
    mLoop.RunGuarded([&] {
      mCallbacks.mOnStoreRegained(
        aSentAt, std::chrono::duration_cast<Milliseconds>(SuspendAwareNow() - mStoreLostAt));
    });
  }
}

void
PrefixWatch::OnBehind(const PrefixUpdate& aUpdate)
{
  if (mBehindSince.has_value()) {
    return;
  }
  mBehindSince = SuspendAwareNow();
  Report({ .mEvent = RecordEvent::kBehind,
           .mRevision = mRecord.mRevision,
           .mNewRevision = aUpdate.mLastChange,
           .mItemsSince = aUpdate.mItemsSince });
}

void
PrefixWatch::OnCaughtUp()
{
  if (mBehindSince.has_value()) {
    Report({ .mEvent = RecordEvent::kCaughtUp,
             .mRevision = mRecord.mRevision,
             .mBehindSince = *std::exchange(mBehindSince, std::nullopt) });
  }
}

void
PrefixWatch::Report(const RecordReport& aReport)
{
  if (mCallbacks.mOnRecordEvent) {
    mLoop.RunGuarded([&] { mCallbacks.mOnRecordEvent(aReport); });
  }
}

} // namespace trefoil
