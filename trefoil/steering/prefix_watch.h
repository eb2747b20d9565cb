// Keeps a record of the keys of one prefix up to date. It lists the prefix, then watches it,
// and lists it again when the store no longer has the changes in between. While other hosts
// relay their records, the store is called only for changes that these lack. A call that was sent
// while the store did not respond may never be answered, so calls wait briefly while the store is
// lost, and RenewCallSentBefore replaces a call that another one proves to be lost.
//
// An exception that leaves a callback, or a step of the watch itself, does not end the watch. After
// one of mOnList or mOnChanges the prefix is listed again, and the record is not confirmed before a
// list has been applied.
//
//   PrefixWatch watch(loop, storeEndpoint, codec, { .mPrefix = "servers/" }, callbacks);
//   watch.Start();
//
// All functions must be called on the thread of the event loop, which also runs the callbacks.
#pragma once

#include "trefoil/base/name_table.h"
#include "trefoil/reactor/event_loop.h"
#include "trefoil/store/prefix_record.h"
#include "trefoil/store/store_channel.h"

#include <cstdint>
#include <functional>
#include <optional>
#include <random>
#include <string>
#include <vector>

namespace trefoil {

struct PrefixWatchOptions
{
  std::string mPrefix;
  // How long the store holds a watch open while there are no changes.
  Milliseconds mWait{ 0 };
  // Delay between an answer with changes and the next watch, so that one call returns all
  // changes of that time.
  Milliseconds mBatchDelay{ 0 };
  // A watch times out this long after mWait.
  Milliseconds mAnswerMargin{ 1'500 };
  // Keeps the changes so that they can be relayed to other hosts.
  bool mKeepsChanges = false;
};

// What happens to a record that other hosts relay, or that the store cannot continue.
enum class RecordEvent
{
  // An update omits changes that this host lacks. Reported once until it has caught up.
  kBehind,
  // The store no longer has the changes after the record's revision.
  kHistoryGone,
  // A list has been applied.
  kListed,
  // A record that was behind has all changes again.
  kCaughtUp,
};

inline constexpr NameTable<RecordEvent, 4> kRecordEventNames{ {
  { RecordEvent::kBehind, "behind" },
  { RecordEvent::kHistoryGone, "history_gone" },
  { RecordEvent::kListed, "listed" },
  { RecordEvent::kCaughtUp, "caught_up" },
} };

struct RecordReport
{
  RecordEvent mEvent = RecordEvent::kBehind;
  // The record's revision, for kListed that before the list.
  std::int64_t mRevision = 0;
  // The newest change that the update states, or the revision of the list; 0 if there is neither.
  std::int64_t mNewRevision = 0;
  // For kBehind: the update contains the changes after this revision; std::nullopt if it has none.
  std::optional<std::int64_t> mItemsSince;
  // For kHistoryGone: when the next list is due.
  Instant mListDueAt;
  // For kCaughtUp: since when the record was behind.
  Instant mBehindSince;
};

struct PrefixWatchCallbacks
{
  // Called with all items of the prefix, again if an earlier call of mOnList or mOnChanges has
  // thrown. A key that is missing was removed at `aRevision` or before.
  std::function<void(const std::vector<StoreItem>&, std::int64_t aRevision)> mOnList;
  std::function<void(const std::vector<StoreItem>&)> mOnChanges;
  // Returns those of the changes that other hosts need: refreshes of entries are left out. All are
  // relayed if it is not set.
  std::function<std::vector<StoreItem>(const std::vector<StoreItem>&)> mChangesToRelay;
  // Called when the record is confirmed to have been complete at `aWhen`: the time at which the
  // call was sent, here or by the host that relayed the answer. Not called while a change could not
  // be applied.
  std::function<void(Instant aWhen)> mOnConfirmed;
  // Called at the first failed call, with its outcome and the time that it was pending, and at the
  // first call that succeeds after it, with the time at which that call was sent and the time in
  // between.
  std::function<void(StoreOutcome, Milliseconds aPending)> mOnStoreLost;
  std::function<void(Instant aSentAt, Milliseconds aLostFor)> mOnStoreRegained;
  // Called with what operators need to see why a host lacks changes.
  std::function<void(const RecordReport&)> mOnRecordEvent;
  // See StoreChannel::SetEraCallback and SetCallObserver.
  StoreChannel::EraCallback mOnEra;
  StoreChannel::CallObserver mOnCall;
};

// Returns how long the store may hold a watch open so that changes are known within `aKnownWithin`
// even if the watch is lost right after it was sent: `aOptions.mWait` or less.
Milliseconds
BoundedWait(const PrefixWatchOptions& aOptions, Milliseconds aKnownWithin);

// Returns how long changes are gathered before the next watch if they must be in force everywhere
// within `aInForceWithin`. Short bounds keep the shortest time, and long ones do not go beyond what
// the age of relayed records allows.
Milliseconds
GatherTime(Milliseconds aInForceWithin);

class PrefixWatch
{
public:
  PrefixWatch(EventLoop& aLoop,
              const Endpoint& aStore,
              const StoreCodec& aCodec,
              PrefixWatchOptions aOptions,
              PrefixWatchCallbacks aCallbacks);

  // Sends the first call. Must be called once.
  void Start() { Call(); }
  // Sets whether other hosts relay the prefix to this one, so that the store is called only if
  // their updates are missing or too old.
  void SetRelayed(bool aRelayed);
  // Sets how long the store holds a watch open, from the next call on.
  void SetWait(Milliseconds aWait) { mOptions.mWait = aWait; }
  // Sends the call in progress again if it was sent before `aWhen`. Must be called with the time at
  // which another call was sent that the store has answered after an outage.
  void RenewCallSentBefore(Instant aWhen);
  // Applies the record that another host has relayed.
  void ApplyUpdate(const PrefixUpdate& aUpdate);
  const PrefixRecord& Record() const { return mRecord; }
  // Returns whether the latest calls have failed.
  bool IsStoreLost() const { return mStoreLost; }

private:
  void RunStep(const EventLoop::Task& aStep);
  void RelistLater();
  bool NeedsList() const;
  void Call();
  Instant AfterBackoff(int aFailures, Milliseconds aMaxBackoff);
  void List(const std::string& aAfterKey);
  void OnListPage(const StoreAnswer& aAnswer, Instant aSentAt);
  std::vector<StoreItem> ChangesToRelay(const std::vector<StoreItem>& aItems) const;
  void ContinueWatching();
  void ScheduleCall(Instant aWhen);
  void AdvanceWatch();
  void Watch();
  void OnWatchAnswer(const StoreAnswer& aAnswer, Instant aSentAt);
  void OnHistoryGone();
  void OnCallFailed(StoreOutcome aOutcome);
  void OnCallSucceeded(Instant aSentAt);
  void OnBehind(const PrefixUpdate& aUpdate);
  void OnCaughtUp();
  void Report(const RecordReport& aReport);

  EventLoop& mLoop;
  StoreChannel mChannel;
  PrefixWatchOptions mOptions;
  PrefixWatchCallbacks mCallbacks;
  std::vector<StoreItem> mListedItems;
  Instant mListSentAt;
  std::int64_t mListRevision = 0;
  PrefixRecord mRecord;
  bool mRelayed = false;
  // When the last answer of the store or the last confirmation by another host arrived.
  Instant mLastReceivedAt;
  // The timer of the next call; 0 while a call is in progress.
  EventLoop::TimerId mNextCallTimer = 0;
  // When the latest call was sent.
  Instant mCallSentAt;
  int mFailures = 0;
  // Changes and lists that could not be applied since the last list that was; if any, the record is
  // not confirmed.
  int mUnapplied = 0;
  // Whether the store no longer has changes that the record lacks, so that no watch returns them.
  bool mHistoryGone = false;
  // Lists for this reason that followed each other, and when the next one starts a new series.
  int mListsInSeries = 0;
  Instant mListSeriesEndsAt;
  // Since when updates have shown changes that the record lacks.
  std::optional<Instant> mBehindSince;
  bool mStoreLost = false;
  // When the store was lost; meaningful while mStoreLost is true.
  Instant mStoreLostAt;
  std::mt19937_64 mRandom;
};

} // namespace trefoil
